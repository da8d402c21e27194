#include "bk/daemon/daemon.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/daemon/internal.h"

void
BkControl_CountBytes(const char *kind, const BkHttpResult *result)
{
    char labels[64];

    snprintf(labels, sizeof(labels), "kind=\"%s\",dir=\"out\"", kind);
    BkCounter_Add(BkCounter_Get("bk_control_bytes_total", labels,
                                "bytes of control traffic"),
                  result->sent_bytes);
    snprintf(labels, sizeof(labels), "kind=\"%s\",dir=\"in\"", kind);
    BkCounter_Add(BkCounter_Get("bk_control_bytes_total", labels,
                                "bytes of control traffic"),
                  result->received_bytes);
}

static void
on_hello(const bkg_hello *hello, const char *from, void *arg)
{
    BkHello_Receive(arg, hello, from);
}

static void
on_demand(const bkg_demand *demand, const char *from, void *arg)
{
    BkDaemon *daemon = arg;

    (void)from;
    if (daemon->hooks.on_demand != NULL) {
        daemon->hooks.on_demand(demand, daemon->hooks.arg);
    }
}

static void
begin_stop(void *arg)
{
    BkDaemon *daemon = arg;

    if (daemon->stopping) {
        return;
    }
    daemon->stopping = true;
    BK_LOG(BK_LOG_NOTICE, "daemon", NULL, "planned stop begins");
    if (daemon->hooks.on_stop != NULL) {
        daemon->hooks.on_stop(daemon->hooks.arg);
        return;
    }
    BkDaemon_FinishStop(daemon);
}

static BkStatus
start_network(BkDaemon *daemon)
{
    BkGossipHandlers handlers = {on_hello, on_demand, daemon};
    char base_url[96];

    snprintf(base_url, sizeof(base_url), "http://%s",
             daemon->conf->platform_address);
    daemon->http = BkHttpClient_Create(daemon->loop);
    daemon->plat =
        BkPlat_Create(daemon->http, base_url, daemon->conf->platform_timeout);
    daemon->gossip =
        BkGossip_Create(daemon->loop, daemon->conf->gossip_address, &handlers);
    if (daemon->gossip == NULL) {
        return BK_EIO;
    }
    return BkOps_Start(daemon);
}

BkDaemon *
BkDaemon_Create(const BkDaemonConf *conf, BkRole role,
                const BkDaemonHooks *hooks)
{
    BkDaemon *daemon = BkMem_New(1, sizeof(*daemon));

    if (sodium_init() < 0) {
        BkErr_Set(BK_EINTERNAL, "libsodium cannot be initialised");
        free(daemon);
        return NULL;
    }
    daemon->conf = conf;
    daemon->role = role;
    daemon->hooks = *hooks;
    daemon->loop = BkLoop_Create();
    daemon->rng = BkRng_Make(((uint64_t)randombytes_random() << 32) |
                             randombytes_random());
    daemon->inforce = BkInForce_Make(conf->max_silence);
    daemon->planner_seen_at = BK_MS_NEVER;
    daemon->peers = BkPeers_Create(conf->seeds, BkClock_Now());
    if (start_network(daemon) != BK_OK ||
        BkLoop_OnTerminate(daemon->loop, begin_stop, daemon) != BK_OK) {
        BkDaemon_Destroy(daemon);
        return NULL;
    }
    daemon->watch = BkUpstreamWatch_Create(daemon);
    daemon->sync = BkBundleSync_Create(daemon);
    daemon->session = BkSession_Create(daemon);
    BkHello_Start(daemon);
    return daemon;
}

void
BkDaemon_Run(BkDaemon *daemon)
{
    BkLoop_Run(daemon->loop);
}

void
BkDaemon_FinishStop(BkDaemon *daemon)
{
    BK_LOG(BK_LOG_NOTICE, "daemon", NULL, "planned stop is finished");
    BkLoop_Stop(daemon->loop);
}

void
BkDaemon_Destroy(BkDaemon *daemon)
{
    if (daemon == NULL) {
        return;
    }
    BkTimer_Destroy(daemon->hello_timer);
    BkSession_Destroy(daemon->session);
    BkBundleSync_Destroy(daemon->sync);
    BkUpstreamWatch_Destroy(daemon->watch);
    BkHttpServer_Destroy(daemon->ops_server);
    BkGossip_Destroy(daemon->gossip);
    BkPlat_Destroy(daemon->plat);
    BkHttpClient_Destroy(daemon->http);
    BkPeers_Destroy(daemon->peers);
    BkView_Destroy(daemon->view);
    BkBundle_Destroy(daemon->bundle);
    BkLoop_Destroy(daemon->loop);
    free(daemon);
}
