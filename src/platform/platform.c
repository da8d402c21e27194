#include "bk/platform/platform.h"

#include <stdlib.h>

#include <jansson.h>

#include "bk/base/log.h"
#include "bk/base/utf8.h"

enum {
    MAX_RESPONSE_BYTES = 16 * 1024 * 1024
};

typedef enum CallKind {
    CALL_COMMIT,
    CALL_READ,
    CALL_LIST,
    CALL_PUT_OBJECT,
    CALL_GET_BODY /* an object or the VM list: has no rows */
} CallKind;

typedef struct PendingCall {
    BkPlat *plat;
    BkHttpCall *http_call;
    CallKind kind;
    BkPlatFn fn;
    void *arg;
    struct PendingCall *prev;
    struct PendingCall *next;
} PendingCall;

struct BkPlat {
    BkHttpClient *http;
    char *base;
    BkMs timeout;
    PendingCall *first_pending;
    BkPlatStats stats;
};

BkPlat *
BkPlat_Create(BkHttpClient *http, const char *base, BkMs timeout)
{
    BkPlat *plat = BkMem_New(1, sizeof(*plat));

    plat->http = http;
    plat->base = BkStr_Dup(BkStr_FromC(base));
    plat->timeout = timeout;
    return plat;
}

void
BkPlat_Destroy(BkPlat *plat)
{
    if (plat == NULL) {
        return;
    }
    while (plat->first_pending != NULL) {
        PendingCall *pending = plat->first_pending;
        plat->first_pending = pending->next;
        BkHttpCall_Cancel(pending->http_call);
        free(pending);
    }
    free(plat->base);
    free(plat);
}

static void
remove_pending(PendingCall *pending)
{
    if (pending->prev != NULL) {
        pending->prev->next = pending->next;
    }
    else {
        pending->plat->first_pending = pending->next;
    }
    if (pending->next != NULL) {
        pending->next->prev = pending->prev;
    }
}

static bool
is_write(CallKind kind)
{
    return kind == CALL_COMMIT || kind == CALL_PUT_OBJECT;
}

/* 429 and 503 mean that the call was not carried out. A write without a
   response may have been carried out. */
static BkStatus
call_status(CallKind kind, const BkHttpResult *result)
{
    bool write = is_write(kind);

    if (result->status == BK_ECONNECT) {
        return BK_EPLATFORM;
    }
    if (result->status != BK_OK) {
        return write ? BK_EUNKNOWN : BK_EPLATFORM;
    }
    switch (result->http_status) {
    case 200:
    case 201:
        return BK_OK;
    case 404:
        return write ? BK_EUNKNOWN : BK_ENOTFOUND;
    case 409:
        return kind == CALL_COMMIT ? BK_ECONFLICT : BK_EPLATFORM;
    case 400:
    case 413:
    case 429:
    case 503:
        return BK_EPLATFORM;
    default:
        return write ? BK_EUNKNOWN : BK_EPLATFORM;
    }
}

/* The row's strings point into the JSON value. */
static bool
decode_row(json_t *value, BkPlatRow *row)
{
    const char *table;
    const char *key;
    const char *data = "";
    size_t table_len;
    size_t key_len;
    size_t data_len = 0;
    json_int_t version;
    json_int_t age = 0;

    if (json_unpack(value, "{s:s%, s:s%, s:I, s?I, s?s%}", "t", &table,
                    &table_len, "k", &key, &key_len, "v", &version, "a", &age,
                    "d", &data, &data_len) != 0) {
        return false;
    }
    *row = (BkPlatRow){.table = {table, table_len},
                       .key = {key, key_len},
                       .version = (uint64_t)version,
                       .age = age,
                       .data = {data, data_len}};
    return true;
}

/* A row whose key cannot be read is ignored; data that cannot be read are
   empty, which no reader of rows can decode. */
static BkStatus
decode_row_list(json_t *list, bool repaired, BkPlatReply *reply)
{
    size_t count = json_array_size(list);

    if (!json_is_array(list)) {
        return BK_EDECODE;
    }
    BkPlatRow *rows = BkMem_New(count, sizeof(*rows));
    reply->rows = rows;
    for (size_t i = 0; i < count; i++) {
        json_t *item = json_array_get(list, i);
        BkPlatRow *row = &rows[reply->count];
        if (!decode_row(item, row)) {
            return BK_EDECODE;
        }
        if (repaired && BkUtf8_WasRepaired(json_object_get(item, "d"))) {
            row->data = BK_STR("");
        }
        if (repaired && (BkUtf8_WasRepaired(json_object_get(item, "t")) ||
                         BkUtf8_WasRepaired(json_object_get(item, "k")))) {
            BK_LOG(BK_LOG_WARNING, "platform", NULL,
                   "ignored a row whose key cannot be read");
            continue;
        }
        reply->count++;
    }
    return BK_OK;
}

/* Returns false if the page has no row. */
static bool
find_last_key(const json_t *list, bool repaired, BkBuf *out)
{
    size_t count = json_array_size(list);

    if (count == 0) {
        return false;
    }
    BkUtf8_AppendPlace(
        out, json_object_get(json_array_get(list, count - 1), "k"), repaired);
    return true;
}

static BkStatus
decode_body(CallKind kind, json_t *root, bool repaired, BkBuf *last_key,
            BkPlatReply *reply)
{
    if (kind != CALL_READ) {
        json_t *list = json_object_get(root, "rows");
        BkStatus status = decode_row_list(list, repaired, reply);
        reply->has_more = json_is_true(json_object_get(root, "more"));
        if (status == BK_OK && reply->has_more &&
            !find_last_key(list, repaired, last_key)) {
            status = BK_EDECODE;
        }
        reply->last_key = BkBuf_Str(last_key);
        return status;
    }
    BkPlatRow *row = BkMem_New(1, sizeof(*row));
    reply->rows = row;
    reply->count = 1;
    return !repaired && decode_row(root, row) ? BK_OK : BK_EDECODE;
}

/* A commit whose response cannot be decoded may have been carried out, but the
   rows' versions are not known: BK_EUNKNOWN. */
static void
decode_reply(CallKind kind, BkStr body, json_t *root, bool repaired,
             BkBuf *last_key, BkPlatReply *reply)
{
    BkStatus status = decode_body(kind, root, repaired, last_key, reply);

    if (status != BK_OK) {
        reply->status = is_write(kind) ? BK_EUNKNOWN : BK_EDECODE;
        reply->count = 0;
        reply->has_more = false;
        BkErr_Set(reply->status,
                  "cannot decode the platform's response: "
                  "%.80s",
                  body.len == 0 ? "" : body.ptr);
    }
}

static void
on_response(const BkHttpResult *result, BkStr body, void *arg)
{
    PendingCall pending = *(PendingCall *)arg;
    BkPlatReply reply = {.status = call_status(pending.kind, result)};
    json_t *root = NULL;
    BkBuf last_key = BkBuf_Make(0);

    pending.plat->stats.bytes_out += result->sent_bytes;
    pending.plat->stats.bytes_in += result->received_bytes;
    remove_pending(arg);
    free(arg);
    if (reply.status == BK_OK || reply.status == BK_ECONFLICT) {
        if (pending.kind == CALL_GET_BODY) {
            reply.body = body;
        }
        else if (pending.kind != CALL_PUT_OBJECT) {
            bool repaired;
            root = BkUtf8_LoadJson(body, &repaired);
            decode_reply(pending.kind, body, root, repaired, &last_key,
                         &reply);
        }
    }
    else {
        BkErr_Set(reply.status, "platform call failed: %s, HTTP status %d",
                  BkStatus_Info(result->status)->name, result->http_status);
    }
    pending.fn(&reply, pending.arg);
    free((void *)reply.rows);
    BkBuf_Destroy(&last_key);
    json_decref(root);
}

/* Sends a request; destroys path. */
static void
start_call(BkPlat *plat, CallKind kind, const char *method, BkBuf *path,
           BkStr body, BkPlatFn fn, void *arg)
{
    BkBuf url = BkBuf_Make(0);
    const char *headers[] = {"Content-Type: application/json", NULL};
    PendingCall *pending = BkMem_New(1, sizeof(*pending));

    BkBuf_Printf(&url, "%s%s", plat->base, BkBuf_C(path));
    *pending = (PendingCall){.plat = plat,
                             .kind = kind,
                             .fn = fn,
                             .arg = arg,
                             .next = plat->first_pending};
    if (plat->first_pending != NULL) {
        plat->first_pending->prev = pending;
    }
    plat->first_pending = pending;
    if (is_write(kind)) {
        plat->stats.writes++;
    }
    else {
        plat->stats.reads++;
    }
    BkHttpCallSpec spec = {.method = method,
                           .url = BkBuf_C(&url),
                           .headers = is_write(kind) ? headers : NULL,
                           .body = body,
                           .connect_timeout = plat->timeout,
                           .timeout = plat->timeout,
                           .new_connection = kind == CALL_COMMIT};
    pending->http_call = BkHttpClient_Fetch(
        plat->http, &spec, MAX_RESPONSE_BYTES, on_response, pending);
    BkBuf_Destroy(&url);
    BkBuf_Destroy(path);
}

static json_t *
pack_op(const BkTxnOp *op)
{
    switch (op->kind) {
    case BK_TXN_CHECK:
        return json_pack("{s:s, s:s, s:I}", "t", op->table, "k", op->key, "v",
                         (json_int_t)op->version);
    case BK_TXN_PUT:
        return json_pack("{s:s, s:s, s:s}", "t", op->table, "k", op->key, "d",
                         op->data);
    case BK_TXN_DELETE:
        break;
    }
    return json_pack("{s:s, s:s}", "t", op->table, "k", op->key);
}

void
BkPlat_Commit(BkPlat *plat, const BkTxn *txn, BkPlatFn fn, void *arg)
{
    BkBuf path = BkBuf_Make(0);
    json_t *lists[] = {[BK_TXN_CHECK] = json_array(),
                       [BK_TXN_PUT] = json_array(),
                       [BK_TXN_DELETE] = json_array()};

    for (int i = 0; i < txn->count; i++) {
        json_array_append_new(lists[txn->ops[i].kind], pack_op(&txn->ops[i]));
    }
    json_t *root =
        json_pack("{s:o, s:o, s:o}", "checks", lists[BK_TXN_CHECK], "puts",
                  lists[BK_TXN_PUT], "dels", lists[BK_TXN_DELETE]);
    char *text = json_dumps(root, JSON_COMPACT);
    BkBuf_Printf(&path, "/v1/txn");
    start_call(plat, CALL_COMMIT, "POST", &path, BkStr_FromC(text), fn, arg);
    free(text);
    json_decref(root);
}

void
BkPlat_ReadRow(BkPlat *plat, BkStr table, BkStr key, BkPlatFn fn, void *arg)
{
    BkBuf path = BkBuf_Make(0);

    BkBuf_Printf(&path, "/v1/row?t=");
    BkBuf_AppendUrlPart(&path, table);
    BkBuf_Printf(&path, "&k=");
    BkBuf_AppendUrlPart(&path, key);
    start_call(plat, CALL_READ, "GET", &path, (BkStr){NULL, 0}, fn, arg);
}

void
BkPlat_ListRows(BkPlat *plat, BkStr table, BkStr prefix, BkStr after_key,
                int max_rows, BkPlatFn fn, void *arg)
{
    BkBuf path = BkBuf_Make(0);

    BkBuf_Printf(&path, "/v1/rows?t=");
    BkBuf_AppendUrlPart(&path, table);
    BkBuf_Printf(&path, "&p=");
    BkBuf_AppendUrlPart(&path, prefix);
    BkBuf_Printf(&path, "&after=");
    BkBuf_AppendUrlPart(&path, after_key);
    BkBuf_Printf(&path, "&limit=%d", max_rows);
    start_call(plat, CALL_LIST, "GET", &path, (BkStr){NULL, 0}, fn, arg);
}

void
BkPlat_PutObject(BkPlat *plat, BkStr name, BkStr body, BkPlatFn fn, void *arg)
{
    BkBuf path = BkBuf_Make(0);

    BkBuf_Printf(&path, "/v1/objects/");
    BkBuf_AppendUrlPart(&path, name);
    start_call(plat, CALL_PUT_OBJECT, "PUT", &path, body, fn, arg);
}

void
BkPlat_GetObject(BkPlat *plat, BkStr name, BkPlatFn fn, void *arg)
{
    BkBuf path = BkBuf_Make(0);

    BkBuf_Printf(&path, "/v1/objects/");
    BkBuf_AppendUrlPart(&path, name);
    start_call(plat, CALL_GET_BODY, "GET", &path, (BkStr){NULL, 0}, fn, arg);
}

void
BkPlat_ListVms(BkPlat *plat, BkPlatFn fn, void *arg)
{
    BkBuf path = BkBuf_Make(0);

    BkBuf_Printf(&path, "/v1/vms");
    start_call(plat, CALL_GET_BODY, "GET", &path, (BkStr){NULL, 0}, fn, arg);
}

BkPlatStats
BkPlat_Stats(const BkPlat *plat)
{
    return plat->stats;
}
