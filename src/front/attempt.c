#include "bk/wait/wait.h"
#include "keeper.h"
#include "planner.h"
#include "relay.h"

#include <stdio.h>

#include "bk/base/log.h"

enum {
    /* ms after which the planner is asked again for the same adapter */
    ADAPTER_REQUEST_PERIOD = 60,
    /* ms; Retry-After when no upstream can be used or tried again */
    DEFAULT_RETRY_AFTER = 500,
    /* ms in which an engine is not used after its keeper reported it full */
    FULL_BACKOFF = 25,
    /* ms in which an upstream is avoided after a failure */
    FIRST_BACKOFF = 300,
    MAX_BACKOFF = 5000 /* ms, after many consecutive failures */
};

/* The share of the route's latency target after which a repeatable request
   without a response is sent to another upstream. */
static const double retry_at_share = 0.6;

static BkMs
retry_time(const FrRelay *relay)
{
    return relay->sent_at + (BkMs)((double)relay->target * retry_at_share);
}

static bool
may_run_again(const FrRelay *relay)
{
    return relay->repeatable && relay->runs < relay->attempts;
}

/* Whether the route allows another run besides the current attempt. */
static bool
may_replace_attempt(const FrRelay *relay)
{
    return relay->repeatable && relay->runs + 1 < relay->attempts;
}

void
FrRelay_ArmTimer(FrRelay *relay, BkMs now)
{
    BkMs fire_at = relay->until;

    if (relay->stage == FR_SENT && relay->kind == BK_ROUTE_SAFE &&
        may_replace_attempt(relay) && retry_time(relay) < fire_at &&
        retry_time(relay) > now) {
        fire_at = retry_time(relay);
    }
    BkTimer_Start(relay->timer, fire_at - now);
}

static bool
try_retry(FrRelay *relay, BkMs now)
{
    FrFront *front = relay->front;

    if (FrFront_SpendBudget(front, relay->query.service, now)) {
        BkCounter_Add(front->metrics.repeats, 1);
        return true;
    }
    BkCounter_Add(front->metrics.no_budget, 1);
    return false;
}

static void
send_request(FrRelay *relay, BkMs now)
{
    FrFront *front = relay->front;
    BkUp *up = relay->up;
    BkBuf head = BkBuf_Make(0);
    BkUpstreamHint fields = {
        .deadline = relay->until - now,
        .id = up->id,
        .urgency = relay->query.model == 0 ? -1 : relay->priority,
        .resumes = relay->has_event,
        .last_event = relay->last_event};

    if (relay->sends > 0 && !try_retry(relay, now)) {
        FrRelay_GiveUp(relay, "the retry budget is spent",
                       DEFAULT_RETRY_AFTER);
        return;
    }
    BkBuf_Append(&head, BkBuf_Str(&relay->head));
    BkAdapter_PutHint(&head, &fields);
    BkBuf_Append(&head, BK_STR("\r\n"));
    relay->link = FrLink_Send(front, up, relay, BkBuf_Str(&head),
                              BkBuf_Str(&relay->body), relay->bodiless);
    BkBuf_Destroy(&head);
    if (relay->link == NULL) {
        FrRelay_GiveUp(relay, "no connection could be opened",
                       DEFAULT_RETRY_AFTER);
        return;
    }
    snprintf(relay->last_up, sizeof(relay->last_up), "%s", up->id);
    if (relay->query.adapter != 0) {
        FrPlanner_NoteAdapterUse(front->planner, up, relay->query.model,
                                 relay->query.adapter);
    }
    if (relay->waited) {
        relay->waited = false;
        BkPace_NoteSend(&FrQueuePace_Find(front, &relay->query)->pace, now);
    }
    relay->sends++;
    relay->sent_at = now;
    if (relay->stage == FR_WAITING) {
        relay->stage = FR_SENT;
    }
    BkCounter_Add(front->metrics.sends, 1);
    BkLog_Event(BK_LOG_DEBUG, "relay", relay->id, "sent",
                "s:s, s:i, s:I, s:I, s:i, s:I", "upstream", up->id, "send",
                relay->sends, "waited_ms", (json_int_t)(now - relay->started),
                "unread",
                (json_int_t)(up->own_prompt_tokens + up->peer_prompt_tokens),
                "running", up->own_running + up->peer_running,
                "report_version", (json_int_t)up->row_version);
    FrRelay_ArmTimer(relay, now);
}

/* Adds the request to the load of the upstream, and sends it there, if
   necessary after asking the upstream's keeper. */
static void
assign_upstream(FrRelay *relay, BkUp *up, BkMs now)
{
    relay->up = BkUp_Ref(up);
    up->own_running++;
    up->own_prompt_tokens += relay->query.prompt_tokens;
    relay->unread = true;
    if (relay->query.model == 0 ||
        !FrKeeper_Ask(relay->front->keeper, relay, now)) {
        send_request(relay, now);
    }
}

void
FrRelay_TakeGrant(FrRelay *relay, bool granted, BkMs now)
{
    if (granted) {
        send_request(relay, now);
        return;
    }
    relay->up->full_until = now + FULL_BACKOFF;
    FrRelay_AbortAttempt(relay);
    FrRelay_Dispatch(relay);
}

static BkPickConf
make_pick_conf(const FrFront *front)
{
    return (BkPickConf){.prefill_window = front->conf.pick_window,
                        .tokens_per_run = front->conf.pick_per_run,
                        .affinity_slack = front->conf.pick_affinity,
                        .cross_domain_cost = front->conf.pick_far,
                        .max_load_ratio = front->conf.pick_full};
}

bool
FrRelay_IsEngineFull(const FrFront *front, const BkUp *up, int64_t prompt)
{
    BkPickConf conf = make_pick_conf(front);

    return BkPick_IsEngineFull(&conf, up, prompt);
}

static void
add_tried(FrRelay *relay, const BkUp *up)
{
    BkPickQuery *query = &relay->query;

    if (query->tried_count < BK_PICK_MAX_TRIED) {
        query->tried[query->tried_count++] = up->key;
    }
}

BkWaitDecision
FrRelay_Judge(FrRelay *relay, int ahead, BkMs now)
{
    FrFront *front = relay->front;
    const FrQueuePace *pace_row = FrQueuePace_Find(front, &relay->query);
    BkWaitQuery wait_query = {
        .cause = relay->cause,
        .waited = now - relay->started,
        .patience = relay->patience,
        .until_deadline = relay->until - now,
        .until_ready = FrExpected_GetDelay(front, relay->query.model, now),
        .queue_delay = BkPace_EstimateWait(&pace_row->pace, ahead, now),
        .has_planner = FrPeers_HasPlanner(front->peers, now),
        .jitter_draw = BkRng_Unit(&front->rng)};

    return BkWait_Decide(&bk_wait_defaults, &wait_query);
}

void
FrRelay_GiveUpWaiting(FrRelay *relay, BkMs retry_after)
{
    static const char *const reasons[] = {"those that could serve it are full",
                                          "its adapter is not at hand",
                                          "no engine holds its model"};

    FrRelay_GiveUp(relay, reasons[relay->cause], retry_after);
}

/* Returns true if the request was refused. */
static bool
wait_or_refuse(FrRelay *relay, BkWaitCause cause, BkMs now)
{
    relay->cause = cause;
    FrQueue_Add(relay);
    BkWaitDecision decision =
        FrRelay_Judge(relay, FrQueue_CountBefore(relay), now);
    if (!decision.refuse) {
        return false;
    }
    FrRelay_GiveUpWaiting(relay, decision.retry_after);
    return true;
}

bool
FrRelay_Dispatch(FrRelay *relay)
{
    FrFront *front = relay->front;
    BkMs now = BkClock_Now();
    BkPickConf conf = make_pick_conf(front);
    const BkSiteService *service =
        front->site == NULL ? NULL
                            : BkSite_FindService(front->site, relay->service);

    relay->query.engine = service == NULL ? NULL : service->engine;
    BkPickChoice choice =
        BkPick_Choose(&conf, &front->fleet, &relay->query, now);
    relay->query.engine = NULL; /* the site may be replaced and freed */
    relay->not_held = choice.result == BK_PICK_NO_MODEL;
    switch (choice.result) {
    case BK_PICK_SEND:
        FrQueue_Remove(relay);
        assign_upstream(relay, choice.up, now);
        return true;
    case BK_PICK_LOAD_ADAPTER:
        if (now - relay->wished_at >= ADAPTER_REQUEST_PERIOD) {
            relay->wished_at = now;
            FrPlanner_RequestAdapter(front, choice.up, relay->model,
                                     relay->adapter);
        }
        return wait_or_refuse(relay, BK_WAIT_ADAPTER, now);
    case BK_PICK_FULL:
        return wait_or_refuse(relay, BK_WAIT_FULL, now);
    case BK_PICK_NO_MODEL:
        return wait_or_refuse(relay, BK_WAIT_MODEL, now);
    case BK_PICK_ALL_TRIED:
        if (relay->runs > 0 && may_run_again(relay) &&
            relay->sends < BK_PICK_MAX_TRIED) {
            /* by now, one of them may be able to serve it */
            relay->query.tried_count = 0;
            return FrRelay_Dispatch(relay);
        }
        FrRelay_GiveUp(relay, "every upstream was tried", DEFAULT_RETRY_AFTER);
        return true;
    case BK_PICK_NO_UPSTREAM:
        FrRelay_GiveUp(relay, "no upstream of the service is usable",
                       DEFAULT_RETRY_AFTER);
        return true;
    }
    return false;
}

static void
count_failure(BkUp *up, BkMs now)
{
    BkMs backoff = FIRST_BACKOFF;

    for (int i = 0; i < up->failures && backoff < MAX_BACKOFF; i++) {
        backoff *= 2;
    }
    up->failures++;
    up->avoid_until = now + (backoff < MAX_BACKOFF ? backoff : MAX_BACKOFF);
}

void
FrRelay_ClearBlame(BkUp *up)
{
    up->failures = 0;
    up->avoid_until = 0;
}

/* Dispatches the request again, or ends it if no further run is allowed. */
static void
retry_or_end(FrRelay *relay, const char *why)
{
    bool allowed = relay->runs == 0 || may_run_again(relay);

    if (relay->stage == FR_ANSWERING && !relay->resumable) {
        allowed = false;
    }
    if (!allowed) {
        FrRelay_GiveUp(relay, why, DEFAULT_RETRY_AFTER);
        return;
    }
    if (relay->stage == FR_SENT) {
        relay->stage = FR_WAITING;
    }
    BkBuf_Clear(&relay->answer);
    FrRelay_Dispatch(relay);
}

void
FrRelay_EndAttempt(FrRelay *relay, bool may_have_run, bool avoid,
                   const char *why)
{
    BkUp *up = relay->up;
    BkMs now = BkClock_Now();

    if (may_have_run) {
        relay->runs++;
    }
    if (avoid) {
        count_failure(up, now);
    }
    BkLog_Event(BK_LOG_INFO, "relay", relay->id, "attempt failed",
                "s:s, s:s, s:b, s:I, s:i, s:i", "upstream", up->id, "why", why,
                "may_have_run", may_have_run, "after_ms",
                (json_int_t)(now - relay->sent_at), "sends", relay->sends,
                "code", relay->last_code);
    if (!BkAdapter_IsMisdirected(relay->last_code) || may_have_run) {
        /* an upstream that only lacked the model is not listed: it may have
           the model again soon */
        add_tried(relay, up);
    }
    FrRelay_AbortAttempt(relay);
    retry_or_end(relay, why);
}

void
FrRelay_TimeIsUp(void *arg)
{
    FrRelay *relay = arg;
    BkMs now = BkClock_Now();

    if (now < relay->until) {
        if (relay->stage == FR_SENT) {
            FrRelay_EndAttempt(relay, true, false, "no answer in good time");
        }
        else {
            FrRelay_ArmTimer(relay, now);
        }
        return;
    }
    if (relay->stage == FR_SENT) {
        relay->runs++;
    }
    if (relay->runs > 0) {
        FrRelay_Refuse(relay, 504, "no answer before the deadline", 0);
    }
    else {
        FrRelay_Refuse(relay, 503, "no upstream was free in time",
                       DEFAULT_RETRY_AFTER);
    }
}
