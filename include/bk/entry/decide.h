/*
 * decide - what to do after an attempt at an upstream has ended
 *
 * Pure. Only this module decides whether a request may be sent again and
 * which status its caller may get.
 */
#ifndef BK_ENTRY_DECIDE_H
#define BK_ENTRY_DECIDE_H

#include <stdbool.h>

#include "bk/base/status.h"

/* How the attempt ended, and the state of the request. */
typedef struct BkAttemptEnd {
    BkStatus status;         /* of the HTTP exchange; see BkHttpResult */
    bool may_have_been_sent; /* some byte may have been sent */
    int http_status;         /* HTTP status; 0: no response header came */
    bool not_run;            /* the upstream answered X-Not-Run: yes */
    bool repeatable;         /* the request may be run more than once */
    bool stream;             /* the request asks for an event stream */
    bool stream_complete;    /* [DONE] was forwarded */
    bool stream_opened;      /* events have been forwarded to the caller */
    bool resuming;           /* this attempt was to resume the stream */
    bool progress;           /* this attempt brought at least one new event */
    /* the upstream sent an error event or events that are not valid */
    bool stream_broken;
    /* another copy can continue the stream: all delivered text is known, or
       the copy may hold the stream of the resume ticket */
    bool can_continue_elsewhere;
    bool may_have_run_before; /* an earlier attempt may have run */
    int attempts_left;        /* further attempts allowed */
} BkAttemptEnd;

typedef enum BkNextStep {
    BK_NEXT_DELIVER, /* the answer is complete: deliver it */
    /* send to another upstream, without charge to the retry budget */
    BK_NEXT_RETRY_FREE,
    /* send to another upstream if the retry budget allows */
    BK_NEXT_RETRY_BUDGETED,
    /* resume the stream at the same upstream, which may still hold it */
    BK_NEXT_RESUME,
    BK_NEXT_FAIL
} BkNextStep;

typedef struct BkDecision {
    BkNextStep step;
    /* to fail with: for BK_NEXT_FAIL, and if the retry is not possible */
    BkStatus status;
} BkDecision;

/* Decides the next step for the request. */
BkDecision BkDecide_NextStep(const BkAttemptEnd *end);

/* Whether it is certain that the attempt did not run the request. */
bool BkDecide_CertainlyNotRun(const BkAttemptEnd *end);

/* Turns the status of the last attempt into that of the whole request: a
 * status of outcome "not run" becomes BK_EUNKNOWN if an earlier attempt may
 * have run the request. */
BkStatus BkDecide_FinalStatus(BkStatus status, bool may_have_run_before);

#endif
