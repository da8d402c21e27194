#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/claim/claim.h"
#include "script.h"

enum {
    ROWS_MOST = 256,
    WISHES_MOST = 256,
    RETENTION_MS = 1000
};

typedef struct StoreRow {
    char key[BK_CLAIM_DIGEST_HEX];
    char *data;
    uint64_t version;
    BkMs age;
} StoreRow;

typedef struct Wish {
    char name[16];
    char row_key[BK_CLAIM_DIGEST_HEX];
    BkClaimWish *wish;
    BkClaimRow claimed;
    BkBuf *out;
    int called;
} Wish;

/* a table in memory whose answers the script gives */
typedef struct Rig {
    BkLoop *loop;
    BkClaimBook *book;
    StoreRow rows[ROWS_MOST];
    int row_count;
    uint64_t version;
    BkTxn *txn; /* in flight */
    BkTxn *late;
    BkPlatFn fn;
    void *fn_arg;
    Wish wishes[WISHES_MOST];
    int wish_count;
    BkBuf *out;
} Rig;

static BkTxn *
copy_txn(const BkTxn *txn)
{
    BkTxn *copy = BkTxn_Create();

    for (int i = 0; i < txn->count; i++) {
        const BkTxnOp *op = &txn->ops[i];
        BkStr table = BkStr_FromC(op->table);
        BkStr key = BkStr_FromC(op->key);
        if (op->kind == BK_TXN_CHECK) {
            BkTxn_Check(copy, table, key, op->version);
        }
        else {
            BkTxn_Put(copy, table, key, BkStr_FromC(op->data));
        }
    }
    return copy;
}

static void
hold_commit(void *arg, const BkTxn *txn, BkPlatFn fn, void *fn_arg)
{
    Rig *rig = arg;

    ck_assert_ptr_null(rig->txn);
    ck_assert_int_le(txn->count, BK_TXN_MAX_OPS);
    rig->txn = copy_txn(txn);
    rig->fn = fn;
    rig->fn_arg = fn_arg;
}

static StoreRow *
find_row(Rig *rig, const char *key)
{
    for (int i = 0; i < rig->row_count; i++) {
        if (strcmp(rig->rows[i].key, key) == 0) {
            return &rig->rows[i];
        }
    }
    StoreRow *row = &rig->rows[rig->row_count++];
    snprintf(row->key, sizeof(row->key), "%s", key);
    return row;
}

static int
carry_out(Rig *rig, const BkTxn *txn, BkRow *rows, BkStatus *status)
{
    int count = 0;

    for (int i = 0; i < txn->count; i++) {
        const BkTxnOp *op = &txn->ops[i];
        StoreRow *row = find_row(rig, op->key);
        if (op->kind == BK_TXN_CHECK && row->version != op->version) {
            rows[count++] = (BkRow){
                .key = BkStr_FromC(row->key),
                .version = row->version,
                .age = row->age,
                .data = BkStr_FromC(row->data),
            };
        }
    }
    *status = count == 0 ? BK_OK : BK_ECONFLICT;
    for (int i = 0; count == 0 && i < txn->count; i++) {
        const BkTxnOp *op = &txn->ops[i];
        StoreRow *row = find_row(rig, op->key);
        if (op->kind == BK_TXN_PUT) {
            free(row->data);
            row->data = BkStr_Dup(BkStr_FromC(op->data));
            row->version = ++rig->version;
            row->age = 0;
        }
    }
    for (int i = 0; *status == BK_OK && i < txn->count; i++) {
        StoreRow *row = find_row(rig, txn->ops[i].key);
        if (txn->ops[i].kind == BK_TXN_PUT) {
            rows[count++] = (BkRow){
                .key = BkStr_FromC(row->key),
                .version = row->version,
            };
        }
    }
    return count;
}

/* ok, platform (not carried out), lose (acts, no answer), drop (neither),
 * late (no answer; lands at "land") */
static void
answer(Rig *rig, const char *how)
{
    BkTxn *txn = rig->txn;
    BkRow rows[BK_TXN_MAX_OPS];
    BkPlatReply reply = {.status = BK_EUNKNOWN, .rows = rows};

    ck_assert_ptr_nonnull(txn);
    rig->txn = NULL;
    if (strcmp(how, "platform") == 0) {
        reply.status = BK_EPLATFORM;
    }
    else if (strcmp(how, "ok") == 0) {
        reply.count = carry_out(rig, txn, rows, &reply.status);
    }
    else if (strcmp(how, "lose") == 0) {
        BkStatus ignored;
        carry_out(rig, txn, rows, &ignored);
    }
    else if (strcmp(how, "late") == 0) {
        rig->late = copy_txn(txn);
    }
    rig->fn(&reply, rig->fn_arg);
    BkTxn_Destroy(txn);
}

static void
land_late(Rig *rig, BkBuf *out)
{
    BkRow rows[BK_TXN_MAX_OPS];
    BkStatus status;

    carry_out(rig, rig->late, rows, &status);
    BkBuf_Printf(out, "late %s\n", BkStatus_Info(status)->name);
    BkTxn_Destroy(rig->late);
    rig->late = NULL;
}

static const char *const verdicts[] = {"may-claim", "mine", "replay", "busy",
                                       "reused"};

static void
note_claim(BkStatus status, BkClaimVerdict verdict, const BkClaimRow *row,
           void *arg)
{
    Wish *wish = arg;

    wish->called++;
    wish->wish = NULL;
    wish->claimed = *row;
    wish->claimed.body = BkBuf_Make(0);
    wish->claimed.type = NULL;
    if (status != BK_OK) {
        BkBuf_Printf(wish->out, "%s: %s\n", wish->name,
                     BkStatus_Info(status)->name);
        return;
    }
    BkBuf_Printf(wish->out, "%s: %s", wish->name, verdicts[verdict]);
    if (verdict == BK_CLAIM_REPLAY) {
        BkBuf_Printf(wish->out, " %d %s %s", row->code, row->type,
                     row->too_large ? "(too large)" : BkBuf_C(&row->body));
    }
    BkBuf_Printf(wish->out, "\n");
}

static void
claim(Rig *rig, const char *name, const char *key, const char *request)
{
    Wish *wish = &rig->wishes[rig->wish_count++];
    char nonce[BK_CLAIM_NONCE_BYTES * 2 + 1];
    char digest[BK_CLAIM_DIGEST_HEX];

    snprintf(wish->name, sizeof(wish->name), "%s", name);
    BkClaim_RowKey(BK_STR("caller"), BkStr_FromC(key), wish->row_key);
    BkClaim_RequestDigest(BK_STR("POST"), BK_STR("/app/x"),
                          BkStr_FromC(request), digest);
    BkClaim_MakeNonce(nonce);
    wish->out = rig->out;
    wish->wish = BkClaimBook_Claim(rig->book, wish->row_key, nonce, digest,
                                   note_claim, wish);
}

static Wish *
find_wish(Rig *rig, const char *name)
{
    for (int i = 0; i < rig->wish_count; i++) {
        if (strcmp(rig->wishes[i].name, name) == 0) {
            return &rig->wishes[i];
        }
    }
    ck_abort_msg("no claim %s", name);
    return NULL;
}

static void
record(Rig *rig, const char *name, const char *body, int repeat)
{
    Wish *wish = find_wish(rig, name);
    BkClaimRow done = wish->claimed;

    done.code = 200;
    done.type = "text/plain";
    for (int i = 0; i < repeat; i++) {
        BkBuf_Append(&done.body, BkStr_FromC(body));
    }
    BkClaimBook_Record(rig->book, wish->row_key, &done);
    BkBuf_Destroy(&done.body);
}

/* lets the pause after a failure pass, until a transaction is in flight */
static void
wait_txn(Rig *rig)
{
    while (rig->txn == NULL) {
        BkLoop_Round(rig->loop, 10);
    }
}

static void
show_row(Rig *rig, const char *key, BkBuf *out)
{
    char row_key[BK_CLAIM_DIGEST_HEX];
    BkClaimRow row;

    BkClaim_RowKey(BK_STR("caller"), BkStr_FromC(key), row_key);
    StoreRow *found = find_row(rig, row_key);
    ck_assert_int_eq(
        BkClaim_Decode(&row, BkStr_FromC(found->data), found->version), BK_OK);
    static const char *const names[] = {"absent", "claimed", "free", "done"};
    BkBuf_Printf(out, "%s %s\n", key, names[row.state]);
    BkClaim_Clear(&row);
}

static void
run_claim(char **words, int count, BkBuf *out, void *arg)
{
    Rig *rig = arg;

    rig->out = out;
    if (strcmp(words[0], "claim") == 0) {
        claim(rig, words[1], words[2], words[3]);
    }
    else if (strcmp(words[0], "claims") == 0) {
        for (int i = 0; i < atoi(words[1]); i++) {
            char key[32];
            snprintf(key, sizeof(key), "%s%d", words[2], i);
            claim(rig, key, key, "same");
        }
    }
    else if (strcmp(words[0], "answer") == 0) {
        wait_txn(rig);
        BkBuf_Printf(out, "rows %d\n", rig->txn->count / 2);
        answer(rig, words[1]);
    }
    else if (strcmp(words[0], "land") == 0) {
        land_late(rig, out);
    }
    else if (strcmp(words[0], "cancel") == 0) {
        BkClaimBook_Cancel(find_wish(rig, words[1])->wish);
    }
    else if (strcmp(words[0], "record") == 0) {
        record(rig, words[1], words[2], count > 3 ? atoi(words[3]) : 1);
    }
    else if (strcmp(words[0], "release") == 0) {
        Wish *wish = find_wish(rig, words[1]);
        BkClaimBook_Release(rig->book, wish->row_key, &wish->claimed);
    }
    else if (strcmp(words[0], "age") == 0) {
        for (int i = 0; i < rig->row_count; i++) {
            rig->rows[i].age += atoi(words[1]);
        }
    }
    else if (strcmp(words[0], "row") == 0) {
        show_row(rig, words[1], out);
    }
    else if (strcmp(words[0], "pending") == 0) {
        BkBuf_Printf(out, "%d%s\n", BkClaimBook_Pending(rig->book),
                     rig->txn == NULL ? "" : " in flight");
    }
}

static void
open_rig(Rig *rig, BkMs patience)
{
    *rig = (Rig){.loop = BkLoop_Create()};
    rig->book = BkClaimBook_CreateOn(
        rig->loop, (BkClaimStore){hold_commit, rig}, patience, RETENTION_MS);
}

static void
close_rig(Rig *rig)
{
    BkClaimBook_Destroy(rig->book);
    BkLoop_Destroy(rig->loop);
    if (rig->txn != NULL) {
        BkTxn_Destroy(rig->txn);
    }
    for (int i = 0; i < rig->row_count; i++) {
        free(rig->rows[i].data);
    }
}

START_TEST(test_script)
{
    static Rig rig;

    open_rig(&rig, 60 * BK_MS_PER_S);
    BkScript_Run("claim", run_claim, &rig);
    close_rig(&rig);
}
END_TEST

/* given up with its write in flight: never sent, freed once it lands */
START_TEST(test_patience)
{
    static Rig rig;
    BkBuf out = BkBuf_Make(0);

    open_rig(&rig, 5);
    rig.out = &out;
    claim(&rig, "a", "k", "same");
    while (rig.wishes[0].called == 0) {
        BkLoop_Round(rig.loop, 10);
    }
    ck_assert_str_eq(BkBuf_C(&out), "a: EPLATFORM\n");
    ck_assert_int_eq(BkClaimBook_Pending(rig.book), 1);
    answer(&rig, "ok");
    ck_assert_int_eq(BkClaimBook_Pending(rig.book), 1);
    answer(&rig, "ok");
    ck_assert_int_eq(BkClaimBook_Pending(rig.book), 0);
    show_row(&rig, "k", &out);
    ck_assert_str_eq(BkBuf_C(&out), "a: EPLATFORM\nk free\n");
    ck_assert_int_eq(rig.wishes[0].called, 1);
    close_rig(&rig);
    BkBuf_Destroy(&out);
}
END_TEST

/* a store that fails again and again: refused without a wait, never sent */
START_TEST(test_store_down)
{
    static Rig rig;
    BkBuf out = BkBuf_Make(0);

    open_rig(&rig, 60 * BK_MS_PER_S);
    rig.out = &out;
    claim(&rig, "a", "a", "same");
    for (int i = 0; i < 5; i++) {
        wait_txn(&rig);
        answer(&rig, "platform");
    }
    claim(&rig, "b", "b", "same");
    while (rig.wishes[1].called == 0 && rig.txn == NULL) {
        BkLoop_Round(rig.loop, 10);
    }
    ck_assert_str_eq(BkBuf_C(&out), "b: EPLATFORM\n");
    wait_txn(&rig);
    ck_assert_int_eq(rig.txn->count, 2);
    answer(&rig, "ok");
    ck_assert_str_eq(BkBuf_C(&out), "b: EPLATFORM\na: mine\n");
    close_rig(&rig);
    BkBuf_Destroy(&out);
}
END_TEST

START_TEST(test_codec)
{
    BkClaimRow row = {.state = BK_CLAIM_DONE, .code = 200, .type = "a/b"};
    BkClaimRow back;
    BkBuf json = BkBuf_Make(0);
    const char *const bad[] = {"", "[]", "{\"state\":\"claimed\"}",
                               "{\"state\":\"gone\"}"};

    BkClaim_MakeNonce(row.nonce);
    BkClaim_RowKey(BK_STR("ab"), BK_STR("c"), row.request);
    BkBuf_Append(&row.body, (BkStr){"\xff\x00z", 3});
    BkClaim_Encode(&row, &json);
    ck_assert_int_eq(BkClaim_Decode(&back, BkBuf_Str(&json), 7), BK_OK);
    ck_assert(BkStr_Equal(BkBuf_Str(&back.body), (BkStr){"\xff\x00z", 3}));
    ck_assert_str_eq(back.request, row.request);
    BkClaim_RowKey(BK_STR("a"), BK_STR("bc"), row.request);
    ck_assert_str_ne(back.request, row.request);
    BkClaim_Clear(&back);
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        ck_assert_int_eq(BkClaim_Decode(&back, BkStr_FromC(bad[i]), 1),
                         BK_EDECODE);
    }
    BkBuf_Destroy(&row.body);
    BkBuf_Destroy(&json);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script, test_patience, test_store_down,
                                  test_codec};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("claim", tests, count);
}
