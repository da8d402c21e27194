#include "bk/plan/plan.h"

#include "common.h"

/* An engine processes about 20000 tokens a second. */
const BkPlanConf bk_plan_defaults = {
    .min_gain_ratio = 2.0,
    .idle_work = 50,
    .work_per_engine = 12000, /* over half of what an engine processes */
    .overload_factor = 1.2,
    .min_relief_work = 3000, /* a quarter of work_per_engine */
    .last_copy_value = 1000,
    .missing_copy_value = 3000,
    .first_copy_share = 0.25,
    .steady_load_time = 25000,
    .horizon = 12000};

int
BkPlan_FindModel(const BkPlanInput *input, uint32_t key)
{
    for (int i = 0; key != 0 && i < input->model_count; i++) {
        if (input->models[i].key == key) {
            return i;
        }
    }
    return -1;
}

bool
BkPlan_Contains(const uint32_t *keys, int count, uint32_t key)
{
    for (int i = 0; i < count; i++) {
        if (keys[i] == key) {
            return true;
        }
    }
    return false;
}

bool
BkPlan_IsOn(const BkPlanEngine *engine, uint32_t key)
{
    return engine->loading == key || engine->unloading == key ||
           BkPlan_Contains(engine->held, engine->held_count, key);
}

static double
get_weights_mb(const BkPlanInput *input, uint32_t key)
{
    int model = BkPlan_FindModel(input, key);

    /* a model that is no longer configured counts as filling the engine, so
     * that nothing is loaded beside it */
    return model < 0 ? 1e12 : input->models[model].weights_mb;
}

double
BkPlan_UsedMb(const BkPlanInput *input, const BkPlanEngine *engine)
{
    double used_mb = engine->adapters_mb;

    for (int i = 0; i < engine->held_count; i++) {
        used_mb += get_weights_mb(input, engine->held[i]);
    }
    if (engine->loading != 0 &&
        !BkPlan_Contains(engine->held, engine->held_count, engine->loading)) {
        used_mb += get_weights_mb(input, engine->loading);
    }
    if (engine->unloading != 0 &&
        !BkPlan_Contains(engine->held, engine->held_count,
                         engine->unloading)) {
        used_mb += get_weights_mb(input, engine->unloading);
    }
    return used_mb;
}

BkMs
BkPlan_LoadTime(const BkPlanEngine *engine, const BkPlanModel *model,
                bool *from_store)
{
    *from_store = false;
    if (BkPlan_Contains(engine->cached_in_memory,
                        engine->cached_in_memory_count, model->key)) {
        return model->memory_load_time;
    }
    if (BkPlan_Contains(engine->cached_on_disk, engine->cached_on_disk_count,
                        model->key)) {
        return model->disk_load_time;
    }
    *from_store = true;
    return model->weight_store_load_time;
}

bool
BkPlan_AcceptsMove(const BkPlanEngine *engine)
{
    return engine->open && !engine->has_order && engine->reserved_for == 0;
}

int
BkPlan_FindReservedLoad(const BkPlanInput *input, const BkPlanEngine *engine,
                        int store_loads_left, bool *from_store)
{
    int model = BkPlan_FindModel(input, engine->reserved_for);

    if (model < 0 || !engine->open || engine->has_order) {
        return -1;
    }
    const BkPlanModel *info = &input->models[model];
    BkPlan_LoadTime(engine, info, from_store);
    return !BkPlan_IsOn(engine, info->key) &&
                   BkPlan_UsedMb(input, engine) + info->weights_mb <=
                       engine->capacity_mb &&
                   (!*from_store || store_loads_left > 0)
               ? model
               : -1;
}
