/* loads copies for the demand where the gain over the horizon exceeds the cost
 * of the moves */
#include "state.h"

#include <math.h>
#include <stdlib.h>

/* a copy that serves more than this share of what a new one would serve is not
 * unloaded for it */
#define MAX_VICTIM_RATIO 0.25

/* gains are divided by this: estimates have errors, and the best of many is
 * likely an overestimate */
#define GAIN_MARGIN 2.0

/* a possible load and its gain */
typedef struct LoadOption {
    /* to load: the item, or its base if that is not on the upstream yet */
    int item;
    int up;
    /* additional answers on time over the horizon, weighted, less the cost
       of the moves */
    double gain;
    double served_slots; /* demand that the new copy would serve, in slots */
} LoadOption;

/*
 * Demand, in slots, whose requests cannot be answered on time when this many
 * slots are used: none up to the target, everything beyond the slots, and a
 * curve between them, since requests arrive at random and a deadline allows
 * only a short queue.
 */
static double
get_late_slots(const PlaceState *state, int up, double used_slots)
{
    double slots = state->ups[up].slots;
    double target = slots * state->conf->target_use;

    if (used_slots <= target) {
        return 0;
    }
    if (used_slots < slots) {
        return (used_slots - target) * (used_slots - target) /
               (2 * (slots - target));
    }
    return (slots - target) / 2 + used_slots - slots;
}

/* demand, in slots, that is no longer late once demand of removed_slots is
 * taken from up; a negative removed_slots adds demand to up, and the result is
 * then negative or 0 */
static double
get_saved_slots(const PlaceState *state, int up, double removed_slots)
{
    double used_slots = state->ups[up].used_slots;

    return get_late_slots(state, up, used_slots) -
           get_late_slots(state, up, used_slots - removed_slots);
}

static int
find_most_overloaded(const PlaceState *state, const bool *done)
{
    int best = NONE;
    double max_late_slots = 0;

    for (int up = 0; up < state->up_count; up++) {
        double late_slots =
            get_late_slots(state, up, state->ups[up].used_slots);
        if (state->ups[up].alive && !done[up] && late_slots > max_late_slots) {
            best = up;
            max_late_slots = late_slots;
        }
    }
    return best;
}

/* upper bound of the moves for a load on up: the load and, if memory is
 * missing, all unloads that are possible there; 0 if they do not suffice */
static int
count_moves(const PlaceState *state, uint64_t bytes, int up)
{
    const PlaceUp *upstream = &state->ups[up];
    int unloads;

    uint64_t available_bytes = upstream->free_bytes + upstream->freeing_bytes;
    if (available_bytes >= bytes) {
        return 1;
    }
    uint64_t evictable_bytes =
        place_evictable_bytes(state, up, EVICT_SURPLUS, &unloads);
    return available_bytes + evictable_bytes >= bytes ? 1 + unloads : 0;
}

/* demand, in slots, that a copy on the upstream up would serve: an equal share
 * of the item's demand, but at most so much that this upstream and the
 * overloaded one use the same number of slots */
static double
get_served_slots(const PlaceState *state, int item, int overloaded, int up)
{
    const PlaceItem *item_state = &state->items[item];
    double difference =
        state->ups[overloaded].used_slots - state->ups[up].used_slots;

    return fmin(item_state->demand_slots / (item_state->current_copies + 1),
                difference / 2);
}

/* additional demand, in slots, that would be answered on time */
static double
get_gained_slots(const PlaceState *state, int item, int up,
                 double served_slots)
{
    int current_copies = state->items[item].current_copies;
    double saved_slots = get_saved_slots(state, up, -served_slots);
    int i = state->items[item].first_copy;

    for (; i != NONE; i = state->copies[i].next_of_item) {
        const PlaceCopy *copy = &state->copies[i];
        if (copy->current && !copy->unloading && state->ups[copy->up].alive) {
            saved_slots += get_saved_slots(state, copy->up,
                                           served_slots / current_copies);
        }
    }
    return saved_slots;
}

/* Replaces best by a load of the item on up if that has a higher gain. */
static void
consider_target(PlaceState *state, int item, int overloaded, int up,
                LoadOption *best)
{
    const BkPlaceConf *conf = state->conf;
    const BkItem *spec = place_item(state, item);
    double slot_seconds = state->input->demand[item].slot_seconds;
    double served_slots = get_served_slots(state, item, overloaded, up);
    int load_item = item;

    if (served_slots <= 0 || slot_seconds <= 0 ||
        place_find_copy(state, item, up, true) != NONE) {
        return;
    }
    double horizon_s = (double)conf->horizon / BK_MS_PER_S;
    double gain = get_gained_slots(state, item, up, served_slots) /
                  slot_seconds * horizon_s * conf->attainment_weight /
                  GAIN_MARGIN;
    if (gain <= best->gain) {
        return;
    }
    uint64_t bytes = spec->bytes;
    if (spec->base != NONE &&
        place_find_copy(state, spec->base, up, true) == NONE) {
        load_item = spec->base;
        bytes += place_item(state, load_item)->bytes;
        gain -= conf->move_weight;
    }
    if (!place_can_load(state, load_item, up)) {
        return;
    }
    state->max_victim_slots = served_slots * MAX_VICTIM_RATIO;
    int moves = count_moves(state, bytes, up);
    gain -= moves * conf->move_weight;
    if (moves > 0 && gain > best->gain) {
        *best = (LoadOption){load_item, up, gain, served_slots};
    }
}

/* whether the item is an adapter whose base is being loaded somewhere, for
 * which it waits */
static bool
awaits_base(const PlaceState *state, int item)
{
    int base = place_item(state, item)->base;

    if (base == NONE) {
        return false;
    }
    int i = state->items[base].first_copy;
    for (; i != NONE; i = state->copies[i].next_of_item) {
        const PlaceCopy *copy = &state->copies[i];
        if (copy->current && !copy->unloading && !copy->ready &&
            state->ups[copy->up].usable) {
            return true;
        }
    }
    return false;
}

static LoadOption
find_best_option(PlaceState *state, int overloaded)
{
    LoadOption best = {NONE, NONE, 0, 0};
    int i = state->ups[overloaded].first_copy;

    for (; i != NONE; i = state->copies[i].next_on_up) {
        const PlaceCopy *copy = &state->copies[i];
        if (copy->item == NONE || !copy->current || copy->unloading ||
            awaits_base(state, copy->item)) {
            continue;
        }
        for (int up = 0; up < state->up_count; up++) {
            if (up != overloaded && state->ups[up].usable) {
                consider_target(state, copy->item, overloaded, up, &best);
            }
        }
    }
    return best;
}

/* Plans the load and returns true, or else plans unloads that free memory for
 * it. */
static bool
plan_option(PlaceState *state, const LoadOption *option)
{
    uint64_t bytes = place_item(state, option->item)->bytes;

    if (state->ups[option->up].free_bytes >= bytes) {
        return place_plan_load(state, option->item, option->up,
                               "demand exceeds capacity");
    }
    state->max_victim_slots = option->served_slots * MAX_VICTIM_RATIO;
    place_free_memory(state, option->up, bytes, EVICT_SURPLUS);
    return false;
}

void
place_load_by_gain(PlaceState *state)
{
    bool *done = BkMem_New((size_t)state->up_count, sizeof(bool));

    /* each round plans a load, or is the last one for its upstream */
    while (state->loads_left > 0) {
        int overloaded = find_most_overloaded(state, done);
        if (overloaded == NONE) {
            break;
        }
        LoadOption option = find_best_option(state, overloaded);
        if (option.item != NONE && plan_option(state, &option)) {
            place_spread_demand(state);
        }
        else {
            done[overloaded] = true;
        }
    }
    free(done);
}
