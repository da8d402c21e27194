#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/rng.h"
#include "bk/claim/claim.h"

enum {
    MAX_PAGE_PAUSE_MS = 30000, /* between two pages of a sweep */
    /* each may take a check and a delete of the BK_TXN_MAX_OPS operations of a
       transaction */
    SWEEP_PAGE_ROWS = 60
};

#define CLAIM_TABLE BK_STR("claims")

struct BkClaimSweep {
    BkPlat *plat;
    BkMs retention;
    BkMs max_page_pause;
    BkTimer *timer;
    BkRng rng;
    BkBuf after; /* the next page starts after this key */
    BkCounter *delete_txn_counter;
};

static void
schedule_next_page(BkClaimSweep *sweep)
{
    BkMs half = sweep->max_page_pause / 2;

    BkTimer_Start(sweep->timer,
                  half + BkRng_Below(&sweep->rng, (uint32_t)half + 1));
}

static void
handle_deleted(const BkPlatReply *reply, void *arg)
{
    BkClaimSweep *sweep = arg;

    if (reply->status == BK_OK) {
        BkCounter_Add(sweep->delete_txn_counter, 1);
    }
    schedule_next_page(sweep);
}

/* Each delete checks the version, so that a row that was claimed again since
 * the page was read is kept. */
static BkTxn *
make_delete_txn(const BkClaimSweep *sweep, const BkPlatReply *reply)
{
    BkTxn *txn = BkTxn_Create();

    for (int i = 0; i < reply->count; i++) {
        const BkPlatRow *row = &reply->rows[i];
        if (row->age > sweep->retention) {
            BkTxn_Check(txn, CLAIM_TABLE, row->key, row->version);
            BkTxn_Delete(txn, CLAIM_TABLE, row->key);
        }
    }
    return txn;
}

static void
handle_page(const BkPlatReply *reply, void *arg)
{
    BkClaimSweep *sweep = arg;

    if (reply->status != BK_OK) {
        schedule_next_page(sweep);
        return;
    }
    BkTxn *txn = make_delete_txn(sweep, reply);
    BkBuf_Clear(&sweep->after); /* after the last page, at the table's start */
    if (reply->has_more) {
        BkBuf_Append(&sweep->after, reply->last_key);
    }
    if (txn->count == 0) {
        schedule_next_page(sweep);
    }
    else {
        BkPlat_Commit(sweep->plat, txn, handle_deleted, sweep);
    }
    BkTxn_Destroy(txn);
}

static void
read_page(void *arg)
{
    BkClaimSweep *sweep = arg;

    BkPlat_ListRows(sweep->plat, CLAIM_TABLE, BK_STR(""),
                    BkBuf_Str(&sweep->after), SWEEP_PAGE_ROWS, handle_page,
                    sweep);
}

BkClaimSweep *
BkClaimSweep_Create(BkLoop *loop, BkPlat *plat, BkMs retention)
{
    BkClaimSweep *sweep = BkMem_New(1, sizeof(*sweep));
    char first_key[BK_CLAIM_HEX_SIZE];

    sweep->plat = plat;
    sweep->retention = retention;
    sweep->max_page_pause =
        retention < MAX_PAGE_PAUSE_MS ? retention : MAX_PAGE_PAUSE_MS;
    sweep->timer = BkTimer_Create(loop, read_page, sweep);
    sweep->delete_txn_counter = BkCounter_Get(
        "bk_claim_sweeps_total", NULL, "transactions that deleted old claims");
    /* A random key: each entry daemon starts its sweep at a different row. */
    BkClaim_MakeNonce(first_key);
    BkBuf_Append(&sweep->after, BkStr_FromC(first_key));
    sweep->rng =
        BkRng_Make((uint64_t)BkClock_Now() ^ strtoull(first_key, NULL, 16));
    schedule_next_page(sweep);
    return sweep;
}

void
BkClaimSweep_Destroy(BkClaimSweep *sweep)
{
    if (sweep != NULL) {
        BkTimer_Destroy(sweep->timer);
        BkBuf_Destroy(&sweep->after);
        free(sweep);
    }
}
