#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/base/rng.h"
#include "bk/claim/claim.h"

enum {
    /* each takes a check and a put of the BK_TXN_MAX_OPS operations of a
       transaction */
    MAX_BATCH_ROWS = 60,
    MAX_BATCH_BYTES = 256 * 1024, /* no row is added once this is reached */
    MAX_OPS = 8192,               /* beyond this, new claims are refused */
    MIN_BACKOFF_MS = 50,
    MAX_BACKOFF_MS = 1000,
    DOWN_BACKOFF_MS = 400 /* from this backoff on, the store counts as down */
};

#define CLAIM_TABLE BK_STR("claims")

typedef enum OpKind {
    OP_CLAIM,
    OP_RECORD,
    OP_RELEASE
} OpKind;

/* A write of one row that is queued or in flight. */
struct BkClaimOp {
    OpKind kind;
    BkClaimBatcher *batcher;
    char row_key[BK_CLAIM_HEX_SIZE];
    BkClaimRow row;            /* the new content */
    uint64_t expected_version; /* version that the row should have now */
    /* the store may have committed an earlier try, or may still commit it */
    bool may_be_written;
    bool cancelled; /* a claim that was cancelled or timed out */
    bool in_flight;
    BkTimer *timeout_timer;
    BkClaimFn fn;
    void *arg;
    BkClaimOp *next;
};

struct BkClaimBatcher {
    BkLoop *loop;
    BkClaimStore store;
    BkMs claim_timeout;
    BkMs retention;
    BkClaimOp *head; /* queue, oldest first */
    BkClaimOp *tail;
    BkClaimOp *batch[MAX_BATCH_ROWS]; /* in flight */
    int batch_count;
    bool in_flight;
    int op_count;           /* queued and in flight */
    int background_count;   /* records and releases among these */
    BkMs backoff;           /* 0: the last transaction was answered */
    BkTimer *backoff_timer; /* runs while the next transaction must wait */
    BkRng rng;
    BkCounter *txns;
    BkCounter *conflicts;
    BkCounter *failures;
    BkCounter *unknown;
};

static void start_next_batch(BkClaimBatcher *batcher);

static void
commit_to_platform(void *arg, const BkTxn *txn, BkPlatFn fn, void *fn_arg)
{
    BkPlat_Commit(arg, txn, fn, fn_arg);
}

static void
push_back(BkClaimBatcher *batcher, BkClaimOp *op)
{
    op->next = NULL;
    if (batcher->tail == NULL) {
        batcher->head = op;
    }
    else {
        batcher->tail->next = op;
    }
    batcher->tail = op;
}

static void
push_front(BkClaimBatcher *batcher, BkClaimOp *op)
{
    op->next = batcher->head;
    batcher->head = op;
    if (batcher->tail == NULL) {
        batcher->tail = op;
    }
}

static void
remove_from_queue(BkClaimBatcher *batcher, BkClaimOp *op)
{
    BkClaimOp *previous = NULL;

    for (BkClaimOp *current = batcher->head; current != NULL;
         current = current->next) {
        if (current != op) {
            previous = current;
            continue;
        }
        if (previous == NULL) {
            batcher->head = current->next;
        }
        else {
            previous->next = current->next;
        }
        if (batcher->tail == current) {
            batcher->tail = previous;
        }
        return;
    }
}

static BkClaimOp *
queue_op(BkClaimBatcher *batcher, OpKind kind, const char *row_key)
{
    BkClaimOp *op = BkMem_New(1, sizeof(*op));

    op->kind = kind;
    op->batcher = batcher;
    memcpy(op->row_key, row_key, sizeof(op->row_key));
    op->row.body = BkBuf_Make(0);
    batcher->op_count++;
    batcher->background_count += kind != OP_CLAIM;
    push_back(batcher, op);
    return op;
}

/* The operation must be neither in the queue nor in the batch. */
static void
free_op(BkClaimOp *op)
{
    BkClaimBatcher *batcher = op->batcher;

    batcher->op_count--;
    batcher->background_count -= op->kind != OP_CLAIM;
    if (op->timeout_timer != NULL) {
        BkTimer_Destroy(op->timeout_timer);
    }
    BkClaim_Clear(&op->row);
    free(op);
}

/* Makes a claim into a release of its row. The release also raises the
 * version of the row, so a try of the claim that is still on its way to the
 * store can no longer succeed. */
static void
turn_into_release(BkClaimOp *op, uint64_t expected_version)
{
    op->kind = OP_RELEASE;
    op->batcher->background_count++;
    op->row.state = BK_CLAIM_FREE;
    op->expected_version = expected_version;
}

static void
finish_claim(BkClaimOp *op, BkStatus status, BkClaimVerdict verdict,
             const BkClaimRow *row)
{
    BkClaimFn fn = op->fn;
    void *arg = op->arg;

    free_op(op);
    fn(status, verdict, row, arg);
}

/* Deallocates a cancelled claim, or turns it into a queued release if its row
 * may have been written. The claim must be neither in the queue nor in the
 * batch. */
static void
free_or_release_cancelled(BkClaimOp *op)
{
    if (!op->may_be_written) {
        free_op(op);
        return;
    }
    turn_into_release(op, op->expected_version);
    push_back(op->batcher, op);
}

static void
cancel_claim(BkClaimOp *op)
{
    BkClaimBatcher *batcher = op->batcher;

    op->cancelled = true;
    op->fn = NULL;
    BkTimer_Stop(op->timeout_timer);
    if (!op->in_flight) {
        remove_from_queue(batcher, op);
        free_or_release_cancelled(op);
        start_next_batch(batcher);
    }
}

static void
handle_claim_timeout(void *arg)
{
    BkClaimOp *op = arg;
    BkClaimFn fn = op->fn;
    void *fn_arg = op->arg;
    BkClaimRow none = {0};

    cancel_claim(op);
    fn(BK_EPLATFORM, BK_CLAIM_BUSY, &none, fn_arg);
}

static void
handle_claim_conflict(BkClaimOp *op, const BkClaimRow *row)
{
    BkClaimVerdict verdict = BkClaim_Evaluate(
        row, op->row.nonce, op->row.request_digest, op->batcher->retention);

    if (op->cancelled) {
        if (verdict == BK_CLAIM_OWNED) {
            turn_into_release(op, row->version);
            push_front(op->batcher, op);
        }
        else {
            free_op(op);
        }
        return;
    }
    if (verdict == BK_CLAIM_MAY_CLAIM) {
        op->expected_version = row->version;
        push_front(op->batcher, op);
        return;
    }
    finish_claim(op, BK_OK, verdict, row);
}

/* Records and releases overwrite only the claim with their own nonce. */
static void
handle_overwrite_conflict(BkClaimOp *op, const BkClaimRow *row)
{
    bool own_nonce = strcmp(row->nonce, op->row.nonce) == 0;

    if (own_nonce && row->state == BK_CLAIM_CLAIMED) {
        op->expected_version = row->version;
        push_front(op->batcher, op);
        return;
    }
    if (op->kind == OP_RECORD && !(own_nonce && row->state == BK_CLAIM_DONE)) {
        BK_LOG(
            BK_LOG_ERR, "claim", NULL,
            "the row no longer holds the claim of the request that was sent; "
            "the outcome of the request is not recorded");
    }
    free_op(op);
}

static const BkPlatRow *
find_row(const BkPlatReply *reply, const char *key)
{
    for (int i = 0; i < reply->count; i++) {
        if (BkStr_Equal(reply->rows[i].key, BkStr_FromC(key))) {
            return &reply->rows[i];
        }
    }
    return NULL;
}

static void
handle_conflict(BkClaimOp *op, const BkPlatRow *found)
{
    BkClaimRow row;

    BkCounter_Add(op->batcher->conflicts, 1);
    if (BkClaim_Decode(&row, found->data, found->version) != BK_OK) {
        /* A row that cannot be decoded is treated as claimed by another
         * request, so that it is not overwritten. */
        BK_LOG(BK_LOG_ERR, "claim", NULL, "cannot decode row %s: %s",
               op->row_key, BkErr_Last());
        row.state = BK_CLAIM_CLAIMED;
        memcpy(row.request_digest, op->row.request_digest,
               sizeof(row.request_digest));
    }
    row.age = found->age;
    if (op->kind == OP_CLAIM) {
        handle_claim_conflict(op, &row);
    }
    else {
        handle_overwrite_conflict(op, &row);
    }
    BkClaim_Clear(&row);
}

static void
handle_written(BkClaimOp *op, const BkPlatReply *reply)
{
    const BkPlatRow *found = find_row(reply, op->row_key);
    uint64_t version = found == NULL ? 0 : found->version;

    if (op->kind != OP_CLAIM) {
        free_op(op);
        return;
    }
    if (op->cancelled) {
        turn_into_release(op, version);
        push_front(op->batcher, op);
        return;
    }
    BkClaimRow row = op->row;
    row.version = version;
    row.type = NULL;
    row.body = BkBuf_Make(0);
    finish_claim(op, BK_OK, BK_CLAIM_OWNED, &row);
}

static void
retry_op(BkClaimOp *op)
{
    if (op->kind == OP_CLAIM && op->cancelled) {
        free_or_release_cancelled(op);
        return;
    }
    push_front(op->batcher, op);
}

static void
back_off(BkClaimBatcher *batcher)
{
    BkMs next = batcher->backoff == 0 ? MIN_BACKOFF_MS : batcher->backoff * 2;

    batcher->backoff = next > MAX_BACKOFF_MS ? MAX_BACKOFF_MS : next;
    BkMs half = batcher->backoff / 2;
    BkTimer_Start(batcher->backoff_timer,
                  half + BkRng_Below(&batcher->rng, half + 1));
}

/* A conflict that shows none of the batch's rows counts as no answer, so the
 * batch is retried only after a backoff. */
static bool
store_answered(const BkPlatReply *reply, BkClaimOp **batch, int count)
{
    if (reply->status == BK_OK) {
        return true;
    }
    if (reply->status != BK_ECONFLICT) {
        return false;
    }
    for (int i = 0; i < count; i++) {
        if (find_row(reply, batch[i]->row_key) != NULL) {
            return true;
        }
    }
    return false;
}

static void
handle_reply(const BkPlatReply *reply, void *arg)
{
    BkClaimBatcher *batcher = arg;
    BkClaimOp *batch[MAX_BATCH_ROWS];
    int count = batcher->batch_count;
    /* if the reply reports an error: nothing of the batch was written */
    bool certainly_not_written =
        reply->status == BK_ECONFLICT || reply->status == BK_EPLATFORM;

    for (int i = 0; i < count; i++) {
        batch[i] = batcher->batch[i];
    }
    batcher->batch_count = 0;
    batcher->in_flight = false;
    if (store_answered(reply, batch, count)) {
        batcher->backoff = 0;
    }
    else {
        BkCounter_Add(
            certainly_not_written ? batcher->failures : batcher->unknown, 1);
        back_off(batcher);
    }
    /* Backwards, so that retried operations, each put at the front of the
     * queue, keep their order. */
    for (int i = count - 1; i >= 0; i--) {
        const BkPlatRow *found = find_row(reply, batch[i]->row_key);
        batch[i]->in_flight = false;
        if (reply->status == BK_OK) {
            handle_written(batch[i], reply);
        }
        else if (reply->status == BK_ECONFLICT && found != NULL) {
            handle_conflict(batch[i], found);
        }
        else {
            batch[i]->may_be_written =
                batch[i]->may_be_written || !certainly_not_written;
            retry_op(batch[i]);
        }
    }
    start_next_batch(batcher);
}

static bool
in_batch(const BkClaimBatcher *batcher, const char *row_key)
{
    for (int i = 0; i < batcher->batch_count; i++) {
        if (strcmp(batcher->batch[i]->row_key, row_key) == 0) {
            return true;
        }
    }
    return false;
}

static size_t
add_to_txn(BkTxn *txn, const BkClaimOp *op)
{
    BkBuf data = BkBuf_Make(0);
    BkStr key = BkStr_FromC(op->row_key);

    BkClaim_Encode(&op->row, &data);
    BkTxn_Check(txn, CLAIM_TABLE, key, op->expected_version);
    BkTxn_Put(txn, CLAIM_TABLE, key, BkBuf_Str(&data));
    size_t bytes = data.len;
    BkBuf_Destroy(&data);
    return bytes;
}

/* A transaction may hold each row only once: further operations on a row stay
 * in the queue. */
static void
fill_batch(BkClaimBatcher *batcher, BkTxn *txn)
{
    BkClaimOp *remaining = batcher->head;
    size_t bytes = 0;

    batcher->head = NULL;
    batcher->tail = NULL;
    while (remaining != NULL) {
        BkClaimOp *op = remaining;
        remaining = op->next;
        if (batcher->batch_count < MAX_BATCH_ROWS && bytes < MAX_BATCH_BYTES &&
            !in_batch(batcher, op->row_key)) {
            bytes += add_to_txn(txn, op);
            op->in_flight = true;
            batcher->batch[batcher->batch_count++] = op;
        }
        else {
            push_back(batcher, op);
        }
    }
}

static void
start_next_batch(BkClaimBatcher *batcher)
{
    if (batcher->in_flight || batcher->head == NULL ||
        BkTimer_Running(batcher->backoff_timer)) {
        return;
    }
    BkTxn *txn = BkTxn_Create();
    fill_batch(batcher, txn);
    batcher->in_flight = true;
    BkCounter_Add(batcher->txns, 1);
    batcher->store.commit(batcher->store.arg, txn, handle_reply, batcher);
    BkTxn_Destroy(txn);
}

static void
end_backoff(void *arg)
{
    start_next_batch(arg);
}

BkClaimBatcher *
BkClaimBatcher_CreateWithStore(BkLoop *loop, BkClaimStore store,
                               BkMs claim_timeout, BkMs retention)
{
    BkClaimBatcher *batcher = BkMem_New(1, sizeof(*batcher));

    batcher->loop = loop;
    batcher->store = store;
    batcher->claim_timeout = claim_timeout;
    batcher->retention = retention;
    batcher->backoff_timer = BkTimer_Create(loop, end_backoff, batcher);
    batcher->rng = BkRng_Make((uint64_t)BkClock_Now());
    batcher->txns = BkCounter_Get("bk_claim_transactions_total", NULL,
                                  "transactions of claims sent");
    batcher->conflicts = BkCounter_Get("bk_claim_conflicts_total", NULL,
                                       "rows that were not as expected");
    batcher->failures = BkCounter_Get("bk_claim_failures_total", NULL,
                                      "transactions not carried out");
    batcher->unknown = BkCounter_Get("bk_claim_unknown_total", NULL,
                                     "transactions of unknown outcome");
    return batcher;
}

BkClaimBatcher *
BkClaimBatcher_Create(BkLoop *loop, BkPlat *plat, BkMs claim_timeout,
                      BkMs retention)
{
    BkClaimStore store = {commit_to_platform, plat};

    return BkClaimBatcher_CreateWithStore(loop, store, claim_timeout,
                                          retention);
}

void
BkClaimBatcher_Destroy(BkClaimBatcher *batcher)
{
    for (int i = 0; i < batcher->batch_count; i++) {
        free_op(batcher->batch[i]);
    }
    while (batcher->head != NULL) {
        BkClaimOp *op = batcher->head;
        batcher->head = op->next;
        free_op(op);
    }
    BkTimer_Destroy(batcher->backoff_timer);
    free(batcher);
}

/* While the store is down, claims that arrive during a backoff are refused at
 * once. After it the queue, or else the next claim, is sent, which shows
 * whether the store is back. */
static bool
must_refuse(const BkClaimBatcher *batcher)
{
    if (batcher->op_count >= MAX_OPS) {
        return true;
    }
    return batcher->backoff >= DOWN_BACKOFF_MS &&
           BkTimer_Running(batcher->backoff_timer);
}

BkClaimOp *
BkClaimBatcher_Claim(BkClaimBatcher *batcher, const char *row_key,
                     const char *nonce, const char *request_digest,
                     BkClaimFn fn, void *arg)
{
    bool refuse = must_refuse(batcher);
    BkClaimOp *op = queue_op(batcher, OP_CLAIM, row_key);

    op->row.state = BK_CLAIM_CLAIMED;
    memcpy(op->row.nonce, nonce, sizeof(op->row.nonce));
    memcpy(op->row.request_digest, request_digest,
           sizeof(op->row.request_digest));
    op->fn = fn;
    op->arg = arg;
    op->timeout_timer =
        BkTimer_Create(batcher->loop, handle_claim_timeout, op);
    BkTimer_Start(op->timeout_timer, refuse ? 0 : batcher->claim_timeout);
    start_next_batch(batcher);
    return op;
}

void
BkClaimBatcher_Cancel(BkClaimOp *op)
{
    cancel_claim(op);
}

void
BkClaimBatcher_Record(BkClaimBatcher *batcher, const char *row_key,
                      const BkClaimRow *done)
{
    BkClaimOp *op = queue_op(batcher, OP_RECORD, row_key);

    op->row = *done;
    op->row.state = BK_CLAIM_DONE;
    op->row.type = BkStr_Dup(BkStr_FromC(done->type));
    op->row.body = BkBuf_Make(0);
    op->row.too_large =
        done->too_large || done->body.len > BK_CLAIM_MAX_OUTCOME;
    if (!op->row.too_large) {
        BkBuf_Append(&op->row.body, BkBuf_Str(&done->body));
    }
    op->expected_version = done->version;
    start_next_batch(batcher);
}

void
BkClaimBatcher_Release(BkClaimBatcher *batcher, const char *row_key,
                       const BkClaimRow *claimed)
{
    BkClaimOp *op = queue_op(batcher, OP_RELEASE, row_key);

    memcpy(op->row.nonce, claimed->nonce, sizeof(op->row.nonce));
    memcpy(op->row.request_digest, claimed->request_digest,
           sizeof(op->row.request_digest));
    op->row.state = BK_CLAIM_FREE;
    op->expected_version = claimed->version;
    start_next_batch(batcher);
}

int
BkClaimBatcher_Pending(const BkClaimBatcher *batcher)
{
    int pending = batcher->background_count;

    for (int i = 0; i < batcher->batch_count; i++) {
        pending += batcher->batch[i]->kind == OP_CLAIM;
    }
    return pending;
}
