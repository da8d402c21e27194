/*
 * daemon - what bk-entry and bk-steward have in common
 *
 * Owns the loop, the HTTP client, the platform client, gossip, the operators'
 * HTTP port (/metrics, /healthz, /readyz, /peer/...), the configuration in
 * force, the view of the upstreams and the boot epoch of this daemon.
 */
#ifndef BK_DAEMON_DAEMON_H
#define BK_DAEMON_DAEMON_H

#include <stdbool.h>

#include <jansson.h>

#include "bk/base/loop.h"
#include "bk/base/rng.h"
#include "bk/base/settings.h"
#include "bk/bundle/bundle.h"
#include "bk/gossip/gossip.h"
#include "bk/inforce/inforce.h"
#include "bk/net/http_client.h"
#include "bk/net/http_server.h"
#include "bk/platform/platform.h"
#include "bk/view/view.h"

typedef enum BkRole {
    BK_ROLE_ENTRY = 1,
    BK_ROLE_STEWARD = 2
} BkRole;

/* Settings that every daemon has; [daemon] and [platform] of its file. */
typedef struct BkDaemonConf {
    char *name;    /* unique over all daemons */
    char *domain;  /* failure domain */
    char *gossip;  /* "ip:port", UDP */
    char *ops;     /* "ip:port" of /metrics, /readyz, /peer */
    char *peers;   /* gossip addresses, separated by blanks */
    char *signers; /* public keys in hex, separated by blanks */
    char *log_level;
    char *secret;   /* 64 hex digits shared by the daemons (tickets) */
    char *platform; /* "ip:port" */
    BkMs platform_timeout;
    BkMs poll_bundle; /* between reads of the row in force */
    BkMs poll_vms;
    BkMs gossip_period;
    int64_t gossip_fanout;
    int64_t polls_per_second; /* of upstreams, at most */
    BkMs
        poll_age; /* an upstream seen this lately, by anybody, is not polled */
    BkMs stale_after;
    BkMs cut_off_after;
    BkMs balancer_wait; /* at a planned stop, after /readyz says no */
} BkDaemonConf;

/* Their specs, with offsets from the start of BkDaemonConf, which must stand
 * first in a program's settings struct, followed by the program's own. The
 * caller frees the table. */
BkSettingSpec *BkDaemon_JoinSpecs(const BkSettingSpec *own, int own_count,
                                  int *count);

typedef struct BkDaemon BkDaemon;

typedef struct BkDaemonHooks {
    /* another bundle is acted upon; the old one and its view stay valid
       until this returns */
    void (*on_bundle)(const BkBundle *bundle, BkView *view, void *arg);
    void (*on_demand)(const bkg_demand *demand, void *arg);
    /* SIGTERM; call BkDaemon_Finish when all work in progress is done */
    void (*on_stop)(void *arg);
    /* whether the program itself is ready; NULL: yes */
    bool (*is_ready)(void *arg);
    /* an ops request below /peer/ or /ops/ that the daemon does not know;
       false: not known either */
    bool (*on_ops)(BkHttpReq *req, void *arg);
    /* adds members to the answer of GET /ops/status; may be NULL */
    void (*on_status)(json_t *status, void *arg);
    void *arg;
} BkDaemonHooks;

struct BkDaemon {
    BkLoop *loop;
    BkHttpClient *http;
    BkPlat *plat;
    BkGossip *gossip;
    BkHttpServer *ops;
    const BkDaemonConf *conf;
    BkRole role;
    BkRng rng;
    uint64_t epoch; /* of this start; 0 until the platform gave one */
    BkInForce inforce;
    BkBundle *bundle; /* acted upon; NULL before the first */
    BkView *view;
    uint64_t term; /* highest planner term heard of */
    char planner[BKG_NAME + 1];
    BkMs planner_at; /* planner last heard; BK_MS_NEVER: never */
    bool stopping;
    BkDaemonHooks hooks;
    struct BkPeers *peers; /* private to the slice from here on */
    struct BkConfigSync *sync;
    struct BkUpstreamWatch *watch;
    struct BkSession *session;
    BkTimer *hello_timer;
};

/* ERRORS: NULL with the last message set. */
BkDaemon *BkDaemon_Create(const BkDaemonConf *conf, BkRole role,
                          const BkDaemonHooks *hooks);

/* Runs until the planned stop is finished. */
void BkDaemon_Run(BkDaemon *daemon);

/* Ends a planned stop; BkDaemon_Run returns. */
void BkDaemon_Finish(BkDaemon *daemon);
void BkDaemon_Destroy(BkDaemon *daemon);

/* Since when the VM list lacks this VM, which it had before; BK_MS_NEVER if
 * it is listed, or never was, or the list cannot be read. */
BkMs BkDaemon_VmGoneSince(const BkDaemon *daemon, const char *vm);

/* The daemons of this role that it knows and that do not stop, itself left
 * out. */
int BkDaemon_CountPeers(const BkDaemon *daemon, BkRole role);

/* Sends the demand counters to a steward (any will forward). */
void BkDaemon_SendDemand(BkDaemon *daemon, const bkg_demand *demand);

/* Checks what no single key shows; may fill in what follows from the keys.
 * ERRORS: BK_ECONFIG. */
typedef BkStatus (*BkCheckFn)(void *settings);

/* Common start of main: argp with --config, --check-config and --version;
 * loads the settings and checks them. Exits by itself on usage errors, 0 after
 * a good --check-config, the result code after bad settings. */
void BkDaemon_ParseArgs(int argc, char **argv, const char *program,
                        const char *doc, const BkSettingSpec *specs,
                        int spec_count, BkCheckFn check, void *settings);

#endif
