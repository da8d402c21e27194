#include "bk/front/conf.h"

#include "bk/base/log.h"
#include "bk/fleet/fleet.h"

#define SPEC(...) BK_SETTING(FrConf, __VA_ARGS__)

static const BkSettingSpec specs[] = {
    SPEC("daemon", "name", BK_SETTING_TEXT, name, NULL, 0, 0,
         "name, unique over all daemons"),
    SPEC("daemon", "domain", BK_SETTING_TEXT, domain, NULL, 0, 0,
         "failure domain"),
    SPEC("daemon", "log_level", BK_SETTING_TEXT, log_level, "info", 0, 0,
         "emerg, alert, crit, err, warning, notice, info or debug"),
    SPEC("daemon", "log_lines", BK_SETTING_INT, log_lines, "60", 1, 100000,
         "lines a second of severity info and below"),
    SPEC("daemon", "descriptors", BK_SETTING_INT, max_descriptors, "1024", 64,
         1000000, "file descriptors that the process may have"),
    SPEC("daemon", "memory", BK_SETTING_REAL, memory_mb, "512", 1000,
         1000000000, "megabytes of memory that the process may use"),
    SPEC("daemon", "first_start", BK_SETTING_BOOL, first_start, "no", 0, 0,
         "whether the whole system starts for the first time"),
    SPEC("daemon", "grace", BK_SETTING_MS, stop_grace, "8s", 100, 600000,
         "from SIGTERM until the platform kills the process"),
    SPEC("listen", "callers", BK_SETTING_ADDR, callers_address, NULL, 0, 0,
         "address for callers"),
    SPEC("listen", "ops", BK_SETTING_ADDR, ops_address, NULL, 0, 0,
         "address for readiness and metrics"),
    SPEC("listen", "ready_path", BK_SETTING_TEXT, ready_path, "/readyz", 0, 0,
         "path that the balancer asks for"),
    SPEC("listen", "metrics_path", BK_SETTING_TEXT, metrics_path, "/metrics",
         0, 0, "path that monitoring asks for"),
    SPEC("listen", "peers", BK_SETTING_ADDR, peers_address, NULL, 0, 0,
         "UDP address for other daemons"),
    SPEC("listen", "seeds", BK_SETTING_TEXT, seeds, "", 0, 0,
         "addresses of some other VMs, separated by commas"),
    SPEC("store", "address", BK_SETTING_ADDR, store_address, NULL, 0, 0,
         "address of the platform's table service"),
    SPEC("planner", "lease", BK_SETTING_MS, lease_duration, "3s", 200, 600000,
         "term of the planner's lease"),
    SPEC("planner", "fenced", BK_SETTING_BOOL, fenced, "no", 0, 0,
         "whether engines check fencing numbers"),
    SPEC("planner", "fence_slack", BK_SETTING_MS, max_order_transit, "300ms",
         0, 60000,
         "how long an order may be under way when its sender freezes"),
    SPEC("planner", "load_window", BK_SETTING_MS, load_window, "5s", 100,
         600000, "window of the weight store's limit of loads"),
    SPEC("planner", "load_overshoot", BK_SETTING_REAL, load_overshoot, "1.0",
         1, 10000, "factor by which the limit may be passed in a window"),
    SPEC("retries", "ratio", BK_SETTING_REAL, retry_ratio, "0.2", 0, 10000,
         "repeats per request, over all daemons"),
    SPEC("retries", "slack", BK_SETTING_REAL, retry_slack, "20", 0, 100000000,
         "repeats in a window besides, over all daemons"),
    SPEC("retries", "window", BK_SETTING_MS, retry_window, "10s", 100, 600000,
         "window of the limit of repeats"),
    SPEC("quarantine", "probation", BK_SETTING_MS, quarantine_probation, "1s",
         100, 3600000,
         "until a trial if evidence is weak, or if a trial showed nothing"),
    SPEC("quarantine", "term", BK_SETTING_MS, quarantine_term, "20s", 100,
         3600000,
         "how long requests that crash upstreams are refused at first"),
    SPEC("routing", "window", BK_SETTING_INT, prefill_window, "2600", 1,
         1000000, "tokens of unread prompts on one engine"),
    SPEC("routing", "per_run", BK_SETTING_INT, tokens_per_run, "60", 0, 100000,
         "tokens that a running request counts for"),
    SPEC("routing", "affinity", BK_SETTING_INT, affinity_slack, "600", 0,
         1000000, "tokens of work more that a kept part of a prompt is worth"),
    SPEC("routing", "far", BK_SETTING_INT, cross_domain_cost, "250", 0,
         1000000, "tokens that another failure domain costs"),
    SPEC("routing", "stream_memory", BK_SETTING_MS, stream_memory, "30s", 100,
         BK_FLEET_FORGET_MS,
         "how long the software versions of streams are remembered"),
    SPEC("routing", "full", BK_SETTING_REAL, max_load_ratio, "2.0", 100,
         100000, "requests per slot of a plain service before others wait"),
};

enum {
    SPEC_COUNT = sizeof(specs) / sizeof(specs[0])
};

BkStatus
FrConf_Load(const char *path, FrConf *out)
{
    *out = (FrConf){0};
    BkStatus status = BkSettings_Load(path, specs, SPEC_COUNT, out);

    if (status == BK_OK && BkLog_ParseLevel(out->log_level) < 0) {
        status =
            BkSettings_SetError(path, "daemon", "log_level",
                                "\"%s\" is not a severity", out->log_level);
    }
    return status;
}

void
FrConf_Destroy(FrConf *conf)
{
    BkSettings_Destroy(specs, SPEC_COUNT, conf);
}
