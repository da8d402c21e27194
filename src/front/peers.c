#include "peers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "bk/net/datagram.h"
#include "bk/spread/spread.h"
#include "admission.h"
#include "links.h"
#include "origins.h"
#include "planner.h"
#include "quarantine.h"
#include "sync.h"

enum {
    ROUND_INTERVAL = 100, /* ms */
    /* the planner sends its state to all peers every so many rounds */
    PLANNER_ROUNDS = 4,
    /* ms of silence until FrPeers_HasPlanner is false; messages still go to
       the planner until PLANNER_FORGET_TIME */
    PLANNER_TIMEOUT = 1000,
    PLANNER_FORGET_TIME = 5000,
    /* ms of silence until a peer is not a candidate for reader; readers send
       to all daemons several times a second */
    CANDIDATE_TIMEOUT = 3000
};

FrPeer *
FrPeers_Find(const FrPeers *peers, BkStr name)
{
    FrPeer *peer =
        (FrPeer *)BkRoster_Find(&peers->roster, BkStr_NameHash(name));

    if (peer != NULL && BkStr_Equal(BkStr_FromC(peer->name), name)) {
        return peer;
    }
    for (int i = 0; i < peers->count && peer != NULL; i++) {
        /* another peer's name has the same hash */
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

static FrPeer *
add_peer(FrPeers *peers)
{
    FrPeer *peer = BkMem_New(1, sizeof(*peer));

    if (peers->count == peers->cap) {
        peers->cap = peers->cap == 0 ? 16 : peers->cap * 2;
        peers->list =
            BkMem_Grow(peers->list, (size_t)peers->cap, sizeof(FrPeer *));
    }
    peer->seen.heard_at = BK_MS_NEVER;
    peer->added_at = BkClock_Now();
    peer->name = BkStr_Dup(BK_STR(""));
    peer->address = BkStr_Dup(BK_STR(""));
    peer->domain = BkStr_Dup(BK_STR(""));
    peers->list[peers->count++] = peer;
    BkRoster_Add(&peers->roster, &peer->seen);
    return peer;
}

static void
replace_text(char **text, BkStr value)
{
    if (!BkStr_Equal(BkStr_FromC(*text), value)) {
        free(*text);
        *text = BkStr_Dup(value);
    }
}

void
FrPeers_DropTarget(FrPeer *peer)
{
    if (peer->target != NULL) {
        FrUpConnPool_CloseIdle(peer->target, 0, true);
        BkUp_Unref(peer->target);
        peer->target = NULL;
    }
}

void
FrPeers_CloseIdle(FrPeers *peers, BkMs now)
{
    for (int i = 0; i < peers->count; i++) {
        if (peers->list[i]->target != NULL) {
            FrUpConnPool_CloseIdle(peers->list[i]->target, now, false);
        }
    }
}

FrPeer *
FrPeers_Add(FrPeers *peers, BkStr name, BkStr address, BkStr domain)
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
        peer = add_peer(peers);
    }
    replace_text(&peer->address, address);
    if (name.len > 0) {
        replace_text(&peer->name, name);
        BkRoster_SetKey(&peers->roster, &peer->seen, BkStr_NameHash(name));
    }
    if (domain.len > 0) {
        replace_text(&peer->domain, domain);
        peer->seen.domain = BkStr_NameHash(domain);
    }
    return peer;
}

bool
FrPeers_IsAlive(const FrPeers *peers, const FrPeer *peer, BkMs now)
{
    return BkRoster_IsAlive(&peers->roster, &peer->seen, now);
}

void
FrPeers_NoteHeard(FrPeers *peers, FrPeer *peer, bool stopping, bool store_ok,
                  BkMs now)
{
    if (!FrPeers_IsAlive(peers, peer, now)) {
        BkLog_Event(BK_LOG_INFO, "peers", NULL, "peer heard", "s:s, s:I",
                    "name", peer->name, "born", (json_int_t)peer->started_at);
    }
    peer->seen.heard_at = now;
    peer->seen.stopping = stopping;
    peer->seen.store_ok = store_ok;
}

bool
FrPeers_IsIncomplete(const FrPeers *peers)
{
    for (int i = 0; i < peers->count; i++) {
        if (peers->list[i]->seen.heard_at == BK_MS_NEVER) {
            return true;
        }
    }
    return peers->count == 0;
}

bool
FrPeers_AnyAlive(const FrPeers *peers, BkMs now)
{
    for (int i = 0; i < peers->count; i++) {
        if (FrPeers_IsAlive(peers, peers->list[i], now)) {
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
        const FrPeer *peer = peers->list[i];
        if (peer->seen.store_ok && FrPeers_IsAlive(peers, peer, now)) {
            return true;
        }
    }
    return false;
}

int
FrPeers_CountReaderCandidates(const FrPeers *peers, BkMs now)
{
    uint32_t own_key = BkStr_NameHash(BkStr_FromC(peers->front->conf.name));
    int count = 0;

    for (int i = 0; i < peers->count; i++) {
        const FrPeer *peer = peers->list[i];
        const BkRosterPeer *seen = &peer->seen;
        bool usable = seen->heard_at == BK_MS_NEVER
                          ? now - peer->added_at < CANDIDATE_TIMEOUT
                          : now - seen->heard_at < CANDIDATE_TIMEOUT &&
                                seen->store_ok && !seen->stopping;
        count += usable && seen->key < own_key && seen->key != 0 ? 1 : 0;
    }
    return count;
}

bool
FrPeers_AreListed(const FrPeers *peers)
{
    return peers->listed;
}

int
FrPeers_Count(const FrPeers *peers)
{
    return peers->count + 1;
}

void
FrPeers_Send(FrPeers *peers, const FrPeer *peer, int proc, const void *message)
{
    int64_t sent_before = BkDatagram_SentBytes(peers->sock);

    if (BkDatagram_Send(peers->sock, peer->address, (rpcproc_t)proc,
                        message) != BK_OK) {
        BkLog_Event(BK_LOG_INFO, "peers", NULL, "message not sent", "s:i, s:s",
                    "kind", proc, "why", BkErr_Last());
    }
    if (peer->seen.domain != peers->roster.own_domain) {
        BkCounter_Add(peers->far_bytes,
                      BkDatagram_SentBytes(peers->sock) - sent_before);
    }
}

/* the address of a planned message, or of one to be forwarded */
static void
send_to_address(FrPeers *peers, const char *address, int proc,
                const void *message)
{
    const FrPeer *peer = find_by_address(peers, BkStr_FromC(address));
    const FrPeer unknown = {.address = (char *)address,
                            .seen = {.domain = peers->roster.own_domain}};

    FrPeers_Send(peers, peer == NULL ? &unknown : peer, proc, message);
}

static void
send_planned(FrPeers *peers, int proc, const void *message, bkp_spread *spread,
             const BkSpreadSend *sends, int count)
{
    bkp_address forward_to[BK_SPREAD_GROUP_SIZE];

    for (int i = 0; i < count; i++) {
        for (int k = 0; k < sends[i].forward_count; k++) {
            forward_to[k] = (char *)sends[i].forward_to[k];
        }
        spread->to_domain = sends[i].to_domain;
        spread->forward_to.forward_to_len = (u_int)sends[i].forward_count;
        spread->forward_to.forward_to_val = forward_to;
        send_to_address(peers, sends[i].to, proc, message);
    }
    spread->to_domain = 0;
    spread->forward_to.forward_to_len = 0;
    spread->forward_to.forward_to_val = NULL;
}

/* Lists the peers that are alive, but the one with this key. */
static int
list_alive(const FrPeers *peers, uint32_t left_out, BkSpreadPeer *out)
{
    BkMs now = BkClock_Now();
    int count = 0;

    for (int i = 0; i < peers->count; i++) {
        const FrPeer *peer = peers->list[i];
        if (peer->seen.key != left_out && FrPeers_IsAlive(peers, peer, now)) {
            out[count++] = (BkSpreadPeer){peer->address, peer->seen.domain};
        }
    }
    return count;
}

void
FrPeers_Spread(FrPeers *peers, int proc, const void *message,
               bkp_spread *spread)
{
    uint32_t own_key = BkStr_NameHash(BkStr_FromC(peers->front->conf.name));
    BkSpreadPeer *alive =
        BkMem_New((size_t)peers->count + 1, sizeof(BkSpreadPeer));
    BkSpreadSend *sends =
        BkMem_New((size_t)peers->count + 1, sizeof(BkSpreadSend));
    int count = list_alive(peers, own_key, alive);

    *spread = (bkp_spread){.origin = own_key};
    count = BkSpread_ToAll(alive, count, &peers->front->rng, sends);
    send_planned(peers, proc, message, spread, sends, count);
    free(alive);
    free(sends);
}

static void
spread_in_domain(FrPeers *peers, int proc, const void *message,
                 bkp_spread *spread)
{
    BkSpreadPeer *alive =
        BkMem_New((size_t)peers->count + 1, sizeof(BkSpreadPeer));
    BkSpreadSend *sends =
        BkMem_New((size_t)peers->count + 1, sizeof(BkSpreadSend));
    int count = list_alive(peers, spread->origin, alive);

    count = BkSpread_ToDomain(alive, count, peers->roster.own_domain,
                              &peers->front->rng, sends);
    send_planned(peers, proc, message, spread, sends, count);
    free(alive);
    free(sends);
}

void
FrPeers_ForwardSpread(FrPeers *peers, int proc, const void *message,
                      bkp_spread *spread)
{
    const bkp_spread asked = *spread;

    *spread = (bkp_spread){.origin = asked.origin};
    if (asked.to_domain) {
        spread_in_domain(peers, proc, message, spread);
    }
    for (u_int i = 0; i < asked.forward_to.forward_to_len; i++) {
        send_to_address(peers, asked.forward_to.forward_to_val[i], proc,
                        message);
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
FrPeers_NotePlanner(FrPeers *peers, const char *name, uint64_t term, BkMs at)
{
    FrPlanner *planner = peers->front->planner;

    if (term < peers->term || strcmp(name, peers->front->conf.name) == 0 ||
        BkClock_Now() - at >= PLANNER_FORGET_TIME) {
        return;
    }
    BkLease_OnPlannerAlive(&planner->lease, term, at);
    if (term > peers->term || strcmp(peers->planner_name, name) != 0) {
        BkLog_Event(BK_LOG_NOTICE, "peers", NULL, "planner", "s:s, s:I",
                    "name", name, "term", (json_int_t)term);
        snprintf(peers->planner_name, sizeof(peers->planner_name), "%s", name);
        peers->planner_heard_at = at;
    }
    peers->term = term;
    if (at > peers->planner_heard_at) {
        peers->planner_heard_at = at;
    }
}

void
FrPeers_NoteOwnTerm(FrPeers *peers, uint64_t term)
{
    peers->term = term > peers->term ? term : peers->term;
    peers->planner_name[0] = '\0';
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

    FrAdmission_HandleLoad(peers->front->admission, message, BkClock_Now());
}

static void
handle_origins(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrOrigins_HandleTold(peers->front->origins, message, BkClock_Now());
}

static void
handle_origin_ask(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrOrigins_HandleAsk(peers->front->origins, message, BkClock_Now());
}

static void
handle_origin_answer(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrOrigins_HandleAnswer(peers->front->origins, message, BkClock_Now());
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
handle_gossip(const void *message, const char *from, void *arg)
{
    FrGossip_Handle(arg, message, from);
}

static void
handle_planner_beat(const void *message, const char *from, void *arg)
{
    FrGossip_HandlePlannerBeat(arg, message);
}

static void
handle_changes(const void *message, const char *from, void *arg)
{
    FrPeers *peers = arg;
    const bkp_changes *changes = message;
    bkp_changes copy = *changes;

    FrPeers_ForwardSpread(peers, BKP_CHANGES, &copy, &copy.spread);
    if (changes->term >= peers->term) {
        FrPlanner_ApplyChanges(peers->front, changes);
    }
}

static void
handle_crash(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrQuarantine_HandleCrash(peers->front->quarantine, message, BkClock_Now());
}

static void
handle_well(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrQuarantine_HandleWell(peers->front->quarantine, message, BkClock_Now());
}

static void
handle_verdicts(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrQuarantine_HandleVerdicts(peers->front->quarantine, message,
                                BkClock_Now());
}

static void
handle_removals(const void *message, const char *from, void *arg)
{
    FrGossip_HandleRemovals(arg, message);
}

static void
handle_refused(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrAdmission_HandleRefused(peers->front->admission, message, BkClock_Now());
}

static void
handle_links(const void *message, const char *from, void *arg)
{
    const FrPeers *peers = arg;

    FrLinks_HandleTold(peers->front->links, message, BkClock_Now());
}

static const BkDatagramProc procs[] = {
    {BKP_ASK, "ask", (xdrproc_t)xdr_bkp_ask, sizeof(bkp_ask), handle_ask},
    {BKP_CHANGES, "changes", (xdrproc_t)xdr_bkp_changes, sizeof(bkp_changes),
     handle_changes},
    {BKP_CRASH, "crash", (xdrproc_t)xdr_bkp_crash, sizeof(bkp_crash),
     handle_crash},
    {BKP_DEMANDS, "demands", (xdrproc_t)xdr_bkp_demands, sizeof(bkp_demands),
     handle_demands},
    {BKP_GRANT, "grant", (xdrproc_t)xdr_bkp_grant, sizeof(bkp_grant),
     handle_grant},
    {BKP_LINKS, "links", (xdrproc_t)xdr_bkp_links, sizeof(bkp_links),
     handle_links},
    {BKP_GOSSIP, "news", (xdrproc_t)xdr_bkp_gossip, sizeof(bkp_gossip),
     handle_gossip},
    {BKP_ORIGIN_ANSWER, "origin answer", (xdrproc_t)xdr_bkp_origin_answer,
     sizeof(bkp_origin_answer), handle_origin_answer},
    {BKP_ORIGIN_ASK, "origin ask", (xdrproc_t)xdr_bkp_origin_ask,
     sizeof(bkp_origin_ask), handle_origin_ask},
    {BKP_ORIGINS, "origins", (xdrproc_t)xdr_bkp_origins, sizeof(bkp_origins),
     handle_origins},
    {BKP_PLANNER_BEAT, "beat", (xdrproc_t)xdr_bkp_planner_beat,
     sizeof(bkp_planner_beat), handle_planner_beat},
    {BKP_REFUSED, "refused", (xdrproc_t)xdr_bkp_refused, sizeof(bkp_refused),
     handle_refused},
    {BKP_REMOVALS, "removals", (xdrproc_t)xdr_bkp_removals,
     sizeof(bkp_removals), handle_removals},
    {BKP_REPORTS, "reports", (xdrproc_t)xdr_bkp_reports, sizeof(bkp_reports),
     handle_reports},
    {BKP_LOAD_UPDATE, "told", (xdrproc_t)xdr_bkp_load_update,
     sizeof(bkp_load_update), handle_load_update},
    {BKP_VERDICTS, "verdicts", (xdrproc_t)xdr_bkp_verdicts,
     sizeof(bkp_verdicts), handle_verdicts},
    {BKP_WELL, "well", (xdrproc_t)xdr_bkp_well, sizeof(bkp_well), handle_well},
    {BKP_ADAPTER_REQUEST, "wish", (xdrproc_t)xdr_bkp_adapter_request,
     sizeof(bkp_adapter_request), handle_adapter_request},
};

static void
forget_silent_planner(FrPeers *peers, BkMs now)
{
    if (peers->planner_name[0] != '\0' &&
        now - peers->planner_heard_at >= PLANNER_FORGET_TIME) {
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
    if (peers->round % PLANNER_ROUNDS == 0) {
        FrGossip_SendPlannerBeat(peers, now);
    }
    FrGossip_RunRound(peers, now);
    FrAdmission_ResendLoads(peers->front->admission, now);
    FrOrigins_Step(peers->front->origins, now);
    FrLoads_Expire(peers, now);
    forget_silent_planner(peers, now);
    FrMembers_Step(peers, now);
    FrFanout_Step(peers->front->sync, now);
    FrQuarantine_Step(peers->front->quarantine, now);
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
            FrPeers_Add(peers, BK_STR(""), BkStr_FromC(address), BK_STR(""));
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
    peers->far_bytes = BkCounter_Get("bk_front_far_bytes_total",
                                     "kind=\"daemons\"", FR_FAR_BYTES_HELP);
    peers->roster =
        BkRoster_Make(BkStr_NameHash(BkStr_FromC(front->conf.domain)),
                      BkRng_Next(&front->rng));
    add_seeds(peers);
    FrMembers_Init(peers);
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
        FrLoads_Clear(peers->list[i], 0);
        if (peers->list[i]->target != NULL) {
            FrUpConnPool_Destroy(peers->list[i]->target);
            BkUp_Unref(peers->list[i]->target);
        }
        free(peers->list[i]->loads);
        free(peers->list[i]->name);
        free(peers->list[i]->address);
        free(peers->list[i]->domain);
        free(peers->list[i]);
    }
    free(peers->list);
    BkRoster_Destroy(&peers->roster);
    BkBuf_Destroy(&peers->next_key);
    BkTimer_Destroy(peers->timer);
    BkDatagramSocket_Destroy(peers->sock);
    free(peers);
}
