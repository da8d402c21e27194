#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/steward/steward.h"

enum {
    ASK_BUSY_MS = 250, /* while something is under way */
    ASK_TIMEOUT_MS = 2000,
    RETRY_MS = 500,
    MAX_STATE = 1024 * 1024,
    URL_BYTES = 128
};

BkEngine *
BkEngine_Get(BkSteward *steward, BkStr name)
{
    const BkBundle *bundle = steward->daemon->bundle;

    for (int i = 0; i < steward->engine_count; i++) {
        if (BkStr_Equal(BkStr_FromC(steward->engines[i]->name), name)) {
            return steward->engines[i];
        }
    }
    BkEngine *engine = BkMem_New(1, sizeof(*engine));
    engine->steward = steward;
    engine->name = BkStr_Dup(name);
    engine->up = bundle == NULL ? -1 : BkBundle_FindUpstream(bundle, name);
    if (engine->up >= 0 &&
        bundle->upstreams[engine->up].kind != BK_UPSTREAM_ENGINE) {
        engine->up = -1;
    }
    steward->engines =
        BkMem_Grow(steward->engines, (size_t)steward->engine_count + 1,
                   sizeof(BkEngine *));
    steward->engines[steward->engine_count++] = engine;
    return engine;
}

void
BkEngine_Reset(BkEngine *engine)
{
    BkLedger_Destroy(engine->ledger);
    free(engine->load);
    engine->ledger = NULL;
    engine->load = NULL;
    engine->dirty = false;
    engine->reread = false;
    engine->broken = false;
    engine->asked = false;
    engine->ask_now = true;
    engine->wait_until = 0;
    engine->next_fence = 0;
    engine->fence = 0;
}

void
BkEngine_Destroy(BkEngine *engine)
{
    BkEngine_Reset(engine);
    free(engine->ordered);
    free(engine->name);
    free(engine);
}

const BkUpstream *
BkEngine_Upstream(const BkEngine *engine)
{
    return &engine->steward->daemon->bundle->upstreams[engine->up];
}

bool
BkEngine_Free(const BkEngine *engine)
{
    return engine->step == BK_ENGINE_IDLE && engine->up >= 0 &&
           !engine->broken && !engine->dirty && !engine->reread &&
           engine->load == NULL && engine->asked;
}

void
BkEngine_EnterRow(BkEngine *engine, const BkRow *row)
{
    BkUpstream upstream = {.name = engine->name};

    if (engine->ledger == NULL) {
        engine->ledger = BkLedger_Create(&upstream);
    }
    engine->broken =
        BkLedger_Decode(engine->ledger, row->data, row->version) != BK_OK;
    if (engine->broken) {
        BK_LOG(BK_LOG_ERR, "planner", NULL, "%s", BkErr_Last());
    }
    if (engine->up >= 0) {
        engine->ledger->memory = BkEngine_Upstream(engine)->memory;
    }
}

/* true if the planner's round in which the step began goes on */
static bool
end_step(BkEngine *engine)
{
    engine->step = BK_ENGINE_IDLE;
    return engine->round == engine->steward->round;
}

static void
start_step(BkEngine *engine, BkEngineStep step)
{
    engine->step = step;
    engine->round = engine->steward->round;
}

static void
take_row(const BkPlatReply *reply, void *arg)
{
    BkEngine *engine = arg;

    if (!end_step(engine)) {
        return;
    }
    if (reply->status == BK_OK) {
        BkEngine_EnterRow(engine, &reply->rows[0]);
    }
    else if (reply->status == BK_ENOTFOUND) {
        BkLedger_Destroy(engine->ledger);
        engine->ledger = NULL;
        if (engine->up >= 0) {
            engine->ledger = BkLedger_Create(BkEngine_Upstream(engine));
        }
    }
    else {
        engine->wait_until = BkClock_Now() + RETRY_MS;
        return;
    }
    engine->reread = false;
    engine->dirty = false;
    engine->ask_now = true;
    BkEngine_Step(engine, BkClock_Now());
}

static void
read_row(BkEngine *engine)
{
    start_step(engine, BK_ENGINE_READ);
    BkPlat_Read(engine->steward->daemon->plat, BK_STR("ledger"),
                BkStr_FromC(engine->name), take_row, engine);
}

static void
forget_load(BkEngine *engine)
{
    free(engine->load);
    engine->load = NULL;
}

static void
take_write(const BkPlatReply *reply, void *arg)
{
    BkEngine *engine = arg;

    if (!end_step(engine)) {
        return;
    }
    switch (reply->status) {
    case BK_OK:
        engine->ledger->row_version = reply->rows[0].version;
        engine->dirty = false;
        break;
    case BK_EPLATFORM:
        engine->wait_until = BkClock_Now() + RETRY_MS;
        break;
    case BK_ECONFLICT:
        if (BkSteward_Deposed(engine->steward, reply)) {
            break;
        }
        /* fall through */
    default:
        /* it may have been written: only the row tells */
        engine->reread = true;
        forget_load(engine);
    }
    BkEngine_Step(engine, BkClock_Now());
}

static void
write_row(BkEngine *engine)
{
    BkTxn *txn = BkSteward_Txn(engine->steward);
    BkStr key = BkStr_FromC(engine->name);
    BkBuf data = BkBuf_Make(0);

    start_step(engine, BK_ENGINE_WRITE);
    BkLedger_Encode(engine->ledger, &data);
    BkTxn_Check(txn, BK_STR("ledger"), key, engine->ledger->row_version);
    BkTxn_Put(txn, BK_STR("ledger"), key, BkBuf_Str(&data));
    BkPlat_Commit(engine->steward->daemon->plat, txn, take_write, engine);
    BkTxn_Destroy(txn);
    BkBuf_Destroy(&data);
    BkCounter_Add(
        BkCounter_Get("bk_steward_writes_total", NULL, "writes of ledgers"),
        1);
}

static bool
at_rest(const BkLedger *ledger)
{
    for (int i = 0; i < ledger->count; i++) {
        const BkLedgerEntry *entry = &ledger->entries[i];
        if (entry->unsettled || entry->state != BK_LEDGER_LOADED) {
            return false;
        }
    }
    return true;
}

static void
note_loaded(BkLedger *ledger, BkMs now)
{
    for (int i = 0; i < ledger->count; i++) {
        BkLedgerEntry *entry = &ledger->entries[i];
        if (entry->state != BK_LEDGER_LOADED) {
            entry->loaded_at = 0;
        }
        else if (entry->loaded_at == 0) {
            entry->loaded_at = now;
        }
    }
}

/* the state was asked when nothing else was under way */
static void
settle(BkEngine *engine, const BkUpView *seen, BkMs now)
{
    BkSteward *steward = engine->steward;
    BkProofSource proof = {BkSends_Judge, steward,
                           steward->conf->flight_after};
    bool changed = BkLedger_ApplyState(engine->ledger, seen);

    /* an engine that starts anew has forgotten what it was told */
    if (seen->fence > engine->fence || seen->boot != engine->boot) {
        engine->fence = seen->fence;
    }
    engine->digest = seen->digest;
    engine->boot = seen->boot;
    int settled =
        BkLedger_Settle(engine->ledger, BkEngine_Upstream(engine)->fencing,
                        engine->fence, &proof, engine->asked_at, now);
    note_loaded(engine->ledger, now);
    engine->dirty |= changed || settled > 0;
    engine->ask_now = settled > 0;
    BkSends_Prune(steward, engine);
}

static void
take_state(const BkHttpResult *result, BkStr body, void *arg)
{
    BkEngine *engine = arg;
    BkSteward *steward = engine->steward;
    BkDaemon *daemon = steward->daemon;
    BkMs now = BkClock_Now();

    if (!end_step(engine) || engine->up < 0 ||
        engine->asked_version != daemon->inforce.active_version) {
        engine->ask_now = true;
        return;
    }
    if (result->status != BK_OK || result->code != 200 ||
        BkView_ApplyState(daemon->view, engine->up, body, now) != BK_OK) {
        BkView_NoteFailure(daemon->view, engine->up, now);
        engine->ask_now = true;
        engine->wait_until = now + RETRY_MS;
        return;
    }
    const BkUpView *seen = &daemon->view->ups[engine->up];
    engine->asked = true;
    settle(engine, seen, now);
    engine->next_ask =
        now + (at_rest(engine->ledger) ? steward->conf->ask : ASK_BUSY_MS);
    BkOrder_Resend(engine, now);
    BkEngine_Step(engine, now);
}

static void
ask_state(BkEngine *engine, BkMs now)
{
    BkDaemon *daemon = engine->steward->daemon;
    char url[URL_BYTES];
    BkHttpSpec spec = {.method = "GET", .url = url, .timeout = ASK_TIMEOUT_MS};

    snprintf(url, sizeof(url), "http://%s/admin/state",
             BkEngine_Upstream(engine)->addr);
    start_step(engine, BK_ENGINE_ASK);
    engine->ask_now = false;
    engine->asked_at = now;
    engine->asked_version = daemon->inforce.active_version;
    BkView_NotePoll(daemon->view, engine->up, now);
    BkHttpClient_Fetch(daemon->http, &spec, MAX_STATE, take_state, engine);
}

/* also when others saw that its instances changed */
static bool
ask_due(const BkEngine *engine, BkMs now)
{
    const BkUpView *seen = &engine->steward->daemon->view->ups[engine->up];

    return engine->ask_now || now >= engine->next_ask ||
           seen->digest != engine->digest || seen->boot != engine->boot;
}

void
BkEngine_Step(BkEngine *engine, BkMs now)
{
    if (engine->step != BK_ENGINE_IDLE || engine->up < 0 ||
        engine->ledger == NULL || engine->broken || now < engine->wait_until ||
        !BkSteward_MayOrder(engine->steward)) {
        return;
    }
    bool load_reserved = engine->load != NULL && engine->dirty;
    if (engine->reread) {
        read_row(engine);
    }
    else if (!engine->dirty && BkOrder_Start(engine, now)) {
        start_step(engine, BK_ENGINE_ORDER);
    }
    else if (!load_reserved && ask_due(engine, now)) {
        ask_state(engine, now);
    }
    else if (engine->dirty) {
        write_row(engine);
    }
}
