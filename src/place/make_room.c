/* selects targets of loads, and frees memory for them */
#include "state.h"

#include <string.h>

#define SAME_DOMAIN_COST 100.0
/* for a new base version on an upstream with its adapters */
#define ADAPTERS_BONUS 10.0
#define MEMORY_WEIGHT 0.5 /* memory use relative to slot use */

enum {
    SWAP_DEPTH = 2, /* longest chain of swaps that each prepare the next */
    /* memory is short if all engines together have less free than this many
     * times an item's bytes */
    MIN_FREE_FACTOR = 8
};

static double
get_memory_use(const PlaceState *state, int up)
{
    double memory = (double)state->input->bundle->upstreams[up].memory_bytes;

    return memory > 0 ? 1 - (double)state->ups[up].free_bytes / memory : 1;
}

/* whether the upstream has adapters whose base is this item */
static bool
has_adapters_of(const PlaceState *state, int item, int up)
{
    int i = state->ups[up].first_copy;

    for (; i != NONE; i = state->copies[i].next_on_up) {
        const PlaceCopy *copy = &state->copies[i];
        if (copy->item != NONE && !copy->unloading &&
            place_item(state, copy->item)->base == item) {
            return true;
        }
    }
    return false;
}

static double
get_target_cost(const PlaceState *state, int item, int up)
{
    const PlaceUp *upstream = &state->ups[up];
    double cost =
        upstream->slots > 0 ? upstream->used_slots / upstream->slots : 0;

    cost += MEMORY_WEIGHT * get_memory_use(state, up);
    if (place_has_copy_in_domain(state, item, place_domain(state, up), NONE)) {
        cost += SAME_DOMAIN_COST;
    }
    if (has_adapters_of(state, item, up)) {
        cost -= ADAPTERS_BONUS;
    }
    return cost;
}

int
place_pick_target(const PlaceState *state, int item)
{
    uint64_t bytes = place_item(state, item)->bytes;
    int best = NONE;
    double least_cost = 0;

    for (int up = 0; up < state->up_count; up++) {
        if (state->ups[up].free_bytes < bytes ||
            !place_can_load(state, item, up)) {
            continue;
        }
        double cost = get_target_cost(state, item, up);
        if (best == NONE || cost < least_cost) {
            best = up;
            least_cost = cost;
        }
    }
    return best;
}

uint64_t
place_evictable_bytes(const PlaceState *state, int up, PlaceEvictLevel level,
                      int *unloads)
{
    uint64_t bytes = 0;
    int i = state->ups[up].first_copy;

    *unloads = 0;
    for (; i != NONE; i = state->copies[i].next_on_up) {
        if (place_can_unload(state, i, level)) {
            bytes += state->copies[i].bytes;
            (*unloads)++;
        }
    }
    return bytes;
}

/* lowest first: not in force, old versions, then least demand per copy */
static double
get_copy_value(const PlaceState *state, const PlaceCopy *copy)
{
    if (copy->item == NONE || !copy->current) {
        return -1;
    }
    const PlaceItem *item = &state->items[copy->item];
    return item->demand / (item->ready_copies > 0 ? item->ready_copies : 1);
}

static int
pick_victim(const PlaceState *state, int up, PlaceEvictLevel level)
{
    int best = NONE;
    int i = state->ups[up].first_copy;

    for (; i != NONE; i = state->copies[i].next_on_up) {
        const PlaceCopy *copy = &state->copies[i];
        if (place_can_unload(state, i, level) &&
            (best == NONE ||
             get_copy_value(state, copy) <
                 get_copy_value(state, &state->copies[best]))) {
            best = i;
        }
    }
    return best;
}

/* Copies that are already being unloaded count as free memory. */
bool
place_free_memory(PlaceState *state, int up, uint64_t bytes,
                  PlaceEvictLevel level)
{
    while (state->ups[up].free_bytes + state->ups[up].freeing_bytes < bytes) {
        int victim = pick_victim(state, up, level);
        if (victim == NONE ||
            !place_plan_unload(state, victim, "makes room")) {
            return false;
        }
    }
    return true;
}

static bool
could_host(const PlaceState *state, int item, int up)
{
    return place_can_load(state, item, up) &&
           state->input->bundle->upstreams[up].memory_bytes >=
               place_item(state, item)->bytes;
}

/* the upstream with the lowest cost, mostly the one with the fewest unloads,
 * where unloads at this level free enough memory */
static int
pick_eviction_upstream(const PlaceState *state, int item,
                       PlaceEvictLevel level)
{
    uint64_t bytes = place_item(state, item)->bytes;
    int best = NONE;
    double least_cost = 0;

    for (int up = 0; up < state->up_count; up++) {
        const PlaceUp *upstream = &state->ups[up];
        int unloads;
        if (!could_host(state, item, up)) {
            continue;
        }
        uint64_t evictable_bytes =
            place_evictable_bytes(state, up, level, &unloads);
        if (evictable_bytes + upstream->free_bytes + upstream->freeing_bytes <
            bytes) {
            continue;
        }
        bool enough_pending =
            upstream->free_bytes + upstream->freeing_bytes >= bytes;
        double cost =
            get_target_cost(state, item, up) + (enough_pending ? 0 : unloads);
        if (best == NONE || cost < least_cost) {
            best = up;
            least_cost = cost;
        }
    }
    return best;
}

static bool
is_movable(const PlaceState *state, const PlaceCopy *copy)
{
    return copy->item != NONE && copy->loaded && copy->ready &&
           copy->current && !copy->unloading &&
           !has_adapters_of(state, copy->item, copy->up);
}

/* whether the item has surplus copies: loading another frees no memory */
static bool
has_surplus(const PlaceState *state, int item)
{
    return state->items[item].current_copies > state->items[item].min_copies;
}

/* whether a swap has begun: a copy on up is being loaded elsewhere, to be
 * unloaded here afterwards */
static bool
has_started_swap(const PlaceState *state, int up)
{
    int i = state->ups[up].first_copy;

    for (; i != NONE; i = state->copies[i].next_on_up) {
        const PlaceCopy *copy = &state->copies[i];
        if (is_movable(state, copy) &&
            state->items[copy->item].current_copies >
                state->items[copy->item].ready_current) {
            return true;
        }
    }
    return false;
}

static bool
is_better(const PlaceCopy *copy, const PlaceCopy *best, bool smallest)
{
    return best == NULL ||
           (smallest ? copy->bytes < best->bytes : copy->bytes > best->bytes);
}

/* loads another copy of an item on up elsewhere, so that the one on up can be
 * unloaded later: of those with at least min_bytes and a target, the smallest
 * or the largest */
static bool
start_copy_elsewhere(PlaceState *state, int up, uint64_t min_bytes,
                     bool smallest)
{
    const PlaceCopy *best = NULL;
    int target = NONE;
    int i = state->ups[up].first_copy;

    for (; i != NONE; i = state->copies[i].next_on_up) {
        const PlaceCopy *copy = &state->copies[i];
        if (!is_movable(state, copy) || has_surplus(state, copy->item) ||
            copy->bytes < min_bytes || !is_better(copy, best, smallest)) {
            continue;
        }
        int candidate = place_pick_target(state, copy->item);
        if (candidate != NONE && candidate != up) {
            best = copy;
            target = candidate;
        }
    }
    return best != NULL &&
           place_plan_load(state, best->item, target,
                           "replaces a copy elsewhere to make room");
}

/* swaps the smallest copy that frees the missing bytes */
static bool
start_swap(PlaceState *state, int up, uint64_t missing_bytes)
{
    return start_copy_elsewhere(state, up, missing_bytes, true);
}

/* swaps the largest copy that fits elsewhere, even if it frees too little */
static bool
start_partial_swap(PlaceState *state, int up)
{
    return start_copy_elsewhere(state, up, 0, false);
}

static uint64_t
get_free_bytes(const PlaceState *state)
{
    uint64_t sum = 0;

    for (int up = 0; up < state->up_count; up++) {
        sum += state->ups[up].usable ? state->ups[up].free_bytes : 0;
    }
    return sum;
}

static bool make_room(PlaceState *state, int item, PlaceEvictLevel level,
                      int depth);

/* frees memory elsewhere for a copy on up, so that it can be swapped later */
static bool
prepare_swap(PlaceState *state, int up, uint64_t missing_bytes, int depth)
{
    int i = state->ups[up].first_copy;

    for (; i != NONE; i = state->copies[i].next_on_up) {
        const PlaceCopy *copy = &state->copies[i];
        if (is_movable(state, copy) && !has_surplus(state, copy->item) &&
            copy->bytes >= missing_bytes && state->swap_tries_left-- > 0 &&
            make_room(state, copy->item, EVICT_SURPLUS, depth + 1)) {
            return true;
        }
    }
    return false;
}

/* swap methods; each is tried on every engine before the next */
typedef enum SwapMethod {
    SWAP_WAIT,    /* wait for a swap that has begun */
    SWAP_SINGLE,  /* swap one copy, which frees enough memory */
    SWAP_PREPARE, /* free memory elsewhere for such a copy */
    SWAP_PARTIAL, /* swap one of several copies that must be unloaded */
    SWAP_METHODS
} SwapMethod;

static bool
try_swap(PlaceState *state, int item, int up, SwapMethod method, int depth)
{
    const PlaceUp *upstream = &state->ups[up];
    int unloads;
    uint64_t available_bytes =
        upstream->free_bytes + upstream->freeing_bytes +
        place_evictable_bytes(state, up, EVICT_SURPLUS, &unloads);
    uint64_t bytes = place_item(state, item)->bytes;
    uint64_t missing_bytes =
        bytes > available_bytes ? bytes - available_bytes : 0;

    switch (method) {
    case SWAP_WAIT:
        return has_started_swap(state, up);
    case SWAP_SINGLE:
        return start_swap(state, up, missing_bytes);
    case SWAP_PREPARE:
        return prepare_swap(state, up, missing_bytes, depth);
    case SWAP_PARTIAL:
        return depth == 0 && start_partial_swap(state, up);
    case SWAP_METHODS:
        break;
    }
    return false;
}

static bool
make_room(PlaceState *state, int item, PlaceEvictLevel level, int depth)
{
    uint64_t bytes = place_item(state, item)->bytes;

    for (int i = EVICT_SURPLUS; i <= (int)level; i++) {
        int up = pick_eviction_upstream(state, item, (PlaceEvictLevel)i);
        if (up != NONE) {
            return place_free_memory(state, up, bytes, (PlaceEvictLevel)i);
        }
    }
    /* the attempts per decision are limited, so each decision starts at
     * another upstream */
    int start = (int)(state->input->now / BK_MS_PER_S % state->up_count);
    for (int method = 0; method < SWAP_METHODS && depth < SWAP_DEPTH;
         method++) {
        for (int i = 0; i < state->up_count; i++) {
            int up = (start + i) % state->up_count;
            if (could_host(state, item, up) &&
                try_swap(state, item, up, (SwapMethod)method, depth)) {
                return true;
            }
        }
    }
    return false;
}

bool
place_make_room(PlaceState *state, int item, PlaceEvictLevel level)
{
    uint64_t bytes = place_item(state, item)->bytes;

    /* for an additional copy, a swap is worth it only while memory is not
     * short */
    bool memory_is_short = get_free_bytes(state) < MIN_FREE_FACTOR * bytes;
    bool may_swap = state->items[item].current_copies == 0 || !memory_is_short;
    return make_room(state, item, level, may_swap ? 0 : SWAP_DEPTH);
}
