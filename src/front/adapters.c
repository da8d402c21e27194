#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "planner.h"

enum {
    WANT_STALE = 1500,  /* ms after which nobody waits for it any more */
    FRESH_USE = 2500,   /* ms since a request went to it that an adapter is
                           kept: longer than most answers take */
    ARRIVAL = 12,       /* ms that an adapter takes to an engine, as a rule */
    JUST_ORDERED = 600, /* ms since its order that one is not ordered again,
                           though somebody was refused it */
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

static FrSlot *
find_slot(FrEngine *engine, uint32_t model, uint32_t adapter)
{
    for (int i = 0; i < engine->slot_count; i++) {
        if (engine->slots[i].model == model &&
            engine->slots[i].adapter == adapter) {
            return &engine->slots[i];
        }
    }
    return NULL;
}

static FrSlot *
add_slot(FrEngine *engine, uint32_t model, uint32_t adapter)
{
    FrSlot *slot = find_slot(engine, model, adapter);

    if (slot == NULL && engine->slot_count < BK_UP_MAX_ADAPTERS) {
        slot = &engine->slots[engine->slot_count++];
        *slot = (FrSlot){.model = model, .adapter = adapter};
    }
    return slot;
}

void
FrAdapters_NoteUse(FrEngine *engine, uint32_t model, uint32_t adapter,
                   BkMs now)
{
    FrSlot *slot = find_slot(engine, model, adapter);

    if (slot != NULL) {
        slot->used = now;
    }
}

void
FrAdapters_TakeState(FrEngine *engine)
{
    const BkUp *up = engine->up;
    FrSlot before[BK_UP_MAX_ADAPTERS];
    int count = engine->slot_count;

    memcpy(before, engine->slots, sizeof(before));
    engine->slot_count = 0;
    for (int i = 0; i < up->adapter_count; i++) {
        FrSlot *slot =
            add_slot(engine, up->adapters[i].model, up->adapters[i].name);
        for (int k = 0; slot != NULL && k < count; k++) {
            if (before[k].model == slot->model &&
                before[k].adapter == slot->adapter) {
                *slot = before[k];
            }
        }
    }
}

void
FrAdapters_DropModel(FrEngine *engine, uint32_t model)
{
    int kept = 0;

    for (int i = 0; i < engine->slot_count; i++) {
        if (engine->slots[i].model != model) {
            engine->slots[kept++] = engine->slots[i];
        }
    }
    engine->slot_count = kept;
}

/* tells daemons of the adapters that have had time to arrive */
void
FrAdapters_TellReady(void *arg)
{
    FrEngine *engine = arg;
    BkMs now = BkClock_Now();
    BkMs next = BK_MS_NEVER;

    for (int i = 0; i < engine->slot_count && engine->planner != NULL; i++) {
        FrSlot *slot = &engine->slots[i];
        if (slot->told) {
            continue;
        }
        BkMs at = slot->ordered + ARRIVAL;
        if (at <= now) {
            slot->told = true;
            FrPlanner_Announce(engine->planner, BKP_ADAPTER_HELD, engine->up,
                               slot->model, slot->adapter);
        }
        else if (at < next) {
            next = at;
        }
    }
    if (next != BK_MS_NEVER) {
        BkTimer_Start(engine->slot_timer, next - now);
    }
}

static void
remove_slot(FrEngine *engine, FrSlot *slot)
{
    *slot = engine->slots[--engine->slot_count];
}

void
FrAdapters_TakeOrder(FrEngine *engine, const FrOrder *order, bool done,
                     BkMs now)
{
    FrSlot *slot;

    switch (order->kind) {
    case BK_ORDER_LOAD:
        slot = add_slot(engine, order->model_key, order->adapter_key);
        if (slot != NULL) {
            slot->ordered = done ? now - ARRIVAL : now;
            slot->used = now;
            slot->told = false;
            FrAdapters_TellReady(engine);
        }
        break;
    case BK_ORDER_UNLOAD:
        slot = find_slot(engine, order->model_key, order->adapter_key);
        if (slot != NULL && done) {
            remove_slot(engine, slot);
        }
        FrPlanner_Announce(engine->planner, BKP_ADAPTER_DROPPED, engine->up,
                           order->model_key, order->adapter_key);
        break;
    }
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
    const FrSlot *oldest = NULL;

    for (int i = 0; i < engine->slot_count; i++) {
        const FrSlot *slot = &engine->slots[i];
        if (oldest == NULL || slot->used < oldest->used) {
            oldest = slot;
        }
    }
    if (oldest == NULL || now - oldest->used < FRESH_USE) {
        return false;
    }
    const BkSiteModel *model = BkSite_FindModelKey(conf, oldest->model);
    *order = (FrOrder){.kind = BK_ORDER_UNLOAD,
                       .model_key = oldest->model,
                       .adapter_key = oldest->adapter};
    if (model == NULL || !name_adapter(model, oldest->adapter, order->adapter,
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

double
FrAdapters_UsedMb(const FrEngine *engine, const BkSiteEngine *conf)
{
    double used = 0;

    for (int i = 0; i < engine->slot_count; i++) {
        const BkSiteModel *model =
            BkSite_FindModelKey(conf, engine->slots[i].model);
        used += model == NULL ? 0 : model->adapter_mb;
    }
    return used;
}

static double
used_mb(const FrEngine *engine, const BkSiteEngine *conf)
{
    double used = FrAdapters_UsedMb(engine, conf);

    for (int i = 0; i < engine->held_count; i++) {
        const BkSiteModel *model = BkSite_FindModelKey(conf, engine->held[i]);
        used += model == NULL ? 0 : model->weights_mb;
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
        FrSlot *slot = find_slot(engine, model->key,
                                 BkStr_Key(BkStr_FromC(want->adapter)));
        if (slot != NULL && now - slot->ordered < JUST_ORDERED) {
            slot->told = slot->told && now - slot->ordered < ARRIVAL;
            drop_want(engine, 0);
            FrAdapters_TellReady(engine);
            continue;
        }
        bool full =
            (slot == NULL && engine->slot_count >= conf->adapter_slots) ||
            used_mb(engine, conf) + model->adapter_mb > conf->weights_mb;
        if (full) {
            if (find_victim(engine, conf, now, &order)) {
                FrEngine_Order(engine, &order, now);
            }
            return;
        }
        order =
            (FrOrder){.kind = BK_ORDER_LOAD,
                      .model_key = model->key,
                      .adapter_key = BkStr_Key(BkStr_FromC(want->adapter))};
        snprintf(order.model, sizeof(order.model), "%s", want->model);
        snprintf(order.adapter, sizeof(order.adapter), "%s", want->adapter);
        drop_want(engine, 0);
        FrEngine_Order(engine, &order, now);
    }
}
