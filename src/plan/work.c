#include "bk/plan/work.h"

#include <math.h>

const BkWorkConf bk_work_defaults = {.recent = 800,
                                     .slow = 3000,
                                     .steady = 10000,
                                     .lookahead = 2500,
                                     .min_forecast = 0.3,
                                     .max_forecast = 2.5};

void
BkWork_Add(BkWork *work, double tokens)
{
    work->round_tokens += tokens;
}

static double
smooth(double mean, double rate, BkMs span, BkMs time_constant)
{
    return mean +
           (rate - mean) * fmin(1, (double)span / (double)time_constant);
}

void
BkWork_EndRound(BkWork *work, const BkWorkConf *conf, BkMs span)
{
    double rate = work->round_tokens * (double)BK_MS_PER_S / (double)span;

    work->recent_rate = smooth(work->recent_rate, rate, span, conf->recent);
    work->slow_rate = smooth(work->slow_rate, rate, span, conf->slow);
    work->steady_rate = smooth(work->steady_rate, rate, span, conf->steady);
    work->round_tokens = 0;
}

double
BkWork_Forecast(const BkWork *work, const BkWorkConf *conf)
{
    /* each mean lags behind a steady trend by its time constant */
    double trend = (work->recent_rate - work->slow_rate) /
                   (double)(conf->slow - conf->recent);
    double forecast =
        work->recent_rate + trend * (double)(conf->recent + conf->lookahead);

    return fmin(fmax(forecast, conf->min_forecast * work->recent_rate),
                conf->max_forecast * work->recent_rate);
}
