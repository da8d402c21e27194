/*
 * decide - what follows when an attempt at an upstream has ended
 *
 * Pure. The one place that says whether a request may be sent again and
 * what its caller may be told.
 */
#ifndef BK_ENTRY_DECIDE_H
#define BK_ENTRY_DECIDE_H

#include <stdbool.h>

#include "bk/base/status.h"

/* How the attempt ended, and what is known of the request. */
typedef struct BkAttemptEnd {
    BkStatus status; /* of the HTTP exchange, see BkHttpResult */
    bool sent;       /* some byte may have been on the wire */
    int code;        /* HTTP status; 0: no head came */
    bool not_run;    /* X-Not-Run: yes */
    bool repeatable;
    bool stream;
    bool whole_stream; /* [DONE] came */
    bool opened;       /* the caller holds events of this stream */
    bool resumed;      /* the attempt was itself a resume */
    bool progress;     /* it brought at least one new event */
    bool bad_stream;   /* the upstream itself reported an error */
    bool can_copy;     /* another copy can be given all delivered text */
    bool ran_before;   /* an earlier attempt may have run */
    int tries_left;    /* more attempts allowed */
} BkAttemptEnd;

typedef enum BkNextStep {
    BK_NEXT_DELIVER, /* the answer is whole: hand it over */
    BK_NEXT_OTHER,   /* another upstream; this one was no load */
    BK_NEXT_RETRY,   /* another upstream, if the retry budget allows */
    BK_NEXT_RESUME,  /* the same upstream still holds the stream */
    BK_NEXT_FAIL
} BkNextStep;

typedef struct BkDecision {
    BkNextStep step;
    BkStatus status; /* for BK_NEXT_FAIL, and when a retry is not possible */
} BkDecision;

BkDecision BkDecide_Next(const BkAttemptEnd *end);

/* Whether the attempt certainly ran nothing. */
bool BkDecide_NotRun(const BkAttemptEnd *end);

/* A status that is true of the whole request: never "not run" when an
 * earlier attempt may have run. */
BkStatus BkDecide_Final(BkStatus status, bool ran_before);

#endif
