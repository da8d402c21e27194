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
 *  - The fencing number of an order rises with every order of a planner and
 *    with the term (bk/lease/lease.h), so it also names the send.
 *  - An unload needs every load order ever sent for the instance to be
 *    settled: it was answered, or the engine refuses older fences and has
 *    seen a newer one, or its sender says that nothing is in flight, or the
 *    sender's connection is closed for good and what it left in the network
 *    has had time to land (BkLedger_Settle). Until then the instance is
 *    pinned: it may serve, it is not unloaded and its memory stays reserved.
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

enum {
    BK_LEDGER_MAX_SENDS = 8 /* unsettled load orders of one instance */
};

/* A load order that may still land. */
typedef struct BkSend {
    char *sender; /* daemon name of the steward */
    uint64_t epoch;
    uint64_t fence; /* names this send */
    BkMs closed_at; /* the engine answered after the sender's connection was
                       closed for good; not kept in the row */
} BkSend;

typedef struct BkEntry {
    char *inst; /* instance name */
    char *item;
    char *version;
    uint64_t bytes;
    BkEntryState state;
    bool unsettled; /* send_count is above 0 */
    BkSend sends[BK_LEDGER_MAX_SENDS];
    int send_count;
    BkMs ordered_at; /* of the last order by this process; not in the row */
    BkMs loaded_at;  /* since when this process knows it loaded; the same */
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

/*
 * Reserves a new instance of item, with its first load order about to be
 * sent, and returns its entry index.
 * ERRORS: -1 with BK_EMEMORY as the message when it does not fit.
 */
int BkLedger_Reserve(BkLedger *ledger, const BkItem *item, const char *sender,
                     uint64_t epoch, uint64_t fence);

/* Notes one more load order of the same instance, about to be sent.
 * ERRORS: BK_ETRYAGAIN if too many are unsettled, BK_EINVAL if it is being
 * unloaded. */
BkStatus BkLedger_Resend(BkLedger *ledger, int entry, const char *sender,
                         uint64_t epoch, uint64_t fence);

/* The load order sent last was answered: it is no longer in flight. */
void BkLedger_LoadAnswered(BkLedger *ledger, int entry);

/* ERRORS: BK_ETRYAGAIN while an earlier load order is unsettled. */
BkStatus BkLedger_OrderUnload(BkLedger *ledger, int entry, uint64_t fence);

/*
 * Takes what the engine shows, asked after every order so far was answered
 * or settled, or is still listed as unsettled. Marks ready ones loaded;
 * drops settled ones that are not shown; adopts instances that it does not
 * know, so that their memory counts. Returns whether anything changed.
 */
bool BkLedger_TakeState(BkLedger *ledger, const BkUpView *seen);

typedef enum BkProofKind {
    BK_PROOF_NONE,   /* the order may land at any time */
    BK_PROOF_CLOSED, /* its connection is closed for good; what the network
                        holds may still land */
    BK_PROOF_QUIET   /* it is not in flight */
} BkProofKind;

/* What is known of the send of an order. */
typedef struct BkSenderProof {
    /* *since: when CLOSED became known, on this process's clock */
    BkProofKind (*judge)(const BkSend *send, BkMs *since, void *arg);
    void *arg;
    BkMs flight_after; /* within which a closed connection's bytes land */
} BkSenderProof;

/*
 * Settles load orders by proof. To be called when the engine answered a
 * state at now that was asked at asked, after BkLedger_TakeState. An order
 * of a closed connection is settled flight_after after the first such
 * answer: an engine that was frozen has then worked off what it held.
 * engine_fence counts only if the engine checks fencing. Returns the number
 * settled.
 */
int BkLedger_Settle(BkLedger *ledger, bool fencing, uint64_t engine_fence,
                    const BkSenderProof *proof, BkMs asked, BkMs now);

#endif
