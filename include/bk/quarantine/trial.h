/*
 * trial - trials whose upstreams have ended, until it is clear what that shows
 *
 * One cause may end several upstreams at once, and one of them may run a trial.
 * So the end of a trial's upstream confirms the verdict only after a while, in
 * which ends of others are heard of: those that another daemon noticed, too.
 *
 * Units: times in ms on the monotonic clock.
 */
#ifndef BK_QUARANTINE_TRIAL_H
#define BK_QUARANTINE_TRIAL_H

#include "bk/quarantine/tally.h"
#include "bk/quarantine/verdict.h"

enum {
    BK_TRIALS_MAX = 32,
    BK_TRIAL_WAIT = 400, /* ms until an end is judged */
    /* ms, of an end by silence: daemons notice such ends 2 to 3.5 s late, each
       at its own time */
    BK_TRIAL_SILENT_WAIT = 2000
};

typedef struct BkTrial {
    BkTrait trait;
    BkCrash crash; /* of its upstream */
    BkMs sent_at;
    BkMs decide_at;
} BkTrial;

typedef struct BkTrials {
    BkTrial rows[BK_TRIALS_MAX];
    int count;
    int64_t dropped; /* ends for which there was no room */
} BkTrials;

/* The upstream of a trial of this daemon (claimant) has crashed. Ignores a
 * suspect whose request was no trial, or whose upstream was silent before. */
void BkTrials_NoteCrash(BkTrials *trials, BkVerdicts *verdicts,
                        const BkCrash *crash, const BkSuspect *suspect,
                        uint32_t claimant, BkMs now);

/* When the next one is to be judged; 0: none. */
BkMs BkTrials_NextDecision(const BkTrials *trials);

/* Takes one that is to be judged; false if there is none. *shows: whether the
 * crash speaks against the trait, since no other process of the service, without
 * the trait, may have ended at about the same time. */
bool BkTrials_Take(BkTrials *trials, const BkTally *tally, BkMs now,
                   BkTrial *out, bool *shows);

#endif
