/*
 * tally - counts the crashes of upstreams that speak against a trait
 *
 * A crash of an upstream counts against the traits of the requests that ran
 * there and had written little or nothing (the suspects), unless a request
 * with the trait that was sent later has run well. After enough crashes the
 * trait is held: its requests wait while other daemons may object. Without an
 * objection it is convicted.
 *
 * All daemons get the same crashes and objections, so that their tallies
 * agree without a coordinator.
 *
 * Units: times in ms on the monotonic clock.
 */
#ifndef BK_QUARANTINE_TALLY_H
#define BK_QUARANTINE_TALLY_H

#include "bk/base/clock.h"
#include "bk/quarantine/trait.h"

enum {
    BK_TALLY_MAX_ROWS = 256,
    BK_TALLY_MAX_CRASHES = 4,   /* that are counted against a trait */
    BK_TALLY_MAX_UNCOUNTED = 8, /* further ones that are kept */
    BK_TALLY_MAX_ENDS = 64,     /* of processes, of all services */
    BK_TALLY_HOLD = 400,        /* ms in which a daemon may object */
    BK_TALLY_MEMORY = 120000    /* ms for which a crash counts */
};

/* The end of an upstream's process. If it closed its connections, both times
 * are that moment; if it went silent, it ended at some time between them. */
typedef struct BkCrash {
    uint32_t upstream;   /* key of its id */
    uint64_t started_at; /* of the process, in ms since 1970; 0: not known */
    BkMs at;             /* when its end was noticed */
    BkMs alive_at;       /* its last sign of life, not after at */
} BkCrash;

/* A trait of a request that ran there. */
typedef struct BkSuspect {
    BkTrait trait;
    uint64_t request; /* hash of what its caller repeats */
    int depth;        /* of a part in its prompt, from 0; deeper parts are more
                         specific */
    BkMs sent_at;     /* when the request was sent to the upstream */
} BkSuspect;

typedef struct BkTallyCrash {
    BkCrash crash;
    uint64_t request;
    BkMs sent_at;
} BkTallyCrash;

typedef struct BkTallyRow {
    BkTrait trait;
    BkTallyCrash crashes[BK_TALLY_MAX_CRASHES];
    int count;
    /* crashes of processes that ran the trait, too, but may be one event with a
       counted one */
    BkTallyCrash uncounted[BK_TALLY_MAX_UNCOUNTED];
    int uncounted_count;
    int depth;      /* the smallest of the suspects' */
    BkMs decide_at; /* convicted then; 0: not held */
    bool own;       /* this daemon reported the last crash */
    /* set by TakeConvicted: other processes of the service, which did not run
       the trait, ended at that time too */
    bool weak;
} BkTallyRow;

/* A process of the service ended under requests. */
typedef struct BkTallyEnd {
    uint32_t service;
    BkCrash crash;
    bool explained; /* a request ran there whose trait has a verdict */
} BkTallyEnd;

typedef struct BkTally {
    BkTallyRow *rows;
    int count;
    BkTallyEnd *ends;  /* a ring */
    int64_t end_count; /* noted so far */
    int64_t dropped;   /* rows for which there was no room */
    /* uncounted crashes, and ends that would still have been weighed, for which
       there was no room */
    int64_t dropped_crashes;
} BkTally;

BkTally BkTally_Make(void);
void BkTally_Destroy(BkTally *tally);

/* A process of the service ended under requests, whatever they have in
 * common. Each daemon reports it with its own requests; if one of them explains
 * the end, then it is no sign of another cause. */
void BkTally_NoteEnd(BkTally *tally, uint32_t service, const BkCrash *crash,
                     bool explained);

/* Whether another process of the service may have ended less than a second apart
 * from this one, and no verdict explains that. */
bool BkTally_HasOtherEnd(const BkTally *tally, uint32_t service,
                         const BkCrash *crash);

/* Counts a crash against a suspect's trait. own: this daemon reports it.
 * Returns the trait's row. One cause that ends several upstreams at once is
 * not a request. So, against a part, a crash is not counted if it may have come
 * within 100 ms of a counted one, nor a further one by the same request; and
 * against a request, one that may have come at the same time as a counted one,
 * or before the request was sent again. */
const BkTallyRow *BkTally_NoteCrash(BkTally *tally, const BkCrash *crash,
                                    const BkSuspect *suspect, bool own,
                                    BkMs now);

/* A request with the trait that was sent at sent_at ran well: crashes of
 * requests that were sent before no longer count. */
void BkTally_NoteWell(BkTally *tally, const BkTrait *trait, BkMs sent_at);

/* Whether a daemon that knows of this run that went well has to tell the
 * others: one more crash, or none, would convict the trait. */
bool BkTally_IsContradicted(const BkTally *tally, const BkTrait *trait,
                            BkMs well_sent_at);

/* Whether requests with the trait have to wait for the decision. */
bool BkTally_IsHeld(const BkTally *tally, const BkTrait *trait, BkMs now);

/* When the next decision is due; 0: none is pending. */
BkMs BkTally_NextDecision(const BkTally *tally);

/* Takes the row of a trait whose time to object has ended; false if there is
 * none. The row with the most crashes is taken first, of these the deepest
 * part, of these the one that ran in most of the processes that crashed; its
 * crashes no longer count against other traits of its kind. A row waits for
 * another one that shares a crash with it, would be taken first, and is decided
 * soon. */
bool BkTally_TakeConvicted(BkTally *tally, BkMs now, BkTallyRow *out);

/* How many crashes are counted against all traits together. */
int BkTally_CountCrashes(const BkTally *tally);

/* Forgets the crashes of a service's upstreams. */
void BkTally_Forget(BkTally *tally, uint32_t service);

/* Forgets old crashes. */
void BkTally_Expire(BkTally *tally, BkMs now);

#endif
