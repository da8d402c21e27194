#include "bk/wait/wait.h"

enum {
    /* The platform's callers abandon a stream that sends nothing for the
       longest of these three: */
    MIN_STREAM_PATIENCE = 2000, /* ms */
    TARGETS_PER_PATIENCE = 4,   /* times the objective for the first event */
    GAPS_PER_PATIENCE = 8       /* times the longest pause between events */
};

const BkWaitConf bk_wait_usual = {.margin = 60,
                                  .decide = 1200,
                                  .no_planner = 3000,
                                  .full_return = 400,
                                  .return_share = 0.33,
                                  .trust = 0.7};

/* How long until an upstream is expected to be free for the request; -1: soon,
   but not known when. */
static BkMs
expected_delay(const BkWaitConf *conf, const BkWaitCase *query)
{
    switch (query->cause) {
    case BK_WAIT_FULL:
        return query->turn_in;
    case BK_WAIT_ADAPTER:
        return query->planner ? -1 : conf->no_planner;
    case BK_WAIT_MODEL:
        if (query->ready_in >= 0) {
            return query->ready_in;
        }
        if (!query->planner) {
            return conf->no_planner;
        }
        /* a planner that has not ordered a load by now will not order one */
        return query->waited < conf->decide ? -1 : conf->no_planner;
    }
    return -1;
}

/* Counts only a part of a wait that is estimated from the pace, so that a
   small error of the estimate does not refuse a request. */
static BkMs
discount_estimate(const BkWaitConf *conf, const BkWaitCase *query,
                  BkMs expected)
{
    if (expected < 0) {
        return 0;
    }
    return query->cause == BK_WAIT_FULL
               ? (BkMs)(conf->trust * (double)expected)
               : expected;
}

static BkMs
retry_delay(const BkWaitConf *conf, const BkWaitCase *query, BkMs expected)
{
    BkMs jitter = (BkMs)(query->draw * (double)conf->full_return);
    BkMs max_delay = (BkMs)((double)query->left * conf->return_share);
    BkMs delay =
        (expected < 0 ? conf->full_return : expected + conf->margin) + jitter;

    return delay < max_delay ? delay : max_delay;
}

BkWaitVerdict
BkWait_Judge(const BkWaitConf *conf, const BkWaitCase *query)
{
    BkMs patience = query->patience - query->waited;
    BkMs expected = expected_delay(conf, query);
    BkMs needed = discount_estimate(conf, query, expected) + conf->margin;

    if (query->left < patience) {
        patience = query->left;
    }
    if (needed <= patience) {
        return (BkWaitVerdict){.refuse = false};
    }
    return (BkWaitVerdict){.refuse = true,
                           .retry_after = retry_delay(conf, query, expected)};
}

BkMs
BkWait_StreamPatience(BkMs target, BkMs gap, BkMs max_wait)
{
    BkMs patience = MIN_STREAM_PATIENCE;

    if (target * TARGETS_PER_PATIENCE > patience) {
        patience = target * TARGETS_PER_PATIENCE;
    }
    if (gap * GAPS_PER_PATIENCE > patience) {
        patience = gap * GAPS_PER_PATIENCE;
    }
    return patience < max_wait ? patience : max_wait;
}
