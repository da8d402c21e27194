#include "peers.h"

#include <string.h>

#include "bk/base/log.h"
#include "planner.h"
#include "quarantine.h"
#include "sync.h"

enum {
    /* without load to report, gossip is sent every so many rounds, except to
       many peers, each of which gets it rarely enough anyway */
    IDLE_ROUNDS = 10,
    /* flags of a heard daemon */
    FLAG_STOPPING = 1,
    FLAG_STORE_OK = 2,
    FLAG_BITS = 2,
    MAX_AGE = 1 << 24, /* ms, longest age in a message */
    /* ms for which removals of reports are told: several times as long as news
       take to reach all daemons */
    REMOVAL_MEMORY = 8000,
    /* ms added to the age of news of the planner at each hop: more than a
       message usually takes */
    HOP_TIME = 15
};

/* If more upstreams are leaving than a message has room for, it is a part of
   them that begins elsewhere each time. */
static void
fill_leaving(FrPeers *peers, bkp_gossip *gossip, bkp_leaving *leaving)
{
    const FrFront *front = peers->front;
    u_int n = 0;

    for (int i = 0; i < front->fleet.count && n < BKP_MAX_LEAVING; i++) {
        const BkUp *up =
            front->fleet.ups[peers->next_leaving++ % front->fleet.count];
        if (up->state == BK_UP_LEAVING) {
            leaving[n++] = (bkp_leaving){up->key, up->started_at};
        }
    }
    gossip->leaving.leaving_len = n;
    gossip->leaving.leaving_val = leaving;
}

/* If more reports were removed than a message has room for, it is a part of them
   that begins elsewhere each time. */
static void
fill_removals(FrPeers *peers, bkp_removals *removals, bkp_removal *rows,
              BkMs now)
{
    const BkFleet *fleet = &peers->front->fleet;
    u_int n = 0;

    for (int i = 0; i < fleet->count && n < BKP_MAX_REMOVED; i++) {
        const BkUp *up = fleet->ups[peers->next_removed++ % fleet->count];
        if (up->removed && now - up->state_since < REMOVAL_MEMORY) {
            rows[n++] = (bkp_removal){up->key, up->row_version};
        }
    }
    *removals =
        (bkp_removals){FrSync_GetReportEra(peers->front->sync), {n, rows}};
}

/* Adds a few random peers to the message, so that daemons find each other even
   without the store; only one once all that are known were heard of. */
static void
fill_members(FrPeers *peers, bkp_gossip *gossip, bkp_member *members, BkMs now)
{
    int tries = FrPeers_IsIncomplete(peers) ? BKP_MAX_MEMBERS : 1;
    u_int n = 0;

    for (int i = 0; i < tries && peers->count > 0; i++) {
        FrPeer *peer = peers->list[BkRng_Below(&peers->front->rng,
                                               (uint32_t)peers->count)];
        if (peer->name[0] != '\0' && FrPeers_IsAlive(peers, peer, now)) {
            members[n++] =
                (bkp_member){peer->name, peer->address, peer->domain};
        }
    }
    gossip->members.members_len = n;
    gossip->members.members_val = members;
}

static void
fill_heard(FrPeers *peers, bkp_gossip *gossip, bkp_heard *heard, BkMs now)
{
    BkRosterEntry entries[BK_ROSTER_MAX_HEARD];
    int count = BkRoster_ListHeard(&peers->roster, now, entries);

    for (int i = 0; i < count; i++) {
        BkMs age = entries[i].age < MAX_AGE ? entries[i].age : MAX_AGE;
        heard[i] = (bkp_heard){entries[i].key,
                               ((u_int)age << FLAG_BITS) |
                                   (entries[i].stopping ? FLAG_STOPPING : 0U) |
                                   (entries[i].store_ok ? FLAG_STORE_OK : 0U)};
    }
    gossip->heard.heard_len = (u_int)count;
    gossip->heard.heard_val = heard;
}

static void
fill_planner(FrPeers *peers, bkp_gossip *gossip, BkMs now)
{
    const FrPlanner *planner = peers->front->planner;

    gossip->planner = "";
    gossip->resigned_term = planner->lease.own_resigned_term;
    if (FrPlanner_IsActive(planner, now)) {
        gossip->planner = peers->front->conf.name;
        gossip->term = planner->planned_term;
    }
    else if (peers->planner_name[0] != '\0') {
        gossip->planner = peers->planner_name;
        gossip->term = peers->term;
        gossip->planner_age = (u_int)(now - peers->planner_heard_at);
    }
}

/* the arrays that a gossip message points into */
typedef struct GossipArrays {
    bkp_total totals[BKP_MAX_TOTALS];
    bkp_heard heard[BKP_MAX_HEARD];
    bkp_leaving leaving[BKP_MAX_LEAVING];
    bkp_member members[BKP_MAX_MEMBERS];
} GossipArrays;

static void
fill_gossip(FrPeers *peers, bkp_gossip *gossip, GossipArrays *arrays, BkMs now)
{
    FrFront *front = peers->front;

    *gossip = (bkp_gossip){
        .name = front->conf.name,
        .domain = front->conf.domain,
        .started_at = front->wall_started_at,
        .site_version = front->site == NULL ? 0 : front->site->version,
        .report_era = FrSync_GetReportEra(front->sync),
        .report_version = FrFanout_GetToldVersion(front->sync),
        .stopping = front->stopping,
        .store_ok = !FrSync_IsStoreFailing(front->sync)};
    fill_planner(peers, gossip, now);
    gossip->totals.totals_len = FrLoads_ListTotals(peers, arrays->totals, now);
    gossip->totals.totals_val = arrays->totals;
    fill_heard(peers, gossip, arrays->heard, now);
    fill_leaving(peers, gossip, arrays->leaving);
    fill_members(peers, gossip, arrays->members, now);
}

void
FrPeers_SendGossip(FrPeers *peers)
{
    bkp_gossip gossip;
    GossipArrays arrays;

    if (peers->sock == NULL) {
        return;
    }
    fill_gossip(peers, &gossip, &arrays, BkClock_Now());
    for (int i = 0; i < peers->count; i++) {
        FrPeers_Send(peers, peers->list[i], BKP_GOSSIP, &gossip);
    }
}

void
FrGossip_RunRound(FrPeers *peers, BkMs now)
{
    bkp_gossip gossip;
    GossipArrays arrays;
    BkRosterPeer *targets[BK_ROSTER_MAX_TARGETS];

    if (peers->count == 0) {
        return;
    }
    fill_gossip(peers, &gossip, &arrays, now);
    if (gossip.totals.totals_len == 0 &&
        peers->count <= BK_ROSTER_MAX_DIRECT &&
        peers->round % IDLE_ROUNDS != 0) {
        return;
    }
    int count =
        BkRoster_ChooseTargets(&peers->roster, peers->round, now, targets);
    bkp_removal removal_rows[BKP_MAX_REMOVED];
    bkp_removals removals;
    fill_removals(peers, &removals, removal_rows, now);
    for (int i = 0; i < count; i++) {
        FrPeers_Send(peers, (const FrPeer *)targets[i], BKP_GOSSIP, &gossip);
        if (removals.rows.rows_len > 0) {
            FrPeers_Send(peers, (const FrPeer *)targets[i], BKP_REMOVALS,
                         &removals);
        }
        FrQuarantine_SendVerdicts(peers->front->quarantine,
                                  (const FrPeer *)targets[i], now);
    }
}

void
FrGossip_SendPlannerBeat(FrPeers *peers, BkMs now)
{
    u_int weight_load_ages[BKP_MAX_WEIGHT_LOADS];
    bkp_planner_beat beat = {.name = peers->front->conf.name};

    if (FrPlanner_FillBeat(peers->front->planner, &beat, weight_load_ages,
                           now)) {
        FrPeers_Spread(peers, BKP_PLANNER_BEAT, &beat, &beat.spread);
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

static void
apply_heard(FrPeers *peers, const bkp_gossip *gossip, BkMs now)
{
    for (u_int i = 0; i < gossip->heard.heard_len; i++) {
        const bkp_heard *heard = &gossip->heard.heard_val[i];
        BkRosterEntry entry = {
            .key = heard->key,
            .age = (BkMs)(heard->age_and_flags >> FLAG_BITS),
            .stopping = (heard->age_and_flags & FLAG_STOPPING) != 0,
            .store_ok = (heard->age_and_flags & FLAG_STORE_OK) != 0};
        bool was_alive;
        const FrPeer *peer = (const FrPeer *)BkRoster_Apply(
            &peers->roster, &entry, now, &was_alive);
        if (peer != NULL && !was_alive) {
            BkLog_Event(BK_LOG_INFO, "peers", NULL, "peer heard", "s:s, s:s",
                        "name", peer->name, "from", gossip->name);
        }
    }
}

static void
apply_planner(FrPeers *peers, const bkp_gossip *gossip, BkMs now)
{
    if (gossip->resigned_term > peers->resigned_term) {
        peers->resigned_term = gossip->resigned_term;
    }
    if (gossip->resigned_term > 0 && gossip->resigned_term >= peers->term) {
        BkLease_OnResigned(&peers->front->planner->lease,
                           gossip->resigned_term, now);
    }
    if (gossip->planner[0] != '\0' && gossip->term > peers->resigned_term) {
        FrPeers_NotePlanner(peers, gossip->planner, gossip->term,
                            now - (BkMs)gossip->planner_age - HOP_TIME);
    }
}

void
FrGossip_HandleRemovals(FrPeers *peers, const bkp_removals *removals)
{
    FrFront *front = peers->front;
    BkMs now = BkClock_Now();

    if (removals->store_era != FrSync_GetReportEra(front->sync)) {
        return; /* their versions say nothing here */
    }
    for (u_int i = 0; i < removals->rows.rows_len; i++) {
        const bkp_removal *row = &removals->rows.rows_val[i];
        BkFleet_ApplyToldRemoval(&front->fleet, row->up, row->store_version,
                                 now);
    }
}

void
FrGossip_Handle(FrPeers *peers, const bkp_gossip *gossip, const char *from)
{
    FrFront *front = peers->front;
    BkMs now = BkClock_Now();
    FrPeer *peer = FrPeers_Add(peers, BkStr_FromC(gossip->name),
                               BkStr_FromC(from), BkStr_FromC(gossip->domain));

    if (peer == NULL ||
        (peer->started_at > gossip->started_at && peer->started_at != 0)) {
        return; /* its own message, or from before the peer restarted */
    }
    if (peer->started_at != gossip->started_at) {
        FrLoads_Clear(peer, now); /* of the process before */
        peer->started_at = gossip->started_at;
    }
    FrPeers_NoteHeard(peers, peer, gossip->stopping != 0,
                      gossip->store_ok != 0, now);
    apply_heard(peers, gossip, now);
    for (u_int i = 0; i < gossip->totals.totals_len; i++) {
        FrLoads_ApplyTotal(front, &gossip->totals.totals_val[i], now);
    }
    apply_leaving(front, gossip, now);
    apply_planner(peers, gossip, now);
    for (u_int i = 0; i < gossip->members.members_len; i++) {
        const bkp_member *member = &gossip->members.members_val[i];
        FrPeers_Add(peers, BkStr_FromC(member->name),
                    BkStr_FromC(member->address), BkStr_FromC(member->domain));
    }
    FrFanout_NotePeerVersions(front->sync, gossip->site_version,
                              gossip->report_era, gossip->report_version, now);
    FrQueue_SchedulePass(front, 0);
}

void
FrGossip_HandlePlannerBeat(FrPeers *peers, const bkp_planner_beat *beat)
{
    BkMs now = BkClock_Now();
    FrPeer *peer = FrPeers_Find(peers, BkStr_FromC(beat->name));
    bkp_planner_beat copy = *beat;

    FrPeers_ForwardSpread(peers, BKP_PLANNER_BEAT, &copy, &copy.spread);
    if (beat->term < peers->term || beat->term <= peers->resigned_term) {
        return;
    }
    if (peer != NULL) {
        FrPeers_NoteHeard(peers, peer, peer->seen.stopping,
                          peer->seen.store_ok, now);
    }
    FrPeers_NotePlanner(peers, beat->name, beat->term, now);
    FrPlanner_HandleBeat(peers->front->planner, beat, now);
}
