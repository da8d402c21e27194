#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "planner.h"

enum {
    /* ms; by then, the callers' requests that needed the adapter have ended */
    ADAPTER_REQUEST_MAX_AGE = 1500,
    /* ms without a new request before an adapter may be unloaded: longer
       than most answers take */
    MIN_IDLE_TIME = 2500,
    /* ms that an engine usually takes to load an adapter */
    ADAPTER_LOAD_TIME = 12,
    /* ms after its order in which an adapter is not ordered again, even if
       a request found it missing */
    REPEAT_ORDER_DELAY = 600,
    ADAPTER_NAME_BYTES = 16 /* of a generated name such as "a12" */
};

static bool
is_requested(const FrEngine *engine, const char *model, const char *adapter)
{
    for (int i = 0; i < engine->adapter_request_count; i++) {
        if (strcmp(engine->adapter_requests[i].model, model) == 0 &&
            strcmp(engine->adapter_requests[i].adapter, adapter) == 0) {
            return true;
        }
    }
    return false;
}

void
FrAdapters_Request(FrEngine *engine, const char *model, const char *adapter,
                   BkMs now)
{
    if (engine->adapter_request_count == FR_MAX_ADAPTER_REQUESTS ||
        is_requested(engine, model, adapter)) {
        return;
    }
    FrAdapterRequest *request =
        &engine->adapter_requests[engine->adapter_request_count++];
    snprintf(request->model, sizeof(request->model), "%s", model);
    snprintf(request->adapter, sizeof(request->adapter), "%s", adapter);
    request->requested_at = now;
}

static FrAdapterSlot *
find_slot(FrEngine *engine, uint32_t model_key, uint32_t adapter_key)
{
    for (int i = 0; i < engine->slot_count; i++) {
        if (engine->slots[i].model_key == model_key &&
            engine->slots[i].adapter_key == adapter_key) {
            return &engine->slots[i];
        }
    }
    return NULL;
}

static FrAdapterSlot *
find_or_add_slot(FrEngine *engine, uint32_t model_key, uint32_t adapter_key)
{
    FrAdapterSlot *slot = find_slot(engine, model_key, adapter_key);

    if (slot == NULL && engine->slot_count < BK_UP_MAX_ADAPTERS) {
        slot = &engine->slots[engine->slot_count++];
        *slot = (FrAdapterSlot){.model_key = model_key,
                                .adapter_key = adapter_key};
    }
    return slot;
}

void
FrAdapters_NoteUse(FrEngine *engine, uint32_t model_key, uint32_t adapter_key,
                   BkMs now)
{
    FrAdapterSlot *slot = find_slot(engine, model_key, adapter_key);

    if (slot != NULL) {
        slot->last_used_at = now;
    }
}

/* Adds a slot, as it was among the old ones if it is one of them. Returns false
   if there is no room for it. */
static bool
restore_slot(FrEngine *engine, uint32_t model_key, const char *adapter,
             const FrAdapterSlot *old_slots, int old_count)
{
    FrAdapterSlot *slot = find_or_add_slot(
        engine, model_key, BkStr_NameHash(BkStr_FromC(adapter)));

    for (int i = 0; slot != NULL && i < old_count; i++) {
        if (old_slots[i].model_key == slot->model_key &&
            old_slots[i].adapter_key == slot->adapter_key) {
            *slot = old_slots[i];
        }
    }
    return slot != NULL;
}

bool
FrAdapters_UpdateSlots(FrEngine *engine, const BkUpReport *held)
{
    FrAdapterSlot old_slots[BK_UP_MAX_ADAPTERS];
    int old_count = engine->slot_count;
    bool complete = true;

    memcpy(old_slots, engine->slots, sizeof(old_slots));
    engine->slot_count = 0;
    for (int i = 0; i < held->model_count; i++) {
        const BkLoadedModel *model = &held->models[i];
        uint32_t model_key = BkStr_NameHash(BkStr_FromC(model->name));
        for (int k = 0; k < model->adapter_count; k++) {
            complete = restore_slot(engine, model_key, model->adapters[k],
                                    old_slots, old_count) &&
                       complete;
        }
    }
    return complete;
}

void
FrAdapters_DropModel(FrEngine *engine, uint32_t model_key)
{
    int kept = 0;

    for (int i = 0; i < engine->slot_count; i++) {
        if (engine->slots[i].model_key != model_key) {
            engine->slots[kept++] = engine->slots[i];
        }
    }
    engine->slot_count = kept;
}

void
FrAdapters_AnnounceReady(void *arg)
{
    FrEngine *engine = arg;
    BkMs now = BkClock_Now();
    BkMs next_ready_at = BK_MS_NEVER;

    for (int i = 0; i < engine->slot_count && engine->planner != NULL; i++) {
        FrAdapterSlot *slot = &engine->slots[i];
        if (slot->announced) {
            continue;
        }
        BkMs ready_at = slot->ordered_at + ADAPTER_LOAD_TIME;
        if (ready_at <= now) {
            slot->announced = true;
            FrPlanner_Announce(engine->planner, BKP_ADAPTER_LOADED, engine->up,
                               slot->model_key, slot->adapter_key);
        }
        else if (ready_at < next_ready_at) {
            next_ready_at = ready_at;
        }
    }
    if (next_ready_at != BK_MS_NEVER) {
        BkTimer_Start(engine->slot_timer, next_ready_at - now);
    }
}

static void
remove_slot(FrEngine *engine, FrAdapterSlot *slot)
{
    *slot = engine->slots[--engine->slot_count];
}

void
FrAdapters_HandleAccepted(FrEngine *engine, const FrOrder *order,
                          bool already_done, BkMs now)
{
    FrAdapterSlot *slot;

    switch (order->kind) {
    case BK_ORDER_LOAD:
        slot = find_or_add_slot(engine, order->model_key, order->adapter_key);
        if (slot != NULL) {
            slot->ordered_at = already_done ? now - ADAPTER_LOAD_TIME : now;
            slot->last_used_at = now;
            slot->announced = false;
            FrAdapters_AnnounceReady(engine);
        }
        break;
    case BK_ORDER_UNLOAD:
        slot = find_slot(engine, order->model_key, order->adapter_key);
        if (slot != NULL && already_done) {
            remove_slot(engine, slot);
        }
        FrPlanner_Announce(engine->planner, BKP_ADAPTER_UNLOADED, engine->up,
                           order->model_key, order->adapter_key);
        break;
    }
}

/* Finds the name by its key: the platform names a model's adapters a1, a2 and
   so on. */
static bool
find_adapter_name(const BkSiteModel *model, uint32_t key, char *name,
                  size_t size)
{
    for (int i = 1; i <= model->adapter_count; i++) {
        snprintf(name, size, "a%d", i);
        if (BkStr_NameHash(BkStr_FromC(name)) == key) {
            return true;
        }
    }
    return false;
}

/* Makes an order to unload the least recently used adapter; false if all may
   be in use. */
static bool
make_unload_order(FrEngine *engine, const BkSiteEngine *site_engine, BkMs now,
                  FrOrder *order)
{
    const FrAdapterSlot *oldest = NULL;

    for (int i = 0; i < engine->slot_count; i++) {
        const FrAdapterSlot *slot = &engine->slots[i];
        if (oldest == NULL || slot->last_used_at < oldest->last_used_at) {
            oldest = slot;
        }
    }
    if (oldest == NULL || now - oldest->last_used_at < MIN_IDLE_TIME) {
        return false;
    }
    const BkSiteModel *model =
        BkSite_FindModelByKey(site_engine, oldest->model_key);
    *order = (FrOrder){.kind = BK_ORDER_UNLOAD,
                       .model_key = oldest->model_key,
                       .adapter_key = oldest->adapter_key};
    if (model == NULL ||
        !find_adapter_name(model, oldest->adapter_key, order->adapter,
                           sizeof(order->adapter))) {
        return false;
    }
    snprintf(order->model, sizeof(order->model), "%s", model->name);
    return true;
}

static void
remove_adapter_request(FrEngine *engine, int index)
{
    engine->adapter_request_count--;
    memmove(&engine->adapter_requests[index],
            &engine->adapter_requests[index + 1],
            (size_t)(engine->adapter_request_count - index) *
                sizeof(FrAdapterRequest));
}

double
FrAdapters_UsedMb(const FrEngine *engine, const BkSiteEngine *site_engine)
{
    double used = 0;

    for (int i = 0; i < engine->slot_count; i++) {
        const BkSiteModel *model =
            BkSite_FindModelByKey(site_engine, engine->slots[i].model_key);
        /* the size of one that the configuration does not name is unknown */
        used +=
            model == NULL ? site_engine->weights_budget_mb : model->adapter_mb;
    }
    return used;
}

double
FrAdapters_TotalUsedMb(const FrEngine *engine, const BkSiteEngine *site_engine)
{
    double used = FrAdapters_UsedMb(engine, site_engine);

    for (int i = 0; i < engine->held_count; i++) {
        const BkSiteModel *model =
            BkSite_FindModelByKey(site_engine, engine->held[i]);
        used +=
            model == NULL ? site_engine->weights_budget_mb : model->weights_mb;
    }
    return used;
}

/* Whether the adapter exists and the engine holds its model. */
static bool
can_load_adapter(const FrEngine *engine, const BkSiteModel *model,
                 const char *adapter)
{
    char name[ADAPTER_NAME_BYTES];

    return model != NULL && BkUp_HasModel(engine->up, model->key) &&
           find_adapter_name(model, BkStr_NameHash(BkStr_FromC(adapter)), name,
                             sizeof(name));
}

void
FrAdapters_Step(FrEngine *engine, BkMs now)
{
    const BkSiteEngine *site_engine = FrEngine_FindSiteEngine(engine);
    FrOrder order;

    while (engine->adapter_request_count > 0 && site_engine != NULL &&
           !engine->order_in_flight) {
        const FrAdapterRequest *request = &engine->adapter_requests[0];
        const BkSiteModel *model =
            BkSite_FindModel(site_engine, BkStr_FromC(request->model));
        if (now - request->requested_at >= ADAPTER_REQUEST_MAX_AGE ||
            !can_load_adapter(engine, model, request->adapter)) {
            remove_adapter_request(engine, 0);
            continue;
        }
        FrAdapterSlot *slot = find_slot(
            engine, model->key, BkStr_NameHash(BkStr_FromC(request->adapter)));
        if (slot != NULL && now - slot->ordered_at < REPEAT_ORDER_DELAY) {
            /* the daemon that requested it does not know that it is loaded, or
               will be: announces it again */
            slot->announced =
                slot->announced && now - slot->ordered_at < ADAPTER_LOAD_TIME;
            remove_adapter_request(engine, 0);
            FrAdapters_AnnounceReady(engine);
            continue;
        }
        BkDoubtRoom doubtful = FrEngine_GetDoubtfulRoom(engine, now);
        bool full = !engine->held_complete ||
                    (slot == NULL && engine->slot_count + doubtful.slots >=
                                         site_engine->adapter_slots) ||
                    FrAdapters_TotalUsedMb(engine, site_engine) + doubtful.mb +
                            model->adapter_mb >
                        site_engine->weights_budget_mb;
        if (full) {
            if (make_unload_order(engine, site_engine, now, &order) &&
                FrEngine_MayOrder(engine, &order, now)) {
                FrEngine_SendOrder(engine, &order, now);
            }
            return;
        }
        order = (FrOrder){.kind = BK_ORDER_LOAD,
                          .model_key = model->key,
                          .adapter_key =
                              BkStr_NameHash(BkStr_FromC(request->adapter))};
        snprintf(order.model, sizeof(order.model), "%s", request->model);
        snprintf(order.adapter, sizeof(order.adapter), "%s", request->adapter);
        if (!FrEngine_MayOrder(engine, &order, now)) {
            return;
        }
        remove_adapter_request(engine, 0);
        FrEngine_SendOrder(engine, &order, now);
    }
}
