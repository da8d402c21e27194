/*
 * stop - which requests a daemon that stops still sends to upstreams; used by
 * bk-front
 *
 * Pure. After SIGTERM the load balancer goes on to send requests for a while,
 * and at the end of the grace time the process is killed. So requests are
 * taken in the first part of the grace time, and each one is sent only if its
 * run can end before the process exits: by its deadline, or by the time that
 * runs of its kind have taken lately. If no run was seen yet, it is taken to
 * be short.
 */
#ifndef BK_STOP_STOP_H
#define BK_STOP_STOP_H

#include <stdbool.h>

#include "bk/base/clock.h"

typedef struct BkStopConf {
    BkMs grace;  /* from the signal until the process is killed */
    BkMs margin; /* the process exits by itself so long before */
} BkStopConf;

/* How long runs take, smoothed. */
typedef struct BkRunTime {
    double mean;      /* ms */
    double deviation; /* ms, mean difference from the mean */
    bool known;       /* at least one run was counted */
} BkRunTime;

typedef struct BkStopQuery {
    BkMs since_signal;
    BkMs until_deadline; /* of the request */
    BkMs run_time;       /* from BkRunTime_GetBound */
    bool first_send;     /* the request was not sent before */
} BkStopQuery;

/* Counts a run that took so long. */
void BkRunTime_Note(BkRunTime *run_time, BkMs took);

/* How long most runs take at most; 0 if none was counted. */
BkMs BkRunTime_GetBound(const BkRunTime *run_time);

/* How long after the signal new requests are taken. */
BkMs BkStop_GetTakingTime(const BkStopConf *conf);

/* Whether the request may be sent to an upstream. */
bool BkStop_MaySend(const BkStopConf *conf, const BkStopQuery *query);

#endif
