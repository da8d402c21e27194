#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "planner.h"

enum {
    WANT_STALE = 1500,  /* ms after which nobody waits for it any more */
    FRESH_USE = 250,    /* ms since its last use that an adapter is kept */
    MAX_ADAPTER_NAME = 16
};

static bool
is_wanted(const FrEngine *engine, const char *model, const char *adapter)
{
    for (int i = 0; i < engine->want_count; i++) {
        if (strcmp(engine->wants[i].model, model) == 0 &&
            strcmp(engine->wants[i].adapter, adapter) == 0) {
            return true;
        }
    }
    return false;
}

void
FrAdapters_Want(FrEngine *engine, const char *model, const char *adapter,
                BkMs now)
{
    if (engine->want_count == FR_MAX_WANTS ||
        is_wanted(engine, model, adapter)) {
        return;
    }
    FrWant *want = &engine->wants[engine->want_count++];
    snprintf(want->model, sizeof(want->model), "%s", model);
    snprintf(want->adapter, sizeof(want->adapter), "%s", adapter);
    want->at = now;
}

static FrAdapterUse *
find_use(FrEngine *engine, uint32_t model, uint32_t adapter)
{
    for (int i = 0; i < engine->use_count; i++) {
        if (engine->uses[i].model == model &&
            engine->uses[i].adapter == adapter) {
            return &engine->uses[i];
        }
    }
    return NULL;
}

void
FrAdapters_NoteUse(FrEngine *engine, uint32_t model, uint32_t adapter,
                   BkMs now)
{
    FrAdapterUse *use = find_use(engine, model, adapter);

    if (use == NULL && engine->use_count < BK_UP_MAX_ADAPTERS) {
        use = &engine->uses[engine->use_count++];
        *use = (FrAdapterUse){model, adapter, 0};
    }
    if (use != NULL) {
        use->last = now;
    }
}

static BkMs
last_use(FrEngine *engine, const BkUpAdapter *held)
{
    const FrAdapterUse *use = find_use(engine, held->model, held->name);

    return use == NULL ? 0 : use->last;
}

/* forgets uses of adapters that are no longer there */
static void
prune_uses(FrEngine *engine)
{
    int kept = 0;

    for (int i = 0; i < engine->use_count; i++) {
        const FrAdapterUse *use = &engine->uses[i];
        if (BkUp_HoldsAdapter(engine->up, use->model, use->adapter)) {
            engine->uses[kept++] = *use;
        }
    }
    engine->use_count = kept;
}

/* the platform numbers a model's adapters from 1 */
static bool
name_adapter(const BkSiteModel *model, uint32_t key, char *name, size_t size)
{
    for (int i = 1; i <= model->adapters; i++) {
        snprintf(name, size, "a%d", i);
        if (BkStr_Key(BkStr_FromC(name)) == key) {
            return true;
        }
    }
    return false;
}

/* the adapter that was not used for the longest time; false if all are in
   use */
static bool
find_victim(FrEngine *engine, const BkSiteEngine *conf, BkMs now,
            FrOrder *order)
{
    const BkUpAdapter *oldest = NULL;

    for (int i = 0; i < engine->up->adapter_count; i++) {
        const BkUpAdapter *held = &engine->up->adapters[i];
        if (oldest == NULL ||
            last_use(engine, held) < last_use(engine, oldest)) {
            oldest = held;
        }
    }
    if (oldest == NULL || now - last_use(engine, oldest) < FRESH_USE) {
        return false;
    }
    const BkSiteModel *model = BkSite_FindModelKey(conf, oldest->model);
    *order = (FrOrder){.kind = BK_ORDER_UNLOAD,
                       .model_key = oldest->model,
                       .adapter_key = oldest->name};
    if (model == NULL ||
        !name_adapter(model, oldest->name, order->adapter,
                      sizeof(order->adapter))) {
        return false;
    }
    snprintf(order->model, sizeof(order->model), "%s", model->name);
    return true;
}

static void
drop_want(FrEngine *engine, int at)
{
    engine->want_count--;
    memmove(&engine->wants[at], &engine->wants[at + 1],
            (size_t)(engine->want_count - at) * sizeof(FrWant));
}

static double
used_mb(const FrEngine *engine, const BkSiteEngine *conf)
{
    double used = 0;

    for (int i = 0; i < engine->up->model_count; i++) {
        const BkSiteModel *model =
            BkSite_FindModelKey(conf, engine->up->models[i]);
        used += model == NULL ? 0 : model->weights_mb;
    }
    for (int i = 0; i < engine->up->adapter_count; i++) {
        const BkSiteModel *model =
            BkSite_FindModelKey(conf, engine->up->adapters[i].model);
        used += model == NULL ? 0 : model->adapter_mb;
    }
    return used;
}

/* false: there is no such adapter, or its model is not held */
static bool
is_possible(const FrEngine *engine, const BkSiteModel *model,
            const char *adapter)
{
    char name[MAX_ADAPTER_NAME];

    return model != NULL && BkUp_HoldsModel(engine->up, model->key) &&
           name_adapter(model, BkStr_Key(BkStr_FromC(adapter)), name,
                        sizeof(name));
}

void
FrAdapters_Step(FrEngine *engine, BkMs now)
{
    const BkSiteEngine *conf = FrEngine_Conf(engine);
    FrOrder order;

    while (engine->want_count > 0 && conf != NULL && !engine->asked) {
        const FrWant *want = &engine->wants[0];
        const BkSiteModel *model =
            BkSite_FindModel(conf, BkStr_FromC(want->model));
        if (now - want->at >= WANT_STALE ||
            !is_possible(engine, model, want->adapter)) {
            drop_want(engine, 0);
            continue;
        }
        prune_uses(engine);
        bool full = engine->up->adapter_count >= conf->adapter_slots ||
                    used_mb(engine, conf) + model->adapter_mb >
                        conf->weights_mb;
        if (full) {
            if (find_victim(engine, conf, now, &order)) {
                FrEngine_Order(engine, &order, now);
            }
            return;
        }
        order = (FrOrder){.kind = BK_ORDER_LOAD,
                          .model_key = model->key,
                          .adapter_key = BkStr_Key(BkStr_FromC(want->adapter))};
        snprintf(order.model, sizeof(order.model), "%s", want->model);
        snprintf(order.adapter, sizeof(order.adapter), "%s", want->adapter);
        drop_want(engine, 0);
        FrAdapters_NoteUse(engine, order.model_key, order.adapter_key, now);
        FrEngine_Order(engine, &order, now);
    }
}
