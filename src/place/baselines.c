/* simple baseline policies to compare the weighted one with */
#include "state.h"

#include <math.h>
#include <stdlib.h>

static int
copies_for_demand(const PlaceState *state, int item)
{
    const PlaceItem *item_state = &state->items[item];
    double slots = 0;

    for (int up = 0; up < state->up_count; up++) {
        slots = fmax(slots, state->ups[up].slots);
    }
    if (slots <= 0) {
        return item_state->min_copies;
    }
    int copies = (int)ceil(item_state->demand_slots /
                           (slots * state->conf->target_use));
    return copies > item_state->min_copies ? copies : item_state->min_copies;
}

static void
unload_surplus(PlaceState *state, int item, int wanted)
{
    PlaceItem *item_state = &state->items[item];
    int i = item_state->first_copy;

    for (; i != NONE && item_state->ready_current_copies > wanted;
         i = state->copies[i].next_of_item) {
        if (state->copies[i].current &&
            place_can_unload(state, i, EVICT_SURPLUS)) {
            place_plan_unload(state, i, "demand fell");
        }
    }
}

void
place_follow_demand(PlaceState *state)
{
    for (int i = 0; i < state->item_count; i++) {
        if (place_item(state, i)->kind == BK_ITEM_SERVICE) {
            continue;
        }
        int wanted = copies_for_demand(state, i);
        unload_surplus(state, i, wanted);
        while (state->items[i].current_copies < wanted) {
            int up = place_pick_target(state, i);
            if (up == NONE || !place_plan_load(state, i, up, "demand rose")) {
                break;
            }
        }
    }
}

/* the surplus copy on up whose item had its last request longest ago, before
 * max_last_request */
static int
find_lru_surplus(const PlaceState *state, int up, BkMs max_last_request)
{
    int best = NONE;
    int i = state->ups[up].first_copy;

    for (; i != NONE; i = state->copies[i].next_on_up) {
        int item = state->copies[i].item;
        if (item == NONE || !place_can_unload(state, i, EVICT_SURPLUS)) {
            continue;
        }
        BkMs last = state->input->demand[item].last_request;
        if (last < max_last_request) {
            best = i;
            max_last_request = last;
        }
    }
    return best;
}

static bool
lacks_capacity(const PlaceState *state, int item)
{
    int i = state->items[item].first_copy;

    for (; i != NONE; i = state->copies[i].next_of_item) {
        const PlaceCopy *copy = &state->copies[i];
        const PlaceUp *upstream = &state->ups[copy->up];
        if (copy->current && !copy->unloading && upstream->alive &&
            upstream->used_slots < upstream->slots * state->conf->target_use) {
            return false;
        }
    }
    return true;
}

static void
load_on_demand(PlaceState *state, int item)
{
    BkMs last = state->input->demand[item].last_request;
    int up = place_pick_target(state, item);

    if (up != NONE) {
        place_plan_load(state, item, up, "requested");
        return;
    }
    for (up = 0; up < state->up_count; up++) {
        int victim = find_lru_surplus(state, up, last);
        if (place_can_load(state, item, up) && victim != NONE) {
            place_plan_unload(state, victim, "least recently used");
            return;
        }
    }
}

void
place_lru(PlaceState *state)
{
    for (int i = 0; i < state->item_count && state->loads_left > 0; i++) {
        bool has_recent_request =
            state->input->now - state->input->demand[i].last_request <=
            BK_MS_PER_S;
        if (place_item(state, i)->kind != BK_ITEM_SERVICE &&
            has_recent_request && lacks_capacity(state, i)) {
            load_on_demand(state, i);
        }
    }
}
