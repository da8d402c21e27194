#include "bk/plan/work.h"

#include <math.h>

const BkWorkConf bk_work_defaults = {
    .rise = 400, .fall = 3000, .steady = 10000};

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
    BkMs time_constant = rate > work->rate ? conf->rise : conf->fall;

    work->rate = smooth(work->rate, rate, span, time_constant);
    work->steady_rate = smooth(work->steady_rate, rate, span, conf->steady);
    work->round_tokens = 0;
}
