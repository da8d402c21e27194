#include <stdio.h>

#include "bk/base/log.h"
#include "bk/entry/codec.h"
#include "bk/entry/relay.h"

static void
on_drain(void *arg)
{
    BkRelay *relay = arg;

    relay->blocked = false;
    BkTimer_Stop(relay->wait_timer);
    BkStream_Forward(relay);
    if (relay->blocked) {
        return;
    }
    if (relay->call != NULL) {
        BkHttpCall_Resume(relay->call);
    }
    else if (relay->call_ended && !relay->answered) {
        BkRelay_HandleAttemptEnd(relay);
    }
}

static void
write_ticket_header(const BkRelay *relay, BkBuf *header)
{
    const BkEntry *entry = relay->entry;
    BkTicket ticket = {
        .upstream_name_hash = relay->up_name_hash,
        .boot = relay->up_boot,
        .attempt = relay->attempt,
    };

    snprintf(ticket.request_id, sizeof(ticket.request_id), "%s",
             relay->request_id);
    snprintf(ticket.caller, sizeof(ticket.caller), "%s", relay->caller);
    snprintf(ticket.item, sizeof(ticket.item), "%s", relay->item);
    snprintf(ticket.issuer_ops_address, sizeof(ticket.issuer_ops_address),
             "%s", entry->conf.daemon.ops_address);
    BkBuf_Printf(header, "X-Resume-Ticket: ");
    BkTicket_Seal(&ticket, entry->ticket_key, header);
}

static void
open_stream(BkRelay *relay)
{
    BkBuf ticket_header = BkBuf_Make(0);
    char id_header[96];

    write_ticket_header(relay, &ticket_header);
    snprintf(id_header, sizeof(id_header), "X-Request-Id: %s",
             relay->request_id);
    const char *const headers[] = {BkBuf_C(&ticket_header), id_header,
                                   "Cache-Control: no-store", NULL};
    relay->stream_opened = true;
    BkTimer_Stop(relay->wait_timer);
    BkCounter_Add(relay->entry->counters.open_streams, 1);
    BkLatency_Note(&relay->entry->counters.first_byte,
                   BkClock_Now() - relay->started_at);
    BkHttpReq_StartStream(relay->req, 200, headers,
                          BK_STR("text/event-stream"), on_drain, relay);
    BkBuf_Destroy(&ticket_header);
}

static bool
write_event(BkRelay *relay, BkStr raw)
{
    if (!relay->stream_opened) {
        open_stream(relay);
    }
    if (!BkHttpReq_Write(relay->req, raw)) {
        relay->blocked = true;
        BkTimer_Start(relay->wait_timer, relay->entry->conf.max_blocked_time);
        return false;
    }
    return true;
}

static void
keep_delivered_text(BkRelay *relay, BkStr data)
{
    if (!relay->delivered_text_incomplete &&
        BkEvent_ExtractText(data, &relay->delivered_text) != BK_OK) {
        relay->delivered_text_incomplete = true;
        BkBuf_Destroy(&relay->delivered_text);
    }
}

/* counts the event and, since the stream has made progress, restores the full
 * number of attempts */
static void
note_delivered_event(BkRelay *relay)
{
    BkEntryCounters *counters = &relay->entry->counters;
    BkMs now = BkClock_Now();

    if (relay->last_event_at != 0) {
        BkLatency_Note(&counters->between_tokens, now - relay->last_event_at);
    }
    relay->last_event_at = now;
    BkCounter_Add(counters->events, 1);
    relay->last_delivered_id++;
    relay->progress = true;
    relay->attempts_without_progress = 0;
    relay->search_until = 0;
    relay->tried.count = 0;
}

/* Forwards a text event unless the caller has it already. False if the event
 * cannot be forwarded yet, or if a gap in the ids makes the stream invalid. */
static bool
forward_text(BkRelay *relay, const BkEvent *event)
{
    if (event->id <= relay->last_delivered_id) {
        return true;
    }
    if (event->id != relay->last_delivered_id + 1) {
        relay->stream_broken = true;
        return false;
    }
    if (!write_event(relay, event->raw)) {
        return false;
    }
    keep_delivered_text(relay, event->data);
    note_delivered_event(relay);
    return true;
}

static bool
forward_done(BkRelay *relay)
{
    if (!write_event(relay, BK_STR("data: [DONE]\n\n"))) {
        return false;
    }
    relay->stream_complete = true;
    BkHttpReq_EndStream(relay->req, true);
    BkRelay_Finish(relay, BK_OK);
    return true;
}

static bool
forward_event(BkRelay *relay, const BkEvent *event)
{
    switch (event->kind) {
    case BK_EVENT_TEXT:
        return forward_text(relay, event);
    case BK_EVENT_DONE:
        return forward_done(relay);
    case BK_EVENT_ERROR:
        relay->stream_broken = true;
        return false;
    case BK_EVENT_OTHER:
        break;
    }
    return true;
}

static void
forward_events(BkRelay *relay)
{
    BkStr rest = BkBuf_Str(&relay->answer);
    BkEvent event;
    size_t event_len;

    while (!relay->answered && (event_len = BkEvent_Parse(rest, &event)) > 0) {
        if (!forward_event(relay, &event)) {
            break;
        }
        rest.ptr += event_len;
        rest.len -= event_len;
    }
    BkBuf_Consume(&relay->answer, relay->answer.len - rest.len);
    if (relay->answer.len == 0) {
        BkBuf_Destroy(&relay->answer);
    }
    if (rest.len > BK_EVENT_MAX_BYTES && !relay->blocked) {
        relay->stream_broken = true;
    }
}

void
BkStream_Forward(BkRelay *relay)
{
    if (relay->req == NULL || relay->answered) {
        return;
    }
    forward_events(relay);
    if (relay->stream_broken && !relay->answered) {
        BK_LOG(BK_LOG_WARNING, "stream", relay->request_id,
               "events of %s are broken behind %llu", relay->up_addr,
               (unsigned long long)relay->last_delivered_id);
        int http_status = relay->http_status;
        BkRelay_AbortCall(relay);
        relay->http_status = http_status;
        BkRelay_HandleAttemptEnd(relay);
    }
}

bool
BkStream_OnData(BkRelay *relay, BkStr data)
{
    if (relay->answered) {
        return true;
    }
    if (relay->blocked) {
        return false;
    }
    if (BkBuf_Append(&relay->answer, data) != BK_OK) {
        relay->stream_broken = true;
    }
    BkStream_Forward(relay);
    return true;
}

void
BkStream_EndWithError(BkRelay *relay, BkStatus status, const char *message,
                      BkMs retry_after)
{
    BkBuf event = BkBuf_Make(0);

    BkBuf_Printf(&event, "event: error\ndata: ");
    BkError_Encode(status, message, retry_after, &event);
    BkBuf_Printf(&event, "\n\n");
    /* if the buffer is full, the event is lost, but the cut alone shows that
       the stream is not complete */
    BkHttpReq_Write(relay->req, BkBuf_Str(&event));
    BkBuf_Destroy(&event);
    BkHttpReq_EndStream(relay->req, false);
}
