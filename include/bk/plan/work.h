/*
 * work - smoothed token rate of a model, from the reports of daemons
 *
 * Pure. The rate follows a rise within half a second but a fall only over
 * some seconds, since a copy that is unloaded too early has to be loaded
 * again. A second, slower mean shows which work has lasted: a model that had
 * requests until recently keeps its copies longer than others, and slow loads
 * are only started for work that lasts.
 */
#ifndef BK_PLAN_WORK_H
#define BK_PLAN_WORK_H

#include "bk/base/clock.h"

/* Time constants of the exponential means. */
typedef struct BkWorkConf {
    BkMs rise;   /* of BkWork.rate while it rises */
    BkMs fall;   /* of BkWork.rate while it falls */
    BkMs steady; /* of BkWork.steady_rate */
} BkWorkConf;

typedef struct BkWork {
    /* tokens requested in the current round, which BkWork_EndRound ends */
    double round_tokens;
    double rate;        /* tokens a second */
    double steady_rate; /* the same, averaged over a longer time */
} BkWork;

extern const BkWorkConf bk_work_defaults;

void BkWork_Add(BkWork *work, double tokens);

/* Ends a round of length span and updates both rates. */
void BkWork_EndRound(BkWork *work, const BkWorkConf *conf, BkMs span);

#endif
