/*
 * verdict - the traits whose requests are refused, and for how long
 *
 * A verdict bars the requests with a trait for a term. At its end one request
 * is let through as a trial, for all daemons together: the daemon that has one
 * claims the trial, and sends it if no other claim was heard meanwhile. A
 * request with the trait that runs well lifts the verdict. A trial that crashes
 * its upstream confirms it, and each such trial makes the term longer. If it
 * ended and showed neither, a short pause follows. Until a trial has confirmed
 * it the verdict is on probation, and its first term is short if the evidence is
 * weak, since an outage of many upstreams can look like crashes by requests.
 *
 * Daemons tell each other their verdicts. Each change raises the generation,
 * so that all end with the same rows in whatever order they hear of them. A
 * lifted verdict is kept for a while, or an older message would bring it back.
 *
 * Units: times in ms on the monotonic clock.
 */
#ifndef BK_QUARANTINE_VERDICT_H
#define BK_QUARANTINE_VERDICT_H

#include "bk/base/clock.h"
#include "bk/quarantine/trait.h"

enum {
    BK_VERDICTS_MAX = 64,
    /* ms from the claim of a trial in which no other one is claimed, unless the
       trial has ended before */
    BK_VERDICT_CLAIM_TIME = 8000
};

typedef struct BkVerdict {
    BkTrait trait;
    uint32_t generation;
    bool lifted;
    int confirmations;   /* trials that crashed their upstreams */
    BkMs since;          /* begin of the term, or when it was lifted */
    BkMs evidence_since; /* when the request of the first crash was sent */
    uint32_t claimant;   /* key of the daemon that claimed the last trial; 0:
                            none */
    BkMs claimed_at;     /* when this daemon did; 0: it did not */
    int64_t refused;     /* requests refused by this daemon */
} BkVerdict;

typedef struct BkVerdicts {
    /* ms until the first trial for a part; a quarter of it for a request, which
       concerns a single caller */
    BkMs first_term;
    BkMs short_term; /* ms, of a term that is cut short */
    BkVerdict rows[BK_VERDICTS_MAX];
    int count;
    int active;      /* rows that are not lifted */
    int64_t dropped; /* verdicts for which there was no room */
} BkVerdicts;

typedef enum BkVerdictState {
    BK_VERDICT_NONE,
    BK_VERDICT_BARRED,
    BK_VERDICT_TRIAL_DUE /* its term has ended */
} BkVerdictState;

/* The trait's row, also a lifted one; NULL: none. */
BkVerdict *BkVerdicts_Find(BkVerdicts *verdicts, const BkTrait *trait);

BkVerdictState BkVerdicts_Check(BkVerdicts *verdicts, const BkTrait *trait,
                                BkMs now);

/* When the verdict's term ends. */
BkMs BkVerdicts_Until(const BkVerdicts *verdicts, const BkVerdict *verdict);

/* Begins a verdict; NULL if the trait is barred already. weak: its first term is
 * cut short. */
const BkVerdict *BkVerdicts_Convict(BkVerdicts *verdicts, const BkTrait *trait,
                                    BkMs evidence_since, bool weak, BkMs now);

/* Begins a term of a verdict that is cut short: it was read from the store, and
 * how much of its term is left is not known. */
void BkVerdicts_BeginShortTerm(const BkVerdicts *verdicts, BkVerdict *verdict,
                               BkMs now);

/* Whether no trial has confirmed the active verdict. */
bool BkVerdict_IsOnProbation(const BkVerdict *verdict);

/* Claims the trial at the end of a term; the next one is due after
 * BK_VERDICT_CLAIM_TIME. */
const BkVerdict *BkVerdicts_Claim(BkVerdicts *verdicts, const BkTrait *trait,
                                  uint32_t claimant, BkMs now);

/* The trial that this claimant claimed at claimed_at has ended: the next one is
 * due after the pause. NULL if another one was claimed, or the verdict lifted,
 * meanwhile. */
const BkVerdict *BkVerdicts_EndTrial(BkVerdicts *verdicts,
                                     const BkTrait *trait, uint32_t claimant,
                                     BkMs claimed_at, BkMs pause, BkMs now);

/* Whether a request that this claimant sent at sent_at is the trial of the
 * verdict's present term. */
bool BkVerdicts_IsTrial(BkVerdicts *verdicts, const BkTrait *trait,
                        uint32_t claimant, BkMs sent_at);

/* The trial that this claimant sent at sent_at has crashed its upstream. NULL if
 * it is not the trial of the verdict's present term. */
const BkVerdict *BkVerdicts_Confirm(BkVerdicts *verdicts, const BkTrait *trait,
                                    uint32_t claimant, BkMs sent_at, BkMs now);

/* Lifts the verdict after a run that went well; NULL if there is none. */
const BkVerdict *BkVerdicts_Lift(BkVerdicts *verdicts, const BkTrait *trait,
                                 BkMs now);

/* Takes over what another daemon tells. Returns whether that changed
 * anything. */
bool BkVerdicts_Merge(BkVerdicts *verdicts, const BkVerdict *told, BkMs now);

/* Removes an expired verdict and returns it in *out; false if there is none. A
 * lifted verdict expires after a minute; another one when no request came to
 * try it for six times the first term of a part after its own term. */
bool BkVerdicts_TakeExpired(BkVerdicts *verdicts, BkMs now, BkVerdict *out);

#endif
