#include "bk/wait/wait.h"
#include "keeper.h"
#include "planner.h"
#include "relay.h"

#include <stdio.h>

#include "bk/base/log.h"

enum {
    WISH_AGAIN = 60,    /* ms until an adapter is asked for again */
    RETRY_NOBODY = 500, /* ms; Retry-After when no upstream is usable */
    FULL_FOR = 25,      /* ms that an engine is left alone after its keeper
                           said that it is full */
    AVOID_FIRST = 300,  /* ms an upstream is avoided after a failure */
    AVOID_MOST = 5000   /* ms, after many in a row */
};

/* of the route's objective, after which a repeatable request that nobody
   answered is sent to another upstream */
static const double replace_after = 0.6;

static BkMs
retry_point(const FrRelay *relay)
{
    return relay->sent_at + (BkMs)((double)relay->target * replace_after);
}

static bool
may_run_again(const FrRelay *relay)
{
    return relay->repeatable && relay->runs < relay->attempts;
}

/* the run under way is not the last one that the route allows */
static bool
may_be_replaced(const FrRelay *relay)
{
    return relay->repeatable && relay->runs + 1 < relay->attempts;
}

void
FrRelay_ArmTimer(FrRelay *relay, BkMs now)
{
    BkMs at = relay->until;

    if (relay->stage == FR_SENT && relay->kind == BK_ROUTE_SAFE &&
        may_be_replaced(relay) && retry_point(relay) < at &&
        retry_point(relay) > now) {
        at = retry_point(relay);
    }
    BkTimer_Start(relay->timer, at - now);
}

static bool
spend_repeat(FrRelay *relay, BkMs now)
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
send_now(FrRelay *relay, BkMs now)
{
    FrFront *front = relay->front;
    BkUp *up = relay->up;
    BkBuf head = BkBuf_Make(0);
    BkUpstreamHint hint = {.deadline = relay->until - now,
                           .id = up->id,
                           .urgency =
                               relay->query.model == 0 ? -1 : relay->priority,
                           .resumes = relay->has_event,
                           .last_event = relay->last_event};

    if (relay->sends > 0 && !spend_repeat(relay, now)) {
        FrRelay_GiveUp(relay, "the retry budget is spent", RETRY_NOBODY);
        return;
    }
    BkBuf_Append(&head, BkBuf_Str(&relay->head));
    BkAdapter_PutHint(&head, &hint);
    BkBuf_Append(&head, BK_STR("\r\n"));
    relay->link = FrLink_Send(front, up, relay, BkBuf_Str(&head),
                              BkBuf_Str(&relay->body), relay->bodiless);
    BkBuf_Destroy(&head);
    if (relay->link == NULL) {
        FrRelay_GiveUp(relay, "no connection could be opened", RETRY_NOBODY);
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

/* counts the request at the upstream, and sends it there or asks first */
static void
send_to(FrRelay *relay, BkUp *up, BkMs now)
{
    relay->up = BkUp_Ref(up);
    up->own_running++;
    up->own_prompt_tokens += relay->query.prompt_tokens;
    relay->unread = true;
    if (relay->query.model == 0 ||
        !FrKeeper_Ask(relay->front->keeper, relay, now)) {
        send_now(relay, now);
    }
}

void
FrRelay_TakeGrant(FrRelay *relay, bool granted, BkMs now)
{
    if (granted) {
        send_now(relay, now);
        return;
    }
    relay->up->full_until = now + FULL_FOR;
    FrRelay_AbortAttempt(relay);
    FrRelay_Dispatch(relay);
}

static BkPickConf
pick_conf(const FrFront *front)
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
    BkPickConf conf = pick_conf(front);

    return BkPick_IsEngineFull(&conf, up, prompt);
}

static void
note_tried(FrRelay *relay, const BkUp *up)
{
    BkPickQuery *query = &relay->query;

    if (query->tried_count < BK_PICK_MAX_TRIED) {
        query->tried[query->tried_count++] = up->key;
    }
}

BkWaitDecision
FrRelay_Judge(FrRelay *relay, int before, BkMs now)
{
    FrFront *front = relay->front;
    const FrQueuePace *row = FrQueuePace_Find(front, &relay->query);
    BkWaitQuery wait = {
        .cause = relay->cause,
        .waited = now - relay->started,
        .patience = relay->patience,
        .until_deadline = relay->until - now,
        .until_ready = FrExpected_GetDelay(front, relay->query.model, now),
        .queue_delay = BkPace_EstimateWait(&row->pace, before, now),
        .has_planner = FrPeers_HasPlanner(front->peers, now),
        .jitter_draw = BkRng_Unit(&front->rng)};

    return BkWait_Decide(&bk_wait_defaults, &wait);
}

void
FrRelay_GiveUpWaiting(FrRelay *relay, BkMs retry_after)
{
    static const char *const whys[] = {"those that could serve it are full",
                                       "its adapter is not at hand",
                                       "no engine holds its model"};

    FrRelay_GiveUp(relay, whys[relay->cause], retry_after);
}

/* true if it was refused */
static bool
wait_or_refuse(FrRelay *relay, BkWaitCause cause, BkMs now)
{
    relay->cause = cause;
    FrQueue_Add(relay);
    BkWaitDecision verdict =
        FrRelay_Judge(relay, FrQueue_CountBefore(relay), now);
    if (!verdict.refuse) {
        return false;
    }
    FrRelay_GiveUpWaiting(relay, verdict.retry_after);
    return true;
}

bool
FrRelay_Dispatch(FrRelay *relay)
{
    FrFront *front = relay->front;
    BkMs now = BkClock_Now();
    BkPickConf conf = pick_conf(front);
    const BkSiteService *service =
        front->site == NULL ? NULL
                            : BkSite_FindService(front->site, relay->service);

    relay->query.engine = service == NULL ? NULL : service->engine;
    BkPickChoice choice =
        BkPick_Choose(&conf, &front->fleet, &relay->query, now);
    relay->query.engine = NULL; /* the site may be replaced */
    relay->not_held = choice.result == BK_PICK_NO_MODEL;
    switch (choice.result) {
    case BK_PICK_SEND:
        FrQueue_Remove(relay);
        send_to(relay, choice.up, now);
        return true;
    case BK_PICK_LOAD_ADAPTER:
        if (now - relay->wished_at >= WISH_AGAIN) {
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
            relay->query.tried_count = 0; /* one of them may do by now */
            return FrRelay_Dispatch(relay);
        }
        FrRelay_GiveUp(relay, "every upstream was tried", RETRY_NOBODY);
        return true;
    case BK_PICK_NO_UPSTREAM:
        FrRelay_GiveUp(relay, "no upstream of the service is usable",
                       RETRY_NOBODY);
        return true;
    }
    return false;
}

static void
blame_upstream(BkUp *up, BkMs now)
{
    BkMs avoid = AVOID_FIRST;

    for (int i = 0; i < up->failures && avoid < AVOID_MOST; i++) {
        avoid *= 2;
    }
    up->failures++;
    up->avoid_until = now + (avoid < AVOID_MOST ? avoid : AVOID_MOST);
}

void
FrRelay_ClearBlame(BkUp *up)
{
    up->failures = 0;
    up->avoid_until = 0;
}

/* another upstream, or the end */
static void
try_again(FrRelay *relay, const char *why)
{
    bool may = relay->runs == 0 || may_run_again(relay);

    if (relay->stage == FR_ANSWERING && !relay->resumable) {
        may = false;
    }
    if (!may) {
        FrRelay_GiveUp(relay, why, RETRY_NOBODY);
        return;
    }
    if (relay->stage == FR_SENT) {
        relay->stage = FR_WAITING;
    }
    BkBuf_Clear(&relay->answer);
    FrRelay_Dispatch(relay);
}

/* the attempt is over without an answer to pass on */
void
FrRelay_EndAttempt(FrRelay *relay, bool ran, bool blame, const char *why)
{
    BkUp *up = relay->up;
    BkMs now = BkClock_Now();

    if (ran) {
        relay->runs++;
    }
    if (blame) {
        blame_upstream(up, now);
    }
    BkLog_Event(BK_LOG_INFO, "relay", relay->id, "attempt failed",
                "s:s, s:s, s:b, s:I, s:i, s:i", "upstream", up->id, "why", why,
                "may_have_run", ran, "after_ms",
                (json_int_t)(now - relay->sent_at), "sends", relay->sends,
                "code", relay->last_code);
    if (!BkAdapter_IsMisdirected(relay->last_code) || ran) {
        note_tried(relay, up); /* else it may hold the model again soon */
    }
    FrRelay_AbortAttempt(relay);
    try_again(relay, why);
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
                       RETRY_NOBODY);
    }
}
