#include "state.h"

static void
apply_policy(PlaceState *state)
{
    switch (state->conf->policy) {
    case BK_PLACE_WEIGHTED:
        place_load_by_gain(state);
        break;
    case BK_PLACE_FIXED:
        break;
    case BK_PLACE_FOLLOW:
        place_follow_demand(state);
        break;
    case BK_PLACE_LRU:
        place_lru(state);
        break;
    }
}

int
BkPlace_Decide(const BkPlaceConf *conf, const BkPlaceInput *input,
               BkPlaceMove *moves, int max)
{
    PlaceState state;

    place_state_init(&state, conf, input, moves, max);
    place_spread_demand(&state);
    place_ensure_min_copies(&state);
    place_unload_old(&state);
    /* required copies come before copies for the demand */
    if (!state.making_room) {
        apply_policy(&state);
    }
    int count = state.move_count;
    place_state_destroy(&state);
    return count;
}
