#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/rng.h"
#include "bk/claim/claim.h"

enum {
    SWEEP_PERIOD_MS = 30000,
    SWEEP_ROWS = 60 /* a page; a check and a delete each */
};

#define CLAIM_TABLE BK_STR("claims")

struct BkClaimSweep {
    BkPlat *plat;
    BkMs retention;
    BkMs period;
    BkTimer *timer;
    BkRng rng;
    char after[BK_CLAIM_DIGEST_HEX];
    BkCounter *swept;
};

static void
wait_again(BkClaimSweep *sweep)
{
    BkMs half = sweep->period / 2;

    BkTimer_Start(sweep->timer,
                  half + BkRng_Below(&sweep->rng, (uint32_t)half + 1));
}

static void
take_delete(const BkPlatReply *reply, void *arg)
{
    BkClaimSweep *sweep = arg;

    if (reply->status == BK_OK) {
        BkCounter_Add(sweep->swept, 1);
    }
    wait_again(sweep);
}

/* checked, so that a claim that takes a row over meanwhile is not lost */
static BkTxn *
collect_old(const BkClaimSweep *sweep, const BkPlatReply *reply)
{
    BkTxn *txn = BkTxn_Create();

    for (int i = 0; i < reply->count; i++) {
        const BkRow *row = &reply->rows[i];
        if (row->age > sweep->retention) {
            BkTxn_Check(txn, CLAIM_TABLE, row->key, row->version);
            BkTxn_Delete(txn, CLAIM_TABLE, row->key);
        }
    }
    return txn;
}

static void
move_on(BkClaimSweep *sweep, const BkPlatReply *reply)
{
    const BkStr end = {NULL, 0};
    BkStr last = end;

    if (reply->more && reply->count > 0) {
        last = reply->rows[reply->count - 1].key;
    }
    size_t len = last.len < sizeof(sweep->after) ? last.len : 0;
    memcpy(sweep->after, len == 0 ? "" : last.ptr, len);
    sweep->after[len] = '\0';
}

static void
take_page(const BkPlatReply *reply, void *arg)
{
    BkClaimSweep *sweep = arg;

    if (reply->status != BK_OK) {
        wait_again(sweep);
        return;
    }
    BkTxn *txn = collect_old(sweep, reply);
    move_on(sweep, reply);
    if (txn->count == 0) {
        wait_again(sweep);
    }
    else {
        BkPlat_Commit(sweep->plat, txn, take_delete, sweep);
    }
    BkTxn_Destroy(txn);
}

static void
read_page(void *arg)
{
    BkClaimSweep *sweep = arg;

    BkPlat_List(sweep->plat, CLAIM_TABLE, BK_STR(""),
                BkStr_FromC(sweep->after), SWEEP_ROWS, take_page, sweep);
}

BkClaimSweep *
BkClaimSweep_Create(BkLoop *loop, BkPlat *plat, BkMs retention)
{
    BkClaimSweep *sweep = BkMem_New(1, sizeof(*sweep));

    sweep->plat = plat;
    sweep->retention = retention;
    sweep->period = retention < SWEEP_PERIOD_MS ? retention : SWEEP_PERIOD_MS;
    sweep->timer = BkTimer_Create(loop, read_page, sweep);
    sweep->swept = BkCounter_Get("bk_claim_sweeps_total", NULL,
                                 "transactions that deleted old claims");
    /* entries start at places of their own */
    BkClaim_MakeNonce(sweep->after);
    sweep->rng =
        BkRng_Make((uint64_t)BkClock_Now() ^ strtoull(sweep->after, NULL, 16));
    wait_again(sweep);
    return sweep;
}

void
BkClaimSweep_Destroy(BkClaimSweep *sweep)
{
    if (sweep != NULL) {
        BkTimer_Destroy(sweep->timer);
        free(sweep);
    }
}
