/*
 * roll - putting a bundle in force
 *
 * A roll is accepted once the platform has committed it. It is rolled once
 * every item of its version is ready. Its nonce, stored in the row
 * bundle/in-force and in the audit entry, identifies the roll when the same
 * command is run again.
 */
#ifndef BK_CTL_ROLL_H
#define BK_CTL_ROLL_H

#include "rows.h"

typedef struct BkRoll {
    BkBundle *bundle;
    const char *by;
    uint64_t replaces; /* version that it replaces */
    BkInForceRow row;  /* row bundle/in-force that it writes */
    /* the version in force when this roll was accepted, or was found to have
       been accepted before */
    uint64_t in_force_version;
    bool accepted_before; /* an earlier run of the same command was accepted */
    int notified_count;   /* daemons that confirmed the notification */
    int daemon_count;     /* daemons in the settings */
    bool rolled;          /* --wait found every item ready */
} BkRoll;

/* Fetches and parses the bundle in force, from the store or from a daemon.
 * ERRORS: BK_ENOTFOUND, BK_EPLATFORM, BK_EBUNDLE, BK_EDECODE. */
BkStatus BkCtl_FetchBundle(BkCtl *ctl, const BkInForceRow *row,
                           BkBundle **bundle);

/*
 * Shows progress until the planner reports that every item of the version is
 * ready. ERRORS: BK_ETRYAGAIN if another version came into force first, or
 * if the maximum wait elapsed; the roll remains accepted in both cases.
 */
BkStatus BkCtl_WaitRolled(BkCtl *ctl, BkRoll *roll);

#endif
