/*
 * admit - whether an upstream's coordinator admits a request there
 *
 * Pure. The coordinator (bk-front's admission.h) knows the requests of all VMs
 * at the upstream. It admits none without room (bk/room), and none that the
 * upstream's rate limit does not allow (bk/throttle).
 *
 * Units: times in ms on the monotonic clock.
 */
#ifndef BK_ADMIT_ADMIT_H
#define BK_ADMIT_ADMIT_H

#include <stdbool.h>

#include "bk/room/room.h"
#include "bk/throttle/throttle.h"

typedef struct BkAdmitAsk {
    /* the request is the coordinator's own, which chose the upstream by the
       same counts and has added the request to them */
    bool own;
    bool brittle; /* the upstream falls over when it refuses many */
    bool full;    /* by bk/pick; not used for an own request */
    int running;  /* requests in progress there, of all VMs */
    int slots;
} BkAdmitAsk;

typedef enum BkAdmitResult {
    BK_ADMIT_GRANTED,
    BK_ADMIT_NO_ROOM,
    BK_ADMIT_LIMITED /* the rate limit admits none now */
} BkAdmitResult;

typedef struct BkAdmitAnswer {
    BkAdmitResult result;
    BkMs delay; /* BK_ADMIT_LIMITED: until it may be asked again */
} BkAdmitAnswer;

/* Decides about the request, and counts it for the rate limit if it is
 * admitted. */
BkAdmitAnswer BkAdmit_Decide(const BkAdmitAsk *ask, const BkRoom *room,
                             BkThrottle *throttle, BkMs now);

/* Whether a request may be sent whose ask was not answered in time: an upstream
 * in need gets nothing without a grant. */
bool BkAdmit_MaySendUnanswered(const BkThrottle *throttle, bool brittle);

/* "granted", "no room" or "limited". */
const char *BkAdmit_ResultName(BkAdmitResult result);

#endif
