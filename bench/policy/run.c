#include "world.h"

#include <stdlib.h>
#include <string.h>

#define OBSERVE_EVERY ((BkMs)500)
#define PLANNER_EVERY ((BkMs)500)
#define VM_LIST_LAG ((BkMs)20000)
#define ADOPT_SPREAD ((BkMs)300) /* between two daemons that hear of a roll */

static void
init(World *w)
{
    w->bundles[0] = bundle_make(w->dep, 1);
    w->bundles[1] = bundle_make(w->dep, 2);
    w->up_count = w->bundles[0]->upstream_count;
    for (int up = 0; up < w->up_count; up++) {
        replica_init(&w->replicas[up], &w->bundles[0]->upstreams[up]);
    }
    planner_init(w);
    for (int i = 0; i < ENTRIES; i++) {
        entry_init(w, i);
        for (int up = 0; up < w->up_count; up++) {
            entry_observe(w, i, up);
        }
    }
    w->reqs = BkMem_New((size_t)w->trace->count, sizeof(Req));
}

static void
finish(World *w)
{
    for (int i = 0; i < ENTRIES; i++) {
        entry_free(&w->entries[i]);
    }
    planner_free(w);
    for (int up = 0; up < w->up_count; up++) {
        replica_free(&w->replicas[up]);
    }
    BkBundle_Destroy(w->bundles[0]);
    BkBundle_Destroy(w->bundles[1]);
    free(w->reqs);
}

static bool
is_victim(const World *w, int up)
{
    if (w->scenario->kind == REPLICA_LOST) {
        return up == 0;
    }
    const char *domain = w->bundles[0]->upstreams[up].domain;
    return w->scenario->kind == DOMAIN_LOST && strcmp(domain, "d0") == 0;
}

static void
set_left(World *w, int up, bool left)
{
    BkView_SetExcluded(w->planner.view, up, left);
    for (int i = 0; i < ENTRIES; i++) {
        BkView_SetExcluded(w->entries[i].view, up, left);
    }
}

static void
lose_replicas(World *w)
{
    const Scenario *s = w->scenario;

    for (int up = 0; up < w->up_count; up++) {
        if (!is_victim(w, up)) {
            continue;
        }
        if (w->now == s->fault_from) {
            replica_kill(w, up);
        }
        if (w->now == s->fault_from + VM_LIST_LAG) {
            set_left(w, up, true);
        }
        if (w->now == s->fault_until) {
            replica_revive(w, up);
            set_left(w, up, false);
        }
    }
}

static void
adopt(BkView **view, const BkBundle *bundle)
{
    BkView *next = BkView_Create(bundle, *view);

    BkView_Destroy(*view);
    *view = next;
}

static void
roll(World *w)
{
    BkMs since = w->now - w->scenario->fault_from;

    if (since == 0) {
        adopt(&w->planner.view, w->bundles[1]);
    }
    if (since > 0 && since % ADOPT_SPREAD == 0 &&
        since / ADOPT_SPREAD <= ENTRIES) {
        adopt(&w->entries[since / ADOPT_SPREAD - 1].view, w->bundles[1]);
    }
}

static void
bring_faults(World *w)
{
    const Scenario *s = w->scenario;

    switch (s->kind) {
    case REPLICA_LOST:
    case DOMAIN_LOST:
        lose_replicas(w);
        break;
    case ROLL:
        roll(w);
        break;
    case PLATFORM_OUT:
        w->platform_out = w->now >= s->fault_from && w->now < s->fault_until;
        break;
    default:
        break;
    }
}

static void
watch(World *w)
{
    for (int up = 0; up < w->up_count; up++) {
        for (int i = 0; i < ENTRIES; i++) {
            BkMs phase = (up * 61 + i * 37) * TICK % OBSERVE_EVERY;
            if (w->now % OBSERVE_EVERY == phase) {
                entry_observe(w, i, up);
            }
        }
        if (w->now % PLANNER_EVERY == up * TICK) {
            planner_observe(w, up);
        }
    }
}

static bool
is_reachable(const World *w, int item)
{
    for (int up = 0; up < w->up_count; up++) {
        bool serves = w->replicas[up].service ==
                      (w->bundles[0]->items[item].kind == BK_ITEM_SERVICE);
        if (serves && !w->replicas[up].dead && replica_has(w, up, item)) {
            return true;
        }
    }
    return false;
}

static void
each_second(World *w)
{
    for (int item = 0; item < w->bundles[0]->item_count; item++) {
        w->score.unreachable += !is_reachable(w, item);
    }
    planner_decide(w);
}

static void
count_requests(World *w)
{
    Score *score = &w->score;

    for (int i = 0; i < w->trace->count; i++) {
        const Req *req = &w->reqs[i];
        bool repeatable =
            w->bundles[0]->items[req->query.item].kind != BK_ITEM_SERVICE;
        score->on_time += req->state == REQ_ON_TIME;
        score->late += req->state == REQ_LATE;
        score->refused += req->state == REQ_REFUSED;
        score->unknown += req->state == REQ_UNKNOWN;
        score->failed += req->state == REQ_FAILED;
        score->lost += req->state == REQ_OPEN;
        score->doubled += req->answers > 1 || (!repeatable && req->runs > 1);
    }
}

static bool
is_idle(const World *w)
{
    for (int up = 0; up < w->up_count; up++) {
        if (w->replicas[up].running_count > 0) {
            return false;
        }
    }
    return true;
}

Score
world_run(const Deployment *dep, const Scenario *scenario,
          const Policy *policy, const Trace *trace)
{
    World *w = BkMem_New(1, sizeof(*w));
    BkMs end = scenario->seconds * BK_MS_PER_S;
    int next = 0;

    w->dep = dep;
    w->scenario = scenario;
    w->policy = policy;
    w->trace = trace;
    init(w);
    /* the last requests are waited for, but nothing else is counted then */
    for (w->now = 0; w->now < end || !is_idle(w); w->now += TICK) {
        for (int up = 0; up < w->up_count; up++) {
            replica_advance(w, up);
        }
        bring_faults(w);
        watch(w);
        if (w->now % BK_MS_PER_S == 0 && w->now < end) {
            each_second(w);
        }
        while (next < trace->count && trace->arrivals[next].at <= w->now) {
            entry_arrive(w, next++);
        }
    }
    count_requests(w);
    Score score = w->score;
    finish(w);
    free(w);
    return score;
}
