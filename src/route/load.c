#include "load.h"

#include <math.h>
#include <stdlib.h>

#include "index.h"

/* an own request in progress weighs more than a reported one, for it is
 * known at once while the reports are late */
#define OWN_WEIGHT 4.0

/* of the own rate, for each sender: the more senders, the fewer requests an
 * estimate of all is made from */
#define RATE_MEMORY ((BkMs)250)

#define TOOK_SHARE 0.1 /* of a new measurement of how long requests take */

#define MARGIN 1.28 /* standard deviations; one in ten is beyond */

/* A margin costs refusals. While an upstream has slots to spare a late one
 * harms no other, so the margin comes in with lasting use. */
#define MARGIN_FROM 0.6
#define MARGIN_FULL 0.9
#define USE_MEMORY 3.0 /* seconds */

int
route_slots(const BkView *view, int up)
{
    int slots = view->bundle->upstreams[up].slots;

    return slots > 0 ? slots : 1;
}

double
route_fullness(const BkView *view, int up)
{
    const BkUpView *seen = &view->ups[up];
    double load = seen->running + seen->waiting;

    return (load + OWN_WEIGHT * seen->own_running) / route_slots(view, up);
}

/* the report, plus what was sent since; never below what this daemon knows
 * to be in progress */
static int
corrected_load(const BkUpView *seen)
{
    int load = seen->running + seen->waiting + seen->sent_since;

    return load > seen->own_running ? load : seen->own_running;
}

/* how long a request takes there, in seconds: as measured, else as set */
static double
service_seconds(const BkRoute *route, const BkView *view, int up)
{
    const IndexFlow *flow = route_known_flow(route, view, up);
    bool measured = flow != NULL && flow->took > 0;

    return measured ? flow->took
                    : (double)route->conf.service_time / BK_MS_PER_S;
}

void
BkRoute_NoteTook(BkRoute *route, const BkView *view, int up, BkMs took)
{
    IndexFlow *flow = route_known_flow(route, view, up);
    double seconds = (double)(took < 1 ? 1 : took) / BK_MS_PER_S;

    /* a stream that is resumed here was never routed here */
    if (flow == NULL) {
        return;
    }
    if (flow->took <= 0) {
        flow->took = service_seconds(route, view, up);
    }
    flow->took += (seconds - flow->took) * TOOK_SHARE;
}

static BkMs
wait_for_slot(const BkRoute *route, const BkView *view, double load, int up)
{
    int slots = route_slots(view, up);
    double ahead = load - slots + 1;
    double each = service_seconds(route, view, up) * BK_MS_PER_S / slots;

    return ahead <= 0 ? 0 : (BkMs)(ahead * each);
}

static double
rate_memory(const BkRoute *route)
{
    int senders = route->conf.senders > 1 ? route->conf.senders : 1;

    return (double)(senders * RATE_MEMORY) / BK_MS_PER_S;
}

static double
own_rate(const BkRoute *route, int up, BkMs now)
{
    const IndexFlow *flow = route_flow(route, up);
    double age = (double)(now - flow->rate_at) / BK_MS_PER_S;

    return flow->rate * exp(-age / rate_memory(route));
}

void
route_note_send(BkRoute *route, int up, BkMs now)
{
    double rate = own_rate(route, up, now) + 1 / rate_memory(route);

    IndexFlow *flow = route_flow(route, up);
    flow->rate = rate;
    flow->rate_at = now;
}

void
route_note_use(BkRoute *route, const BkView *view, int up, BkMs now)
{
    const BkUpView *seen = &view->ups[up];
    IndexFlow *flow = route_flow(route, up);
    double use =
        (double)(seen->running + seen->waiting) / route_slots(view, up);
    double age = (double)(now - flow->use_at) / BK_MS_PER_S;

    flow->use += (use - flow->use) * (1 - exp(-age / USE_MEMORY));
    flow->use_at = now;
}

static double
margin_deviations(const BkRoute *route, int up)
{
    double use = route_flow(route, up)->use;
    double part = (use - MARGIN_FROM) / (MARGIN_FULL - MARGIN_FROM);

    return MARGIN * fmin(fmax(part, 0), 1);
}

/* requests of other daemons that finish in a span, in seconds, with so many
 * in progress; the own ones are counted in sent_since */
static double
others_finished(const BkRoute *route, const BkView *view, int up, double load,
                double span)
{
    int senders = route->conf.senders;
    double running = fmin(load, route_slots(view, up));

    double seconds = service_seconds(route, view, up);
    if (seconds <= 0 || senders <= 1) {
        return 0;
    }
    return running * fmin(span / seconds, 1) * (senders - 1) / senders;
}

BkMs
route_safe_wait(const BkRoute *route, const BkView *view, int up, BkMs now)
{
    const BkUpView *seen = &view->ups[up];
    double known = corrected_load(seen);
    double age =
        (double)(now - seen->seen + route->conf.report_lag) / BK_MS_PER_S;
    int others = route->conf.senders > 1 ? route->conf.senders - 1 : 0;
    /* what was sent longer ago than a request takes is no load any more */
    double span = fmin(age, service_seconds(route, view, up));
    double sent = others * own_rate(route, up, now) * span;
    double finished = others_finished(route, view, up, known, age);
    double margin = margin_deviations(route, up) *
                    sqrt(sent + finished + abs(seen->sent_since));
    double load = seen->running + seen->waiting + seen->sent_since + sent -
                  finished + margin;

    return wait_for_slot(route, view, fmax(load, seen->own_running), up);
}
