#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/daemon/internal.h"

enum {
    MAX_PEERS = 1024
};

BkPeer *
BkPeers_FindOrAdd(BkPeers *peers, const char *gossip_address, BkMs now)
{
    for (int i = 0; i < peers->count; i++) {
        if (strcmp(peers->list[i].gossip_address, gossip_address) == 0) {
            return &peers->list[i];
        }
    }
    if (peers->count == MAX_PEERS ||
        BkSettings_CheckAddr(BkStr_FromC(gossip_address)) != BK_OK) {
        return NULL;
    }
    if (peers->count == peers->cap) {
        peers->cap = peers->cap == 0 ? 16 : peers->cap * 2;
        peers->list =
            BkMem_Grow(peers->list, (size_t)peers->cap, sizeof(BkPeer));
    }
    BkPeer *peer = &peers->list[peers->count++];
    memset(peer, 0, sizeof(*peer));
    snprintf(peer->gossip_address, sizeof(peer->gossip_address), "%s",
             gossip_address);
    peer->added_at = now;
    peer->heard_at = BK_MS_NEVER;
    return peer;
}

BkPeers *
BkPeers_Create(const char *seeds, BkMs now)
{
    BkPeers *peers = BkMem_New(1, sizeof(*peers));
    BkStr rest = BkStr_FromC(seeds);

    while (rest.len > 0) {
        BkStr address = BkStr_Split(&rest, ' ');
        char text[BKG_MAX_NAME + 1];
        if (address.len == 0) {
            continue;
        }
        snprintf(text, sizeof(text), "%.*s", BK_STR_ARG(address));
        BkPeer *peer = BkPeers_FindOrAdd(peers, text, now);
        if (peer != NULL) {
            peer->seed = true;
        }
    }
    return peers;
}

void
BkPeers_Destroy(BkPeers *peers)
{
    if (peers == NULL) {
        return;
    }
    free(peers->list);
    free(peers);
}

void
BkPeers_RemoveSilent(BkPeers *peers, BkMs now, BkMs max_silence)
{
    int kept = 0;

    for (int i = 0; i < peers->count; i++) {
        const BkPeer *peer = &peers->list[i];
        BkMs heard_or_added_at =
            peer->heard_at == BK_MS_NEVER ? peer->added_at : peer->heard_at;
        if (now - heard_or_added_at <= max_silence || peer->seed) {
            peers->list[kept++] = *peer;
        }
    }
    peers->count = kept;
}

BkPeer *
BkPeers_PickRandom(BkPeers *peers, BkRng *rng,
                   bool (*matches)(const BkPeer *peer, void *arg), void *arg)
{
    BkPeer *picked = NULL;
    uint32_t matching = 0;

    for (int i = 0; i < peers->count; i++) {
        if (!matches(&peers->list[i], arg)) {
            continue;
        }
        /* each matching peer is picked with the same probability */
        matching++;
        if (BkRng_Below(rng, matching) == 0) {
            picked = &peers->list[i];
        }
    }
    return picked;
}

BkPeer *
BkPeers_FindByName(BkPeers *peers, const char *name)
{
    for (int i = 0; i < peers->count; i++) {
        if (strcmp(peers->list[i].name, name) == 0) {
            return &peers->list[i];
        }
    }
    return NULL;
}

int
BkDaemon_CountPeers(const BkDaemon *daemon, BkRole role)
{
    const BkPeers *peers = daemon->peers;
    int count = 0;

    for (int i = 0; i < peers->count; i++) {
        count += peers->list[i].role == role && !peers->list[i].stopping;
    }
    return count;
}
