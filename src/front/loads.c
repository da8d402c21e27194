#include "peers.h"

#include <stdlib.h>

u_int
FrLoads_Fill(const FrFront *front, bkp_load *loads)
{
    u_int n = 0;

    for (int i = 0; i < front->fleet.count && n < BKP_MAX_LOADS; i++) {
        const BkUp *up = front->fleet.ups[i];
        if (up->own_running > 0) {
            loads[n++] = (bkp_load){up->key, (u_int)up->own_running,
                                    (u_int)up->own_prompt};
        }
    }
    return n;
}

static void
change_load(FrPeerLoad *kept, const bkp_load *load)
{
    kept->up->others_running += (int)load->running - kept->running;
    kept->up->others_prompt += (int64_t)load->prompt - kept->prompt;
    kept->running = (int)load->running;
    kept->prompt = (int64_t)load->prompt;
}

static FrPeerLoad *
add_load(FrPeer *peer, BkUp *up)
{
    if (peer->load_count == peer->load_cap) {
        peer->load_cap = peer->load_cap == 0 ? 8 : peer->load_cap * 2;
        peer->loads = BkMem_Grow(peer->loads, (size_t)peer->load_cap,
                                 sizeof(*peer->loads));
    }
    FrPeerLoad *added = &peer->loads[peer->load_count++];
    *added = (FrPeerLoad){.up = BkUp_Ref(up)};
    return added;
}

void
FrLoads_Set(FrFront *front, FrPeer *peer, const bkp_load *load)
{
    for (int i = 0; i < peer->load_count; i++) {
        if (peer->loads[i].up->key == load->up) {
            change_load(&peer->loads[i], load);
            return;
        }
    }
    BkUp *up = BkFleet_FindKey(&front->fleet, load->up);
    if (up != NULL) {
        change_load(add_load(peer, up), load);
    }
}

void
FrPeer_DropLoads(FrPeer *peer)
{
    const bkp_load none = {0};

    for (int i = 0; i < peer->load_count; i++) {
        change_load(&peer->loads[i], &none);
        BkUp_Unref(peer->loads[i].up);
    }
    peer->load_count = 0;
}

void
FrLoads_Take(FrFront *front, FrPeer *peer, const bkp_load *loads, u_int count)
{
    FrPeer_DropLoads(peer);
    for (u_int i = 0; i < count; i++) {
        BkUp *up = BkFleet_FindKey(&front->fleet, loads[i].up);
        if (up != NULL) {
            change_load(add_load(peer, up), &loads[i]);
        }
    }
}
