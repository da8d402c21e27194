#include <stddef.h>
#include <string.h>

#include "bk/entry/entry.h"

#define KEY(...) BK_SETTING(BkEntryConf, "entry", __VA_ARGS__)

static const BkSettingSpec entry_specs[] = {
    KEY("listen", BK_SETTING_ADDR, listen, NULL, 0, 0, "address for callers"),
    KEY("max_body", BK_SETTING_BYTES, max_body, "1MiB", 1024, 1 << 28,
        "largest body of a request"),
    KEY("max_header", BK_SETTING_BYTES, max_header, "16KiB", 1024, 1 << 20,
        "largest head of a request"),
    KEY("max_answer", BK_SETTING_BYTES, max_answer_bytes, "8MiB", 1024,
        1 << 30, "largest whole answer"),
    KEY("max_connections", BK_SETTING_INT, max_connections, "4096", 1, 60000,
        "connections of callers"),
    KEY("stream_buffer", BK_SETTING_BYTES, stream_buffer, "16KiB", 1024,
        1 << 24, "bytes held for a slow reader"),
    KEY("resume_text", BK_SETTING_BYTES, max_kept_text_bytes, "32KiB", 0,
        1 << 24, "delivered text kept to go on at another copy"),
    KEY("deadline", BK_SETTING_MS, default_first_byte_timeout, "10s", 1,
        3600000, "span for the first byte of an answer"),
    KEY("max_deadline", BK_SETTING_MS, max_first_byte_timeout, "10min", 1,
        3600000, "longest span that a caller may ask for"),
    KEY("stream_idle", BK_SETTING_MS, stream_idle, "20s", 1, 3600000,
        "longest silence of an upstream's stream"),
    KEY("reader_patience", BK_SETTING_MS, max_blocked_time, "60s", 1, 3600000,
        "how long a stream's caller may not read"),
    KEY("answer_limit", BK_SETTING_MS, max_run_time, "10min", 1, 86400000,
        "longest run of a non-repeatable call"),
    KEY("resume_grace", BK_SETTING_MS, resume_grace, "5s", 0, 600000,
        "how long a stream may wait for its caller to come back"),
    KEY("resume_within", BK_SETTING_MS, resume_within, "10s", 0, 600000,
        "longest search for another copy in mid-stream"),
    KEY("first_byte", BK_SETTING_MS, first_byte_estimate, "100ms", 0, 600000,
        "estimate from a free slot to the first byte"),
    KEY("service_time", BK_SETTING_MS, service_time_estimate, "2s", 1, 3600000,
        "estimate of one request on a free slot"),
    KEY("report_lag", BK_SETTING_MS, report_lag, "200ms", 0, 600000,
        "how late the reports of upstreams are"),
    KEY("affinity_slack", BK_SETTING_REAL, affinity_slack, "0.25", 0, 10000,
        "how much fuller a copy may be and be chosen for its prefix"),
    KEY("most_in_flight", BK_SETTING_INT, fair_share_threshold, "1024", 1,
        60000, "requests at once before fair shares bind"),
    KEY("attempts", BK_SETTING_INT, max_attempts_without_progress, "4", 1, 8,
        "attempts at upstreams without progress"),
    KEY("retry_share", BK_SETTING_REAL, retries_per_request, "0.1", 0, 1000,
        "retries that each request brings"),
    KEY("claim_patience", BK_SETTING_MS, max_claim_wait, "2s", 1, 600000,
        "longest wait for a claim to be written"),
    KEY("claim_retention", BK_SETTING_MS, claim_retention, "24h", 1000,
        (int64_t)366 * 86400000, "how long claims and outcomes hold"),
};

enum {
    ENTRY_SPEC_COUNT = sizeof(entry_specs) / sizeof(entry_specs[0])
};

BkSettingSpec *
BkEntry_Specs(int *count)
{
    return BkDaemon_JoinSpecs(entry_specs, ENTRY_SPEC_COUNT, count);
}

BkStatus
BkEntry_CheckConf(const BkEntryConf *conf)
{
    if (conf->default_first_byte_timeout > conf->max_first_byte_timeout) {
        return BkErr_Set(BK_ECONFIG, "[entry] deadline: must not be longer "
                                     "than max_deadline");
    }
    /* a key must not become free to claim again while the call that claimed
       it can still be sent or run */
    if (conf->claim_retention <
        2 * (conf->max_run_time + conf->max_first_byte_timeout)) {
        return BkErr_Set(BK_ECONFIG,
                         "[entry] claim_retention: must be at least 2 x "
                         "(answer_limit + max_deadline)");
    }
    return BK_OK;
}
