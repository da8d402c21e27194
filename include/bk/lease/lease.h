/*
 * lease - leader election: which daemon is the planner
 *
 * Pure: does no I/O; the caller carries out the actions and passes in the
 * time. The lease is stored in two rows of the table "planner": the row term
 * names the holder and its term, the row beat is written at every renewal. A
 * follower that has seen the beat row unchanged for the lease duration, by
 * its own clock, claims the next term in a transaction that checks the
 * versions of both rows. The holder counts its lease from a time before it
 * sent the renewal, and for less than the lease duration, so it stops acting
 * as planner before any follower may claim.
 *
 * The store may come back from an older copy, without the newest claims and
 * renewals. What the rows then say of an earlier era is not relied on: a
 * holder that is named there, or its resignation, may long be superseded. Who
 * claims waits a whole lease duration first, unless it was the holder itself.
 *
 * The lease decides who plans. It does not protect accelerator memory, since
 * a holder may be paused after its last check of the lease. The ledger
 * (bk/ledger/ledger.h) protects memory.
 */
#ifndef BK_LEASE_LEASE_H
#define BK_LEASE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/rng.h"

typedef struct BkLeaseConf {
    /* lease duration: without a renewal for this long, the next term may be
       claimed */
    BkMs lease_duration;
    /* the holder relies on the lease for this long after sending a renewal;
       less than the lease duration */
    BkMs valid_for;
    BkMs renew_period; /* between renewals */
    /* a follower that has heard nothing of the planner by gossip for this
       long reads the rows */
    BkMs gossip_timeout;
} BkLeaseConf;

typedef enum BkLeasePhase {
    BK_LEASE_FOLLOWER,
    /* holds the current term; the lease is valid only while it is renewed in
       time */
    BK_LEASE_HOLDER
} BkLeasePhase;

typedef enum BkLeaseAction {
    BK_LEASE_NONE,
    BK_LEASE_READ,  /* read both rows */
    BK_LEASE_CLAIM, /* write the next term; checks both rows */
    BK_LEASE_RENEW  /* write the row beat; checks the row term */
} BkLeaseAction;

/* The two rows as read. */
typedef struct BkLeaseRows {
    uint64_t term; /* 0: no daemon has ever held the lease */
    const char *holder;
    uint64_t epoch; /* of the holder's session */
    bool resigned;  /* the holder resigned from the term */
    uint64_t term_version;
    uint64_t beat_version;
    /* era of the store (bk/store/store.h) in which the rows were read, and
       those in which each was written; 0: the store has no eras */
    uint64_t era;
    uint64_t term_era;
    uint64_t beat_era;
} BkLeaseRows;

typedef struct BkLease {
    BkLeaseConf conf;
    BkRng rng;
    const char *own_name; /* name of this daemon; not owned */
    uint64_t epoch; /* of this start of the daemon; 0: may not claim yet */
    BkLeasePhase phase;
    uint64_t term; /* highest known */
    uint64_t era;  /* of the store, as last read */
    /* the store had no rows, and no term was ever heard of: the first term of
       all */
    bool is_first;
    uint64_t claimed_term; /* by the claim in progress */
    /* term this daemon resigned from; it never holds it again */
    uint64_t own_resigned_term;
    uint64_t heard_resigned_term; /* term whose holder resigned, by gossip */
    uint64_t term_version;        /* of the rows as last read or written */
    uint64_t beat_version;
    /* Start of the wait for a claim, which ends one lease duration later: when
       the rows were first read or last seen to change, gossip last reported
       the planner alive, a transaction conflicted, or this daemon resigned.
       BK_MS_NEVER: none of these yet. */
    BkMs planner_seen_at;
    BkMs valid_until; /* end of the lease that this daemon holds */
    /* end of the lease that this daemon held when a new era of the store
       began; until then, no other daemon is the holder */
    BkMs held_until;
    /* when the last action began, before its call was sent */
    BkMs action_started_at;
    BkMs next_action_at; /* no action before this time */
    bool claim_due;      /* the rows just read allow a claim */
    bool busy;           /* an action is in progress */
} BkLease;

BkLease BkLease_Make(const BkLeaseConf *conf, const char *own_name,
                     uint64_t seed);

/* Returns the action to carry out now. After each action other than NONE the
 * caller reports its outcome by exactly one call: the rows that were read, a
 * successful claim, a successful renewal, a conflict or a failure. */
BkLeaseAction BkLease_NextAction(BkLease *lease, BkMs now);

/* The term to claim: higher than any known one, and than all terms of earlier
 * eras of the store. A store that came back from an older copy may have lost
 * the newest terms, which are not to be given out again, though no daemon may
 * remember them. */
uint64_t BkLease_NextTerm(const BkLease *lease);

/* Gossip reports that the planner of term was alive at the given time. If
 * this daemon holds an earlier term, it has been superseded and becomes a
 * follower. */
void BkLease_OnPlannerAlive(BkLease *lease, uint64_t term, BkMs at);

/* Gossip reports the versions of the two rows as the holder of this term
 * wrote them. A later read then shows whether the rows changed since. */
void BkLease_OnRowVersions(BkLease *lease, uint64_t term,
                           uint64_t term_version, uint64_t beat_version);

/* Gossip reports that the holder of this term resigned: it sends no more
 * orders in this term. The next term may be claimed as soon as the rows have
 * been read. */
void BkLease_OnResigned(BkLease *lease, uint64_t term, BkMs now);

/* The store answered in this era. Returns true if the era is a new one: then
 * the action in progress has ended without effect, and the versions of the
 * rows are not known. A holder becomes a follower, which may claim another
 * term at once while its lease would have lasted; others wait for a whole
 * lease duration, since there may be a holder whose claim was lost. */
bool BkLease_NoteEra(BkLease *lease, uint64_t era, BkMs now);

/* Outcomes of actions. A caller whose store has eras calls BkLease_NoteEra
 * before, and none of these if that returns true. */

/* The rows were read. */
void BkLease_OnRowsRead(BkLease *lease, const BkLeaseRows *rows, BkMs now);

/* The claim was committed and gave the rows these versions. */
void BkLease_OnClaimed(BkLease *lease, uint64_t term_version,
                       uint64_t beat_version);

/* The renewal was committed. A caller that gossips the versions of the rows
 * sets beat_version to the new version of the row beat before this call. */
void BkLease_OnRenewed(BkLease *lease);

/* The transaction was refused because a row had changed. */
void BkLease_OnConflict(BkLease *lease, BkMs now);

/* No answer came, or the action was not carried out. */
void BkLease_OnFailed(BkLease *lease, BkMs now);

/* Whether this daemon is the planner now and may send orders. */
bool BkLease_Valid(const BkLease *lease, BkMs now);

/* Resigns from the term that this daemon holds; it never holds that term
 * again. The caller records in the rows that the holder resigned. */
void BkLease_Resign(BkLease *lease, BkMs now);

/* Fencing number of the n-th order of a term; rises with the term. n: below
 * 2^24. */
uint64_t BkFence_Make(uint64_t term, uint64_t n);
uint64_t BkFence_Term(uint64_t fence);

#endif
