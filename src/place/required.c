/* loads that are needed regardless of demand, and unloads of old copies */
#include "state.h"

#include <stdlib.h>

typedef struct Shortage {
    int item;
    int priority; /* lower first: items without a ready copy, then those with
                     the fewest copies */
    double demand;
} Shortage;

static int
compare_shortages(const void *a, const void *b)
{
    const Shortage *x = a;
    const Shortage *y = b;

    if (x->priority != y->priority) {
        return x->priority - y->priority;
    }
    if (x->demand != y->demand) {
        return x->demand > y->demand ? -1 : 1;
    }
    return x->item - y->item;
}

/* Items without a ready copy first, then those with the fewest copies; among
 * equals a base before its adapters. */
static int
get_priority(const PlaceState *state, int index)
{
    const PlaceItem *item = &state->items[index];
    int rank = item->ready_copies == 0 ? 0 : 1 + item->current_copies;

    return 2 * rank + (place_item(state, index)->base != NONE);
}

static int
collect_shortages(const PlaceState *state, Shortage *shortages)
{
    int count = 0;

    for (int i = 0; i < state->item_count; i++) {
        const PlaceItem *item = &state->items[i];
        if (place_needs_copy(item)) {
            shortages[count++] =
                (Shortage){i, get_priority(state, i), item->demand};
        }
    }
    qsort(shortages, (size_t)count, sizeof(Shortage), compare_shortages);
    return count;
}

static const char *
get_reason(const PlaceItem *item)
{
    if (item->ready_copies == 0) {
        return "no copy is ready";
    }
    return item->ready_current == 0 ? "version in force" : "minimum copies";
}

/* which copies may be unloaded for the next copy of the item */
static PlaceEvictLevel
get_evict_level(const PlaceItem *item)
{
    if (item->ready_copies == 0) {
        return EVICT_ALL_BUT_LAST;
    }
    return item->current_copies == 0 ? EVICT_OLD : EVICT_REPLACED;
}

static void
load_missing_copies(PlaceState *state, int index)
{
    PlaceItem *item = &state->items[index];

    while (place_needs_copy(item)) {
        const char *why = get_reason(item);
        int up = place_pick_target(state, index);
        if (up == NONE) {
            state->making_room |=
                place_make_room(state, index, get_evict_level(item));
            return;
        }
        if (!place_plan_load(state, index, up, why)) {
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
                              state->copies[i].item == NONE ? "not in force"
                                                            : "old version");
        }
    }
}
