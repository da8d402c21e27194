/*
 * route - which upstream gets a request, and whether it is admitted
 *
 * Pure: state, event and time come in as arguments, random choices from the
 * caller's generator. The daemons and the bench call the same functions.
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
    BK_ROUTE_CORRECTED, /* lagged load corrected by own sends, two choices,
                           prefix affinity with a load bound */
    BK_ROUTE_RANDOM,    /* baselines from here on */
    BK_ROUTE_ROUND_ROBIN,
    BK_ROUTE_LEAST_REPORTED
} BkRoutePolicy;

typedef struct BkRouteConf {
    BkRoutePolicy policy;
    BkMs stale_after;      /* an observation older than this is not used */
    BkMs service_time;     /* estimate of one request on a free slot */
    BkMs first_byte;       /* from a free slot to the first byte of answer */
    BkMs report_lag;       /* how late the upstreams' reports are */
    int senders;           /* daemons that send to the same upstreams */
    double affinity_slack; /* how much fuller than the mean a copy may be
                              and still be chosen for its prefix */
    bool admit_all;        /* baseline: no refusal for lateness */
} BkRouteConf;

typedef struct BkRouteIndex BkRouteIndex;

typedef struct BkRoute {
    BkRouteConf conf;
    BkRng rng;
    uint32_t turn;       /* of round robin */
    BkRouteIndex *index; /* item to copies; follows the view's generation */
} BkRoute;

/* Frees the index; the route may be used again. */
void BkRoute_Destroy(BkRoute *route);

typedef struct BkRouteQuery {
    int item;             /* index in the bundle */
    uint64_t prefix_hash; /* of the prompt's head; 0: none */
    BkMs deadline;        /* point in time for the first byte of answer */
    int tried[BK_ROUTE_MAX_TRIED]; /* upstreams already tried */
    int tried_count;
} BkRouteQuery;

typedef struct BkRouteChoice {
    BkStatus status; /* BK_OK, BK_ENOTREADY, BK_EOVERLOAD */
    int upstream;
    BkMs expected_wait; /* estimate until a slot is free */
    BkMs retry_after;   /* when refused: when to come back */
} BkRouteChoice;

BkRouteChoice BkRoute_Choose(BkRoute *route, const BkView *view,
                             const BkRouteQuery *query, BkMs now);

/* Bookkeeping of own requests: counts in view->ups[up]. */
void BkRoute_Sent(BkView *view, int up);
void BkRoute_Finished(BkView *view, int up);

/* An own request there took so long from send to end; from these the wait
 * for a slot is estimated in place of conf.service_time. */
void BkRoute_NoteTook(BkRoute *route, const BkView *view, int up, BkMs took);

/*
 * Retry budget: a token bucket filled by first attempts, so that a failing
 * upstream's load is not multiplied.
 */
typedef struct BkRetryBudget {
    double tokens;
    double per_request; /* tokens that a first attempt brings, e.g. 0.1 */
    double most;
} BkRetryBudget;

void BkRetryBudget_Earn(BkRetryBudget *budget);
bool BkRetryBudget_Spend(BkRetryBudget *budget);

/*
 * Fair shares: under contention (in-flight requests of this daemon at its
 * limit) a caller over its weighted share is refused first.
 */
typedef struct BkFair BkFair;
BkFair *BkFair_Create(const BkBundle *bundle, int limit);
void BkFair_Destroy(BkFair *fair);
/* ERRORS: BK_EOVERLOAD with *retry_after set. */
BkStatus BkFair_Enter(BkFair *fair, int caller, BkMs now, BkMs *retry_after);
void BkFair_Leave(BkFair *fair, int caller, BkMs now);

#endif
