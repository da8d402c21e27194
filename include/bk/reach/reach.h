/*
 * reach - whether this VM's links to upstreams work, and by way of which other
 * VM its requests go while they do not
 *
 * Pure. A VM can lose its links to all upstreams, or to those of a service,
 * while callers, the store and the other VMs still reach it. Open connections
 * may hang, be reset, or live on, so that only attempts to open new ones tell.
 * After a failed attempt the VM tries a few upstreams at random (probes), since
 * requests go to the ones that ended as well. The links to a service count as
 * lost when these have failed too; a single attempt that succeeds ends that.
 *
 * Units: times in ms on the monotonic clock. Upstreams, services and VMs are
 * named by the hashes of their names (BkStr_NameHash).
 */
#ifndef BK_REACH_REACH_H
#define BK_REACH_REACH_H

#include "bk/base/rng.h"
#include "bk/fleet/fleet.h"

enum {
    BK_REACH_PROBES = 3, /* that fail before the links count as lost */
    BK_REACH_MAX_TRIED = 16,
    /* refusals after which a VM takes a request whatever its load is */
    BK_REACH_MAX_REFUSALS = 2
};

/* The links to the upstreams of one service. */
typedef struct BkReach {
    uint32_t service;
    /* upstreams that were probed, or failed, since the last success */
    uint32_t tried[BK_REACH_MAX_TRIED];
    int tried_count;
    int failed_count;  /* attempts since then, also repeated ones */
    int failed_probes; /* of these, probes */
    BkMs connected_at; /* last success; BK_MS_NEVER: none yet */
    /* when the latest of the attempts that succeeded had begun */
    BkMs worked_at;
    bool lost;
    BkMs lost_at;
} BkReach;

BkReach BkReach_Make(uint32_t service);

/* An upstream accepted a connection that was begun at started_at. Returns
 * whether the links were lost. */
bool BkReach_NoteConnected(BkReach *reach, BkMs started_at, BkMs now);

/* An attempt that began at started_at failed. It says nothing if another one
 * has succeeded since. */
void BkReach_NoteFailed(BkReach *reach, uint32_t upstream, bool probe,
                        BkMs started_at);

/* Decides whether the links are lost, by the upstreams of the fleet that are
 * open. Returns true if they have just become so. */
bool BkReach_Decide(BkReach *reach, const BkFleet *fleet, BkMs now);

/* Chooses the upstream that is probed next: one that was not tried yet, else
 * any. NULL if none is open. */
BkUp *BkReach_ChooseProbe(BkReach *reach, const BkFleet *fleet, BkRng *rng);

/* Chooses up to max other open upstreams of the same service at random; returns
 * how many. */
int BkReach_ChooseOthers(const BkFleet *fleet, const BkUp *up, BkRng *rng,
                         BkUp **out, int max);

/* Another VM, by way of which a request may go. */
typedef struct BkReachVm {
    bool near;     /* in the own failure domain */
    int in_flight; /* requests that this VM has sent by way of it */
} BkReachVm;

/* Chooses the VM for a request that has been refused by tries other ones: one
 * in the own failure domain at first, since bytes between domains cost more,
 * and the less loaded of two random ones, since load is known only in part.
 * Returns its index; -1 if there is none. */
int BkReach_ChooseVm(const BkReachVm *vms, int count, int tries, BkRng *rng);

/* Whether a VM takes one more request of another VM that has been refused by
 * tries other ones: as many as it has of its own callers, and any once two
 * others had no room either. */
bool BkReach_MayTake(int relayed, int own, int tries);

#endif
