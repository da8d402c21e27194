/*
 * ledger - write-ahead record of the accelerator memory of an upstream
 *
 * Pure: does no I/O. One row per engine in the table "ledger" lists every
 * instance that may occupy accelerator memory there. The planner reserves
 * memory in the ledger before it sends a load order, and frees it only when
 * it is proven that the instance is gone and no order can bring it back.
 * Rules:
 *
 *  - The bytes of all entries together never exceed the upstream's memory.
 *  - An instance name is used for one load only and never again, so a late or
 *    duplicated order cannot affect another load.
 *  - A row is written only in a transaction that also checks the planner's
 *    term row, so a planner that has lost its term can reserve nothing.
 *  - The fencing number of an order rises with every order of a planner and
 *    with the term (bk/lease/lease.h), so it also identifies the order.
 *  - An instance may be unloaded only when every load order ever sent for it
 *    is settled, that is, can no longer take effect: it was answered; or the
 *    engine refuses lower fences and has seen a higher one; or its sender
 *    reports that it has nothing in flight; or the sender's connection is
 *    closed for good and what was still in the network has had time to
 *    arrive (see BkLedger_Settle). Until then the instance is pinned: it may
 *    serve requests, but it is not unloaded and its memory stays reserved.
 *  - After an unload order the entry remains until a state of the engine,
 *    requested after the unload was answered, no longer shows the instance.
 */
#ifndef BK_LEDGER_LEDGER_H
#define BK_LEDGER_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/str.h"
#include "bk/bundle/bundle.h"
#include "bk/view/view.h"

typedef enum BkLedgerEntryState {
    /* reserved; the engine may or may not have received a load order */
    BK_LEDGER_LOAD_ORDERED,
    BK_LEDGER_LOADED,        /* the engine reported it ready */
    BK_LEDGER_UNLOAD_ORDERED /* an unload order may have been sent */
} BkLedgerEntryState;

enum {
    BK_LEDGER_MAX_LOAD_ORDERS = 8 /* unsettled load orders of one instance */
};

/* An unsettled load order: it may still reach the engine. */
typedef struct BkLoadOrder {
    char *sender;   /* daemon name of the steward */
    uint64_t epoch; /* of the sender's start */
    uint64_t fence; /* identifies this order */
    /* when the engine first answered a state that was requested after the
       sender's connection was closed for good; BK_MS_NEVER: not yet; not
       stored in the row */
    BkMs answered_after_close_at;
} BkLoadOrder;

typedef struct BkLedgerEntry {
    char *inst; /* instance name */
    char *item;
    char *version;
    uint64_t bytes;
    BkLedgerEntryState state;
    bool unsettled; /* it has unsettled load orders */
    BkLoadOrder load_orders
        [BK_LEDGER_MAX_LOAD_ORDERS]; /* unsettled orders, oldest first */
    int load_order_count;
    BkMs ordered_at; /* of this process's last order; not stored in the row */
    /* when this process first saw it loaded; not stored in the row */
    BkMs loaded_at;
} BkLedgerEntry;

typedef struct BkLedger {
    char *upstream;
    uint64_t memory; /* of the upstream, bytes */
    /* number of the next instance name; never decreases */
    uint64_t next_inst_number;
    BkLedgerEntry *entries;
    int count;
    uint64_t row_version; /* of the table row; 0: not written yet */
} BkLedger;

BkLedger *BkLedger_Create(const BkUpstream *upstream);
void BkLedger_Destroy(BkLedger *ledger);

/* Appends the JSON text of the row. */
void BkLedger_Encode(const BkLedger *ledger, BkBuf *out);

/* Replaces the contents by those of a row with this version.
 * ERRORS: BK_EDECODE; the ledger is then unchanged. */
BkStatus BkLedger_Decode(BkLedger *ledger, BkStr json, uint64_t version);

/* Returns the bytes of all entries. */
uint64_t BkLedger_ReservedBytes(const BkLedger *ledger);

/* Returns the bytes that are not reserved. */
uint64_t BkLedger_UnreservedBytes(const BkLedger *ledger);

/* Returns the index of the entry of this instance, or -1. */
int BkLedger_Find(const BkLedger *ledger, BkStr inst);

/*
 * Reserves memory for a new instance of item, records the first load order,
 * which is about to be sent, and returns the index of the entry.
 * ERRORS: -1 with the error set to BK_EMEMORY when it does not fit.
 */
int BkLedger_Reserve(BkLedger *ledger, const BkItem *item, const char *sender,
                     uint64_t epoch, uint64_t fence);

/* Records another load order of the same instance, which is about to be sent.
 * ERRORS: BK_ETRYAGAIN if too many are unsettled, BK_EINVAL if the instance
 * is being unloaded. */
BkStatus BkLedger_RecordResend(BkLedger *ledger, int index, const char *sender,
                               uint64_t epoch, uint64_t fence);

/* The last load order of the entry was answered or was never sent, which
 * settles it. */
void BkLedger_RecordLoadAnswer(BkLedger *ledger, int index);

/* Records an unload order, which is about to be sent. fence: not recorded.
 * ERRORS: BK_ETRYAGAIN while a load order of the instance is unsettled. */
BkStatus BkLedger_RecordUnload(BkLedger *ledger, int index, uint64_t fence);

/*
 * Updates the ledger from a state that the engine reported. Call it only with
 * a state for which this held when it was requested: each order sent until
 * then was answered, settled, or listed as unsettled. Marks instances that are
 * ready as loaded; removes entries without unsettled orders whose instance is
 * not shown; adds an entry for each unknown instance, so that its memory
 * counts. Returns whether anything changed.
 */
bool BkLedger_ApplyState(BkLedger *ledger, const BkUpView *up_view);

typedef enum BkInFlightState {
    BK_IN_FLIGHT_MAYBE, /* the order may reach the engine at any time */
    /* the connection that it was sent on is closed for good, but data already
       in the network may still reach the engine */
    BK_IN_FLIGHT_CLOSED,
    BK_IN_FLIGHT_NO /* the order is not in flight */
} BkInFlightState;

/* How to find out whether a load order may still reach the engine. */
typedef struct BkInFlightSource {
    /* *closed_known_at: set to the time at which this process learnt, by its
     * own clock, that the connection is closed */
    BkInFlightState (*get_state)(const BkLoadOrder *order,
                                 BkMs *closed_known_at, void *arg);
    void *arg;
    /* longest time that data of a closed connection takes to reach the
       engine */
    BkMs max_delivery_time;
} BkInFlightSource;

/*
 * Settles load orders that can no longer take effect. Call it after the
 * ledger was updated from a state that was requested at requested_at and
 * answered at now. An order of a closed connection is settled when the
 * longest delivery time has passed since the first answer to a state request
 * made after the connection was known to be closed: an engine that was frozen
 * has then processed what it had received. engine_fence, the highest fence
 * that the engine has seen, counts only if checks_fencing, that is, if the
 * engine refuses orders with lower fences. Returns the number of orders
 * settled.
 */
int BkLedger_Settle(BkLedger *ledger, bool checks_fencing,
                    uint64_t engine_fence, const BkInFlightSource *source,
                    BkMs requested_at, BkMs now);

#endif
