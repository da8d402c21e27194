#include "sim.h"

#include <stdlib.h>
#include <string.h>

#define OBSERVE_PERIOD ((BkMs)500)
#define PLANNER_OBSERVE_PERIOD ((BkMs)500)
#define VM_LIST_LAG ((BkMs)20000) /* until the VM list shows a lost VM */
/* between the times at which two daemons learn of a roll */
#define ADOPT_INTERVAL ((BkMs)300)

static void
init_sim(Sim *sim)
{
    sim->bundles[0] = bundle_create(sim->dep, 1);
    sim->bundles[1] = bundle_create(sim->dep, 2);
    sim->up_count = sim->bundles[0]->upstream_count;
    for (int up = 0; up < sim->up_count; up++) {
        replica_init(&sim->replicas[up], &sim->bundles[0]->upstreams[up]);
    }
    planner_init(sim);
    for (int i = 0; i < ENTRIES; i++) {
        entry_init(sim, i);
        for (int up = 0; up < sim->up_count; up++) {
            entry_observe(sim, i, up);
        }
    }
    sim->reqs = BkMem_New((size_t)sim->trace->count, sizeof(Req));
}

static void
free_sim(Sim *sim)
{
    for (int i = 0; i < ENTRIES; i++) {
        entry_free(&sim->entries[i]);
    }
    planner_free(sim);
    for (int up = 0; up < sim->up_count; up++) {
        replica_free(&sim->replicas[up]);
    }
    BkBundle_Destroy(sim->bundles[0]);
    BkBundle_Destroy(sim->bundles[1]);
    free(sim->reqs);
}

static bool
is_affected(const Sim *sim, int up)
{
    if (sim->scenario->kind == REPLICA_LOST) {
        return up == 0;
    }
    const char *domain = sim->bundles[0]->upstreams[up].domain;
    return sim->scenario->kind == DOMAIN_LOST && strcmp(domain, "d0") == 0;
}

static void
set_excluded(Sim *sim, int up, bool excluded)
{
    BkView_SetExcluded(sim->planner.view, up, excluded);
    for (int i = 0; i < ENTRIES; i++) {
        BkView_SetExcluded(sim->entries[i].view, up, excluded);
    }
}

/* Crashes the replicas of the scenario, excludes them once the VM list shows
   the loss, and restarts them. */
static void
update_lost_replicas(Sim *sim)
{
    const Scenario *s = sim->scenario;

    for (int up = 0; up < sim->up_count; up++) {
        if (!is_affected(sim, up)) {
            continue;
        }
        if (sim->now == s->fault_from) {
            replica_crash(sim, up);
        }
        if (sim->now == s->fault_from + VM_LIST_LAG) {
            set_excluded(sim, up, true);
        }
        if (sim->now == s->fault_until) {
            replica_restart(sim, up);
            set_excluded(sim, up, false);
        }
    }
}

static void
adopt_bundle(BkView **view, const BkBundle *bundle)
{
    BkView *new_view = BkView_Create(bundle, *view);

    BkView_Destroy(*view);
    *view = new_view;
}

/* The planner adopts the new bundle at once, the entries one after another. */
static void
roll_bundle(Sim *sim)
{
    BkMs elapsed = sim->now - sim->scenario->fault_from;

    if (elapsed == 0) {
        adopt_bundle(&sim->planner.view, sim->bundles[1]);
    }
    if (elapsed > 0 && elapsed % ADOPT_INTERVAL == 0 &&
        elapsed / ADOPT_INTERVAL <= ENTRIES) {
        adopt_bundle(&sim->entries[elapsed / ADOPT_INTERVAL - 1].view,
                     sim->bundles[1]);
    }
}

static void
inject_faults(Sim *sim)
{
    const Scenario *s = sim->scenario;

    switch (s->kind) {
    case REPLICA_LOST:
    case DOMAIN_LOST:
        update_lost_replicas(sim);
        break;
    case ROLL:
        roll_bundle(sim);
        break;
    case PLATFORM_OUT:
        sim->platform_out =
            sim->now >= s->fault_from && sim->now < s->fault_until;
        break;
    default:
        break;
    }
}

static void
observe_upstreams(Sim *sim)
{
    for (int up = 0; up < sim->up_count; up++) {
        for (int i = 0; i < ENTRIES; i++) {
            BkMs phase = (up * 61 + i * 37) * TICK % OBSERVE_PERIOD;
            if (sim->now % OBSERVE_PERIOD == phase) {
                entry_observe(sim, i, up);
            }
        }
        if (sim->now % PLANNER_OBSERVE_PERIOD == up * TICK) {
            planner_observe(sim, up);
        }
    }
}

static bool
is_reachable(const Sim *sim, int item)
{
    for (int up = 0; up < sim->up_count; up++) {
        bool is_right_kind =
            sim->replicas[up].is_service ==
            (sim->bundles[0]->items[item].kind == BK_ITEM_SERVICE);
        if (is_right_kind && !sim->replicas[up].crashed &&
            replica_can_serve(sim, up, item)) {
            return true;
        }
    }
    return false;
}

/* Runs once per second: counts the items that no replica can serve, and
   plans. */
static void
run_second(Sim *sim)
{
    for (int item = 0; item < sim->bundles[0]->item_count; item++) {
        sim->score.unreachable_seconds += !is_reachable(sim, item);
    }
    planner_decide(sim);
}

static void
count_requests(Sim *sim)
{
    Score *score = &sim->score;

    for (int i = 0; i < sim->trace->count; i++) {
        const Req *req = &sim->reqs[i];
        bool repeatable =
            sim->bundles[0]->items[req->query.item].kind != BK_ITEM_SERVICE;
        score->on_time += req->state == REQ_ON_TIME;
        score->late += req->state == REQ_LATE;
        score->refused += req->state == REQ_REFUSED;
        score->unknown += req->state == REQ_UNKNOWN;
        score->failed += req->state == REQ_FAILED;
        score->lost += req->state == REQ_OPEN;
        score->doubled +=
            req->answer_count > 1 || (!repeatable && req->run_count > 1);
    }
}

static bool
is_idle(const Sim *sim)
{
    for (int up = 0; up < sim->up_count; up++) {
        if (sim->replicas[up].running_count > 0) {
            return false;
        }
    }
    return true;
}

Score
sim_run(const Deployment *dep, const Scenario *scenario, const Policy *policy,
        const Trace *trace)
{
    Sim *sim = BkMem_New(1, sizeof(*sim));
    BkMs end = scenario->seconds * BK_MS_PER_S;
    int next_arrival = 0;

    sim->dep = dep;
    sim->scenario = scenario;
    sim->policy = policy;
    sim->trace = trace;
    init_sim(sim);
    /* After the end, the requests in progress are run to completion, without
       further planning and counts per second. */
    for (sim->now = 0; sim->now < end || !is_idle(sim); sim->now += TICK) {
        for (int up = 0; up < sim->up_count; up++) {
            replica_advance(sim, up);
        }
        inject_faults(sim);
        observe_upstreams(sim);
        if (sim->now % BK_MS_PER_S == 0 && sim->now < end) {
            run_second(sim);
        }
        while (next_arrival < trace->count &&
               trace->arrivals[next_arrival].at <= sim->now) {
            entry_handle_arrival(sim, next_arrival++);
        }
    }
    count_requests(sim);
    Score score = sim->score;
    free_sim(sim);
    free(sim);
    return score;
}
