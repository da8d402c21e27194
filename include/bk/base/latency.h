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

/* Counters NAME_total{le="..."} and NAME_ms_total, their sum. */
typedef struct BkLatency {
    BkCounter *buckets[BK_LATENCY_BUCKETS];
    BkCounter *sum;
} BkLatency;

/* labels are further ones, such as  route="a",  or "" for none. */
BkLatency BkLatency_Get(const char *name, const char *labels,
                        const char *help);
void BkLatency_Note(BkLatency *latency, BkMs span);

#endif
