/*
 * peers - what the daemons tell each other
 *
 * Each daemon tells the others a few times a second which configuration and
 * reports it knows, its own requests at each upstream, and who leaves. From
 * that, all correct the load that they see, learn of changes that their own
 * feed is late with, and know whether the planner lives.
 */
#ifndef BK_FRONT_PEERS_H
#define BK_FRONT_PEERS_H

#include "bk/peer/gen/peer_xdr.h"
#include "front.h"

/* Requests there of one other daemon. */
typedef struct FrPeerLoad {
    BkUp *up;
    int running;
    int64_t prompt;
} FrPeerLoad;

struct FrPeer {
    char *name;
    char *address; /* "ip:port" of its datagrams */
    uint64_t born; /* 0: not heard of yet */
    BkMs heard;    /* BK_MS_NEVER: never */
    bool stopping;
    bool store; /* the store answers it */
    FrPeerLoad *loads;
    int load_count;
    int load_cap;
    int lost_asks;   /* questions in a row that it did not answer */
    BkMs deaf_until; /* it is not asked until then */
};

struct FrPeers {
    FrFront *front;
    struct BkDatagram *datagram;
    FrPeer **list; /* in order of their names */
    int count;
    int cap;
    int next; /* to be told */
    BkTimer *timer;
    int round;
    BkMs row_at;      /* when the table is read or written next */
    bool row_written; /* this daemon's own */
    bool calling;
    BkMs read_pause;            /* while some are not heard */
    char planner[BKP_NAME + 1]; /* name; "" if none is heard */
    uint64_t term;              /* the newest that is known, also its own */
    BkMs planner_heard;
};

FrPeers *FrPeers_Create(FrFront *front);
void FrPeers_Destroy(FrPeers *peers);

/* Tells all of them now. */
void FrPeers_TellAll(FrPeers *peers);

/* To the planner, if one is known. */
void FrPeers_SendPlanner(FrPeers *peers, int proc, const void *message);

/* Sends a message to this one. */
void FrPeers_Send(FrPeers *peers, const FrPeer *peer, int proc,
                  const void *message);

/* The same by address, "ip:port"; nothing is sent to strangers. */
void FrPeers_SendTo(FrPeers *peers, const char *address, int proc,
                    const void *message);

/* Sends a message to all that were heard of lately. */
void FrPeers_SendAll(FrPeers *peers, int proc, const void *message);

/* This daemon plans from now on; words of earlier planners are void. */
void FrPeers_NoteOwnTerm(FrPeers *peers, uint64_t term);

/* Whether there is a planner: this daemon, or one that was heard lately. */
bool FrPeers_HasPlanner(const FrPeers *peers, BkMs now);

bool FrPeers_AnyHeard(const FrPeers *peers, BkMs now);

/* Whether none is known, or one was never heard. */
bool FrPeers_AnyUnheard(const FrPeers *peers);

/* Whether any daemon heard of lately says that the store answers it. */
bool FrPeers_AnySeesStore(const FrPeers *peers, BkMs now);

/* Daemons heard of that the store answers, and that come before this one in
 * an order that all agree on. */
int FrPeers_CountReadersBefore(const FrPeers *peers, BkMs now);

/* Daemons known, this one included. */
int FrPeers_Count(const FrPeers *peers);

/* At a planned stop: takes this daemon's row out of the table. */
void FrPeers_Leave(FrPeers *peers);

/* Adds a seed or member; the name may be "" until it is heard. */
FrPeer *FrPeers_Add(FrPeers *peers, BkStr name, BkStr address);
FrPeer *FrPeers_Find(const FrPeers *peers, BkStr name);
bool FrPeer_IsHeard(const FrPeer *peer, BkMs now);

/* loads.c: own loads, for others; at most BKP_MAX_LOADS, returns how many */
u_int FrLoads_ListOwn(const FrFront *front, bkp_load *loads);

/* All that the peer has at upstreams, in place of what it told before. */
void FrLoads_SetAll(FrFront *front, FrPeer *peer, const bkp_load *loads,
                    u_int count);

/* What the peer has at one of them. */
void FrLoads_SetOne(FrFront *front, FrPeer *peer, const bkp_load *load);
void FrLoads_Clear(FrPeer *peer);

/* members.c: the table of daemons */
void FrMembers_Step(FrPeers *peers, BkMs now);

#endif
