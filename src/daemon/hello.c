#include <stdio.h>
#include <string.h>

#include "bk/daemon/internal.h"

enum {
    MAX_PEER_SILENCE_MS = 60000, /* a peer that is silent longer is removed */
    /* One hello in this many goes to a seed, so that two groups of daemons
       that no longer know each other find each other again. */
    HELLOS_PER_SEED = 8,
    LOAD_SHIFT = 16,
    LOAD_MAX = 0xffff
};

#define LEAVING_FLAG 0x80000000U /* in the age of an observation */
#define AGE_MAX 0x7fffffff
#define DRAINS_UNKNOWN 0xffffffffU

static uint32_t
cap_load(int load)
{
    return load > LOAD_MAX ? LOAD_MAX : (uint32_t)load;
}

/* Returns the number of observations written to out. */
static int
fill_obs(const BkDaemon *daemon, BkMs now, bkg_obs *out)
{
    BkObs selected[BKG_MAX_OBS];

    if (daemon->view == NULL) {
        return 0;
    }
    int count = BkView_SelectObs(daemon->view, now, selected, BKG_MAX_OBS);
    for (int i = 0; i < count; i++) {
        const BkObs *obs = &selected[i];
        BkMs age = obs->age > AGE_MAX ? AGE_MAX : obs->age;
        out[i].key = obs->key;
        out[i].boot = obs->boot;
        out[i].digest = obs->digest;
        out[i].load =
            cap_load(obs->running) << LOAD_SHIFT | cap_load(obs->waiting);
        out[i].age = (uint32_t)age | (obs->leaving ? LEAVING_FLAG : 0);
    }
    return count;
}

/* Whether it has sent a hello and is not stopping. */
static bool
is_known_alive(const BkPeer *peer, void *arg)
{
    (void)arg;
    return peer->heard_at != BK_MS_NEVER && !peer->stopping;
}

/* Picks peers at random, possibly one of them several times. Returns the
   number written to out. */
static int
fill_peers(BkDaemon *daemon, bkg_peer *out)
{
    int count = 0;

    for (int i = 0; i < BKG_MAX_PEERS; i++) {
        BkPeer *peer = BkPeers_PickRandom(daemon->peers, &daemon->rng,
                                          is_known_alive, NULL);
        if (peer == NULL) {
            break;
        }
        out[count].gossip_address = peer->gossip_address;
        out[count].role = peer->role;
        count++;
    }
    return count;
}

static bool
is_not_stopping(const BkPeer *peer, void *arg)
{
    (void)arg;
    return !peer->stopping;
}

static bool
is_seed(const BkPeer *peer, void *arg)
{
    (void)arg;
    return peer->seed;
}

static BkPeer *
pick_target(BkDaemon *daemon)
{
    BkPeer *peer = NULL;

    if (BkRng_Below(&daemon->rng, HELLOS_PER_SEED) == 0) {
        peer = BkPeers_PickRandom(daemon->peers, &daemon->rng, is_seed, NULL);
    }
    if (peer == NULL) {
        peer = BkPeers_PickRandom(daemon->peers, &daemon->rng, is_not_stopping,
                                  NULL);
    }
    return peer;
}

/* Sets the drains and their age in out, which refers to name_hashes
   afterwards. */
static void
fill_drains(const BkDaemon *daemon, BkMs now, uint32_t *name_hashes,
            bkg_hello *out)
{
    BkMs read_at = 0;
    int count = BkUpstreamWatch_GetDrains(daemon->watch, name_hashes,
                                          BKG_MAX_DRAINS, &read_at);

    out->drains_age = DRAINS_UNKNOWN;
    if (count >= 0 && now - read_at < AGE_MAX) {
        out->drains_age = (u_int)(now - read_at);
        out->drains.drains_val = name_hashes;
        out->drains.drains_len = (u_int)count;
    }
}

static void
send_hellos(BkDaemon *daemon)
{
    BkMs now = BkClock_Now();
    bkg_obs obs[BKG_MAX_OBS];
    bkg_peer peers[BKG_MAX_PEERS];
    uint32_t drains[BKG_MAX_DRAINS];
    bkg_hello hello = {0};

    hello.daemon = daemon->conf->name;
    hello.ops_address = daemon->conf->ops_address;
    hello.role = daemon->role;
    hello.epoch = daemon->epoch;
    hello.active_version = daemon->inforce.active_version;
    if (daemon->bundle != NULL) {
        memcpy(hello.digest, daemon->bundle->digest, BK_DIGEST_BYTES);
    }
    /* a daemon that has heard of a higher version does not claim that its own
       version is in force */
    hello.current =
        BkInForce_IsCurrent(&daemon->inforce, now) &&
        daemon->inforce.active_version == daemon->inforce.highest_version;
    hello.stopping = daemon->stopping;
    hello.term = daemon->planner_term;
    hello.planner = daemon->planner_name;
    hello.planner_age = daemon->planner_seen_at == BK_MS_NEVER
                            ? AGE_MAX
                            : (uint32_t)(now - daemon->planner_seen_at);
    fill_drains(daemon, now, drains, &hello);
    hello.peers.peers_val = peers;
    hello.peers.peers_len = (u_int)fill_peers(daemon, peers);
    hello.obs.obs_val = obs;
    hello.obs.obs_len = (u_int)fill_obs(daemon, now, obs);
    for (int64_t i = 0; i < daemon->conf->gossip_fanout; i++) {
        BkPeer *peer = pick_target(daemon);
        if (peer != NULL) {
            BkGossip_SendHello(daemon->gossip, peer->gossip_address, &hello);
        }
    }
}

static void
on_hello_timer(void *arg)
{
    BkDaemon *daemon = arg;
    BkMs period = daemon->conf->gossip_period;

    BkPeers_RemoveSilent(daemon->peers, BkClock_Now(), MAX_PEER_SILENCE_MS);
    send_hellos(daemon);
    BkMs jitter = (BkMs)BkRng_Below(&daemon->rng, (uint32_t)period / 4 + 1);
    BkTimer_Start(daemon->hello_timer, period - period / 8 + jitter);
}

void
BkHello_Start(BkDaemon *daemon)
{
    daemon->hello_timer = BkTimer_Create(daemon->loop, on_hello_timer, daemon);
    BkTimer_Start(daemon->hello_timer, 0);
}

/* Adopts the planner named in the hello if its term is higher than the known
   one, or if it was seen alive later in the same term. */
static void
apply_planner(BkDaemon *daemon, const bkg_hello *hello, BkMs now)
{
    if (hello->term < daemon->planner_term || hello->planner_age >= AGE_MAX) {
        return;
    }
    BkMs reported_seen_at = now - (BkMs)hello->planner_age;
    bool is_newer = hello->term > daemon->planner_term ||
                    daemon->planner_seen_at == BK_MS_NEVER ||
                    reported_seen_at > daemon->planner_seen_at;
    if (!is_newer) {
        return;
    }
    daemon->planner_term = hello->term;
    daemon->planner_seen_at = reported_seen_at;
    snprintf(daemon->planner_name, sizeof(daemon->planner_name), "%s",
             hello->planner);
}

static void
apply_obs(BkDaemon *daemon, const bkg_hello *hello, BkMs now)
{
    if (daemon->view == NULL) {
        return;
    }
    for (u_int i = 0; i < hello->obs.obs_len; i++) {
        const bkg_obs *row = &hello->obs.obs_val[i];
        BkObs obs = {
            .key = row->key,
            .boot = row->boot,
            .digest = row->digest,
            .age = (BkMs)(row->age & ~LEAVING_FLAG),
            .running = (int)(row->load >> LOAD_SHIFT),
            .waiting = (int)(row->load & LOAD_MAX),
            .leaving = (row->age & LEAVING_FLAG) != 0,
        };
        BkView_ApplyObs(daemon->view, &obs, now);
    }
}

void
BkHello_Receive(BkDaemon *daemon, const bkg_hello *hello, const char *from)
{
    BkMs now = BkClock_Now();
    BkPeer *peer = BkPeers_FindOrAdd(daemon->peers, from, now);

    if (strcmp(hello->daemon, daemon->conf->name) == 0) {
        return;
    }
    if (peer != NULL) {
        /* a delayed datagram may be from an earlier start of the daemon */
        if (strcmp(peer->name, hello->daemon) == 0 &&
            hello->epoch < peer->epoch) {
            return;
        }
        peer->heard_at = now;
        peer->role = (BkRole)hello->role;
        peer->epoch = hello->epoch;
        peer->stopping = hello->stopping != 0;
        snprintf(peer->name, sizeof(peer->name), "%s", hello->daemon);
        snprintf(peer->ops_address, sizeof(peer->ops_address), "%s",
                 hello->ops_address);
    }
    for (u_int i = 0; i < hello->peers.peers_len; i++) {
        const char *address = hello->peers.peers_val[i].gossip_address;
        if (strcmp(address, daemon->conf->gossip_address) != 0) {
            BkPeers_FindOrAdd(daemon->peers, address, now);
        }
    }
    apply_planner(daemon, hello, now);
    if (hello->drains_age != DRAINS_UNKNOWN) {
        BkUpstreamWatch_ApplyDrains(daemon->watch, hello->drains.drains_val,
                                    (int)hello->drains.drains_len,
                                    now - (BkMs)hello->drains_age);
    }
    apply_obs(daemon, hello, now);
    if (hello->current) {
        BkBundleSync_OnPeerReport(daemon->sync, hello->active_version,
                                  (const unsigned char *)hello->digest,
                                  hello->ops_address);
    }
}

static bool
is_steward(const BkPeer *peer, void *arg)
{
    (void)arg;
    return peer->role == BK_ROLE_STEWARD && !peer->stopping;
}

void
BkDaemon_SendDemand(BkDaemon *daemon, const bkg_demand *demand)
{
    BkPeer *peer = NULL;

    if (daemon->planner_name[0] != '\0') {
        peer = BkPeers_FindByName(daemon->peers, daemon->planner_name);
    }
    if (peer == NULL) {
        peer =
            BkPeers_PickRandom(daemon->peers, &daemon->rng, is_steward, NULL);
    }
    if (peer != NULL) {
        BkGossip_SendDemand(daemon->gossip, peer->gossip_address, demand);
    }
}
