#include "peers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "bk/net/datagram.h"
#include "admission.h"
#include "planner.h"
#include "sync.h"

enum {
    ROUND_INTERVAL = 100, /* ms */
    /* peers that get gossip in a round; limited, so that the cost of a round
       does not grow with the number of peers */
    PEERS_PER_ROUND = 7,
    /* without load to report, gossip is sent every so many rounds */
    IDLE_ROUNDS = 10,
    LOADS_TIMEOUT = 2000, /* ms of silence until a peer's loads are dropped */
    PEER_TIMEOUT = 5000,  /* ms of silence until a peer is not alive */
    /* the planner sends gossip to all peers every so many rounds */
    PLANNER_ROUNDS = 4,
    /* ms of silence until FrPeers_HasPlanner is false; messages still go to
       the planner until PEER_TIMEOUT */
    PLANNER_TIMEOUT = 1000,
    /* ms of silence until a peer is not a candidate for reader; with up to
       seventy peers, gossip of each comes at least once a second */
    CANDIDATE_TIMEOUT = 3000,
    /* peers that are not alive get gossip every so many rounds */
    SILENT_ROUNDS = 10
};

FrPeer *
FrPeers_Find(const FrPeers *peers, BkStr name)
{
    for (int i = 0; i < peers->count; i++) {
        if (BkStr_Equal(BkStr_FromC(peers->list[i]->name), name)) {
            return peers->list[i];
        }
    }
    return NULL;
}

static FrPeer *
find_by_address(const FrPeers *peers, BkStr address)
{
    for (int i = 0; i < peers->count; i++) {
        if (BkStr_Equal(BkStr_FromC(peers->list[i]->address), address)) {
            return peers->list[i];
        }
    }
    return NULL;
}

FrPeer *
FrPeers_Add(FrPeers *peers, BkStr name, BkStr address)
{
    if (BkStr_Equal(name, BkStr_FromC(peers->front->conf.name)) ||
        BkStr_Equal(address, BkStr_FromC(peers->front->conf.peers_address))) {
        return NULL;
    }
    FrPeer *peer = name.len > 0 ? FrPeers_Find(peers, name) : NULL;
    if (peer == NULL) {
        peer = find_by_address(peers, address);
    }
    if (peer == NULL) {
        if (peers->count == peers->cap) {
            peers->cap = peers->cap == 0 ? 16 : peers->cap * 2;
            peers->list =
                BkMem_Grow(peers->list, (size_t)peers->cap, sizeof(FrPeer *));
        }
        peer = BkMem_New(1, sizeof(*peer));
        peer->heard_at = BK_MS_NEVER;
        peers->list[peers->count++] = peer;
    }
    if (name.len > 0 || peer->name == NULL) {
        free(peer->name);
        peer->name = BkStr_Dup(name);
    }
    if (peer->address == NULL ||
        !BkStr_Equal(BkStr_FromC(peer->address), address)) {
        free(peer->address);
        peer->address = BkStr_Dup(address);
    }
    return peer;
}

bool
FrPeer_IsAlive(const FrPeer *peer, BkMs now)
{
    return peer->heard_at != BK_MS_NEVER &&
           now - peer->heard_at < PEER_TIMEOUT;
}

bool
FrPeers_IsIncomplete(const FrPeers *peers)
{
    for (int i = 0; i < peers->count; i++) {
        if (peers->list[i]->heard_at == BK_MS_NEVER) {
            return true;
        }
    }
    return peers->count == 0;
}

bool
FrPeers_AnyAlive(const FrPeers *peers, BkMs now)
{
    for (int i = 0; i < peers->count; i++) {
        if (FrPeer_IsAlive(peers->list[i], now)) {
            return true;
        }
    }
    return false;
}

bool
FrPeers_HasPlanner(const FrPeers *peers, BkMs now)
{
    return FrPlanner_IsActive(peers->front->planner, now) ||
           (peers->planner_name[0] != '\0' &&
            now - peers->planner_heard_at < PLANNER_TIMEOUT);
}

bool
FrPeers_AnyReachesStore(const FrPeers *peers, BkMs now)
{
    for (int i = 0; i < peers->count; i++) {
        if (peers->list[i]->store_ok && FrPeer_IsAlive(peers->list[i], now)) {
            return true;
        }
    }
    return false;
}

int
FrPeers_CountReaderCandidates(const FrPeers *peers, BkMs now)
{
    BkStr own_name = BkStr_FromC(peers->front->conf.name);
    uint32_t own_key = BkStr_NameHash(own_name);
    int count = 0;

    for (int i = 0; i < peers->count; i++) {
        const FrPeer *peer = peers->list[i];
        count += peer->store_ok && !peer->stopping &&
                 peer->heard_at != BK_MS_NEVER &&
                 now - peer->heard_at < CANDIDATE_TIMEOUT &&
                 BkStr_NameHash(BkStr_FromC(peer->name)) < own_key;
    }
    return count;
}

int
FrPeers_Count(const FrPeers *peers)
{
    return peers->count + 1;
}

static void
fill_leaving(const FrFront *front, bkp_gossip *gossip, bkp_leaving *leaving)
{
    u_int n = 0;

    for (int i = 0; i < front->fleet.count && n < BKP_MAX_LEAVING; i++) {
        const BkUp *up = front->fleet.ups[i];
        if (up->state == BK_UP_LEAVING) {
            leaving[n++] = (bkp_leaving){up->key, up->started_at};
        }
    }
    gossip->leaving.leaving_len = n;
    gossip->leaving.leaving_val = leaving;
}

/* adds a few random peers to the message, so that daemons find each other even
   without the store */
static void
fill_members(FrPeers *peers, bkp_gossip *gossip, bkp_member *members)
{
    u_int n = 0;
    BkMs now = BkClock_Now();

    for (int i = 0; i < BKP_MAX_MEMBERS && peers->count > 0; i++) {
        FrPeer *peer = peers->list[BkRng_Below(&peers->front->rng,
                                               (uint32_t)peers->count)];
        if (FrPeer_IsAlive(peer, now)) {
            members[n++] = (bkp_member){peer->name, peer->address};
        }
    }
    gossip->members.members_len = n;
    gossip->members.members_val = members;
}

/* the arrays that a gossip message points into */
typedef struct GossipArrays {
    u_int weight_load_ages[BKP_MAX_WEIGHT_LOADS];
    bkp_load loads[BKP_MAX_LOADS];
    bkp_leaving leaving[BKP_MAX_LEAVING];
    bkp_member members[BKP_MAX_MEMBERS];
} GossipArrays;

static void
fill_gossip(FrPeers *peers, bkp_gossip *gossip, GossipArrays *arrays)
{
    FrFront *front = peers->front;

    *gossip = (bkp_gossip){.name = front->conf.name,
                           .started_at = front->wall_started_at,
                           .site_version =
                               front->site == NULL ? 0 : front->site->version,
                           .report_version = front->fleet.version,
                           .stopping = front->stopping,
                           .store_ok = !FrSync_IsStoreFailing(front->sync)};
    FrPlanner_FillGossip(front->planner, gossip, arrays->weight_load_ages);
    gossip->loads.loads_len = FrLoads_ListOwn(front, arrays->loads);
    gossip->loads.loads_val = arrays->loads;
    fill_leaving(front, gossip, arrays->leaving);
    fill_members(peers, gossip, arrays->members);
}

void
FrPeers_Send(FrPeers *peers, const FrPeer *peer, int proc, const void *message)
{
    BkDatagram_Send(peers->sock, peer->address, (rpcproc_t)proc, message);
}

void
FrPeers_SendGossip(FrPeers *peers)
{
    bkp_gossip gossip;
    GossipArrays arrays;

    if (peers->sock == NULL) {
        return;
    }
    fill_gossip(peers, &gossip, &arrays);
    for (int i = 0; i < peers->count; i++) {
        FrPeers_Send(peers, peers->list[i], BKP_GOSSIP, &gossip);
    }
}

static void
gossip_to_some(FrPeers *peers, BkMs now)
{
    bkp_gossip gossip;
    GossipArrays arrays;
    int sent = 0;

    fill_gossip(peers, &gossip, &arrays);
    /* without load, gossip is sent less often, except to many peers, each of
       which gets it rarely enough anyway */
    if (gossip.loads.loads_len == 0 && peers->count <= PEERS_PER_ROUND &&
        peers->round % IDLE_ROUNDS != 0) {
        return;
    }
    for (int i = 0; i < peers->count && sent < PEERS_PER_ROUND; i++) {
        const FrPeer *peer = peers->list[peers->next_peer++ % peers->count];
        if (!FrPeer_IsAlive(peer, now) && peers->round % SILENT_ROUNDS != 0) {
            continue;
        }
        FrPeers_Send(peers, peer, BKP_GOSSIP, &gossip);
        sent++;
    }
}

void
FrPeers_SendToPlanner(FrPeers *peers, int proc, const void *message)
{
    const FrPeer *peer =
        peers->planner_name[0] == '\0'
            ? NULL
            : FrPeers_Find(peers, BkStr_FromC(peers->planner_name));

    if (peer != NULL) {
        FrPeers_Send(peers, peer, proc, message);
    }
}

void
FrPeers_SendToAddress(FrPeers *peers, const char *address, int proc,
                      const void *message)
{
    const FrPeer *peer = find_by_address(peers, BkStr_FromC(address));

    if (peer != NULL) {
        FrPeers_Send(peers, peer, proc, message);
    }
}

void
FrPeers_SendToAlive(FrPeers *peers, int proc, const void *message)
{
    BkMs now = BkClock_Now();

    for (int i = 0; i < peers->count; i++) {
        if (FrPeer_IsAlive(peers->list[i], now)) {
            FrPeers_Send(peers, peers->list[i], proc, message);
        }
    }
}

static void
apply_leaving(FrFront *front, const bkp_gossip *gossip, BkMs now)
{
    for (u_int i = 0; i < gossip->leaving.leaving_len; i++) {
        const bkp_leaving *leaving = &gossip->leaving.leaving_val[i];
        BkUp *up = BkFleet_FindByKey(&front->fleet, leaving->up);
        if (up != NULL && up->started_at == leaving->started_at &&
            up->state != BK_UP_LEAVING) {
            BkFleet_MarkLeaving(&front->fleet, up, now);
        }
    }
}

/* handles what a gossip message says about the planner and its lease */
static void
handle_planner_fields(FrPeers *peers, const bkp_gossip *gossip, BkMs now)
{
    if (gossip->resigned_term > 0 && gossip->resigned_term >= peers->term) {
        BkLease_OnResigned(&peers->front->planner->lease,
                           gossip->resigned_term, now);
    }
    if (!gossip->is_planner || gossip->term < peers->term) {
        return;
    }
    peers->term = gossip->term;
    peers->planner_heard_at = now;
    if (strcmp(peers->planner_name, gossip->name) != 0) {
        snprintf(peers->planner_name, sizeof(peers->planner_name), "%s",
                 gossip->name);
        BkLog_Event(BK_LOG_NOTICE, "peers", NULL, "planner", "s:s, s:I",
                    "name", gossip->name, "term", (json_int_t)gossip->term);
    }
    FrPlanner_HandleGossip(peers->front->planner, gossip, now);
}

void
FrPeers_NoteOwnTerm(FrPeers *peers, uint64_t term)
{
    peers->term = term > peers->term ? term : peers->term;
    peers->planner_name[0] = '\0';
}

static void
handle_gossip(const void *message, const char *from, void *arg)
{
    FrPeers *peers = arg;
    FrFront *front = peers->front;
    const bkp_gossip *gossip = message;
    BkMs now = BkClock_Now();
    FrPeer *peer =
        FrPeers_Add(peers, BkStr_FromC(gossip->name), BkStr_FromC(from));

    if (peer == NULL ||
        (peer->started_at > gossip->started_at && peer->started_at != 0)) {
        return; /* its own message, or from before the peer restarted */
    }
    if (!FrPeer_IsAlive(peer, now)) {
        BkLog_Event(BK_LOG_INFO, "peers", NULL, "peer heard", "s:s, s:I",
                    "name", gossip->name, "born",
                    (json_int_t)gossip->started_at);
    }
    peer->started_at = gossip->started_at;
    peer->heard_at = now;
    peer->stopping = gossip->stopping != 0;
    peer->store_ok = gossip->store_ok != 0;
    FrLoads_SetAll(front, peer, gossip->loads.loads_val,
                   gossip->loads.loads_len);
    apply_leaving(front, gossip, now);
    handle_planner_fields(peers, gossip, now);
    for (u_int i = 0; i < gossip->members.members_len; i++) {
        FrPeers_Add(peers, BkStr_FromC(gossip->members.members_val[i].name),
                    BkStr_FromC(gossip->members.members_val[i].address));
    }
    FrFanout_NotePeerVersions(front->sync, gossip->site_version,
                              gossip->report_version, now);
    FrQueue_SchedulePass(front, 0);
}

static void
handle_ask(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrAdmission_HandleAsk(peers->front->admission, message, BkClock_Now());
}

static void
handle_grant(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrAdmission_HandleGrant(peers->front->admission, message, BkClock_Now());
}

static void
handle_load_update(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrAdmission_HandleLoad(peers->front->admission, message);
}

static void
handle_reports(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrFanout_Receive(peers->front->sync, message, BkClock_Now());
}

static void
handle_demands(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrDemand_Handle(peers->front->planner, message, BkClock_Now());
}

static void
handle_adapter_request(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;
    const bkp_adapter_request *request = message;

    FrPlanner_HandleAdapterRequest(peers->front->planner, request->up,
                                   request->model, request->adapter,
                                   BkClock_Now());
}

static void
handle_changes(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;
    const bkp_changes *changes = message;

    if (changes->term >= peers->term) {
        FrPlanner_ApplyChanges(peers->front, changes);
    }
}

static const BkDatagramProc procs[] = {
    {BKP_ASK, "ask", (xdrproc_t)xdr_bkp_ask, sizeof(bkp_ask), handle_ask},
    {BKP_CHANGES, "changes", (xdrproc_t)xdr_bkp_changes, sizeof(bkp_changes),
     handle_changes},
    {BKP_DEMANDS, "demands", (xdrproc_t)xdr_bkp_demands, sizeof(bkp_demands),
     handle_demands},
    {BKP_GRANT, "grant", (xdrproc_t)xdr_bkp_grant, sizeof(bkp_grant),
     handle_grant},
    {BKP_GOSSIP, "news", (xdrproc_t)xdr_bkp_gossip, sizeof(bkp_gossip),
     handle_gossip},
    {BKP_REPORTS, "reports", (xdrproc_t)xdr_bkp_reports, sizeof(bkp_reports),
     handle_reports},
    {BKP_LOAD_UPDATE, "told", (xdrproc_t)xdr_bkp_load_update,
     sizeof(bkp_load_update), handle_load_update},
    {BKP_ADAPTER_REQUEST, "wish", (xdrproc_t)xdr_bkp_adapter_request,
     sizeof(bkp_adapter_request), handle_adapter_request},
};

/* drops the loads of silent peers, and a planner that is silent */
static void
expire_silent(FrPeers *peers, BkMs now)
{
    for (int i = 0; i < peers->count; i++) {
        FrPeer *peer = peers->list[i];
        if (peer->load_count > 0 && now - peer->heard_at >= LOADS_TIMEOUT) {
            FrLoads_Clear(peer);
        }
    }
    if (peers->planner_name[0] != '\0' &&
        now - peers->planner_heard_at >= PEER_TIMEOUT) {
        BkLog_Event(BK_LOG_NOTICE, "peers", NULL, "planner lost", "s:s, s:I",
                    "name", peers->planner_name, "term",
                    (json_int_t)peers->term);
        peers->planner_name[0] = '\0';
    }
}

static void
on_round(void *arg)
{
    FrPeers *peers = arg;
    BkMs now = BkClock_Now();

    peers->round++;
    if (FrPlanner_IsActive(peers->front->planner, now) &&
        peers->round % PLANNER_ROUNDS == 0) {
        FrPeers_SendGossip(peers);
    }
    else if (peers->count > 0) {
        gossip_to_some(peers, now);
    }
    expire_silent(peers, now);
    FrMembers_Step(peers, now);
    FrFanout_Step(peers->front->sync, now);
    BkTimer_Start(peers->timer, ROUND_INTERVAL);
}

/* The seeds are addresses of other services on the VMs; only their hosts are
   used, since the daemons use the same port on all VMs. */
static void
add_seeds(FrPeers *peers)
{
    BkStr rest = BkStr_FromC(peers->front->conf.seeds);
    BkStr port = BkStr_FromC(peers->front->conf.peers_address);
    char address[BKP_MAX_NAME + 1];

    BkStr_Split(&port, ':');
    while (rest.len > 0) {
        BkStr seed = BkStr_Trim(BkStr_Split(&rest, ','));
        BkStr host = BkStr_Split(&seed, ':');
        snprintf(address, sizeof(address), "%.*s:%.*s", BK_STR_ARG(host),
                 BK_STR_ARG(port));
        if (host.len > 0) {
            FrPeers_Add(peers, BK_STR(""), BkStr_FromC(address));
        }
    }
}

FrPeers *
FrPeers_Create(FrFront *front)
{
    FrPeers *peers = BkMem_New(1, sizeof(*peers));
    BkDatagramSpec spec = {.listen = front->conf.peers_address,
                           .program = BKP_PROGRAM,
                           .version = BKP_VERSION,
                           .procs = procs,
                           .count = sizeof(procs) / sizeof(procs[0]),
                           .dropped_counter = BkCounter_Get(
                               "bk_peer_garbage_total", NULL,
                               "datagrams that could not be decoded"),
                           .arg = peers};

    peers->front = front;
    peers->sock = BkDatagramSocket_Create(front->loop, &spec);
    if (peers->sock == NULL) {
        free(peers);
        return NULL;
    }
    add_seeds(peers);
    peers->timer = BkTimer_Create(front->loop, on_round, peers);
    BkTimer_Start(peers->timer, ROUND_INTERVAL);
    return peers;
}

void
FrPeers_Destroy(FrPeers *peers)
{
    if (peers == NULL) {
        return;
    }
    for (int i = 0; i < peers->count; i++) {
        FrLoads_Clear(peers->list[i]);
        free(peers->list[i]->loads);
        free(peers->list[i]->name);
        free(peers->list[i]->address);
        free(peers->list[i]);
    }
    free(peers->list);
    BkTimer_Destroy(peers->timer);
    BkDatagramSocket_Destroy(peers->sock);
    free(peers);
}
