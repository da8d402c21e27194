/* loads that are needed regardless of demand, and unloads of old copies */
#include "state.h"

#include <stdlib.h>

typedef struct Shortage {
    int item;
    int order; /* sort key, lower first: see get_order */
    double demand_slots;
} Shortage;

static int
compare_shortages(const void *a, const void *b)
{
    const Shortage *x = a;
    const Shortage *y = b;

    if (x->order != y->order) {
        return x->order - y->order;
    }
    if (x->demand_slots != y->demand_slots) {
        return x->demand_slots > y->demand_slots ? -1 : 1;
    }
    return x->item - y->item;
}

/* Items without a ready copy first, then those with the fewest copies; among
 * equals a base before its adapters. */
static int
get_order(const PlaceState *state, int item)
{
    const PlaceItem *item_state = &state->items[item];
    int rank =
        item_state->ready_copies == 0 ? 0 : 1 + item_state->current_copies;

    return 2 * rank + (place_item(state, item)->base != NONE);
}

static int
collect_shortages(const PlaceState *state, Shortage *shortages)
{
    int count = 0;

    for (int i = 0; i < state->item_count; i++) {
        const PlaceItem *item_state = &state->items[i];
        if (place_needs_copy(item_state)) {
            shortages[count++] =
                (Shortage){i, get_order(state, i), item_state->demand_slots};
        }
    }
    qsort(shortages, (size_t)count, sizeof(Shortage), compare_shortages);
    return count;
}

static const char *
get_reason(const PlaceItem *item_state)
{
    if (item_state->ready_copies == 0) {
        return "no copy is ready";
    }
    return item_state->ready_current_copies == 0
               ? "no copy of the version in force is ready"
               : "fewer copies than the minimum";
}

/* which copies may be unloaded for the next copy of the item */
static PlaceEvictLevel
get_evict_level(const PlaceItem *item_state)
{
    if (item_state->ready_copies == 0) {
        return EVICT_ALL_BUT_LAST;
    }
    return item_state->current_copies == 0 ? EVICT_OLD : EVICT_REPLACED;
}

static void
load_missing_copies(PlaceState *state, int item)
{
    PlaceItem *item_state = &state->items[item];

    while (place_needs_copy(item_state)) {
        const char *why = get_reason(item_state);
        int up = place_pick_target(state, item);
        if (up == NONE) {
            state->making_room |=
                place_make_room(state, item, get_evict_level(item_state));
            return;
        }
        if (!place_plan_load(state, item, up, why)) {
            return;
        }
    }
}

void
place_ensure_min_copies(PlaceState *state)
{
    Shortage *shortages =
        BkMem_New((size_t)state->item_count, sizeof(Shortage));
    int count = collect_shortages(state, shortages);

    for (int i = 0; i < count && state->loads_left > 0; i++) {
        load_missing_copies(state, shortages[i].item);
    }
    free(shortages);
}

void
place_unload_old(PlaceState *state)
{
    int count = state->copy_count;

    for (int i = 0; i < count; i++) {
        if (!state->copies[i].current &&
            place_can_unload(state, i, EVICT_SURPLUS)) {
            place_plan_unload(state, i,
                              state->copies[i].item == NONE
                                  ? "the item is no longer in force"
                                  : "outdated by the version in force");
        }
    }
}
