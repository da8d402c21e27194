/* targets of loads, and room made for them */
#include "state.h"

#include <string.h>

#define SAME_DOMAIN_COST 100.0
#define KEEP_ADAPTERS_WORTH 10.0 /* new base version beside its adapters */
#define MEMORY_WEIGHT 0.5        /* of memory use against slot use */

enum {
    SWAP_DEPTH = 2, /* swaps that prepare each other */
    ROOMY = 8       /* times an item's bytes that are free in all */
};

static double
memory_use(const PlaceState *state, int up)
{
    double memory = (double)state->in->bundle->upstreams[up].memory;

    return memory > 0 ? 1 - (double)state->ups[up].room / memory : 1;
}

/* adapters on the upstream whose base this item is */
static bool
has_adapters_of(const PlaceState *state, int item, int up)
{
    int at = state->ups[up].first;

    for (; at != NONE; at = state->copies[at].next_on_up) {
        const PlaceCopy *copy = &state->copies[at];
        if (copy->item != NONE && !copy->going &&
            place_item(state, copy->item)->base == item) {
            return true;
        }
    }
    return false;
}

static double
target_cost(const PlaceState *state, int item, int up)
{
    const PlaceUp *place = &state->ups[up];
    double cost = place->slots > 0 ? place->use / place->slots : 0;

    cost += MEMORY_WEIGHT * memory_use(state, up);
    if (place_in_domain(state, item, place_domain(state, up), NONE)) {
        cost += SAME_DOMAIN_COST;
    }
    if (has_adapters_of(state, item, up)) {
        cost -= KEEP_ADAPTERS_WORTH;
    }
    return cost;
}

int
place_pick_target(const PlaceState *state, int item)
{
    uint64_t bytes = place_item(state, item)->bytes;
    int best = NONE;
    double least = 0;

    for (int up = 0; up < state->up_count; up++) {
        if (state->ups[up].room < bytes || !place_accepts(state, item, up)) {
            continue;
        }
        double cost = target_cost(state, item, up);
        if (best == NONE || cost < least) {
            best = up;
            least = cost;
        }
    }
    return best;
}

uint64_t
place_evictable(const PlaceState *state, int up, PlaceLevel level, int *moves)
{
    uint64_t bytes = 0;
    int at = state->ups[up].first;

    *moves = 0;
    for (; at != NONE; at = state->copies[at].next_on_up) {
        if (place_can_unload(state, at, level)) {
            bytes += state->copies[at].bytes;
            (*moves)++;
        }
    }
    return bytes;
}

/* least wanted first: not in force, old, then least demanded per byte */
static double
copy_worth(const PlaceState *state, const PlaceCopy *copy)
{
    if (copy->item == NONE || !copy->current) {
        return -1;
    }
    const PlaceItem *item = &state->items[copy->item];
    return item->demand / (item->ready > 0 ? item->ready : 1);
}

static int
pick_victim(const PlaceState *state, int up, PlaceLevel level)
{
    int best = NONE;
    int at = state->ups[up].first;

    for (; at != NONE; at = state->copies[at].next_on_up) {
        const PlaceCopy *copy = &state->copies[at];
        if (place_can_unload(state, at, level) &&
            (best == NONE || copy_worth(state, copy) <
                                 copy_worth(state, &state->copies[best]))) {
            best = at;
        }
    }
    return best;
}

/* unloads until the item will fit; what is being unloaded counts */
bool
place_evict(PlaceState *state, int up, uint64_t bytes, PlaceLevel level)
{
    while (state->ups[up].room + state->ups[up].pending < bytes) {
        int victim = pick_victim(state, up, level);
        if (victim == NONE ||
            !place_plan_unload(state, victim, "makes room")) {
            return false;
        }
    }
    return true;
}

static bool
may_host(const PlaceState *state, int item, int up)
{
    return place_accepts(state, item, up) &&
           state->in->bundle->upstreams[up].memory >=
               place_item(state, item)->bytes;
}

/* the upstream where the fewest unloads make enough room */
static int
pick_eviction(const PlaceState *state, int item, PlaceLevel level)
{
    uint64_t bytes = place_item(state, item)->bytes;
    int best = NONE;
    double least = 0;

    for (int up = 0; up < state->up_count; up++) {
        const PlaceUp *place = &state->ups[up];
        int moves;
        if (!may_host(state, item, up)) {
            continue;
        }
        uint64_t reach = place_evictable(state, up, level, &moves);
        if (reach + place->room + place->pending < bytes) {
            continue;
        }
        bool waits = place->room + place->pending >= bytes;
        double cost = target_cost(state, item, up) + (waits ? 0 : moves);
        if (best == NONE || cost < least) {
            best = up;
            least = cost;
        }
    }
    return best;
}

static bool
is_movable(const PlaceState *state, const PlaceCopy *copy)
{
    return copy->item != NONE && copy->loaded && copy->ready &&
           copy->current && !copy->going &&
           !has_adapters_of(state, copy->item, copy->up);
}

/* one more copy of it would make no more room */
static bool
has_surplus(const PlaceState *state, int item)
{
    return state->items[item].have > state->items[item].least;
}

/* a copy on up that is being made elsewhere, and will go from here */
static bool
awaits_swap(const PlaceState *state, int up)
{
    int at = state->ups[up].first;

    for (; at != NONE; at = state->copies[at].next_on_up) {
        const PlaceCopy *copy = &state->copies[at];
        if (is_movable(state, copy) &&
            state->items[copy->item].have >
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

/* a copy on up of at least so many bytes is made elsewhere, to be unloaded
   from up later: the smallest one that has a target, or the largest */
static bool
start_move(PlaceState *state, int up, uint64_t least, bool smallest)
{
    const PlaceCopy *best = NULL;
    int target = NONE;
    int at = state->ups[up].first;

    for (; at != NONE; at = state->copies[at].next_on_up) {
        const PlaceCopy *copy = &state->copies[at];
        if (!is_movable(state, copy) || has_surplus(state, copy->item) ||
            copy->bytes < least || !is_better(copy, best, smallest)) {
            continue;
        }
        int found = place_pick_target(state, copy->item);
        if (found != NONE && found != up) {
            best = copy;
            target = found;
        }
    }
    return best != NULL && place_plan_load(state, best->item, target,
                                           "swaps places to make room");
}

/* a swap: the smallest copy that frees what is missing */
static bool
start_swap(PlaceState *state, int up, uint64_t missing)
{
    return start_move(state, up, missing, true);
}

/* the largest copy that fits elsewhere, though it does not free enough */
static bool
start_part(PlaceState *state, int up)
{
    return start_move(state, up, 0, false);
}

static uint64_t
free_room(const PlaceState *state)
{
    uint64_t sum = 0;

    for (int up = 0; up < state->up_count; up++) {
        sum += state->ups[up].usable ? state->ups[up].room : 0;
    }
    return sum;
}

static bool make_room(PlaceState *state, int item, PlaceLevel level,
                      int depth);

/* room elsewhere for something on up, so that it can be swapped then */
static bool
prepare_swap(PlaceState *state, int up, uint64_t missing, int depth)
{
    int at = state->ups[up].first;

    for (; at != NONE; at = state->copies[at].next_on_up) {
        const PlaceCopy *copy = &state->copies[at];
        if (is_movable(state, copy) && !has_surplus(state, copy->item) &&
            copy->bytes >= missing && state->swap_tries-- > 0 &&
            make_room(state, copy->item, LEVEL_SURPLUS, depth + 1)) {
            return true;
        }
    }
    return false;
}

/* the ways to swap, each tried on every engine before the next */
typedef enum SwapWay {
    SWAP_WAIT,    /* for one that has begun */
    SWAP_ONE,     /* one copy goes, and there is room */
    SWAP_PREPARE, /* room elsewhere for such a copy */
    SWAP_PART,    /* one of several copies that must go */
    SWAP_WAYS
} SwapWay;

static bool
try_swap(PlaceState *state, int item, int up, SwapWay way, int depth)
{
    const PlaceUp *place = &state->ups[up];
    int moves;
    uint64_t reach = place->room + place->pending +
                     place_evictable(state, up, LEVEL_SURPLUS, &moves);
    uint64_t bytes = place_item(state, item)->bytes;
    uint64_t missing = bytes > reach ? bytes - reach : 0;

    switch (way) {
    case SWAP_WAIT:
        return awaits_swap(state, up);
    case SWAP_ONE:
        return start_swap(state, up, missing);
    case SWAP_PREPARE:
        return prepare_swap(state, up, missing, depth);
    case SWAP_PART:
        return depth == 0 && start_part(state, up);
    case SWAP_WAYS:
        break;
    }
    return false;
}

static bool
make_room(PlaceState *state, int item, PlaceLevel level, int depth)
{
    uint64_t bytes = place_item(state, item)->bytes;

    for (int i = LEVEL_SURPLUS; i <= (int)level; i++) {
        int up = pick_eviction(state, item, (PlaceLevel)i);
        if (up != NONE) {
            return place_evict(state, up, bytes, (PlaceLevel)i);
        }
    }
    /* the tries of a decision are limited, so each begins elsewhere */
    int start = (int)(state->in->now / BK_MS_PER_S % state->up_count);
    for (int way = 0; way < SWAP_WAYS && depth < SWAP_DEPTH; way++) {
        for (int i = 0; i < state->up_count; i++) {
            int up = (start + i) % state->up_count;
            if (may_host(state, item, up) &&
                try_swap(state, item, up, (SwapWay)way, depth)) {
                return true;
            }
        }
    }
    return false;
}

bool
place_make_room(PlaceState *state, int item, PlaceLevel level)
{
    uint64_t bytes = place_item(state, item)->bytes;

    /* for one copy more, a swap pays only while memory is not short */
    bool short_of = free_room(state) < ROOMY * bytes;
    bool may_swap = state->items[item].have == 0 || !short_of;
    return make_room(state, item, level, may_swap ? 0 : SWAP_DEPTH);
}
