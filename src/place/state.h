/*
 * state - what a placement decision works on
 *
 * Joins the ledgers with the view once per decision: every instance that
 * may hold memory is a copy, found by its upstream and by its item. Loads
 * and unloads planned in this decision are entered at once, so that the
 * next step of the same decision sees them.
 */
#ifndef BK_PLACE_STATE_H
#define BK_PLACE_STATE_H

#include "bk/place/place.h"

#define NONE (-1)

typedef struct PlaceCopy {
    int up;
    int item;     /* NONE: not in force any more */
    int entry;    /* in the ledger; NONE: planned in this decision */
    bool current; /* the version in force, and its base beside it */
    bool ready;   /* the engine shows it and the upstream can be used */
    bool loaded;  /* the ledger has it as loaded and nothing is in doubt */
    bool going;   /* an unload is ordered or planned */
    uint64_t bytes;
    int next_on_up;
    int next_of_item;
} PlaceCopy;

typedef struct PlaceUp {
    bool alive;       /* counts as a place of copies */
    bool usable;      /* can be given orders now */
    uint64_t room;    /* bytes free now, less what is planned */
    uint64_t pending; /* bytes that ordered unloads will free */
    double slots;
    double use; /* slots that the demand takes, see place_share_demand */
    int first;  /* copy */
} PlaceUp;

typedef struct PlaceItem {
    int least;  /* copies it must have */
    int have;   /* current ones, loading too, on alive upstreams */
    int coming; /* current ones, loading too, on usable upstreams */
    int ready;  /* of any version, on usable upstreams */
    int ready_current;
    double demand; /* slots that its requests take */
    int first;     /* copy */
} PlaceItem;

typedef struct PlaceState {
    const BkPlaceConf *conf;
    const BkPlaceInput *in;
    PlaceUp *ups;
    int up_count;
    PlaceItem *items;
    int item_count;
    PlaceCopy *copies;
    int count;
    int cap;
    BkMove *moves;
    int max;
    int move_count;
    int loads_left;
    int swap_tries;     /* left, of looking for a swap that prepares one */
    double spare_worth; /* slots a surplus copy may serve and still go */
    bool waiting;       /* room is being made for what must be there */
} PlaceState;

/* How much an unload may take away. */
typedef enum PlaceLevel {
    LEVEL_SURPLUS, /* copies above the least number */
    LEVEL_ROLL,    /* old versions once the new one is ready */
    LEVEL_SPARE,   /* old versions, down to one ready copy */
    LEVEL_RESCUE   /* any copy but the last ready one */
} PlaceLevel;

void place_state_init(PlaceState *state, const BkPlaceConf *conf,
                      const BkPlaceInput *input, BkMove *moves, int max);
void place_state_destroy(PlaceState *state);

static inline const BkItem *
place_item(const PlaceState *state, int item)
{
    return &state->in->bundle->items[item];
}

static inline const char *
place_domain(const PlaceState *state, int up)
{
    return state->in->bundle->upstreams[up].domain;
}

/* Whether the item needs another copy, whatever its demand. At once when
 * no copy can be reached; a least number waits until the loss is sure. */
bool place_lacks(const PlaceItem *item);

/* A copy of the item on the upstream that is not going, current or else of
 * any version; NONE if there is none. */
int place_find(const PlaceState *state, int item, int up, bool current);

/* Whether copies of the item, but for this one, stand in that domain. */
bool place_in_domain(const PlaceState *state, int item, const char *domain,
                     int but);

/* Whether the upstream may be ordered to load the item, memory aside. */
bool place_accepts(const PlaceState *state, int item, int up);

/* Whether the unload of a copy keeps every promise at this level. */
bool place_can_unload(const PlaceState *state, int copy, PlaceLevel level);

/* Enters a move; false when there is no room for it in the answer or, for
 * loads, no token left. */
bool place_plan_load(PlaceState *state, int item, int up, const char *why);
bool place_plan_unload(PlaceState *state, int copy, const char *why);

/* The best upstream with room for the item; NONE if there is none. */
int place_pick_target(const PlaceState *state, int item);

/* Unloads to make room on an upstream for the item, or starts a swap.
 * False if nothing can be done. */
bool place_make_room(PlaceState *state, int item, PlaceLevel level);

/* Unloads from this upstream until so many bytes will be free there; false
 * if that cannot be had. */
bool place_evict(PlaceState *state, int up, uint64_t bytes, PlaceLevel level);

/* Bytes that unloads at this level would free on the upstream, and their
 * number. */
uint64_t place_evictable(const PlaceState *state, int up, PlaceLevel level,
                         int *moves);

/* Splits the demand of each item over its copies, as routing by load does,
 * and sums it per upstream. */
void place_share_demand(PlaceState *state);

/* Steps of a decision. */
void place_needed(PlaceState *state);   /* least copies, the lost ones first */
void place_retire(PlaceState *state);   /* old versions and items */
void place_weighted(PlaceState *state); /* copies for the demand */
void place_follow(PlaceState *state);   /* baselines */
void place_lru(PlaceState *state);

#endif
