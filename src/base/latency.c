#include "bk/base/latency.h"

#include <stdio.h>

enum {
    NAME_BYTES = 96,
    LABEL_BYTES = 320
};

/* upper bounds of the buckets in ms; the last one has no bound */
static const BkMs bounds[BK_LATENCY_BUCKETS] = {
    1, 2, 5, 10, 20, 44, 100, 250, 520, 1000, 5000, BK_MS_NEVER,
};

static void
format_bound(BkMs bound, const char *labels, char *out, size_t size)
{
    if (bound == BK_MS_NEVER) {
        snprintf(out, size, "%sle=\"+Inf\"", labels);
    }
    else {
        snprintf(out, size, "%sle=\"%lld\"", labels, (long long)bound);
    }
}

BkLatency
BkLatency_Get(const char *name, const char *labels, const char *help)
{
    BkLatency latency;
    char full_name[NAME_BYTES];
    char all_labels[LABEL_BYTES];

    for (int i = 0; i < BK_LATENCY_BUCKETS; i++) {
        snprintf(full_name, sizeof(full_name), "%s_total", name);
        format_bound(bounds[i], labels, all_labels, sizeof(all_labels));
        latency.buckets[i] = BkCounter_Get(full_name, all_labels, help);
    }
    snprintf(full_name, sizeof(full_name), "%s_ms_total", name);
    latency.sum = BkCounter_Get(full_name, NULL, help);
    return latency;
}

void
BkLatency_Note(BkLatency *latency, BkMs duration)
{
    for (int i = BK_LATENCY_BUCKETS - 1; i >= 0 && duration <= bounds[i];
         i--) {
        BkCounter_Add(latency->buckets[i], 1);
    }
    BkCounter_Add(latency->sum, duration);
}
