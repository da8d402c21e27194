#include "bk/stop/stop.h"

#include <math.h>

enum {
    /* ms; the load balancer checks readiness each second and acts on the
       second failure */
    MAX_TAKING_TIME = 3000
};

/* The share of the grace time in which requests are taken at most; the rest is
   for their runs. */
static const double taking_share = 0.375;

/* Gains, and the number of deviations above the mean, as in estimates of round
   trip times. */
static const double mean_gain = 0.125;
static const double deviation_gain = 0.25;
static const double bound_deviations = 4;

void
BkRunTime_Note(BkRunTime *run_time, BkMs took)
{
    double error = (double)took - run_time->mean;

    if (!run_time->known) {
        *run_time = (BkRunTime){(double)took, (double)took / 2, true};
        return;
    }
    run_time->deviation +=
        deviation_gain * (fabs(error) - run_time->deviation);
    run_time->mean += mean_gain * error;
}

BkMs
BkRunTime_GetBound(const BkRunTime *run_time)
{
    return (BkMs)(run_time->mean + bound_deviations * run_time->deviation);
}

BkMs
BkStop_GetTakingTime(const BkStopConf *conf)
{
    BkMs share = (BkMs)((double)conf->grace * taking_share);

    return share < MAX_TAKING_TIME ? share : MAX_TAKING_TIME;
}

bool
BkStop_MaySend(const BkStopConf *conf, const BkStopQuery *query)
{
    BkMs left = conf->grace - conf->margin - query->since_signal;
    BkMs needed = query->run_time < query->until_deadline
                      ? query->run_time
                      : query->until_deadline;

    if (query->first_send &&
        query->since_signal >= BkStop_GetTakingTime(conf)) {
        return false;
    }
    return needed < left;
}
