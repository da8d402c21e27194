/*
 * daemon - the common part of bk-entry and bk-steward
 *
 * Owns the event loop, the HTTP client, the platform client, gossip, the
 * operators' HTTP port (/metrics, /healthz, /readyz, /ops/..., /peer/...), the
 * bundle in force, the view of the upstreams and the epoch of this start of
 * the daemon.
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

/* Settings that bk-entry and bk-steward share: the sections [daemon] and
 * [platform] of their files. */
typedef struct BkDaemonConf {
    char *name;           /* unique over all daemons */
    char *domain;         /* failure domain */
    char *gossip_address; /* "ip:port", UDP */
    char *ops_address;    /* address of the operators' HTTP port, "ip:port" */
    char *seeds;   /* gossip addresses of some daemons, separated by blanks */
    char *signers; /* public keys in hex, separated by blanks */
    char *log_level;
    char *secret; /* 64 hex digits, the same for all daemons; the key of resume
                     tickets is derived from it */
    char *platform_address; /* "ip:port" */
    BkMs platform_timeout;  /* of one call */
    /* between reads of the row that names the bundle in force */
    BkMs bundle_poll_period;
    /* in each such period, a few of the daemons read the VM list and the
       operators' drains (upstreams that get no new work) */
    BkMs vm_poll_period;
    BkMs gossip_period;       /* between hello messages to peers */
    int64_t gossip_fanout;    /* peers that get each hello message */
    int64_t polls_per_second; /* limit of polls of upstreams */
    /* an upstream that any daemon observed more recently is not polled */
    BkMs min_poll_age;
    /* an upstream last observed longer ago is not used */
    BkMs stale_after;
    /* the daemon is not ready once both the platform and all current peers
       have been silent for this long */
    BkMs max_silence;
    /* at a planned stop, for how long requests are still accepted after
       /readyz has begun to fail, so that the load balancer notices */
    BkMs balancer_wait;
} BkDaemonConf;

/* Returns the shared specs followed by the program's own, and their number in
 * *count. The shared ones hold offsets from the start of BkDaemonConf, so this
 * must be the first member of the program's settings struct. The result is
 * freed with free(). */
BkSettingSpec *BkDaemon_JoinSpecs(const BkSettingSpec *own, int own_count,
                                  int *count);

typedef struct BkDaemon BkDaemon;

typedef struct BkDaemonHooks {
    /* the daemon now acts on this bundle; the previous one and its view stay
       valid until this returns */
    void (*on_bundle)(const BkBundle *bundle, BkView *view, void *arg);
    /* another daemon sent its demand counters; may be NULL */
    void (*on_demand)(const bkg_demand *demand, void *arg);
    /* SIGTERM begins a planned stop: when all work in progress is done, the
       program must call BkDaemon_FinishStop; if NULL, the stop ends at once */
    void (*on_stop)(void *arg);
    /* whether the program itself is ready; NULL: yes */
    bool (*is_ready)(void *arg);
    /* an HTTP request to the operators' port for a path that the common part
       does not serve; false: the program does not serve it either */
    bool (*on_ops_request)(BkHttpReq *req, void *arg);
    /* adds members to the response to GET /ops/status; may be NULL */
    void (*on_status)(json_t *status, void *arg);
    void *arg;
} BkDaemonHooks;

struct BkDaemon {
    BkLoop *loop;
    BkHttpClient *http;
    BkPlat *plat;
    BkGossip *gossip;
    BkHttpServer *ops_server; /* the operators' HTTP port */
    const BkDaemonConf *conf;
    BkRole role;
    BkRng rng;
    /* of this start of the daemon; 0 until the platform has stored it */
    uint64_t epoch;
    BkInForce inforce;
    BkBundle *bundle; /* that the daemon acts on; NULL before the first one */
    BkView *view;     /* of the bundle's upstreams; NULL likewise */
    /* highest planner term heard of; the planner is the steward that holds the
       current term, and terms only increase */
    uint64_t planner_term;
    char planner_name[BKG_MAX_NAME + 1]; /* name of that term's planner */
    /* when the planner was last known to be alive; BK_MS_NEVER: not yet */
    BkMs planner_seen_at;
    bool stopping;
    BkDaemonHooks hooks;
    /* the rest is private to src/daemon */
    struct BkPeers *peers;
    struct BkBundleSync *sync;
    struct BkUpstreamWatch *watch;
    struct BkSession *session;
    BkTimer *hello_timer;
};

/* ERRORS: NULL; BkErr_Last says why. */
BkDaemon *BkDaemon_Create(const BkDaemonConf *conf, BkRole role,
                          const BkDaemonHooks *hooks);

/* Runs the event loop until a planned stop has ended. */
void BkDaemon_Run(BkDaemon *daemon);

/* Ends a planned stop: BkDaemon_Run returns. */
void BkDaemon_FinishStop(BkDaemon *daemon);
void BkDaemon_Destroy(BkDaemon *daemon);

/* The time since which the VM is missing from the VM list, as this daemon
 * has read it. BK_MS_NEVER: it is in the last list that was read, or was in
 * none. */
BkMs BkDaemon_VmGoneSince(const BkDaemon *daemon, const char *vm);

/* The number of known daemons with this role that are not stopping, without
 * this daemon itself. */
int BkDaemon_CountPeers(const BkDaemon *daemon, BkRole role);

/* Sends demand counters to the planner, or to a random steward if the
 * planner's address is not known; a steward forwards them. */
void BkDaemon_SendDemand(BkDaemon *daemon, const bkg_demand *demand);

/* Checks rules that involve more than one setting, and may set fields that
 * are derived from settings. ERRORS: BK_ECONFIG. */
typedef BkStatus (*BkSettingsCheckFn)(void *settings);

/*
 * The first step of each program's main: parses the command line (--config,
 * --check-config and --version, by argp), loads the settings, checks them and
 * sets up the log.
 *
 * settings points to the program's settings struct, which begins with its
 * BkDaemonConf; check is run on it. Exits on usage errors, with 0 after a
 * --check-config without errors, and with the result code after an error in
 * the settings.
 */
void BkDaemon_LoadSettings(int argc, char **argv, const char *program,
                           const char *doc, const BkSettingSpec *specs,
                           int spec_count, BkSettingsCheckFn check,
                           void *settings);

#endif
