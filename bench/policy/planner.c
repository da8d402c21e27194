#include "sim.h"

#include <stdlib.h>
#include <string.h>

#define LEASE_WRITES_PER_S 1 /* to renew the planner's lease */

enum {
    WARM_UP_ROUNDS = 2000,
    WARM_UP_MOVES = 16
};

static int
decide_moves(Sim *sim, const BkPlaceConf *conf, BkPlaceMove *moves, int max)
{
    static const bool drained[MAX_UPS];
    Planner *p = &sim->planner;
    BkPlaceInput input = {.bundle = p->view->bundle,
                          .view = p->view,
                          .ledgers = p->ledgers,
                          .demand = p->demand,
                          .excluded = drained,
                          .loads_in_progress = p->loading_count,
                          .now = sim->now,
                          .stale_after = STALE_AFTER};

    return BkPlace_Decide(conf, &input, moves, max);
}

static void
order_load(Sim *sim, const BkPlaceMove *move)
{
    Planner *p = &sim->planner;
    BkLedger *ledger = p->ledgers[move->upstream];
    const BkItem *item = &p->view->bundle->items[move->item];
    int entry = BkLedger_Reserve(ledger, item, "steward", 1, 1);

    if (entry < 0) {
        return;
    }
    sim->score.platform_writes++;
    /* The write above reserves the memory; the answer of the engine confirms
       the load. A crashed engine does not answer. */
    if (!sim->replicas[move->upstream].crashed) {
        replica_load(sim, move->upstream, ledger->entries[entry].inst,
                     move->item, p->view->bundle);
        BkLedger_RecordLoadAnswer(ledger, entry);
    }
    sim->score.moves++;
}

static void
order_unload(Sim *sim, const BkPlaceMove *move)
{
    BkLedger *ledger = sim->planner.ledgers[move->upstream];
    int entry = BkLedger_Find(ledger, BkStr_FromC(move->inst));

    if (entry >= 0 && BkLedger_RecordUnload(ledger, entry, 1) == BK_OK) {
        replica_unload(sim, move->upstream, move->inst);
        sim->score.platform_writes++;
        sim->score.moves++;
    }
}

static void
execute_moves(Sim *sim, BkPlaceMove *moves, int count)
{
    for (int i = 0; i < count; i++) {
        if (moves[i].kind == BK_PLACE_MOVE_LOAD) {
            order_load(sim, &moves[i]);
        }
        else {
            order_unload(sim, &moves[i]);
        }
        free(moves[i].inst);
    }
}

void
planner_observe(Sim *sim, int up)
{
    Planner *p = &sim->planner;
    uint64_t old_version = p->known_versions[up];

    observe_upstream(sim, p->view, p->known_versions, up, 0);
    if (old_version != p->known_versions[up] && p->ledgers[up] != NULL &&
        BkLedger_ApplyState(p->ledgers[up], &p->view->ups[up])) {
        sim->score.platform_writes++;
    }
}

void
planner_decide(Sim *sim)
{
    Planner *p = &sim->planner;
    BkPlaceConf conf = sim->dep->place;
    BkPlaceMove moves[MAX_MOVES];

    for (int i = 0; i < p->view->bundle->item_count; i++) {
        double requests = 0;
        for (int e = 0; e < ENTRIES; e++) {
            requests += sim->entries[e].request_counts[i];
            sim->entries[e].request_counts[i] = 0;
        }
        BkDemand_Update(&p->demand[i], &conf, requests, BK_MS_PER_S, sim->now);
    }
    sim->score.platform_reads += DAEMONS;
    if (sim->platform_out) {
        return;
    }
    sim->score.platform_writes += LEASE_WRITES_PER_S;
    conf.policy = sim->policy->place;
    execute_moves(sim, moves, decide_moves(sim, &conf, moves, MAX_MOVES));
}

/* Places the items for the mean demand before virtual time starts: loads and
   unloads finish at once. */
static void
warm_up(Sim *sim)
{
    BkPlaceConf conf = sim->dep->place;
    BkPlaceMove moves[WARM_UP_MOVES];
    int count = 1;

    conf.policy = sim->policy->place;
    conf.loads_per_second = WARM_UP_MOVES;
    conf.loads_at_once = WARM_UP_MOVES;
    for (int round = 0; round < WARM_UP_ROUNDS && count > 0; round++) {
        count = decide_moves(sim, &conf, moves, WARM_UP_MOVES);
        execute_moves(sim, moves, count);
        for (int up = 0; up < sim->up_count; up++) {
            for (int i = 0; i < sim->replicas[up].instance_count; i++) {
                sim->replicas[up].instances[i].state_end = sim->now;
            }
            replica_advance(sim, up);
            planner_observe(sim, up);
        }
    }
}

void
planner_init(Sim *sim)
{
    Planner *p = &sim->planner;
    const BkBundle *bundle = sim->bundles[0];

    p->view = BkView_Create(bundle, NULL);
    for (int up = 0; up < sim->up_count; up++) {
        if (bundle->upstreams[up].kind == BK_UPSTREAM_ENGINE) {
            p->ledgers[up] = BkLedger_Create(&bundle->upstreams[up]);
        }
        planner_observe(sim, up);
    }
    for (int i = 0; i < bundle->item_count; i++) {
        p->demand[i].rate = sim->trace->rate * sim->trace->weight[i];
        p->demand[i].fast_rate = p->demand[i].rate;
        p->demand[i].slot_seconds = mean_slot_seconds();
    }
    warm_up(sim);
    sim->score = (Score){0};
}

void
planner_free(Sim *sim)
{
    BkView_Destroy(sim->planner.view);
    for (int up = 0; up < sim->up_count; up++) {
        BkLedger_Destroy(sim->planner.ledgers[up]);
    }
}
