#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "links.h"
#include "peers.h"
#include "planner.h"
#include "signals.h"

/* An engine gets one order at a time. Each order carries the number of orders
   that the engine must have accepted before it. An order without an answer is
   sent again with the same number, so that the engine carries out at most one
   of the copies, however late the others arrive.

   A change is the load or unload of a model that the engine has accepted. */

enum {
    REQUEST_TIMEOUT = 400, /* ms, of an order or a poll */
    RETRY_DELAY = 150, /* ms before an order without an answer is sent again */
    /* of an order without an answer; after that, the engine's state shows
       whether it was carried out */
    MAX_TRIES = 12,
    /* ms between polls of an engine that loads or unloads, or whose state
       is not known */
    POLL_INTERVAL = 250,
    /* ms that the first poll comes after the expected end of a load or
       unload */
    POLL_MARGIN = 60,
    POLL_RETRY_DELAY = 500, /* ms after a failed poll */
    /* ms in which an order without an answer may still be carried out */
    MAX_ORDER_DELAY = 12000,
    STATE_LAG = 300, /* ms that the state in an engine's answer may be old */
    MAX_RESPONSE_BYTES = 64 * 1024,
    URL_BYTES = 160,
    HEADER_BYTES = 200
};

const BkSiteEngine *
FrEngine_FindSiteEngine(const FrEngine *engine)
{
    const BkSite *site = engine->planner->front->site;
    const BkSiteService *service =
        site == NULL ? NULL : BkSite_FindService(site, engine->up->service);

    return service == NULL ? NULL : service->engine;
}

FrEngine *
FrEngines_Find(const FrPlanner *planner, uint32_t up_key)
{
    for (int i = 0; i < planner->engine_count; i++) {
        if (planner->engines[i]->up->key == up_key) {
            return planner->engines[i];
        }
    }
    return NULL;
}

static bool
is_weight_load(const FrOrder *order)
{
    return order->kind == BK_ORDER_LOAD && order->from_weight_store;
}

static void
record_if_load(FrEngine *engine, BkMs now)
{
    if (is_weight_load(&engine->order)) {
        FrPlanner_RecordWeightLoad(engine->planner, now);
    }
}

bool
FrEngine_HasPendingWeightLoad(const FrEngine *engine)
{
    return engine->load_in_doubt ||
           ((engine->order_in_flight || engine->order_unconfirmed) &&
            is_weight_load(&engine->order));
}

/* The engine carries out no order any more that names an earlier count. */
static void
note_order_count(FrEngine *engine, uint64_t order_count, BkMs now)
{
    if (engine->load_in_doubt && order_count > engine->doubtful_order_count) {
        engine->load_in_doubt = false;
        FrPlanner_RecordWeightLoad(engine->planner, now);
    }
}

/* What the order takes if it is a load. */
static BkDoubtRoom
get_load_room(const FrEngine *engine, const FrOrder *order)
{
    const BkSiteEngine *site_engine = FrEngine_FindSiteEngine(engine);
    const BkSiteModel *model =
        site_engine == NULL
            ? NULL
            : BkSite_FindModelByKey(site_engine, order->model_key);
    bool of_adapter = order->adapter[0] != '\0';

    if (model == NULL || order->kind != BK_ORDER_LOAD) {
        return (BkDoubtRoom){0};
    }
    return (BkDoubtRoom){.mb = of_adapter ? model->adapter_mb
                                          : model->weights_mb,
                         .slots = of_adapter ? 1 : 0};
}

static BkDoubt
make_doubt(const FrEngine *engine, const FrOrder *order, uint64_t order_count,
           BkMs now)
{
    return (BkDoubt){.engine = engine->up->key,
                     .order_count = order_count,
                     .room = get_load_room(engine, order),
                     .until = now + MAX_ORDER_DELAY};
}

/* The order got no answer: the engine may carry it out later, also after it has
   started again. */
static void
note_doubt(const FrEngine *engine, BkMs now)
{
    const FrOrder *order = &engine->order;
    BkDoubt doubt =
        make_doubt(engine, order, order->expected_order_count, now);

    if (order->kind == BK_ORDER_LOAD) {
        BkDoubts_Note(&engine->planner->doubts, &doubt, now);
    }
}

BkDoubtRoom
FrEngine_GetDoubtfulRoom(const FrEngine *engine, BkMs now)
{
    return BkDoubts_GetRoom(&engine->planner->doubts, engine->up->key,
                            engine->up->order_count + 1, now);
}

static void
log_wait(FrEngine *engine, const FrOrder *order, BkMs now)
{
    if (now - engine->wait_logged_at < BK_MS_PER_S) {
        return;
    }
    engine->wait_logged_at = now;
    BkLog_Event(BK_LOG_INFO, "planner", NULL, "order waits",
                "s:s, s:s, s:s, s:s, s:I, s:s", "upstream", engine->up->id,
                "kind", order->kind == BK_ORDER_LOAD ? "load" : "unload",
                "model", order->model, "adapter", order->adapter, "orders",
                (json_int_t)engine->up->order_count, "why",
                "a load without an answer would not fit after it");
}

static bool
fits(const BkSiteEngine *site_engine, double mb, int slots)
{
    return mb <= site_engine->weights_budget_mb &&
           slots <= site_engine->adapter_slots;
}

/* Whether loads in doubt fit after the order. */
static bool
fits_after(const FrEngine *engine, const FrOrder *order,
           const BkSiteEngine *site_engine, BkMs now)
{
    BkDoubtRoom doubtful = FrEngine_GetDoubtfulRoom(engine, now);
    BkDoubtRoom load = get_load_room(engine, order);

    if (doubtful.mb <= 0 && doubtful.slots == 0) {
        return true;
    }
    return fits(site_engine,
                FrAdapters_TotalUsedMb(engine, site_engine) + load.mb +
                    doubtful.mb,
                engine->slot_count + load.slots + doubtful.slots);
}

/* Whether loads in doubt fit into the engine if it starts again, should this
   one get no answer. */
static bool
fits_after_restart(const FrEngine *engine, const FrOrder *order,
                   const BkSiteEngine *site_engine, BkMs now)
{
    BkDoubt next = make_doubt(engine, order, engine->up->order_count, now);
    BkDoubtRoom room =
        BkDoubts_GetStartRoom(&engine->planner->doubts, &next, now);

    return order->kind != BK_ORDER_LOAD ||
           fits(site_engine, room.mb, room.slots);
}

bool
FrEngine_MayOrder(FrEngine *engine, const FrOrder *order, BkMs now)
{
    const BkSiteEngine *site_engine = FrEngine_FindSiteEngine(engine);

    if (site_engine == NULL ||
        (fits_after(engine, order, site_engine, now) &&
         fits_after_restart(engine, order, site_engine, now))) {
        return true;
    }
    log_wait(engine, order, now);
    return false;
}

/* HTTP calls in flight refer to the engine; free_if_removed then frees it when
   the last of them ends. */
static void
remove_engine(FrPlanner *planner, int index)
{
    FrEngine *engine = planner->engines[index];

    if (FrEngine_HasPendingWeightLoad(engine)) {
        FrPlanner_RecordWeightLoad(planner, BkClock_Now());
    }
    if (engine->order_in_flight) {
        note_doubt(engine, BkClock_Now());
    }
    planner->engines[index] = planner->engines[--planner->engine_count];
    engine->planner = NULL;
    BkTimer_Destroy(engine->slot_timer);
    if (!engine->order_in_flight && !engine->polling) {
        BkUp_Unref(engine->up);
        free(engine);
    }
}

/* Called at the end of each HTTP call: returns true if the engine was removed
   during the call, and frees it unless another call is in flight. */
static bool
free_if_removed(FrEngine *engine)
{
    if (engine->planner != NULL) {
        return false;
    }
    if (!engine->order_in_flight && !engine->polling) {
        BkUp_Unref(engine->up);
        free(engine);
    }
    return true;
}

/* Whether the upstream is a model engine that the planner sends orders to. */
static bool
is_managed(const FrFront *front, const BkUp *up)
{
    const BkSiteService *service =
        front->site == NULL ? NULL
                            : BkSite_FindService(front->site, up->service);

    return service != NULL && service->engine != NULL &&
           up->state != BK_UP_GONE;
}

static void
add_engine(FrPlanner *planner, BkUp *up)
{
    FrEngine *engine = BkMem_New(1, sizeof(*engine));

    engine->planner = planner;
    engine->up = BkUp_Ref(up);
    engine->signals = BkAdapter_NoSignals();
    engine->slot_timer =
        BkTimer_Create(planner->front->loop, FrAdapters_AnnounceReady, engine);
    planner->engines =
        BkMem_Grow(planner->engines, (size_t)planner->engine_count + 1,
                   sizeof(FrEngine *));
    planner->engines[planner->engine_count++] = engine;
    planner->start.engine_added_at = BkClock_Now();
}

static bool
has_engine(const FrPlanner *planner, const BkUp *up)
{
    for (int i = 0; i < planner->engine_count; i++) {
        if (planner->engines[i]->up == up) {
            return true;
        }
    }
    return false;
}

void
FrEngines_Update(FrPlanner *planner)
{
    const FrFront *front = planner->front;

    for (int i = planner->engine_count - 1; i >= 0; i--) {
        if (!is_managed(front, planner->engines[i]->up)) {
            remove_engine(planner, i);
        }
    }
    for (int i = 0; i < front->fleet.count; i++) {
        BkUp *up = front->fleet.ups[i];
        if (is_managed(front, up) && !has_engine(planner, up)) {
            add_engine(planner, up);
        }
    }
}

void
FrEngines_Clear(FrPlanner *planner)
{
    while (planner->engine_count > 0) {
        remove_engine(planner, planner->engine_count - 1);
    }
    free(planner->engines);
    planner->engines = NULL;
}

bool
FrEngine_IsIdle(const FrEngine *engine)
{
    return engine->state_known && !engine->order_in_flight &&
           !engine->order_unconfirmed && engine->loading == 0 &&
           engine->unloading == 0;
}

static bool
holds_model(const FrEngine *engine, uint32_t model_key)
{
    for (int i = 0; i < engine->held_count; i++) {
        if (engine->held[i] == model_key) {
            return true;
        }
    }
    return false;
}

/* Takes over which models and adapters the engine says that it holds. */
static void
set_held(FrEngine *engine, const BkUpReport *held)
{
    engine->held_count = 0;
    for (int i = 0; i < held->model_count; i++) {
        if (engine->held_count < BK_UP_MAX_MODELS) {
            engine->held[engine->held_count++] =
                BkStr_NameHash(BkStr_FromC(held->models[i].name));
        }
    }
    engine->held_complete = FrAdapters_UpdateSlots(engine, held) &&
                            held->model_count <= BK_UP_MAX_MODELS;
}

/* Announces to the daemons that requests may go to the model, after a load or
   after an unload that did not take place. */
static void
announce_model_available(FrEngine *engine, uint32_t model_key)
{
    FrPlanner_Announce(engine->planner, BKP_MODEL_AVAILABLE, engine->up,
                       model_key, 0);
}

static void
finish_change(FrEngine *engine, BkMs now)
{
    const BkUp *up = engine->up;
    uint32_t model =
        engine->loading != 0 ? engine->loading : engine->unloading;

    BkLog_Event(BK_LOG_INFO, "planner", NULL, "change done",
                "s:s, s:s, s:b, s:I, s:I", "upstream", up->id, "kind",
                engine->loading != 0 ? "load" : "unload", "holds",
                holds_model(engine, model), "took_ms",
                (json_int_t)(now - engine->change_started_at), "orders",
                (json_int_t)up->order_count);
    engine->loading = 0;
    engine->unloading = 0;
    if (holds_model(engine, model)) {
        announce_model_available(engine, model);
    }
    else {
        FrAdapters_DropModel(engine, model);
    }
}

/* Ends the load or unload if the engine's new state shows that it is over. */
static void
check_change_done(FrEngine *engine, bool busy, BkMs now)
{
    bool maybe_stale = now - engine->change_started_at <= 2 * STATE_LAG;
    bool finished = !busy && !maybe_stale;

    if ((engine->loading != 0 &&
         (holds_model(engine, engine->loading) || finished)) ||
        (engine->unloading != 0 && finished)) {
        finish_change(engine, now);
    }
}

/* Ends a load that a report in the store shows as done before the next poll
   does. */
static void
apply_store_report(FrEngine *engine, BkMs now)
{
    if (engine->loading != 0 && BkUp_HasModel(engine->up, engine->loading) &&
        engine->held_count < BK_UP_MAX_MODELS) {
        engine->held[engine->held_count++] = engine->loading;
        engine->load_reported_at = now;
        finish_change(engine, now);
    }
}

/* What the engine says that it holds, and what the planner counts. */
static void
log_state(const FrEngine *engine, const BkEngineState *state)
{
    int adapters = 0;

    for (int i = 0; i < state->report.model_count; i++) {
        adapters += state->report.models[i].adapter_count;
    }
    BkLog_Event(engine->state_known && engine->held_complete ? BK_LOG_DEBUG
                                                             : BK_LOG_INFO,
                "planner", NULL, "engine read",
                "s:s, s:I, s:b, s:i, s:i, s:i, s:i", "upstream",
                engine->up->id, "orders", (json_int_t)state->order_count,
                "busy", state->busy, "models", state->report.model_count,
                "adapters", adapters, "models_counted", engine->held_count,
                "adapters_counted", engine->slot_count);
}

/* The state in an engine's answer may be up to STATE_LAG old. A state that may
   be older than a load already seen as done, or that counts fewer orders than
   the engine has accepted, is ignored. */
static void
apply_state(FrEngine *engine, const BkEngineState *state, BkMs now)
{
    BkUp *up = engine->up;

    if (engine->last_poll_at < engine->load_reported_at + STATE_LAG) {
        return;
    }
    if (state->has_order_count && state->order_count < up->order_count &&
        now - engine->order.first_sent_at > 4 * STATE_LAG) {
        /* the engine restarted, and counts its orders from 0 again */
        up->order_count_known = false;
    }
    if (!state->has_order_count ||
        !BkUp_ApplyPolledState(up, &state->report, state->order_count, now)) {
        return;
    }
    set_held(engine, &state->report);
    log_state(engine, state);
    engine->planner->front->fleet.generation++;
    if (engine->loading == 0 && engine->unloading == 0) {
        /* if busy, it carries out an order that this planner does not know */
        engine->state_known = !state->busy;
    }
    note_order_count(engine, state->order_count, now);
    if (engine->order_unconfirmed && !state->busy &&
        state->order_count > engine->order.expected_order_count) {
        record_if_load(engine, now);
        engine->order_unconfirmed = false; /* one of its copies was accepted */
    }
    check_change_done(engine, state->busy, now);
}

static void
on_header(BkHttpCall *call, BkStr name, BkStr value, void *arg)
{
    FrEngine *engine = arg;

    BkAdapter_ReadSignal(name, value, &engine->signals);
}

/* Heeds what the engine says of itself in its response to a poll or an order.
   Such a response without a rate limit does not end one. */
static void
apply_signals(FrEngine *engine, const BkHttpResult *result, BkMs now)
{
    BkSignals signals = engine->signals;

    engine->signals = BkAdapter_NoSignals();
    if (result->http_status == 0) {
        /* the engine, or this daemon's links: probes tell */
        FrLinks_NoteFailed(engine->planner->front->links, engine->up, false,
                           now - REQUEST_TIMEOUT);
        return;
    }
    if (BkAdapter_IsMisdirected(result->http_status)) {
        return; /* that of another process */
    }
    if (result->http_status != 503) {
        signals.hold_off = 0;
        signals.bad_hold_off = false;
    }
    FrSignals_Apply(engine->planner->front, engine->up, &signals, false, NULL,
                    now);
}

static void
on_state_answer(const BkHttpResult *result, BkStr body, void *arg)
{
    FrEngine *engine = arg;
    BkEngineState state;
    BkMs now = BkClock_Now();

    engine->polling = false;
    if (free_if_removed(engine)) {
        return;
    }
    apply_signals(engine, result, now);
    if (result->status != BK_OK || result->http_status != 200 ||
        BkAdapter_DecodeState(body, &state) != BK_OK) {
        BkLog_Event(BK_LOG_INFO, "planner", NULL, "engine unread", "s:s, s:i",
                    "upstream", engine->up->id, "code", result->http_status);
        engine->next_poll_at = now + POLL_RETRY_DELAY;
        return;
    }
    engine->next_poll_at = now + POLL_INTERVAL;
    apply_state(engine, &state, now);
    BkUpReport_Destroy(&state.report);
}

static void
poll_engine(FrEngine *engine)
{
    char url[URL_BYTES];
    BkBuf id_header = BkBuf_Make(HEADER_BYTES);

    BkAdapter_PutExpectedId(&id_header, engine->up->id);
    const char *headers[] = {BkBuf_C(&id_header), NULL};
    snprintf(url, sizeof(url), "http://%s%s", engine->up->address,
             BkAdapter_StatePath());
    BkHttpCallSpec spec = {.method = "GET",
                           .url = url,
                           .headers = headers,
                           .connect_timeout = REQUEST_TIMEOUT,
                           .timeout = REQUEST_TIMEOUT,
                           .on_header = on_header,
                           .arg = engine};
    engine->polling = true;
    engine->last_poll_at = BkClock_Now();
    BkHttpClient_Fetch(engine->planner->front->http, &spec, MAX_RESPONSE_BYTES,
                       on_state_answer, engine);
    BkBuf_Destroy(&id_header);
}

static void
start_change(FrEngine *engine, const FrOrder *order, BkMs now)
{
    const BkSiteEngine *site_engine = FrEngine_FindSiteEngine(engine);
    const BkSiteModel *model =
        site_engine == NULL
            ? NULL
            : BkSite_FindModelByKey(site_engine, order->model_key);
    BkMs duration = 0;

    engine->change_started_at = now;
    switch (order->kind) {
    case BK_ORDER_LOAD:
        engine->loading = order->model_key;
        engine->reserved_for = 0;
        duration = model == NULL              ? 0
                   : order->from_weight_store ? model->weight_store_load_time
                                              : model->disk_load_time;
        break;
    case BK_ORDER_UNLOAD:
        engine->unloading = order->model_key;
        break;
    }
    engine->change_due_at = now + duration;
    if (order->kind == BK_ORDER_LOAD) {
        FrPlanner_AnnounceExpected(engine->planner, engine->up,
                                   order->model_key, duration);
    }
    engine->next_poll_at = engine->change_due_at + POLL_MARGIN;
}

/* already_done: the engine is in the ordered state; else it is still working
   on it. counted: the engine counts the order as accepted. */
static void
handle_accepted(FrEngine *engine, const FrOrder *order, bool already_done,
                bool counted, BkMs now)
{
    if (counted) {
        engine->up->order_count = order->expected_order_count + 1;
    }
    if (order->adapter[0] != '\0') {
        FrAdapters_HandleAccepted(engine, order, already_done, now);
    }
    else if (!already_done) {
        start_change(engine, order, now);
    }
    else {
        /* its state differs from the one that the planner knows */
        engine->state_known = false;
        engine->next_poll_at = now;
    }
}

static void
handle_lost_answer(FrEngine *engine, BkMs now)
{
    const FrOrder *order = &engine->order;

    note_doubt(engine, now);
    engine->order_unconfirmed = order->tries < MAX_TRIES;
    engine->retry_at = now + RETRY_DELAY;
    if (engine->order_unconfirmed) {
        return;
    }
    /* its state shows whether it carried the order out */
    engine->state_known = false;
    engine->next_poll_at = now;
    if (is_weight_load(order)) {
        engine->load_in_doubt = true;
        engine->doubtful_order_count = order->expected_order_count;
        engine->doubt_until = now + MAX_ORDER_DELAY;
    }
}

/* Whether a load may have begun: by this order, or by an earlier send of it
   that got no answer. */
static bool
may_have_begun(const FrOrder *order, BkOrderResult result)
{
    switch (result) {
    case BK_ORDER_ACCEPTED:
        return true;
    case BK_ORDER_ALREADY_DONE:
    case BK_ORDER_BUSY:
    case BK_ORDER_FENCED:
    case BK_ORDER_INVALID:
    case BK_ORDER_WRONG_PROCESS:
        return order->tries > 1;
    case BK_ORDER_UNKNOWN:
        return false; /* it stays pending, and then in doubt */
    }
    return true;
}

static void
handle_order_result(FrEngine *engine, BkOrderResult result, BkMs now)
{
    const FrOrder order = engine->order;

    if (may_have_begun(&order, result)) {
        record_if_load(engine, now);
    }
    engine->order_unconfirmed = false;
    switch (result) {
    case BK_ORDER_ACCEPTED:
        note_order_count(engine, order.expected_order_count, now);
        /* a load that was given up with the same count is void now */
        engine->load_in_doubt = false;
        handle_accepted(engine, &order, false, true, now);
        if (order.kind == BK_ORDER_UNLOAD && order.adapter[0] != '\0') {
            /* the adapter is in use, and keeps its slot until the engine's
               state no longer lists it */
            engine->state_known = false;
            engine->next_poll_at = now + POLL_MARGIN;
        }
        break;
    case BK_ORDER_ALREADY_DONE:
        /* an adapter that is not in use is unloaded at once, and the order is
           counted */
        handle_accepted(
            engine, &order, true,
            order.kind == BK_ORDER_UNLOAD && order.adapter[0] != '\0', now);
        break;
    case BK_ORDER_BUSY:
    case BK_ORDER_WRONG_PROCESS:
        if (order.kind == BK_ORDER_UNLOAD && order.adapter[0] == '\0') {
            announce_model_available(engine, order.model_key);
        }
        engine->state_known = false;
        engine->next_poll_at = now + STATE_LAG;
        break;
    case BK_ORDER_FENCED:
        BkLease_Resign(&engine->planner->lease, now);
        break;
    case BK_ORDER_INVALID:
        break;
    case BK_ORDER_UNKNOWN:
        handle_lost_answer(engine, now);
        break;
    }
}

static const char *
result_name(BkOrderResult result)
{
    static const char *const names[] = {"accepted", "already done", "busy",
                                        "fenced",   "bad",          "stranger",
                                        "no answer"};

    return names[result];
}

static void
on_order_answer(const BkHttpResult *http, BkStr body, void *arg)
{
    FrEngine *engine = arg;
    BkMs now = BkClock_Now();
    BkOrderResult result = BkAdapter_ReadOrderResult(
        http->status == BK_OK, http->may_have_been_sent, http->http_status);

    engine->order_in_flight = false;
    if (free_if_removed(engine)) {
        return;
    }
    BkLog_Event(BK_LOG_INFO, "planner", NULL, "order",
                "s:s, s:s, s:s, s:s, s:I, s:i, s:s, s:I, s:i, s:i", "upstream",
                engine->up->id, "kind",
                engine->order.kind == BK_ORDER_LOAD ? "load" : "unload",
                "model", engine->order.model, "adapter", engine->order.adapter,
                "expected", (json_int_t)engine->order.expected_order_count,
                "try", engine->order.tries, "result", result_name(result),
                "took_ms", (json_int_t)(now - engine->order.first_sent_at),
                "models", engine->held_count, "adapters", engine->slot_count);
    apply_signals(engine, http, now);
    handle_order_result(engine, result, now);
    /* the lease may have ended while the order was in flight */
    if (FrPlanner_IsActive(engine->planner, now)) {
        FrEngine_Step(engine, now);
    }
}

static void
send_order(FrEngine *engine, BkMs now)
{
    FrPlanner *planner = engine->planner;
    FrOrder *order = &engine->order;
    BkOrder wire_order = {
        .kind = order->kind,
        .model = order->model,
        .adapter = order->adapter[0] == '\0' ? NULL : order->adapter,
        .has_expected = true,
        .expected_order_count = order->expected_order_count,
        .holder = planner->front->conf.name,
        .fence = planner->planned_term};
    char *body = BkAdapter_EncodeOrder(&wire_order);
    char url[URL_BYTES];
    BkBuf id_header = BkBuf_Make(HEADER_BYTES);

    BkAdapter_PutExpectedId(&id_header, engine->up->id);
    const char *headers[] = {"Content-Type: application/json",
                             BkBuf_C(&id_header), NULL};
    snprintf(url, sizeof(url), "http://%s%s", engine->up->address,
             BkAdapter_OrderPath());
    BkHttpCallSpec spec = {.method = "POST",
                           .url = url,
                           .headers = headers,
                           .body = BkStr_FromC(body),
                           .connect_timeout = REQUEST_TIMEOUT,
                           .timeout = REQUEST_TIMEOUT,
                           .on_header = on_header,
                           .arg = engine};
    order->tries++;
    engine->order_in_flight = true;
    BkCounter_Add(planner->order_counter, 1);
    BkHttpClient_Fetch(planner->front->http, &spec, MAX_RESPONSE_BYTES,
                       on_order_answer, engine);
    BkBuf_Destroy(&id_header);
    free(body);
}

void
FrEngine_SendOrder(FrEngine *engine, const FrOrder *order, BkMs now)
{
    engine->order = *order;
    engine->order.expected_order_count = engine->up->order_count;
    engine->order.first_sent_at = now;
    engine->order.tries = 0;
    if (order->kind == BK_ORDER_UNLOAD && order->adapter[0] == '\0') {
        FrPlanner_Announce(engine->planner, BKP_MODEL_CLOSING, engine->up,
                           order->model_key, 0);
    }
    send_order(engine, now);
}

void
FrEngine_Step(FrEngine *engine, BkMs now)
{
    if (engine->load_in_doubt && now >= engine->doubt_until) {
        engine->load_in_doubt = false;
        BkLog_Event(BK_LOG_INFO, "planner", NULL, "load not carried out",
                    "s:s, s:i", "upstream", engine->up->id, "after_ms",
                    MAX_ORDER_DELAY);
    }
    if (engine->reserved_for != 0 && now >= engine->reserved_until) {
        engine->reserved_for = 0;
    }
    if (engine->order_in_flight) {
        return;
    }
    bool held_off = now < engine->up->throttle.held_until;
    if (engine->order_unconfirmed && now >= engine->retry_at && !held_off) {
        send_order(engine, now);
        return;
    }
    apply_store_report(engine, now);
    bool needs_poll = !engine->state_known || engine->loading != 0 ||
                      engine->unloading != 0 || engine->load_in_doubt;
    if (needs_poll && !held_off && !engine->polling &&
        now >= engine->next_poll_at) {
        poll_engine(engine);
    }
    if (engine->state_known && !engine->order_unconfirmed &&
        engine->loading == 0 && engine->unloading == 0) {
        FrAdapters_Step(engine, now);
    }
}
