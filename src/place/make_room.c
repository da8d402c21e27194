/* selects targets of loads, and frees memory for them */
#include "state.h"

#include <string.h>

/* Parts of the cost of a load target, where 1 is the use of all its slots. */

/* far above the other costs, so that an upstream in another domain comes
 * first */
#define SAME_DOMAIN_COST 100.0
/* subtracted for a new base version on an upstream with its adapters */
#define ADAPTERS_BONUS 10.0
#define MEMORY_WEIGHT 0.5 /* memory use relative to slot use */

enum {
    /* longest chain of relocations, of which each frees the memory for the
       next */
    MAX_RELOCATION_DEPTH = 2,
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

/* Copies with the lowest value are unloaded first: -1 for an item no longer in
 * force or an old version, otherwise the item's demand per ready copy. */
static double
get_copy_value(const PlaceState *state, const PlaceCopy *copy)
{
    if (copy->item == NONE || !copy->current) {
        return -1;
    }
    const PlaceItem *item_state = &state->items[copy->item];
    return item_state->demand_slots /
           (item_state->ready_copies > 0 ? item_state->ready_copies : 1);
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
            !place_plan_unload(state, victim,
                               "frees memory for another item")) {
            return false;
        }
    }
    return true;
}

/* whether the upstream may load the item, and has enough memory for it if all
 * of that were free */
static bool
could_host(const PlaceState *state, int item, int up)
{
    return place_can_load(state, item, up) &&
           state->input->bundle->upstreams[up].memory_bytes >=
               place_item(state, item)->bytes;
}

/* the upstream with the lowest cost, of those where unloads at this level free
 * enough memory. If unloads must still be planned there, each copy that may be
 * unloaded adds 1 to the cost. */
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
        /* by the unloads ordered and planned so far */
        bool enough_after_unloads =
            upstream->free_bytes + upstream->freeing_bytes >= bytes;
        double cost = get_target_cost(state, item, up) +
                      (enough_after_unloads ? 0 : unloads);
        if (best == NONE || cost < least_cost) {
            best = up;
            least_cost = cost;
        }
    }
    return best;
}

/* whether the copy can be relocated to another upstream */
static bool
is_relocatable(const PlaceState *state, const PlaceCopy *copy)
{
    return copy->item != NONE && copy->loaded && copy->ready &&
           copy->current && !copy->unloading &&
           !has_adapters_of(state, copy->item, copy->up);
}

/* whether the item has more copies than its minimum: one can be unloaded
 * without loading another first */
static bool
has_surplus(const PlaceState *state, int item)
{
    return state->items[item].current_copies > state->items[item].min_copies;
}

/* whether the relocation of a copy from up has begun: another copy of its item
 * is being loaded, so that the one on up can be unloaded later */
static bool
is_relocation_started(const PlaceState *state, int up)
{
    int i = state->ups[up].first_copy;

    for (; i != NONE; i = state->copies[i].next_on_up) {
        const PlaceCopy *copy = &state->copies[i];
        if (is_relocatable(state, copy) &&
            state->items[copy->item].current_copies >
                state->items[copy->item].ready_current_copies) {
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

/* Starts to relocate a copy from up: loads another copy of its item on another
 * upstream. Chooses, of the copies with at least min_bytes that another
 * upstream has free memory for, the smallest or the largest. */
static bool
relocate_copy(PlaceState *state, int up, uint64_t min_bytes, bool smallest)
{
    const PlaceCopy *best = NULL;
    int target = NONE;
    int i = state->ups[up].first_copy;

    for (; i != NONE; i = state->copies[i].next_on_up) {
        const PlaceCopy *copy = &state->copies[i];
        if (!is_relocatable(state, copy) || has_surplus(state, copy->item) ||
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
           place_plan_load(
               state, best->item, target,
               "another engine will unload its copy to free memory");
}

/* starts to relocate the smallest copy that frees the missing bytes */
static bool
start_relocation(PlaceState *state, int up, uint64_t missing_bytes)
{
    return relocate_copy(state, up, missing_bytes, true);
}

/* starts to relocate the largest copy that another upstream has free memory
 * for, even if that frees too little */
static bool
start_partial_relocation(PlaceState *state, int up)
{
    return relocate_copy(state, up, 0, false);
}

static uint64_t
get_total_free_bytes(const PlaceState *state)
{
    uint64_t sum = 0;

    for (int up = 0; up < state->up_count; up++) {
        sum += state->ups[up].usable ? state->ups[up].free_bytes : 0;
    }
    return sum;
}

static bool make_room(PlaceState *state, int item, PlaceEvictLevel level,
                      int depth);

/* frees memory on another upstream for a copy on up, so that the copy can be
 * relocated later */
static bool
prepare_relocation(PlaceState *state, int up, uint64_t missing_bytes,
                   int depth)
{
    int i = state->ups[up].first_copy;

    for (; i != NONE; i = state->copies[i].next_on_up) {
        const PlaceCopy *copy = &state->copies[i];
        if (is_relocatable(state, copy) && !has_surplus(state, copy->item) &&
            copy->bytes >= missing_bytes &&
            state->relocation_tries_left-- > 0 &&
            make_room(state, copy->item, EVICT_SURPLUS, depth + 1)) {
            return true;
        }
    }
    return false;
}

/* Ways to free memory on an upstream by relocating its copies. Each is tried
 * on every upstream before the next. */
typedef enum RelocationMethod {
    RELOCATE_WAIT,    /* wait for a relocation that has begun */
    RELOCATE_SINGLE,  /* relocate one copy, which frees enough memory */
    RELOCATE_PREPARE, /* free memory on another upstream for such a copy */
    /* relocate one of several copies that must be unloaded */
    RELOCATE_PARTIAL,
    RELOCATION_METHOD_COUNT /* number of methods, not a method */
} RelocationMethod;

static bool
try_relocation(PlaceState *state, int item, int up, RelocationMethod method,
               int depth)
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
    case RELOCATE_WAIT:
        return is_relocation_started(state, up);
    case RELOCATE_SINGLE:
        return start_relocation(state, up, missing_bytes);
    case RELOCATE_PREPARE:
        return prepare_relocation(state, up, missing_bytes, depth);
    case RELOCATE_PARTIAL:
        return depth == 0 && start_partial_relocation(state, up);
    case RELOCATION_METHOD_COUNT:
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
    /* the attempts per decision are limited, so decisions at different seconds
     * start at different upstreams */
    int start = (int)(state->input->now / BK_MS_PER_S % state->up_count);
    for (int method = 0;
         method < RELOCATION_METHOD_COUNT && depth < MAX_RELOCATION_DEPTH;
         method++) {
        for (int i = 0; i < state->up_count; i++) {
            int up = (start + i) % state->up_count;
            if (could_host(state, item, up) &&
                try_relocation(state, item, up, (RelocationMethod)method,
                               depth)) {
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

    /* for an additional copy, a relocation is worth it only while memory is
     * not short */
    bool memory_is_short =
        get_total_free_bytes(state) < MIN_FREE_FACTOR * bytes;
    bool may_relocate =
        state->items[item].current_copies == 0 || !memory_is_short;
    /* at the greatest depth, no relocation is tried */
    return make_room(state, item, level,
                     may_relocate ? 0 : MAX_RELOCATION_DEPTH);
}
