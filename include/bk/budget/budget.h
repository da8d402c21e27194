/*
 * budget - limits the retries of requests to a service in a sliding window;
 * used by bk-front (bk-entry uses the token bucket of bk/route/route.h)
 *
 * Pure. In each window, all daemons together may send a limited number
 * of retries: a ratio of the callers' requests, plus a fixed number, the
 * slack. Daemons do not coordinate this: each keeps to the ratio of its own
 * requests and to an equal part of the slack. A daemon does not know how many
 * retries it sent before a restart, so its part of the slack grows from zero
 * over its first window.
 */
#ifndef BK_BUDGET_BUDGET_H
#define BK_BUDGET_BUDGET_H

#include <stdbool.h>

#include "bk/base/clock.h"

enum {
    BK_BUDGET_SLICES = 20 /* into which a window is divided */
};

/* The share of the limit that a daemon uses. The rest covers retries that a
 * daemon no longer counts after a restart, and windows that begin or end
 * within a slice. */
#define BK_BUDGET_USABLE_SHARE 0.85

typedef struct BkBudgetConf {
    double ratio; /* retries for each request */
    double slack; /* further retries of all daemons together in a window */
    BkMs window;
    BkMs started_at; /* when the daemon started */
    /* share of the limit that is used, normally BK_BUDGET_USABLE_SHARE */
    double usable_share;
} BkBudgetConf;

/* The requests to one service and their retries, counted by slice. */
typedef struct BkBudget {
    double requests[BK_BUDGET_SLICES];
    double retries[BK_BUDGET_SLICES];
    int64_t newest_slice; /* number of the newest slice, from time 0 */
    bool initialized;     /* whether newest_slice is set */
} BkBudget;

/* Counts a caller's request for the service. */
void BkBudget_CountRequest(BkBudget *budget, const BkBudgetConf *conf,
                           BkMs now);

/* Counts one retry if that is within the limit, else returns false. daemons:
 * how many daemons share the slack, including this one; if that is not known,
 * the highest possible number. */
bool BkBudget_TakeRetry(BkBudget *budget, const BkBudgetConf *conf,
                        int daemons, BkMs now);

/* What a decision about a retry is based on, for the log. */
typedef struct BkBudgetState {
    double requests; /* in the last window */
    double retries;  /* in the last window */
    double limit;    /* of these */
} BkBudgetState;

BkBudgetState BkBudget_Inspect(BkBudget *budget, const BkBudgetConf *conf,
                               int daemons, BkMs now);

#endif
