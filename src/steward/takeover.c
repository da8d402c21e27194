#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "bk/steward/steward.h"

/* a new planner reads all ledgers; nobody else can write them any more */

enum {
    PAGE = 200,
    KEY_BYTES = 256,
    RETRY_MS = 500
};

typedef struct Takeover {
    BkSteward *steward;
    uint64_t generation;
    char after[KEY_BYTES];
} Takeover;

static void read_page(Takeover *takeover);

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
finish(BkSteward *steward)
{
    BkTakeover_AddEngines(steward);
    steward->taking_over = false;
    steward->planning = true;
    steward->next_decision_at = BkClock_Now() + steward->conf->decide_period;
    steward->last_decision_at = BkClock_Now();
    BK_LOG(BK_LOG_NOTICE, "planner", NULL, "%d ledgers are read",
           steward->engine_count);
}

static void
take_page(const BkPlatReply *reply, void *arg)
{
    Takeover *takeover = arg;
    BkSteward *steward = takeover->steward;

    if (steward->generation != takeover->generation) {
        free(takeover);
        return;
    }
    if (reply->status != BK_OK) {
        /* the next step begins anew while the lease holds */
        steward->taking_over = false;
        steward->next_takeover_at = BkClock_Now() + RETRY_MS;
        free(takeover);
        return;
    }
    for (int i = 0; i < reply->count; i++) {
        BkEngine *engine = BkEngine_FindOrAdd(steward, reply->rows[i].key);
        BkEngine_ApplyRow(engine, &reply->rows[i]);
    }
    if (!reply->more || reply->count == 0) {
        free(takeover);
        finish(steward);
        return;
    }
    snprintf(takeover->after, sizeof(takeover->after), "%.*s",
             BK_STR_ARG(reply->rows[reply->count - 1].key));
    read_page(takeover);
}

static void
read_page(Takeover *takeover)
{
    BkPlat_List(takeover->steward->daemon->plat, BK_STR("ledger"), BK_STR(""),
                BkStr_FromC(takeover->after), PAGE, take_page, takeover);
}

void
BkTakeover_Start(BkSteward *steward)
{
    if (BkClock_Now() < steward->next_takeover_at) {
        return;
    }
    /* of an earlier term: await what is in flight */
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
