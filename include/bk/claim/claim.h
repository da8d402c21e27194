/*
 * claim - at most once for calls that may not be repeated
 *
 * Pure. A row per (caller, key) in the table "claims". The row is written
 * before the first byte goes to an upstream, by a nonce of the claiming
 * request; whoever finds somebody else's row does not send.
 *
 *   absent --claim--> claimed --record--> done
 *                     claimed --release--> free --claim--> claimed
 *
 * release is allowed only when nothing was put on any wire. A claimed row
 * whose entry died stays claimed: its outcome is unknown until its
 * retention ends, counted from the row's last write by the platform's
 * clock. Claims and outcomes of many requests share transactions.
 */
#ifndef BK_CLAIM_CLAIM_H
#define BK_CLAIM_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/str.h"
#include "bk/platform/platform.h"

#define BK_CLAIM_NONCE_BYTES 16
#define BK_CLAIM_DIGEST_HEX 65 /* 64 digits and a zero byte */
#define BK_CLAIM_MAX_KEY 128
#define BK_CLAIM_MAX_OUTCOME (32 * 1024)

typedef enum BkClaimState {
    BK_CLAIM_ABSENT,
    BK_CLAIM_CLAIMED,
    BK_CLAIM_FREE,
    BK_CLAIM_DONE
} BkClaimState;

typedef struct BkClaimRow {
    BkClaimState state;
    char nonce[BK_CLAIM_NONCE_BYTES * 2 + 1];
    char request[BK_CLAIM_DIGEST_HEX]; /* digest of method, path and body */
    uint64_t version;                  /* of the table row */
    BkMs age;                          /* since its last write */
    int code;                          /* HTTP status of a recorded answer */
    char *type;                        /* its content type, owned */
    BkBuf body;
    bool too_large; /* done, but the answer was not kept */
} BkClaimRow;

/* What a request may do, given the row that stands under its key. */
typedef enum BkClaimVerdict {
    BK_CLAIM_MAY_CLAIM, /* absent, free or past its retention: write it */
    BK_CLAIM_MINE,      /* this nonce: the claim holds, send */
    BK_CLAIM_REPLAY,    /* done: answer with the recorded outcome */
    BK_CLAIM_BUSY,      /* somebody else's: BK_EINPROGRESS, do not send */
    BK_CLAIM_REUSED     /* other request under the same key: BK_EKEYREUSED */
} BkClaimVerdict;

BkClaimVerdict BkClaim_Judge(const BkClaimRow *row, const char *nonce,
                             const char *request, BkMs retention);

/* A fresh random nonce: 32 hex digits and a zero byte. */
void BkClaim_MakeNonce(char *hex);

/* Row key of a caller's key: 64 hex digits and a zero byte. */
void BkClaim_RowKey(BkStr caller, BkStr key, char *hex);

/* Digest of a request, in the same form. */
void BkClaim_RequestDigest(BkStr method, BkStr path, BkStr body, char *hex);

void BkClaim_Encode(const BkClaimRow *row, BkBuf *out);
/* ERRORS: BK_EDECODE. */
BkStatus BkClaim_Decode(BkClaimRow *row, BkStr json, uint64_t version);
void BkClaim_Clear(BkClaimRow *row);

/*
 * The batcher: while one transaction is in flight the next ones collect.
 * A conflict of one claim does not hurt the others: they go again without
 * it. After an unknown outcome the same transaction goes again: what has
 * landed shows as a conflict with rows of our own nonce. A claim given up
 * while it may still land is never sent; its row is freed in the background.
 */
typedef struct BkClaimBook BkClaimBook;

/* Where the batcher commits; the platform, or a script in tests. */
typedef struct BkClaimStore {
    void (*commit)(void *arg, const BkTxn *txn, BkPlatFn fn, void *fn_arg);
    void *arg;
} BkClaimStore;

/* verdict: of a claim; a claim that was written gives BK_CLAIM_MINE. row is
 * valid during the callback. status: BK_OK, or BK_EPLATFORM when it is
 * certain or must be assumed that the platform cannot be asked: then
 * nothing may be sent. */
typedef void (*BkClaimFn)(BkStatus status, BkClaimVerdict verdict,
                          const BkClaimRow *row, void *arg);

BkClaimBook *BkClaimBook_Create(BkLoop *loop, BkPlat *plat, BkMs patience,
                                BkMs retention);
BkClaimBook *BkClaimBook_CreateOn(BkLoop *loop, BkClaimStore store,
                                  BkMs patience, BkMs retention);

/* Only when Pending is 0, or the loop runs no more. */
void BkClaimBook_Destroy(BkClaimBook *book);

/* Claims; fn is called once, within patience, and never before this
 * returns. Returns a handle for Cancel, valid until fn is called. */
typedef struct BkClaimWish BkClaimWish;
BkClaimWish *BkClaimBook_Claim(BkClaimBook *book, const char *row_key,
                               const char *nonce, const char *request,
                               BkClaimFn fn, void *arg);

/* Gives up; fn is not called, and the row is freed if it was written. */
void BkClaimBook_Cancel(BkClaimWish *wish);

/* Records an outcome; retried in the background until it is written. */
void BkClaimBook_Record(BkClaimBook *book, const char *row_key,
                        const BkClaimRow *done);

/* Gives back the claim that this row shows; only when nothing was put on
 * a wire. */
void BkClaimBook_Release(BkClaimBook *book, const char *row_key,
                         const BkClaimRow *claimed);

/* Outcomes and releases not yet written; a planned stop waits for 0. */
int BkClaimBook_Pending(const BkClaimBook *book);

/*
 * Deletes rows past their retention, a page at a time, each at its checked
 * version. Every entry sweeps; a row is deleted by whoever comes first.
 */
typedef struct BkClaimSweep BkClaimSweep;

BkClaimSweep *BkClaimSweep_Create(BkLoop *loop, BkPlat *plat, BkMs retention);

/* Only when the loop runs no more, as for the book. */
void BkClaimSweep_Destroy(BkClaimSweep *sweep);

#endif
