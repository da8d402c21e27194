#include "bk/wait/wait.h"

enum {
    STALE = 2000 /* ms after which an old pace says nothing */
};

/* weight of the newest interval */
static const double newest = 0.25;

static double
smooth(double interval, double next)
{
    return (1 - newest) * interval + newest * next;
}

void
BkPace_Begin(BkPace *pace, BkMs now)
{
    if (now - pace->since > STALE) {
        pace->interval = 0;
    }
    pace->since = now;
}

void
BkPace_NoteSend(BkPace *pace, BkMs now)
{
    double next = (double)(now - pace->since);

    pace->interval = pace->interval > 0 ? smooth(pace->interval, next) : next;
    pace->since = now;
}

BkMs
BkPace_Expect(const BkPace *pace, int before, BkMs now)
{
    /* as if the next one left now, if that is late */
    double slower = smooth(pace->interval, (double)(now - pace->since));
    double interval = slower > pace->interval ? slower : pace->interval;

    if (interval <= 0) {
        return -1;
    }
    return (BkMs)(interval * (before + 1));
}
