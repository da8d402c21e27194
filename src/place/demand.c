#include "state.h"

#include <math.h>
#include <stdlib.h>

/* each round after the first moves the used slots of an upstream this share of
 * the way to the newly computed ones */
#define SPREAD_STEP 0.5
/* added to the squared utilization: copies with a utilization below about 0.2
 * get nearly equal demand */
#define SQUARED_UTILIZATION_OFFSET 0.05
#define RISE_DEVIATIONS 3.0
/* requests a second; for a lower rate, the standard deviation is computed as
 * for this one */
#define MIN_DEVIATION_RATE 0.25

enum {
    SPREAD_ROUNDS = 6 /* enough for the spread to converge */
};

static double
smooth(double value, double sample, double speed, double seconds)
{
    return value + (sample - value) * (1 - exp(-speed * seconds));
}

/* Requests arrive at random, so the fast rate varies around the true one. Only
 * a value beyond RISE_DEVIATIONS standard deviations counts as a rise. A rate
 * that followed every random peak and fell slowly would stay at the peaks. */
void
BkDemand_Update(BkDemand *demand, const BkPlaceConf *conf, double requests,
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
    demand->fast_rate =
        smooth(demand->fast_rate, sample, conf->rise_smoothing, seconds);
    demand->rate = smooth(demand->rate, sample, conf->fall_smoothing, seconds);
    /* standard deviation of the fast rate if requests arrive independently */
    double deviation = sqrt(fmax(demand->rate, MIN_DEVIATION_RATE) *
                            conf->rise_smoothing / 2);
    if (demand->fast_rate > demand->rate + RISE_DEVIATIONS * deviation) {
        demand->rate = demand->fast_rate;
    }
}

/* Routing prefers copies with less load, so those get more of the demand. */
static double
copy_weight(const PlaceState *state, const PlaceCopy *copy)
{
    const PlaceUp *upstream = &state->ups[copy->up];
    double utilization =
        upstream->slots > 0 ? upstream->used_slots / upstream->slots : 1;

    return 1 / (SQUARED_UTILIZATION_OFFSET + utilization * utilization);
}

static bool
serves_demand(const PlaceState *state, const PlaceCopy *copy)
{
    return copy->current && !copy->unloading && state->ups[copy->up].alive;
}

static void
spread_item(const PlaceState *state, int item, double *used_slots)
{
    double total_weight = 0;
    int first = state->items[item].first_copy;

    for (int i = first; i != NONE; i = state->copies[i].next_of_item) {
        if (serves_demand(state, &state->copies[i])) {
            total_weight += copy_weight(state, &state->copies[i]);
        }
    }
    for (int i = first; i != NONE; i = state->copies[i].next_of_item) {
        const PlaceCopy *copy = &state->copies[i];
        if (serves_demand(state, copy)) {
            used_slots[copy->up] += state->items[item].demand_slots *
                                    copy_weight(state, copy) / total_weight;
        }
    }
}

void
place_spread_demand(PlaceState *state)
{
    double *used_slots = BkMem_New((size_t)state->up_count, sizeof(double));

    for (int round = 0; round < SPREAD_ROUNDS; round++) {
        for (int up = 0; up < state->up_count; up++) {
            used_slots[up] = 0;
        }
        for (int item = 0; item < state->item_count; item++) {
            spread_item(state, item, used_slots);
        }
        for (int up = 0; up < state->up_count; up++) {
            double step = round == 0 ? 1 : SPREAD_STEP;
            state->ups[up].used_slots +=
                step * (used_slots[up] - state->ups[up].used_slots);
        }
    }
    free(used_slots);
}
