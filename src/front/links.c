#include "links.h"

#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"

enum {
    /* ms between rounds of probes after a failure; longer than an attempt to
       connect may take */
    UNDECIDED_INTERVAL = 400,
    LOST_INTERVAL = 250,  /* ms between probes while the links are lost */
    TELL_INTERVAL = 1000, /* ms between messages while links are lost */
    /* ms without a message until a peer counts as having its links again:
       several intervals, since datagrams are lost */
    TOLD_TIMEOUT = 2500
};

/* The links to one service. */
typedef struct Row {
    FrLinks *links;
    BkReach reach;
    BkTimer *probe_timer;
} Row;

struct FrLinks {
    FrFront *front;
    Row rows[FR_MAX_SERVICES];
    int count;
    bool full_logged; /* that there is no room for another service */
    BkTimer *tell_timer;
    BkCounter *lost; /* gauge */
    BkCounter *probes;
};

static void
on_probe_timer(void *arg)
{
    Row *row = arg;
    FrLinks *links = row->links;
    FrFront *front = links->front;
    bool lost = row->reach.lost;

    if (row->reach.failed_count == 0 || front->stopping) {
        return;
    }
    for (int i = 0; i < (lost ? 1 : BK_REACH_PROBES); i++) {
        BkUp *up =
            BkReach_ChooseProbe(&row->reach, &front->fleet, &front->rng);
        if (up != NULL && FrUpConn_OpenIdle(front, up)) {
            BkCounter_Add(links->probes, 1);
        }
    }
    BkTimer_Start(row->probe_timer, lost ? LOST_INTERVAL : UNDECIDED_INTERVAL);
}

static Row *
find_row(FrLinks *links, uint32_t service)
{
    for (int i = 0; i < links->count; i++) {
        if (links->rows[i].reach.service == service) {
            return &links->rows[i];
        }
    }
    return NULL;
}

/* NULL: there is no room for another service */
static Row *
find_or_add_row(FrLinks *links, const BkUp *up)
{
    uint32_t service = up->service_key;
    Row *row = find_row(links, service);

    if (row == NULL && links->count == FR_MAX_SERVICES &&
        !links->full_logged) {
        links->full_logged = true;
        BkLog_Event(BK_LOG_WARNING, "links", NULL,
                    "no room for a service's links", "s:s", "service",
                    up->service);
    }
    if (row == NULL && links->count < FR_MAX_SERVICES) {
        row = &links->rows[links->count++];
        row->links = links;
        row->reach = BkReach_Make(service);
        row->probe_timer =
            BkTimer_Create(links->front->loop, on_probe_timer, row);
    }
    return row;
}

static void
tell_peers(FrLinks *links)
{
    FrFront *front = links->front;
    uint32_t lost[FR_MAX_SERVICES];
    u_int count = 0;

    for (int i = 0; i < links->count; i++) {
        if (links->rows[i].reach.lost) {
            lost[count++] = links->rows[i].reach.service;
        }
    }
    bkp_links message = {.name = front->conf.name,
                         .started_at = front->wall_started_at,
                         .lost = {count, lost}};
    FrPeers_Spread(front->peers, BKP_LINKS, &message, &message.spread);
    if (count > 0) {
        BkTimer_Start(links->tell_timer, TELL_INTERVAL);
    }
    else {
        BkTimer_Stop(links->tell_timer);
    }
}

static void
on_tell_timer(void *arg)
{
    tell_peers(arg);
}

/* The links to a service were lost or regained. */
static void
announce_change(FrLinks *links)
{
    tell_peers(links);
    FrQueue_SchedulePass(links->front, 0);
}

void
FrLinks_HandleTold(FrLinks *links, const bkp_links *told, BkMs now)
{
    FrPeers *peers = links->front->peers;
    FrPeer *peer = FrPeers_Find(peers, BkStr_FromC(told->name));
    bkp_links copy = *told;

    FrPeers_ForwardSpread(peers, BKP_LINKS, &copy, &copy.spread);
    if (peer == NULL || peer->started_at > told->started_at) {
        return; /* not known yet, or of its process before */
    }
    peer->lost_told_at = now;
    peer->lost_count = told->lost.lost_len;
    memcpy(peer->lost_services, told->lost.lost_val,
           peer->lost_count * sizeof(peer->lost_services[0]));
    FrQueue_SchedulePass(links->front, 0);
}

bool
FrLinks_HasPeerLost(const FrPeer *peer, uint32_t service, BkMs now)
{
    for (u_int i = 0;
         i < peer->lost_count && now - peer->lost_told_at < TOLD_TIMEOUT;
         i++) {
        if (peer->lost_services[i] == service) {
            return true;
        }
    }
    return false;
}

void
FrLinks_NoteConnected(FrLinks *links, const BkUp *up, BkMs started_at)
{
    Row *row = find_or_add_row(links, up);
    BkMs now = BkClock_Now();

    if (row != NULL && BkReach_NoteConnected(&row->reach, started_at, now)) {
        BkCounter_Add(links->lost, -1);
        BkLog_Event(BK_LOG_NOTICE, "links", NULL, "links regained", "s:s, s:I",
                    "service", up->service, "after_ms",
                    (json_int_t)(now - row->reach.lost_at));
        announce_change(links);
    }
}

void
FrLinks_NoteFailed(FrLinks *links, const BkUp *up, bool probe, BkMs started_at)
{
    Row *row = find_or_add_row(links, up);

    if (row == NULL || !BkUp_IsOpen(up)) {
        return;
    }
    BkReach_NoteFailed(&row->reach, up->key, probe, started_at);
    if (BkReach_Decide(&row->reach, &links->front->fleet, BkClock_Now())) {
        BkCounter_Add(links->lost, 1);
        BkLog_Event(BK_LOG_NOTICE, "links", NULL, "links lost", "s:s",
                    "service", up->service);
        announce_change(links);
    }
    if (row->reach.failed_count > 0 && !BkTimer_Running(row->probe_timer)) {
        BkTimer_Start(row->probe_timer, 0);
    }
}

bool
FrLinks_HaveAllLost(const FrLinks *links, uint32_t service)
{
    const FrPeers *peers = links->front->peers;
    BkMs now = BkClock_Now();

    for (int i = 0; i < peers->count; i++) {
        const FrPeer *peer = peers->list[i];
        if (FrPeers_IsAlive(peers, peer, now) &&
            !FrLinks_HasPeerLost(peer, service, now)) {
            return false;
        }
    }
    return true;
}

bool
FrLinks_WorkedSince(const FrLinks *links, const BkUp *up, BkMs at)
{
    const Row *row = find_row((FrLinks *)links, up->service_key);

    return row != NULL && row->reach.worked_at >= at;
}

bool
FrLinks_CheckSince(FrLinks *links, const BkUp *up, BkMs at)
{
    FrFront *front = links->front;
    BkUp *others[BK_REACH_PROBES];

    if (FrLinks_WorkedSince(links, up, at)) {
        return true;
    }
    int count = BkReach_ChooseOthers(&front->fleet, up, &front->rng, others,
                                     BK_REACH_PROBES);
    for (int i = 0; i < count; i++) {
        if (FrUpConn_OpenIdle(front, others[i])) {
            BkCounter_Add(links->probes, 1);
        }
    }
    return count == 0;
}

bool
FrLinks_AreLost(const FrLinks *links, uint32_t service)
{
    const Row *row = find_row((FrLinks *)links, service);

    return row != NULL && row->reach.lost;
}

bool
FrLinks_AreEnginesLost(const FrLinks *links, BkMs at_least)
{
    const BkSite *site = links->front->site;
    BkMs now = BkClock_Now();

    for (int i = 0; site != NULL && i < site->service_count; i++) {
        const BkSiteService *service = &site->services[i];
        const Row *row = find_row((FrLinks *)links,
                                  BkStr_NameHash(BkStr_FromC(service->name)));
        if (service->engine != NULL && row != NULL && row->reach.lost &&
            now - row->reach.lost_at >= at_least) {
            return true;
        }
    }
    return false;
}

FrLinks *
FrLinks_Create(FrFront *front)
{
    FrLinks *links = BkMem_New(1, sizeof(*links));

    links->front = front;
    links->tell_timer = BkTimer_Create(front->loop, on_tell_timer, links);
    links->lost = BkCounter_Get("bk_front_links_lost", NULL,
                                "services of which no upstream can be "
                                "connected to");
    links->probes =
        BkCounter_Get("bk_front_link_probes_total", NULL,
                      "connections opened to find out whether links work");
    return links;
}

void
FrLinks_Destroy(FrLinks *links)
{
    if (links == NULL) {
        return;
    }
    for (int i = 0; i < links->count; i++) {
        BkTimer_Destroy(links->rows[i].probe_timer);
    }
    BkTimer_Destroy(links->tell_timer);
    free(links);
}
