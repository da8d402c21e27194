#include "bk/wait/wait.h"

enum {
    /* ms; an interval that began longer ago says nothing about the pace of a
       new queue */
    STALE_AFTER = 2000
};

/* weight of the newest interval in the smoothed one */
static const double newest_weight = 0.25;

static double
smooth(double interval, double sample)
{
    return (1 - newest_weight) * interval + newest_weight * sample;
}

void
BkPace_Start(BkPace *pace, BkMs now)
{
    if (now - pace->interval_start > STALE_AFTER) {
        pace->interval = 0;
    }
    pace->interval_start = now;
}

void
BkPace_NoteSend(BkPace *pace, BkMs now)
{
    double sample = (double)(now - pace->interval_start);

    pace->interval =
        pace->interval > 0 ? smooth(pace->interval, sample) : sample;
    pace->interval_start = now;
}

BkMs
BkPace_EstimateWait(const BkPace *pace, int ahead, BkMs now)
{
    /* if no request has left for longer than usual, counts the current
       interval as if it ended now */
    double with_current =
        smooth(pace->interval, (double)(now - pace->interval_start));
    double interval =
        with_current > pace->interval ? with_current : pace->interval;

    if (interval <= 0) {
        return -1;
    }
    return (BkMs)(interval * (ahead + 1));
}
