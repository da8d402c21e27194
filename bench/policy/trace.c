#include "world.h"

#include <math.h>
#include <stdlib.h>

#define ZIPF 0.8
#define SERVICE_SHARE 0.1 /* of the requests */
#define MEAN_TOKENS 40.0
#define OWN_PREFIX 0.3 /* share of requests that no other has the prefix of */
#define TENFOLD_PERIOD 7200.0 /* s of a wave: from least to most in half */
#define BURST_EVERY 40.0      /* s, mean */
#define BURST_LONG 90.0       /* s */

enum {
    LEAST_TOKENS = 8,
    MOST_TOKENS = 200,
    PREFIXES = 8, /* common ones of an item */
    CALLERS = 4,
    MAX_BURSTS = 256
};

const Scenario scenarios[SCENARIOS] = {
    {STEADY, "steady", 600, 0.6, 200, 0, 0},
    {BURSTS, "bursts", 900, 0.3, 200, 0, 0},
    {TENFOLD, "tenfold", 3600, 0.55, 200, 0, 0},
    {REPLICA_LOST, "replica-lost", 600, 0.6, 200, 120000, 360000},
    {DOMAIN_LOST, "domain-lost", 600, 0.5, 200, 120000, 360000},
    {ROLL, "roll", 900, 0.6, 200, 60000, 0},
    {PLATFORM_OUT, "platform-out", 900, 0.6, 200, 120000, 720000},
    {REPORTS_LAG, "reports-lag", 600, 0.6, 3000, 0, 0},
    {OVERLOAD, "overload", 600, 1.5, 200, 0, 0},
};

typedef struct Burst {
    double from;
    double until;
    int item;
    double rate;
} Burst;

typedef struct Maker {
    const Deployment *dep;
    const BkBundle *bundle;
    const Scenario *scenario;
    BkRng rng;
    Burst bursts[MAX_BURSTS];
    int burst_count;
    double phase[MAX_ITEMS];
    double rates[MAX_ITEMS]; /* of this second */
    Trace trace;
    int cap;
} Maker;

static double
draw_exponential(BkRng *rng, double mean)
{
    return -mean * log(1 - BkRng_Unit(rng));
}

static int
draw_poisson(BkRng *rng, double mean)
{
    double sum = draw_exponential(rng, 1);
    int count = 0;

    while (sum < mean) {
        count++;
        sum += draw_exponential(rng, 1);
    }
    return count;
}

/* popularity by a shuffled rank */
static void
make_weights(Maker *m)
{
    int count = m->bundle->item_count;
    int rank[MAX_ITEMS];
    double sum = 0;

    for (int i = 0; i < count; i++) {
        int j = (int)BkRng_Below(&m->rng, (uint32_t)i + 1);
        rank[i] = rank[j];
        rank[j] = i + 1;
    }
    for (int i = 0; i < count; i++) {
        bool service = m->bundle->items[i].kind == BK_ITEM_SERVICE;
        m->trace.weight[i] = service ? 0 : pow(rank[i], -ZIPF);
        sum += m->trace.weight[i];
    }
    for (int i = 0; i < count; i++) {
        bool service = m->bundle->items[i].kind == BK_ITEM_SERVICE;
        m->trace.weight[i] = service ? SERVICE_SHARE / (1 - SERVICE_SHARE)
                                     : m->trace.weight[i] / sum;
        m->phase[i] = 2 * M_PI * BkRng_Unit(&m->rng);
    }
}

/* each burst brings one item between one and three engines' worth */
static void
make_bursts(Maker *m)
{
    double engine = capacity_of(m->dep) / m->dep->engines;
    double at = draw_exponential(&m->rng, BURST_EVERY);
    int items = m->bundle->item_count - 1;

    while (m->scenario->kind == BURSTS && at < m->scenario->seconds &&
           m->burst_count < MAX_BURSTS) {
        Burst *burst = &m->bursts[m->burst_count++];
        burst->item = (int)BkRng_Below(&m->rng, (uint32_t)items);
        burst->from = at;
        burst->until = at + BURST_LONG * (0.5 + BkRng_Unit(&m->rng));
        burst->rate = engine * (1 + 2 * BkRng_Unit(&m->rng));
        at += draw_exponential(&m->rng, BURST_EVERY);
    }
}

static double
rates_at(Maker *m, double second)
{
    double sum = 0;

    for (int i = 0; i < m->bundle->item_count; i++) {
        double rate = m->trace.rate * m->trace.weight[i];
        if (m->scenario->kind == TENFOLD) {
            double turn = 2 * M_PI * second / TENFOLD_PERIOD + m->phase[i];
            rate *= pow(10, 0.5 * sin(turn));
        }
        m->rates[i] = rate;
    }
    for (int i = 0; i < m->burst_count; i++) {
        const Burst *burst = &m->bursts[i];
        if (second >= burst->from && second < burst->until) {
            m->rates[burst->item] += burst->rate;
        }
    }
    for (int i = 0; i < m->bundle->item_count; i++) {
        sum += m->rates[i];
    }
    return sum;
}

static int
draw_item(Maker *m, double sum)
{
    double at = BkRng_Unit(&m->rng) * sum;
    int last = m->bundle->item_count - 1;

    for (int i = 0; i < last; i++) {
        at -= m->rates[i];
        if (at < 0) {
            return i;
        }
    }
    return last;
}

static void
add_arrival(Maker *m, double second, double sum)
{
    Trace *trace = &m->trace;

    if (trace->count == m->cap) {
        m->cap = m->cap == 0 ? 4096 : 2 * m->cap;
        trace->arrivals =
            BkMem_Grow(trace->arrivals, (size_t)m->cap, sizeof(Arrival));
    }
    Arrival *a = &trace->arrivals[trace->count++];
    a->at = (BkMs)((second + BkRng_Unit(&m->rng)) * BK_MS_PER_S);
    a->item = draw_item(m, sum);
    double tokens = draw_exponential(&m->rng, MEAN_TOKENS);
    a->tokens = (int)fmin(fmax(tokens, LEAST_TOKENS), MOST_TOKENS);
    a->entry = (int)BkRng_Below(&m->rng, ENTRIES);
    a->caller = (int)BkRng_Below(&m->rng, CALLERS);
    uint32_t common = BkRng_Below(&m->rng, PREFIXES);
    a->prefix = 1 + (uint64_t)a->item * PREFIXES + common;
    if (BkRng_Unit(&m->rng) < OWN_PREFIX) {
        a->prefix = BkRng_Next(&m->rng) | 1;
    }
}

static int
compare_arrivals(const void *a, const void *b)
{
    const Arrival *x = a;
    const Arrival *y = b;

    if (x->at != y->at) {
        return x->at < y->at ? -1 : 1;
    }
    return x->prefix < y->prefix ? -1 : x->prefix > y->prefix;
}

Trace
trace_make(const Deployment *dep, const BkBundle *bundle,
           const Scenario *scenario, uint64_t seed)
{
    Maker m = {.dep = dep, .bundle = bundle, .scenario = scenario};

    m.rng = BkRng_Make(seed * 1000 + (uint64_t)scenario->kind);
    m.trace.rate = scenario->use * capacity_of(dep);
    make_weights(&m);
    make_bursts(&m);
    for (int second = 0; second < scenario->seconds; second++) {
        double sum = rates_at(&m, second);
        int count = draw_poisson(&m.rng, sum);
        int first = m.trace.count;
        for (int i = 0; i < count; i++) {
            add_arrival(&m, second, sum);
        }
        qsort(m.trace.arrivals + first, (size_t)count, sizeof(Arrival),
              compare_arrivals);
    }
    return m.trace;
}

void
trace_free(Trace *trace)
{
    free(trace->arrivals);
}
