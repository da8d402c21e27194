/*
 * steward - parts of bk-steward, for its own files only
 *
 * One of the stewards is the planner (lease.h). The planner owns the
 * ledgers: it reads them when it takes over, decides moves, writes each
 * order ahead into the ledger's row, sends it, and settles by its answer
 * and by the engine's state asked after the answer.
 */
#ifndef BK_STEWARD_STEWARD_H
#define BK_STEWARD_STEWARD_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/daemon/daemon.h"
#include "bk/lease/lease.h"
#include "bk/ledger/ledger.h"
#include "bk/place/place.h"

typedef struct BkStewardConf {
    BkDaemonConf daemon; /* must stand first */
    BkPlaceConf place;
    int64_t loads_per_second;
    int64_t loads_at_once;
    BkMs lease_span;
    BkMs lease_renew;
    BkMs decide;        /* between decisions */
    BkMs ask;           /* between asks of an engine at rest */
    BkMs order_timeout; /* of one order to an engine */
    BkMs resend_after;  /* an order that shows no effect is repeated */
    BkMs flight_after;  /* bytes of a closed connection have landed */
    BkMs spread_after;  /* all daemons know of a new copy */
    BkMs vm_lag;        /* of the list of VMs */
} BkStewardConf;

const BkSettingSpec *BkSteward_Specs(int *count);

/* Fills what is derived. ERRORS: BK_ECONFIG. */
BkStatus BkSteward_CheckConf(BkStewardConf *conf);

typedef struct BkSteward BkSteward;

typedef enum BkEngineStep {
    BK_ENGINE_IDLE,
    BK_ENGINE_WRITE, /* the ledger's row */
    BK_ENGINE_READ,  /* the row, after a write whose outcome is not known */
    BK_ENGINE_ORDER, /* a load, an unload or a fence */
    BK_ENGINE_ASK    /* its state */
} BkEngineStep;

/* What the planner knows of one engine. Steps follow each other, so that a
 * state is asked only when nothing else is under way. */
typedef struct BkEngine {
    BkSteward *steward;
    char *name;
    int up; /* in the bundle acted upon; -1: not in it */
    BkLedger *ledger;
    BkEngineStep step;
    uint64_t round; /* steward's round in which the step began */
    bool dirty;     /* the ledger differs from its row */
    bool reread;    /* the row may differ from the ledger */
    bool broken;    /* the row cannot be understood: no orders */
    bool ask_now;
    bool asked; /* its state was taken in this round */
    char *load; /* instance to load, once the row is written */
    uint64_t load_fence;
    char *ordered; /* instance of the order in progress; NULL: a fence */
    bool is_load;  /* that order is a load */
    uint64_t order_fence;
    BkMs asked_at; /* of the ask in progress */
    BkMs next_ask;
    uint64_t asked_version; /* bundle acted upon then */
    BkMs wait_until;        /* after a failure */
    BkMs next_fence;        /* repeat of a fence without effect */
    uint32_t digest;        /* of the state taken last */
    uint32_t boot;
    uint64_t fence; /* highest the engine is known to have seen */
} BkEngine;

/* A load order of this process that was not answered. */
typedef struct BkOwnSend {
    uint64_t fence;
    char *engine;
    bool closed; /* its connection is closed without an answer */
    BkMs closed_at;
    BkMs alive_at; /* engine seen alive since; BK_MS_NEVER: not yet */
} BkOwnSend;

/* What the session row of another steward says. */
typedef struct BkSender {
    char *name;
    uint64_t epoch;
    uint64_t quiet_term;
    BkMs epoch_at; /* when this epoch was first read; BK_MS_NEVER: not read */
    bool reading;
} BkSender;

typedef struct BkDemandSource BkDemandSource;
typedef struct BkDemandTally BkDemandTally;

struct BkSteward {
    BkStewardConf *conf;
    BkDaemon *daemon;
    BkTimer *timer;
    BkLease lease;
    BkMs heard_at;         /* planner_at told to the lease last */
    const char *claim_why; /* for the audit trail */
    uint64_t beat;         /* renewals of this term */
    uint64_t was_term;     /* highest term held */
    uint64_t quiet_term;   /* highest written to the session row */
    bool quieting;
    bool planning;
    bool taking_over;
    uint64_t round;  /* rises when planning begins or ends */
    uint64_t orders; /* of this term, for fencing numbers */
    BkEngine **engines;
    int engine_count;
    int next_engine; /* looked at last */
    BkOwnSend *sends;
    int send_count;
    BkSender *senders;
    int sender_count;
    BkMs next_senders;
    BkMs next_takeover;
    BkMs next_quiet;
    BkDemand *demand; /* per item of the bundle acted upon */
    int demand_count;
    BkDemandTally *tally; /* per item too */
    BkMs forwards_at;     /* start of the second counted */
    int forwards;         /* demands passed on in it */
    BkDemandSource *sources;
    int source_count;
    BkMs next_decide;
    BkMs decided_at;
    double load_tokens;
    int64_t moves;
    bool progress_busy;
    char *progress;           /* as written last */
    char *progress_next;      /* being written */
    uint64_t told_version;    /* "rolled" stands in the audit trail */
    uint64_t telling_version; /* the same, once the write is done */
    BkMs stop_by;             /* of a planned stop */
    bool releasing;
    bool released;
};

/* steward.c */
BkSteward *BkSteward_Create(BkStewardConf *conf);
void BkSteward_Destroy(BkSteward *steward);

/* Whether orders may be given now. */
bool BkSteward_MayOrder(const BkSteward *steward);

/* The term is lost: orders in flight are awaited, none is given. */
void BkSteward_StandDown(BkSteward *steward);

/* The next fencing number of this term. */
uint64_t BkSteward_NextFence(BkSteward *steward);

/* A transaction that holds only while this steward's term does. */
BkTxn *BkSteward_Txn(const BkSteward *steward);

/* Whether a conflict is about the term; stands down if so. */
bool BkSteward_Deposed(BkSteward *steward, const BkPlatReply *reply);

/* election.c */
void BkElection_Step(BkSteward *steward, BkMs now);
void BkElection_Release(BkSteward *steward);

/* takeover.c */
void BkTakeover_Start(BkSteward *steward);
void BkTakeover_AddEngines(BkSteward *steward);

/* engine.c */
BkEngine *BkEngine_Get(BkSteward *steward, BkStr name);
void BkEngine_Destroy(BkEngine *engine);
void BkEngine_Reset(BkEngine *engine); /* forgets its ledger */
void BkEngine_Step(BkEngine *engine, BkMs now);
void BkEngine_EnterRow(BkEngine *engine, const BkRow *row);
bool BkEngine_Free(const BkEngine *engine); /* may take a move */
const BkUpstream *BkEngine_Upstream(const BkEngine *engine);

/* order.c */
bool BkOrder_Start(BkEngine *engine, BkMs now);
void BkOrder_Resend(BkEngine *engine, BkMs now); /* after a state */

/* sends.c */
void BkSends_Add(BkSteward *steward, uint64_t fence, const char *engine);
void BkSends_Answered(BkSteward *steward, uint64_t fence);
void BkSends_Closed(BkSteward *steward, uint64_t fence, BkMs now);
void BkSends_Prune(BkSteward *steward, const BkEngine *engine);
void BkSends_Step(BkSteward *steward, BkMs now);
void BkSends_Destroy(BkSteward *steward);
BkProofKind BkSends_Judge(const BkLoadOrder *send, BkMs *since, void *steward);

/* demand.c */
void BkSteward_TakeDemand(BkSteward *steward, const bkg_demand *demand);
void BkSteward_NewDemand(BkSteward *steward, const BkBundle *bundle);
void BkSteward_FeedDemand(BkSteward *steward, BkMs dt, BkMs now);
void BkSteward_FreeDemand(BkSteward *steward);

/* plan.c */
void BkPlan_Step(BkSteward *steward, BkMs now);

/* progress.c */
void BkProgress_Step(BkSteward *steward);
void BkProgress_TakeRow(BkSteward *steward, BkStr data);
void BkProgress_Status(json_t *status, BkSteward *steward);

/* audit.c: one entry in the audit trail, part of a transaction */
typedef struct BkAuditEntry {
    const char *action;
    const char *subject;
    const char *why;
    uint64_t version;
} BkAuditEntry;

void BkAudit_Add(BkTxn *txn, const char *by, const BkAuditEntry *entry,
                 const BkPlatReply *next);

#endif
