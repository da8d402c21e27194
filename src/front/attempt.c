#include "bk/wait/wait.h"
#include "admission.h"
#include "detour.h"
#include "planner.h"
#include "quarantine.h"
#include "request.h"
#include "signals.h"
#include "stop.h"

#include <stdio.h>

#include "bk/base/log.h"

enum {
    /* ms after which the planner is asked again for the same adapter */
    ADAPTER_REQUEST_PERIOD = 60,
    /* ms; Retry-After when no upstream can be used or tried again */
    DEFAULT_RETRY_AFTER = 500,
    /* ms in which an engine is not used after its coordinator reported it
       full */
    FULL_BACKOFF = 25,
    /* attempts of one request after which no upstream gets it a second time */
    MAX_SENDS_IN_TURN = 8,
    FIRST_TRIED_CAP = 8, /* upstreams; the list of those tried doubles */
    /* ms in which an upstream is avoided after a failure */
    FIRST_BACKOFF = 300,
    MAX_BACKOFF = 5000 /* ms, after many consecutive failures */
};

/* The share of the route's latency target after which a repeatable request
   without a response is sent to another upstream. */
static const double retry_at_share = 0.6;

static BkMs
retry_time(const FrRequest *request)
{
    return request->sent_at +
           (BkMs)((double)request->latency_target * retry_at_share);
}

static bool
may_run_again(const FrRequest *request)
{
    return request->repeatable && request->run_count < request->max_runs;
}

bool
FrRequest_MayReplaceAttempt(const FrRequest *request)
{
    return request->repeatable && request->run_count + 1 < request->max_runs;
}

void
FrRequest_ArmTimer(FrRequest *request, BkMs now)
{
    BkMs fire_at = request->deadline;

    if (request->stage == FR_SENT && request->kind == BK_ROUTE_SAFE &&
        FrRequest_MayReplaceAttempt(request) &&
        retry_time(request) < fire_at && retry_time(request) > now) {
        fire_at = retry_time(request);
    }
    BkTimer_Start(request->timer, fire_at - now);
}

static bool
take_retry(FrRequest *request, BkMs now)
{
    FrFront *front = request->front;

    if (FrFront_TakeRetry(front, request, now)) {
        BkCounter_Add(front->metrics.retries, 1);
        return true;
    }
    BkCounter_Add(front->metrics.retries_denied, 1);
    return false;
}

static void
log_sent(const FrRequest *request, BkMs now)
{
    const BkUp *up = request->up;
    const FrResumePoint *point = &request->resume_point;

    BkLog_Event(BK_LOG_DEBUG, "relay", request->id, "sent",
                "s:s, s:s, s:i, s:I, s:I, s:i, s:I, s:b, s:s?", "upstream",
                up->id, "software", up->software, "send", request->send_count,
                "waited_ms", (json_int_t)(now - request->started_at), "unread",
                (json_int_t)(up->own_prompt_tokens + up->peer_prompt_tokens),
                "running", up->own_running + up->peer_running,
                "report_version", (json_int_t)up->row_version, "begun",
                request->response_begun, "after_event",
                point->kind == FR_RESUME_AFTER ? BkBuf_C(&point->event_id)
                                               : NULL);
}

static void
send_request(FrRequest *request, BkMs now)
{
    FrFront *front = request->front;
    BkUp *up = request->up;
    const FrResumePoint *point = &request->resume_point;
    BkBuf head = BkBuf_Make(0);
    BkForwardFields fields = {.until_deadline = request->deadline - now,
                              .upstream_id = up->is_daemon ? NULL : up->id,
                              .priority =
                                  request->query.model == 0 || up->is_daemon
                                      ? -1
                                      : request->priority,
                              .resumes = point->kind == FR_RESUME_AFTER,
                              .last_event = BkBuf_Str(&point->event_id)};

    if (request->arrival_count > 0 && !take_retry(request, now)) {
        FrRequest_GiveUp(request, "the retry budget is spent",
                         DEFAULT_RETRY_AFTER);
        return;
    }
    BkBuf_Append(&head, BkBuf_Str(&request->head));
    BkAdapter_PutForwardFields(&head, &fields);
    if (up->is_daemon) {
        FrDetour_PutFields(request, &head);
    }
    BkBuf_Append(&head, BK_STR("\r\n"));
    request->conn =
        FrUpConn_Send(front, up, request, BkBuf_Str(&head),
                      BkBuf_Str(&request->body), request->bodiless);
    BkBuf_Destroy(&head);
    if (request->conn == NULL) {
        FrRequest_GiveUp(request, "no connection could be opened",
                         DEFAULT_RETRY_AFTER);
        return;
    }
    snprintf(request->last_up_id, sizeof(request->last_up_id), "%s", up->id);
    snprintf(request->last_software, sizeof(request->last_software), "%s",
             up->software);
    if (request->query.adapter != 0 && !up->is_daemon) {
        FrDemand_NoteAdapterUse(front->planner, up, request->query.model,
                                request->query.adapter);
    }
    if (request->was_queued) {
        request->was_queued = false;
        BkPace_NoteSend(&FrQueuePace_FindOrReset(front, &request->query)->pace,
                        now);
    }
    request->send_count++;
    request->arrival_count++;
    request->sent_at = now;
    request->output_at = 0;
    request->last_up_code = 0;
    request->noted_well = false;
    request->went_silent = false;
    if (request->stage == FR_WAITING) {
        request->stage = FR_SENT;
    }
    BkCounter_Add(front->metrics.sends, 1);
    log_sent(request, now);
    FrRequest_ArmTimer(request, now);
}

void
FrRequest_SendTo(FrRequest *request, BkUp *up, BkMs now)
{
    FrQueue_Remove(request);
    request->up = BkUp_Ref(up);
    up->own_running++;
    send_request(request, now);
}

/* Adds the request to the load of the upstream, and sends it there, if
   necessary after asking the upstream's coordinator. Returns what
   FrRequest_Dispatch does. */
static bool
assign_upstream(FrRequest *request, BkUp *up, BkMs now)
{
    request->up = BkUp_Ref(up);
    up->own_running++;
    up->own_prompt_tokens += request->query.prompt_tokens;
    request->prompt_counted = true;
    if (request->query.model == 0 && !BkThrottle_IsLimited(&up->throttle) &&
        !FrSignals_IsBrittle(request->front, up->service_key)) {
        FrAdmission_NoteLoadChange(request->front->admission, up);
        send_request(request, now);
        return true;
    }
    switch (FrAdmission_Ask(request->front->admission, request, now)) {
    case FR_ASK_SENT:
        break;
    case FR_ASK_GRANTED:
        send_request(request, now);
        break;
    case FR_ASK_DENIED:
        FrRequest_AbortAttempt(request);
        return FrRequest_Dispatch(request);
    }
    return true;
}

void
FrRequest_OnAskAnswer(FrRequest *request, bool granted, BkMs delay, BkMs now)
{
    BkUp *up = request->up;
    /* it may have asked for a pause, or said that it leaves, meanwhile */
    bool closed = !BkUp_IsOpen(up) || now < up->throttle.held_until;

    if (granted && !closed) {
        send_request(request, now);
        return;
    }
    if (delay > 0) {
        up->throttled_until = now + delay;
    }
    else if (!closed) {
        up->full_until = now + FULL_BACKOFF;
    }
    FrRequest_AbortAttempt(request);
    FrRequest_Dispatch(request);
}

BkPickConf
FrRequest_MakePickConf(const FrFront *front, uint32_t service)
{
    bool brittle = FrSignals_IsBrittle(front, service);

    return (BkPickConf){.prefill_window = front->conf.prefill_window,
                        .tokens_per_run = front->conf.tokens_per_run,
                        .affinity_slack = front->conf.affinity_slack,
                        .cross_domain_cost = front->conf.cross_domain_cost,
                        /* a brittle upstream lets no request wait */
                        .max_load_ratio =
                            brittle ? 1.0 : front->conf.max_load_ratio};
}

bool
FrRequest_IsForService(const FrFront *front, const BkUp *up)
{
    const BkSiteService *service =
        front->site == NULL ? NULL
                            : BkSite_FindService(front->site, up->service);

    return service != NULL && service->engine == NULL;
}

bool
FrRequest_IsUpFull(const FrFront *front, const BkUp *up, int64_t prompt)
{
    BkPickConf conf = FrRequest_MakePickConf(front, up->service_key);

    return FrRequest_IsForService(front, up)
               ? BkPick_IsServiceFull(&conf, up)
               : BkPick_IsEngineFull(&conf, up, prompt);
}

static void
add_tried(FrRequest *request, const BkUp *up)
{
    BkPickQuery *query = &request->query;

    if (query->tried_count == request->tried_cap) {
        request->tried_cap =
            request->tried_cap == 0 ? FIRST_TRIED_CAP : request->tried_cap * 2;
        request->tried = BkMem_Grow(request->tried, (size_t)request->tried_cap,
                                    sizeof(*request->tried));
        query->tried = request->tried;
    }
    request->tried[query->tried_count++] = up->key;
}

static BkMs
until_ready(const FrRequest *request, BkMs now)
{
    switch (request->wait_cause) {
    case BK_WAIT_ADAPTER:
        return request->adapter_loadable_at - now;
    case BK_WAIT_PAUSE:
        return request->open_at - now;
    case BK_WAIT_FULL:
    case BK_WAIT_MODEL:
        break;
    }
    return FrExpected_GetDelay(request->front, request->query.model, now);
}

BkWaitDecision
FrRequest_DecideWait(FrRequest *request, int ahead, BkMs now)
{
    FrFront *front = request->front;
    const FrQueuePace *pace_row =
        FrQueuePace_FindOrReset(front, &request->query);
    BkWaitQuery wait_query = {
        .cause = request->wait_cause,
        .waited = now - request->started_at,
        .patience = request->patience,
        .until_deadline = request->deadline - now,
        .until_ready = until_ready(request, now),
        .queue_delay = BkPace_EstimateWait(&pace_row->pace, ahead, now),
        .has_planner = FrPeers_HasPlanner(front->peers, now),
        .jitter_draw = BkRng_Unit(&front->rng)};

    return BkWait_Decide(&bk_wait_defaults, &wait_query);
}

void
FrRequest_RefuseWait(FrRequest *request, BkMs retry_after)
{
    static const char *const reasons[] = {
        [BK_WAIT_FULL] = "those that could serve it are full",
        [BK_WAIT_ADAPTER] = "its adapter is not at hand",
        [BK_WAIT_MODEL] = "no engine holds its model",
        [BK_WAIT_PAUSE] = "those that could serve it want a pause"};

    FrRequest_GiveUp(request, reasons[request->wait_cause], retry_after);
}

/* Returns true if the request was refused. */
static bool
wait_or_refuse(FrRequest *request, BkWaitCause cause, BkMs now)
{
    request->wait_cause = cause;
    FrQueue_Add(request);
    BkWaitDecision decision =
        FrRequest_DecideWait(request, FrQueue_CountAhead(request), now);
    if (!decision.refuse) {
        return false;
    }
    FrRequest_RefuseWait(request, decision.retry_after);
    return true;
}

/* Whether something comes before the choice of an upstream: the request has
   ended, is held, or went by way of another daemon. Sets *as_trial if it may be
   sent only as a trial. */
static bool
is_settled(FrRequest *request, BkMs now, bool *as_trial)
{
    if (request->caller_conn->dead) {
        FrRequest_OnCallerGone(request);
        return true;
    }
    if (FrStop_MaybeRefuse(request, now)) {
        return true;
    }
    FrQuarantineState state =
        FrQuarantine_Check(request->front->quarantine, request, now);
    *as_trial = state == FR_QUARANTINE_TRIAL;
    return state == FR_QUARANTINE_HELD || state == FR_QUARANTINE_REFUSED ||
           FrDetour_TrySend(request, false, now) ||
           FrDetour_MaybeReturn(request);
}

bool
FrRequest_Dispatch(FrRequest *request)
{
    FrFront *front = request->front;
    BkMs now = BkClock_Now();
    BkPickConf conf = FrRequest_MakePickConf(front, request->query.service);
    const BkSiteService *service =
        front->site == NULL
            ? NULL
            : BkSite_FindService(front->site, request->service);

    bool as_trial = false;

    if (is_settled(request, now, &as_trial)) {
        return true;
    }
    request->query.engine = service == NULL ? NULL : service->engine;
    BkPickChoice choice =
        BkPick_Choose(&conf, &front->fleet, &request->query, now);
    request->query.engine = NULL; /* the site may be replaced and freed */
    request->model_missing = choice.result == BK_PICK_NO_MODEL;
    switch (choice.result) {
    case BK_PICK_SEND:
        if (as_trial) {
            FrQuarantine_ClaimTrial(front->quarantine, request, now);
            return true;
        }
        FrQueue_Remove(request);
        return assign_upstream(request, choice.up, now);
    case BK_PICK_LOAD_ADAPTER:
        if (now - request->adapter_requested_at >= ADAPTER_REQUEST_PERIOD) {
            request->adapter_requested_at = now;
            FrPlanner_RequestAdapter(front, choice.up, request->model,
                                     request->adapter);
        }
        request->adapter_loadable_at = choice.loadable_at;
        return wait_or_refuse(request, BK_WAIT_ADAPTER, now);
    case BK_PICK_FULL:
        request->open_at = choice.open_at;
        return wait_or_refuse(
            request, choice.open_at > now ? BK_WAIT_PAUSE : BK_WAIT_FULL, now);
    case BK_PICK_NO_MODEL:
        return wait_or_refuse(request, BK_WAIT_MODEL, now);
    case BK_PICK_OTHER_VERSION:
        /* models are not loaded for the sake of a version */
        FrRequest_GiveUp(request,
                         "no upstream of the stream's version can serve it",
                         DEFAULT_RETRY_AFTER);
        return true;
    case BK_PICK_ALL_TRIED:
        if (request->send_count > request->arrival_count &&
            FrDetour_TrySend(request, true, now)) {
            return true;
        }
        if (request->run_count > 0 && may_run_again(request) &&
            request->send_count < MAX_SENDS_IN_TURN) {
            /* by now, one of them may be able to serve it */
            request->query.tried_count = 0;
            return FrRequest_Dispatch(request);
        }
        FrRequest_GiveUp(request, "every upstream was tried",
                         DEFAULT_RETRY_AFTER);
        return true;
    case BK_PICK_NO_UPSTREAM:
        FrRequest_GiveUp(request, "no upstream of the service is usable",
                         DEFAULT_RETRY_AFTER);
        return true;
    }
    return false;
}

/* Attempts that were under way at the last failure fail of the same cause:
   they renew the backoff, and do not lengthen it. */
static void
count_failure(BkUp *up, BkMs sent_at, BkMs now)
{
    BkMs backoff = FIRST_BACKOFF;

    if (up->failures == 0 || sent_at > up->failed_at) {
        up->failures++;
        up->failed_at = now;
    }
    for (int i = 1; i < up->failures && backoff < MAX_BACKOFF; i++) {
        backoff *= 2;
    }
    up->avoid_until = now + (backoff < MAX_BACKOFF ? backoff : MAX_BACKOFF);
}

void
FrRequest_ClearUpFailures(BkUp *up)
{
    up->failures = 0;
    up->avoid_until = 0;
}

/* Dispatches the request again, or ends it if no further run is allowed. */
static void
retry_or_end(FrRequest *request, const char *why)
{
    bool allowed = request->run_count == 0 || may_run_again(request);

    if (request->stage == FR_RESPONDING && !request->resumable) {
        allowed = false;
    }
    if (allowed && request->resume_point.kind == FR_RESUME_NEVER) {
        allowed = false;
        why = "it broke off where no other attempt can resume it";
    }
    if (!allowed) {
        FrRequest_GiveUp(request, why, DEFAULT_RETRY_AFTER);
        return;
    }
    if (request->stage == FR_SENT) {
        request->stage = FR_WAITING;
    }
    BkBuf_Clear(&request->pending_body);
    request->event_scanned = 0;
    FrRequest_Dispatch(request);
}

/* Whether the upstream refused the request for want of its model. It does not
   count as tried then: it is not chosen before it reports the model again,
   which may be soon. */
static bool
only_lacked_model(const FrRequest *request)
{
    return request->query.model != 0 &&
           BkAdapter_IsMisdirected(request->last_up_code);
}

void
FrRequest_FailAttempt(FrRequest *request, bool may_have_run, bool avoid,
                      const char *why)
{
    BkUp *up = request->up;
    BkMs now = BkClock_Now();

    if (may_have_run) {
        request->run_count++;
    }
    if (avoid) {
        count_failure(up, request->sent_at, now);
    }
    BkLog_Event(BK_LOG_INFO, "relay", request->id, "attempt failed",
                "s:s, s:s, s:s, s:b, s:I, s:i, s:i, s:i", "upstream", up->id,
                "software", up->software, "why", why, "may_have_run",
                may_have_run, "after_ms", (json_int_t)(now - request->sent_at),
                "sends", request->send_count, "arrivals",
                request->arrival_count, "code", request->last_up_code);
    if (!up->is_daemon && (may_have_run || !only_lacked_model(request))) {
        add_tried(request, up);
    }
    FrRequest_AbortAttempt(request);
    retry_or_end(request, why);
}

void
FrRequest_OnTimer(void *arg)
{
    FrRequest *request = arg;
    BkMs now = BkClock_Now();

    if (now < request->deadline) {
        if (request->stage == FR_SENT) {
            FrRequest_FailAttempt(request, true, false,
                                  "no answer in good time");
        }
        else {
            FrRequest_ArmTimer(request, now);
        }
        return;
    }
    if (request->conn != NULL) {
        request->run_count++;
    }
    if (request->run_count > 0) {
        FrRequest_ReplyError(request, 504, "no answer before the deadline", 0);
    }
    else {
        FrRequest_ReplyError(request, 503, "no upstream was free in time",
                             DEFAULT_RETRY_AFTER);
    }
}
