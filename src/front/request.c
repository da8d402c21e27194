#include "admission.h"
#include "origins.h"
#include "planner.h"
#include "quarantine.h"
#include "request.h"

#include <stdio.h>
#include <stdlib.h>

#include "bk/base/log.h"

void
FrRequest_Free(FrRequest *request)
{
    BkTimer_Destroy(request->timer);
    BkBuf_Destroy(&request->head);
    BkBuf_Destroy(&request->body);
    BkBuf_Destroy(&request->response_fields);
    BkBuf_Destroy(&request->pending_body);
    BkBuf_Destroy(&request->resume_point.event_id);
    free(request->id);
    free(request->resumed_id);
    free(request->route);
    free(request->service);
    free(request->model);
    free(request->adapter);
    free(request->tried);
    free(request);
}

/* Removes the request from the load of its upstream. */
static void
release_upstream(FrRequest *request)
{
    BkUp *up = request->up;

    if (up == NULL) {
        return;
    }
    if (request->prompt_counted) {
        up->own_prompt_tokens -= request->query.prompt_tokens;
        request->prompt_counted = false;
    }
    up->own_running--;
    FrAdmission_Cancel(request->front->admission, request);
    if (!up->is_daemon) {
        FrAdmission_NoteLoadChange(request->front->admission, up);
    }
    request->up = NULL;
    BkUp_Unref(up);
    FrQueue_SchedulePass(request->front, 0);
}

/* An attempt that ends before the upstream's answer does. What it has sent and
   the upstream's host has not acknowledged may still be on its way. */
static void
log_abort(const FrRequest *request)
{
    BkLog_Event(BK_LOG_INFO, "relay", request->id, "attempt aborted",
                "s:s, s:i, s:I, s:i", "upstream", request->up->id, "sends",
                request->send_count, "after_ms",
                (json_int_t)(BkClock_Now() - request->sent_at), "unacked",
                FrUpConn_CountUnacked(request->conn));
}

void
FrRequest_AbortAttempt(FrRequest *request)
{
    if (request->conn != NULL) {
        log_abort(request);
        FrUpConn_Abort(request->conn);
        request->conn = NULL;
    }
    FrFront_EndRetry(request->front, request, BkClock_Now());
    release_upstream(request);
}

/* "5c1e07a2,91bd3f06" */
static BkBuf
list_parts(const FrRequest *request)
{
    BkBuf text = BkBuf_Make(0);

    for (int i = 0; i < request->part_count; i++) {
        BkBuf_Printf(&text, "%s%llx", i == 0 ? "" : ",",
                     (unsigned long long)request->parts[i]);
    }
    return text;
}

static void
log_outcome(const FrRequest *request, int code)
{
    static const char *const framings[] = {[FR_FRAMING_NONE] = NULL,
                                           [FR_FRAMING_LENGTH] = "length",
                                           [FR_FRAMING_CHUNKS] = "chunks",
                                           [FR_FRAMING_CLOSE] = "close"};
    BkMs now = BkClock_Now();
    BkBuf parts = list_parts(request);
    char digest[20];

    snprintf(digest, sizeof(digest), "%016llx",
             (unsigned long long)request->digest);
    BkLog_Event(
        BK_LOG_INFO, "relay", request->id, "answered",
        "s:s, s:s, s:s?, s:s?, s:i, s:s, s:s, s:i, s:i, s:i, s:I, s:I, s:I, "
        "s:I, s:I, s:I, s:I, s:s?, s:I, s:s, "
        "s:s, s:s, s:s, s:s, s:b",
        "route", request->route, "service", request->service, "model",
        request->model, "adapter", request->adapter, "code", code, "why",
        request->why, "upstream", request->last_up_id, "sends",
        request->send_count, "arrivals", request->arrival_count, "runs",
        request->run_count, "prompt", (json_int_t)request->query.prompt_tokens,
        "sent_ms",
        (json_int_t)(request->send_count > 0
                         ? request->sent_at - request->started_at
                         : -1),
        "first_ms",
        (json_int_t)(request->response_begun
                         ? request->response_begun_at - request->started_at
                         : -1),
        "last_ms",
        (json_int_t)(request->response_begun
                         ? request->last_body_at - request->started_at
                         : -1),
        "pause_ms", (json_int_t)request->longest_pause, "took_ms",
        (json_int_t)(now - request->started_at), "config",
        (json_int_t)(request->front->site == NULL
                         ? 0
                         : request->front->site->version),
        "framing", framings[request->framing], "partial_event",
        (json_int_t)request->partial_event, "software", request->last_software,
        "resumed", request->resumed_id, "parts", BkBuf_C(&parts), "digest",
        digest, "caller", request->caller_ip, "relayed", request->relayed);
    BkBuf_Destroy(&parts);
}

void
FrRequest_Finish(FrRequest *request, int code)
{
    FrFront *front = request->front;

    if (request->stage == FR_ENDED) {
        return;
    }
    FrQueue_Remove(request);
    FrOrigins_Cancel(front->origins, request);
    request->stage = FR_ENDED;
    FrRequest_AbortAttempt(request);
    BkTimer_Stop(request->timer);
    FrQuarantine_EndTrial(front->quarantine, request, BkClock_Now());
    log_outcome(request, code);
    FrMetrics_RecordOutcome(request, code);
    if (request->prev != NULL) {
        request->prev->next = request->next;
    }
    else {
        front->requests = request->next;
    }
    if (request->next != NULL) {
        request->next->prev = request->prev;
    }
    front->request_count--;
    front->relayed_count -= request->relayed ? 1 : 0;
    request->next = front->dead_requests;
    front->dead_requests = request;
    FrFront_ScheduleReap(front);
}

FrCallerConn *
FrRequest_DetachCaller(FrRequest *request)
{
    FrCallerConn *caller_conn = request->caller_conn;

    request->caller_conn = NULL;
    return caller_conn;
}

void
FrRequest_ReplyError(FrRequest *request, int code, const char *why,
                     BkMs retry_after)
{
    FrCallerConn *caller_conn = FrRequest_DetachCaller(request);
    bool responding = request->stage == FR_RESPONDING;

    request->why = why;
    FrRequest_Finish(request, code);
    if (caller_conn == NULL) {
        return;
    }
    if (responding) {
        FrCallerConn_AbortResponse(caller_conn);
    }
    else {
        FrCallerConn_ReplyError(caller_conn, code, why, retry_after);
    }
}

void
FrRequest_GiveUp(FrRequest *request, const char *why, BkMs retry_after)
{
    /* the current attempt may have run too */
    if (request->run_count > 0 || request->conn != NULL) {
        FrRequest_ReplyError(request, 502, why, 0);
    }
    else {
        FrRequest_ReplyError(request, 503, why, retry_after);
    }
}

void
FrRequests_EndAll(FrFront *front)
{
    while (front->requests != NULL) {
        FrRequest_GiveUp(front->requests, "the daemon ends", 0);
    }
}

void
FrRequest_OnCallerGone(FrRequest *request)
{
    FrCallerConn *caller_conn = FrRequest_DetachCaller(request);

    caller_conn->request = NULL;
    request->why = "the caller went away";
    FrRequest_Finish(request, 0);
}

void
FrRequest_OnCallerDrained(FrRequest *request)
{
    if (request->conn != NULL) {
        FrUpConn_SetPaused(request->conn, false);
    }
}
