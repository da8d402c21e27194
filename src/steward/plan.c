#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/steward/steward.h"

enum {
    MAX_MOVES = 16 /* of one decision */
};

static void
count_move(BkSteward *steward, const char *labels)
{
    steward->move_count++;
    BkCounter_Add(BkCounter_Get("bk_steward_moves_total", labels,
                                "loads and unloads decided"),
                  1);
}

static void
take_load(BkSteward *steward, BkEngine *engine, const BkMove *move)
{
    const BkItem *item = &steward->daemon->bundle->items[move->item];
    uint64_t fence = BkSteward_NextFence(steward);

    if (steward->load_tokens < 1) {
        return;
    }
    int entry =
        BkLedger_Reserve(engine->ledger, item, steward->conf->daemon.name,
                         steward->daemon->epoch, fence);
    if (entry < 0) {
        BK_LOG(BK_LOG_WARNING, "planner", NULL, "%s", BkErr_Last());
        return;
    }
    engine->pending_load =
        BkStr_Dup(BkStr_FromC(engine->ledger->entries[entry].inst));
    engine->pending_load_fence = fence;
    engine->row_outdated = true;
    steward->load_tokens -= 1;
    count_move(steward, "kind=\"load\"");
    BK_LOG(BK_LOG_INFO, "planner", NULL, "load %s %s as %s: %s", item->name,
           item->version, engine->pending_load, move->why);
}

typedef struct Others {
    int loaded;
    int known; /* loaded for so long that every daemon has heard of them */
} Others;

static void
count_others(const BkSteward *steward, const BkEngine *engine,
             const BkLedgerEntry *going, Others *others)
{
    BkMs now = BkClock_Now();
    BkMs spread = steward->conf->propagation_time;

    for (int i = 0; i < engine->ledger->count; i++) {
        const BkLedgerEntry *entry = &engine->ledger->entries[i];
        if (entry == going || entry->state != BK_LEDGER_LOADED ||
            strcmp(entry->item, going->item) != 0) {
            continue;
        }
        others->loaded++;
        others->known +=
            entry->loaded_at != 0 && now - entry->loaded_at >= spread;
    }
}

/* A copy goes only when callers find the others: as many as there should
 * be, or all that there are. */
static bool
may_unload(const BkSteward *steward, const BkLedgerEntry *going)
{
    const BkDaemon *daemon = steward->daemon;
    Others others = {0};
    int item = BkBundle_FindItem(daemon->bundle, BkStr_FromC(going->item));

    if (item < 0) {
        return true;
    }
    for (int i = 0; i < steward->engine_count; i++) {
        const BkEngine *engine = steward->engines[i];
        if (engine->up_index >= 0 && engine->ledger != NULL &&
            BkView_IsUsable(daemon->view, engine->up_index, BkClock_Now(),
                            daemon->conf->stale_after)) {
            count_others(steward, engine, going, &others);
        }
    }
    int least = daemon->bundle->items[item].copies;
    int needed = others.loaded < least ? others.loaded : least;
    return others.known >= (needed < 1 ? 1 : needed);
}

static void
take_unload(BkSteward *steward, BkEngine *engine, const BkMove *move)
{
    int entry = BkLedger_Find(engine->ledger, BkStr_FromC(move->inst));

    if (entry < 0 || !may_unload(steward, &engine->ledger->entries[entry])) {
        return;
    }
    if (BkLedger_RecordUnload(engine->ledger, entry, 0) != BK_OK) {
        BK_LOG(BK_LOG_DEBUG, "planner", NULL, "%s", BkErr_Last());
        return;
    }
    engine->row_outdated = true;
    engine->ledger->entries[entry].ordered_at = 0;
    count_move(steward, "kind=\"unload\"");
    BK_LOG(BK_LOG_INFO, "planner", NULL, "unload %s: %s", move->inst,
           move->why);
}

static void
take_move(BkSteward *steward, const BkMove *move)
{
    const BkUpstream *upstream =
        &steward->daemon->bundle->upstreams[move->upstream];
    BkEngine *engine =
        BkEngine_FindOrAdd(steward, BkStr_FromC(upstream->name));

    if (!BkEngine_AcceptsMove(engine)) {
        return;
    }
    switch (move->kind) {
    case BK_MOVE_LOAD:
        take_load(steward, engine, move);
        break;
    case BK_MOVE_UNLOAD:
        take_unload(steward, engine, move);
        break;
    }
    BkEngine_Step(engine, BkClock_Now());
}

/* those at engines that answer; others hold up nothing */
static int
count_loads(const BkSteward *steward, BkMs now)
{
    const BkDaemon *daemon = steward->daemon;
    int loads = 0;

    for (int i = 0; i < steward->engine_count; i++) {
        const BkEngine *engine = steward->engines[i];
        if (engine->up_index < 0 || engine->ledger == NULL ||
            !BkView_IsUsable(daemon->view, engine->up_index, now,
                             daemon->conf->stale_after)) {
            continue;
        }
        for (int e = 0; e < engine->ledger->count; e++) {
            const BkLedgerEntry *entry = &engine->ledger->entries[e];
            loads += entry->state == BK_LEDGER_LOAD_ORDERED;
        }
    }
    return loads;
}

static void
decide(BkSteward *steward, BkMs now)
{
    BkDaemon *daemon = steward->daemon;
    int count = daemon->bundle->upstream_count;
    BkLedger **ledgers = BkMem_New((size_t)count, sizeof(BkLedger *));
    bool *drained = BkMem_New((size_t)count, sizeof(bool));
    BkMove moves[MAX_MOVES];

    for (int i = 0; i < steward->engine_count; i++) {
        if (steward->engines[i]->up_index >= 0) {
            ledgers[steward->engines[i]->up_index] =
                steward->engines[i]->ledger;
        }
    }
    for (int i = 0; i < count; i++) {
        drained[i] = daemon->view->ups[i].excluded;
    }
    BkPlaceInput input = {.bundle = daemon->bundle,
                          .view = daemon->view,
                          .ledgers = ledgers,
                          .demand = steward->demand,
                          .drained = drained,
                          .loads_in_progress = count_loads(steward, now),
                          .now = now,
                          .stale_after = daemon->conf->stale_after};
    int moves_count =
        BkPlace_Decide(&steward->conf->place, &input, moves, MAX_MOVES);
    for (int i = 0; i < moves_count; i++) {
        take_move(steward, &moves[i]);
        free(moves[i].inst);
    }
    free(ledgers);
    free(drained);
}

void
BkPlacement_Step(BkSteward *steward, BkMs now)
{
    if (!BkSteward_MaySendOrders(steward) || now < steward->next_decision_at) {
        return;
    }
    BkMs dt = now - steward->last_decision_at;
    double rate = (double)steward->conf->loads_per_second;
    steward->last_decision_at = now;
    steward->next_decision_at = now + steward->conf->decide_period;
    steward->load_tokens += rate * (double)dt / (double)BK_MS_PER_S;
    if (steward->load_tokens > rate) {
        steward->load_tokens = rate;
    }
    if (dt > 0) {
        BkSteward_UpdateDemand(steward, dt, now);
    }
    decide(steward, now);
    BkProgress_Step(steward);
}
