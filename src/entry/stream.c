#include <stdio.h>

#include "bk/base/log.h"
#include "bk/entry/codec.h"
#include "bk/entry/relay.h"

static void
on_drain(void *arg)
{
    BkRelay *relay = arg;

    relay->blocked = false;
    BkTimer_Stop(relay->timer);
    BkStream_Pump(relay);
    if (relay->blocked) {
        return;
    }
    if (relay->call != NULL) {
        BkHttpCall_Resume(relay->call);
    }
    else if (relay->ended && !relay->answered) {
        BkRelay_TakeEnd(relay);
    }
}

static void
write_ticket_header(const BkRelay *relay, BkBuf *header)
{
    const BkEntry *entry = relay->entry;
    BkTicket ticket = {
        .upstream = relay->up_key,
        .boot = relay->up_boot,
        .attempt = relay->attempt,
    };

    snprintf(ticket.request, sizeof(ticket.request), "%s", relay->request);
    snprintf(ticket.caller, sizeof(ticket.caller), "%s", relay->caller);
    snprintf(ticket.item, sizeof(ticket.item), "%s", relay->item);
    snprintf(ticket.entry, sizeof(ticket.entry), "%s", entry->conf.daemon.ops);
    BkBuf_Printf(header, "X-Resume-Ticket: ");
    BkTicket_Seal(&ticket, entry->ticket_key, header);
}

static void
open_stream(BkRelay *relay)
{
    BkBuf ticket_header = BkBuf_Make(0);
    char id_header[96];

    write_ticket_header(relay, &ticket_header);
    snprintf(id_header, sizeof(id_header), "X-Request-Id: %s", relay->request);
    const char *const headers[] = {BkBuf_C(&ticket_header), id_header,
                                   "Cache-Control: no-store", NULL};
    relay->opened = true;
    BkTimer_Stop(relay->timer);
    BkCounter_Add(relay->entry->counters.streams, 1);
    BkLatency_Note(&relay->entry->counters.first_byte,
                   BkClock_Now() - relay->started);
    BkHttpReq_Stream(relay->req, 200, headers, BK_STR("text/event-stream"),
                     on_drain, relay);
    BkBuf_Destroy(&ticket_header);
}

static bool
write_event(BkRelay *relay, BkStr raw)
{
    if (!relay->opened) {
        open_stream(relay);
    }
    if (!BkHttpReq_Write(relay->req, raw)) {
        relay->blocked = true;
        BkTimer_Start(relay->timer, relay->entry->conf.reader_patience);
        return false;
    }
    return true;
}

static void
keep_delivered_text(BkRelay *relay, BkStr data)
{
    if (!relay->text_lost && BkEvent_Text(data, &relay->text) != BK_OK) {
        relay->text_lost = true;
        BkBuf_Destroy(&relay->text);
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
    BkCounter_Add(counters->tokens, 1);
    relay->delivered++;
    relay->progress = true;
    relay->tries = 0;
    relay->search_until = 0;
    relay->tried.count = 0;
}

/* Forwards a text event unless the caller has it already. False if the event
 * cannot be forwarded yet, or if a gap in the ids makes the stream invalid. */
static bool
forward_text(BkRelay *relay, const BkEvent *event)
{
    if (event->id <= relay->delivered) {
        return true;
    }
    if (event->id != relay->delivered + 1) {
        relay->bad_stream = true;
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
    relay->whole_stream = true;
    BkHttpReq_End(relay->req, true);
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
        relay->bad_stream = true;
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

    while (!relay->answered && (event_len = BkEvent_Next(rest, &event)) > 0) {
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
        relay->bad_stream = true;
    }
}

void
BkStream_Pump(BkRelay *relay)
{
    if (relay->req == NULL || relay->answered) {
        return;
    }
    forward_events(relay);
    if (relay->bad_stream && !relay->answered) {
        BK_LOG(BK_LOG_WARNING, "stream", relay->request,
               "events of %s are broken behind %llu", relay->up_addr,
               (unsigned long long)relay->delivered);
        int code = relay->code;
        BkRelay_Abort(relay);
        relay->code = code;
        BkRelay_TakeEnd(relay);
    }
}

bool
BkStream_Take(BkRelay *relay, BkStr data)
{
    if (relay->answered) {
        return true;
    }
    if (relay->blocked) {
        return false;
    }
    if (BkBuf_Append(&relay->answer, data) != BK_OK) {
        relay->bad_stream = true;
    }
    BkStream_Pump(relay);
    return true;
}

void
BkStream_Break(BkRelay *relay, BkStatus status, const char *message,
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
    BkHttpReq_End(relay->req, false);
}
