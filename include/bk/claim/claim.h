/*
 * claim - at-most-once execution of non-repeatable calls
 *
 * The table "claims" has one row per (caller, idempotency key). A request
 * writes the row, with a nonce of its own, before the first byte goes to an
 * upstream; a request that finds the row of another request does not send.
 *
 *   absent --claim--> claimed --record--> done
 *                     claimed --release--> free --claim--> claimed
 *
 * A release is allowed only when no byte of the request was sent to any
 * upstream. A claimed row whose entry daemon died stays claimed: its outcome
 * is unknown until its retention ends, counted from the row's last write by
 * the platform's clock. Claims and outcomes of many requests share
 * transactions.
 *
 * Row encoding and verdicts are pure; the batcher and the sweep use the event
 * loop and the platform's store.
 */
#ifndef BK_CLAIM_CLAIM_H
#define BK_CLAIM_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/str.h"
#include "bk/platform/platform.h"

#define BK_CLAIM_NONCE_BYTES 16
#define BK_CLAIM_HEX_SIZE 65             /* 64 hex digits and a zero byte */
#define BK_CLAIM_MAX_KEY 128             /* bytes of an idempotency key */
#define BK_CLAIM_MAX_OUTCOME (32 * 1024) /* bytes of a recorded body */

typedef enum BkClaimState {
    BK_CLAIM_ABSENT,
    BK_CLAIM_CLAIMED,
    BK_CLAIM_FREE,
    BK_CLAIM_DONE
} BkClaimState;

typedef struct BkClaimRow {
    BkClaimState state;
    char nonce[BK_CLAIM_NONCE_BYTES * 2 + 1];
    char request_digest
        [BK_CLAIM_HEX_SIZE]; /* digest of method, path and body */
    uint64_t version;        /* of the table row */
    BkMs age;                /* since its last write */
    int code;                /* HTTP status of a recorded answer */
    char *type;              /* its content type, owned */
    BkBuf body;              /* of a recorded answer */
    bool too_large;          /* done, but the answer was too large to record */
} BkClaimRow;

/* What a request may do, given the row of its key. */
typedef enum BkClaimVerdict {
    BK_CLAIM_MAY_CLAIM, /* absent, free or past its retention: claim it */
    BK_CLAIM_OWNED,     /* claimed with this request's nonce: send */
    BK_CLAIM_REPLAY,    /* done: answer with the recorded outcome */
    /* claimed by another request: BK_EINPROGRESS, do not send */
    BK_CLAIM_BUSY,
    /* the key was used for a request of different content: BK_EKEYREUSED */
    BK_CLAIM_KEY_REUSED
} BkClaimVerdict;

BkClaimVerdict BkClaim_Evaluate(const BkClaimRow *row, const char *nonce,
                                const char *request_digest, BkMs retention);

/* Writes a random nonce: 32 hex digits and a zero byte. */
void BkClaim_MakeNonce(char *hex);

/* Writes the row key of a caller's idempotency key: 64 hex digits and a zero
 * byte. */
void BkClaim_RowKey(BkStr caller, BkStr key, char *hex);

/* Writes the digest of a request: 64 hex digits and a zero byte. */
void BkClaim_RequestDigest(BkStr method, BkStr path, BkStr body, char *hex);

/* Appends the JSON text of the row. */
void BkClaim_Encode(const BkClaimRow *row, BkBuf *out);

/* Decodes a row of this version; version 0 gives an absent row.
 * ERRORS: BK_EDECODE. */
BkStatus BkClaim_Decode(BkClaimRow *row, BkStr json, uint64_t version);

/* Frees what the row owns and makes it absent. */
void BkClaim_Clear(BkClaimRow *row);

/*
 * The batcher writes claims, outcomes and releases. While one transaction is
 * in flight, further writes are queued for the next. When one claim of a
 * transaction conflicts, the others are retried without it. When the outcome
 * of a transaction is unknown, its writes are retried: those that had been
 * committed then show as conflicts with rows that carry their own nonce. A
 * request whose claim is cancelled or times out is never sent; if the claim
 * may still be written, its row is released in the background.
 */
typedef struct BkClaimBatcher BkClaimBatcher;

/* Where the batcher commits: the platform, or a fake in tests. */
typedef struct BkClaimStore {
    void (*commit)(void *arg, const BkTxn *txn, BkPlatFn fn, void *fn_arg);
    void *arg;
} BkClaimStore;

/* Receives the result of a claim. status: BK_OK, or BK_EPLATFORM when the
 * platform did not answer in time or is taken to be down: then the request
 * must not be sent, and verdict and row have no meaning. verdict:
 * BK_CLAIM_OWNED if the claim was written. row is valid during the callback
 * only. */
typedef void (*BkClaimFn)(BkStatus status, BkClaimVerdict verdict,
                          const BkClaimRow *row, void *arg);

BkClaimBatcher *BkClaimBatcher_Create(BkLoop *loop, BkPlat *plat,
                                      BkMs claim_timeout, BkMs retention);
BkClaimBatcher *BkClaimBatcher_CreateWithStore(BkLoop *loop,
                                               BkClaimStore store,
                                               BkMs claim_timeout,
                                               BkMs retention);

/* Call it only when no write is pending or the loop no longer runs. */
void BkClaimBatcher_Destroy(BkClaimBatcher *batcher);

/* Queues a claim. fn is called once, within claim_timeout, and never before
 * this returns. Returns a handle for cancelling, valid until fn is called. */
typedef struct BkClaimOp BkClaimOp;
BkClaimOp *BkClaimBatcher_Claim(BkClaimBatcher *batcher, const char *row_key,
                                const char *nonce, const char *request_digest,
                                BkClaimFn fn, void *arg);

/* Cancels a claim: fn is not called, and the row is released if it was
 * written or may still be. */
void BkClaimBatcher_Cancel(BkClaimOp *op);

/* Records an outcome in the row of a claim. Retried in the background until
 * it is written, or dropped if the row no longer holds the claim. */
void BkClaimBatcher_Record(BkClaimBatcher *batcher, const char *row_key,
                           const BkClaimRow *done);

/* Releases the claim in this row, so that the key can be claimed again. Only
 * when no byte of the request was sent to an upstream. */
void BkClaimBatcher_Release(BkClaimBatcher *batcher, const char *row_key,
                            const BkClaimRow *claimed);

/* The number of outcomes and releases not yet written, plus the claims in
 * flight. A planned stop waits until it is 0. */
int BkClaimBatcher_Pending(const BkClaimBatcher *batcher);

/*
 * The sweep deletes rows past their retention, a page at a time, and only if
 * their version has not changed. Every entry daemon sweeps the whole table;
 * the first to reach a row deletes it.
 */
typedef struct BkClaimSweep BkClaimSweep;

BkClaimSweep *BkClaimSweep_Create(BkLoop *loop, BkPlat *plat, BkMs retention);

/* Call it only when the loop no longer runs. */
void BkClaimSweep_Destroy(BkClaimSweep *sweep);

#endif
