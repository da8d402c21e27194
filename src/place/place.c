#include "state.h"

static void
apply_policy(PlaceState *state)
{
    switch (state->conf->policy) {
    case BK_PLACE_WEIGHED:
        place_weighted(state);
        break;
    case BK_PLACE_FIXED:
        break;
    case BK_PLACE_FOLLOW:
        place_follow(state);
        break;
    case BK_PLACE_LRU:
        place_lru(state);
        break;
    }
}

int
BkPlace_Decide(const BkPlaceConf *conf, const BkPlaceInput *input,
               BkMove *moves, int max)
{
    PlaceState state;

    place_state_init(&state, conf, input, moves, max);
    place_share_demand(&state);
    place_needed(&state);
    place_retire(&state);
    /* what must be there goes before what the demand would like */
    if (!state.waiting) {
        apply_policy(&state);
    }
    int count = state.move_count;
    place_state_destroy(&state);
    return count;
}
