#include "peers.h"

#include <stdlib.h>

#include "bk/base/log.h"

enum {
    /* ms after which a load that was not told again no longer counts; several
       times the interval at which daemons tell theirs again */
    LOAD_TIMEOUT = 2000,
    /* ms in which a daemon that was asked as the coordinator ignores what
       others say of the total */
    COORDINATION_TIME = 2000,
    /* ms in which a new coordinator may not have been told the load of all
       daemons; longer than the interval at which they tell it again */
    TAKEOVER_TIME = 600,
    /* requests that a message may say that a daemon has at one upstream: more
       than any has, and a thousand of them fit an int */
    MAX_RUNNING = 1000000
};

/* Derives the load of the other daemons. The coordinator's own count is the
   newest, once it is complete. Otherwise both are parts of the truth, and the
   larger one is nearer to it. */
static void
update_peer_load(BkUp *up, BkMs now)
{
    bool complete = now < up->coordinated_until &&
                    now - up->coordinated_since >= TAKEOVER_TIME;
    bool told =
        up->told_at != 0 && now - up->told_at < LOAD_TIMEOUT && !complete;

    up->peer_running = up->counted_running;
    up->peer_prompt_tokens = up->counted_prompt_tokens;
    if (told && up->told_running > up->peer_running) {
        up->peer_running = up->told_running;
    }
    if (told && up->told_prompt_tokens > up->peer_prompt_tokens) {
        up->peer_prompt_tokens = up->told_prompt_tokens;
    }
}

static bkp_total
make_total(const BkUp *up, BkMs age)
{
    return (bkp_total){
        {up->key, (u_int)(up->own_running + up->peer_running),
         (u_int)(up->own_prompt_tokens + up->peer_prompt_tokens)},
        (u_int)age};
}

u_int
FrLoads_ListTotals(FrPeers *peers, bkp_total *totals, BkMs now)
{
    const BkFleet *fleet = &peers->front->fleet;
    bool forwards = peers->count > BK_ROSTER_MAX_DIRECT;
    u_int n = 0;

    for (int i = 0; i < fleet->count && n < BKP_MAX_TOTALS; i++) {
        if (now < fleet->ups[i]->coordinated_until) {
            totals[n++] = make_total(fleet->ups[i], 0);
        }
    }
    for (int i = 0; i < fleet->count && n < BKP_MAX_TOTALS && forwards; i++) {
        const BkUp *up = fleet->ups[peers->next_total++ % fleet->count];
        if (now >= up->coordinated_until && up->told_at != 0 &&
            now - up->told_at < LOAD_TIMEOUT) {
            totals[n++] = make_total(up, now - up->told_at);
        }
    }
    return n;
}

/* A number from a datagram, so that sums of them fit an int. */
static int
bounded_running(const bkp_load *load)
{
    if (load->running < MAX_RUNNING) {
        return (int)load->running;
    }
    BkLog_Event(BK_LOG_INFO, "peers", NULL, "load cut to the limit",
                "s:I, s:i", "running", (json_int_t)load->running, "limit",
                MAX_RUNNING);
    return MAX_RUNNING;
}

void
FrLoads_SetOthers(BkUp *up, const bkp_load *others, BkMs now)
{
    up->told_running = bounded_running(others);
    up->told_prompt_tokens = others->prompt_tokens;
    up->told_at = now;
    update_peer_load(up, now);
}

void
FrLoads_ApplyTotal(FrFront *front, const bkp_total *total, BkMs now)
{
    BkUp *up = BkFleet_FindByKey(&front->fleet, total->load.up);
    BkMs counted_at = now - (BkMs)total->age;

    if (up == NULL || now < up->coordinated_until ||
        counted_at <= up->told_at) {
        return;
    }
    up->told_running = bounded_running(&total->load) - up->own_running;
    up->told_prompt_tokens =
        (int64_t)total->load.prompt_tokens - up->own_prompt_tokens;
    up->told_at = counted_at;
    update_peer_load(up, now);
}

/* Replaces the peer's load at one upstream, and adds the difference to the sum
   of all peers there. */
static void
set_load(FrPeerLoad *entry, const bkp_load *load, BkMs now)
{
    entry->up->counted_running += bounded_running(load) - entry->running;
    entry->up->counted_prompt_tokens +=
        (int64_t)load->prompt_tokens - entry->prompt_tokens;
    entry->running = bounded_running(load);
    entry->prompt_tokens = (int64_t)load->prompt_tokens;
    entry->told_at = now;
    update_peer_load(entry->up, now);
}

static FrPeerLoad *
add_load(FrPeer *peer, BkUp *up)
{
    if (peer->load_count == peer->load_cap) {
        peer->load_cap = peer->load_cap == 0 ? 8 : peer->load_cap * 2;
        peer->loads = BkMem_Grow(peer->loads, (size_t)peer->load_cap,
                                 sizeof(*peer->loads));
    }
    FrPeerLoad *entry = &peer->loads[peer->load_count++];
    *entry = (FrPeerLoad){.up = BkUp_Ref(up)};
    return entry;
}

static void
remove_load(FrPeer *peer, int index, BkMs now)
{
    const bkp_load no_load = {0};

    set_load(&peer->loads[index], &no_load, now);
    BkUp_Unref(peer->loads[index].up);
    peer->loads[index] = peer->loads[--peer->load_count];
}

void
FrLoads_NoteCoordination(BkUp *up, BkMs now)
{
    if (now >= up->coordinated_until) {
        up->coordinated_since = now;
    }
    up->coordinated_until = now + COORDINATION_TIME;
}

void
FrLoads_SetOne(FrFront *front, FrPeer *peer, const bkp_load *load, BkMs now)
{
    BkUp *up = BkFleet_FindByKey(&front->fleet, load->up);

    if (up == NULL) {
        return;
    }
    FrLoads_NoteCoordination(up, now);
    for (int i = 0; i < peer->load_count; i++) {
        if (peer->loads[i].up == up) {
            set_load(&peer->loads[i], load, now);
            return;
        }
    }
    set_load(add_load(peer, up), load, now);
}

void
FrLoads_Clear(FrPeer *peer, BkMs now)
{
    while (peer->load_count > 0) {
        remove_load(peer, peer->load_count - 1, now);
    }
}

void
FrLoads_Expire(FrPeers *peers, BkMs now)
{
    const BkFleet *fleet = &peers->front->fleet;

    for (int i = 0; i < peers->count; i++) {
        FrPeer *peer = peers->list[i];
        for (int k = peer->load_count - 1; k >= 0; k--) {
            if (now - peer->loads[k].told_at >= LOAD_TIMEOUT) {
                remove_load(peer, k, now);
            }
        }
    }
    for (int i = 0; i < fleet->count; i++) {
        if (fleet->ups[i]->peer_running > 0 ||
            fleet->ups[i]->peer_prompt_tokens > 0) {
            update_peer_load(fleet->ups[i], now);
        }
    }
}
