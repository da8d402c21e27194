/*
 * place - which copies of which items should be where
 *
 * Pure. From the bundle, the ledgers, the view and the demand, decides the
 * next few orders. Never unloads the last ready copy of an item in force,
 * makes before it breaks, and weighs the gain of a move over a horizon
 * against the price of a move. The two deployments differ in BkPlaceConf.
 */
#ifndef BK_PLACE_PLACE_H
#define BK_PLACE_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/bundle/bundle.h"
#include "bk/ledger/ledger.h"
#include "bk/view/view.h"

typedef enum BkPlacePolicy {
    BK_PLACE_WEIGHED, /* demand, gain over a horizon against move price */
    BK_PLACE_FIXED,   /* baselines from here on */
    BK_PLACE_FOLLOW,  /* follow demand without hysteresis */
    BK_PLACE_LRU      /* load on demand, unload the least recently used */
} BkPlacePolicy;

typedef struct BkPlaceConf {
    BkPlacePolicy policy;
    double attainment_weight; /* worth of an answer on time */
    double move_weight;       /* price of a load or unload */
    BkMs horizon;             /* over which a gain is counted */
    double rise;              /* smoothing of the fast rate, per second */
    double fall;              /* and of the slow one */
    int loads_per_second;     /* of the weight store */
    int loads_at_once;
    double target_use; /* share of a copy's capacity to plan for */
} BkPlaceConf;

/* Smoothed demand of one item. */
typedef struct BkDemand {
    double rate; /* requests a second: up at once when the rise is more than
                    chance, down slowly */
    double fast; /* the same, smoothed over a short time only */
    double work; /* seconds of a slot that one request takes */
    BkMs last_request;
} BkDemand;

typedef enum BkMoveKind {
    BK_MOVE_LOAD,
    BK_MOVE_UNLOAD
} BkMoveKind;

typedef struct BkMove {
    BkMoveKind kind;
    int upstream;
    int item;        /* of a load */
    char *inst;      /* of an unload, owned */
    const char *why; /* a constant, for logs and the audit trail */
} BkMove;

typedef struct BkPlaceInput {
    const BkBundle *bundle;
    const BkView *view;
    BkLedger *const *ledgers; /* per upstream; NULL for a service */
    const BkDemand *demand;   /* per item */
    const bool *drained;      /* per upstream */
    int loads_in_progress;
    BkMs now;
    BkMs stale_after;
} BkPlaceInput;

/* Feeds requests seen since the last call, dt ago, into the demand. */
void BkDemand_Take(BkDemand *demand, const BkPlaceConf *conf, double requests,
                   BkMs dt, BkMs now);

/* Decides up to max moves; returns their number. Free each inst. */
int BkPlace_Decide(const BkPlaceConf *conf, const BkPlaceInput *input,
                   BkMove *moves, int max);

/*
 * Whether the bundle can be placed on its engines, one copy of every item
 * at least, and reached from the bundle prev (may be NULL) without a gap:
 * for every item that changes, room for the new copy before the old goes.
 * ERRORS: BK_EPLACEMENT with the reason as the last message.
 */
BkStatus BkPlace_Feasible(const BkBundle *bundle, const BkBundle *prev);

#endif
