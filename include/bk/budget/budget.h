/*
 * budget - limits the retries of requests to a service; used by bk-front
 * (bk-entry uses the token bucket of bk/route/route.h)
 *
 * Pure. In any span of one window, all daemons together may send a limited
 * number of retries: a ratio of the callers' requests, plus a fixed number,
 * the slack. Daemons do not coordinate this, a process does not know what its
 * predecessor sent, and callers move from one daemon to another. So a daemon
 * keeps no count of its last window, since such counts do not add up. Each
 * retry takes a token. A request earns a part of one, which is lost unless it
 * is used within a fifth of the window; and each daemon has a bucket for its
 * part of the slack, which is empty at the start of the process and refills
 * slowly.
 *
 * A retry without an answer may be held back on its way, and then arrives
 * beside retries that are sent later. For each one that is older than a slice
 * a token is reserved, and taken when its attempt ends.
 */
#ifndef BK_BUDGET_BUDGET_H
#define BK_BUDGET_BUDGET_H

#include <stdbool.h>

#include "bk/base/clock.h"

enum {
    BK_BUDGET_SLICES = 20, /* into which a window is divided */
    /* in which a token can be used, the one in which it was earned included */
    BK_BUDGET_TOKEN_SLICES = 4
};

/* The share of the ratio that requests earn. The rest covers tokens earned
 * before a window and used in it, and retries that arrive a little later than
 * they are sent. */
#define BK_BUDGET_USABLE_SHARE 0.75

/* What the bucket holds at most, and what it gains in a window, as shares of
 * the daemon's part of the slack; together less than 1. */
#define BK_BUDGET_BUCKET_SHARE 0.5
#define BK_BUDGET_REFILL_SHARE 0.4

typedef struct BkBudgetConf {
    double ratio; /* retries for each request */
    double slack; /* further retries of all daemons together in a window */
    BkMs window;
    BkMs started_at; /* when the daemon started */
    /* share of the ratio that is earned, normally BK_BUDGET_USABLE_SHARE */
    double usable_share;
} BkBudgetConf;

/* The tokens for one service. */
typedef struct BkBudget {
    /* not used yet, by the slice in which they were earned */
    double earned[BK_BUDGET_TOKEN_SLICES];
    double bucket;
    double debt; /* tokens taken that were not there */
    /* retries whose attempt has neither been answered nor ended: taken in the
       newest slice, in the one before, and earlier */
    int newest;
    int recent;
    int late;
    int64_t newest_slice; /* its number, from time 0 */
    BkMs refilled_at;
    bool initialized; /* whether newest_slice and refilled_at are set */
} BkBudget;

/* What a decision about a retry is based on, for the log. */
typedef struct BkBudgetState {
    double earned; /* tokens of requests, less the debt */
    double bucket; /* tokens of the slack */
    int late;      /* of these, reserved */
} BkBudgetState;

/* The number of the slice that holds this time. Whenever in it a request is
 * counted, the effect is the same. */
int64_t BkBudget_GetSlice(const BkBudgetConf *conf, BkMs at);

/* Counts a caller's request for the service. */
void BkBudget_CountRequest(BkBudget *budget, const BkBudgetConf *conf,
                           BkMs now);

/* Takes a token for a retry, or returns false if there is none. daemons: how
 * many daemons share the slack, including this one; 0: not known, and no part
 * of the slack is used. */
bool BkBudget_TakeRetry(BkBudget *budget, const BkBudgetConf *conf,
                        int daemons, BkMs now);

/* The attempt for which a token was taken at this time was answered, or ended,
 * so that it does not arrive any more. */
void BkBudget_EndRetry(BkBudget *budget, const BkBudgetConf *conf,
                       BkMs taken_at, BkMs now);

BkBudgetState BkBudget_Inspect(BkBudget *budget, const BkBudgetConf *conf,
                               int daemons, BkMs now);

#endif
