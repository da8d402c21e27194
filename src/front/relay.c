#include "admission.h"
#include "planner.h"
#include "relay.h"

#include <stdlib.h>

#include "bk/base/log.h"

void
FrRelay_Free(FrRelay *request)
{
    BkTimer_Destroy(request->timer);
    BkBuf_Destroy(&request->head);
    BkBuf_Destroy(&request->body);
    BkBuf_Destroy(&request->fields);
    BkBuf_Destroy(&request->answer);
    free(request->route);
    free(request->service);
    free(request->model);
    free(request->adapter);
    free(request);
}

/* Removes the request from the load of its upstream. */
static void
release_upstream(FrRelay *request)
{
    BkUp *up = request->up;

    if (up == NULL) {
        return;
    }
    if (request->unread) {
        up->own_prompt_tokens -= request->query.prompt_tokens;
        request->unread = false;
    }
    up->own_running--;
    FrAdmission_Cancel(request->front->admission, request);
    FrAdmission_NoteLoadChange(request->front->admission, request, up);
    request->up = NULL;
    BkUp_Unref(up);
    FrQueue_WakeSoon(request->front, 0);
}

void
FrRelay_AbortAttempt(FrRelay *request)
{
    if (request->link != NULL) {
        FrLink_Abort(request->link);
        request->link = NULL;
    }
    release_upstream(request);
}

static void
log_outcome(const FrRelay *request, int code)
{
    BkMs now = BkClock_Now();

    BkLog_Event(
        BK_LOG_INFO, "relay", request->id, "answered",
        "s:s, s:s, s:s?, s:s?, s:i, s:s, s:s, s:i, s:i, s:I, s:I, s:I, "
        "s:I, s:I, s:I, s:I",
        "route", request->route, "service", request->service, "model",
        request->model, "adapter", request->adapter, "code", code, "why",
        request->why, "upstream", request->last_up, "sends", request->sends,
        "runs", request->runs, "prompt",
        (json_int_t)request->query.prompt_tokens, "sent_ms",
        (json_int_t)(request->sends > 0 ? request->sent_at - request->started
                                        : -1),
        "first_ms",
        (json_int_t)(request->first_sent ? request->first_at - request->started
                                         : -1),
        "last_ms",
        (json_int_t)(request->first_sent ? request->last_at - request->started
                                         : -1),
        "pause_ms", (json_int_t)request->longest_pause, "took_ms",
        (json_int_t)(now - request->started), "config",
        (json_int_t)(request->front->site == NULL
                         ? 0
                         : request->front->site->version));
}

void
FrRelay_Finish(FrRelay *request, int code)
{
    FrFront *front = request->front;

    if (request->stage == FR_ENDED) {
        return;
    }
    FrQueue_Remove(request);
    request->stage = FR_ENDED;
    FrRelay_AbortAttempt(request);
    BkTimer_Stop(request->timer);
    log_outcome(request, code);
    FrMetrics_NoteAnswer(request, code);
    if (request->prev != NULL) {
        request->prev->next = request->next;
    }
    else {
        front->relays = request->next;
    }
    if (request->next != NULL) {
        request->next->prev = request->prev;
    }
    front->relay_count--;
    request->next = front->dead_relays;
    front->dead_relays = request;
    FrFront_ReapSoon(front);
}

FrCaller *
FrRelay_DetachCaller(FrRelay *request)
{
    FrCaller *caller = request->caller;

    request->caller = NULL;
    return caller;
}

void
FrRelay_Refuse(FrRelay *request, int code, const char *why, BkMs retry_after)
{
    FrCaller *caller = FrRelay_DetachCaller(request);
    bool responding = request->stage == FR_ANSWERING;

    request->why = why;
    FrRelay_Finish(request, code);
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
FrRelay_GiveUp(FrRelay *request, const char *why, BkMs retry_after)
{
    /* the current attempt may have run too */
    if (request->runs > 0 || request->link != NULL) {
        FrRelay_Refuse(request, 502, why, 0);
    }
    else {
        FrRelay_Refuse(request, 503, why, retry_after);
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
FrRelay_CallerGone(FrRelay *request)
{
    request->caller = NULL;
    request->why = "the caller went away";
    FrRelay_Finish(request, 0);
}

void
FrRelay_CallerDrained(FrRelay *request)
{
    if (request->link != NULL) {
        FrLink_Pause(request->link, false);
    }
}
