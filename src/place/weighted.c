/* copies for the demand: the gain over the horizon against the move price */
#include "state.h"

#include <math.h>
#include <stdlib.h>

#define WORTH_RATIO 0.25 /* what a copy may take, to give way to a new one */

#define GAIN_MARGIN 2.0 /* estimates err, and the best of many errs upwards */

/* what one load is for */
typedef struct Offer {
    int item; /* to load: the item, or the base that it needs there first */
    int up;
    double gain;  /* answers on time over the horizon, weighted, less moves */
    double slots; /* that the new copy would serve */
} Offer;

/*
 * Slots' worth of requests that cannot be on time at this use: none up to
 * the target, all that is beyond the slots, and between them a curve, for
 * requests come by chance and the queue that a deadline allows is short.
 */
static double
loss_at(const PlaceState *state, int up, double use)
{
    double slots = state->ups[up].slots;
    double target = slots * state->conf->target_use;

    if (use <= target) {
        return 0;
    }
    if (use < slots) {
        return (use - target) * (use - target) / (2 * (slots - target));
    }
    return (slots - target) / 2 + use - slots;
}

static double
relief(const PlaceState *state, int up, double slots)
{
    double use = state->ups[up].use;

    return loss_at(state, up, use) - loss_at(state, up, use - slots);
}

static int
find_hottest(const PlaceState *state, const bool *done)
{
    int best = NONE;
    double most = 0;

    for (int up = 0; up < state->up_count; up++) {
        double loss = loss_at(state, up, state->ups[up].use);
        if (state->ups[up].alive && !done[up] && loss > most) {
            best = up;
            most = loss;
        }
    }
    return best;
}

/* moves that a load there takes: itself and the unloads that make room;
 * 0 if it cannot be had */
static int
moves_needed(const PlaceState *state, uint64_t bytes, int up)
{
    const PlaceUp *place = &state->ups[up];
    int unloads;

    uint64_t coming = place->room + place->pending;
    if (coming >= bytes) {
        return 1;
    }
    uint64_t reach = place_evictable(state, up, LEVEL_SURPLUS, &unloads);
    return coming + reach >= bytes ? 1 + unloads : 0;
}

/* what a copy on up would serve: an equal share, but no more than makes up
 * as full as hot */
static double
slots_served(const PlaceState *state, int item, int hot, int up)
{
    const PlaceItem *want = &state->items[item];
    double gap = state->ups[hot].use - state->ups[up].use;

    return fmin(want->demand / (want->have + 1), gap / 2);
}

/* slots' worth of requests that would be on time besides */
static double
gain_of(const PlaceState *state, int item, int up, double slots)
{
    int have = state->items[item].have;
    double sum = relief(state, up, -slots);
    int at = state->items[item].first;

    for (; at != NONE; at = state->copies[at].next_of_item) {
        const PlaceCopy *copy = &state->copies[at];
        if (copy->current && !copy->going && state->ups[copy->up].alive) {
            sum += relief(state, copy->up, slots / have);
        }
    }
    return sum;
}

static void
weigh_target(PlaceState *state, int item, int hot, int up, Offer *best)
{
    const BkPlaceConf *conf = state->conf;
    const BkItem *spec = place_item(state, item);
    double work = state->in->demand[item].work;
    double slots = slots_served(state, item, hot, up);
    int load = item;

    if (slots <= 0 || work <= 0 || place_find(state, item, up, true) != NONE) {
        return;
    }
    double horizon = (double)conf->horizon / BK_MS_PER_S;
    double gain = gain_of(state, item, up, slots) / work * horizon *
                  conf->attainment_weight / GAIN_MARGIN;
    if (gain <= best->gain) {
        return;
    }
    uint64_t bytes = spec->bytes;
    if (spec->base != NONE &&
        place_find(state, spec->base, up, true) == NONE) {
        load = spec->base;
        bytes += place_item(state, load)->bytes;
        gain -= conf->move_weight;
    }
    if (!place_accepts(state, load, up)) {
        return;
    }
    state->spare_worth = slots * WORTH_RATIO;
    int moves = moves_needed(state, bytes, up);
    gain -= moves * conf->move_weight;
    if (moves > 0 && gain > best->gain) {
        *best = (Offer){load, up, gain, slots};
    }
}

/* an adapter whose base is on its way somewhere waits for it */
static bool
awaits_base(const PlaceState *state, int item)
{
    int base = place_item(state, item)->base;

    if (base == NONE) {
        return false;
    }
    int at = state->items[base].first;
    for (; at != NONE; at = state->copies[at].next_of_item) {
        const PlaceCopy *copy = &state->copies[at];
        if (copy->current && !copy->going && !copy->ready &&
            state->ups[copy->up].usable) {
            return true;
        }
    }
    return false;
}

static Offer
find_offer(PlaceState *state, int hot)
{
    Offer best = {NONE, NONE, 0, 0};
    int at = state->ups[hot].first;

    for (; at != NONE; at = state->copies[at].next_on_up) {
        const PlaceCopy *copy = &state->copies[at];
        if (copy->item == NONE || !copy->current || copy->going ||
            awaits_base(state, copy->item)) {
            continue;
        }
        for (int up = 0; up < state->up_count; up++) {
            if (up != hot && state->ups[up].usable) {
                weigh_target(state, copy->item, hot, up, &best);
            }
        }
    }
    return best;
}

/* returns whether the load was ordered; else its room is being made */
static bool
accept_offer(PlaceState *state, const Offer *offer)
{
    uint64_t bytes = place_item(state, offer->item)->bytes;

    if (state->ups[offer->up].room >= bytes) {
        return place_plan_load(state, offer->item, offer->up, "demand");
    }
    state->spare_worth = offer->slots * WORTH_RATIO;
    place_evict(state, offer->up, bytes, LEVEL_SURPLUS);
    return false;
}

void
place_weighted(PlaceState *state)
{
    bool *done = BkMem_New((size_t)state->up_count, sizeof(bool));

    /* each round orders a load or is the last one of its upstream */
    while (state->loads_left > 0) {
        int hot = find_hottest(state, done);
        if (hot == NONE) {
            break;
        }
        Offer offer = find_offer(state, hot);
        if (offer.item != NONE && accept_offer(state, &offer)) {
            place_share_demand(state);
        }
        else {
            done[hot] = true;
        }
    }
    free(done);
}
