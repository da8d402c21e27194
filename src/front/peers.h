/*
 * peers - gossip and other messages between the bk-front daemons
 *
 * A few times a second, each daemon sends its state to some of the other
 * daemons, its peers: a gossip message (BKP_GOSSIP). It contains the versions
 * of the configuration and of the reports that the daemon has, its own load at
 * each upstream, the upstreams that are leaving, and whether the daemon is the
 * planner. The receivers add the peer's load to their view of the upstreams,
 * learn of changes that their own feed of the store has not returned yet, and
 * know whether the planner is alive.
 */
#ifndef BK_FRONT_PEERS_H
#define BK_FRONT_PEERS_H

#include "bk/peer/gen/peer_xdr.h"
#include "front.h"

/* The load that one peer causes at an upstream. */
typedef struct FrPeerLoad {
    BkUp *up;
    int running;           /* requests in progress */
    int64_t prompt_tokens; /* prompt tokens of those not yet answered */
} FrPeerLoad;

struct FrPeer {
    char *name;          /* "" until it is known */
    char *address;       /* "ip:port" to which its datagrams are sent */
    uint64_t started_at; /* of its process, ms since 1970; 0: not known */
    BkMs heard_at;       /* when its gossip last came; BK_MS_NEVER: not yet */
    bool stopping;
    bool store_ok; /* the store answers it */
    FrPeerLoad *loads;
    int load_count;
    int load_cap;
    /* asks in a row that it, as a coordinator, did not answer */
    int unanswered_asks;
    BkMs skip_until; /* until then, it is not used as a coordinator */
};

struct FrPeers {
    FrFront *front;
    struct BkDatagramSocket *sock;
    FrPeer **list; /* in the order in which they were added */
    int count;
    int cap;
    int next_peer; /* modulo count: index of the next one to send gossip to */
    BkTimer *timer;
    int round;
    /* The members table of the store (members.c): */
    BkMs next_call_at; /* when the table is read or written next */
    bool row_written;  /* this daemon's own row */
    bool call_active;
    BkMs read_interval; /* between reads, while peers are missing */
    /* The planner, if it is another daemon: */
    char planner_name[BKP_MAX_NAME + 1]; /* "": none is known */
    uint64_t term; /* newest known, also of this daemon */
    BkMs planner_heard_at;
};

FrPeers *FrPeers_Create(FrFront *front);
void FrPeers_Destroy(FrPeers *peers);

/* Sends a gossip message to all peers now. */
void FrPeers_SendGossip(FrPeers *peers);

/* Sends a message to the planner, if another daemon is known to be it. proc is
 * the kind of message, such as BKP_DEMANDS. */
void FrPeers_SendToPlanner(FrPeers *peers, int proc, const void *message);

/* Sends a message to one peer. */
void FrPeers_Send(FrPeers *peers, const FrPeer *peer, int proc,
                  const void *message);

/* The same by address, "ip:port"; sends nothing if no peer has it. */
void FrPeers_SendToAddress(FrPeers *peers, const char *address, int proc,
                           const void *message);

/* Sends a message to all peers that are alive. */
void FrPeers_SendToAlive(FrPeers *peers, int proc, const void *message);

/* This daemon becomes the planner of a term; messages of planners of earlier
 * terms are ignored from now on. */
void FrPeers_NoteOwnTerm(FrPeers *peers, uint64_t term);

/* Whether there is a planner: this daemon, or a peer whose gossip as the
 * planner came recently. */
bool FrPeers_HasPlanner(const FrPeers *peers, BkMs now);

bool FrPeers_AnyAlive(const FrPeers *peers, BkMs now);

/* Whether no peer is known, or one has never sent gossip. */
bool FrPeers_IsIncomplete(const FrPeers *peers);

/* Whether any peer that is alive says that the store answers it. */
bool FrPeers_AnyReachesStore(const FrPeers *peers, BkMs now);

/* How many peers are to become readers of the store (sync.h) before this
 * daemon: those whose gossip came recently and says that the store answers
 * them, and that come before this daemon in an order that is the same for all
 * daemons. */
int FrPeers_CountReaderCandidates(const FrPeers *peers, BkMs now);

/* Known daemons, this one included. */
int FrPeers_Count(const FrPeers *peers);

/* At a planned stop: removes this daemon's row from the members table and
 * sends a gossip message that it is stopping (in members.c). */
void FrMembers_Leave(FrPeers *peers);

/* Adds a peer, or updates its name and address; the name is "" if it is not
 * known yet. NULL if it is this daemon itself. */
FrPeer *FrPeers_Add(FrPeers *peers, BkStr name, BkStr address);
FrPeer *FrPeers_Find(const FrPeers *peers, BkStr name);

/* Whether its gossip came recently. */
bool FrPeer_IsAlive(const FrPeer *peer, BkMs now);

/* loads.c: load at the upstreams, as exchanged between daemons */

/* Lists this daemon's own load; at most BKP_MAX_LOADS, returns how many. */
u_int FrLoads_ListOwn(const FrFront *front, bkp_load *loads);

/* Replaces all loads of the peer by those of a gossip message. */
void FrLoads_SetAll(FrFront *front, FrPeer *peer, const bkp_load *loads,
                    u_int count);

/* Replaces the peer's load at one upstream. */
void FrLoads_SetOne(FrFront *front, FrPeer *peer, const bkp_load *load);
void FrLoads_Clear(FrPeer *peer);

/* members.c: reads and writes the members table when that is due */
void FrMembers_Step(FrPeers *peers, BkMs now);
#endif
