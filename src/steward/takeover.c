#include <stdlib.h>

#include "bk/base/log.h"
#include "bk/steward/steward.h"

/*
 * A new planner reads all ledgers. Earlier planners can no longer write them,
 * since each write checks the version of the term row.
 */

enum {
    PAGE_ROWS = 200,
    RETRY_MS = 500
};

typedef struct Takeover {
    BkSteward *steward;
    uint64_t generation;
    BkBuf last_key; /* of the page read last; empty before the first */
} Takeover;

static void read_page(Takeover *takeover);

static void
destroy_takeover(Takeover *takeover)
{
    BkBuf_Destroy(&takeover->last_key);
    free(takeover);
}

void
BkTakeover_AddEngines(BkSteward *steward)
{
    const BkBundle *bundle = steward->daemon->bundle;

    for (int i = 0; i < bundle->upstream_count; i++) {
        const BkUpstream *upstream = &bundle->upstreams[i];
        if (upstream->kind != BK_UPSTREAM_ENGINE) {
            continue;
        }
        BkEngine *engine =
            BkEngine_FindOrAdd(steward, BkStr_FromC(upstream->name));
        if (engine->ledger == NULL) {
            engine->ledger = BkLedger_Create(upstream);
        }
    }
}

static void
reset_engines(BkSteward *steward)
{
    for (int i = 0; i < steward->engine_count; i++) {
        BkEngine_Reset(steward->engines[i]);
    }
}

static void
finish_takeover(BkSteward *steward)
{
    BkTakeover_AddEngines(steward);
    steward->taking_over = false;
    steward->planning = true;
    steward->next_decision_at = BkClock_Now() + steward->conf->decide_period;
    steward->last_decision_at = BkClock_Now();
    BK_LOG(BK_LOG_NOTICE, "planner", NULL, "takeover complete, %d engines",
           steward->engine_count);
}

static void
on_page_read(const BkPlatReply *reply, void *arg)
{
    Takeover *takeover = arg;
    BkSteward *steward = takeover->steward;

    if (steward->generation != takeover->generation) {
        destroy_takeover(takeover);
        return;
    }
    if (reply->status != BK_OK) {
        /* the election step retries while the lease is valid */
        steward->taking_over = false;
        steward->next_takeover_at = BkClock_Now() + RETRY_MS;
        destroy_takeover(takeover);
        return;
    }
    for (int i = 0; i < reply->count; i++) {
        BkEngine *engine = BkEngine_FindOrAdd(steward, reply->rows[i].key);
        BkEngine_ApplyRow(engine, &reply->rows[i]);
    }
    if (!reply->has_more) {
        destroy_takeover(takeover);
        finish_takeover(steward);
        return;
    }
    BkBuf_Clear(&takeover->last_key);
    BkBuf_Append(&takeover->last_key, reply->last_key);
    read_page(takeover);
}

static void
read_page(Takeover *takeover)
{
    BkPlat_ListRows(takeover->steward->daemon->plat, BK_STR("ledger"),
                    BK_STR(""), BkBuf_Str(&takeover->last_key), PAGE_ROWS,
                    on_page_read, takeover);
}

void
BkTakeover_Start(BkSteward *steward)
{
    if (BkClock_Now() < steward->next_takeover_at) {
        return;
    }
    /* operations that began in an earlier term must end first */
    for (int i = 0; i < steward->engine_count; i++) {
        if (steward->engines[i]->op != BK_ENGINE_IDLE) {
            return;
        }
    }
    Takeover *takeover = BkMem_New(1, sizeof(*takeover));
    reset_engines(steward);
    steward->taking_over = true;
    steward->generation++;
    takeover->steward = steward;
    takeover->generation = steward->generation;
    read_page(takeover);
}
