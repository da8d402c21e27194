#include "state.h"

#include <math.h>
#include <stdlib.h>

enum {
    SHARE_ROUNDS = 6 /* enough for the split to settle */
};

void
BkDemand_Take(BkDemand *demand, const BkPlaceConf *conf, double requests,
              BkMs dt, BkMs now)
{
    if (requests > 0) {
        demand->last_request = now;
    }
    if (dt <= 0) {
        return;
    }
    double seconds = (double)dt / BK_MS_PER_S;
    double rate = requests / seconds;
    double speed = rate > demand->rate ? conf->rise : conf->fall;
    demand->rate += (rate - demand->rate) * (1 - exp(-speed * seconds));
}

/* A copy's weight is what its upstream has free without this item. */
static double
copy_weight(const PlaceState *state, const PlaceCopy *copy)
{
    const PlaceUp *up = &state->ups[copy->up];
    double fullness = up->slots > 0 ? up->use / up->slots : 1;

    return 1 / (0.05 + fullness * fullness);
}

static bool
takes_demand(const PlaceState *state, const PlaceCopy *copy)
{
    return copy->current && !copy->going && state->ups[copy->up].alive;
}

static void
share_item(const PlaceState *state, int item, double *use)
{
    double sum = 0;
    int first = state->items[item].first;

    for (int at = first; at != NONE; at = state->copies[at].next_of_item) {
        if (takes_demand(state, &state->copies[at])) {
            sum += copy_weight(state, &state->copies[at]);
        }
    }
    for (int at = first; at != NONE; at = state->copies[at].next_of_item) {
        const PlaceCopy *copy = &state->copies[at];
        if (takes_demand(state, copy)) {
            use[copy->up] +=
                state->items[item].demand * copy_weight(state, copy) / sum;
        }
    }
}

void
place_share_demand(PlaceState *state)
{
    double *use = BkMem_New((size_t)state->up_count, sizeof(double));

    for (int round = 0; round < SHARE_ROUNDS; round++) {
        for (int up = 0; up < state->up_count; up++) {
            use[up] = 0;
        }
        for (int item = 0; item < state->item_count; item++) {
            share_item(state, item, use);
        }
        for (int up = 0; up < state->up_count; up++) {
            double step = round == 0 ? 1 : 0.5;
            state->ups[up].use += step * (use[up] - state->ups[up].use);
        }
    }
    free(use);
}
