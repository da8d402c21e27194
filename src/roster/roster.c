#include "bk/roster/roster.h"

#include <stdlib.h>
#include <string.h>

#include "bk/base/str.h"

enum {
    NEAR_TARGETS = 2, /* of a round, in the own failure domain */
    FAR_ROUNDS = 5,   /* between two messages to other failure domains */
    /* rounds between two messages to a peer that is not alive */
    SILENT_ROUNDS = 10,
    /* peers, up to which the timeout does not grow with their number */
    LARGE_FLEET = 300,
    /* ms added to an age at each hop. More than messages usually take: without
       it, the news of a daemon that has ended would grow older too slowly. */
    HOP_TIME = 15
};

BkRoster
BkRoster_Make(uint32_t own_domain, uint64_t seed)
{
    BkRoster roster = {.own_domain = own_domain};

    roster.rng = BkRng_Make(seed);
    return roster;
}

void
BkRoster_Destroy(BkRoster *roster)
{
    free(roster->peers);
    free(roster->by_key);
    *roster = (BkRoster){.own_domain = roster->own_domain};
}

/* index of the first peer in by_key whose key is not lower */
static int
find_index(const BkRoster *roster, uint32_t key)
{
    int low = 0;
    int high = roster->key_count;

    while (low < high) {
        int mid = (low + high) / 2;
        if (roster->by_key[mid]->key < key) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return low;
}

BkRosterPeer *
BkRoster_Find(const BkRoster *roster, uint32_t key)
{
    int index = find_index(roster, key);

    return index < roster->key_count && roster->by_key[index]->key == key
               ? roster->by_key[index]
               : NULL;
}

static void
remove_key(BkRoster *roster, const BkRosterPeer *peer)
{
    for (int i = 0; i < roster->key_count; i++) {
        if (roster->by_key[i] == peer) {
            roster->key_count--;
            memmove(roster->by_key + i, roster->by_key + i + 1,
                    (size_t)(roster->key_count - i) * sizeof(BkRosterPeer *));
            return;
        }
    }
}

static void
insert_key(BkRoster *roster, BkRosterPeer *peer)
{
    int index = find_index(roster, peer->key);

    memmove(roster->by_key + index + 1, roster->by_key + index,
            (size_t)(roster->key_count - index) * sizeof(BkRosterPeer *));
    roster->by_key[index] = peer;
    roster->key_count++;
}

void
BkRoster_Add(BkRoster *roster, BkRosterPeer *peer)
{
    if (roster->count == roster->cap) {
        roster->cap = roster->cap == 0 ? 16 : roster->cap * 2;
        roster->peers = BkMem_Grow(roster->peers, (size_t)roster->cap,
                                   sizeof(BkRosterPeer *));
        roster->by_key = BkMem_Grow(roster->by_key, (size_t)roster->cap,
                                    sizeof(BkRosterPeer *));
    }
    roster->peers[roster->count++] = peer;
    if (peer->key != 0) {
        insert_key(roster, peer);
    }
}

void
BkRoster_SetKey(BkRoster *roster, BkRosterPeer *peer, uint32_t key)
{
    if (peer->key == key) {
        return;
    }
    remove_key(roster, peer);
    peer->key = key;
    if (key != 0) {
        insert_key(roster, peer);
    }
}

/* The messages of a daemon name a fixed number of others, so news of each
   comes less often in a larger fleet. */
static BkMs
peer_timeout(const BkRoster *roster)
{
    return roster->count <= LARGE_FLEET
               ? BK_ROSTER_PEER_TIMEOUT
               : (BkMs)BK_ROSTER_PEER_TIMEOUT * roster->count / LARGE_FLEET;
}

bool
BkRoster_IsAlive(const BkRoster *roster, const BkRosterPeer *peer, BkMs now)
{
    return peer->heard_at != BK_MS_NEVER &&
           now - peer->heard_at < peer_timeout(roster);
}

BkRosterPeer *
BkRoster_Apply(BkRoster *roster, const BkRosterEntry *entry, BkMs now,
               bool *was_alive)
{
    BkRosterPeer *peer = BkRoster_Find(roster, entry->key);
    BkMs heard_at = now - entry->age - HOP_TIME;

    if (peer == NULL ||
        (peer->heard_at != BK_MS_NEVER && heard_at <= peer->heard_at)) {
        return NULL;
    }
    *was_alive = BkRoster_IsAlive(roster, peer, now);
    peer->heard_at = heard_at;
    peer->stopping = entry->stopping;
    peer->store_ok = entry->store_ok;
    return peer;
}

static BkRosterEntry
make_entry(const BkRosterPeer *peer, BkMs now)
{
    return (BkRosterEntry){.key = peer->key,
                           .age = now - peer->heard_at,
                           .stopping = peer->stopping,
                           .store_ok = peer->store_ok};
}

/* a random step that visits every peer once before any twice */
static uint32_t
choose_step(BkRoster *roster)
{
    uint32_t count = (uint32_t)roster->count;
    uint32_t step = 1 + BkRng_Below(&roster->rng, count - 1);

    for (;; step++) {
        uint32_t a = count;
        uint32_t b = step;
        while (b != 0) {
            uint32_t rest = a % b;
            a = b;
            b = rest;
        }
        if (a == 1) {
            return step;
        }
    }
}

int
BkRoster_ListHeard(BkRoster *roster, BkMs now, BkRosterEntry *out)
{
    int count = 0;

    if (roster->count <= BK_ROSTER_MAX_DIRECT) {
        return 0;
    }
    /* At random: in turn, the order of the entries and that of the targets
       could combine so that a daemon seldom hears of some others. */
    uint32_t at = BkRng_Below(&roster->rng, (uint32_t)roster->count);
    uint32_t step = choose_step(roster);
    for (int i = 0; i < roster->count && count < BK_ROSTER_MAX_HEARD; i++) {
        const BkRosterPeer *peer = roster->peers[at];
        at = (at + step) % (uint32_t)roster->count;
        if (peer->key != 0 && BkRoster_IsAlive(roster, peer, now)) {
            out[count++] = make_entry(peer, now);
        }
    }
    return count;
}

/* Adds the next peers of the own domain, or of the others, that are alive. */
static int
add_targets(BkRoster *roster, bool near, int wanted, BkMs now,
            BkRosterPeer **out, int count)
{
    int *next = near ? &roster->next_near : &roster->next_far;

    for (int i = 0; i < roster->count && wanted > 0; i++) {
        BkRosterPeer *peer = roster->peers[*next % roster->count];
        *next = (*next + 1) % roster->count;
        if ((peer->domain == roster->own_domain) == near &&
            BkRoster_IsAlive(roster, peer, now)) {
            out[count++] = peer;
            wanted--;
        }
    }
    return count;
}

/* Adds the next peer that is not alive: it may have come back. */
static int
add_silent_target(BkRoster *roster, BkMs now, BkRosterPeer **out, int count)
{
    for (int i = 0; i < roster->count; i++) {
        BkRosterPeer *peer =
            roster->peers[roster->next_silent++ % roster->count];
        if (!BkRoster_IsAlive(roster, peer, now)) {
            out[count++] = peer;
            break;
        }
    }
    return count;
}

static int
choose_all(const BkRoster *roster, int round, BkMs now, BkRosterPeer **out)
{
    int count = 0;

    for (int i = 0; i < roster->count; i++) {
        if (round % SILENT_ROUNDS == 0 ||
            BkRoster_IsAlive(roster, roster->peers[i], now)) {
            out[count++] = roster->peers[i];
        }
    }
    return count;
}

int
BkRoster_ChooseTargets(BkRoster *roster, int round, BkMs now,
                       BkRosterPeer **out)
{
    if (roster->count <= BK_ROSTER_MAX_DIRECT) {
        return choose_all(roster, round, now, out);
    }
    int count = add_targets(roster, true, NEAR_TARGETS, now, out, 0);
    int far = NEAR_TARGETS - count; /* the own domain has fewer peers */
    if (round % FAR_ROUNDS == 0) {
        far++;
    }
    count = add_targets(roster, false, far, now, out, count);
    if (round % SILENT_ROUNDS == 0) {
        count = add_silent_target(roster, now, out, count);
    }
    return count;
}
