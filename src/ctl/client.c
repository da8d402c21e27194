#include "client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    MAX_ANSWER = 2 * 1024 * 1024,
    MAX_ROUND = 100 /* ms */
};

/* A platform call that is waited for. */
typedef struct Waiting {
    bool done;
    BkStatus status;
    BkCtlRows *rows; /* copies of the rows go here, may be NULL */
    BkBuf *body;     /* copy of the body, may be NULL */
} Waiting;

static void
copy_rows(const BkPlatReply *reply, BkCtlRows *out)
{
    out->rows = BkMem_New((size_t)reply->count, sizeof(BkCtlRow));
    out->count = reply->count;
    out->more = reply->has_more;
    for (int i = 0; i < reply->count; i++) {
        const BkPlatRow *row = &reply->rows[i];
        out->rows[i] = (BkCtlRow){BkStr_Dup(row->key), row->version, row->age,
                                  BkStr_Dup(row->data)};
    }
}

static void
take_reply(const BkPlatReply *reply, void *arg)
{
    Waiting *waiting = arg;

    waiting->done = true;
    waiting->status = reply->status;
    if (waiting->rows != NULL) {
        copy_rows(reply, waiting->rows);
    }
    if (waiting->body != NULL) {
        BkBuf_Clear(waiting->body);
        BkBuf_Append(waiting->body, reply->body);
    }
}

static BkStatus
wait_for(BkCtl *ctl, Waiting *waiting)
{
    while (!waiting->done) {
        BkLoop_Round(ctl->loop, MAX_ROUND);
    }
    switch (waiting->status) {
    case BK_EPLATFORM:
    case BK_ETIMEOUT:
    case BK_ECONNECT:
        return BkErr_Set(BK_EPLATFORM, "the platform at %s does not answer",
                         ctl->conf.platform);
    case BK_EUNKNOWN:
        return BkErr_Set(BK_EUNKNOWN, "the platform at %s gave no answer",
                         ctl->conf.platform);
    case BK_EDECODE:
        return BkErr_Set(BK_EDECODE,
                         "the platform at %s sent what is not understood",
                         ctl->conf.platform);
    default:
        return waiting->status;
    }
}

void
BkCtlRow_Clear(BkCtlRow *row)
{
    free(row->key);
    free(row->data);
    *row = (BkCtlRow){0};
}

void
BkCtlRows_Clear(BkCtlRows *rows)
{
    for (int i = 0; i < rows->count; i++) {
        BkCtlRow_Clear(&rows->rows[i]);
    }
    free(rows->rows);
    *rows = (BkCtlRows){0};
}

BkStatus
BkCtl_Read(BkCtl *ctl, BkStr table, BkStr key, BkCtlRow *row)
{
    BkCtlRows rows = {0};
    Waiting waiting = {.rows = &rows};

    *row = (BkCtlRow){0};
    BkPlat_ReadRow(ctl->plat, table, key, take_reply, &waiting);
    BkStatus status = wait_for(ctl, &waiting);
    if (status == BK_ENOTFOUND) {
        status = BK_OK;
    }
    else if (status == BK_OK && rows.count == 1) {
        *row = rows.rows[0];
        rows.count = 0;
    }
    BkCtlRows_Clear(&rows);
    return status;
}

BkStatus
BkCtl_List(BkCtl *ctl, BkStr table, BkStr after, int limit, BkCtlRows *rows)
{
    Waiting waiting = {.rows = rows};

    *rows = (BkCtlRows){0};
    BkPlat_ListRows(ctl->plat, table, BK_STR(""), after, limit, take_reply,
                    &waiting);
    return wait_for(ctl, &waiting);
}

BkStatus
BkCtl_Commit(BkCtl *ctl, const BkTxn *txn)
{
    Waiting waiting = {0};

    BkPlat_Commit(ctl->plat, txn, take_reply, &waiting);
    return wait_for(ctl, &waiting);
}

BkStatus
BkCtl_PutObject(BkCtl *ctl, const char *name, BkStr body)
{
    Waiting waiting = {0};

    BkPlat_PutObject(ctl->plat, BkStr_FromC(name), body, take_reply, &waiting);
    return wait_for(ctl, &waiting);
}

BkStatus
BkCtl_GetObject(BkCtl *ctl, const char *name, BkBuf *body)
{
    Waiting waiting = {.body = body};

    BkPlat_GetObject(ctl->plat, BkStr_FromC(name), take_reply, &waiting);
    return wait_for(ctl, &waiting);
}

/* One of several calls to daemons under way. */
typedef struct Asking {
    BkCtlAnswer *answer;
    int *left; /* calls without an answer */
} Asking;

static void
take_answer(const BkHttpResult *result, BkStr body, void *arg)
{
    Asking *asking = arg;

    asking->answer->status = result->status;
    if (result->status == BK_OK && result->code != 200) {
        asking->answer->status = BK_EREFUSED;
    }
    BkBuf_Append(&asking->answer->body, body);
    (*asking->left)--;
}

static void
list_daemons(const BkCtl *ctl, BkCtlAnswers *answers)
{
    BkStr rest = BkStr_FromC(ctl->conf.daemons);

    *answers = (BkCtlAnswers){0};
    while (rest.len > 0) {
        BkStr addr = BkStr_Split(&rest, ' ');
        if (addr.len == 0) {
            continue;
        }
        answers->list = BkMem_Grow(answers->list, (size_t)answers->count + 1,
                                   sizeof(BkCtlAnswer));
        answers->list[answers->count++] =
            (BkCtlAnswer){BkStr_Dup(addr), BK_ECONNECT, BkBuf_Make(0)};
    }
}

void
BkCtl_AskDaemons(BkCtl *ctl, const char *method, const char *path, BkStr body,
                 BkCtlAnswers *answers)
{
    static const char *const headers[] = {"Content-Type: application/json",
                                          NULL};
    list_daemons(ctl, answers);
    Asking *asking = BkMem_New((size_t)answers->count, sizeof(Asking));
    int left = answers->count;
    BkBuf url = BkBuf_Make(0);

    for (int i = 0; i < answers->count; i++) {
        asking[i] = (Asking){&answers->list[i], &left};
        BkBuf_Clear(&url);
        BkBuf_Printf(&url, "http://%s%s", answers->list[i].addr, path);
        BkHttpSpec spec = {.method = method,
                           .url = BkBuf_C(&url),
                           .headers = body.len > 0 ? headers : NULL,
                           .body = body,
                           .timeout = ctl->conf.daemon_timeout};
        BkHttpClient_Fetch(ctl->http, &spec, MAX_ANSWER, take_answer,
                           &asking[i]);
    }
    while (left > 0) {
        BkLoop_Round(ctl->loop, MAX_ROUND);
    }
    BkBuf_Destroy(&url);
    free(asking);
}

void
BkCtlAnswers_Clear(BkCtlAnswers *answers)
{
    for (int i = 0; i < answers->count; i++) {
        free(answers->list[i].addr);
        BkBuf_Destroy(&answers->list[i].body);
    }
    free(answers->list);
    *answers = (BkCtlAnswers){0};
}

void
BkCtl_Sleep(BkCtl *ctl, BkMs span)
{
    BkMs until = BkClock_Now() + span;

    for (BkMs now = BkClock_Now(); now < until; now = BkClock_Now()) {
        BkLoop_Round(ctl->loop, until - now);
    }
}
