#include <jansson.h>
#include <stdlib.h>

#include "bk/base/log.h"
#include "bk/daemon/internal.h"

/*
 * Obtains the epoch of this start: reads the row session/NAME, then writes it
 * with an epoch higher by one, in a transaction that checks the row's version.
 * After any failure it starts again.
 */

enum {
    RETRY_MS = 1000 /* plus a random 0 to RETRY_MS */
};

struct BkSession {
    BkDaemon *daemon;
    BkTimer *timer;
    uint64_t epoch_to_write; /* by the transaction in flight */
};

static void read_row(void *arg);

static void
retry_later(BkSession *session)
{
    BkMs jitter = (BkMs)BkRng_Below(&session->daemon->rng, RETRY_MS);

    BkTimer_Start(session->timer, RETRY_MS + jitter);
}

static void
on_commit_result(const BkPlatReply *reply, void *arg)
{
    BkSession *session = arg;

    if (reply->status != BK_OK) {
        /* a write that was carried out although its response was lost only
           leaves a gap in the epochs */
        retry_later(session);
        return;
    }
    session->daemon->epoch = session->epoch_to_write;
    BK_LOG(BK_LOG_NOTICE, "daemon", NULL, "this start has epoch %llu",
           (unsigned long long)session->epoch_to_write);
}

/* The epoch in the row; 0 if there is no row. */
static uint64_t
parse_epoch(const BkPlatReply *reply)
{
    if (reply->count == 0) {
        return 0;
    }
    json_t *row =
        json_loadb(reply->rows[0].data.ptr, reply->rows[0].data.len, 0, NULL);
    uint64_t epoch =
        (uint64_t)json_integer_value(json_object_get(row, "epoch"));
    json_decref(row);
    return epoch;
}

static void
on_row_read(const BkPlatReply *reply, void *arg)
{
    BkSession *session = arg;
    BkDaemon *daemon = session->daemon;
    BkBuf data = BkBuf_Make(0);

    if (reply->status != BK_OK && reply->status != BK_ENOTFOUND) {
        retry_later(session);
        return;
    }
    uint64_t version = reply->count == 0 ? 0 : reply->rows[0].version;
    BkStr key = BkStr_FromC(daemon->conf->name);
    BkTxn *txn = BkTxn_Create();
    session->epoch_to_write = parse_epoch(reply) + 1;
    BkBuf_Printf(&data, "{\"epoch\":%llu}",
                 (unsigned long long)session->epoch_to_write);
    BkTxn_Check(txn, BK_STR("session"), key, version);
    BkTxn_Put(txn, BK_STR("session"), key, BkBuf_Str(&data));
    BkPlat_Commit(daemon->plat, txn, on_commit_result, session);
    BkTxn_Destroy(txn);
    BkBuf_Destroy(&data);
}

static void
read_row(void *arg)
{
    BkSession *session = arg;

    BkPlat_ReadRow(session->daemon->plat, BK_STR("session"),
                   BkStr_FromC(session->daemon->conf->name), on_row_read,
                   session);
}

BkSession *
BkSession_Create(BkDaemon *daemon)
{
    BkSession *session = BkMem_New(1, sizeof(*session));

    session->daemon = daemon;
    session->timer = BkTimer_Create(daemon->loop, read_row, session);
    BkTimer_Start(session->timer, 0);
    return session;
}

void
BkSession_Destroy(BkSession *session)
{
    if (session == NULL) {
        return;
    }
    BkTimer_Destroy(session->timer);
    free(session);
}
