#include "peers.h"

#include <stdlib.h>

u_int
FrLoads_ListOwn(const FrFront *front, bkp_load *loads)
{
    u_int n = 0;

    for (int i = 0; i < front->fleet.count && n < BKP_MAX_LOADS; i++) {
        const BkUp *up = front->fleet.ups[i];
        if (up->own_running > 0) {
            loads[n++] = (bkp_load){up->key, (u_int)up->own_running,
                                    (u_int)up->own_prompt_tokens};
        }
    }
    return n;
}

/* Replaces the peer's load at one upstream, and adds the difference to the sum
   of all peers there. */
static void
set_load(FrPeerLoad *entry, const bkp_load *load)
{
    entry->up->peer_running += (int)load->running - entry->running;
    entry->up->peer_prompt_tokens +=
        (int64_t)load->prompt_tokens - entry->prompt_tokens;
    entry->running = (int)load->running;
    entry->prompt_tokens = (int64_t)load->prompt_tokens;
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

void
FrLoads_SetOne(FrFront *front, FrPeer *peer, const bkp_load *load)
{
    for (int i = 0; i < peer->load_count; i++) {
        if (peer->loads[i].up->key == load->up) {
            set_load(&peer->loads[i], load);
            return;
        }
    }
    BkUp *up = BkFleet_FindByKey(&front->fleet, load->up);
    if (up != NULL) {
        set_load(add_load(peer, up), load);
    }
}

void
FrLoads_Clear(FrPeer *peer)
{
    const bkp_load no_load = {0};

    for (int i = 0; i < peer->load_count; i++) {
        set_load(&peer->loads[i], &no_load);
        BkUp_Unref(peer->loads[i].up);
    }
    peer->load_count = 0;
}

void
FrLoads_SetAll(FrFront *front, FrPeer *peer, const bkp_load *loads,
               u_int count)
{
    FrLoads_Clear(peer);
    for (u_int i = 0; i < count; i++) {
        BkUp *up = BkFleet_FindByKey(&front->fleet, loads[i].up);
        if (up != NULL) {
            set_load(add_load(peer, up), &loads[i]);
        }
    }
}
