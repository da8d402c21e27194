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
seal_ticket(const BkRelay *relay, BkBuf *field)
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
    BkBuf_Printf(field, "X-Resume-Ticket: ");
    BkTicket_Seal(&ticket, entry->ticket_key, field);
}

static void
open_stream(BkRelay *relay)
{
    BkBuf ticket = BkBuf_Make(0);
    char request[96];

    seal_ticket(relay, &ticket);
    snprintf(request, sizeof(request), "X-Request-Id: %s", relay->request);
    const char *const headers[] = {BkBuf_C(&ticket), request,
                                   "Cache-Control: no-store", NULL};
    relay->opened = true;
    BkTimer_Stop(relay->timer);
    BkCounter_Add(relay->entry->counters.streams, 1);
    BkLatency_Note(&relay->entry->counters.first_byte,
                   BkClock_Now() - relay->started);
    BkHttpReq_Stream(relay->req, 200, headers, BK_STR("text/event-stream"),
                     on_drain, relay);
    BkBuf_Destroy(&ticket);
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
keep_text(BkRelay *relay, BkStr data)
{
    if (!relay->text_lost && BkEvent_Text(data, &relay->text) != BK_OK) {
        relay->text_lost = true;
        BkBuf_Destroy(&relay->text);
    }
}

static void
note_event(BkRelay *relay)
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

/* False if the event must wait or the stream is of no more use. Numbers
 * that the caller has are dropped; a gap counts as a cut. */
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
    keep_text(relay, event->data);
    note_event(relay);
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
    size_t used;

    while (!relay->answered && (used = BkEvent_Next(rest, &event)) > 0) {
        if (!forward_event(relay, &event)) {
            break;
        }
        rest.ptr += used;
        rest.len -= used;
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
    /* a full buffer leaves no room for it; the cut says enough */
    BkHttpReq_Write(relay->req, BkBuf_Str(&event));
    BkBuf_Destroy(&event);
    BkHttpReq_End(relay->req, false);
}
