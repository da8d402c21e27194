#include "sim.h"

#include <math.h>
#include <stdlib.h>

#define ZIPF_EXPONENT 0.8
#define SERVICE_SHARE 0.1 /* of the requests: those for the service */
#define MEAN_TOKENS 40.0
/* of the requests: those with a unique prompt prefix */
#define UNIQUE_PREFIX_SHARE 0.3
/* seconds; the rate of an item rises tenfold in one half of the period and
   falls again in the other */
#define TENFOLD_PERIOD 7200.0
#define MEAN_BURST_INTERVAL 40.0 /* seconds */
#define MEAN_BURST_LENGTH 90.0   /* seconds */

enum {
    MIN_TOKENS = 8,
    MAX_TOKENS = 200,
    SHARED_PREFIXES = 8, /* shared prompt prefixes per item */
    CALLERS = 4,
    MAX_BURSTS = 256
};

const Scenario scenarios[SCENARIO_COUNT] = {
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

/* Additional requests for one item. */
typedef struct Burst {
    double start;
    double end;
    int item;
    double rate;
} Burst;

typedef struct TraceBuilder {
    const Deployment *dep;
    const BkBundle *bundle;
    const Scenario *scenario;
    BkRng rng;
    Burst bursts[MAX_BURSTS];
    int burst_count;
    double phases[MAX_ITEMS]; /* of the wave of the tenfold scenario */
    double rates[MAX_ITEMS];  /* requests per second, in the current second */
    Trace trace;
    int cap;
} TraceBuilder;

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

/* The popularity of the items follows a Zipf law over a random order. The
   service gets a fixed share of the requests. */
static void
make_weights(TraceBuilder *builder)
{
    int count = builder->bundle->item_count;
    int rank[MAX_ITEMS];
    double sum = 0;

    for (int i = 0; i < count; i++) {
        int j = (int)BkRng_Below(&builder->rng, (uint32_t)i + 1);
        rank[i] = rank[j];
        rank[j] = i + 1;
    }
    for (int i = 0; i < count; i++) {
        bool is_service = builder->bundle->items[i].kind == BK_ITEM_SERVICE;
        builder->trace.weight[i] =
            is_service ? 0 : pow(rank[i], -ZIPF_EXPONENT);
        sum += builder->trace.weight[i];
    }
    for (int i = 0; i < count; i++) {
        bool is_service = builder->bundle->items[i].kind == BK_ITEM_SERVICE;
        builder->trace.weight[i] = is_service
                                       ? SERVICE_SHARE / (1 - SERVICE_SHARE)
                                       : builder->trace.weight[i] / sum;
        builder->phases[i] = 2 * M_PI * BkRng_Unit(&builder->rng);
    }
}

/* Each burst adds requests for one item that fill one to three engines. */
static void
make_bursts(TraceBuilder *builder)
{
    double engine_capacity =
        deployment_capacity(builder->dep) / builder->dep->engines;
    double start = draw_exponential(&builder->rng, MEAN_BURST_INTERVAL);
    int items = builder->bundle->item_count - 1;

    while (builder->scenario->kind == BURSTS &&
           start < builder->scenario->seconds &&
           builder->burst_count < MAX_BURSTS) {
        Burst *burst = &builder->bursts[builder->burst_count++];
        burst->item = (int)BkRng_Below(&builder->rng, (uint32_t)items);
        burst->start = start;
        burst->end =
            start + MEAN_BURST_LENGTH * (0.5 + BkRng_Unit(&builder->rng));
        burst->rate = engine_capacity * (1 + 2 * BkRng_Unit(&builder->rng));
        start += draw_exponential(&builder->rng, MEAN_BURST_INTERVAL);
    }
}

/* Sets the rates of this second and returns their sum. */
static double
update_rates(TraceBuilder *builder, double second)
{
    double sum = 0;

    for (int i = 0; i < builder->bundle->item_count; i++) {
        double rate = builder->trace.rate * builder->trace.weight[i];
        if (builder->scenario->kind == TENFOLD) {
            double angle =
                2 * M_PI * second / TENFOLD_PERIOD + builder->phases[i];
            rate *= pow(10, 0.5 * sin(angle));
        }
        builder->rates[i] = rate;
    }
    for (int i = 0; i < builder->burst_count; i++) {
        const Burst *burst = &builder->bursts[i];
        if (second >= burst->start && second < burst->end) {
            builder->rates[burst->item] += burst->rate;
        }
    }
    for (int i = 0; i < builder->bundle->item_count; i++) {
        sum += builder->rates[i];
    }
    return sum;
}

static int
draw_item(TraceBuilder *builder, double total_rate)
{
    double remaining = BkRng_Unit(&builder->rng) * total_rate;
    int last = builder->bundle->item_count - 1;

    for (int i = 0; i < last; i++) {
        remaining -= builder->rates[i];
        if (remaining < 0) {
            return i;
        }
    }
    return last;
}

static void
add_arrival(TraceBuilder *builder, double second, double total_rate)
{
    Trace *trace = &builder->trace;

    if (trace->count == builder->cap) {
        builder->cap = builder->cap == 0 ? 4096 : 2 * builder->cap;
        trace->arrivals =
            BkMem_Grow(trace->arrivals, (size_t)builder->cap, sizeof(Arrival));
    }
    Arrival *a = &trace->arrivals[trace->count++];
    a->at = (BkMs)((second + BkRng_Unit(&builder->rng)) * BK_MS_PER_S);
    a->item = draw_item(builder, total_rate);
    double tokens = draw_exponential(&builder->rng, MEAN_TOKENS);
    a->tokens = (int)fmin(fmax(tokens, MIN_TOKENS), MAX_TOKENS);
    a->entry = (int)BkRng_Below(&builder->rng, ENTRIES);
    a->caller = (int)BkRng_Below(&builder->rng, CALLERS);
    uint32_t shared = BkRng_Below(&builder->rng, SHARED_PREFIXES);
    a->prefix = 1 + (uint64_t)a->item * SHARED_PREFIXES + shared;
    if (BkRng_Unit(&builder->rng) < UNIQUE_PREFIX_SHARE) {
        a->prefix = BkRng_Next(&builder->rng) | 1;
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
trace_generate(const Deployment *dep, const BkBundle *bundle,
               const Scenario *scenario, uint64_t seed)
{
    TraceBuilder builder = {
        .dep = dep, .bundle = bundle, .scenario = scenario};

    builder.rng = BkRng_Make(seed * 1000 + (uint64_t)scenario->kind);
    builder.trace.rate = scenario->offered_load * deployment_capacity(dep);
    make_weights(&builder);
    make_bursts(&builder);
    for (int second = 0; second < scenario->seconds; second++) {
        double total_rate = update_rates(&builder, second);
        int count = draw_poisson(&builder.rng, total_rate);
        int first_of_second = builder.trace.count;
        for (int i = 0; i < count; i++) {
            add_arrival(&builder, second, total_rate);
        }
        qsort(builder.trace.arrivals + first_of_second, (size_t)count,
              sizeof(Arrival), compare_arrivals);
    }
    return builder.trace;
}

void
trace_free(Trace *trace)
{
    free(trace->arrivals);
}
