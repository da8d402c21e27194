/*
 * latency - histograms of times in milliseconds, as counters
 */
#ifndef BK_BASE_LATENCY_H
#define BK_BASE_LATENCY_H

#include "bk/base/clock.h"
#include "bk/base/counters.h"

enum {
    BK_LATENCY_BUCKETS = 12
};

/* Each bucket counts, in NAME_total{le="BOUND"}, all durations of at most
 * BOUND ms (cumulative, as in Prometheus). NAME_ms_total is the sum of all
 * durations in ms. */
typedef struct BkLatency {
    BkCounter *buckets[BK_LATENCY_BUCKETS];
    BkCounter *sum;
} BkLatency;

/* Returns the histogram with this name. labels are added to the label le of
 * its buckets: such as  route="a",  with the comma, or "" for none. */
BkLatency BkLatency_Get(const char *name, const char *labels,
                        const char *help);

/* Counts one duration. */
void BkLatency_Note(BkLatency *latency, BkMs duration);

#endif
