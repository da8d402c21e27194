#include "bk/wait/wait.h"

enum {
    /* The platform's callers abandon a stream that sends nothing for the
       longest of: MIN_STREAM_PATIENCE; the latency target of the first event,
       multiplied by LATENCY_TARGET_FACTOR; the longest pause allowed between
       events, multiplied by PAUSE_FACTOR. */
    MIN_STREAM_PATIENCE = 2000, /* ms */
    LATENCY_TARGET_FACTOR = 4,
    PAUSE_FACTOR = 8
};

const BkWaitConf bk_wait_defaults = {.min_first_token_time = 60,
                                     .planner_delay = 1200,
                                     .election_time = 3000,
                                     .base_retry_after = 400,
                                     .max_retry_share = 0.33,
                                     .estimate_weight = 0.7};

/* The expected time until an upstream can serve the request; -1: not known,
   and counted as 0 when deciding whether to refuse. */
static BkMs
expected_delay(const BkWaitConf *conf, const BkWaitQuery *query)
{
    switch (query->cause) {
    case BK_WAIT_FULL:
        return query->queue_delay;
    case BK_WAIT_ADAPTER:
        /* the load of an adapter is requested from the planner, and takes
           little time once an engine takes the order */
        if (!query->has_planner) {
            return conf->election_time;
        }
        return query->until_ready > 0 ? query->until_ready : -1;
    case BK_WAIT_MODEL:
        if (query->until_ready >= 0) {
            return query->until_ready;
        }
        if (!query->has_planner) {
            return conf->election_time;
        }
        /* a planner that has not ordered a load by now will not order one
         * soon; the wait is taken to be as long as an election */
        return query->waited < conf->planner_delay ? -1 : conf->election_time;
    case BK_WAIT_PAUSE:
        return query->until_ready;
    }
    return -1;
}

/* Counts only a part of a wait that is estimated from the pace, so that a
   small error of the estimate does not refuse a request. */
static BkMs
discount_estimate(const BkWaitConf *conf, const BkWaitQuery *query,
                  BkMs expected)
{
    if (expected < 0) {
        return 0;
    }
    return query->cause == BK_WAIT_FULL
               ? (BkMs)(conf->estimate_weight * (double)expected)
               : expected;
}

static BkMs
retry_delay(const BkWaitConf *conf, const BkWaitQuery *query, BkMs expected)
{
    BkMs jitter = (BkMs)(query->jitter_draw * (double)conf->base_retry_after);
    BkMs max_delay =
        (BkMs)((double)query->until_deadline * conf->max_retry_share);
    BkMs delay = (expected < 0 ? conf->base_retry_after
                               : expected + conf->min_first_token_time) +
                 jitter;

    return delay < max_delay ? delay : max_delay;
}

BkWaitDecision
BkWait_Decide(const BkWaitConf *conf, const BkWaitQuery *query)
{
    BkMs time_left = query->patience - query->waited;
    BkMs expected = expected_delay(conf, query);
    BkMs needed =
        discount_estimate(conf, query, expected) + conf->min_first_token_time;

    if (query->until_deadline < time_left) {
        time_left = query->until_deadline;
    }
    if (needed <= time_left) {
        return (BkWaitDecision){.refuse = false};
    }
    return (BkWaitDecision){.refuse = true,
                            .retry_after = retry_delay(conf, query, expected)};
}

BkMs
BkWait_StreamPatience(BkMs latency_target, BkMs max_pause, BkMs max_wait)
{
    BkMs patience = MIN_STREAM_PATIENCE;

    if (latency_target * LATENCY_TARGET_FACTOR > patience) {
        patience = latency_target * LATENCY_TARGET_FACTOR;
    }
    if (max_pause * PAUSE_FACTOR > patience) {
        patience = max_pause * PAUSE_FACTOR;
    }
    return patience < max_wait ? patience : max_wait;
}
