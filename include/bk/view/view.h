/*
 * view - a daemon's view of the upstreams' states
 *
 * Pure state, without I/O. Every daemon polls a few upstreams per second (a
 * fixed budget) and gossips its observations; of two observations the fresher
 * one wins. The whole view is a hint: it may be out of date, and is rebuilt
 * from the engines within seconds. Daemons send the ages of observations
 * instead of their times, so the clocks of two VMs are never compared.
 */
#ifndef BK_VIEW_VIEW_H
#define BK_VIEW_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/bundle/bundle.h"

typedef enum BkInstState {
    BK_INST_LOADING,
    BK_INST_READY,
    BK_INST_UNLOADING
} BkInstState;

typedef struct BkInst {
    char *name;     /* never reused, see ledger.h */
    char *item;     /* name of the bundle's item that it runs */
    char *version;  /* of the item */
    uint64_t bytes; /* of accelerator memory */
    BkInstState state;
} BkInst;

typedef struct BkUpView {
    BkMs seen_at;    /* time of the observation; BK_MS_NEVER: not yet */
    BkMs failed_at;  /* last failed contact; BK_MS_NEVER: none since seen */
    uint32_t boot;   /* boot id: changes when the upstream restarts */
    uint32_t digest; /* of the instance list, names and states */
    bool leaving;    /* once set, stays set for this boot */
    bool excluded;   /* excluded by the VM list or drained by an operator */
    int running;     /* requests, as reported */
    int waiting;
    uint64_t used;  /* bytes of accelerator memory, as reported */
    uint64_t fence; /* highest fencing number that it reports, or 0 */
    BkInst *insts;  /* from own polls only; may be older than digest */
    int inst_count;
    /* digest of insts; insts are outdated if this differs from the field
       digest, as it does after BkView_MarkListOutdated */
    uint32_t insts_digest;
    int own_running_delta; /* own requests sent minus finished, since seen */
    int own_running;       /* own requests in progress */
    BkMs polled_at;        /* start of the last own poll, or BK_MS_NEVER */
} BkUpView;

typedef struct BkView {
    const BkBundle *bundle; /* not owned */
    BkUpView *ups;          /* one per upstream of the bundle, same index */
    int count;
    /* incremented when an instance list or a state that BkView_IsUsable reads
       changes */
    uint64_t generation;
} BkView;

/* An observation as sent between daemons. */
typedef struct BkObs {
    uint32_t key; /* BkBundle_NameHash of the upstream's name */
    uint32_t boot;
    uint32_t digest;
    BkMs age;
    int running;
    int waiting;
    bool leaving;
} BkObs;

/* Creates a view of the bundle's upstreams. The states of upstreams that have
 * the same name and address in prev (may be NULL) are moved to it; prev can
 * only be destroyed after that. */
BkView *BkView_Create(const BkBundle *bundle, BkView *prev);
void BkView_Destroy(BkView *view);

/* Applies an engine's own state, the JSON text of GET /admin/state.
 * ERRORS: BK_EDECODE; the view is unchanged. */
BkStatus BkView_ApplyState(BkView *view, int up_index, BkStr json, BkMs now);

/* This daemon starts a poll of the upstream. */
void BkView_NotePoll(BkView *view, int up_index, BkMs now);

/* The instance list turned out to be outdated: schedules an early poll. */
void BkView_MarkListOutdated(BkView *view, int up_index);

/* Sets whether the VM list or an operator's drain excludes the upstream. */
void BkView_SetExcluded(BkView *view, int up_index, bool excluded);

/* The VM list says that the upstream is leaving: marks it so for this boot. */
void BkView_SetLeaving(BkView *view, int up_index);

/* A poll of the upstream or a request to it failed. */
void BkView_NoteFailure(BkView *view, int up_index, BkMs now);

/* Applies a peer's observation if it is fresher than the present one. From an
 * older observation of the same boot, only leaving is applied. */
void BkView_ApplyObs(BkView *view, const BkObs *obs, BkMs now);

/* Fills out with the observations to gossip, at most max: upstreams that are
 * leaving first, then the freshest. Returns their number. */
int BkView_SelectObs(const BkView *view, BkMs now, BkObs *out, int max);

/*
 * Returns the upstream to poll next, or -1 if none is due. An upstream is due
 * if its instance list is outdated, or if no daemon has observed it for
 * min_age. Those with an outdated list are polled first.
 *
 * Two candidates are chosen by draw, a random number, and the one whose last
 * observation or own poll is older is returned. If every daemon polled the
 * upstream with the oldest observation, all would poll the same one at the
 * same time, since gossip gives them the same view.
 */
int BkView_NextPoll(const BkView *view, BkMs now, BkMs min_age, uint32_t draw);

/* Returns a ready instance of the item on the upstream, of the version in the
 * bundle if possible, else of any version; NULL if none. */
const BkInst *BkView_FindReady(const BkView *view, int up_index, int item);

/* Whether the upstream was observed within stale_after, has not failed since,
 * is not leaving and is not excluded. */
bool BkView_IsUsable(const BkView *view, int up_index, BkMs now,
                     BkMs stale_after);

/* Whether the upstream would be usable but for a failed contact since it was
 * observed. One lost poll does not prove that it is down, so it may be tried
 * if no usable upstream is available. */
bool BkView_IsSuspect(const BkView *view, int up_index, BkMs now,
                      BkMs stale_after);

#endif
