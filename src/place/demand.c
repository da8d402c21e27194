#include "state.h"

#include <math.h>
#include <stdlib.h>

#define SHARE_STEP 0.5
#define FLAT 0.05 /* below this use, copies are as good as each other */
#define RISE_DEVIATIONS 3.0
#define LEAST_RATE 0.25 /* requests a second that count as chance */

enum {
    SHARE_ROUNDS = 6 /* enough for the split to settle */
};

static double
smooth(double value, double sample, double speed, double seconds)
{
    return value + (sample - value) * (1 - exp(-speed * seconds));
}

/* Requests come by chance, so the fast rate swings about the true one; only
 * what is beyond that swing is a rise. A rate that followed each swing up
 * and fell slowly would stay at the peaks. */
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
    double sample = requests / seconds;
    demand->fast = smooth(demand->fast, sample, conf->rise, seconds);
    demand->rate = smooth(demand->rate, sample, conf->fall, seconds);
    double swing = sqrt(fmax(demand->rate, LEAST_RATE) * conf->rise / 2);
    if (demand->fast > demand->rate + RISE_DEVIATIONS * swing) {
        demand->rate = demand->fast;
    }
}

/* Routing compares the load of copies, so the emptier one gets more. */
static double
copy_weight(const PlaceState *state, const PlaceCopy *copy)
{
    const PlaceUp *up = &state->ups[copy->up];
    double fullness = up->slots > 0 ? up->use / up->slots : 1;

    return 1 / (FLAT + fullness * fullness);
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
            double step = round == 0 ? 1 : SHARE_STEP;
            state->ups[up].use += step * (use[up] - state->ups[up].use);
        }
    }
    free(use);
}
