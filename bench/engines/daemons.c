#include "emu.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/pick/pick.h"

/* Emulates the daemons: one queue, with the decision functions of the
   product. The order of the queue and the times between decisions are those
   of bk-front. All times are in ms. */

enum {
    REFUSE_PERIOD = 20, /* between checks for requests to refuse */
    PLAN_PERIOD = 100,
    ROUND_PERIOD = 200,        /* between updates of the work rates */
    MIN_FIRST_TOKEN_TIME = 60, /* from sending to the first token, at best */
    OUTPUT_WEIGHT = 4, /* prompt tokens that an output token counts as */
    /* how long memory stays reserved for the model that another one is
       unloaded for */
    RESERVE_TIME = 4000,
    LOAD_WINDOW = 5000, /* over which the rate of store loads is limited */
    MAX_LOADS = 512,    /* most loads remembered for that */
    SERVICE_KEY = 1     /* key of the only service */
};

static const BkPickConf pick_conf = {.prefill_window = 2600,
                                     .tokens_per_run = 60,
                                     .affinity_slack = 0,
                                     .cross_domain_cost = 0,
                                     .max_load_ratio = 1};

static double
objective_deadline(const EmuRequest *request)
{
    return request->attempt_at + request->kind->objective_ms;
}

/* Orders the queue by priority, then by the time at which the first token is
   due. */
static bool
is_ahead(const EmuRequest *a, const EmuRequest *b)
{
    if (a->kind->priority != b->kind->priority) {
        return a->kind->priority < b->kind->priority;
    }
    return objective_deadline(a) < objective_deadline(b);
}

static void
add_waiting(Emu *emu, EmuRequest *request)
{
    EmuRequest **link = &emu->waiting;

    while (*link != NULL && !is_ahead(request, *link)) {
        link = &(*link)->next;
    }
    request->next = *link;
    *link = request;
}

static void
remove_waiting(Emu *emu, EmuRequest *request)
{
    EmuRequest **link = &emu->waiting;

    while (*link != request) {
        link = &(*link)->next;
    }
    *link = request->next;
    request->next = NULL;
}

static bool
is_model_queued(const Emu *emu, int model)
{
    const EmuRequest *queued = emu->waiting;

    while (queued != NULL && queued->model != model) {
        queued = queued->next;
    }
    return queued != NULL;
}

/* False if no engine can accept the request now. */
static bool
try_send(Emu *emu, EmuRequest *request)
{
    static const BkSiteEngine any_engine = {.slots = 0};
    BkPickQuery query = {.engine = &any_engine,
                         .service = SERVICE_KEY,
                         .model = emu->models[request->model].key,
                         .prompt_tokens = (int64_t)request->prompt,
                         .domain = ""};
    BkPickChoice choice =
        BkPick_Choose(&pick_conf, &emu->fleet, &query, (BkMs)emu->now);

    if (choice.result != BK_PICK_SEND) {
        return false;
    }
    request->engine = atoi(choice.up->id);
    request->outcome = EMU_SENT;
    request->prompt_counted = true;
    choice.up->own_running++;
    choice.up->own_prompt_tokens += (int64_t)request->prompt;
    EmuEngine_AddRequest(emu, &emu->engines[request->engine], request);
    return true;
}

void
EmuDaemons_AddRequest(Emu *emu, EmuRequest *request)
{
    request->outcome = EMU_WAITING;
    BkWork_Add(&emu->work[request->model],
               request->prompt + OUTPUT_WEIGHT * request->output);
    if (!is_model_queued(emu, request->model) && try_send(emu, request)) {
        return;
    }
    if (!is_model_queued(emu, request->model)) {
        BkPace_Start(&emu->paces[request->model], (BkMs)emu->now);
    }
    add_waiting(emu, request);
}

static bool
is_late(const Emu *emu, const EmuRequest *request)
{
    return emu->now + MIN_FIRST_TOKEN_TIME > objective_deadline(request);
}

/* The first request of the same model and priority that can still be on time;
   if there is none, the given one. */
static EmuRequest *
choose_timely(const Emu *emu, EmuRequest *first)
{
    EmuRequest *queued = first;

    while (queued != NULL && queued->kind->priority == first->kind->priority &&
           (queued->model != first->model || is_late(emu, queued))) {
        queued = queued->next;
    }
    return queued != NULL && queued->kind->priority == first->kind->priority
               ? queued
               : first;
}

static void
send_waiting(Emu *emu)
{
    /* per model: no engine can accept a request for it now */
    bool *blocked = BkMem_New((size_t)emu->pattern.site.models, sizeof(bool));
    EmuRequest *queued = emu->waiting;

    while (queued != NULL) {
        EmuRequest *candidate = choose_timely(emu, queued);
        if (blocked[queued->model]) {
            queued = queued->next;
            continue;
        }
        int model = candidate->model;
        if (try_send(emu, candidate)) {
            remove_waiting(emu, candidate);
            BkPace_NoteSend(&emu->paces[model], (BkMs)emu->now);
            /* the request to send next may be an earlier one now */
            queued = emu->waiting;
        }
        else {
            blocked[model] = true;
            queued = queued->next;
        }
    }
    free(blocked);
}

static bool
is_model_loaded(const Emu *emu, uint32_t model)
{
    for (int i = 0; i < emu->engine_count; i++) {
        if (BkUp_IsOpen(emu->engines[i].up) &&
            BkUp_HasModel(emu->engines[i].up, model)) {
            return true;
        }
    }
    return false;
}

/* The ms until a copy of the model is loaded; -1: no load is expected. */
static BkMs
time_until_ready(const Emu *emu, uint32_t model)
{
    const EmuSite *site = &emu->pattern.site;
    double shortest = -1;

    for (int i = 0; i < emu->engine_count; i++) {
        const EmuEngine *engine = &emu->engines[i];
        double remaining =
            engine->loading == model        ? engine->load_end - emu->now
            : engine->reserved_for == model ? site->load_store_ms
                                            : -1;
        if (remaining >= 0 && (shortest < 0 || remaining < shortest)) {
            shortest = remaining;
        }
    }
    return (BkMs)shortest;
}

static BkWaitDecision
decide_wait(Emu *emu, const EmuRequest *request, int ahead)
{
    uint32_t model = emu->models[request->model].key;
    bool loaded = is_model_loaded(emu, model);
    BkWaitQuery query = {
        .cause = loaded ? BK_WAIT_FULL : BK_WAIT_MODEL,
        .waited = (BkMs)(emu->now - request->attempt_at),
        .patience = BkWait_StreamPatience((BkMs)request->kind->objective_ms,
                                          (BkMs)request->kind->pause_ms,
                                          (BkMs)request->kind->deadline_ms),
        .until_deadline = (BkMs)(request->arrived_at +
                                 request->kind->deadline_ms - emu->now),
        .until_ready = loaded ? -1 : time_until_ready(emu, model),
        .queue_delay = BkPace_EstimateWait(&emu->paces[request->model], ahead,
                                           (BkMs)emu->now),
        .has_planner = true,
        .jitter_draw = BkRng_Unit(&emu->rng)};

    return BkWait_Decide(&bk_wait_defaults, &query);
}

/* Refuses a request. Its caller retries if retries are left and the deadline
   allows it. */
static void
refuse(Emu *emu, EmuRequest *request, BkMs retry_after)
{
    remove_waiting(emu, request);
    double retry_at = emu->now + (double)retry_after;
    if (request->retry_count < (int)request->kind->retries &&
        retry_at < request->arrived_at + request->kind->deadline_ms) {
        request->retry_count++;
        request->attempt_at = retry_at;
        request->next = emu->retrying;
        emu->retrying = request;
        return;
    }
    request->outcome = EMU_REFUSED;
}

/* Refuses the waiting requests that are not expected to be served in time. */
static void
refuse_unservable(Emu *emu)
{
    /* per model: waiting requests seen so far */
    int *ahead = BkMem_New((size_t)emu->pattern.site.models, sizeof(int));
    EmuRequest *request = emu->waiting;

    while (request != NULL) {
        EmuRequest *next = request->next;
        BkWaitDecision decision =
            decide_wait(emu, request, ahead[request->model]++);
        if (decision.refuse) {
            refuse(emu, request, decision.retry_after);
        }
        request = next;
    }
    free(ahead);
}

static void
retry_refused(Emu *emu)
{
    EmuRequest **link = &emu->retrying;

    while (*link != NULL) {
        EmuRequest *request = *link;
        if (request->attempt_at > emu->now) {
            link = &request->next;
            continue;
        }
        *link = request->next;
        EmuDaemons_AddRequest(emu, request);
    }
}

void
EmuDaemons_NoteFirstToken(Emu *emu, EmuRequest *request)
{
    BkUp *up = emu->engines[request->engine].up;

    up->own_prompt_tokens -= (int64_t)request->prompt;
    request->prompt_counted = false;
}

void
EmuDaemons_NoteFinished(Emu *emu, EmuRequest *request)
{
    BkUp *up = emu->engines[request->engine].up;

    up->own_running--;
    if (request->prompt_counted) {
        up->own_prompt_tokens -= (int64_t)request->prompt;
        request->prompt_counted = false;
    }
}

static void
describe_engine(const Emu *emu, const EmuEngine *engine, BkPlanEngine *out)
{
    *out = (BkPlanEngine){
        .key = engine->up->key,
        .open = !engine->down,
        .has_order = engine->loading != 0 || engine->unloading != 0,
        .capacity_mb = emu->pattern.site.room_mb,
        .held_count = engine->held_count,
        .loading = engine->loading,
        .unloading = engine->unloading,
        .reserved_for = engine->reserved_for,
        .cached_in_memory_count = engine->cached_in_memory_count,
        .cached_on_disk_count = engine->cached_on_disk_count};
    memcpy(out->held, engine->held, sizeof(engine->held));
    memcpy(out->cached_in_memory, engine->cached_in_memory,
           sizeof(engine->cached_in_memory));
    memcpy(out->cached_on_disk, engine->cached_on_disk,
           sizeof(engine->cached_on_disk));
}

static int
count_allowed_store_loads(Emu *emu)
{
    int recent = 0;

    for (int i = 0; i < emu->store_load_count; i++) {
        if (emu->now - emu->store_load_times[i] < LOAD_WINDOW) {
            emu->store_load_times[recent++] = emu->store_load_times[i];
        }
    }
    emu->store_load_count = recent;
    return (int)(emu->pattern.site.loads_per_second * LOAD_WINDOW / 1000) -
           recent;
}

static void
execute_move(Emu *emu, const BkPlanMove *move)
{
    EmuEngine *engine = &emu->engines[move->engine];
    uint32_t model = emu->models[move->model].key;

    switch (move->kind) {
    case BK_PLAN_LOAD:
        if (move->from_weight_store && emu->store_load_count < MAX_LOADS) {
            emu->store_load_times[emu->store_load_count++] = emu->now;
        }
        EmuEngine_StartLoad(emu, engine, model);
        break;
    case BK_PLAN_UNLOAD:
        engine->reserved_for = emu->models[move->next_model].key;
        engine->reserved_until = emu->now + RESERVE_TIME;
        EmuEngine_StartUnload(emu, engine, model);
        break;
    }
}

static void
update_demand(Emu *emu)
{
    for (int m = 0; m < (int)emu->pattern.site.models; m++) {
        emu->models[m].waiting_requests = 0;
        emu->models[m].work =
            BkWork_Forecast(&emu->work[m], &bk_work_defaults);
        emu->models[m].steady_work = emu->work[m].steady_rate;
    }
    for (const EmuRequest *request = emu->waiting; request != NULL;
         request = request->next) {
        if (!is_model_loaded(emu, emu->models[request->model].key)) {
            emu->models[request->model].waiting_requests++;
        }
    }
}

static void
run_planner(Emu *emu)
{
    BkPlanEngine *engines =
        BkMem_New((size_t)emu->engine_count, sizeof(*engines));
    BkPlanMove moves[BK_PLAN_MAX_MOVES];

    update_demand(emu);
    for (int i = 0; i < emu->engine_count; i++) {
        EmuEngine *engine = &emu->engines[i];
        if (emu->now >= engine->reserved_until) {
            engine->reserved_for = 0;
        }
        describe_engine(emu, engine, &engines[i]);
    }
    BkPlanInput input = {.models = emu->models,
                         .model_count = (int)emu->pattern.site.models,
                         .engines = engines,
                         .engine_count = emu->engine_count,
                         .allowed_store_loads =
                             count_allowed_store_loads(emu)};
    int move_count =
        BkPlan_Decide(&bk_plan_defaults, &input, moves, BK_PLAN_MAX_MOVES);
    for (int i = 0; i < move_count; i++) {
        execute_move(emu, &moves[i]);
    }
    free(engines);
}

void
EmuDaemons_Tick(Emu *emu)
{
    retry_refused(emu);
    if (emu->waiting != NULL) {
        send_waiting(emu);
        if ((int64_t)emu->now % REFUSE_PERIOD == 0) {
            refuse_unservable(emu);
        }
    }
    if (emu->now - emu->last_round_at >= ROUND_PERIOD) {
        emu->last_round_at = emu->now;
        for (int m = 0; m < (int)emu->pattern.site.models; m++) {
            BkWork_EndRound(&emu->work[m], &bk_work_defaults, ROUND_PERIOD);
        }
    }
    if (emu->now - emu->last_plan_at >= PLAN_PERIOD) {
        emu->last_plan_at = emu->now;
        run_planner(emu);
    }
}

/* Initial placement. Busy models get copies on many engines, in proportion to
   their share of the requests; each other model gets one copy. Assigning the
   engines in turn gives them about equal load. The free space of the disks is
   filled with random models, as left over from earlier loads. */
static void
place_models(Emu *emu)
{
    const EmuSite *site = &emu->pattern.site;
    int models = (int)site->models;
    int per_engine = (int)(site->room_mb / site->weights_mb);
    int total_copies = emu->engine_count * per_engine;
    /* a twentieth of the copies that would fit is left out */
    int extra_copies = total_copies - models - total_copies / 20;
    double sum = 0;
    int next_engine = 0;

    for (int m = 0; m < (int)site->busy; m++) {
        sum += pow(m + 1, -site->skew);
    }
    for (int m = 0; m < models; m++) {
        int copies = 1;
        if (m < (int)site->busy) {
            copies +=
                (int)(extra_copies * pow(m + 1, -site->skew) / sum + 0.5);
        }
        for (int c = 0; c < copies && c < emu->engine_count; c++) {
            EmuEngine *engine =
                &emu->engines[next_engine++ % emu->engine_count];
            if (engine->held_count < per_engine) {
                engine->held[engine->held_count++] = emu->models[m].key;
                engine->cached_on_disk[engine->cached_on_disk_count++] =
                    emu->models[m].key;
                BkUp_SetModelLoaded(engine->up, emu->models[m].key, true);
            }
        }
    }
    for (int e = 0; e < emu->engine_count; e++) {
        EmuEngine *engine = &emu->engines[e];
        while (engine->cached_on_disk_count <
               (int)(site->disk_mb / site->weights_mb)) {
            int m = (int)BkRng_Below(&emu->rng, (uint32_t)models);
            engine->cached_on_disk[engine->cached_on_disk_count++] =
                emu->models[m].key;
        }
    }
}

static BkUp *
create_upstream(Emu *emu, int index)
{
    char id[16];
    BkUpReport report = {.service = "engines",
                         .domain = "a",
                         .slots = (int)emu->pattern.site.slots};

    snprintf(id, sizeof(id), "%04d", index);
    report.id = id;
    report.address = "127.0.0.1:1";
    BkUp *up = BkFleet_ApplyReport(&emu->fleet, &report, 1, 0);
    up->service_key = SERVICE_KEY;
    return up;
}

void
EmuDaemons_Init(Emu *emu)
{
    const EmuSite *site = &emu->pattern.site;
    size_t models = (size_t)site->models;
    char name[24];

    emu->models = BkMem_New(models, sizeof(*emu->models));
    emu->work = BkMem_New(models, sizeof(*emu->work));
    emu->paces = BkMem_New(models, sizeof(*emu->paces));
    emu->store_load_times = BkMem_New(MAX_LOADS, sizeof(double));
    for (size_t m = 0; m < models; m++) {
        snprintf(name, sizeof(name), "m%zu", m);
        emu->models[m] =
            (BkPlanModel){.key = BkStr_NameHash(BkStr_FromC(name)),
                          .weights_mb = site->weights_mb,
                          .weight_store_load_time = (BkMs)site->load_store_ms,
                          .disk_load_time = (BkMs)site->load_disk_ms,
                          .memory_load_time = (BkMs)site->load_memory_ms};
    }
    for (int i = 0; i < emu->engine_count; i++) {
        emu->engines[i].up = create_upstream(emu, i);
    }
    place_models(emu);
}

void
EmuDaemons_Destroy(Emu *emu)
{
    free(emu->models);
    free(emu->work);
    free(emu->paces);
    free(emu->store_load_times);
    BkFleet_Destroy(&emu->fleet);
}
