#include "world.h"

#include <stdlib.h>
#include <string.h>

#define BEAT_WRITES 1 /* a second, of the planner's lease */

enum {
    WARM_UP_ROUNDS = 2000,
    WARM_UP_MOVES = 16
};

static int
decide(World *w, const BkPlaceConf *conf, BkMove *moves, int max)
{
    static const bool drained[MAX_UPS];
    Planner *p = &w->planner;
    BkPlaceInput input = {.bundle = p->view->bundle,
                          .view = p->view,
                          .ledgers = p->ledgers,
                          .demand = p->demand,
                          .drained = drained,
                          .loads_in_progress = p->loading,
                          .now = w->now,
                          .stale_after = STALE_AFTER};

    return BkPlace_Decide(conf, &input, moves, max);
}

static void
order_load(World *w, const BkMove *move)
{
    Planner *p = &w->planner;
    BkLedger *ledger = p->ledgers[move->upstream];
    const BkItem *item = &p->view->bundle->items[move->item];
    int entry = BkLedger_Reserve(ledger, item, "steward", 1, 1);

    if (entry < 0) {
        return;
    }
    w->score.platform_writes++;
    /* the write reserves, the answer settles; a dead engine answers not */
    if (!w->replicas[move->upstream].dead) {
        replica_hold(w, move->upstream, ledger->entries[entry].inst,
                     move->item, p->view->bundle);
        BkLedger_RecordLoadAnswer(ledger, entry);
    }
    w->score.moves++;
}

static void
order_unload(World *w, const BkMove *move)
{
    BkLedger *ledger = w->planner.ledgers[move->upstream];
    int entry = BkLedger_Find(ledger, BkStr_FromC(move->inst));

    if (entry >= 0 && BkLedger_RecordUnload(ledger, entry, 1) == BK_OK) {
        replica_drop(w, move->upstream, move->inst);
        w->score.platform_writes++;
        w->score.moves++;
    }
}

static void
carry_out(World *w, BkMove *moves, int count)
{
    for (int i = 0; i < count; i++) {
        if (moves[i].kind == BK_MOVE_LOAD) {
            order_load(w, &moves[i]);
        }
        else {
            order_unload(w, &moves[i]);
        }
        free(moves[i].inst);
    }
}

void
planner_observe(World *w, int up)
{
    Planner *p = &w->planner;
    uint64_t known = p->known_list[up];

    observe(w, p->view, p->known_list, up, 0);
    if (known != p->known_list[up] && p->ledgers[up] != NULL &&
        BkLedger_ApplyState(p->ledgers[up], &p->view->ups[up])) {
        w->score.platform_writes++;
    }
}

void
planner_decide(World *w)
{
    Planner *p = &w->planner;
    BkPlaceConf conf = w->dep->place;
    BkMove moves[MAX_MOVES];

    for (int i = 0; i < p->view->bundle->item_count; i++) {
        double asked = 0;
        for (int e = 0; e < ENTRIES; e++) {
            asked += w->entries[e].asked[i];
            w->entries[e].asked[i] = 0;
        }
        BkDemand_Update(&p->demand[i], &conf, asked, BK_MS_PER_S, w->now);
    }
    w->score.platform_reads += DAEMONS;
    if (w->platform_out) {
        return;
    }
    w->score.platform_writes += BEAT_WRITES;
    conf.policy = w->policy->place;
    carry_out(w, moves, decide(w, &conf, moves, MAX_MOVES));
}

/* the usual placement for the usual demand, before the clock starts */
static void
warm_up(World *w)
{
    BkPlaceConf conf = w->dep->place;
    BkMove moves[WARM_UP_MOVES];
    int count = 1;

    conf.policy = w->policy->place;
    conf.loads_per_second = WARM_UP_MOVES;
    conf.loads_at_once = WARM_UP_MOVES;
    for (int round = 0; round < WARM_UP_ROUNDS && count > 0; round++) {
        count = decide(w, &conf, moves, WARM_UP_MOVES);
        carry_out(w, moves, count);
        for (int up = 0; up < w->up_count; up++) {
            for (int i = 0; i < w->replicas[up].held_count; i++) {
                w->replicas[up].held[i].changes = w->now;
            }
            replica_advance(w, up);
            planner_observe(w, up);
        }
    }
}

void
planner_init(World *w)
{
    Planner *p = &w->planner;
    const BkBundle *bundle = w->bundles[0];

    p->view = BkView_Create(bundle, NULL);
    for (int up = 0; up < w->up_count; up++) {
        if (bundle->upstreams[up].kind == BK_UPSTREAM_ENGINE) {
            p->ledgers[up] = BkLedger_Create(&bundle->upstreams[up]);
        }
        planner_observe(w, up);
    }
    for (int i = 0; i < bundle->item_count; i++) {
        p->demand[i].rate = w->trace->rate * w->trace->weight[i];
        p->demand[i].fast_rate = p->demand[i].rate;
        p->demand[i].slot_seconds = mean_work();
    }
    warm_up(w);
    w->score = (Score){0};
}

void
planner_free(World *w)
{
    BkView_Destroy(w->planner.view);
    for (int up = 0; up < w->up_count; up++) {
        BkLedger_Destroy(w->planner.ledgers[up]);
    }
}
