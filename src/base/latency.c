#include "bk/base/latency.h"

#include <stdio.h>

enum {
    NAME_BYTES = 96,
    LABEL_BYTES = 320
};

/* upper bounds in ms; the last bucket takes all */
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
    char full[NAME_BYTES];
    char all[LABEL_BYTES];

    for (int i = 0; i < BK_LATENCY_BUCKETS; i++) {
        snprintf(full, sizeof(full), "%s_total", name);
        format_bound(bounds[i], labels, all, sizeof(all));
        latency.buckets[i] = BkCounter_Get(full, all, help);
    }
    snprintf(full, sizeof(full), "%s_ms_total", name);
    latency.sum = BkCounter_Get(full, NULL, help);
    return latency;
}

void
BkLatency_Note(BkLatency *latency, BkMs span)
{
    for (int i = BK_LATENCY_BUCKETS - 1; i >= 0 && span <= bounds[i]; i--) {
        BkCounter_Add(latency->buckets[i], 1);
    }
    BkCounter_Add(latency->sum, span);
}
