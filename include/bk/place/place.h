/*
 * place - decides which engine loads and unloads which items of the bundle;
 * used by bk-steward (bk/plan/plan.h is the counterpart for bk-front)
 *
 * Pure. Decides the next few orders from the bundle, the ledgers, the view
 * and the demand. Never unloads the last ready copy of an item in force,
 * loads a new copy before it unloads the one that it replaces, and weighs
 * the gain of a move over a horizon against its cost. What differs between
 * deployments is in BkPlaceConf.
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
    /* loads for demand if the gain over the horizon exceeds the cost of the
       moves */
    BK_PLACE_WEIGHTED,
    /* no moves for demand; this policy and those below are baselines for
       comparison */
    BK_PLACE_FIXED,
    BK_PLACE_FOLLOW, /* follow demand without hysteresis */
    BK_PLACE_LRU     /* load on demand, unload the least recently used */
} BkPlacePolicy;

typedef struct BkPlaceConf {
    BkPlacePolicy policy;
    double attainment_weight; /* value of an answer on time */
    double move_weight;       /* cost of a load or unload, in the same unit */
    BkMs horizon;             /* time over which a gain is counted */
    /* smoothing speed of BkDemand.fast_rate, which shows rises, per second */
    double rise_smoothing;
    /* smoothing speed of BkDemand.rate while it falls, per second */
    double fall_smoothing;
    /* limit of the weight store; also the most loads of one decision */
    int loads_per_second;
    int loads_at_once; /* limit of loads in progress on all engines together */
    double target_use; /* share of an engine's slots to plan for */
} BkPlaceConf;

/* Smoothed demand of one item. */
typedef struct BkDemand {
    /* requests a second; follows at once a rise that is too large to be
       random, and a fall slowly */
    double rate;
    double fast_rate;    /* requests a second, smoothed over a short time */
    double slot_seconds; /* seconds that one request occupies a slot */
    BkMs last_request;
} BkDemand;

typedef enum BkPlaceMoveKind {
    BK_PLACE_MOVE_LOAD,
    BK_PLACE_MOVE_UNLOAD
} BkPlaceMoveKind;

typedef struct BkPlaceMove {
    BkPlaceMoveKind kind;
    int upstream;
    int item;        /* item index; -1: unload of an item no longer in force */
    char *inst;      /* of an unload: instance name, owned */
    const char *why; /* static string, for the log */
} BkPlaceMove;

typedef struct BkPlaceInput {
    const BkBundle *bundle;
    const BkView *view;
    BkLedger *const *ledgers; /* per upstream; NULL for a service */
    const BkDemand *demand;   /* per item */
    const bool *excluded;     /* per upstream */
    int loads_in_progress;
    BkMs now;
    BkMs stale_after;
} BkPlaceInput;

/* Updates the demand with the requests of the last dt. */
void BkDemand_Update(BkDemand *demand, const BkPlaceConf *conf,
                     double requests, BkMs dt, BkMs now);

/* Decides up to max moves and returns their number. Free the inst of each. */
int BkPlace_Decide(const BkPlaceConf *conf, const BkPlaceInput *input,
                   BkPlaceMove *moves, int max);

/*
 * Checks that the bundle can be placed on its engines, with at least one copy
 * of every item, and that a roll from the bundle prev (may be NULL) leaves no
 * changed item without a ready copy: each needs memory for its new version
 * before the old one is unloaded.
 * ERRORS: BK_EPLACEMENT with the reason as the last message.
 */
BkStatus BkPlace_CheckFeasible(const BkBundle *bundle, const BkBundle *prev);

#endif
