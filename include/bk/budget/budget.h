/*
 * budget - how many requests to a service may be repeats
 *
 * Pure. All daemons together may send ratio repeats for each request in a
 * sliding window, and slack more. Without talking about it, each daemon keeps
 * to the ratio of its own requests and to its part of the slack. What a
 * daemon spent before a restart is not known to it, so its part of the slack
 * grows from nothing over the first window of its life.
 */
#ifndef BK_BUDGET_BUDGET_H
#define BK_BUDGET_BUDGET_H

#include <stdbool.h>

#include "bk/base/clock.h"

enum {
    BK_BUDGET_SLICES = 20 /* of a window */
};

/* The part of both limits that is used; the rest is for what a daemon forgot
 * when it started again, and for the edges of windows. */
#define BK_BUDGET_SHARE 0.85

typedef struct BkBudgetConf {
    double ratio;
    double slack; /* of all daemons */
    BkMs window;
    BkMs began;   /* start of the daemon */
    double share; /* of both that is used, such as BK_BUDGET_SHARE */
} BkBudgetConf;

/* The repeats and requests of one service. */
typedef struct BkBudget {
    double requests[BK_BUDGET_SLICES];
    double repeats[BK_BUDGET_SLICES];
    int64_t slice; /* number of the newest */
    bool used;
} BkBudget;

/* A caller's request for the service came in. */
void BkBudget_Earn(BkBudget *budget, const BkBudgetConf *conf, BkMs now);

/* Takes one repeat if it is within the limit; daemons: how many there may
 * be, this one included. */
bool BkBudget_Spend(BkBudget *budget, const BkBudgetConf *conf, int daemons,
                    BkMs now);

#endif
