/*
 * wait - whether a request without an upstream waits or is refused
 *
 * Pure. A request that found no upstream waits only as long as it can be
 * expected to be served before its caller gives up. Otherwise it is refused
 * at once, with the time after which the caller should retry: the expected
 * wait, or a short time if that is not known, plus random jitter, so that
 * callers refused together do not retry together.
 *
 * When engines are full, the expected wait is estimated from the pace at
 * which requests for the same service and model left the queue lately, and
 * from the number of those ahead of this one.
 */
#ifndef BK_WAIT_WAIT_H
#define BK_WAIT_WAIT_H

#include <stdbool.h>

#include "bk/base/clock.h"

typedef enum BkWaitCause {
    BK_WAIT_FULL,    /* every upstream that can serve it is full */
    BK_WAIT_ADAPTER, /* its engine must load the adapter first */
    BK_WAIT_MODEL,   /* no engine holds its model */
    BK_WAIT_PAUSE    /* every upstream that can serve it asked for a pause */
} BkWaitCause;

typedef struct BkWaitConf {
    /* shortest time from sending a request to its first token */
    BkMs min_first_token_time;
    /* the planner decides within this time whether to load a model */
    BkMs planner_delay;
    /* usual time until a planner is elected again */
    BkMs election_time;
    /* Retry-After if the expected wait is not known; up to as much again is
       added at random to every Retry-After */
    BkMs base_retry_after;
    /* Retry-After is at most this share of the time to the deadline */
    double max_retry_share;
    /* factor by which a wait estimated from the pace is multiplied before
       deciding whether to refuse */
    double estimate_weight;
} BkWaitConf;

extern const BkWaitConf bk_wait_defaults;

/* How fast requests for one service and model leave the queue. */
typedef struct BkPace {
    /* when the last request left the queue, or the first one began to wait */
    BkMs interval_start;
    /* ms between two requests that leave, smoothed; 0: not known */
    double interval;
} BkPace;

typedef struct BkWaitQuery {
    BkWaitCause cause;
    BkMs waited; /* since the request came in */
    /* how long its caller waits for a first byte, from when the request
       came in */
    BkMs patience;
    BkMs until_deadline; /* time until the deadline of the request */
    /* expected, until its model is loaded, or until an engine can load its
       adapter; -1: not known */
    BkMs until_ready;
    BkMs queue_delay; /* expected, until it leaves the queue; -1: not known */
    bool has_planner; /* whether a planner is elected */
    double jitter_draw; /* random, uniform in [0, 1), for the Retry-After */
} BkWaitQuery;

typedef struct BkWaitDecision {
    bool refuse;
    BkMs retry_after;
} BkWaitDecision;

/* How long a stream's caller waits for the first event. latency_target: of
 * the first event; max_pause: longest pause allowed between events;
 * max_wait: upper bound of the result, such as the time until the deadline. */
BkMs BkWait_StreamPatience(BkMs latency_target, BkMs max_pause, BkMs max_wait);

/* A request begins to wait while no other for its service and model does. */
void BkPace_Start(BkPace *pace, BkMs now);

/* A request that waited is sent to an upstream. */
void BkPace_NoteSend(BkPace *pace, BkMs now);

/* The expected ms until a request is sent that has this many ahead of it in
 * the queue; -1: not known. */
BkMs BkPace_EstimateWait(const BkPace *pace, int ahead, BkMs now);

BkWaitDecision BkWait_Decide(const BkWaitConf *conf, const BkWaitQuery *query);

#endif
