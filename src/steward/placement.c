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
start_load(BkSteward *steward, BkEngine *engine, const BkPlaceMove *move)
{
    const BkItem *item = &steward->daemon->bundle->items[move->item];
    uint64_t fence = BkSteward_NextFence(steward);

    if (steward->load_tokens < 1) {
        return;
    }
    int index =
        BkLedger_Reserve(engine->ledger, item, steward->conf->daemon.name,
                         steward->daemon->epoch, fence);
    if (index < 0) {
        BK_LOG(BK_LOG_WARNING, "planner", NULL, "%s", BkErr_Last());
        return;
    }
    engine->pending_load =
        BkStr_Dup(BkStr_FromC(engine->ledger->entries[index].inst));
    engine->pending_load_fence = fence;
    engine->row_outdated = true;
    steward->load_tokens -= 1;
    count_move(steward, "kind=\"load\"");
    BK_LOG(BK_LOG_INFO, "planner", NULL,
           "load %s, version %s, as instance %s: %s", item->name,
           item->version, engine->pending_load, move->why);
}

/* Loaded copies of an item other than the one to unload. */
typedef struct OtherCopies {
    int loaded;
    int known; /* loaded for so long that every daemon has learnt of them */
} OtherCopies;

static void
count_other_copies(const BkSteward *steward, const BkEngine *engine,
                   const BkLedgerEntry *to_unload, OtherCopies *other_copies)
{
    BkMs now = BkClock_Now();
    BkMs propagation_time = steward->conf->propagation_time;

    for (int i = 0; i < engine->ledger->count; i++) {
        const BkLedgerEntry *entry = &engine->ledger->entries[i];
        if (entry == to_unload || entry->state != BK_LEDGER_LOADED ||
            strcmp(entry->item, to_unload->item) != 0) {
            continue;
        }
        other_copies->loaded++;
        other_copies->known += entry->loaded_at != 0 &&
                               now - entry->loaded_at >= propagation_time;
    }
}

/* A copy may be unloaded only if every daemon knows of enough other copies: as
 * many as the bundle demands or, if there are fewer, all of them, and at least
 * one. */
static bool
may_unload(const BkSteward *steward, const BkLedgerEntry *to_unload)
{
    const BkDaemon *daemon = steward->daemon;
    OtherCopies other_copies = {0};
    int item = BkBundle_FindItem(daemon->bundle, BkStr_FromC(to_unload->item));

    if (item < 0) {
        return true;
    }
    for (int i = 0; i < steward->engine_count; i++) {
        const BkEngine *engine = steward->engines[i];
        if (engine->up_index >= 0 && engine->ledger != NULL &&
            BkView_IsUsable(daemon->view, engine->up_index, BkClock_Now(),
                            daemon->conf->stale_after)) {
            count_other_copies(steward, engine, to_unload, &other_copies);
        }
    }
    int min_copies = daemon->bundle->items[item].min_copies;
    int needed =
        other_copies.loaded < min_copies ? other_copies.loaded : min_copies;
    return other_copies.known >= (needed < 1 ? 1 : needed);
}

static void
start_unload(BkSteward *steward, BkEngine *engine, const BkPlaceMove *move)
{
    int index = BkLedger_Find(engine->ledger, BkStr_FromC(move->inst));

    if (index < 0 || !may_unload(steward, &engine->ledger->entries[index])) {
        return;
    }
    if (BkLedger_RecordUnload(engine->ledger, index, 0) != BK_OK) {
        BK_LOG(BK_LOG_DEBUG, "planner", NULL, "%s", BkErr_Last());
        return;
    }
    engine->row_outdated = true;
    engine->ledger->entries[index].ordered_at = 0;
    count_move(steward, "kind=\"unload\"");
    BK_LOG(BK_LOG_INFO, "planner", NULL, "unload instance %s: %s", move->inst,
           move->why);
}

static void
start_move(BkSteward *steward, const BkPlaceMove *move)
{
    const BkUpstream *upstream =
        &steward->daemon->bundle->upstreams[move->upstream];
    BkEngine *engine =
        BkEngine_FindOrAdd(steward, BkStr_FromC(upstream->name));

    if (!BkEngine_AcceptsMove(engine)) {
        return;
    }
    switch (move->kind) {
    case BK_PLACE_MOVE_LOAD:
        start_load(steward, engine, move);
        break;
    case BK_PLACE_MOVE_UNLOAD:
        start_unload(steward, engine, move);
        break;
    }
    BkEngine_Step(engine, BkClock_Now());
}

/* Counts the loads at usable engines only, so that those at engines that do
 * not answer do not hold up further loads. */
static int
count_loads_in_progress(const BkSteward *steward, BkMs now)
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
    bool *excluded = BkMem_New((size_t)count, sizeof(bool));
    BkPlaceMove moves[MAX_MOVES];

    for (int i = 0; i < steward->engine_count; i++) {
        if (steward->engines[i]->up_index >= 0) {
            ledgers[steward->engines[i]->up_index] =
                steward->engines[i]->ledger;
        }
    }
    for (int i = 0; i < count; i++) {
        excluded[i] = daemon->view->ups[i].excluded;
    }
    BkPlaceInput input = {.bundle = daemon->bundle,
                          .view = daemon->view,
                          .ledgers = ledgers,
                          .demand = steward->demand,
                          .excluded = excluded,
                          .loads_in_progress =
                              count_loads_in_progress(steward, now),
                          .now = now,
                          .stale_after = daemon->conf->stale_after};
    int moves_count =
        BkPlace_Decide(&steward->conf->place, &input, moves, MAX_MOVES);
    for (int i = 0; i < moves_count; i++) {
        start_move(steward, &moves[i]);
        free(moves[i].inst);
    }
    free(ledgers);
    free(excluded);
}

void
BkPlacement_Step(BkSteward *steward, BkMs now)
{
    if (!BkSteward_MaySendOrders(steward) || now < steward->next_decision_at) {
        return;
    }
    BkMs elapsed = now - steward->last_decision_at;
    double loads_per_second = (double)steward->conf->loads_per_second;
    steward->last_decision_at = now;
    steward->next_decision_at = now + steward->conf->decide_period;
    steward->load_tokens +=
        loads_per_second * (double)elapsed / (double)BK_MS_PER_S;
    if (steward->load_tokens > loads_per_second) {
        steward->load_tokens = loads_per_second;
    }
    if (elapsed > 0) {
        BkSteward_UpdateDemand(steward, elapsed, now);
    }
    decide(steward, now);
    BkProgress_Step(steward);
}
