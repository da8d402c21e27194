/*
 * roll - a bundle on its way into force
 *
 * Accepted is what the platform committed, and only that. A roll is known
 * again by its nonce, which the row in force and the audit entry hold.
 */
#ifndef BK_CTL_ROLL_H
#define BK_CTL_ROLL_H

#include "rows.h"

typedef struct BkRoll {
    BkBundle *bundle;
    const char *by;
    uint64_t replaces;
    BkInForceRow row;  /* that it writes */
    uint64_t in_force; /* version in force when it was accepted or found */
    bool asked_again;  /* an earlier run of the same command was accepted */
    int told;          /* daemons that took the news */
    int daemons;
    bool rolled; /* --wait saw every item ready */
} BkRoll;

/* The bundle of the row in force, from the store or a daemon.
 * ERRORS: BK_ENOTFOUND, BK_EPLATFORM, BK_EBUNDLE, BK_EDECODE. */
BkStatus BkCtl_FetchBundle(BkCtl *ctl, const BkInForceRow *row,
                           BkBundle **bundle);

/*
 * Shows progress until the planner says that every item of the version is
 * ready. ERRORS: BK_ETRYAGAIN when another version came into force first or
 * after the longest wait; the acceptance stands in both cases.
 */
BkStatus BkCtl_WaitRolled(BkCtl *ctl, BkRoll *roll);

#endif
