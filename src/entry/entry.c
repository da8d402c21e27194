#include "bk/entry/entry.h"

#include <stdio.h>
#include <stdlib.h>

#include "bk/base/log.h"
#include "bk/entry/relay.h"

enum {
    STOP_CHECK_PERIOD_MS = 20,
    IDLE_TIMEOUT_MS = 60000, /* of a connection without a request */
    MAX_RETRY_BUDGET = 50    /* retries that can accumulate */
};

static void
on_bundle(const BkBundle *bundle, BkView *view, void *arg)
{
    BkEntry *entry = arg;
    BkFairShare *old_shares = entry->fair_share;

    (void)view;
    entry->fair_share =
        BkFairShare_Create(bundle, (int)entry->conf.fair_share_threshold);
    BkRelay_ReadmitAll(entry);
    BkFairShare_Destroy(old_shares);
}

/* Runs again and again after the balancer wait: first stops accepting
 * connections, then ends the daemon once all requests in progress have ended
 * and all outcomes are written. */
static void
advance_stop(void *arg)
{
    BkEntry *entry = arg;

    if (!entry->quiesced) {
        entry->quiesced = true;
        BkHttpServer_Quiesce(entry->server);
    }
    if (BkHttpServer_CountActive(entry->server) == 0 &&
        entry->relays == NULL && BkClaimBatcher_Pending(entry->claims) == 0) {
        BkDaemon_FinishStop(entry->daemon);
        return;
    }
    BkTimer_Start(entry->stop_timer, STOP_CHECK_PERIOD_MS);
}

/* requests still arrive, and are served, until the load balancer has seen that
 * /readyz reports the stop */
static void
on_stop(void *arg)
{
    BkEntry *entry = arg;

    BkTimer_Start(entry->stop_timer, entry->conf.daemon.balancer_wait);
}

static bool
on_ops(BkHttpReq *req, void *arg)
{
    return BkCancel_HandleResumed(arg, req);
}

static BkRouteConf
make_route_conf(const BkEntryConf *conf)
{
    return (BkRouteConf){
        .policy = BK_ROUTE_CORRECTED,
        .stale_after = conf->daemon.stale_after,
        .service_time = conf->service_time_estimate,
        .first_byte_time = conf->first_byte_estimate,
        .report_lag = conf->report_lag,
        .affinity_slack = conf->affinity_slack,
    };
}

static BkStatus
start_server(BkEntry *entry)
{
    const BkEntryConf *conf = &entry->conf;
    BkHttpServerSpec spec = {
        .listen = conf->listen,
        .max_body = conf->max_body,
        .max_header = conf->max_header,
        .max_connections = (int)conf->max_connections,
        .stream_buffer = conf->stream_buffer,
        .idle_timeout = IDLE_TIMEOUT_MS,
        .handler = BkEntry_Handle,
        .arg = entry,
    };

    entry->server = BkHttpServer_Create(entry->daemon->loop, &spec);
    return entry->server == NULL ? BK_EIO : BK_OK;
}

static BkStatus
start_entry(BkEntry *entry)
{
    const BkEntryConf *conf = &entry->conf;
    BkDaemonHooks hooks = {
        .on_bundle = on_bundle,
        .on_stop = on_stop,
        .on_ops_request = on_ops,
        .arg = entry,
    };

    if (BkTicket_DeriveKey(conf->daemon.secret, entry->ticket_key) != BK_OK) {
        return BK_ECONFIG;
    }
    entry->counters = BkEntryCounters_Get();
    entry->daemon = BkDaemon_Create(&conf->daemon, BK_ROLE_ENTRY, &hooks);
    if (entry->daemon == NULL) {
        return BK_EIO;
    }
    entry->claims =
        BkClaimBatcher_Create(entry->daemon->loop, entry->daemon->plat,
                              conf->max_claim_wait, conf->claim_retention);
    entry->claim_sweep = BkClaimSweep_Create(
        entry->daemon->loop, entry->daemon->plat, conf->claim_retention);
    entry->route.conf = make_route_conf(conf);
    entry->route.rng = BkRng_Make(BkRng_Next(&entry->daemon->rng));
    entry->retry_budget = (BkRetryBucket){
        .tokens = MAX_RETRY_BUDGET,
        .per_request = conf->retries_per_request,
        .max_tokens = MAX_RETRY_BUDGET,
    };
    entry->demand = BkEntryDemand_Create(entry->daemon);
    entry->stop_timer =
        BkTimer_Create(entry->daemon->loop, advance_stop, entry);
    return start_server(entry);
}

static void
close_entry(BkEntry *entry)
{
    if (entry->daemon == NULL) {
        return;
    }
    BkHttpServer_Destroy(entry->server);
    BkCancel_UnscheduleAll(entry);
    BkClaimSweep_Destroy(entry->claim_sweep);
    BkClaimBatcher_Destroy(entry->claims);
    BkEntryDemand_Destroy(entry->demand);
    BkTimer_Destroy(entry->stop_timer);
    BkRoute_Destroy(&entry->route);
    BkFairShare_Destroy(entry->fair_share);
    BkDaemon_Destroy(entry->daemon);
}

static BkStatus
check_conf(void *settings)
{
    return BkEntry_CheckConf(settings);
}

int
main(int argc, char **argv)
{
    static BkEntry entry;
    int count = 0;
    BkSettingSpec *specs = BkEntry_Specs(&count);

    BkDaemon_LoadSettings(argc, argv, "bk-entry",
                          "Takes callers' requests to models and services.",
                          specs, count, check_conf, &entry.conf);
    BkStatus status = start_entry(&entry);
    if (status == BK_OK) {
        BkDaemon_Run(entry.daemon);
    }
    else {
        fprintf(stderr, "bk-entry: %s\n", BkErr_Last());
    }
    close_entry(&entry);
    BkSettings_Destroy(specs, count, &entry.conf);
    free(specs);
    return (int)status;
}
