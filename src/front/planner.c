#include "planner.h"

#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "links.h"
#include "peers.h"
#include "plan_inputs.h"
#include "sync.h"

enum {
    STEP_INTERVAL = 25,       /* ms, while this daemon is the planner */
    IDLE_STEP_INTERVAL = 100, /* ms, while it is not */
    PLAN_INTERVAL = 100,      /* ms between planning rounds */
    RESIGN_AFTER = 700,       /* ms without an answer from the store */
    /* ms without links to engines; longer than it takes to find out that only
       some engines have ended */
    RESIGN_LOST = 400,
    /* ms that the room made by an unload is kept for the model that it was
       made for */
    RESERVATION_TIME = 4000,
    UNLOAD_TIME = 1000, /* ms that an unload usually takes */
    /* loads that an earlier planner may have started after its last message */
    UNSEEN_LOADS = 2,
    /* loads per window that the planner allows beyond the weight store's rate;
       the weight store itself allows three */
    LOAD_BURST = 2
};

/* This daemon stops relying on the lease after valid_for, which is
   lease_duration - valid_for ms before the others may claim it. If the process
   was paused for at least that difference, another daemon may have become the
   planner meanwhile. */
static bool
has_stalled(const FrPlanner *planner, BkMs now)
{
    const BkLeaseConf *lease = &planner->lease.conf;

    return now - planner->last_step_at >=
           lease->lease_duration - lease->valid_for;
}

/* While the store answers no daemon, no other daemon can claim the lease. If
   one that this daemon cannot reach claimed it all the same, the engines
   refuse orders with this daemon's older fencing number. */
static bool
may_plan_without_store(const FrPlanner *planner, BkMs now)
{
    const FrFront *front = planner->front;

    return front->conf.fenced && !planner->stalled &&
           !has_stalled(planner, now) &&
           planner->lease.phase == BK_LEASE_HOLDER &&
           FrSync_IsStoreFailing(front->sync) &&
           !FrPeers_AnyReachesStore(front->peers, now);
}

bool
FrPlanner_IsActive(const FrPlanner *planner, BkMs now)
{
    return planner->in_term && (BkLease_Valid(&planner->lease, now) ||
                                may_plan_without_store(planner, now));
}

void
FrPlanner_RecordWeightLoad(FrPlanner *planner, BkMs at)
{
    if (planner->weight_load_count < FR_MAX_WEIGHT_LOADS) {
        planner->weight_load_times[planner->weight_load_count++] = at;
    }
}

/* Loads from the weight store that were ordered, and may begin at any time. */
static int
count_pending_loads(const FrPlanner *planner)
{
    int count = 0;

    for (int i = 0; i < planner->engine_count; i++) {
        count += FrEngine_HasPendingWeightLoad(planner->engines[i]) ? 1 : 0;
    }
    return count;
}

bool
FrPlanner_FillBeat(FrPlanner *planner, bkp_planner_beat *beat,
                   u_int *weight_load_ages, BkMs now)
{
    u_int n = 0;

    if (!FrPlanner_IsActive(planner, now)) {
        return false;
    }
    beat->term = planner->planned_term;
    beat->term_version = planner->lease.term_version;
    beat->beat_version = planner->lease.beat_version;
    for (int i = 0; i < planner->weight_load_count; i++) {
        BkMs age = now - planner->weight_load_times[i];
        if (age < planner->front->conf.load_window) {
            weight_load_ages[n++] = (u_int)age;
        }
    }
    int pending = count_pending_loads(planner);
    for (int i = 0; i < pending && n < BKP_MAX_WEIGHT_LOADS; i++) {
        weight_load_ages[n++] = 0;
    }
    beat->recent_weight_load_ages.recent_weight_load_ages_len = n;
    beat->recent_weight_load_ages.recent_weight_load_ages_val =
        weight_load_ages;
    return true;
}

void
FrPlanner_HandleBeat(FrPlanner *planner, const bkp_planner_beat *beat,
                     BkMs now)
{
    BkLease_OnRowVersions(&planner->lease, beat->term, beat->term_version,
                          beat->beat_version);
    if (planner->in_term) {
        return;
    }
    planner->weight_loads_heard_at = now;
    planner->weight_load_count = 0;
    for (u_int i = 0;
         i < beat->recent_weight_load_ages.recent_weight_load_ages_len; i++) {
        FrPlanner_RecordWeightLoad(
            planner,
            now -
                beat->recent_weight_load_ages.recent_weight_load_ages_val[i]);
    }
}

void
FrPlanner_ApplyChanges(FrFront *front, const bkp_changes *changes)
{
    /* ms; an unload waits for the model's running requests, which usually end
       sooner */
    const BkMs close_duration = 8000;
    BkMs now = BkClock_Now();

    for (u_int i = 0; i < changes->rows.rows_len; i++) {
        const bkp_change *row = &changes->rows.rows_val[i];
        BkUp *up = BkFleet_FindByKey(&front->fleet, row->up);
        if (up == NULL) {
            continue;
        }
        if (up->order_count_known && row->order_count > up->order_count) {
            up->order_count = row->order_count;
        }
        switch (row->kind) {
        case BKP_MODEL_AVAILABLE:
            up->closed_model =
                up->closed_model == row->model ? 0 : up->closed_model;
            up->no_order_until = 0;
            BkUp_SetModelLoaded(up, row->model, true);
            break;
        case BKP_MODEL_CLOSING:
            BkUp_CloseModel(up, row->model, now + close_duration);
            up->no_order_until = now + UNLOAD_TIME;
            break;
        case BKP_ADAPTER_LOADED:
            BkUp_SetAdapterLoaded(up, row->model, row->adapter, true);
            break;
        case BKP_ADAPTER_UNLOADED:
            BkUp_SetAdapterLoaded(up, row->model, row->adapter, false);
            break;
        case BKP_MODEL_EXPECTED:
            FrExpected_Note(front, row->model, now + row->eta);
            up->no_order_until = now + row->eta;
            break;
        }
    }
    front->fleet.generation++;
    FrQueue_SchedulePass(front, 0);
}

static void
announce_change(FrPlanner *planner, bkp_change *row)
{
    bkp_changes changes = {.term = planner->planned_term, .rows = {1, row}};

    FrPlanner_ApplyChanges(planner->front, &changes);
    FrPeers_Spread(planner->front->peers, BKP_CHANGES, &changes,
                   &changes.spread);
}

void
FrPlanner_Announce(FrPlanner *planner, bkp_change_kind kind, const BkUp *up,
                   uint32_t model_key, uint32_t adapter_key)
{
    bkp_change row = {kind,      up->key,     up->order_count,
                      model_key, adapter_key, 0};

    announce_change(planner, &row);
}

void
FrPlanner_AnnounceExpected(FrPlanner *planner, const BkUp *up,
                           uint32_t model_key, BkMs eta)
{
    bkp_change row = {BKP_MODEL_EXPECTED, up->key, up->order_count,
                      model_key,          0,       (u_int)eta};

    announce_change(planner, &row);
}

void
FrPlanner_RequestAdapter(FrFront *front, const BkUp *up, const char *model,
                         const char *adapter)
{
    BkMs now = BkClock_Now();
    bkp_adapter_request message = {up->key, (char *)model, (char *)adapter};

    if (strlen(model) > BKP_MAX_NAME || strlen(adapter) > BKP_MAX_NAME) {
        return; /* no engine has a model or adapter of such a name */
    }
    if (FrPlanner_IsActive(front->planner, now)) {
        FrPlanner_HandleAdapterRequest(front->planner, up->key, model, adapter,
                                       now);
    }
    else {
        FrPeers_SendToPlanner(front->peers, BKP_ADAPTER_REQUEST, &message);
    }
}

void
FrPlanner_HandleAdapterRequest(FrPlanner *planner, uint32_t up_key,
                               const char *model, const char *adapter,
                               BkMs now)
{
    FrEngine *engine = FrEngines_Find(planner, up_key);

    if (engine == NULL || !FrPlanner_IsActive(planner, now)) {
        return;
    }
    FrAdapters_Request(engine, model, adapter, now);
    FrEngine_Step(engine, now);
}

static void
fill_model(const FrPlanner *planner, const BkSiteModel *model,
           BkPlanModel *out)
{
    BkWork work = FrDemand_GetWork(planner, model->key);

    *out = (BkPlanModel){
        .key = model->key,
        .weights_mb = model->weights_mb,
        .weight_store_load_time = model->weight_store_load_time,
        .disk_load_time = model->disk_load_time,
        .memory_load_time = model->memory_load_time,
        .work = BkWork_Forecast(&work, &bk_work_defaults),
        .steady_work = work.steady_rate,
        .waiting_requests = FrDemand_GetWaiting(planner, model->key)};
}

static void
fill_engine(const FrEngine *engine, const BkSiteEngine *site_engine,
            BkPlanEngine *out, BkMs now)
{
    const BkUp *up = engine->up;
    BkDoubtRoom doubtful = FrEngine_GetDoubtfulRoom(engine, now);

    *out = (BkPlanEngine){
        .key = up->key,
        .open = BkUp_IsOpen(up),
        .has_order = !FrEngine_IsIdle(engine) || !engine->held_complete,
        .capacity_mb = site_engine->weights_budget_mb - doubtful.mb,
        .held_count = engine->held_count,
        .loading = engine->loading,
        .unloading = engine->unloading,
        .loads_from_store = engine->order.from_weight_store,
        .reserved_for = engine->reserved_for,
        .cached_in_memory_count = up->cached_in_memory_count,
        .cached_on_disk_count = up->cached_on_disk_count};
    /* an order without an answer may still load its model */
    if ((engine->order_unconfirmed || engine->order_in_flight) &&
        engine->order.kind == BK_ORDER_LOAD &&
        engine->order.adapter[0] == '\0') {
        out->loading = engine->order.model_key;
    }
    memcpy(out->held, engine->held, sizeof(engine->held));
    memcpy(out->cached_in_memory, up->cached_in_memory,
           sizeof(up->cached_in_memory));
    memcpy(out->cached_on_disk, up->cached_on_disk,
           sizeof(up->cached_on_disk));
    out->adapters_mb = FrAdapters_UsedMb(engine, site_engine);
}

/* Loads that may start now within the weight store's rate limit; also drops
   recent loads that are older than the window. */
static int
count_allowed_loads(FrPlanner *planner, const BkSiteEngine *site_engine,
                    BkMs now)
{
    BkMs window = planner->front->conf.load_window;
    double rate_budget = site_engine->store_loads_per_second * (double)window /
                         BK_MS_PER_S * planner->front->conf.load_overshoot;
    int recent = 0;

    for (int i = 0; i < planner->weight_load_count; i++) {
        if (now - planner->weight_load_times[i] < window) {
            planner->weight_load_times[recent++] =
                planner->weight_load_times[i];
        }
    }
    planner->weight_load_count = recent;
    int allowed = (int)rate_budget + LOAD_BURST;
    /* further loads could not be counted */
    return (allowed < FR_MAX_WEIGHT_LOADS ? allowed : FR_MAX_WEIGHT_LOADS) -
           recent - count_pending_loads(planner);
}

static void
execute_move(FrPlanner *planner, FrEngine *engine,
             const BkSiteEngine *site_engine, const BkPlanMove *move, BkMs now)
{
    const BkSiteModel *model = &site_engine->models[move->model];
    FrOrder order = {.kind = move->kind == BK_PLAN_LOAD ? BK_ORDER_LOAD
                                                        : BK_ORDER_UNLOAD,
                     .model_key = model->key,
                     .from_weight_store = move->from_weight_store};

    if (strlen(model->name) >= sizeof(order.model)) {
        return; /* too long for the messages between daemons */
    }
    strcpy(order.model, model->name);
    if (!FrEngine_MayOrder(engine, &order, now)) {
        return;
    }
    if (move->kind == BK_PLAN_UNLOAD) {
        engine->reserved_for = site_engine->models[move->next_model].key;
        engine->reserved_until = now + RESERVATION_TIME;
        FrPlanner_AnnounceExpected(
            planner, engine->up, engine->reserved_for,
            UNLOAD_TIME +
                site_engine->models[move->next_model].weight_store_load_time);
    }
    BkWork work = FrDemand_GetWork(planner, model->key);
    BkLog_Event(BK_LOG_INFO, "planner", NULL, "move",
                "s:s, s:s, s:s, s:s, s:f, s:i, s:b", "upstream",
                engine->up->id, "kind",
                move->kind == BK_PLAN_LOAD ? "load" : "unload", "model",
                model->name, "why", move->why, "work",
                BkWork_Forecast(&work, &bk_work_defaults), "waiting",
                FrDemand_GetWaiting(planner, model->key), "from_store",
                move->from_weight_store);
    BkCounter_Add(planner->model_load_counter,
                  move->kind == BK_PLAN_LOAD ? 1 : 0);
    FrEngine_SendOrder(engine, &order, now);
}

static void
plan_service(FrPlanner *planner, const BkSiteService *service, BkMs now)
{
    const BkSiteEngine *site_engine = service->engine;
    BkPlanModel *models =
        BkMem_New((size_t)site_engine->model_count + 1, sizeof(*models));
    BkPlanEngine *engines =
        BkMem_New((size_t)planner->engine_count + 1, sizeof(*engines));
    FrEngine **service_engines =
        BkMem_New((size_t)planner->engine_count + 1, sizeof(FrEngine *));
    BkPlanMove moves[BK_PLAN_MAX_MOVES];
    int engine_count = 0;

    for (int i = 0; i < site_engine->model_count; i++) {
        fill_model(planner, &site_engine->models[i], &models[i]);
    }
    for (int i = 0; i < planner->engine_count; i++) {
        FrEngine *engine = planner->engines[i];
        if (strcmp(engine->up->service, service->name) == 0) {
            fill_engine(engine, site_engine, &engines[engine_count], now);
            service_engines[engine_count++] = engine;
        }
    }
    BkPlanInput input = {.models = models,
                         .model_count = site_engine->model_count,
                         .engines = engines,
                         .engine_count = engine_count,
                         .allowed_store_loads =
                             count_allowed_loads(planner, site_engine, now)};
    int move_count =
        BkPlan_Decide(&bk_plan_defaults, &input, moves, BK_PLAN_MAX_MOVES);
    FrPlanRound round = {service, &input, service_engines, moves, move_count};
    FrPlanInputs_Log(planner, &round, now);
    bool loads_weights = false;
    for (int i = 0; i < move_count; i++) {
        loads_weights = loads_weights || moves[i].from_weight_store;
        execute_move(planner, service_engines[moves[i].engine], site_engine,
                     &moves[i], now);
    }
    if (loads_weights) {
        /* a successor must count them, should this daemon die before the next
           regular beat */
        FrGossip_SendPlannerBeat(planner->front->peers, now);
    }
    free(models);
    free(engines);
    free(service_engines);
}

static void
plan_services(FrPlanner *planner, BkMs now)
{
    const BkSite *site = planner->front->site;

    if (now - planner->last_plan_at < PLAN_INTERVAL || site == NULL ||
        !BkPlanStart_MayPlan(&planner->start, now)) {
        return;
    }
    planner->start.has_planned = true;
    planner->last_plan_at = now;
    FrDemand_UpdateWaiting(planner, now);
    for (int i = 0; i < site->service_count; i++) {
        if (site->services[i].engine != NULL) {
            plan_service(planner, &site->services[i], now);
        }
    }
}

/* After a takeover, counts loads that the earlier planner may have started: a
   few after its last message, or, if it sent this daemon no message, as many
   as the weight store's limit allows. */
static void
assume_recent_loads(FrPlanner *planner, BkMs now)
{
    const BkSite *site = planner->front->site;

    if (planner->weight_loads_heard_at != BK_MS_NEVER) {
        for (int i = 0; i < UNSEEN_LOADS; i++) {
            FrPlanner_RecordWeightLoad(planner,
                                       planner->weight_loads_heard_at);
        }
        return;
    }
    for (int i = 0; site != NULL && i < site->service_count; i++) {
        const BkSiteEngine *site_engine = site->services[i].engine;
        int allowed = site_engine == NULL
                          ? 0
                          : count_allowed_loads(planner, site_engine, now);
        for (int k = 0; k < allowed; k++) {
            FrPlanner_RecordWeightLoad(planner, now);
        }
    }
}

static void
begin_term(FrPlanner *planner, BkMs now)
{
    planner->in_term = true;
    planner->planned_term = planner->lease.term;
    planner->work_updated_at = now;
    FrPeers_NoteOwnTerm(planner->front->peers, planner->planned_term);
    if (planner->front->conf.fenced) {
        /* each engine refuses orders of earlier terms from the first order of
           this one on, and accepts none after one of theirs that this planner
           has not counted */
        BkDoubts_Clear(&planner->doubts);
    }
    FrEngines_Clear(planner);
    FrDemand_BeginTerm(planner);
    planner->start = (BkPlanStart){.term_began_at = now,
                                   .is_first_term = planner->lease.is_first};
    if (!planner->start.is_first_term) {
        assume_recent_loads(planner, now);
    }
    BkLog_Event(BK_LOG_NOTICE, "planner", NULL, "term begins", "s:I", "term",
                (json_int_t)planner->planned_term);
    FrGossip_SendPlannerBeat(planner->front->peers, now);
}

static void
end_term(FrPlanner *planner)
{
    planner->in_term = false;
    FrEngines_Clear(planner);
    BkLog_Event(BK_LOG_NOTICE, "planner", NULL, "term ends", "s:I", "term",
                (json_int_t)planner->planned_term);
}

/* If the store answers other daemons but not this one, or this one has lost its
   links to the engines, another daemon can take over at once when this one
   resigns from its term and announces that. */
static void
maybe_resign(FrPlanner *planner, BkMs now)
{
    const FrFront *front = planner->front;
    bool lost = FrLinks_AreEnginesLost(front->links, RESIGN_LOST);

    if (!FrSync_IsStoreFailing(front->sync)) {
        planner->store_ok_at = now;
    }
    if (!planner->in_term ||
        (!lost && now - planner->store_ok_at < RESIGN_AFTER) ||
        !FrPeers_AnyReachesStore(front->peers, now)) {
        return;
    }
    BkLog_Event(BK_LOG_NOTICE, "planner", NULL, "resigned", "s:I, s:I, s:b",
                "term", (json_int_t)planner->planned_term, "ill_for_ms",
                (json_int_t)(now - planner->store_ok_at), "links_lost", lost);
    BkLease_Resign(&planner->lease, now);
    end_term(planner);
    FrPeers_SendGossip(front->peers);
}

static void
update_term(FrPlanner *planner, BkMs now)
{
    bool holds = planner->lease.phase == BK_LEASE_HOLDER;
    bool valid = BkLease_Valid(&planner->lease, now);

    if (planner->in_term &&
        (!holds || planner->lease.term != planner->planned_term)) {
        end_term(planner);
    }
    if (!planner->in_term && valid && planner->front->site != NULL &&
        planner->front->fleet.list_complete) {
        begin_term(planner, now);
    }
}

static void
detect_stall(FrPlanner *planner, BkMs now)
{
    if (BkLease_Valid(&planner->lease, now)) {
        planner->stalled = false;
    }
    else if (has_stalled(planner, now)) {
        planner->stalled = true;
    }
    planner->last_step_at = now;
}

static void
on_step(void *arg)
{
    FrPlanner *planner = arg;
    BkMs now = BkClock_Now();

    detect_stall(planner, now);
    FrElection_Step(planner, now);
    maybe_resign(planner, now);
    update_term(planner, now);
    FrDemand_Send(planner, now);
    if (FrPlanner_IsActive(planner, now)) {
        FrEngines_Update(planner);
        FrDemand_UpdateWork(planner, now);
        for (int i = 0; i < planner->engine_count; i++) {
            FrEngine_Step(planner->engines[i], now);
        }
        plan_services(planner, now);
    }
    BkTimer_Start(planner->timer,
                  planner->in_term ? STEP_INTERVAL : IDLE_STEP_INTERVAL);
}

FrPlanner *
FrPlanner_Create(FrFront *front)
{
    FrPlanner *planner = BkMem_New(1, sizeof(*planner));

    planner->front = front;
    planner->weight_loads_heard_at = BK_MS_NEVER;
    planner->order_counter =
        BkCounter_Get("bk_front_orders_total", NULL, "orders sent to engines");
    planner->model_load_counter = BkCounter_Get(
        "bk_front_loads_total", NULL, "loads of models that were decided");
    FrElection_Init(planner);
    planner->timer = BkTimer_Create(front->loop, on_step, planner);
    BkTimer_Start(planner->timer, IDLE_STEP_INTERVAL);
    return planner;
}

void
FrPlanner_Stop(FrPlanner *planner)
{
    FrElection_Release(planner);
    planner->lease_released = true;
    if (planner->in_term) {
        end_term(planner);
    }
}

void
FrPlanner_Destroy(FrPlanner *planner)
{
    if (planner == NULL) {
        return;
    }
    FrEngines_Clear(planner);
    BkDoubts_Destroy(&planner->doubts);
    FrDemand_Destroy(planner);
    BkTimer_Destroy(planner->timer);
    free(planner);
}
