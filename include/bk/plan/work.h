/*
 * work - token rate of a model, and its forecast, from the reports of daemons
 *
 * Pure. Answers demand that moves from one model to another within a few
 * seconds: a load takes about as long, so decisions go by the rate that is
 * expected when it ends. Two exponential means of the rate, one slower than
 * the other, differ in proportion to its trend. A third and slowest mean shows
 * which work has lasted: a model that had requests until recently keeps its
 * copies longer than others, and slow loads are only started for work that
 * lasts.
 */
#ifndef BK_PLAN_WORK_H
#define BK_PLAN_WORK_H

#include "bk/base/clock.h"

/* Rates are in tokens a second. */
typedef struct BkWorkConf {
    /* time constants of the exponential means */
    BkMs recent;
    BkMs slow;
    BkMs steady;
    /* how far ahead the rate is forecast */
    BkMs lookahead;
    /* a forecast is at least and at most this multiple of the recent rate */
    double min_forecast;
    double max_forecast;
} BkWorkConf;

typedef struct BkWork {
    /* tokens requested in the current round, which BkWork_EndRound ends */
    double round_tokens;
    /* exponential means, with the time constants of BkWorkConf */
    double recent_rate;
    double slow_rate;
    double steady_rate;
} BkWork;

extern const BkWorkConf bk_work_defaults;

void BkWork_Add(BkWork *work, double tokens);

/* Ends a round of length span and updates all rates. */
void BkWork_EndRound(BkWork *work, const BkWorkConf *conf, BkMs span);

/* The rate that is expected after conf->lookahead if the trend goes on. */
double BkWork_Forecast(const BkWork *work, const BkWorkConf *conf);

#endif
