#include <stdio.h>

#include "bk/entry/entry.h"

/* upper bounds in ms; the last bucket takes all */
static const BkMs bounds[BK_LATENCY_BUCKETS] = {
    1, 2, 5, 10, 20, 44, 100, 250, 520, 1000, 5000, BK_MS_NEVER,
};

BkLatency
BkLatency_Get(const char *name, const char *help)
{
    BkLatency latency;
    char full[64];
    char labels[32];

    for (int i = 0; i < BK_LATENCY_BUCKETS; i++) {
        snprintf(full, sizeof(full), "bk_entry_%s_total", name);
        if (bounds[i] == BK_MS_NEVER) {
            snprintf(labels, sizeof(labels), "le=\"+Inf\"");
        }
        else {
            snprintf(labels, sizeof(labels), "le=\"%lld\"",
                     (long long)bounds[i]);
        }
        latency.buckets[i] = BkCounter_Get(full, labels, help);
    }
    snprintf(full, sizeof(full), "bk_entry_%s_ms_total", name);
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

BkEntryCounters
BkEntryCounters_Get(void)
{
    return (BkEntryCounters){
        .first_byte =
            BkLatency_Get("first_byte", "requests by ms to the first byte"),
        .between_tokens =
            BkLatency_Get("between_tokens", "events by ms since the last"),
        .tokens = BkCounter_Get("bk_entry_events_total", NULL,
                                "stream events forwarded"),
        .retries = BkCounter_Get("bk_entry_retries_total", NULL,
                                 "attempts after the first"),
        .resumes = BkCounter_Get("bk_entry_resumes_total", NULL,
                                 "streams gone on with after a cut"),
        .streams = BkCounter_Get("bk_entry_streams_open", NULL,
                                 "streams open to callers"),
        .in_flight =
            BkCounter_Get("bk_entry_in_flight", NULL, "requests in progress"),
        .claims =
            BkCounter_Get("bk_entry_claims_total", NULL, "claims asked for"),
        .replays = BkCounter_Get("bk_entry_replays_total", NULL,
                                 "recorded outcomes given again"),
        .cancels = BkCounter_Get("bk_entry_cancels_total", NULL,
                                 "upstream streams cancelled"),
    };
}

void
BkEntryCounters_NoteOutcome(BkStatus status)
{
    char labels[64];

    snprintf(labels, sizeof(labels), "result=\"%s\"",
             BkStatus_Info(status)->name);
    BkCounter_Add(
        BkCounter_Get("bk_entry_requests_total", labels, "requests by result"),
        1);
}
