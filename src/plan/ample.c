#include "common.h"

#include <stdlib.h>

typedef struct Plan {
    const BkPlanConf *conf;
    const BkPlanInput *input;
    /* per model: number of copies that are held or being loaded on open
       engines, or are to be loaded into reserved memory */
    int *model_copies;
    bool *has_move;       /* engines that have a move in this round */
    int store_loads_left; /* loads from the weight store still allowed */
    BkPlanMove *moves;
    int move_count;
    int max_moves;
} Plan;

static void
count_copies(Plan *plan)
{
    for (int e = 0; e < plan->input->engine_count; e++) {
        const BkPlanEngine *engine = &plan->input->engines[e];
        for (int m = 0; engine->open && m < plan->input->model_count; m++) {
            uint32_t key = plan->input->models[m].key;
            if ((BkPlan_IsOn(engine, key) && engine->unloading != key) ||
                engine->reserved_for == key) {
                plan->model_copies[m]++;
            }
        }
    }
}

/* the model's work per copy after its number of copies changes by change */
static double
get_work_per_copy(const Plan *plan, int model, int change)
{
    int copies = plan->model_copies[model] + change;

    return plan->input->models[model].work / (copies < 1 ? 1 : copies);
}

static bool
can_lose_copy(const Plan *plan, int model)
{
    const BkPlanModel *info = &plan->input->models[model];

    return plan->model_copies[model] > 1 && info->waiting_requests == 0;
}

/* how much a copy of the model that an engine holds is needed: the work per
 * copy after it is unloaded; 0 also if the model is no longer configured;
 * negative: the copy must stay */
static double
get_held_copy_need(const Plan *plan, uint32_t key)
{
    int model = BkPlan_FindModel(plan->input, key);

    if (model < 0) {
        return 0;
    }
    return can_lose_copy(plan, model) ? get_work_per_copy(plan, model, -1)
                                      : -1;
}

/* key of the least needed model that the engine holds, if its need is below
 * max_need; 0 if there is none */
static uint32_t
find_victim(const Plan *plan, const BkPlanEngine *engine, double max_need)
{
    uint32_t victim_key = 0;
    double least_need = max_need;

    for (int i = 0; i < engine->held_count; i++) {
        double need = get_held_copy_need(plan, engine->held[i]);
        if (need >= 0 && need < least_need) {
            least_need = need;
            victim_key = engine->held[i];
        }
    }
    return victim_key;
}

/* the engine's estimated work, from the models that it holds */
static double
get_engine_work(const Plan *plan, const BkPlanEngine *engine)
{
    double work = 0;

    for (int i = 0; i < engine->held_count; i++) {
        int model = BkPlan_FindModel(plan->input, engine->held[i]);
        work += model < 0 ? 0 : get_work_per_copy(plan, model, 0);
    }
    return work;
}

static void
add_load(Plan *plan, int engine, int model, bool from_store, const char *why)
{
    plan->moves[plan->move_count++] =
        (BkPlanMove){.kind = BK_PLAN_LOAD,
                     .engine = engine,
                     .model = model,
                     .from_weight_store = from_store,
                     .why = why};
    plan->has_move[engine] = true;
    plan->store_loads_left -= from_store ? 1 : 0;
}

/* next_model: the model to load into the freed memory */
static void
add_unload(Plan *plan, int engine, int victim, int next_model, const char *why)
{
    plan->moves[plan->move_count++] = (BkPlanMove){.kind = BK_PLAN_UNLOAD,
                                                   .engine = engine,
                                                   .model = victim,
                                                   .next_model = next_model,
                                                   .why = why};
    plan->has_move[engine] = true;
    plan->model_copies[victim]--;
}

/* An engine that a copy can be loaded on, and the cost of that. */
typedef struct Candidate {
    int engine;
    uint32_t victim_key; /* the model to unload; 0: memory is free */
    bool from_store;
    double cost_ms;
} Candidate;

/* cost of each token a second of work already on the engine */
static const double work_cost_ms = 0.05;
/* cost of an unload, and of each token a second of the unloaded model, whose
 * running requests must end first */
static const double unload_cost_ms = 600;
static const double victim_work_cost_ms = 0.2;

/* Replaces best by engine e if a copy can be loaded there at lower cost. */
static void
consider_engine(const Plan *plan, int model, int e, double max_victim_need,
                Candidate *best)
{
    const BkPlanEngine *engine = &plan->input->engines[e];
    const BkPlanModel *info = &plan->input->models[model];
    Candidate candidate = {.engine = e};

    if (!BkPlan_AcceptsMove(engine) || plan->has_move[e] ||
        BkPlan_IsOn(engine, info->key)) {
        return;
    }
    candidate.cost_ms =
        (double)BkPlan_LoadTime(engine, info, &candidate.from_store) +
        work_cost_ms * get_engine_work(plan, engine);
    if (candidate.from_store && plan->store_loads_left <= 0) {
        return;
    }
    if (BkPlan_UsedMb(plan->input, engine) + info->weights_mb >
        engine->capacity_mb) {
        candidate.victim_key = find_victim(plan, engine, max_victim_need);
        if (candidate.victim_key == 0) {
            return;
        }
        candidate.cost_ms +=
            unload_cost_ms +
            victim_work_cost_ms *
                get_held_copy_need(plan, candidate.victim_key);
    }
    if (best->engine < 0 || candidate.cost_ms < best->cost_ms) {
        *best = candidate;
    }
}

/* Loads a copy of the model where that costs least, or unloads there the copy
 * that it replaces, whose need must be below max_victim_need. Returns false if
 * no engine can do either now. */
static bool
place_copy(Plan *plan, int model, double max_victim_need, const char *why)
{
    Candidate best = {.engine = -1};

    for (int e = 0; e < plan->input->engine_count; e++) {
        consider_engine(plan, model, e, max_victim_need, &best);
    }
    if (best.engine < 0) {
        return false;
    }
    int victim = BkPlan_FindModel(plan->input, best.victim_key);
    if (best.victim_key == 0) {
        add_load(plan, best.engine, model, best.from_store, why);
    }
    else if (victim >= 0) {
        add_unload(plan, best.engine, victim, model, why);
    }
    else {
        return false;
    }
    /* a model that replaces the victim counts as loaded already */
    plan->model_copies[model]++;
    return true;
}

/* how much a model needs one more copy */
static double
get_new_copy_need(const Plan *plan, int model)
{
    const BkPlanModel *info = &plan->input->models[model];
    double work = get_work_per_copy(plan, model, 0);

    if (plan->model_copies[model] > 0) {
        return work;
    }
    if (info->waiting_requests > 0) {
        return 1e9 + info->waiting_requests * 1e6 +
               work; /* above any other need */
    }
    return work + plan->conf->first_copy_value;
}

/* the model that needs a copy most, of those not done */
static int
find_neediest(const Plan *plan, const bool *done)
{
    int best = -1;
    double best_need = 0;

    for (int m = 0; m < plan->input->model_count; m++) {
        double need = get_new_copy_need(plan, m);
        if (!done[m] && (best < 0 || need > best_need)) {
            best = m;
            best_need = need;
        }
    }
    return best;
}

/* loads models into memory that an earlier round reserved for them */
static void
start_reserved_loads(Plan *plan)
{
    const BkPlanInput *input = plan->input;

    for (int e = 0;
         e < input->engine_count && plan->move_count < plan->max_moves; e++) {
        bool from_store;
        int model = BkPlan_FindReservedLoad(
            input, &input->engines[e], plan->store_loads_left, &from_store);
        if (model >= 0) {
            add_load(plan, e, model, from_store, "memory was reserved for it");
        }
    }
}

static void
place_needed(Plan *plan)
{
    bool *done = calloc((size_t)plan->input->model_count + 1, sizeof(bool));
    int model;

    while (plan->move_count < plan->max_moves &&
           (model = find_neediest(plan, done)) >= 0) {
        double work_per_copy = get_work_per_copy(plan, model, 0);
        if (plan->model_copies[model] == 0) {
            double max_victim_need =
                get_new_copy_need(plan, model) / plan->conf->min_gain_ratio;
            if (!place_copy(plan, model, max_victim_need,
                            "no engine holds the model to load")) {
                done[model] = true;
            }
        }
        else if (work_per_copy <= plan->conf->work_per_copy) {
            break; /* the remaining models need even less */
        }
        else if (!place_copy(
                     plan, model,
                     get_work_per_copy(plan, model, 1) /
                         plan->conf->min_gain_ratio,
                     "copies of the model to load have too much work")) {
            done[model] = true;
        }
    }
    free(done);
}

/* Loads a copy of the model with the most work per copy into free memory; idle
 * models get none. */
static void
fill_free_memory(Plan *plan, int e)
{
    const BkPlanEngine *engine = &plan->input->engines[e];
    int best = -1;
    bool best_from_store = false;
    double best_need = -1;

    if (!BkPlan_AcceptsMove(engine) || plan->has_move[e]) {
        return;
    }
    double free_mb = engine->capacity_mb - BkPlan_UsedMb(plan->input, engine);
    for (int m = 0; m < plan->input->model_count; m++) {
        const BkPlanModel *info = &plan->input->models[m];
        bool from_store;
        BkPlan_LoadTime(engine, info, &from_store);
        if (info->weights_mb > free_mb || BkPlan_IsOn(engine, info->key) ||
            info->work < plan->conf->idle_work ||
            (from_store && plan->store_loads_left <= 0)) {
            continue;
        }
        /* 1 / copies decides between models with equal work per copy; it is
         * infinite for a model without a copy, which so comes first */
        double need =
            get_work_per_copy(plan, m, 0) + 1.0 / plan->model_copies[m];
        if (need > best_need) {
            best = m;
            best_need = need;
            best_from_store = from_store;
        }
    }
    if (best >= 0 && plan->move_count < plan->max_moves) {
        add_load(plan, e, best, best_from_store, "memory is free");
        plan->model_copies[best]++;
    }
}

int
BkPlanAmple_Decide(const BkPlanConf *conf, const BkPlanInput *input,
                   BkPlanMove *moves, int max)
{
    Plan plan = {.conf = conf,
                 .input = input,
                 .store_loads_left = input->allowed_store_loads,
                 .moves = moves,
                 .max_moves = max};

    plan.model_copies = calloc((size_t)input->model_count + 1, sizeof(int));
    plan.has_move = calloc((size_t)input->engine_count + 1, sizeof(bool));
    count_copies(&plan);
    start_reserved_loads(&plan);
    place_needed(&plan);
    for (int e = 0; e < input->engine_count && plan.move_count < max; e++) {
        fill_free_memory(&plan, e);
    }
    free(plan.model_copies);
    free(plan.has_move);
    return plan.move_count;
}
