/*
 * view - what a daemon believes about the upstreams
 *
 * Pure state. Every daemon polls a few upstreams a second (a fixed budget)
 * and gossips what it saw; the fresher observation wins. Everything here is
 * a hint that may be late, and is rebuilt from the engines within seconds.
 * Ages travel instead of times, so clocks of two VMs are never compared.
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
    char *name;    /* unique for ever, see ledger.h */
    char *item;    /* item name */
    char *version; /* of the item */
    uint64_t bytes;
    BkInstState state;
} BkInst;

typedef struct BkUpView {
    BkMs seen;       /* when this was observed; BK_MS_NEVER: not yet */
    BkMs failed;     /* last failed contact, BK_MS_NEVER: none since seen */
    uint32_t boot;   /* changes when the upstream restarts */
    uint32_t digest; /* of the instance list, names and states */
    bool leaving;    /* sticky for this boot */
    bool left;       /* gone from the VM list, or as drained by operators */
    int running;     /* requests, as reported */
    int waiting;
    uint64_t used;  /* bytes of accelerator memory, as reported */
    uint64_t fence; /* highest fencing number it reports, or 0 */
    BkInst *insts;  /* own poll only; may be older than digest */
    int inst_count;
    uint32_t insts_digest; /* digest that insts belongs to */
    int sent_since;        /* own requests sent after seen */
    int own_running;       /* own requests in progress now */
    BkMs polled;           /* start of the last own poll, or BK_MS_NEVER */
} BkUpView;

typedef struct BkView {
    const BkBundle *bundle; /* not owned */
    BkUpView *ups;          /* one per upstream of the bundle, same index */
    int count;
    uint64_t generation; /* rises when an instance list or a state that
                            BkView_Usable looks at changes */
} BkView;

/* An observation as it travels between daemons. */
typedef struct BkObs {
    uint32_t key; /* of the upstream's name */
    uint32_t boot;
    uint32_t digest;
    BkMs age;
    int running;
    int waiting;
    bool leaving;
} BkObs;

/* An empty view of bundle's upstreams; keeps what prev (may be NULL) knew
 * of upstreams with the same name and address. prev is left empty. */
BkView *BkView_Create(const BkBundle *bundle, BkView *prev);
void BkView_Destroy(BkView *view);

/* Takes an engine's own state, the JSON text of GET /admin/state.
 * ERRORS: BK_EDECODE; the view is unchanged. */
BkStatus BkView_TakeState(BkView *view, int up, BkStr json, BkMs now);

/* An own poll begins. */
void BkView_Polled(BkView *view, int up, BkMs now);

/* Whether the VM list or an operator's drain takes the upstream out. */
void BkView_SetLeft(BkView *view, int up, bool left);

/* Marks it leaving for this boot, as the VM list says. */
void BkView_SetLeaving(BkView *view, int up);

/* A contact failed. */
void BkView_TakeFailure(BkView *view, int up, BkMs now);

/* Takes a peer's observation if it is fresher than what is known. */
void BkView_TakeObs(BkView *view, const BkObs *obs, BkMs now);

/* Fills out with up to max observations, those most worth telling: leaving
 * first, then the freshest. Returns their number. */
int BkView_Tell(const BkView *view, BkMs now, BkObs *out, int max);

/*
 * The upstream to poll next, of those that nobody has been heard to see for
 * least_age; -1 if there is none. Ones whose instance list is out of date go
 * first. Of two picked by draw, a random number, the staler one is taken:
 * daemons that all took the stalest would poll the same ones in step, since
 * gossip gives them the same view.
 */
int BkView_NextPoll(const BkView *view, BkMs now, BkMs least_age,
                    uint32_t draw);

/* A ready instance of the item in this upstream's list, with the wanted
 * version if there is one, else any; NULL if none. */
const BkInst *BkView_FindReady(const BkView *view, int up, int item);

/* A usable upstream: seen within stale_after, not failed since, not
 * leaving, not left. */
bool BkView_Usable(const BkView *view, int up, BkMs now, BkMs stale_after);

/* Would be usable but for a failed contact since it was seen: one lost poll
 * is no proof, so it is worth a try when nothing better is left. */
bool BkView_Suspect(const BkView *view, int up, BkMs now, BkMs stale_after);

#endif
