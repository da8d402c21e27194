#include "common.h"

#include <math.h>
#include <stdlib.h>

#include "bk/base/str.h"

enum {
    /* tokens a second that each waiting request of a model without a copy
       counts as */
    WAITING_WORK = 500,
    /* a model's work is divided into this many portions for each of its copies
       and spread portion by portion */
    PORTIONS_PER_COPY = 4
};

/* Estimates the work of each engine by spreading each model's work over its
 * copies, as request routing does. Work of an engine above the limit is
 * excess. Copies are then added one at a time, where they take over the most
 * excess at the least loss. */

/* share of a copy's work that is lost when it is unloaded, even if other
 * copies have capacity: cached prompt prefixes are gone, and running requests
 * must end before the unload */
static const double unload_loss_share = 0.2;

/* A copy of a model on an engine, with its share of the model's work. */
typedef struct Copy {
    int model;
    int engine;
    double work;
    bool ready; /* held already, and not only being loaded */
    bool removed;
    int next_of_model; /* -1: none */
    int next_of_engine;
} Copy;

typedef struct Plan {
    const BkPlanConf *conf;
    const BkPlanInput *input;
    /* held or being loaded on open engines, or to be loaded into reserved
       memory */
    Copy *copies;
    int copy_count;
    int *first_of_model; /* index of the first copy; -1: none */
    int *first_of_engine;
    int *model_copies; /* number of copies per model */
    int *ready_copies; /* of these, ready ones */
    /* per model: an open engine has the weights in host memory or on disk */
    bool *cached;
    double *engine_work; /* per engine: work of its copies */
    double *free_mb;     /* per engine: free megabytes at the start */
    double work_limit;   /* an engine with more work is overloaded */
    bool *has_move;      /* engines that have a move in this round */
    /* models that need no further copy, or that no engine can load now */
    bool *done;
    int store_loads_left;  /* loads from the weight store still allowed */
    int first_copies_left; /* of these, for models without a copy */
    BkPlanMove *moves;
    int move_count;
    int max_moves;
} Plan;

static Copy *
find_copy(const Plan *plan, int model, int engine)
{
    for (int i = plan->first_of_model[model]; i >= 0;
         i = plan->copies[i].next_of_model) {
        if (plan->copies[i].engine == engine && !plan->copies[i].removed) {
            return &plan->copies[i];
        }
    }
    return NULL;
}

static void
add_copy(Plan *plan, int model, int engine, bool ready)
{
    if (model < 0 || find_copy(plan, model, engine) != NULL) {
        return;
    }
    plan->copies[plan->copy_count] =
        (Copy){.model = model,
               .engine = engine,
               .ready = ready,
               .next_of_model = plan->first_of_model[model],
               .next_of_engine = plan->first_of_engine[engine]};
    plan->first_of_model[model] = plan->copy_count;
    plan->first_of_engine[engine] = plan->copy_count;
    plan->copy_count++;
    plan->model_copies[model]++;
    plan->ready_copies[model] += ready ? 1 : 0;
}

static void
clear_work(Plan *plan, int model)
{
    for (int i = plan->first_of_model[model]; i >= 0;
         i = plan->copies[i].next_of_model) {
        plan->engine_work[plan->copies[i].engine] -= plan->copies[i].work;
        plan->copies[i].work = 0;
    }
}

/* Gives each portion of work to the copy on the engine with the least work, as
 * request routing does. */
static void
spread_work(Plan *plan, int model)
{
    double work = plan->input->models[model].work;
    int portions = PORTIONS_PER_COPY * plan->model_copies[model];

    clear_work(plan, model);
    for (int portion = 0; portion < portions; portion++) {
        Copy *least = NULL;
        for (int i = plan->first_of_model[model]; i >= 0;
             i = plan->copies[i].next_of_model) {
            Copy *copy = &plan->copies[i];
            if (!copy->removed &&
                (least == NULL || plan->engine_work[copy->engine] <
                                      plan->engine_work[least->engine])) {
                least = copy;
            }
        }
        if (least == NULL) {
            return;
        }
        least->work += work / portions;
        plan->engine_work[least->engine] += work / portions;
    }
}

/* Models with the fewest copies have the least choice of engines, so their
 * work is spread first. */
static void
spread_all_work(Plan *plan)
{
    double total_work = 0;
    int open_engines = 0;
    int max_copies = 0;

    for (int m = 0; m < plan->input->model_count; m++) {
        total_work +=
            plan->model_copies[m] > 0 ? plan->input->models[m].work : 0;
        max_copies = plan->model_copies[m] > max_copies ? plan->model_copies[m]
                                                        : max_copies;
    }
    for (int copy_count = 1; copy_count <= max_copies; copy_count++) {
        for (int m = 0; m < plan->input->model_count; m++) {
            if (plan->model_copies[m] == copy_count) {
                spread_work(plan, m);
            }
        }
    }
    for (int e = 0; e < plan->input->engine_count; e++) {
        open_engines += plan->input->engines[e].open ? 1 : 0;
    }
    /* when all engines have much work, only those well above the mean count as
     * overloaded */
    plan->work_limit = fmax(plan->conf->work_per_engine,
                            open_engines == 0 ? 0
                                              : plan->conf->overload_factor *
                                                    total_work / open_engines);
}

static void
mark_cached(Plan *plan, const uint32_t *keys, int count)
{
    for (int i = 0; i < count; i++) {
        int model = BkPlan_FindModel(plan->input, keys[i]);
        if (model >= 0) {
            plan->cached[model] = true;
        }
    }
}

static void
collect_copies(Plan *plan)
{
    const BkPlanInput *input = plan->input;

    for (int e = 0; e < input->engine_count; e++) {
        const BkPlanEngine *engine = &input->engines[e];
        if (!engine->open) {
            continue;
        }
        for (int i = 0; i < engine->held_count; i++) {
            if (engine->held[i] != engine->unloading) {
                add_copy(plan, BkPlan_FindModel(input, engine->held[i]), e,
                         true);
            }
        }
        add_copy(plan, BkPlan_FindModel(input, engine->loading), e, false);
        add_copy(plan, BkPlan_FindModel(input, engine->reserved_for), e,
                 false);
        mark_cached(plan, engine->cached_in_memory,
                    engine->cached_in_memory_count);
        mark_cached(plan, engine->cached_on_disk,
                    engine->cached_on_disk_count);
    }
}

/* The engine loads the only copy of a model from the weight store, or is to do
 * so into reserved memory. */
static bool
loads_first_copy(const Plan *plan, const BkPlanEngine *engine)
{
    bool from_store = engine->loading != 0 && engine->loads_from_store;
    int model = BkPlan_FindModel(
        plan->input, from_store ? engine->loading : engine->reserved_for);

    if (!engine->open || model < 0 || plan->model_copies[model] > 1) {
        return false;
    }
    if (!from_store) {
        BkPlan_LoadTime(engine, &plan->input->models[model], &from_store);
    }
    return from_store;
}

/* How many more loads of first copies from the weight store may begin. */
static int
count_first_copies_left(const Plan *plan)
{
    const BkPlanInput *input = plan->input;
    int open_engines = 0;
    int loading = 0;

    for (int e = 0; e < input->engine_count; e++) {
        open_engines += input->engines[e].open ? 1 : 0;
        loading += loads_first_copy(plan, &input->engines[e]) ? 1 : 0;
    }
    int limit = (int)(plan->conf->first_copy_share * open_engines);
    return (limit < 1 ? 1 : limit) - loading;
}

/* the model's work above the limit of its engines; all of its work, if it has
 * no copy */
static double
get_excess_work(const Plan *plan, int model)
{
    double excess = 0;

    if (plan->model_copies[model] == 0) {
        return plan->input->models[model].work;
    }
    for (int i = plan->first_of_model[model]; i >= 0;
         i = plan->copies[i].next_of_model) {
        const Copy *copy = &plan->copies[i];
        double engine_work = plan->engine_work[copy->engine];
        if (!copy->removed && engine_work > plan->work_limit) {
            excess +=
                copy->work * (engine_work - plan->work_limit) / engine_work;
        }
    }
    return excess;
}

/* the higher of the current and the longer-term work: a model whose requests
 * stopped may get new ones soon */
static double
get_expected_work(const BkPlanModel *info)
{
    return fmax(info->work, info->steady_work);
}

/* work in tokens a second that is lost if the copy is unloaded; negative: it
 * must stay */
static double
get_unload_loss(const Plan *plan, const Copy *copy)
{
    const BkPlanModel *info = &plan->input->models[copy->model];
    double model_copies = plan->model_copies[copy->model];
    double spare_capacity = 0;

    if (info->waiting_requests > 0) {
        return -1;
    }
    if (copy->ready && plan->ready_copies[copy->model] == 1 &&
        plan->model_copies[copy->model] > 1) {
        return -1; /* the others are still being loaded */
    }
    if (plan->model_copies[copy->model] == 1) {
        return plan->cached[copy->model]
                   ? plan->conf->last_copy_value +
                         plan->conf->min_gain_ratio * get_expected_work(info)
                   : -1;
    }
    for (int i = plan->first_of_model[copy->model]; i >= 0;
         i = plan->copies[i].next_of_model) {
        const Copy *other = &plan->copies[i];
        if (!other->removed && other != copy) {
            spare_capacity +=
                fmax(0, plan->work_limit - plan->engine_work[other->engine]);
        }
    }
    return unload_loss_share * get_expected_work(info) / model_copies +
           fmax(0, copy->work - spare_capacity);
}

/* An engine that a copy can be loaded on, and what that costs. */
typedef struct Candidate {
    int engine;
    const Copy *victim; /* NULL: memory is free */
    double loss;        /* work lost by unloading the victim */
    BkMs load_time;
    bool from_store;
} Candidate;

static bool
can_load_model(const Plan *plan, int model, int e)
{
    const BkPlanEngine *engine = &plan->input->engines[e];

    return BkPlan_AcceptsMove(engine) && !plan->has_move[e] &&
           !BkPlan_IsOn(engine, plan->input->models[model].key);
}

/* the copy on the engine whose unload loses the least work, of those that free
 * enough memory; allow_last: may be the last copy of a model */
static const Copy *
find_victim(const Plan *plan, int e, double needed_mb, bool allow_last,
            double *loss)
{
    const Copy *victim = NULL;

    for (int i = plan->first_of_engine[e]; i >= 0;
         i = plan->copies[i].next_of_engine) {
        const Copy *copy = &plan->copies[i];
        if (copy->removed ||
            plan->input->models[copy->model].weights_mb < needed_mb ||
            (plan->model_copies[copy->model] == 1 && !allow_last)) {
            continue;
        }
        double copy_loss = get_unload_loss(plan, copy);
        if (copy_loss >= 0 && (victim == NULL || copy_loss < *loss)) {
            victim = copy;
            *loss = copy_loss;
        }
    }
    return victim;
}

/* Sets *candidate to a load of the model on engine e. Returns false if the
 * engine cannot load it or free enough memory; allow_last: the last copy of
 * another model may be unloaded for it. */
static bool
make_candidate(const Plan *plan, int model, int e, bool allow_last,
               Candidate *candidate)
{
    const BkPlanEngine *engine = &plan->input->engines[e];
    const BkPlanModel *info = &plan->input->models[model];

    if (!can_load_model(plan, model, e)) {
        return false;
    }
    *candidate = (Candidate){.engine = e};
    candidate->load_time =
        BkPlan_LoadTime(engine, info, &candidate->from_store);
    if (candidate->from_store &&
        (plan->store_loads_left <= 0 ||
         (plan->model_copies[model] == 0 && plan->first_copies_left <= 0))) {
        return false;
    }
    double needed_mb = info->weights_mb - plan->free_mb[e];
    if (needed_mb <= 0) {
        return true;
    }
    candidate->victim =
        find_victim(plan, e, needed_mb, allow_last, &candidate->loss);
    return candidate->victim != NULL;
}

static void
add_move(Plan *plan, int model, const Candidate *candidate, const char *why)
{
    BkPlanMove *move = &plan->moves[plan->move_count++];

    *move = (BkPlanMove){.kind = BK_PLAN_LOAD,
                         .engine = candidate->engine,
                         .model = model,
                         .from_weight_store = candidate->from_store,
                         .why = why};
    plan->has_move[candidate->engine] = true;
    if (candidate->from_store && plan->model_copies[model] == 0) {
        plan->first_copies_left--;
    }
    if (candidate->victim != NULL) {
        int victim = candidate->victim->model;
        *move = (BkPlanMove){.kind = BK_PLAN_UNLOAD,
                             .engine = candidate->engine,
                             .model = victim,
                             .next_model = model,
                             .why = why};
        Copy *copy = find_copy(plan, victim, candidate->engine);
        clear_work(plan, victim);
        copy->removed = true;
        plan->model_copies[victim]--;
        plan->ready_copies[victim] -= copy->ready ? 1 : 0;
        spread_work(plan, victim);
    }
    else if (candidate->from_store) {
        plan->store_loads_left--;
    }
    /* a model that replaces the victim counts as loaded already */
    add_copy(plan, model, candidate->engine, false);
    spread_work(plan, model);
}

/* loads models into memory that an earlier round reserved for them */
static void
start_reserved_loads(Plan *plan)
{
    const BkPlanInput *input = plan->input;

    for (int e = 0;
         e < input->engine_count && plan->move_count < plan->max_moves; e++) {
        Candidate candidate = {.engine = e};
        int model = BkPlan_FindReservedLoad(input, &input->engines[e],
                                            plan->store_loads_left,
                                            &candidate.from_store);
        if (model >= 0) {
            add_move(plan, model, &candidate, "memory was reserved for it");
        }
    }
}

/* No engine can serve the waiting requests, so their model is loaded where
 * that costs least. */
static bool
place_waiting_model(Plan *plan, int model)
{
    const BkPlanModel *info = &plan->input->models[model];
    double work = info->work + WAITING_WORK * info->waiting_requests;
    Candidate best = {.engine = -1};
    double least_cost = 0;

    for (int e = 0; e < plan->input->engine_count; e++) {
        Candidate candidate;
        if (!make_candidate(plan, model, e, true, &candidate)) {
            continue;
        }
        /* the engine's own work only decides between nearly equal costs */
        double cost = candidate.loss * (double)plan->conf->horizon +
                      work * (double)candidate.load_time +
                      plan->engine_work[e];
        if (best.engine < 0 || cost < least_cost) {
            best = candidate;
            least_cost = cost;
        }
    }
    if (best.engine >= 0) {
        add_move(plan, model, &best, "no engine holds the model to load");
    }
    return best.engine >= 0;
}

/* the least work of any engine that holds the model */
static double
get_least_work(const Plan *plan, int model)
{
    double least = INFINITY;

    for (int i = plan->first_of_model[model]; i >= 0;
         i = plan->copies[i].next_of_model) {
        if (!plan->copies[i].removed) {
            least = fmin(least, plan->engine_work[plan->copies[i].engine]);
        }
    }
    return least;
}

/* the share of current work that still remains after a load */
static double
get_remaining_share(const BkPlanConf *conf, BkMs load_time)
{
    return exp(-(double)load_time / (double)conf->horizon);
}

/* Adds a copy on an engine with less work, to take over work from overloaded
 * engines. */
static bool
place_relief_copy(Plan *plan, int model)
{
    const BkPlanConf *conf = plan->conf;
    const BkPlanModel *info = &plan->input->models[model];
    double excess = get_excess_work(plan, model);
    double least_work = get_least_work(plan, model);
    double recent_rise = fmax(0, info->work - info->steady_work);
    Candidate best = {.engine = -1};
    double best_gain = 0;

    for (int e = 0; e < plan->input->engine_count; e++) {
        Candidate candidate;
        if (!make_candidate(plan, model, e, true, &candidate)) {
            continue;
        }
        /* of engine e, without the victim's work */
        double target_work =
            plan->engine_work[e] -
            (candidate.victim == NULL ? 0 : candidate.victim->work);
        /* The engine may take over work up to the limit or, if that is more,
         * until it has as much work as the least loaded engine that holds the
         * model. */
        double capacity =
            fmax(plan->work_limit, (least_work + target_work) / 2) -
            target_work;
        /* a long load blocks the engine and may finish too late for work that
         * has only just begun */
        double discount =
            recent_rise * fmin(1, (double)candidate.load_time /
                                      (double)conf->steady_load_time);
        double taken_over = fmin(excess - discount, capacity);
        double gain =
            taken_over * get_remaining_share(conf, candidate.load_time) -
            conf->min_gain_ratio * candidate.loss;
        if (taken_over >= conf->min_relief_work && gain > best_gain) {
            best = candidate;
            best_gain = gain;
        }
    }
    if (best.engine >= 0) {
        add_move(plan, model, &best,
                 "copies of the model to load have too much work");
    }
    return best.engine >= 0;
}

/* Whether an open engine has memory for the model, also one that accepts no
 * move now. */
static bool
is_memory_free(const Plan *plan, int model)
{
    const BkPlanInput *input = plan->input;

    for (int e = 0; e < input->engine_count; e++) {
        if (input->engines[e].open &&
            plan->free_mb[e] >= input->models[model].weights_mb) {
            return true;
        }
    }
    return false;
}

/* Loads a model that no engine holds and no request waits for: into free
 * memory or, if there is none and its weights are cached nowhere, in place of
 * a copy whose unload loses little work. */
static bool
place_missing_model(Plan *plan, int model)
{
    Candidate best = {.engine = -1};
    bool may_replace = !plan->cached[model] && !is_memory_free(plan, model);

    for (int e = 0; e < plan->input->engine_count; e++) {
        Candidate candidate;
        if (!make_candidate(plan, model, e, false, &candidate) ||
            (candidate.victim != NULL && !may_replace) ||
            plan->conf->min_gain_ratio * candidate.loss >
                plan->conf->missing_copy_value) {
            continue;
        }
        if (best.engine < 0 || candidate.loss < best.loss ||
            (candidate.loss == best.loss &&
             candidate.load_time < best.load_time)) {
            best = candidate;
        }
    }
    if (best.engine >= 0) {
        add_move(plan, model, &best, "no engine holds the model to load");
    }
    return best.engine >= 0;
}

/* the model that needs a copy most, of those not done */
static int
find_neediest(const Plan *plan)
{
    int best = -1;
    double best_need = 0;

    for (int m = 0; m < plan->input->model_count; m++) {
        const BkPlanModel *info = &plan->input->models[m];
        if (plan->done[m]) {
            continue;
        }
        double need = get_excess_work(plan, m);
        if (plan->model_copies[m] == 0) {
            /* 1: a model without a copy is considered even if it has no
             * work */
            need += 1 + WAITING_WORK * info->waiting_requests;
        }
        if (need > best_need) {
            best = m;
            best_need = need;
        }
    }
    return best;
}

static void
place_needed(Plan *plan)
{
    int model;

    while (plan->move_count < plan->max_moves &&
           (model = find_neediest(plan)) >= 0) {
        bool placed;
        if (plan->model_copies[model] > 0) {
            placed = place_relief_copy(plan, model);
        }
        else if (plan->input->models[model].waiting_requests > 0) {
            placed = place_waiting_model(plan, model);
        }
        else {
            placed = place_missing_model(plan, model);
        }
        plan->done[model] = !placed;
    }
}

/* Loads another copy of the model with the most work per copy into free
 * memory; idle models get none. */
static void
fill_free_memory(Plan *plan, int e)
{
    Candidate best = {.engine = -1};
    int best_model = -1;
    double best_need = -1;

    for (int m = 0; m < plan->input->model_count; m++) {
        const BkPlanModel *info = &plan->input->models[m];
        Candidate candidate;
        if (info->work < plan->conf->idle_work || plan->model_copies[m] == 0 ||
            info->weights_mb > plan->free_mb[e] ||
            !make_candidate(plan, m, e, false, &candidate)) {
            continue;
        }
        double need = (info->work + 1) / plan->model_copies[m];
        if (need > best_need) {
            best = candidate;
            best_model = m;
            best_need = need;
        }
    }
    if (best_model >= 0 && plan->move_count < plan->max_moves) {
        add_move(plan, best_model, &best, "memory is free");
    }
}

static void
create_plan(Plan *plan)
{
    size_t models = (size_t)plan->input->model_count + 1;
    size_t engines = (size_t)plan->input->engine_count + 1;

    /* besides held models: one loading, one with reserved memory, one move */
    plan->copies =
        BkMem_New(engines * (BK_UP_MAX_MODELS + 3), sizeof(*plan->copies));
    plan->first_of_model = BkMem_New(models, sizeof(int));
    plan->first_of_engine = BkMem_New(engines, sizeof(int));
    plan->model_copies = BkMem_New(models, sizeof(int));
    plan->ready_copies = BkMem_New(models, sizeof(int));
    plan->cached = BkMem_New(models, sizeof(bool));
    plan->done = BkMem_New(models, sizeof(bool));
    plan->engine_work = BkMem_New(engines, sizeof(double));
    plan->free_mb = BkMem_New(engines, sizeof(double));
    plan->has_move = BkMem_New(engines, sizeof(bool));
    for (size_t m = 0; m < models; m++) {
        plan->first_of_model[m] = -1;
    }
    for (int e = 0; e < plan->input->engine_count; e++) {
        const BkPlanEngine *engine = &plan->input->engines[e];
        plan->first_of_engine[e] = -1;
        plan->free_mb[e] =
            engine->capacity_mb - BkPlan_UsedMb(plan->input, engine);
    }
}

static void
destroy_plan(Plan *plan)
{
    free(plan->copies);
    free(plan->first_of_model);
    free(plan->first_of_engine);
    free(plan->model_copies);
    free(plan->ready_copies);
    free(plan->cached);
    free(plan->done);
    free(plan->engine_work);
    free(plan->free_mb);
    free(plan->has_move);
}

int
BkPlan_Decide(const BkPlanConf *conf, const BkPlanInput *input,
              BkPlanMove *moves, int max)
{
    Plan plan = {.conf = conf,
                 .input = input,
                 .store_loads_left = input->allowed_store_loads,
                 .moves = moves,
                 .max_moves = max};

    create_plan(&plan);
    collect_copies(&plan);
    plan.first_copies_left = count_first_copies_left(&plan);
    spread_all_work(&plan);
    start_reserved_loads(&plan);
    place_needed(&plan);
    for (int e = 0; e < input->engine_count && plan.move_count < max; e++) {
        fill_free_memory(&plan, e);
    }
    destroy_plan(&plan);
    return plan.move_count;
}
