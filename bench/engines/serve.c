#include "emu.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/pick/pick.h"

/* The serving side: one queue, decisions by the product's slices. The order
   of the queue and the times between decisions are those of bk-front. */

enum {
    LOOK_EVERY = 20,
    PLAN_EVERY = 100,
    ROUND_EVERY = 200,
    FIRST_BYTE = 60,
    OUTPUT_WEIGHT = 4,
    MEANT_FOR = 4000,
    LOAD_WINDOW = 5000,
    MAX_LOADS = 512,
    SERVICE = 1
};

static const BkPickConf pick_conf = {.prefill_window = 2600,
                                     .tokens_per_run = 60,
                                     .affinity_slack = 0,
                                     .cross_domain_cost = 0,
                                     .max_load_ratio = 1};
static double
objective_ends(const EmuRequest *request)
{
    return request->since + request->kind->objective_ms;
}

static bool
goes_before(const EmuRequest *a, const EmuRequest *b)
{
    if (a->kind->priority != b->kind->priority) {
        return a->kind->priority < b->kind->priority;
    }
    return objective_ends(a) < objective_ends(b);
}

static void
add_waiting(Emu *emu, EmuRequest *request)
{
    EmuRequest **at = &emu->waiting;

    while (*at != NULL && !goes_before(request, *at)) {
        at = &(*at)->next;
    }
    request->next = *at;
    *at = request;
}

static void
remove_waiting(Emu *emu, EmuRequest *request)
{
    EmuRequest **at = &emu->waiting;

    while (*at != request) {
        at = &(*at)->next;
    }
    *at = request->next;
    request->next = NULL;
}

static bool
any_waits(const Emu *emu, int model)
{
    const EmuRequest *at = emu->waiting;

    while (at != NULL && at->model != model) {
        at = at->next;
    }
    return at != NULL;
}

/* false: no engine takes it now */
static bool
send_now(Emu *emu, EmuRequest *request)
{
    static const BkSiteEngine any_engine = {.slots = 0};
    BkPickQuery query = {.engine = &any_engine,
                         .service = SERVICE,
                         .model = emu->models[request->model].key,
                         .prompt_tokens = (int64_t)request->prompt,
                         .domain = ""};
    BkPickChoice choice =
        BkPick_Choose(&pick_conf, &emu->fleet, &query, (BkMs)emu->now);

    if (choice.result != BK_PICK_SEND) {
        return false;
    }
    request->engine = atoi(choice.up->id);
    request->end = EMU_SENT;
    request->counted = true;
    choice.up->own_running++;
    choice.up->own_prompt_tokens += (int64_t)request->prompt;
    EmuEngine_Start(emu, &emu->engines[request->engine], request);
    return true;
}

void
EmuServe_TakeRequest(Emu *emu, EmuRequest *request)
{
    request->end = EMU_WAITING;
    BkWork_Add(&emu->work[request->model],
               request->prompt + OUTPUT_WEIGHT * request->output);
    if (!any_waits(emu, request->model) && send_now(emu, request)) {
        return;
    }
    if (!any_waits(emu, request->model)) {
        BkPace_Start(&emu->paces[request->model], (BkMs)emu->now);
    }
    add_waiting(emu, request);
}

static bool
is_late(const Emu *emu, const EmuRequest *request)
{
    return emu->now + FIRST_BYTE > objective_ends(request);
}

/* one that can still be on time before those that cannot, if as urgent */
static EmuRequest *
prefer_timely(const Emu *emu, EmuRequest *first)
{
    EmuRequest *at = first;

    while (at != NULL && at->kind->priority == first->kind->priority &&
           (at->model != first->model || is_late(emu, at))) {
        at = at->next;
    }
    return at != NULL && at->kind->priority == first->kind->priority ? at
                                                                     : first;
}

static void
send_waiting(Emu *emu)
{
    bool *done = BkMem_New((size_t)emu->pattern.site.models, sizeof(bool));
    EmuRequest *at = emu->waiting;

    while (at != NULL) {
        EmuRequest *next = prefer_timely(emu, at);
        if (done[at->model]) {
            at = at->next;
            continue;
        }
        int model = next->model;
        if (send_now(emu, next)) {
            remove_waiting(emu, next);
            BkPace_NoteSend(&emu->paces[model], (BkMs)emu->now);
            at = emu->waiting; /* the order may differ now */
        }
        else {
            done[model] = true;
            at = at->next;
        }
    }
    free(done);
}

static bool
is_held(const Emu *emu, uint32_t model)
{
    for (int i = 0; i < emu->engine_count; i++) {
        if (BkUp_IsOpen(emu->engines[i].up) &&
            BkUp_HasModel(emu->engines[i].up, model)) {
            return true;
        }
    }
    return false;
}

/* ms until a copy is there; -1: none is coming */
static BkMs
ready_in(const Emu *emu, uint32_t model)
{
    const EmuSite *site = &emu->pattern.site;
    double best = -1;

    for (int i = 0; i < emu->engine_count; i++) {
        const EmuEngine *engine = &emu->engines[i];
        double in = engine->loading == model ? engine->change_ends - emu->now
                    : engine->meant_for == model ? site->load_store_ms
                                                 : -1;
        if (in >= 0 && (best < 0 || in < best)) {
            best = in;
        }
    }
    return (BkMs)best;
}

static BkWaitDecision
judge(Emu *emu, const EmuRequest *request, int before)
{
    uint32_t model = emu->models[request->model].key;
    bool held = is_held(emu, model);
    BkWaitQuery wait = {
        .cause = held ? BK_WAIT_FULL : BK_WAIT_MODEL,
        .waited = (BkMs)(emu->now - request->since),
        .patience = BkWait_StreamPatience((BkMs)request->kind->objective_ms,
                                          (BkMs)request->kind->pause_ms,
                                          (BkMs)request->kind->deadline_ms),
        .until_deadline =
            (BkMs)(request->at + request->kind->deadline_ms - emu->now),
        .until_ready = held ? -1 : ready_in(emu, model),
        .queue_delay = BkPace_EstimateWait(&emu->paces[request->model], before,
                                           (BkMs)emu->now),
        .has_planner = true,
        .jitter_draw = BkRng_Unit(&emu->rng)};

    return BkWait_Decide(&bk_wait_defaults, &wait);
}

static void
refuse(Emu *emu, EmuRequest *request, BkMs retry_after)
{
    remove_waiting(emu, request);
    double again = emu->now + (double)retry_after;
    if (request->returns < (int)request->kind->retries &&
        again < request->at + request->kind->deadline_ms) {
        request->returns++;
        request->since = again;
        request->next = emu->returning;
        emu->returning = request;
        return;
    }
    request->end = EMU_REFUSED;
}

static void
refuse_hopeless(Emu *emu)
{
    int *passed = BkMem_New((size_t)emu->pattern.site.models, sizeof(int));
    EmuRequest *at = emu->waiting;

    while (at != NULL) {
        EmuRequest *next = at->next;
        BkWaitDecision verdict = judge(emu, at, passed[at->model]++);
        if (verdict.refuse) {
            refuse(emu, at, verdict.retry_after);
        }
        at = next;
    }
    free(passed);
}

static void
take_returning(Emu *emu)
{
    EmuRequest **at = &emu->returning;

    while (*at != NULL) {
        EmuRequest *request = *at;
        if (request->since > emu->now) {
            at = &request->next;
            continue;
        }
        *at = request->next;
        EmuServe_TakeRequest(emu, request);
    }
}

void
EmuServe_NoteFirst(Emu *emu, EmuRequest *request)
{
    BkUp *up = emu->engines[request->engine].up;

    up->own_prompt_tokens -= (int64_t)request->prompt;
    request->counted = false;
}

void
EmuServe_NoteEnd(Emu *emu, EmuRequest *request)
{
    BkUp *up = emu->engines[request->engine].up;

    up->own_running--;
    if (request->counted) {
        up->own_prompt_tokens -= (int64_t)request->prompt;
        request->counted = false;
    }
}

static void
fill_engine(const Emu *emu, const EmuEngine *engine, BkPlanEngine *out)
{
    *out = (BkPlanEngine){.key = engine->up->key,
                          .open = !engine->down,
                          .has_order =
                              engine->loading != 0 || engine->unloading != 0,
                          .capacity_mb = emu->pattern.site.room_mb,
                          .held_count = engine->held_count,
                          .loading = engine->loading,
                          .unloading = engine->unloading,
                          .reserved_for = engine->meant_for,
                          .cached_in_memory_count = engine->memory_count,
                          .cached_on_disk_count = engine->disk_count};
    memcpy(out->held, engine->held, sizeof(engine->held));
    memcpy(out->cached_in_memory, engine->memory, sizeof(engine->memory));
    memcpy(out->cached_on_disk, engine->disk, sizeof(engine->disk));
}

static int
count_store_room(Emu *emu)
{
    int recent = 0;

    for (int i = 0; i < emu->load_count; i++) {
        if (emu->now - emu->load_times[i] < LOAD_WINDOW) {
            emu->load_times[recent++] = emu->load_times[i];
        }
    }
    emu->load_count = recent;
    return (int)(emu->pattern.site.loads_per_second * LOAD_WINDOW / 1000) -
           recent;
}

static void
make_move(Emu *emu, const BkPlanMove *move)
{
    EmuEngine *engine = &emu->engines[move->engine];
    uint32_t model = emu->models[move->model].key;

    switch (move->kind) {
    case BK_PLAN_LOAD:
        if (move->from_store && emu->load_count < MAX_LOADS) {
            emu->load_times[emu->load_count++] = emu->now;
        }
        EmuEngine_Load(emu, engine, model);
        break;
    case BK_PLAN_UNLOAD:
        engine->meant_for = emu->models[move->reserved_for].key;
        engine->meant_until = emu->now + MEANT_FOR;
        EmuEngine_Unload(emu, engine, model);
        break;
    }
}

static void
count_waiting(Emu *emu)
{
    for (int m = 0; m < (int)emu->pattern.site.models; m++) {
        emu->models[m].waiting_requests = 0;
        emu->models[m].work = emu->work[m].rate;
        emu->models[m].steady_work = emu->work[m].steady_rate;
    }
    for (const EmuRequest *at = emu->waiting; at != NULL; at = at->next) {
        if (!is_held(emu, emu->models[at->model].key)) {
            emu->models[at->model].waiting_requests++;
        }
    }
}

static void
plan(Emu *emu)
{
    BkPlanEngine *engines =
        BkMem_New((size_t)emu->engine_count, sizeof(*engines));
    BkPlanMove moves[BK_PLAN_MAX_MOVES];

    count_waiting(emu);
    for (int i = 0; i < emu->engine_count; i++) {
        EmuEngine *engine = &emu->engines[i];
        if (emu->now >= engine->meant_until) {
            engine->meant_for = 0;
        }
        fill_engine(emu, engine, &engines[i]);
    }
    BkPlanInput input = {.models = emu->models,
                         .model_count = (int)emu->pattern.site.models,
                         .engines = engines,
                         .engine_count = emu->engine_count,
                         .allowed_store_loads = count_store_room(emu)};
    int n = BkPlan_Decide(&bk_plan_defaults, &input, moves, BK_PLAN_MAX_MOVES);
    for (int i = 0; i < n; i++) {
        make_move(emu, &moves[i]);
    }
    free(engines);
}

void
EmuServe_Tick(Emu *emu)
{
    take_returning(emu);
    if (emu->waiting != NULL) {
        send_waiting(emu);
        if ((int64_t)emu->now % LOOK_EVERY == 0) {
            refuse_hopeless(emu);
        }
    }
    if (emu->now - emu->rounded >= ROUND_EVERY) {
        emu->rounded = emu->now;
        for (int m = 0; m < (int)emu->pattern.site.models; m++) {
            BkWork_EndRound(&emu->work[m], &bk_work_defaults, ROUND_EVERY);
        }
    }
    if (emu->now - emu->planned >= PLAN_EVERY) {
        emu->planned = emu->now;
        plan(emu);
    }
}

/* Before the load: busy models on many engines, by their shares, the others
   on one each, so that engines bear about the same; disks are full of what
   other days left. */
static void
place(Emu *emu)
{
    const EmuSite *site = &emu->pattern.site;
    int models = (int)site->models;
    int per_engine = (int)(site->room_mb / site->weights_mb);
    int places = emu->engine_count * per_engine;
    int spare = places - models - places / 20;
    double sum = 0;
    int at = 0;

    for (int m = 0; m < (int)site->busy; m++) {
        sum += pow(m + 1, -site->skew);
    }
    for (int m = 0; m < models; m++) {
        int copies = 1;
        if (m < (int)site->busy) {
            copies += (int)(spare * pow(m + 1, -site->skew) / sum + 0.5);
        }
        for (int c = 0; c < copies && c < emu->engine_count; c++) {
            EmuEngine *engine = &emu->engines[at++ % emu->engine_count];
            if (engine->held_count < per_engine) {
                engine->held[engine->held_count++] = emu->models[m].key;
                engine->disk[engine->disk_count++] = emu->models[m].key;
                BkUp_SetModelLoaded(engine->up, emu->models[m].key, true);
            }
        }
    }
    for (int e = 0; e < emu->engine_count; e++) {
        EmuEngine *engine = &emu->engines[e];
        while (engine->disk_count < (int)(site->disk_mb / site->weights_mb)) {
            int m = (int)BkRng_Below(&emu->rng, (uint32_t)models);
            engine->disk[engine->disk_count++] = emu->models[m].key;
        }
    }
}

static BkUp *
create_up(Emu *emu, int number)
{
    char id[16];
    BkUpReport report = {.service = "engines",
                         .domain = "a",
                         .slots = (int)emu->pattern.site.slots};

    snprintf(id, sizeof(id), "%04d", number);
    report.id = id;
    report.address = "127.0.0.1:1";
    BkUp *up = BkFleet_ApplyReport(&emu->fleet, &report, 1, 0);
    up->service_key = SERVICE;
    return up;
}

void
EmuServe_Begin(Emu *emu)
{
    const EmuSite *site = &emu->pattern.site;
    size_t models = (size_t)site->models;
    char name[24];

    emu->models = BkMem_New(models, sizeof(*emu->models));
    emu->work = BkMem_New(models, sizeof(*emu->work));
    emu->paces = BkMem_New(models, sizeof(*emu->paces));
    emu->load_times = BkMem_New(MAX_LOADS, sizeof(double));
    for (size_t m = 0; m < models; m++) {
        snprintf(name, sizeof(name), "m%zu", m);
        emu->models[m] =
            (BkPlanModel){.key = BkStr_Key(BkStr_FromC(name)),
                          .weights_mb = site->weights_mb,
                          .store_load_time = (BkMs)site->load_store_ms,
                          .disk_load_time = (BkMs)site->load_disk_ms,
                          .memory_load_time = (BkMs)site->load_memory_ms};
    }
    for (int i = 0; i < emu->engine_count; i++) {
        emu->engines[i].up = create_up(emu, i);
    }
    place(emu);
}

void
EmuServe_End(Emu *emu)
{
    free(emu->models);
    free(emu->work);
    free(emu->paces);
    free(emu->load_times);
    BkFleet_Destroy(&emu->fleet);
}
