#include "detour.h"

#include <stdlib.h>

#include "bk/base/log.h"
#include "links.h"
#include "sync.h"

enum {
    /* ms in which a daemon that refused a request for another reason than its
       load is not used */
    PEER_BACKOFF = 1000,
    /* ms; the daemon that sent a request tries another one at once, and a
       caller comes back when others may have room */
    RETRY_AFTER = 200
};

static const char field_name[] = "Bk-Detour";
static const char elsewhere[] = "elsewhere";
static const char full[] = "full";
static const char arrived[] = "arrived";
static const char links_lost_too[] = "it has lost its links too";

/* The daemon as a target of requests; it is made anew when its address
   changes. */
static BkUp *
get_target(FrPeer *peer)
{
    if (peer->target != NULL &&
        !BkStr_Equal(BkStr_FromC(peer->target->address),
                     BkStr_FromC(peer->address))) {
        FrPeers_DropTarget(peer);
    }
    if (peer->target == NULL) {
        peer->target =
            BkUp_CreateDaemon(peer->name, peer->address, peer->domain);
    }
    return peer->target;
}

static bool
was_tried(const FrRequest *request, const FrPeer *peer)
{
    for (int i = 0; i < request->detour_count; i++) {
        if (request->detours[i] == peer->seen.key) {
            return true;
        }
    }
    return false;
}

/* Whether the peer runs, and has not told that it has lost its links too. */
static bool
has_links(const FrRequest *request, const FrPeer *peer, BkMs now)
{
    const FrPeers *peers = request->front->peers;

    return peer->seen.key != 0 && !peer->seen.stopping &&
           FrPeers_IsAlive(peers, peer, now) &&
           !FrLinks_HasPeerLost(peer, request->query.service, now);
}

static bool
is_usable(const FrRequest *request, const FrPeer *peer, BkMs now)
{
    return (peer->target == NULL || now >= peer->target->avoid_until) &&
           !was_tried(request, peer);
}

/* What a choice among the peers led to. */
typedef struct Choice {
    FrPeer *peer;   /* NULL: none is usable */
    bool any_links; /* at least one peer has its links */
    bool last;      /* no other one is left */
} Choice;

static Choice
choose_peer(const FrRequest *request, BkMs now)
{
    FrFront *front = request->front;
    const FrPeers *peers = front->peers;
    BkReachVm *vms = BkMem_New((size_t)peers->count + 1, sizeof(*vms));
    FrPeer **usable = BkMem_New((size_t)peers->count + 1, sizeof(FrPeer *));
    Choice choice = {0};
    int count = 0;

    for (int i = 0; i < peers->count; i++) {
        FrPeer *peer = peers->list[i];
        if (!has_links(request, peer, now)) {
            continue;
        }
        choice.any_links = true;
        if (is_usable(request, peer, now)) {
            vms[count] = (BkReachVm){
                .near = peer->seen.domain == peers->roster.own_domain,
                .in_flight =
                    peer->target == NULL ? 0 : peer->target->own_running};
            usable[count++] = peer;
        }
    }
    int chosen =
        BkReach_ChooseVm(vms, count, request->detour_count, &front->rng);
    choice.peer = chosen < 0 ? NULL : usable[chosen];
    choice.last = count == 1;
    free(vms);
    free(usable);
    return choice;
}

bool
FrDetour_TrySend(FrRequest *request, bool forced, BkMs now)
{
    const FrFront *front = request->front;

    if (request->relayed ||
        (!forced && !FrLinks_AreLost(front->links, request->query.service))) {
        return false;
    }
    Choice choice = choose_peer(request, now);
    if (choice.peer != NULL && request->detour_count < FR_MAX_DETOURS) {
        request->detours[request->detour_count++] = choice.peer->seen.key;
        request->last_detour =
            choice.last || request->detour_count == FR_MAX_DETOURS;
        BkCounter_Add(front->metrics.detours, 1);
        FrRequest_SendTo(request, get_target(choice.peer), now);
        return true;
    }
    if (choice.any_links) {
        FrRequest_GiveUp(request, "no daemon with links could take it",
                         RETRY_AFTER);
        return true;
    }
    /* open connections may live on */
    return false;
}

void
FrDetour_PutFields(const FrRequest *request, BkBuf *out)
{
    const FrFront *front = request->front;
    int tries = request->last_detour ? BK_REACH_MAX_REFUSALS
                                     : request->detour_count - 1;

    BkBuf_Printf(
        out, "%s: config=%llu,tries=%d,software=%u\r\n", field_name,
        (unsigned long long)(front->site == NULL ? 0 : front->site->version),
        tries, request->query.software);
}

bool
FrDetour_IsField(BkStr name)
{
    return BkH1_SameName(name, BkStr_FromC(field_name));
}

/* Returns the number after name and "=" in a list separated by commas; 0 if it
   is missing. */
static uint64_t
read_number(BkStr text, const char *name)
{
    uint64_t number;

    while (text.len > 0) {
        BkStr value = BkStr_Trim(BkStr_Split(&text, ','));
        BkStr key = BkStr_Split(&value, '=');
        if (BkStr_Equal(key, BkStr_FromC(name)) &&
            BkStr_ToU64(value, &number) == BK_OK && number <= INT64_MAX) {
            return number;
        }
    }
    return 0;
}

static void
log_refusal(const char *request_id, const char *why)
{
    BkLog_Event(BK_LOG_INFO, "detour", request_id, "refused", "s:s", "why",
                why);
}

void
FrDetour_Refuse(FrCallerConn *conn, FrRefusal refusal, const char *why)
{
    log_refusal(NULL, why);
    conn->refusal = refusal;
    FrCallerConn_ReplyError(conn, 503, why, RETRY_AFTER);
}

bool
FrDetour_MaybeReturn(FrRequest *request)
{
    FrCallerConn *conn = request->caller_conn;

    if (!request->relayed || request->run_count > 0 ||
        request->stage != FR_WAITING ||
        !FrLinks_AreLost(request->front->links, request->query.service)) {
        return false;
    }
    log_refusal(request->id, links_lost_too);
    conn->refusal = request->arrival_count > 0 ? FR_REFUSED_AFTER_ARRIVAL
                                               : FR_REFUSED_ELSEWHERE;
    FrRequest_ReplyError(request, 503, links_lost_too, RETRY_AFTER);
    return true;
}

bool
FrDetour_Accept(FrCallerConn *conn, const BkH1Head *head, FrDetourFields *out)
{
    FrFront *front = conn->front;
    BkStr text = BkH1Head_Find(head, field_name);
    int own = front->request_count - front->relayed_count;

    *out =
        (FrDetourFields){.config = read_number(text, "config"),
                         .tries = (int64_t)read_number(text, "tries"),
                         .software = (int64_t)read_number(text, "software")};
    if (out->config > front->site->version) {
        FrSync_CatchUp(front->sync, FR_TABLE_SITE, BkClock_Now());
        FrDetour_Refuse(conn, FR_REFUSED_ELSEWHERE,
                        "its configuration is older");
        return false;
    }
    if (!BkReach_MayTake(front->relayed_count, own, (int)out->tries)) {
        FrDetour_Refuse(conn, FR_REFUSED_FULL, "it has no room");
        return false;
    }
    return true;
}

static const char *
get_word(FrRefusal refusal)
{
    switch (refusal) {
    case FR_REFUSED_ELSEWHERE:
        return elsewhere;
    case FR_REFUSED_FULL:
        return full;
    case FR_REFUSED_AFTER_ARRIVAL:
        return arrived;
    case FR_NOT_REFUSED:
        break;
    }
    return NULL;
}

static FrRefusal
read_refusal(BkStr text)
{
    static const FrRefusal refusals[] = {FR_REFUSED_ELSEWHERE, FR_REFUSED_FULL,
                                         FR_REFUSED_AFTER_ARRIVAL};

    for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
        if (BkStr_Equal(text, BkStr_FromC(get_word(refusals[i])))) {
            return refusals[i];
        }
    }
    return FR_NOT_REFUSED;
}

FrDetourReply
FrDetour_ReadReply(const BkH1Head *head)
{
    BkStr text = BkH1Head_Find(head, field_name);

    return (FrDetourReply){.refusal = read_refusal(text),
                           .software =
                               (uint32_t)read_number(text, "software")};
}

void
FrDetour_PutRefusal(FrRefusal refusal, BkBuf *out)
{
    if (refusal != FR_NOT_REFUSED) {
        BkBuf_Printf(out, "%s: %s\r\n", field_name, get_word(refusal));
    }
}

void
FrDetour_PutSoftware(const FrRequest *request, BkBuf *out)
{
    BkBuf_Printf(out, "%s: software=%u\r\n", field_name,
                 request->up->software_key);
}

void
FrDetour_NoteRefusal(BkUp *target, BkMs now)
{
    target->avoid_until = now + PEER_BACKOFF;
}
