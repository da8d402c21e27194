#include "keeper.h"
#include "planner.h"
#include "relay.h"

#include <stdlib.h>

#include "bk/base/log.h"

void
FrRelay_Free(FrRelay *relay)
{
    BkTimer_Destroy(relay->timer);
    BkBuf_Destroy(&relay->head);
    BkBuf_Destroy(&relay->body);
    BkBuf_Destroy(&relay->fields);
    BkBuf_Destroy(&relay->answer);
    free(relay->route);
    free(relay->service);
    free(relay->model);
    free(relay->adapter);
    free(relay);
}

/* Removes the request from the load of its upstream. */
static void
release_upstream(FrRelay *relay)
{
    BkUp *up = relay->up;

    if (up == NULL) {
        return;
    }
    if (relay->unread) {
        up->own_prompt_tokens -= relay->query.prompt_tokens;
        relay->unread = false;
    }
    up->own_running--;
    FrKeeper_Forget(relay->front->keeper, relay);
    FrKeeper_NoteChange(relay->front->keeper, relay, up);
    relay->up = NULL;
    BkUp_Unref(up);
    FrQueue_WakeSoon(relay->front, 0);
}

void
FrRelay_AbortAttempt(FrRelay *relay)
{
    if (relay->link != NULL) {
        FrLink_Abort(relay->link);
        relay->link = NULL;
    }
    release_upstream(relay);
}

static void
log_outcome(const FrRelay *relay, int code)
{
    BkMs now = BkClock_Now();

    BkLog_Event(
        BK_LOG_INFO, "relay", relay->id, "answered",
        "s:s, s:s, s:s?, s:s?, s:i, s:s, s:s, s:i, s:i, s:I, s:I, s:I, "
        "s:I, s:I, s:I, s:I",
        "route", relay->route, "service", relay->service, "model",
        relay->model, "adapter", relay->adapter, "code", code, "why",
        relay->why, "upstream", relay->last_up, "sends", relay->sends, "runs",
        relay->runs, "prompt", (json_int_t)relay->query.prompt_tokens,
        "sent_ms",
        (json_int_t)(relay->sends > 0 ? relay->sent_at - relay->started : -1),
        "first_ms",
        (json_int_t)(relay->first_sent ? relay->first_at - relay->started
                                       : -1),
        "last_ms",
        (json_int_t)(relay->first_sent ? relay->last_at - relay->started : -1),
        "pause_ms", (json_int_t)relay->longest_pause, "took_ms",
        (json_int_t)(now - relay->started), "config",
        (json_int_t)(relay->front->site == NULL
                         ? 0
                         : relay->front->site->version));
}

void
FrRelay_Finish(FrRelay *relay, int code)
{
    FrFront *front = relay->front;

    if (relay->stage == FR_ENDED) {
        return;
    }
    FrQueue_Remove(relay);
    relay->stage = FR_ENDED;
    FrRelay_AbortAttempt(relay);
    BkTimer_Stop(relay->timer);
    log_outcome(relay, code);
    FrMetrics_NoteAnswer(relay, code);
    if (relay->prev != NULL) {
        relay->prev->next = relay->next;
    }
    else {
        front->relays = relay->next;
    }
    if (relay->next != NULL) {
        relay->next->prev = relay->prev;
    }
    front->relay_count--;
    relay->next = front->dead_relays;
    front->dead_relays = relay;
    FrFront_ReapSoon(front);
}

FrCaller *
FrRelay_DetachCaller(FrRelay *relay)
{
    FrCaller *caller = relay->caller;

    relay->caller = NULL;
    return caller;
}

void
FrRelay_Refuse(FrRelay *relay, int code, const char *why, BkMs retry_after)
{
    FrCaller *caller = FrRelay_DetachCaller(relay);
    bool responding = relay->stage == FR_ANSWERING;

    relay->why = why;
    FrRelay_Finish(relay, code);
    if (caller == NULL) {
        return;
    }
    if (responding) {
        FrCaller_Cut(caller);
    }
    else {
        FrCaller_ReplyOwn(caller, code, why, retry_after);
    }
}

void
FrRelay_GiveUp(FrRelay *relay, const char *why, BkMs retry_after)
{
    /* the current attempt may have run too */
    if (relay->runs > 0 || relay->link != NULL) {
        FrRelay_Refuse(relay, 502, why, 0);
    }
    else {
        FrRelay_Refuse(relay, 503, why, retry_after);
    }
}

void
FrRelays_EndAll(FrFront *front)
{
    while (front->relays != NULL) {
        FrRelay_GiveUp(front->relays, "the daemon ends", 0);
    }
}

void
FrRelay_CallerGone(FrRelay *relay)
{
    relay->caller = NULL;
    relay->why = "the caller went away";
    FrRelay_Finish(relay, 0);
}

void
FrRelay_CallerDrained(FrRelay *relay)
{
    if (relay->link != NULL) {
        FrLink_Pause(relay->link, false);
    }
}
