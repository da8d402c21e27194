/* copies that must be there whatever the demand, and those to be retired */
#include "state.h"

#include <stdlib.h>

typedef struct Want {
    int item;
    int class; /* the lost ones first, then the scarce ones */
    double demand;
} Want;

static int
compare_wants(const void *a, const void *b)
{
    const Want *x = a;
    const Want *y = b;

    if (x->class != y->class) {
        return x->class - y->class;
    }
    if (x->demand != y->demand) {
        return x->demand > y->demand ? -1 : 1;
    }
    return x->item - y->item;
}

/* Lost: no copy is ready. Among equals a base goes before its adapters. */
static int
want_class(const PlaceState *state, int index)
{
    const PlaceItem *item = &state->items[index];
    int scarcity = item->ready == 0 ? 0 : 1 + item->have;

    return 2 * scarcity + (place_item(state, index)->base != NONE);
}

static int
collect_wants(const PlaceState *state, Want *wants)
{
    int count = 0;

    for (int i = 0; i < state->item_count; i++) {
        const PlaceItem *item = &state->items[i];
        if (place_lacks(item)) {
            wants[count++] = (Want){i, want_class(state, i), item->demand};
        }
    }
    qsort(wants, (size_t)count, sizeof(Want), compare_wants);
    return count;
}

static const char *
reason(const PlaceItem *item)
{
    if (item->ready == 0) {
        return "no copy is ready";
    }
    return item->ready_current == 0 ? "version in force" : "least copies";
}

/* what may be given up for the next copy of the item */
static PlaceLevel
room_level(const PlaceItem *item)
{
    if (item->ready == 0) {
        return LEVEL_RESCUE;
    }
    return item->have == 0 ? LEVEL_SPARE : LEVEL_ROLL;
}

static void
supply(PlaceState *state, int index)
{
    PlaceItem *item = &state->items[index];

    while (place_lacks(item)) {
        const char *why = reason(item);
        int up = place_pick_target(state, index);
        if (up == NONE) {
            state->waiting |= place_make_room(state, index, room_level(item));
            return;
        }
        if (!place_plan_load(state, index, up, why)) {
            return;
        }
    }
}

void
place_needed(PlaceState *state)
{
    Want *wants = BkMem_New((size_t)state->item_count, sizeof(Want));
    int count = collect_wants(state, wants);

    for (int i = 0; i < count && state->loads_left > 0; i++) {
        supply(state, wants[i].item);
    }
    free(wants);
}

void
place_retire(PlaceState *state)
{
    int count = state->count;

    for (int i = 0; i < count; i++) {
        if (!state->copies[i].current &&
            place_can_unload(state, i, LEVEL_SURPLUS)) {
            place_plan_unload(state, i,
                              state->copies[i].item == NONE ? "not in force"
                                                            : "old version");
        }
    }
}
