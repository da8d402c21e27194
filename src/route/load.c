#include "load.h"

#include <math.h>
#include <stdlib.h>

#include "index.h"

/* Weight of an own request in progress, against 1 for a reported request: own
 * requests are known at once, while reports are late. */
#define OWN_WEIGHT 4.0

/* Time constant of the smoothed own send rate, for each sender. It is
 * multiplied by the number of senders: the more senders there are, the fewer
 * own requests the total rate is extrapolated from. */
#define SEND_RATE_TIME_PER_SENDER ((BkMs)250)

#define DURATION_WEIGHT 0.1 /* of the newest request in the mean duration */

#define MAX_MARGIN 1.28 /* standard deviations; one in ten cases is beyond */

/* The margin that is added to the estimated load makes the daemon refuse more
 * requests. While the upstream has free slots, a request that misses its
 * deadline delays no other, so the margin is 0 up to the first of these
 * utilizations and rises linearly to its maximum at the second. */
#define MARGIN_MIN_UTILIZATION 0.6
#define MARGIN_MAX_UTILIZATION 0.9
#define UTILIZATION_TIME_CONSTANT 3.0 /* seconds, to smooth the utilization */

int
route_slot_count(const BkView *view, int up)
{
    int slots = view->bundle->upstreams[up].slots;

    return slots > 0 ? slots : 1;
}

double
route_load_score(const BkView *view, int up)
{
    const BkUpView *up_view = &view->ups[up];
    double load = up_view->running + up_view->waiting;

    return (load + OWN_WEIGHT * up_view->own_running) /
           route_slot_count(view, up);
}

/* The reported load plus own requests sent and minus own requests finished
 * since the report, but no less than the own requests in progress. */
static int
corrected_load(const BkUpView *up_view)
{
    int load =
        up_view->running + up_view->waiting + up_view->own_running_delta;

    return load > up_view->own_running ? load : up_view->own_running;
}

/* How long a request takes on the upstream, in seconds: the measured mean, or
 * the configured estimate before the first measurement. */
static double
service_seconds(const BkRoute *route, const BkView *view, int up)
{
    const UpstreamStats *stats = route_find_stats(route, view, up);
    bool measured = stats != NULL && stats->mean_duration > 0;

    return measured ? stats->mean_duration
                    : (double)route->conf.service_time / BK_MS_PER_S;
}

void
BkRoute_NoteDuration(BkRoute *route, const BkView *view, int up, BkMs duration)
{
    UpstreamStats *stats = route_find_stats(route, view, up);
    double seconds = (double)(duration < 1 ? 1 : duration) / BK_MS_PER_S;

    /* No request was routed in this view yet. This one may be a stream that
       the daemon resumed, which it did not route. */
    if (stats == NULL) {
        return;
    }
    if (stats->mean_duration <= 0) {
        stats->mean_duration = service_seconds(route, view, up);
    }
    stats->mean_duration += (seconds - stats->mean_duration) * DURATION_WEIGHT;
}

/* The expected wait for a slot if request_count requests run or wait on the
 * upstream. */
static BkMs
wait_for_slot(const BkRoute *route, const BkView *view, double request_count,
              int up)
{
    int slots = route_slot_count(view, up);
    double ahead = request_count - slots + 1;
    double finish_interval =
        service_seconds(route, view, up) * BK_MS_PER_S / slots;

    return ahead <= 0 ? 0 : (BkMs)(ahead * finish_interval);
}

/* The time constant of the smoothed own send rate, in seconds. */
static double
send_rate_time_constant_s(const BkRoute *route)
{
    int senders = route->conf.senders > 1 ? route->conf.senders : 1;

    return (double)(senders * SEND_RATE_TIME_PER_SENDER) / BK_MS_PER_S;
}

/* Own requests sent per second, decayed to now. */
static double
own_send_rate(const BkRoute *route, int up, BkMs now)
{
    const UpstreamStats *stats = route_stats(route, up);
    double age = (double)(now - stats->send_rate_at) / BK_MS_PER_S;

    return stats->send_rate * exp(-age / send_rate_time_constant_s(route));
}

void
route_update_send_rate(BkRoute *route, int up, BkMs now)
{
    double rate =
        own_send_rate(route, up, now) + 1 / send_rate_time_constant_s(route);

    UpstreamStats *stats = route_stats(route, up);
    stats->send_rate = rate;
    stats->send_rate_at = now;
}

void
route_update_utilization(BkRoute *route, const BkView *view, int up, BkMs now)
{
    const BkUpView *up_view = &view->ups[up];
    UpstreamStats *stats = route_stats(route, up);
    double utilization = (double)(up_view->running + up_view->waiting) /
                         route_slot_count(view, up);
    double age = (double)(now - stats->utilization_at) / BK_MS_PER_S;

    stats->utilization += (utilization - stats->utilization) *
                          (1 - exp(-age / UTILIZATION_TIME_CONSTANT));
    stats->utilization_at = now;
}

/* The margin on the estimated load, in standard deviations of the number of
 * requests sent and finished since the report. */
static double
margin_deviations(const BkRoute *route, int up)
{
    double utilization = route_stats(route, up)->utilization;
    double ramp = (utilization - MARGIN_MIN_UTILIZATION) /
                  (MARGIN_MAX_UTILIZATION - MARGIN_MIN_UTILIZATION);

    return MAX_MARGIN * fmin(fmax(ramp, 0), 1);
}

/* How many requests of other daemons have probably finished in the last age_s
 * seconds, if request_count requests are in progress in total. Own requests
 * that finish are not included, as own_running_delta accounts for them. */
static double
finished_by_others(const BkRoute *route, const BkView *view, int up,
                   double request_count, double age_s)
{
    int senders = route->conf.senders;
    double running = fmin(request_count, route_slot_count(view, up));

    double duration_s = service_seconds(route, view, up);
    if (duration_s <= 0 || senders <= 1) {
        return 0;
    }
    return running * fmin(age_s / duration_s, 1) * (senders - 1) / senders;
}

BkMs
route_conservative_wait(const BkRoute *route, const BkView *view, int up,
                        BkMs now)
{
    const BkUpView *up_view = &view->ups[up];
    double known_load = corrected_load(up_view);
    double age_s = (double)(now - up_view->seen_at + route->conf.report_lag) /
                   BK_MS_PER_S;
    int others = route->conf.senders > 1 ? route->conf.senders - 1 : 0;
    /* the other senders are assumed to send at the rate of this daemon;
     * requests sent longer ago than a request takes have finished */
    double span_s = fmin(age_s, service_seconds(route, view, up));
    double others_sent = others * own_send_rate(route, up, now) * span_s;
    double others_finished =
        finished_by_others(route, view, up, known_load, age_s);
    double margin =
        margin_deviations(route, up) *
        sqrt(others_sent + others_finished + abs(up_view->own_running_delta));
    double load = up_view->running + up_view->waiting +
                  up_view->own_running_delta + others_sent - others_finished +
                  margin;

    return wait_for_slot(route, view, fmax(load, up_view->own_running), up);
}
