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

/* Counters NAME_total{le="..."}, each of the times up to that bound, and
 * NAME_ms_total, the sum of all times. */
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
