#include "client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    MAX_RESPONSE_BYTES = 2 * 1024 * 1024,
    MAX_LOOP_WAIT_MS = 100
};

/* The platform call in progress. */
typedef struct PlatformCall {
    bool done;
    BkStatus status;
    BkCtlRows *rows; /* copies of the rows are appended to it; may be NULL */
    BkBuf *body;     /* receives a copy of the body; may be NULL */
} PlatformCall;

static void
copy_rows(const BkPlatReply *reply, BkCtlRows *out)
{
    out->rows = BkMem_Grow(out->rows, (size_t)(out->count + reply->count) + 1,
                           sizeof(BkCtlRow));
    for (int i = 0; i < reply->count; i++) {
        const BkPlatRow *row = &reply->rows[i];
        out->rows[out->count++] = (BkCtlRow){BkStr_Dup(row->key), row->version,
                                             row->age, BkStr_Dup(row->data)};
    }
    BkBuf_Clear(&out->last_key);
    BkBuf_Append(&out->last_key, reply->last_key);
}

static void
on_reply(const BkPlatReply *reply, void *arg)
{
    PlatformCall *call = arg;

    call->done = true;
    call->status = reply->status;
    if (call->rows != NULL) {
        copy_rows(reply, call->rows);
    }
    if (call->body != NULL) {
        BkBuf_Clear(call->body);
        BkBuf_Append(call->body, reply->body);
    }
}

static BkStatus
wait_for_call(BkCtl *ctl, PlatformCall *call)
{
    while (!call->done) {
        BkLoop_RunOnce(ctl->loop, MAX_LOOP_WAIT_MS);
    }
    switch (call->status) {
    case BK_EPLATFORM:
    case BK_ETIMEOUT:
    case BK_ECONNECT:
        return BkErr_Set(BK_EPLATFORM, "the platform at %s does not answer",
                         ctl->conf.platform);
    case BK_EUNKNOWN:
        return BkErr_Set(BK_EUNKNOWN,
                         "the platform at %s sent no complete response; the "
                         "request may have been carried out",
                         ctl->conf.platform);
    case BK_EDECODE:
        return BkErr_Set(BK_EDECODE,
                         "the platform at %s sent a response that cannot be "
                         "decoded",
                         ctl->conf.platform);
    default:
        return call->status;
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
    BkBuf_Destroy(&rows->last_key);
    *rows = (BkCtlRows){0};
}

BkStatus
BkCtl_ReadRow(BkCtl *ctl, BkStr table, BkStr key, BkCtlRow *row)
{
    BkCtlRows rows = {0};
    PlatformCall call = {.rows = &rows};

    *row = (BkCtlRow){0};
    BkPlat_ReadRow(ctl->plat, table, key, on_reply, &call);
    BkStatus status = wait_for_call(ctl, &call);
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
BkCtl_ListRows(BkCtl *ctl, BkStr table, BkStr after, int limit,
               BkCtlRows *rows)
{
    PlatformCall call = {.rows = rows};

    *rows = (BkCtlRows){0};
    BkPlat_ListRows(ctl->plat, table, BK_STR(""), after, limit, on_reply,
                    &call);
    return wait_for_call(ctl, &call);
}

BkStatus
BkCtl_ListAllRows(BkCtl *ctl, BkStr table, BkCtlRows *rows)
{
    BkStatus status;

    *rows = (BkCtlRows){0};
    do {
        PlatformCall call = {.rows = rows};
        BkPlat_ListRows(ctl->plat, table, BK_STR(""),
                        BkBuf_Str(&rows->last_key), BK_CTL_PAGE_ROWS, on_reply,
                        &call);
        status = wait_for_call(ctl, &call);
    } while (status == BK_OK && rows->last_key.len > 0);
    return status;
}

BkStatus
BkCtl_Commit(BkCtl *ctl, const BkTxn *txn)
{
    PlatformCall call = {0};

    BkPlat_Commit(ctl->plat, txn, on_reply, &call);
    return wait_for_call(ctl, &call);
}

BkStatus
BkCtl_PutObject(BkCtl *ctl, const char *name, BkStr body)
{
    PlatformCall call = {0};

    BkPlat_PutObject(ctl->plat, BkStr_FromC(name), body, on_reply, &call);
    return wait_for_call(ctl, &call);
}

BkStatus
BkCtl_GetObject(BkCtl *ctl, const char *name, BkBuf *body)
{
    PlatformCall call = {.body = body};

    BkPlat_GetObject(ctl->plat, BkStr_FromC(name), on_reply, &call);
    return wait_for_call(ctl, &call);
}

/* One of the parallel calls to daemons. */
typedef struct DaemonCall {
    BkCtlResponse *response;
    int *pending; /* number of calls without a response */
} DaemonCall;

static void
on_response(const BkHttpResult *result, BkStr body, void *arg)
{
    DaemonCall *call = arg;

    call->response->status = result->status;
    call->response->http_status =
        result->status == BK_OK ? result->http_status : 0;
    if (result->status == BK_OK && result->http_status != 200) {
        call->response->status = BK_EREFUSED;
    }
    BkBuf_Append(&call->response->body, body);
    (*call->pending)--;
}

static void
init_responses(const char *addresses, BkCtlResponses *responses)
{
    BkStr rest = BkStr_FromC(addresses);

    *responses = (BkCtlResponses){0};
    while (rest.len > 0) {
        BkStr addr = BkStr_Split(&rest, ' ');
        if (addr.len == 0) {
            continue;
        }
        responses->list =
            BkMem_Grow(responses->list, (size_t)responses->count + 1,
                       sizeof(BkCtlResponse));
        responses->list[responses->count++] =
            (BkCtlResponse){.addr = BkStr_Dup(addr),
                            .status = BK_ECONNECT,
                            .body = BkBuf_Make(0)};
    }
}

void
BkCtl_CallDaemons(BkCtl *ctl, const char *addresses, const char *method,
                  const char *path, BkStr body, BkCtlResponses *responses)
{
    static const char *const headers[] = {"Content-Type: application/json",
                                          NULL};
    init_responses(addresses, responses);
    DaemonCall *calls =
        BkMem_New((size_t)responses->count, sizeof(DaemonCall));
    int pending = responses->count;
    BkBuf url = BkBuf_Make(0);

    for (int i = 0; i < responses->count; i++) {
        calls[i] = (DaemonCall){&responses->list[i], &pending};
        BkBuf_Clear(&url);
        BkBuf_Printf(&url, "http://%s%s", responses->list[i].addr, path);
        BkHttpCallSpec spec = {.method = method,
                               .url = BkBuf_C(&url),
                               .headers = body.len > 0 ? headers : NULL,
                               .body = body,
                               .timeout = ctl->conf.daemon_timeout};
        BkHttpClient_Fetch(ctl->http, &spec, MAX_RESPONSE_BYTES, on_response,
                           &calls[i]);
    }
    while (pending > 0) {
        BkLoop_RunOnce(ctl->loop, MAX_LOOP_WAIT_MS);
    }
    BkBuf_Destroy(&url);
    free(calls);
}

void
BkCtlResponses_Clear(BkCtlResponses *responses)
{
    for (int i = 0; i < responses->count; i++) {
        free(responses->list[i].addr);
        BkBuf_Destroy(&responses->list[i].body);
    }
    free(responses->list);
    *responses = (BkCtlResponses){0};
}

void
BkCtl_Sleep(BkCtl *ctl, BkMs duration)
{
    BkMs until = BkClock_Now() + duration;

    for (BkMs now = BkClock_Now(); now < until; now = BkClock_Now()) {
        BkLoop_RunOnce(ctl->loop, until - now);
    }
}
