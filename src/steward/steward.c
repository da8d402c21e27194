#include "bk/steward/steward.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"

enum {
    TICK_MS = 50,
    /* engines stepped in one tick; all of them if there are fewer */
    MIN_STEPS_PER_TICK = 32,
    TICKS_PER_CYCLE = 10, /* to step all engines once, if there are many */
    /* a planned stop may take the order timeout and this long */
    STOP_MARGIN_MS = 3000
};

bool
BkSteward_MaySendOrders(const BkSteward *steward)
{
    return steward->planning && !steward->daemon->stopping &&
           BkLease_Valid(&steward->lease, BkClock_Now());
}

void
BkSteward_StopPlanning(BkSteward *steward)
{
    if (!steward->planning && !steward->taking_over) {
        return;
    }
    BK_LOG(BK_LOG_NOTICE, "planner", NULL, "stopped planning in term %llu",
           (unsigned long long)steward->last_held_term);
    steward->planning = false;
    steward->taking_over = false;
    steward->generation++;
}

uint64_t
BkSteward_NextFence(BkSteward *steward)
{
    return BkFence_Make(steward->lease.term, ++steward->order_count);
}

BkTxn *
BkSteward_CreateTxn(const BkSteward *steward)
{
    BkTxn *txn = BkTxn_Create();

    BkTxn_Check(txn, BK_STR("planner"), BK_STR("term"),
                steward->lease.term_version);
    return txn;
}

bool
BkSteward_HandleTermConflict(BkSteward *steward, const BkPlatReply *reply)
{
    for (int i = 0; i < reply->count; i++) {
        if (BkStr_Equal(reply->rows[i].table, BK_STR("planner"))) {
            BkLease_OnConflict(&steward->lease, BkClock_Now());
            BkSteward_StopPlanning(steward);
            return true;
        }
    }
    return false;
}

static void
set_gauges(const BkSteward *steward)
{
    bool valid = BkLease_Valid(&steward->lease, BkClock_Now());

    BkCounter_Set(
        BkCounter_Get("bk_steward_term", NULL, "highest planner term known"),
        (int64_t)steward->lease.term);
    BkCounter_Set(BkCounter_Get("bk_steward_planner", NULL,
                                "1 if this steward is the planner"),
                  valid && steward->planning);
}

static bool
has_orders_or_writes(const BkSteward *steward)
{
    for (int i = 0; i < steward->engine_count; i++) {
        BkEngineOp op = steward->engines[i]->op;
        if (op == BK_ENGINE_ORDER || op == BK_ENGINE_WRITE_ROW) {
            return true;
        }
    }
    return false;
}

/* Waits for writes and orders in progress, releases the lease, and, unless an
 * order was closed without an answer and may still be in flight, waits until
 * the session row says that no order of this steward is in flight. */
static void
step_stop(BkSteward *steward, BkMs now)
{
    bool past_deadline = now >= steward->stop_deadline;
    bool no_idle_report_due =
        steward->last_held_term == 0 || steward->in_flight_count > 0 ||
        steward->reported_idle_term >= steward->last_held_term;

    if (!past_deadline &&
        (has_orders_or_writes(steward) || steward->releasing)) {
        return;
    }
    if (!past_deadline && steward->lease.phase == BK_LEASE_HOLDER &&
        !steward->released) {
        BkElection_Release(steward);
    }
    else if (past_deadline ||
             (no_idle_report_due && !steward->reporting_idle)) {
        BkDaemon_FinishStop(steward->daemon);
    }
}

static void
pass_planner_sighting_to_lease(BkSteward *steward)
{
    const BkDaemon *daemon = steward->daemon;

    if (daemon->planner_seen_at != steward->last_planner_seen_at) {
        steward->last_planner_seen_at = daemon->planner_seen_at;
        BkLease_OnPlannerAlive(&steward->lease, daemon->planner_term,
                               daemon->planner_seen_at);
    }
}

/* Steps every engine if there are few, else some of them per tick, in turn. An
 * engine is also stepped whenever an operation of its own ends, so this only
 * has to find what has become due by the passing of time. */
static void
step_engines(BkSteward *steward, BkMs now)
{
    int count = steward->engine_count;
    int step_count = count / TICKS_PER_CYCLE;

    if (step_count < MIN_STEPS_PER_TICK) {
        step_count = count < MIN_STEPS_PER_TICK ? count : MIN_STEPS_PER_TICK;
    }
    for (int i = 0; i < step_count; i++) {
        steward->last_stepped_engine =
            (steward->last_stepped_engine + 1) % count;
        BkEngine_Step(steward->engines[steward->last_stepped_engine], now);
    }
}

static void
on_tick(void *arg)
{
    BkSteward *steward = arg;
    BkMs now = BkClock_Now();

    BkTimer_Start(steward->timer, TICK_MS);
    pass_planner_sighting_to_lease(steward);
    BkElection_Step(steward, now);
    step_engines(steward, now);
    BkPlacement_Step(steward, now);
    BkInFlight_Step(steward, now);
    set_gauges(steward);
    if (steward->daemon->stopping) {
        step_stop(steward, now);
    }
}

static void
on_bundle(const BkBundle *bundle, BkView *view, void *arg)
{
    BkSteward *steward = arg;

    (void)view;
    BkSteward_RemapDemand(steward, bundle);
    for (int i = 0; i < steward->engine_count; i++) {
        BkEngine *engine = steward->engines[i];
        engine->up_index =
            BkBundle_FindUpstream(bundle, BkStr_FromC(engine->name));
        if (engine->up_index >= 0 &&
            bundle->upstreams[engine->up_index].kind != BK_UPSTREAM_ENGINE) {
            engine->up_index = -1;
        }
        if (engine->up_index >= 0 && engine->ledger != NULL) {
            engine->ledger->memory =
                bundle->upstreams[engine->up_index].memory_bytes;
        }
    }
    if (steward->planning) {
        BkTakeover_AddEngines(steward);
    }
    steward->next_decision_at = 0;
}

static void
on_demand(const bkg_demand *demand, void *arg)
{
    BkSteward_ReceiveDemand(arg, demand);
}

static void
on_stop(void *arg)
{
    BkSteward *steward = arg;

    steward->stop_deadline =
        BkClock_Now() + steward->conf->order_timeout + STOP_MARGIN_MS;
}

static void
on_status(json_t *status, void *arg)
{
    BkProgress_AddStatus(status, arg);
}

BkSteward *
BkSteward_Create(BkStewardConf *conf)
{
    BkSteward *steward = BkMem_New(1, sizeof(*steward));
    BkDaemonHooks hooks = {.on_bundle = on_bundle,
                           .on_demand = on_demand,
                           .on_stop = on_stop,
                           .on_status = on_status,
                           .arg = steward};
    BkLeaseConf lease_conf = {
        .lease_duration = conf->lease_duration,
        .valid_for = conf->lease_duration - conf->lease_duration / 4,
        .renew_period = conf->renew_period,
        .gossip_timeout = conf->renew_period * 2,
    };

    steward->conf = conf;
    steward->daemon = BkDaemon_Create(&conf->daemon, BK_ROLE_STEWARD, &hooks);
    if (steward->daemon == NULL) {
        free(steward);
        return NULL;
    }
    steward->lease = BkLease_Make(&lease_conf, conf->daemon.name,
                                  BkRng_Next(&steward->daemon->rng));
    steward->last_planner_seen_at = BK_MS_NEVER;
    steward->timer = BkTimer_Create(steward->daemon->loop, on_tick, steward);
    BkTimer_Start(steward->timer, 0);
    return steward;
}

void
BkSteward_Destroy(BkSteward *steward)
{
    BkTimer_Destroy(steward->timer);
    BkDaemon_Destroy(steward->daemon);
    for (int i = 0; i < steward->engine_count; i++) {
        BkEngine_Destroy(steward->engines[i]);
    }
    BkInFlight_Destroy(steward);
    BkSteward_FreeDemand(steward);
    free(steward->engines);
    free(steward->written_progress);
    free(steward);
}
