/* simple policies that the weighted one is measured against */
#include "state.h"

#include <math.h>
#include <stdlib.h>

static int
copies_for_demand(const PlaceState *state, int index)
{
    const PlaceItem *item = &state->items[index];
    double slots = 0;

    for (int up = 0; up < state->up_count; up++) {
        slots = fmax(slots, state->ups[up].slots);
    }
    if (slots <= 0) {
        return item->least;
    }
    int copies = (int)ceil(item->demand / (slots * state->conf->target_use));
    return copies > item->least ? copies : item->least;
}

static void
drop_surplus(PlaceState *state, int index, int wanted)
{
    PlaceItem *item = &state->items[index];
    int at = item->first;

    for (; at != NONE && item->ready_current > wanted;
         at = state->copies[at].next_of_item) {
        if (state->copies[at].current &&
            place_can_unload(state, at, LEVEL_SURPLUS)) {
            place_plan_unload(state, at, "demand fell");
        }
    }
}

void
place_follow(PlaceState *state)
{
    for (int i = 0; i < state->item_count; i++) {
        if (place_item(state, i)->kind == BK_ITEM_SERVICE) {
            continue;
        }
        int wanted = copies_for_demand(state, i);
        drop_surplus(state, i, wanted);
        while (state->items[i].have < wanted) {
            int up = place_pick_target(state, i);
            if (up == NONE || !place_plan_load(state, i, up, "demand rose")) {
                break;
            }
        }
    }
}

/* the surplus copy on up whose item was asked for longest ago */
static int
oldest_surplus(const PlaceState *state, int up, BkMs before)
{
    int best = NONE;
    int at = state->ups[up].first;

    for (; at != NONE; at = state->copies[at].next_on_up) {
        int item = state->copies[at].item;
        if (item == NONE || !place_can_unload(state, at, LEVEL_SURPLUS)) {
            continue;
        }
        BkMs last = state->in->demand[item].last_request;
        if (last < before) {
            best = at;
            before = last;
        }
    }
    return best;
}

static bool
is_short(const PlaceState *state, int index)
{
    int at = state->items[index].first;

    for (; at != NONE; at = state->copies[at].next_of_item) {
        const PlaceCopy *copy = &state->copies[at];
        const PlaceUp *up = &state->ups[copy->up];
        if (copy->current && !copy->going && up->alive &&
            up->use < up->slots * state->conf->target_use) {
            return false;
        }
    }
    return true;
}

static void
load_on_demand(PlaceState *state, int index)
{
    BkMs last = state->in->demand[index].last_request;
    int up = place_pick_target(state, index);

    if (up != NONE) {
        place_plan_load(state, index, up, "asked for");
        return;
    }
    for (up = 0; up < state->up_count; up++) {
        int victim = oldest_surplus(state, up, last);
        if (place_accepts(state, index, up) && victim != NONE) {
            place_plan_unload(state, victim, "least recently used");
            return;
        }
    }
}

void
place_lru(PlaceState *state)
{
    for (int i = 0; i < state->item_count && state->loads_left > 0; i++) {
        bool asked =
            state->in->now - state->in->demand[i].last_request <= BK_MS_PER_S;
        if (place_item(state, i)->kind != BK_ITEM_SERVICE && asked &&
            is_short(state, i)) {
            load_on_demand(state, i);
        }
    }
}
