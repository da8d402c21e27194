#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "peers.h"
#include "planner.h"

/* Orders to an engine go one after the other, each with the count of orders
   that it must have accepted before. An order whose answer was lost is sent
   again with the same count: the engine carries out one of the two at most,
   however late the other one arrives. */

enum {
    ORDER_LIMIT = 400, /* ms for an engine's answer */
    AGAIN_AFTER = 150, /* ms before an order in doubt is sent again */
    MOST_TRIES = 12,   /* of an order in doubt; then its state decides */
    POLL_EVERY = 250,  /* ms between looks at an engine that changes */
    POLL_FIRST = 60,   /* ms after the time that a change should take */
    POLL_FAILED = 500, /* ms after a look that failed */
    STATE_LAG = 300,   /* ms that an engine's word about itself is old */
    STATE_MAX = 64 * 1024,
    URL_BYTES = 160,
    FIELD_BYTES = 200
};

const BkSiteEngine *
FrEngine_Conf(const FrEngine *engine)
{
    const BkSite *site = engine->planner->front->site;
    const BkSiteService *service =
        site == NULL ? NULL : BkSite_FindService(site, engine->up->service);

    return service == NULL ? NULL : service->engine;
}

FrEngine *
FrEngines_Find(const FrPlanner *planner, uint32_t up)
{
    for (int i = 0; i < planner->engine_count; i++) {
        if (planner->engines[i]->up->key == up) {
            return planner->engines[i];
        }
    }
    return NULL;
}

/* calls in flight refer to the engine: it is freed when they are over */
static void
drop_engine(FrPlanner *planner, int at)
{
    FrEngine *engine = planner->engines[at];

    planner->engines[at] = planner->engines[--planner->engine_count];
    engine->planner = NULL;
    BkTimer_Destroy(engine->slot_timer);
    if (!engine->asked && !engine->polling) {
        BkUp_Unref(engine->up);
        free(engine);
    }
}

/* true if the engine was dropped meanwhile, and is freed with this call */
static bool
was_dropped(FrEngine *engine)
{
    if (engine->planner != NULL) {
        return false;
    }
    if (!engine->asked && !engine->polling) {
        BkUp_Unref(engine->up);
        free(engine);
    }
    return true;
}

static bool
is_engine(const FrFront *front, const BkUp *up)
{
    const BkSiteService *service =
        front->site == NULL ? NULL
                            : BkSite_FindService(front->site, up->service);

    return service != NULL && service->engine != NULL &&
           up->standing != BK_UP_GONE;
}

static void
add_engine(FrPlanner *planner, BkUp *up)
{
    FrEngine *engine = BkMem_New(1, sizeof(*engine));

    engine->planner = planner;
    engine->up = BkUp_Ref(up);
    engine->slot_timer =
        BkTimer_Create(planner->front->loop, FrAdapters_TellReady, engine);
    planner->engines =
        BkMem_Grow(planner->engines, (size_t)planner->engine_count + 1,
                   sizeof(FrEngine *));
    planner->engines[planner->engine_count++] = engine;
    planner->engines_grew = true;
    planner->grown_at = BkClock_Now();
}

static bool
is_followed(const FrPlanner *planner, const BkUp *up)
{
    for (int i = 0; i < planner->engine_count; i++) {
        if (planner->engines[i]->up == up) {
            return true;
        }
    }
    return false;
}

void
FrEngines_Follow(FrPlanner *planner)
{
    const FrFront *front = planner->front;

    for (int i = planner->engine_count - 1; i >= 0; i--) {
        if (!is_engine(front, planner->engines[i]->up)) {
            drop_engine(planner, i);
        }
    }
    for (int i = 0; i < front->fleet.count; i++) {
        BkUp *up = front->fleet.ups[i];
        if (is_engine(front, up) && !is_followed(planner, up)) {
            add_engine(planner, up);
        }
    }
}

void
FrEngines_Forget(FrPlanner *planner)
{
    while (planner->engine_count > 0) {
        drop_engine(planner, planner->engine_count - 1);
    }
    free(planner->engines);
    planner->engines = NULL;
}

bool
FrEngine_IsFree(const FrEngine *engine)
{
    return engine->known && !engine->asked && !engine->doubt &&
           engine->loading == 0 && engine->unloading == 0;
}

static bool
holds(const FrEngine *engine, uint32_t model)
{
    for (int i = 0; i < engine->held_count; i++) {
        if (engine->held[i] == model) {
            return true;
        }
    }
    return false;
}

static void
take_held(FrEngine *engine, const BkUpReport *held)
{
    engine->held_count = 0;
    for (int i = 0; i < held->model_count; i++) {
        if (engine->held_count < BK_UP_MAX_MODELS) {
            engine->held[engine->held_count++] =
                BkStr_Key(BkStr_FromC(held->models[i].name));
        }
    }
}

/* requests may go to the model again, or at last */
static void
open_model(FrEngine *engine, uint32_t model)
{
    FrPlanner_Announce(engine->planner, BKP_MODEL_HELD, engine->up, model, 0);
}

static void
end_change(FrEngine *engine, BkMs now)
{
    const BkUp *up = engine->up;
    uint32_t model =
        engine->loading != 0 ? engine->loading : engine->unloading;

    BkLog_Event(BK_LOG_INFO, "planner", NULL, "change done",
                "s:s, s:s, s:b, s:I, s:I", "upstream", up->id, "kind",
                engine->loading != 0 ? "load" : "unload", "holds",
                holds(engine, model), "took_ms",
                (json_int_t)(now - engine->change_began), "orders",
                (json_int_t)up->orders);
    engine->loading = 0;
    engine->unloading = 0;
    if (holds(engine, model)) {
        open_model(engine, model);
    }
    else {
        FrAdapters_DropModel(engine, model);
    }
}

/* the engine told its state: what was under way may be over */
static void
check_change(FrEngine *engine, bool busy, BkMs now)
{
    bool old = now - engine->change_began <= 2 * STATE_LAG;
    bool over = !busy && !old;

    if ((engine->loading != 0 && (holds(engine, engine->loading) || over)) ||
        (engine->unloading != 0 && over)) {
        end_change(engine, now);
    }
}

/* a report in the store tells of a load before the engine is asked again */
static void
check_report(FrEngine *engine, BkMs now)
{
    if (engine->loading != 0 && BkUp_HoldsModel(engine->up, engine->loading) &&
        engine->held_count < BK_UP_MAX_MODELS) {
        engine->held[engine->held_count++] = engine->loading;
        engine->settled_at = now;
        end_change(engine, now);
    }
}

/* An engine's word is old by up to STATE_LAG: one from before an order or
   change that is known of says nothing. */
static void
take_fresh_state(FrEngine *engine, const BkEngineState *state, BkMs now)
{
    BkUp *up = engine->up;

    if (engine->polled_at < engine->settled_at + STATE_LAG) {
        return;
    }
    if (state->has_orders && state->orders < up->orders &&
        now - engine->order.first_at > 4 * STATE_LAG) {
        /* it started again, and its count with it */
        up->has_orders = false;
    }
    if (!state->has_orders ||
        !BkUp_TakeHeld(up, &state->held, state->orders, now)) {
        return;
    }
    FrAdapters_TakeState(engine);
    take_held(engine, &state->held);
    engine->planner->front->fleet.changes++;
    if (engine->loading == 0 && engine->unloading == 0) {
        engine->known = !state->busy; /* busy with what is not known here */
    }
    if (engine->doubt && !state->busy &&
        state->orders > engine->order.expected) {
        engine->doubt = false; /* one of the sendings was carried out */
    }
    check_change(engine, state->busy, now);
}

static void
take_state(const BkHttpResult *result, BkStr body, void *arg)
{
    FrEngine *engine = arg;
    BkEngineState state;
    BkMs now = BkClock_Now();

    engine->polling = false;
    if (was_dropped(engine)) {
        return;
    }
    if (result->status != BK_OK || result->code != 200 ||
        BkAdapter_DecodeState(body, &state) != BK_OK) {
        BkLog_Event(BK_LOG_INFO, "planner", NULL, "engine unread", "s:s, s:i",
                    "upstream", engine->up->id, "code", result->code);
        engine->poll_at = now + POLL_FAILED;
        return;
    }
    engine->poll_at = now + POLL_EVERY;
    take_fresh_state(engine, &state, now);
    BkUpReport_Destroy(&state.held);
}

static void
poll_engine(FrEngine *engine)
{
    char url[URL_BYTES];
    BkBuf field = BkBuf_Make(FIELD_BYTES);

    BkAdapter_PutExpectedId(&field, engine->up->id);
    const char *headers[] = {BkBuf_C(&field), NULL};
    snprintf(url, sizeof(url), "http://%s%s", engine->up->address,
             BkAdapter_StatePath());
    BkHttpSpec spec = {.method = "GET",
                       .url = url,
                       .headers = headers,
                       .connect_timeout = ORDER_LIMIT,
                       .timeout = ORDER_LIMIT};
    engine->polling = true;
    engine->polled_at = BkClock_Now();
    BkHttpClient_Fetch(engine->planner->front->http, &spec, STATE_MAX,
                       take_state, engine);
    BkBuf_Destroy(&field);
}

static void
begin_change(FrEngine *engine, const FrOrder *order, BkMs now)
{
    const BkSiteEngine *conf = FrEngine_Conf(engine);
    const BkSiteModel *model =
        conf == NULL ? NULL : BkSite_FindModelKey(conf, order->model_key);
    BkMs span = 0;

    engine->change_began = now;
    switch (order->kind) {
    case BK_ORDER_LOAD:
        engine->loading = order->model_key;
        engine->meant_for = 0;
        span = model == NULL       ? 0
               : order->from_store ? model->load_store
                                   : model->load_disk;
        break;
    case BK_ORDER_UNLOAD:
        engine->unloading = order->model_key;
        break;
    }
    engine->change_ends = now + span;
    if (order->kind == BK_ORDER_LOAD) {
        FrPlanner_AnnounceComing(engine->planner, engine->up, order->model_key,
                                 span);
    }
    engine->poll_at = engine->change_ends + POLL_FIRST;
}

/* done: it is so already; counted: the engine counts it as an order */
static void
take_accepted(FrEngine *engine, const FrOrder *order, bool done, bool counted,
              BkMs now)
{
    if (counted) {
        engine->up->orders = order->expected + 1;
    }
    if (order->adapter[0] != '\0') {
        FrAdapters_TakeOrder(engine, order, done, now);
    }
    else if (!done) {
        begin_change(engine, order, now);
    }
    else {
        engine->known = false; /* it knows better what it holds */
        engine->poll_at = now;
    }
}

static void
lose_answer(FrEngine *engine, BkMs now)
{
    engine->doubt = engine->order.tries < MOST_TRIES;
    engine->again_at = now + AGAIN_AFTER;
    if (!engine->doubt) {
        engine->known = false; /* its own word decides */
        engine->poll_at = now;
    }
}

static void
take_result(FrEngine *engine, BkOrderResult result, BkMs now)
{
    const FrOrder order = engine->order;

    engine->doubt = false;
    switch (result) {
    case BK_ORDER_ACCEPTED:
        take_accepted(engine, &order, false, true, now);
        if (order.kind == BK_ORDER_UNLOAD && order.adapter[0] != '\0') {
            /* it is in use, and keeps its slot until the engine says */
            engine->known = false;
            engine->poll_at = now + POLL_FIRST;
        }
        break;
    case BK_ORDER_HOLDS:
        /* taking away an adapter that nobody uses is done at once */
        take_accepted(
            engine, &order, true,
            order.kind == BK_ORDER_UNLOAD && order.adapter[0] != '\0', now);
        break;
    case BK_ORDER_BUSY:
    case BK_ORDER_STRANGER:
        if (order.kind == BK_ORDER_UNLOAD && order.adapter[0] == '\0') {
            open_model(engine, order.model_key);
        }
        engine->known = false;
        engine->poll_at = now + STATE_LAG;
        break;
    case BK_ORDER_FENCED:
        BkLease_GiveUp(&engine->planner->lease, now);
        break;
    case BK_ORDER_BAD:
        break;
    case BK_ORDER_DOUBT:
        lose_answer(engine, now);
        break;
    }
}

static const char *
name_result(BkOrderResult result)
{
    static const char *const names[] = {"accepted", "held already", "busy",
                                        "fenced",   "bad",          "stranger",
                                        "no answer"};

    return names[result];
}

static void
take_order_answer(const BkHttpResult *http, BkStr body, void *arg)
{
    FrEngine *engine = arg;
    BkMs now = BkClock_Now();
    BkOrderResult result = BkAdapter_ReadOrderResult(http->status == BK_OK,
                                                     http->sent, http->code);

    engine->asked = false;
    if (was_dropped(engine)) {
        return;
    }
    BkLog_Event(BK_LOG_INFO, "planner", NULL, "order",
                "s:s, s:s, s:s, s:s, s:I, s:i, s:s, s:I", "upstream",
                engine->up->id, "kind",
                engine->order.kind == BK_ORDER_LOAD ? "load" : "unload",
                "model", engine->order.model, "adapter", engine->order.adapter,
                "expected", (json_int_t)engine->order.expected, "try",
                engine->order.tries, "result", name_result(result), "took_ms",
                (json_int_t)(now - engine->order.first_at));
    take_result(engine, result, now);
    FrEngine_Step(engine, now);
}

static void
send_order(FrEngine *engine, BkMs now)
{
    FrPlanner *planner = engine->planner;
    FrOrder *order = &engine->order;
    BkOrder wire = {.kind = order->kind,
                    .model = order->model,
                    .adapter =
                        order->adapter[0] == '\0' ? NULL : order->adapter,
                    .has_expected = true,
                    .expected = order->expected,
                    .holder = planner->front->conf.name,
                    .fence = planner->active_term};
    char *body = BkAdapter_EncodeOrder(&wire);
    char url[URL_BYTES];
    BkBuf field = BkBuf_Make(FIELD_BYTES);

    BkAdapter_PutExpectedId(&field, engine->up->id);
    const char *headers[] = {"Content-Type: application/json", BkBuf_C(&field),
                             NULL};
    snprintf(url, sizeof(url), "http://%s%s", engine->up->address,
             BkAdapter_OrderPath());
    BkHttpSpec spec = {.method = "POST",
                       .url = url,
                       .headers = headers,
                       .body = BkStr_FromC(body),
                       .connect_timeout = ORDER_LIMIT,
                       .timeout = ORDER_LIMIT};
    order->tries++;
    engine->asked = true;
    BkCounter_Add(planner->orders, 1);
    BkHttpClient_Fetch(planner->front->http, &spec, STATE_MAX,
                       take_order_answer, engine);
    BkBuf_Destroy(&field);
    free(body);
}

void
FrEngine_Order(FrEngine *engine, const FrOrder *order, BkMs now)
{
    engine->order = *order;
    engine->order.expected = engine->up->orders;
    engine->order.first_at = now;
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
    if (engine->meant_for != 0 && now >= engine->meant_until) {
        engine->meant_for = 0;
    }
    if (engine->asked) {
        return;
    }
    if (engine->doubt && now >= engine->again_at) {
        send_order(engine, now);
        return;
    }
    check_report(engine, now);
    bool look =
        !engine->known || engine->loading != 0 || engine->unloading != 0;
    if (look && !engine->polling && now >= engine->poll_at) {
        poll_engine(engine);
    }
    if (engine->known && !engine->doubt && engine->loading == 0 &&
        engine->unloading == 0) {
        FrAdapters_Step(engine, now);
    }
}
