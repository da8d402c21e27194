/*
 * roster - which other daemons are alive, learned from few messages
 *
 * Pure. A daemon sends its state to a few others in a round, however many
 * there are. Each message lists daemons from which the sender has heard, with
 * the time since then, so that a daemon hears of all others though it receives
 * messages from few. The times of a daemon that has ended grow older
 * everywhere, whoever mentions it.
 *
 * Most messages stay within the failure domain of the sender, since traffic
 * between domains is expensive.
 */
#ifndef BK_ROSTER_ROSTER_H
#define BK_ROSTER_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/rng.h"

enum {
    /* ms of silence until a peer is not alive; longer in the largest fleets */
    BK_ROSTER_PEER_TIMEOUT = 5000,
    /* with at most so many peers, each gets a message in each round */
    BK_ROSTER_MAX_DIRECT = 8,
    BK_ROSTER_MAX_TARGETS = 8, /* of one round */
    BK_ROSTER_MAX_HEARD = 64   /* entries of one message */
};

typedef struct BkRosterPeer {
    uint32_t key;    /* hash of its name (BkStr_NameHash); 0: not known yet */
    uint32_t domain; /* hash of its failure domain; 0: not known yet */
    BkMs heard_at;   /* when it was last known to run; BK_MS_NEVER: not yet */
    bool stopping;
    bool store_ok; /* the store answers it */
} BkRosterPeer;

typedef struct BkRoster {
    uint32_t own_domain;
    BkRosterPeer *
        *peers; /* not owned; in the order in which they were added */
    int count;
    int cap;
    BkRosterPeer **by_key; /* those with a key, sorted by it */
    int key_count;
    int next_near; /* where the search for the next targets begins */
    int next_far;
    int next_silent;
    BkRng rng;
} BkRoster;

/* What a message says of a peer. */
typedef struct BkRosterEntry {
    uint32_t key;
    BkMs age; /* time since the peer was known to run */
    bool stopping;
    bool store_ok;
} BkRosterEntry;

BkRoster BkRoster_Make(uint32_t own_domain, uint64_t seed);
void BkRoster_Destroy(BkRoster *roster);

/* Adds a peer that lives at least as long as the roster. */
void BkRoster_Add(BkRoster *roster, BkRosterPeer *peer);

/* Sets the key of a peer that was added without one, or another key. */
void BkRoster_SetKey(BkRoster *roster, BkRosterPeer *peer, uint32_t key);

/* NULL if no peer has the key. */
BkRosterPeer *BkRoster_Find(const BkRoster *roster, uint32_t key);

/* Whether the peer was known to run recently. */
bool BkRoster_IsAlive(const BkRoster *roster, const BkRosterPeer *peer,
                      BkMs now);

/* Applies an entry of a message. Returns the peer if the entry is newer than
 * what is known, else NULL; was_alive: whether it was alive before. */
BkRosterPeer *BkRoster_Apply(BkRoster *roster, const BkRosterEntry *entry,
                             BkMs now, bool *was_alive);

/* Fills in the entries for a message; at most BK_ROSTER_MAX_HEARD, returns how
 * many. None are needed while every peer gets each message. */
int BkRoster_ListHeard(BkRoster *roster, BkMs now, BkRosterEntry *out);

/* Chooses the peers that get a message in this round; at most
 * BK_ROSTER_MAX_TARGETS, returns how many. */
int BkRoster_ChooseTargets(BkRoster *roster, int round, BkMs now,
                           BkRosterPeer **out);

#endif
