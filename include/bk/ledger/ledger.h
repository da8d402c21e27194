/*
 * ledger - the memory ledger of an upstream, written ahead of each order
 *
 * Pure. One row per engine in the table "ledger" holds every instance that
 * may occupy accelerator memory there. Reserve in the ledger, then order,
 * release only on proof. Rules:
 *
 *  - The sum of bytes of all entries never passes the upstream's memory.
 *  - An instance name is used for one load only, for ever: a late or
 *    doubled order can never hit another load.
 *  - A row is written only in a transaction that also checks the planner's
 *    term row, so that a deposed planner reserves nothing any more.
 *  - The fencing number of an order is the planner's term.
 *  - An unload needs every earlier load order of the instance to be
 *    settled: it was answered, or the engine refuses older fences and has
 *    seen a newer one, or its sender is gone (BkLedger_Settle). Until then
 *    the instance is pinned: it may serve, it is not unloaded.
 *  - After an unload the entry stays until the engine's state, asked after
 *    the unload was answered, no longer shows the instance.
 */
#ifndef BK_LEDGER_LEDGER_H
#define BK_LEDGER_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/str.h"
#include "bk/bundle/bundle.h"
#include "bk/view/view.h"

typedef enum BkEntryState {
    BK_ENTRY_LOAD_ORDERED, /* reserved; the load may or may not have landed */
    BK_ENTRY_LOADED,       /* the engine showed it ready */
    BK_ENTRY_UNLOAD_ORDERED
} BkEntryState;

typedef struct BkEntry {
    char *inst; /* instance name */
    char *item;
    char *version;
    uint64_t bytes;
    BkEntryState state;
    bool unsettled; /* a load order may still land */
    char *sender;   /* session of the steward that sent it last */
    uint64_t sender_epoch;
    uint64_t fence; /* of the last order */
} BkEntry;

typedef struct BkLedger {
    char *upstream;
    uint64_t memory;
    uint64_t next; /* for instance names; only ever rises */
    BkEntry *entries;
    int count;
    uint64_t row_version; /* of the table row; 0: not written yet */
} BkLedger;

BkLedger *BkLedger_Create(const BkUpstream *upstream);
void BkLedger_Destroy(BkLedger *ledger);

/* JSON text of the row. ERRORS of Decode: BK_EDECODE. */
void BkLedger_Encode(const BkLedger *ledger, BkBuf *out);
BkStatus BkLedger_Decode(BkLedger *ledger, BkStr json, uint64_t version);

uint64_t BkLedger_Reserved(const BkLedger *ledger);
uint64_t BkLedger_Free(const BkLedger *ledger);
int BkLedger_Find(const BkLedger *ledger, BkStr inst);

/* Whether some entry holds this item and version, in any of the states
 * ordered or loaded. */
bool BkLedger_Holds(const BkLedger *ledger, const BkItem *item);

/*
 * Reserves a new instance of item and returns its entry index.
 * ERRORS: -1 with BK_EMEMORY as the message when it does not fit.
 */
int BkLedger_Reserve(BkLedger *ledger, const BkItem *item, const char *sender,
                     uint64_t epoch, uint64_t fence);

/* The load was answered by the engine: nothing of it is in flight. */
void BkLedger_LoadAnswered(BkLedger *ledger, int entry);

/* ERRORS: BK_ETRYAGAIN while an earlier load order is unsettled. */
BkStatus BkLedger_OrderUnload(BkLedger *ledger, int entry, uint64_t fence);

/* What the engine shows, asked after every order so far was answered or
 * settled. Marks ready ones loaded; drops unloaded ones; drops load orders
 * that were refused. Returns whether anything changed. */
bool BkLedger_TakeState(BkLedger *ledger, const BkUpView *seen);

/* Who may still have an order in flight. */
typedef struct BkSenderProof {
    bool (*is_gone)(const char *sender, uint64_t epoch, void *arg);
    void *arg;
} BkSenderProof;

/* Settles entries whose sender is proven gone, or whose engine checks
 * fencing and has shown a fence above the order's. Returns the number. */
int BkLedger_Settle(BkLedger *ledger, bool fencing, uint64_t engine_fence,
                    const BkSenderProof *proof);

#endif
