/*
 * steward - internals of bk-steward, used by its own files only
 *
 * One of the stewards is elected planner (bk/lease/lease.h). Only the planner
 * writes ledgers. It reads all of them when its term begins. It then decides
 * which models to load and unload, records each order in the ledger's row
 * before it sends the order, and settles the order by the answer and by a
 * state of the engine that was requested after the answer.
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
    BkDaemonConf daemon; /* must be the first field */
    BkPlaceConf place;
    int64_t loads_per_second;
    int64_t loads_at_once;
    BkMs lease_duration;
    BkMs renew_period;  /* between renewals of the lease */
    BkMs decide_period; /* between decisions on loads and unloads */
    /* between polls of an engine whose ledger lists no order in progress */
    BkMs idle_poll_period;
    BkMs order_timeout; /* of one order to an engine */
    BkMs resend_after;  /* before an order without effect is sent again */
    /* longest time that data of a closed connection takes to reach the
       engine */
    BkMs max_delivery_time;
    /* within which all daemons have learnt of a newly loaded instance */
    BkMs propagation_time;
    /* longest lag of the list of VMs: a sender whose VM has been missing from
       the list for this long counts as stopped */
    BkMs max_vm_list_lag;
} BkStewardConf;

const BkSettingSpec *BkSteward_Specs(int *count);

/* Sets the fields that are derived from others, and checks the lease times.
 * ERRORS: BK_ECONFIG. */
BkStatus BkSteward_CheckConf(BkStewardConf *conf);

typedef struct BkSteward BkSteward;

/* The operation in progress for an engine. */
typedef enum BkEngineOp {
    BK_ENGINE_IDLE,
    BK_ENGINE_WRITE_ROW, /* of the ledger */
    BK_ENGINE_READ_ROW,  /* after a conflict or a write of unknown outcome */
    /* a load, an unload, or a fence order, which makes the engine refuse
       orders with lower fencing numbers */
    BK_ENGINE_ORDER,
    BK_ENGINE_POLL /* requests the engine's state */
} BkEngineOp;

/* What the planner knows of one engine. At most one operation per engine is
 * in progress, so its state is requested only when no order is. */
typedef struct BkEngine {
    BkSteward *steward;
    char *name;
    int up_index; /* in the active bundle; -1: not an engine there */
    BkLedger *ledger;
    BkEngineOp op;
    uint64_t op_generation; /* the steward's generation when op began */
    bool row_outdated;      /* the ledger has changes that its row lacks */
    /* the row may differ from the ledger in memory: a write conflicted, or its
       outcome is unknown */
    bool must_reread_row;
    bool row_invalid; /* the row cannot be decoded: no orders are sent */
    bool poll_now;
    bool state_known;   /* its state was received in this term */
    char *pending_load; /* instance to load once the row is written; or NULL */
    uint64_t pending_load_fence;
    /* instance of the order in progress; NULL: a fence order */
    char *order_inst;
    bool order_is_load; /* the order in progress is a load */
    uint64_t order_fence;
    BkMs poll_sent_at; /* start of the poll in progress */
    BkMs next_poll_at;
    uint64_t poll_bundle_version; /* bundle that was active at that start */
    BkMs retry_at;                /* after a failure: no operation before */
    BkMs next_fence_order_at;     /* no fence order before this time */
    uint32_t state_digest;        /* of the state received last */
    uint32_t boot;                /* boot id in that state */
    uint64_t seen_fence; /* highest fence the engine is known to have seen */
} BkEngine;

/* A load order of this process that has not been answered. */
typedef struct BkInFlightLoad {
    uint64_t fence;
    char *engine; /* its name */
    bool closed;  /* its connection was closed without an answer */
    BkMs closed_at;
    /* when this process learnt that the engine was alive after the close;
       BK_MS_NEVER: not yet */
    BkMs engine_alive_at;
} BkInFlightLoad;

/* A steward that sent load orders, and what its session row says. */
typedef struct BkSender {
    char *name;
    uint64_t epoch; /* of its last known start */
    /* none of its orders of this term or an earlier one is in flight */
    uint64_t idle_term;
    /* when this epoch was first read; BK_MS_NEVER: the row was never read */
    BkMs epoch_first_read_at;
    bool reading; /* unused */
} BkSender;

typedef struct BkDemandSource BkDemandSource;
typedef struct BkDemandTally BkDemandTally;

struct BkSteward {
    BkStewardConf *conf;
    BkDaemon *daemon;
    BkTimer *timer;
    BkLease lease;
    BkLeaseRows rows;       /* as read so far; without the holder */
    uint64_t released_term; /* by the row "beat" of these; 0: none */
    /* the daemon's planner_seen_at that was last passed to the lease */
    BkMs last_planner_seen_at;
    const char *claim_reason;    /* for the audit trail */
    uint64_t renewal_count;      /* in this term */
    uint64_t last_held_term;     /* highest term that it held; 0: none */
    uint64_t reported_idle_term; /* idle_term in its own session row */
    bool reporting_idle;         /* that row is being read or written */
    bool planning;               /* is the planner, has read all ledgers */
    bool taking_over;            /* is the planner, still reads ledgers */
    /* incremented when a takeover begins and when taking over or planning
       ends; results of operations of an earlier generation are discarded */
    uint64_t generation;
    uint64_t order_count; /* in this term, for fencing numbers */
    BkEngine **engines;
    int engine_count;
    int last_stepped_engine; /* engines are stepped in turn */
    BkInFlightLoad *in_flight;
    int in_flight_count;
    BkSender *senders;
    int sender_count;
    BkMs next_sender_read_at;
    BkMs next_takeover_at;
    BkMs next_idle_report_at;
    BkDemand *demand; /* per item of the active bundle */
    int demand_count;
    BkDemandTally *tallies;    /* per item too */
    BkMs forward_window_start; /* start of the second that is counted */
    int forward_count;         /* demand messages forwarded in that second */
    BkDemandSource *sources;
    int source_count;
    BkMs next_decision_at;
    BkMs last_decision_at;
    double load_tokens; /* token bucket that limits the rate of loads */
    int64_t move_count; /* loads and unloads decided, by all planners */
    bool writing_progress;
    char *written_progress; /* text of the progress row as last written */
    char *new_progress;     /* the text being written */
    /* version for which the audit trail has an entry "rolled" */
    uint64_t rolled_version;
    uint64_t new_rolled_version; /* its value once the write has succeeded */
    BkMs stop_deadline;          /* of a planned stop */
    bool releasing; /* writes to the planner rows that it resigned */
    bool released;  /* that write has ended, successfully or not */
};

/* steward.c */
BkSteward *BkSteward_Create(BkStewardConf *conf);
void BkSteward_Destroy(BkSteward *steward);

/* Whether orders may be sent now: it is the planner with a valid lease, has
 * read all ledgers and is not stopping. */
bool BkSteward_MaySendOrders(const BkSteward *steward);

/* The term is lost or given up: sends no further orders, but still waits for
 * the answers to those in progress. */
void BkSteward_StopPlanning(BkSteward *steward);

/* The next fencing number of this term. */
uint64_t BkSteward_NextFence(BkSteward *steward);

/* Creates a transaction that is carried out only while the term row is
 * unchanged, that is, while no other steward has claimed a term. */
BkTxn *BkSteward_CreateTxn(const BkSteward *steward);

/* Handles a conflict of such a transaction: returns whether the term was
 * lost, and stops planning if so. */
bool BkSteward_HandleTermConflict(BkSteward *steward,
                                  const BkPlatReply *reply);

/* election.c */

/* Carries out the next action of the lease, and starts the takeover when this
 * steward has become the planner. */
void BkElection_Step(BkSteward *steward, BkMs now);

/* Gives up the lease, so that another steward can claim it at once. */
void BkElection_Release(BkSteward *steward);

/* takeover.c */

/* Starts to read all ledgers, unless operations of an earlier term are still
 * in progress. Planning begins when all have been read. */
void BkTakeover_Start(BkSteward *steward);

/* Adds the engines of the active bundle, with an empty ledger if they have
 * none. */
void BkTakeover_AddEngines(BkSteward *steward);

/* engine.c */
BkEngine *BkEngine_FindOrAdd(BkSteward *steward, BkStr name);
void BkEngine_Destroy(BkEngine *engine);

/* Discards its ledger; its state must be received again before it accepts a
 * move. */
void BkEngine_Reset(BkEngine *engine);

/* Starts the next operation if none is in progress and one is due. */
void BkEngine_Step(BkEngine *engine, BkMs now);

/* Replaces the ledger by the contents of its row. */
void BkEngine_ApplyRow(BkEngine *engine, const BkPlatRow *row);

/* Whether a load or unload may be decided for it now. */
bool BkEngine_AcceptsMove(const BkEngine *engine);
const BkUpstream *BkEngine_Upstream(const BkEngine *engine);

/* order.c */

/* Sends an order that is due; returns false if there is none. */
bool BkOrder_SendDue(BkEngine *engine, BkMs now);

/* Prepares a load order to be sent again if the state just received does not
 * show its instance. */
void BkOrder_PrepareResend(BkEngine *engine, BkMs now);

/* in_flight.c */

/* A load order is about to be sent. */
void BkInFlight_Add(BkSteward *steward, uint64_t fence,
                    const char *engine_name);

/* The order is not in flight: it was answered, or was never sent. */
void BkInFlight_NoteAnswered(BkSteward *steward, uint64_t fence);

/* The order's connection was closed without an answer. */
void BkInFlight_NoteClosed(BkSteward *steward, uint64_t fence, BkMs now);

/* Removes the closed orders to this engine that its ledger no longer lists as
 * unsettled. */
void BkInFlight_RemoveSettled(BkSteward *steward, const BkEngine *engine);

/* As the planner, reads the session rows of the senders of unsettled orders;
 * otherwise reports when no order of this steward is in flight any more. */
void BkInFlight_Step(BkSteward *steward, BkMs now);
void BkInFlight_Destroy(BkSteward *steward);

/* Whether a load order may still reach its engine. A callback for
 * BkLedger_Settle, with the steward as its arg. */
BkInFlightState BkInFlight_GetState(const BkLoadOrder *order,
                                    BkMs *closed_known_at, void *steward);

/* demand.c */

/* A daemon's demand counters arrived. */
void BkSteward_ReceiveDemand(BkSteward *steward, const bkg_demand *demand);

/* Rebuilds the arrays per item for a new bundle; items of the same name keep
 * their demand. */
void BkSteward_RemapDemand(BkSteward *steward, const BkBundle *bundle);

/* Adds the requests counted in the last elapsed ms to the smoothed demand. */
void BkSteward_UpdateDemand(BkSteward *steward, BkMs elapsed, BkMs now);
void BkSteward_FreeDemand(BkSteward *steward);

/* placement.c */

/* Decides loads and unloads when the next decision is due. */
void BkPlacement_Step(BkSteward *steward, BkMs now);

/* progress.c */

/* Writes the progress row if its contents have changed. */
void BkProgress_Step(BkSteward *steward);

/* Continues from the progress row that the previous planner wrote. */
void BkProgress_ApplyRow(BkSteward *steward, BkStr data);
void BkProgress_AddStatus(json_t *status, BkSteward *steward);

/* audit.c */

/* An entry of the audit trail. version: of the configuration. */
typedef struct BkAuditEntry {
    const char *action;
    const char *subject;
    const char *why;
    uint64_t version;
} BkAuditEntry;

/* Adds the entry to the transaction. number_reply: the reply to a read of the
 * row audit-next/next, which holds the number of the next entry. */
void BkAudit_Add(BkTxn *txn, const char *by, const BkAuditEntry *entry,
                 const BkPlatReply *number_reply);

#endif
