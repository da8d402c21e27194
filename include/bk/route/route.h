/*
 * route - chooses the upstream for a request, or refuses the request; used by
 * bk-entry (bk/pick/pick.h is the counterpart for bk-front)
 *
 * Pure: state, events and time are arguments, and randomness comes from the
 * generator in the state. The daemons and the benchmark call the same
 * functions.
 *
 * An item is a model or service of the bundle. A copy of it is an upstream
 * that can serve it now.
 */
#ifndef BK_ROUTE_ROUTE_H
#define BK_ROUTE_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/rng.h"
#include "bk/view/view.h"

#define BK_ROUTE_MAX_TRIED 8

typedef enum BkRoutePolicy {
    /* Goes by the reported load, corrected by the requests that this daemon
       sent (own requests), since reports are late. A request with a prefix
       goes to the copy that its prefix is assigned to by hashing, of those
       whose load is not far above the mean; any other to the less loaded of
       two random copies. */
    BK_ROUTE_CORRECTED,
    BK_ROUTE_RANDOM, /* this and the next two: baselines for benchmarks */
    BK_ROUTE_ROUND_ROBIN,
    BK_ROUTE_LEAST_REPORTED
} BkRoutePolicy;

typedef struct BkRouteConf {
    BkRoutePolicy policy;
    BkMs stale_after;  /* upstreams last observed longer ago are not used */
    BkMs service_time; /* estimated duration of a request in a free slot */
    /* time from getting a slot to the first byte of the answer */
    BkMs first_byte_time;
    BkMs report_lag; /* how old reports are when they arrive */
    /* number of daemons that send to the same upstreams, including this one */
    int senders;
    /* the copy that a request's prefix is assigned to is used if its load
       exceeds the mean by at most this share plus one request */
    double affinity_slack;
    bool admit_all; /* baseline: refuse no request for its deadline */
} BkRouteConf;

typedef struct BkRouteIndex BkRouteIndex;

typedef struct BkRoute {
    BkRouteConf conf;
    BkRng rng;
    uint32_t next_turn;  /* counter of the round-robin policy */
    BkRouteIndex *index; /* of the copies of each item */
} BkRoute;

/* Frees the index; the route may be used again and then creates a new one. */
void BkRoute_Destroy(BkRoute *route);

typedef struct BkRouteQuery {
    int item;             /* its index in the bundle */
    uint64_t prefix_hash; /* of the start of the prompt; 0: no affinity */
    BkMs deadline; /* time by which the first byte of the answer is due */
    int tried[BK_ROUTE_MAX_TRIED]; /* upstreams to leave out */
    int tried_count;
} BkRouteQuery;

typedef struct BkRouteChoice {
    BkStatus status; /* BK_OK, BK_ENOTREADY, BK_EOVERLOAD */
    int upstream;    /* its index in the view */
    /* conservative estimate of the wait until a slot is free: longer than the
       expected wait, see src/route/load.h */
    BkMs conservative_wait;
    BkMs retry_after; /* after a refusal: when the caller should retry */
} BkRouteChoice;

BkRouteChoice BkRoute_Choose(BkRoute *route, const BkView *view,
                             const BkRouteQuery *query, BkMs now);

/* Count a request of this daemon in view->ups[up] when it is sent and when it
 * ends. */
void BkRoute_NoteSent(BkView *view, int up);
void BkRoute_NoteFinished(BkView *view, int up);

/* Records how long a request of this daemon took from sending to its end. The
 * wait for a slot is estimated from the mean of these instead of the
 * configured service time. */
void BkRoute_NoteDuration(BkRoute *route, const BkView *view, int up,
                          BkMs duration);

/*
 * A token bucket that limits the retries of bk-entry (bk-front uses
 * bk/budget/budget.h): first attempts fill it and retries empty it, so that
 * retries do not multiply the load of a failing upstream.
 */
typedef struct BkRetryBucket {
    double tokens;
    double per_request; /* tokens that a first attempt adds, e.g. 0.1 */
    double max_tokens;  /* upper bound of tokens */
} BkRetryBucket;

/* Adds the tokens of a first attempt. */
void BkRetryBucket_CountRequest(BkRetryBucket *bucket);
/* Takes the token of one retry; false if there is none. */
bool BkRetryBucket_TryRetry(BkRetryBucket *bucket);

/*
 * Fair shares: while the requests in progress of this daemon are at its limit,
 * only callers below their share are admitted. The limit is divided among the
 * callers that have requests in progress, in proportion to their weights.
 */
typedef struct BkFairShare BkFairShare;
BkFairShare *BkFairShare_Create(const BkBundle *bundle, int limit);
void BkFairShare_Destroy(BkFairShare *fair);
/* Admits a request of the caller, an index in the bundle. An admitted request
 * must be released when it ends.
 * ERRORS: BK_EOVERLOAD with *retry_after set. */
BkStatus BkFairShare_Admit(BkFairShare *fair, int caller, BkMs now,
                           BkMs *retry_after);
/* Releases an admitted request; nothing if the caller has none in progress. */
void BkFairShare_Release(BkFairShare *fair, int caller, BkMs now);

#endif
