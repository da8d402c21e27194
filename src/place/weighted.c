/* copies for the demand: the gain over the horizon against the move price */
#include "state.h"

#include <math.h>
#include <stdlib.h>

/* what one load is for */
typedef struct Offer {
    int item;
    int up;
    double gain; /* answers on time over the horizon, weighted, less moves */
} Offer;

static double
capacity(const PlaceState *state, int up)
{
    return state->ups[up].slots * state->conf->target_use;
}

static double
overload(const PlaceState *state, int up)
{
    return fmax(0, state->ups[up].use - capacity(state, up));
}

static int
find_hottest(const PlaceState *state, const bool *done)
{
    int best = NONE;

    for (int up = 0; up < state->up_count; up++) {
        if (state->ups[up].alive && !done[up] && overload(state, up) > 0 &&
            (best == NONE || overload(state, up) > overload(state, best))) {
            best = up;
        }
    }
    return best;
}

/* moves that a load there takes: itself and the unloads that make room;
 * 0 if it cannot be had */
static int
moves_needed(const PlaceState *state, int item, int up)
{
    const PlaceUp *place = &state->ups[up];
    uint64_t bytes = place_item(state, item)->bytes;
    int unloads;

    if (place->room >= bytes) {
        return 1;
    }
    if (place->pending > 0) {
        return 0;
    }
    uint64_t reach = place_evictable(state, up, LEVEL_SURPLUS, &unloads);
    return place->room + reach >= bytes ? 1 + unloads : 0;
}

/* Requests a second that a copy of the item on up would take off hot. */
static double
relief(const PlaceState *state, int item, int hot, int up)
{
    const PlaceItem *want = &state->items[item];
    double work = state->in->demand[item].work;
    double room = capacity(state, up) - state->ups[up].use;
    double share = want->demand / (want->have + 1);
    double slots = fmin(fmin(share, overload(state, hot)), room);

    return work > 0 && slots > 0 ? slots / work : 0;
}

static void
weigh_target(const PlaceState *state, int item, int hot, int up, Offer *best)
{
    const BkPlaceConf *conf = state->conf;
    double rate = relief(state, item, hot, up);

    if (rate <= 0 || !place_accepts(state, item, up)) {
        return;
    }
    int moves = moves_needed(state, item, up);
    if (moves == 0) {
        return;
    }
    double gain =
        rate * (double)conf->horizon / BK_MS_PER_S * conf->attainment_weight -
        moves * conf->move_weight;
    bool cooler = best->up != NONE && gain == best->gain &&
                  state->ups[up].use < state->ups[best->up].use;
    if (gain > best->gain || cooler) {
        *best = (Offer){item, up, gain};
    }
}

static Offer
find_offer(const PlaceState *state, int hot)
{
    Offer best = {NONE, NONE, 0};
    int at = state->ups[hot].first;

    for (; at != NONE; at = state->copies[at].next_on_up) {
        const PlaceCopy *copy = &state->copies[at];
        if (copy->item == NONE || !copy->current || copy->going) {
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

/* false when the answer is full */
static bool
accept_offer(PlaceState *state, const Offer *offer)
{
    uint64_t bytes = place_item(state, offer->item)->bytes;

    if (state->ups[offer->up].room < bytes) {
        return place_make_room(state, offer->item, LEVEL_SURPLUS);
    }
    return place_plan_load(state, offer->item, offer->up, "demand");
}

void
place_weighted(PlaceState *state)
{
    bool *done = BkMem_New((size_t)state->up_count, sizeof(bool));

    while (state->loads_left > 0) {
        int hot = find_hottest(state, done);
        if (hot == NONE) {
            break;
        }
        Offer offer = find_offer(state, hot);
        if (offer.item == NONE) {
            done[hot] = true;
            continue;
        }
        if (!accept_offer(state, &offer)) {
            break;
        }
        place_share_demand(state);
    }
    free(done);
}
