#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/steward/steward.h"

enum {
    /* between polls while the ledger lists an order in progress */
    BUSY_POLL_PERIOD_MS = 250,
    POLL_TIMEOUT_MS = 2000,
    RETRY_MS = 500,
    MAX_STATE_BYTES = 1024 * 1024,
    URL_BYTES = 128
};

BkEngine *
BkEngine_FindOrAdd(BkSteward *steward, BkStr name)
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
    engine->up_index =
        bundle == NULL ? -1 : BkBundle_FindUpstream(bundle, name);
    if (engine->up_index >= 0 &&
        bundle->upstreams[engine->up_index].kind != BK_UPSTREAM_ENGINE) {
        engine->up_index = -1;
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
    free(engine->pending_load);
    engine->ledger = NULL;
    engine->pending_load = NULL;
    engine->row_outdated = false;
    engine->must_reread_row = false;
    engine->row_invalid = false;
    engine->state_known = false;
    engine->poll_now = true;
    engine->retry_at = 0;
    engine->next_fence_order_at = 0;
    engine->seen_fence = 0;
}

void
BkEngine_Destroy(BkEngine *engine)
{
    BkEngine_Reset(engine);
    free(engine->order_inst);
    free(engine->name);
    free(engine);
}

const BkUpstream *
BkEngine_Upstream(const BkEngine *engine)
{
    return &engine->steward->daemon->bundle->upstreams[engine->up_index];
}

bool
BkEngine_AcceptsMove(const BkEngine *engine)
{
    return engine->op == BK_ENGINE_IDLE && engine->up_index >= 0 &&
           !engine->row_invalid && !engine->row_outdated &&
           !engine->must_reread_row && engine->pending_load == NULL &&
           engine->state_known;
}

void
BkEngine_ApplyRow(BkEngine *engine, const BkPlatRow *row)
{
    BkUpstream upstream = {.name = engine->name};

    if (engine->ledger == NULL) {
        engine->ledger = BkLedger_Create(&upstream);
    }
    engine->row_invalid =
        BkLedger_Decode(engine->ledger, row->data, row->version) != BK_OK;
    if (engine->row_invalid) {
        BK_LOG(BK_LOG_ERR, "planner", NULL, "%s", BkErr_Last());
    }
    if (engine->up_index >= 0) {
        engine->ledger->memory = BkEngine_Upstream(engine)->memory_bytes;
    }
}

/* Ends the operation. Returns false if it began in an earlier generation: its
 * result must be discarded. */
static bool
end_op(BkEngine *engine)
{
    engine->op = BK_ENGINE_IDLE;
    return engine->op_generation == engine->steward->generation;
}

static void
start_op(BkEngine *engine, BkEngineOp op)
{
    engine->op = op;
    engine->op_generation = engine->steward->generation;
}

static void
on_row_read(const BkPlatReply *reply, void *arg)
{
    BkEngine *engine = arg;

    if (!end_op(engine)) {
        return;
    }
    if (reply->status == BK_OK) {
        BkEngine_ApplyRow(engine, &reply->rows[0]);
    }
    else if (reply->status == BK_ENOTFOUND) {
        BkLedger_Destroy(engine->ledger);
        engine->ledger = NULL;
        if (engine->up_index >= 0) {
            engine->ledger = BkLedger_Create(BkEngine_Upstream(engine));
        }
    }
    else {
        engine->retry_at = BkClock_Now() + RETRY_MS;
        return;
    }
    engine->must_reread_row = false;
    engine->row_outdated = false;
    engine->poll_now = true;
    BkEngine_Step(engine, BkClock_Now());
}

static void
read_row(BkEngine *engine)
{
    start_op(engine, BK_ENGINE_READ_ROW);
    BkPlat_ReadRow(engine->steward->daemon->plat, BK_STR("ledger"),
                   BkStr_FromC(engine->name), on_row_read, engine);
}

static void
drop_pending_load(BkEngine *engine)
{
    free(engine->pending_load);
    engine->pending_load = NULL;
}

/* The row differs from the ledger, or may differ because the outcome of the
   write is unknown. */
static void
reread_row(BkEngine *engine)
{
    engine->must_reread_row = true;
    drop_pending_load(engine);
}

static void
on_write_result(const BkPlatReply *reply, void *arg)
{
    BkEngine *engine = arg;

    if (!end_op(engine)) {
        return;
    }
    switch (reply->status) {
    case BK_OK:
        engine->ledger->row_version = reply->rows[0].version;
        engine->row_outdated = false;
        break;
    case BK_EPLATFORM:
        engine->retry_at = BkClock_Now() + RETRY_MS;
        break;
    case BK_ECONFLICT:
        if (!BkSteward_HandleTermConflict(engine->steward, reply)) {
            reread_row(engine);
        }
        break;
    default:
        reread_row(engine);
        engine->retry_at = BkClock_Now() + RETRY_MS;
    }
    BkEngine_Step(engine, BkClock_Now());
}

static void
write_row(BkEngine *engine)
{
    BkTxn *txn = BkSteward_CreateTxn(engine->steward);
    BkStr key = BkStr_FromC(engine->name);
    BkBuf data = BkBuf_Make(0);

    start_op(engine, BK_ENGINE_WRITE_ROW);
    BkLedger_Encode(engine->ledger, &data);
    BkTxn_Check(txn, BK_STR("ledger"), key, engine->ledger->row_version);
    BkTxn_Put(txn, BK_STR("ledger"), key, BkBuf_Str(&data));
    BkPlat_Commit(engine->steward->daemon->plat, txn, on_write_result, engine);
    BkTxn_Destroy(txn);
    BkBuf_Destroy(&data);
    BkCounter_Add(
        BkCounter_Get("bk_steward_writes_total", NULL, "writes of ledgers"),
        1);
}

static bool
all_loaded_and_settled(const BkLedger *ledger)
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
update_loaded_times(BkLedger *ledger, BkMs now)
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

/* Updates the ledger from a state that was requested while no order was in
 * progress. */
static void
apply_state(BkEngine *engine, const BkUpView *up_view, BkMs now)
{
    BkSteward *steward = engine->steward;
    BkInFlightSource source = {BkInFlight_GetState, steward,
                               steward->conf->max_delivery_time};
    bool changed = BkLedger_ApplyState(engine->ledger, up_view);

    /* after a restart only the reported fence counts: the engine may have
       forgotten a higher one */
    if (up_view->fence > engine->seen_fence || up_view->boot != engine->boot) {
        engine->seen_fence = up_view->fence;
    }
    engine->state_digest = up_view->digest;
    engine->boot = up_view->boot;
    int settled = BkLedger_Settle(
        engine->ledger, BkEngine_Upstream(engine)->checks_fencing,
        engine->seen_fence, &source, engine->poll_sent_at, now);
    update_loaded_times(engine->ledger, now);
    engine->row_outdated |= changed || settled > 0;
    engine->poll_now = settled > 0;
    BkInFlight_RemoveSettled(steward, engine);
}

static void
on_state(const BkHttpResult *result, BkStr body, void *arg)
{
    BkEngine *engine = arg;
    BkSteward *steward = engine->steward;
    BkDaemon *daemon = steward->daemon;
    BkMs now = BkClock_Now();

    if (!end_op(engine) || engine->up_index < 0 ||
        engine->poll_bundle_version != daemon->inforce.active_version) {
        engine->poll_now = true;
        return;
    }
    if (result->status != BK_OK || result->http_status != 200 ||
        BkView_ApplyState(daemon->view, engine->up_index, body, now) !=
            BK_OK) {
        BkView_NoteFailure(daemon->view, engine->up_index, now);
        engine->poll_now = true;
        engine->retry_at = now + RETRY_MS;
        return;
    }
    const BkUpView *up_view = &daemon->view->ups[engine->up_index];
    engine->state_known = true;
    apply_state(engine, up_view, now);
    engine->next_poll_at = now + (all_loaded_and_settled(engine->ledger)
                                      ? steward->conf->idle_poll_period
                                      : BUSY_POLL_PERIOD_MS);
    BkOrder_PrepareResend(engine, now);
    BkEngine_Step(engine, now);
}

static void
poll_state(BkEngine *engine, BkMs now)
{
    BkDaemon *daemon = engine->steward->daemon;
    char url[URL_BYTES];
    BkHttpCallSpec spec = {
        .method = "GET", .url = url, .timeout = POLL_TIMEOUT_MS};

    snprintf(url, sizeof(url), "http://%s/admin/state",
             BkEngine_Upstream(engine)->addr);
    start_op(engine, BK_ENGINE_POLL);
    engine->poll_now = false;
    engine->poll_sent_at = now;
    engine->poll_bundle_version = daemon->inforce.active_version;
    BkView_NotePoll(daemon->view, engine->up_index, now);
    BkHttpClient_Fetch(daemon->http, &spec, MAX_STATE_BYTES, on_state, engine);
}

/* A poll is also due when the view shows, from an observation of any daemon,
 * that the engine's instances changed or that it restarted. */
static bool
poll_due(const BkEngine *engine, BkMs now)
{
    const BkUpView *up_view =
        &engine->steward->daemon->view->ups[engine->up_index];

    return engine->poll_now || now >= engine->next_poll_at ||
           up_view->digest != engine->state_digest ||
           up_view->boot != engine->boot;
}

void
BkEngine_Step(BkEngine *engine, BkMs now)
{
    if (engine->op != BK_ENGINE_IDLE || engine->up_index < 0 ||
        engine->ledger == NULL || engine->row_invalid ||
        now < engine->retry_at || !BkSteward_MaySendOrders(engine->steward)) {
        return;
    }
    /* a load whose row is not written yet goes before the next poll */
    bool load_awaits_write =
        engine->pending_load != NULL && engine->row_outdated;
    if (engine->must_reread_row) {
        read_row(engine);
    }
    else if (!engine->row_outdated && BkOrder_SendDue(engine, now)) {
        start_op(engine, BK_ENGINE_ORDER);
    }
    else if (!load_awaits_write && poll_due(engine, now)) {
        poll_state(engine, now);
    }
    else if (engine->row_outdated) {
        write_row(engine);
    }
}
