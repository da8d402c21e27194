/*
 * peers - gossip and other messages between the bk-front daemons
 *
 * A few times a second, each daemon sends its state to some of the other
 * daemons, its peers: a gossip message (BKP_GOSSIP, peer_gossip.c). It
 * contains the versions of the configuration and of the reports that the
 * daemon has, the daemons that it knows to run (bk/roster/roster.h), the load
 * of upstreams as their coordinators counted it, the upstreams that are
 * leaving, and the planner that the daemon knows. So each daemon learns of all
 * others, though the number of messages that it sends and receives does not
 * grow with their number.
 *
 * A message that must reach all daemons soon, such as a reader's changes or
 * the planner's, is spread along a tree (bk/spread/spread.h).
 */
#ifndef BK_FRONT_PEERS_H
#define BK_FRONT_PEERS_H

#include "bk/peer/gen/peer_xdr.h"
#include "bk/roster/roster.h"
#include "front.h"
#include "patience.h"

/* The load that one peer causes at an upstream. */
typedef struct FrPeerLoad {
    BkUp *up;
    int running;           /* requests in progress */
    int64_t prompt_tokens; /* prompt tokens of those not yet answered */
    BkMs told_at;          /* when the peer last told it */
} FrPeerLoad;

struct FrPeer {
    BkRosterPeer seen;   /* the first member: when it was known to run */
    char *name;          /* "" until it is known */
    char *address;       /* "ip:port" to which its datagrams are sent */
    char *domain;        /* failure domain; "" until it is known */
    uint64_t started_at; /* of its process, ms since 1970; 0: not known */
    BkMs added_at;       /* when this daemon learned of it */
    /* load that it told this daemon, as the coordinator of the upstreams */
    FrPeerLoad *loads;
    int load_count;
    int load_cap;
    /* asks in a row that it, as a coordinator, did not answer */
    int unanswered_asks; /* in a row; asks of the same time count once */
    BkMs unanswered_at;  /* when the last one was counted */
    BkMs skip_until;     /* until then, it is not used as a coordinator */
    /* services whose upstreams it cannot connect to, as it told */
    uint32_t lost_services[BKP_MAX_LOST];
    u_int lost_count;
    BkMs lost_told_at;
    /* for requests that go by way of it (detour.h); NULL: none did yet */
    BkUp *target;
};

struct FrPeers {
    FrFront *front;
    struct BkDatagramSocket *sock;
    FrPeer **list; /* in the order in which they were added */
    int count;
    int cap;
    BkRoster roster;
    BkCounter *far_bytes; /* sent to daemons in other failure domains */
    int next_total;       /* where the search for totals to send begins */
    int next_leaving;     /* the same for upstreams that are leaving */
    int next_removed;     /* and for reports that were removed */
    BkTimer *timer;
    int round;
    /* The members table of the store (members.c): */
    BkMs next_call_at; /* when the table is read or written next */
    bool row_written;  /* this daemon's own row */
    bool call_active;
    FrPatience patience; /* with the calls of the members table */
    BkMs read_interval;  /* between reads, while peers are missing */
    BkBuf next_key; /* where its list continues; empty: at the first row */
    int known_before_list; /* peers when the list was begun */
    bool listed;           /* the table was read */
    /* The planner, if it is another daemon: */
    char planner_name[BKP_MAX_NAME + 1]; /* "": none is known */
    uint64_t term; /* newest known, also of this daemon */
    BkMs planner_heard_at;
    uint64_t resigned_term; /* newest term that its planner resigned from */
    BkMs loads_sent_at;     /* when own loads were last sent again */
};

FrPeers *FrPeers_Create(FrFront *front);
void FrPeers_Destroy(FrPeers *peers);

/* Sends a gossip message to each peer now, however many there are. */
void FrPeers_SendGossip(FrPeers *peers);

/* Sends a message to the planner, if another daemon is known to be it. proc is
 * the kind of message, such as BKP_DEMANDS. */
void FrPeers_SendToPlanner(FrPeers *peers, int proc, const void *message);

/* Sends a message to one peer. */
void FrPeers_Send(FrPeers *peers, const FrPeer *peer, int proc,
                  const void *message);

/* Sends a message to all peers that are alive, by way of some of them. spread
 * is the field of the message that tells the receivers what to do. */
void FrPeers_Spread(FrPeers *peers, int proc, const void *message,
                    bkp_spread *spread);

/* Forwards a message that was received, as its field spread asks for. message
 * is a copy of it, and spread the field of the copy. */
void FrPeers_ForwardSpread(FrPeers *peers, int proc, const void *message,
                           bkp_spread *spread);

/* This daemon becomes the planner of a term; messages of planners of earlier
 * terms are ignored from now on. */
void FrPeers_NoteOwnTerm(FrPeers *peers, uint64_t term);

/* Whether there is a planner: this daemon, or a peer whose gossip as the
 * planner came recently. */
bool FrPeers_HasPlanner(const FrPeers *peers, BkMs now);

bool FrPeers_AnyAlive(const FrPeers *peers, BkMs now);

/* Whether no peer is known, or one was never known to run. */
bool FrPeers_IsIncomplete(const FrPeers *peers);

/* Whether any peer that is alive says that the store answers it. */
bool FrPeers_AnyReachesStore(const FrPeers *peers, BkMs now);

/* How many peers are to become readers of the store (sync.h) before this
 * daemon: those that ran lately and are said to be answered by the store, or
 * that this daemon has just learned of, and that come before this daemon in an
 * order that is the same for all daemons. */
int FrPeers_CountReaderCandidates(const FrPeers *peers, BkMs now);

/* Whether the members table was read since the start, so that all daemons are
 * known that ran then. */
bool FrPeers_AreListed(const FrPeers *peers);

/* Known daemons, this one included. */
int FrPeers_Count(const FrPeers *peers);

/* At a planned stop: removes this daemon's row from the members table and
 * sends a gossip message that it is stopping (in members.c). */
void FrMembers_Leave(FrPeers *peers);

/* Adds a peer, or updates its name, address and failure domain; name and
 * domain are "" if they are not known yet. NULL if it is this daemon itself.
 */
FrPeer *FrPeers_Add(FrPeers *peers, BkStr name, BkStr address, BkStr domain);
FrPeer *FrPeers_Find(const FrPeers *peers, BkStr name);

/* Closes the idle connections for requests that go by way of other daemons. */
void FrPeers_CloseIdle(FrPeers *peers, BkMs now);
void FrPeers_DropTarget(FrPeer *peer);

/* Whether it was known to run recently. */
bool FrPeers_IsAlive(const FrPeers *peers, const FrPeer *peer, BkMs now);

/* A message of the peer itself has come. */
void FrPeers_NoteHeard(FrPeers *peers, FrPeer *peer, bool stopping,
                       bool store_ok, BkMs now);

/* A message says that the planner of the term was acting at this time; starts
 * to use it as the planner unless a later one is known. */
void FrPeers_NotePlanner(FrPeers *peers, const char *name, uint64_t term,
                         BkMs at);

/* peer_gossip.c */

/* Sends gossip to some of the peers. */
void FrGossip_RunRound(FrPeers *peers, BkMs now);

/* Sends the planner's state to all peers, if this daemon is the planner. */
void FrGossip_SendPlannerBeat(FrPeers *peers, BkMs now);

/* Handles a peer's gossip; from is its address. */
void FrGossip_Handle(FrPeers *peers, const bkp_gossip *gossip,
                     const char *from);
void FrGossip_HandleRemovals(FrPeers *peers, const bkp_removals *removals);
void FrGossip_HandlePlannerBeat(FrPeers *peers, const bkp_planner_beat *beat);

/* loads.c: load at the upstreams, as exchanged between daemons */

/* Lists the total load of upstreams that this daemon coordinates, and in a
 * large fleet of others in turn; at most BKP_MAX_TOTALS, returns how many. */
u_int FrLoads_ListTotals(FrPeers *peers, bkp_total *totals, BkMs now);

/* Applies a total of a gossip message. */
void FrLoads_ApplyTotal(FrFront *front, const bkp_total *total, BkMs now);

/* The upstream's coordinator has counted this load of the other daemons. */
void FrLoads_SetOthers(BkUp *up, const bkp_load *others, BkMs now);

/* This daemon acts as the upstream's coordinator. */
void FrLoads_NoteCoordination(BkUp *up, BkMs now);

/* As the coordinator: the peer has told its load at an upstream. */
void FrLoads_SetOne(FrFront *front, FrPeer *peer, const bkp_load *load,
                    BkMs now);
void FrLoads_Clear(FrPeer *peer, BkMs now);

/* Drops what was not told again for some time. */
void FrLoads_Expire(FrPeers *peers, BkMs now);

/* members.c */

void FrMembers_Init(FrPeers *peers);

/* The store came back from an older copy, which may lack this daemon's row:
 * writes it again soon. */
void FrMembers_WriteAgain(FrPeers *peers, BkMs now);

/* Reads and writes the members table when that is due. */
void FrMembers_Step(FrPeers *peers, BkMs now);
#endif
