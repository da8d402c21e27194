/*
 * state - working data of one placement decision
 *
 * Joins the ledgers with the view once per decision: every instance that may
 * occupy memory becomes a copy, linked into the lists of its upstream and of
 * its item. Planned loads and unloads are entered at once, so that later
 * steps of the same decision take them into account.
 */
#ifndef BK_PLACE_STATE_H
#define BK_PLACE_STATE_H

#include "bk/place/place.h"

#define NONE (-1)

typedef struct PlaceCopy {
    int up;
    int item;  /* NONE: no longer in force */
    int entry; /* index in the ledger; NONE: planned in this decision */
    /* is of the version in force; an adapter only if the same upstream also
       has its base in the version in force */
    bool current;
    bool ready; /* the engine reports it ready and the upstream is usable */
    /* loaded according to the ledger, with no order of unknown outcome */
    bool loaded;
    bool unloading; /* an unload is ordered or planned */
    uint64_t bytes;
    int next_on_up;
    int next_of_item;
} PlaceCopy;

typedef struct PlaceUp {
    /* observed lately and not leaving, excluded or drained, though the last
       contact may have failed: copies on it count as existing */
    bool alive;
    bool usable;            /* can get orders now */
    uint64_t free_bytes;    /* bytes free now, less those of planned loads */
    uint64_t freeing_bytes; /* to be freed by ordered and planned unloads */
    double slots;
    /* slots that the demand occupies, see place_spread_demand */
    double used_slots;
    int first_copy; /* index of the first copy; NONE: no copy */
} PlaceUp;

typedef struct PlaceItem {
    int min_copies; /* minimum number of copies */
    /* current copies on alive upstreams, including loads in progress */
    int current_copies;
    int usable_copies; /* the same on usable upstreams */
    int ready_copies;  /* ready copies of any version, on usable upstreams */
    int ready_current_copies; /* ready current copies, on usable upstreams */
    double demand_slots;      /* slots that its requests occupy */
    int first_copy;           /* index of the first copy; NONE: no copy */
} PlaceItem;

typedef struct PlaceState {
    const BkPlaceConf *conf;
    const BkPlaceInput *input;
    PlaceUp *ups;
    int up_count;
    PlaceItem *items;
    int item_count;
    PlaceCopy *copies;
    int copy_count;
    int copy_cap;
    BkPlaceMove *moves;
    int max_moves;
    int move_count;
    int loads_left; /* loads that this decision may still plan */
    /* Remaining attempts to free memory for a relocation. A copy is relocated
       by loading another copy of its item on another upstream and later
       unloading this one. */
    int relocation_tries_left;
    /* a surplus copy that serves more slots is not unloaded */
    double max_victim_slots;
    /* memory is being freed for a required copy, so this decision plans
       nothing for the demand */
    bool making_room;
} PlaceState;

/* Which copies an unload may remove; each level includes those before it. */
typedef enum PlaceEvictLevel {
    /* current copies above the minimum number, old versions once the new
       version has its minimum */
    EVICT_SURPLUS,
    /* also old versions once one copy of the new version is ready */
    EVICT_REPLACED,
    EVICT_OLD, /* also all other old versions but the last ready copy */
    /* any copy but the last ready one of its item and the last ready one of
       the item's version in force */
    EVICT_ALL_BUT_LAST
} PlaceEvictLevel;

void place_state_init(PlaceState *state, const BkPlaceConf *conf,
                      const BkPlaceInput *input, BkPlaceMove *moves, int max);
void place_state_destroy(PlaceState *state);

static inline const BkItem *
place_item(const PlaceState *state, int item)
{
    return &state->input->bundle->items[item];
}

static inline const char *
place_domain(const PlaceState *state, int up)
{
    return state->input->bundle->upstreams[up].domain;
}

/* Whether the item needs another copy regardless of its demand. An item that
 * no usable upstream holds needs one at once; a copy on an unusable upstream
 * is replaced only when that upstream no longer counts as alive. */
bool place_needs_copy(const PlaceItem *item_state);

/* Index of a copy of the item on the upstream that is not being unloaded:
 * of the version in force if current is set, else of any. NONE if there is
 * none. */
int place_find_copy(const PlaceState *state, int item, int up, bool current);

/* Whether the domain has a current copy of the item other than the one
 * with the index except. */
bool place_has_copy_in_domain(const PlaceState *state, int item,
                              const char *domain, int except);

/* Whether the upstream may load the item, apart from memory. */
bool place_can_load(const PlaceState *state, int item, int up);

/* Whether the copy with this index may be unloaded at this level. */
bool place_can_unload(const PlaceState *state, int index,
                      PlaceEvictLevel level);

/* Each adds a move; false if the list of moves is full or, for a load, if the
 * load limit is reached or the upstream has too little free memory. */
bool place_plan_load(PlaceState *state, int item, int up, const char *why);
bool place_plan_unload(PlaceState *state, int index, const char *why);

/* The best upstream with enough free memory for the item; NONE if there is
 * none. */
int place_pick_target(const PlaceState *state, int item);

/* Plans unloads that free memory for the item on an upstream, or starts to
 * relocate a copy from there, or waits for a relocation that has begun. False
 * if none of these is possible. */
bool place_make_room(PlaceState *state, int item, PlaceEvictLevel level);

/* Plans unloads on the upstream until that many bytes will be free; false if
 * that is not possible. */
bool place_free_memory(PlaceState *state, int up, uint64_t bytes,
                       PlaceEvictLevel level);

/* Bytes that unloads at this level would free on the upstream, and the number
 * of these unloads. */
uint64_t place_evictable_bytes(const PlaceState *state, int up,
                               PlaceEvictLevel level, int *unloads);

/* Spreads the demand of each item over its copies, as load-based routing does,
 * and sums it per upstream. */
void place_spread_demand(PlaceState *state);

/* Steps of a decision, in order: loads up to the minimum of copies, for items
 * without a ready copy first; unloads of old versions and of items no longer
 * in force; loads for the demand, by the configured policy. */
void place_ensure_min_copies(PlaceState *state);
void place_unload_old(PlaceState *state);
void place_load_by_gain(PlaceState *state);
void place_follow_demand(PlaceState *state);
void place_lru(PlaceState *state);

#endif
