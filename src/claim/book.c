#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/base/rng.h"
#include "bk/claim/claim.h"

enum {
    BATCH_MOST = 60, /* rows; a check and a put each */
    BATCH_BYTES = 256 * 1024,
    ENTRIES_MOST = 8192, /* beyond this, new claims are refused */
    BACKOFF_FIRST_MS = 50,
    BACKOFF_MOST_MS = 1000,
    DOWN_MS = 400 /* a pause this long: the store is taken to be down */
};

#define CLAIM_TABLE BK_STR("claims")

typedef enum EntryKind {
    ENTRY_CLAIM,
    ENTRY_RECORD,
    ENTRY_RELEASE
} EntryKind;

struct BkClaimWish {
    EntryKind kind;
    BkClaimBook *book;
    char row_key[BK_CLAIM_DIGEST_HEX];
    BkClaimRow row;  /* what is to be written */
    uint64_t expect; /* version that the row has now, as far as known */
    bool maybe;      /* an earlier write of it may have landed, or still may */
    bool given_up;   /* a claim whose request has been answered */
    bool in_flight;
    BkTimer *patience;
    BkClaimFn fn;
    void *arg;
    BkClaimWish *next;
};

struct BkClaimBook {
    BkLoop *loop;
    BkClaimStore store;
    BkMs patience;
    BkMs retention;
    BkClaimWish *head; /* waiting, oldest first */
    BkClaimWish *tail;
    BkClaimWish *batch[BATCH_MOST]; /* in flight */
    int batch_count;
    bool in_flight;
    int entries;    /* waiting and in flight */
    int background; /* of these, records and releases */
    BkMs backoff;   /* 0: the last transaction was answered */
    BkTimer *pause;
    BkRng rng;
    BkCounter *txns;
    BkCounter *conflicts;
    BkCounter *failures;
    BkCounter *unknown;
};

static void pump(BkClaimBook *book);

static void
commit_platform(void *arg, const BkTxn *txn, BkPlatFn fn, void *fn_arg)
{
    BkPlat_Commit(arg, txn, fn, fn_arg);
}

static void
push_back(BkClaimBook *book, BkClaimWish *wish)
{
    wish->next = NULL;
    if (book->tail == NULL) {
        book->head = wish;
    }
    else {
        book->tail->next = wish;
    }
    book->tail = wish;
}

static void
push_front(BkClaimBook *book, BkClaimWish *wish)
{
    wish->next = book->head;
    book->head = wish;
    if (book->tail == NULL) {
        book->tail = wish;
    }
}

static void
unlink_wish(BkClaimBook *book, BkClaimWish *wish)
{
    BkClaimWish *previous = NULL;

    for (BkClaimWish *at = book->head; at != NULL; at = at->next) {
        if (at != wish) {
            previous = at;
            continue;
        }
        if (previous == NULL) {
            book->head = at->next;
        }
        else {
            previous->next = at->next;
        }
        if (book->tail == at) {
            book->tail = previous;
        }
        return;
    }
}

static BkClaimWish *
add_wish(BkClaimBook *book, EntryKind kind, const char *row_key)
{
    BkClaimWish *wish = BkMem_New(1, sizeof(*wish));

    wish->kind = kind;
    wish->book = book;
    memcpy(wish->row_key, row_key, sizeof(wish->row_key));
    wish->row.body = BkBuf_Make(0);
    book->entries++;
    book->background += kind != ENTRY_CLAIM;
    push_back(book, wish);
    return wish;
}

/* of a wish that is in no list any more */
static void
free_wish(BkClaimWish *wish)
{
    BkClaimBook *book = wish->book;

    book->entries--;
    book->background -= wish->kind != ENTRY_CLAIM;
    if (wish->patience != NULL) {
        BkTimer_Destroy(wish->patience);
    }
    BkClaim_Clear(&wish->row);
    free(wish);
}

/* from now on the row is to be free; the write also raises its version, so
 * that a claim that is still on its way can no longer land */
static void
turn_into_release(BkClaimWish *wish, uint64_t expect)
{
    wish->kind = ENTRY_RELEASE;
    wish->book->background++;
    wish->row.state = BK_CLAIM_FREE;
    wish->expect = expect;
}

static void
settle_claim(BkClaimWish *wish, BkStatus status, BkClaimVerdict verdict,
             const BkClaimRow *row)
{
    BkClaimFn fn = wish->fn;
    void *arg = wish->arg;

    free_wish(wish);
    fn(status, verdict, row, arg);
}

/* a claim nobody waits for; it is not in flight and in no list */
static void
drop_given_up(BkClaimWish *wish)
{
    if (!wish->maybe) {
        free_wish(wish);
        return;
    }
    turn_into_release(wish, wish->expect);
    push_back(wish->book, wish);
}

static void
give_up(BkClaimWish *wish)
{
    BkClaimBook *book = wish->book;

    wish->given_up = true;
    wish->fn = NULL;
    BkTimer_Stop(wish->patience);
    if (!wish->in_flight) {
        unlink_wish(book, wish);
        drop_given_up(wish);
        pump(book);
    }
}

static void
end_patience(void *arg)
{
    BkClaimWish *wish = arg;
    BkClaimFn fn = wish->fn;
    void *fn_arg = wish->arg;
    BkClaimRow none = {0};

    give_up(wish);
    fn(BK_EPLATFORM, BK_CLAIM_BUSY, &none, fn_arg);
}

static void
take_claim_conflict(BkClaimWish *wish, const BkClaimRow *row)
{
    BkClaimVerdict verdict = BkClaim_Judge(
        row, wish->row.nonce, wish->row.request, wish->book->retention);

    if (wish->given_up) {
        if (verdict == BK_CLAIM_MINE) {
            turn_into_release(wish, row->version);
            push_front(wish->book, wish);
        }
        else {
            free_wish(wish);
        }
        return;
    }
    if (verdict == BK_CLAIM_MAY_CLAIM) {
        wish->expect = row->version;
        push_front(wish->book, wish);
        return;
    }
    settle_claim(wish, BK_OK, verdict, row);
}

/* records and releases write only over the claim of their own nonce */
static void
take_own_conflict(BkClaimWish *wish, const BkClaimRow *row)
{
    bool own = strcmp(row->nonce, wish->row.nonce) == 0;

    if (own && row->state == BK_CLAIM_CLAIMED) {
        wish->expect = row->version;
        push_front(wish->book, wish);
        return;
    }
    if (wish->kind == ENTRY_RECORD && !(own && row->state == BK_CLAIM_DONE)) {
        BK_LOG(BK_LOG_ERR, "claim", NULL,
               "the row of an outcome was taken over; it is not recorded");
    }
    free_wish(wish);
}

static const BkRow *
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
take_conflict(BkClaimWish *wish, const BkRow *found)
{
    BkClaimRow row;

    BkCounter_Add(wish->book->conflicts, 1);
    if (BkClaim_Decode(&row, found->data, found->version) != BK_OK) {
        /* not ours to understand, hence not ours to write over */
        BK_LOG(BK_LOG_ERR, "claim", NULL, "row %s: %s", wish->row_key,
               BkErr_Last());
        row.state = BK_CLAIM_CLAIMED;
        memcpy(row.request, wish->row.request, sizeof(row.request));
    }
    row.age = found->age;
    if (wish->kind == ENTRY_CLAIM) {
        take_claim_conflict(wish, &row);
    }
    else {
        take_own_conflict(wish, &row);
    }
    BkClaim_Clear(&row);
}

static void
take_written(BkClaimWish *wish, const BkPlatReply *reply)
{
    const BkRow *found = find_row(reply, wish->row_key);
    uint64_t version = found == NULL ? 0 : found->version;

    if (wish->kind != ENTRY_CLAIM) {
        free_wish(wish);
        return;
    }
    if (wish->given_up) {
        turn_into_release(wish, version);
        push_front(wish->book, wish);
        return;
    }
    BkClaimRow row = wish->row;
    row.version = version;
    row.type = NULL;
    row.body = BkBuf_Make(0);
    settle_claim(wish, BK_OK, BK_CLAIM_MINE, &row);
}

static void
go_again(BkClaimWish *wish)
{
    if (wish->kind == ENTRY_CLAIM && wish->given_up) {
        drop_given_up(wish);
        return;
    }
    push_front(wish->book, wish);
}

static void
back_off(BkClaimBook *book)
{
    BkMs next = book->backoff == 0 ? BACKOFF_FIRST_MS : book->backoff * 2;

    book->backoff = next > BACKOFF_MOST_MS ? BACKOFF_MOST_MS : next;
    BkMs half = book->backoff / 2;
    BkTimer_Start(book->pause, half + BkRng_Below(&book->rng, half + 1));
}

static bool
was_answered(const BkPlatReply *reply, BkClaimWish **batch, int count)
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
take_reply(const BkPlatReply *reply, void *arg)
{
    BkClaimBook *book = arg;
    BkClaimWish *batch[BATCH_MOST];
    int count = book->batch_count;
    bool certain =
        reply->status == BK_ECONFLICT || reply->status == BK_EPLATFORM;

    for (int i = 0; i < count; i++) {
        batch[i] = book->batch[i];
    }
    book->batch_count = 0;
    book->in_flight = false;
    if (was_answered(reply, batch, count)) {
        book->backoff = 0;
    }
    else {
        BkCounter_Add(certain ? book->failures : book->unknown, 1);
        back_off(book);
    }
    /* backwards, since those that go again are put in front */
    for (int i = count - 1; i >= 0; i--) {
        const BkRow *found = find_row(reply, batch[i]->row_key);
        batch[i]->in_flight = false;
        if (reply->status == BK_OK) {
            take_written(batch[i], reply);
        }
        else if (reply->status == BK_ECONFLICT && found != NULL) {
            take_conflict(batch[i], found);
        }
        else {
            batch[i]->maybe = batch[i]->maybe || !certain;
            go_again(batch[i]);
        }
    }
    pump(book);
}

static bool
in_batch(const BkClaimBook *book, const char *row_key)
{
    for (int i = 0; i < book->batch_count; i++) {
        if (strcmp(book->batch[i]->row_key, row_key) == 0) {
            return true;
        }
    }
    return false;
}

static size_t
add_to_txn(BkTxn *txn, const BkClaimWish *wish)
{
    BkBuf data = BkBuf_Make(0);
    BkStr key = BkStr_FromC(wish->row_key);

    BkClaim_Encode(&wish->row, &data);
    BkTxn_Check(txn, CLAIM_TABLE, key, wish->expect);
    BkTxn_Put(txn, CLAIM_TABLE, key, BkBuf_Str(&data));
    size_t bytes = data.len;
    BkBuf_Destroy(&data);
    return bytes;
}

/* a row stands at most once in a transaction */
static void
fill_batch(BkClaimBook *book, BkTxn *txn)
{
    BkClaimWish *rest = book->head;
    size_t bytes = 0;

    book->head = NULL;
    book->tail = NULL;
    while (rest != NULL) {
        BkClaimWish *wish = rest;
        rest = wish->next;
        if (book->batch_count < BATCH_MOST && bytes < BATCH_BYTES &&
            !in_batch(book, wish->row_key)) {
            bytes += add_to_txn(txn, wish);
            wish->in_flight = true;
            book->batch[book->batch_count++] = wish;
        }
        else {
            push_back(book, wish);
        }
    }
}

static void
pump(BkClaimBook *book)
{
    if (book->in_flight || book->head == NULL ||
        BkTimer_Running(book->pause)) {
        return;
    }
    BkTxn *txn = BkTxn_Create();
    fill_batch(book, txn);
    book->in_flight = true;
    BkCounter_Add(book->txns, 1);
    book->store.commit(book->store.arg, txn, take_reply, book);
    BkTxn_Destroy(txn);
}

static void
end_pause(void *arg)
{
    pump(arg);
}

BkClaimBook *
BkClaimBook_CreateOn(BkLoop *loop, BkClaimStore store, BkMs patience,
                     BkMs retention)
{
    BkClaimBook *book = BkMem_New(1, sizeof(*book));

    book->loop = loop;
    book->store = store;
    book->patience = patience;
    book->retention = retention;
    book->pause = BkTimer_Create(loop, end_pause, book);
    book->rng = BkRng_Make((uint64_t)BkClock_Now());
    book->txns = BkCounter_Get("bk_claim_transactions_total", NULL,
                               "transactions of claims sent");
    book->conflicts = BkCounter_Get("bk_claim_conflicts_total", NULL,
                                    "rows that were not as expected");
    book->failures = BkCounter_Get("bk_claim_failures_total", NULL,
                                   "transactions not carried out");
    book->unknown = BkCounter_Get("bk_claim_unknown_total", NULL,
                                  "transactions of unknown outcome");
    return book;
}

BkClaimBook *
BkClaimBook_Create(BkLoop *loop, BkPlat *plat, BkMs patience, BkMs retention)
{
    BkClaimStore store = {commit_platform, plat};

    return BkClaimBook_CreateOn(loop, store, patience, retention);
}

void
BkClaimBook_Destroy(BkClaimBook *book)
{
    for (int i = 0; i < book->batch_count; i++) {
        free_wish(book->batch[i]);
    }
    while (book->head != NULL) {
        BkClaimWish *wish = book->head;
        book->head = wish->next;
        free_wish(wish);
    }
    BkTimer_Destroy(book->pause);
    free(book);
}

/* while the store is down, only the first claim after each pause is a probe;
 * the others are refused without a wait */
static bool
must_refuse(const BkClaimBook *book)
{
    if (book->entries >= ENTRIES_MOST) {
        return true;
    }
    return book->backoff >= DOWN_MS && BkTimer_Running(book->pause);
}

BkClaimWish *
BkClaimBook_Claim(BkClaimBook *book, const char *row_key, const char *nonce,
                  const char *request, BkClaimFn fn, void *arg)
{
    bool refuse = must_refuse(book);
    BkClaimWish *wish = add_wish(book, ENTRY_CLAIM, row_key);

    wish->row.state = BK_CLAIM_CLAIMED;
    memcpy(wish->row.nonce, nonce, sizeof(wish->row.nonce));
    memcpy(wish->row.request, request, sizeof(wish->row.request));
    wish->fn = fn;
    wish->arg = arg;
    wish->patience = BkTimer_Create(book->loop, end_patience, wish);
    BkTimer_Start(wish->patience, refuse ? 0 : book->patience);
    pump(book);
    return wish;
}

void
BkClaimBook_Cancel(BkClaimWish *wish)
{
    give_up(wish);
}

void
BkClaimBook_Record(BkClaimBook *book, const char *row_key,
                   const BkClaimRow *done)
{
    BkClaimWish *wish = add_wish(book, ENTRY_RECORD, row_key);

    wish->row = *done;
    wish->row.state = BK_CLAIM_DONE;
    wish->row.type = BkStr_Dup(BkStr_FromC(done->type));
    wish->row.body = BkBuf_Make(0);
    wish->row.too_large =
        done->too_large || done->body.len > BK_CLAIM_MAX_OUTCOME;
    if (!wish->row.too_large) {
        BkBuf_Append(&wish->row.body, BkBuf_Str(&done->body));
    }
    wish->expect = done->version;
    pump(book);
}

void
BkClaimBook_Release(BkClaimBook *book, const char *row_key,
                    const BkClaimRow *claimed)
{
    BkClaimWish *wish = add_wish(book, ENTRY_RELEASE, row_key);

    memcpy(wish->row.nonce, claimed->nonce, sizeof(wish->row.nonce));
    memcpy(wish->row.request, claimed->request, sizeof(wish->row.request));
    wish->row.state = BK_CLAIM_FREE;
    wish->expect = claimed->version;
    pump(book);
}

int
BkClaimBook_Pending(const BkClaimBook *book)
{
    int pending = book->background;

    for (int i = 0; i < book->batch_count; i++) {
        pending += book->batch[i]->kind == ENTRY_CLAIM;
    }
    return pending;
}
