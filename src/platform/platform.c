#include "bk/platform/platform.h"

#include <stdlib.h>

#include <jansson.h>

enum {
    MAX_ANSWER = 16 * 1024 * 1024 /* bytes */
};

typedef enum CallKind {
    CALL_COMMIT,
    CALL_READ,
    CALL_LIST,
    CALL_PUT_OBJECT,
    CALL_GET_BODY
} CallKind;

typedef struct Pending {
    BkPlat *plat;
    BkHttpCall *call;
    CallKind kind;
    BkPlatFn fn;
    void *arg;
    struct Pending *prev;
    struct Pending *next;
} Pending;

struct BkPlat {
    BkHttpClient *http;
    char *base;
    BkMs timeout;
    Pending *first;
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
    while (plat->first != NULL) {
        Pending *pending = plat->first;
        plat->first = pending->next;
        BkHttpCall_Cancel(pending->call);
        free(pending);
    }
    free(plat->base);
    free(plat);
}

static void
unlink_pending(Pending *pending)
{
    if (pending->prev != NULL) {
        pending->prev->next = pending->next;
    }
    else {
        pending->plat->first = pending->next;
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

/* 429 and 503 mean not carried out; no answer means that it may have been */
static BkStatus
judge_call(CallKind kind, const BkHttpResult *result)
{
    bool write = is_write(kind);

    if (result->status == BK_ECONNECT) {
        return BK_EPLATFORM;
    }
    if (result->status != BK_OK) {
        return write ? BK_EUNKNOWN : BK_EPLATFORM;
    }
    switch (result->code) {
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

/* data is borrowed from the JSON value */
static bool
read_row(json_t *value, BkRow *row)
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
    *row = (BkRow){.table = {table, table_len},
                   .key = {key, key_len},
                   .version = (uint64_t)version,
                   .age = age,
                   .data = {data, data_len}};
    return true;
}

static BkStatus
read_rows(json_t *list, BkPlatReply *reply)
{
    size_t count = json_array_size(list);

    if (!json_is_array(list)) {
        return BK_EDECODE;
    }
    BkRow *rows = BkMem_New(count, sizeof(*rows));
    reply->rows = rows;
    reply->count = (int)count;
    for (size_t i = 0; i < count; i++) {
        if (!read_row(json_array_get(list, i), &rows[i])) {
            return BK_EDECODE;
        }
    }
    return BK_OK;
}

static BkStatus
decode_answer(CallKind kind, json_t *root, BkPlatReply *reply)
{
    if (kind != CALL_READ) {
        reply->more = json_is_true(json_object_get(root, "more"));
        return read_rows(json_object_get(root, "rows"), reply);
    }
    BkRow *row = BkMem_New(1, sizeof(*row));
    reply->rows = row;
    reply->count = 1;
    return read_row(root, row) ? BK_OK : BK_EDECODE;
}

/* of a commit that was carried out, an answer that cannot be read leaves
   nothing known about its rows */
static void
decode_rows(CallKind kind, BkStr body, json_t *root, BkPlatReply *reply)
{
    BkStatus status = decode_answer(kind, root, reply);

    if (status != BK_OK) {
        reply->status = is_write(kind) ? BK_EUNKNOWN : BK_EDECODE;
        reply->count = 0;
        BkErr_Set(reply->status,
                  "the platform's answer cannot be read: "
                  "%.80s",
                  body.len == 0 ? "" : body.ptr);
    }
}

static void
finish_pending(const BkHttpResult *result, BkStr body, void *arg)
{
    Pending done = *(Pending *)arg;
    BkPlatReply reply = {.status = judge_call(done.kind, result)};
    json_t *root = NULL;

    done.plat->stats.bytes_out += result->sent_bytes;
    done.plat->stats.bytes_in += result->got_bytes;
    unlink_pending(arg);
    free(arg);
    if (reply.status == BK_OK || reply.status == BK_ECONFLICT) {
        if (done.kind == CALL_GET_BODY) {
            reply.body = body;
        }
        else if (done.kind != CALL_PUT_OBJECT) {
            root = json_loadb(body.ptr == NULL ? "" : body.ptr, body.len, 0,
                              NULL);
            decode_rows(done.kind, body, root, &reply);
        }
    }
    else {
        BkErr_Set(reply.status, "platform: %s, HTTP status %d",
                  BkStatus_Info(result->status)->name, result->code);
    }
    done.fn(&reply, done.arg);
    free((void *)reply.rows);
    json_decref(root);
}

static void
start_call(BkPlat *plat, CallKind kind, const char *method, BkBuf *path,
           BkStr body, BkPlatFn fn, void *arg)
{
    BkBuf url = BkBuf_Make(0);
    const char *headers[] = {"Content-Type: application/json", NULL};
    Pending *pending = BkMem_New(1, sizeof(*pending));

    BkBuf_Printf(&url, "%s%s", plat->base, BkBuf_C(path));
    *pending = (Pending){
        .plat = plat, .kind = kind, .fn = fn, .arg = arg, .next = plat->first};
    if (plat->first != NULL) {
        plat->first->prev = pending;
    }
    plat->first = pending;
    if (is_write(kind)) {
        plat->stats.writes++;
    }
    else {
        plat->stats.reads++;
    }
    BkHttpSpec spec = {.method = method,
                       .url = BkBuf_C(&url),
                       .headers = is_write(kind) ? headers : NULL,
                       .body = body,
                       .connect_timeout = plat->timeout,
                       .timeout = plat->timeout,
                       .once = kind == CALL_COMMIT};
    pending->call = BkHttpClient_Fetch(plat->http, &spec, MAX_ANSWER,
                                       finish_pending, pending);
    BkBuf_Destroy(&url);
    BkBuf_Destroy(path);
}

static void
add_escaped(BkBuf *out, BkStr text)
{
    for (size_t i = 0; i < text.len; i++) {
        unsigned char c = (unsigned char)text.ptr[i];
        bool plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                     (c >= 'A' && c <= 'Z') || c == '-' || c == '.' ||
                     c == '_' || c == '~';
        BkBuf_Printf(out, plain ? "%c" : "%%%02X", c);
    }
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
BkPlat_Read(BkPlat *plat, BkStr table, BkStr key, BkPlatFn fn, void *arg)
{
    BkBuf path = BkBuf_Make(0);

    BkBuf_Printf(&path, "/v1/row?t=");
    add_escaped(&path, table);
    BkBuf_Printf(&path, "&k=");
    add_escaped(&path, key);
    start_call(plat, CALL_READ, "GET", &path, (BkStr){NULL, 0}, fn, arg);
}

void
BkPlat_List(BkPlat *plat, BkStr table, BkStr prefix, BkStr after, int limit,
            BkPlatFn fn, void *arg)
{
    BkBuf path = BkBuf_Make(0);

    BkBuf_Printf(&path, "/v1/rows?t=");
    add_escaped(&path, table);
    BkBuf_Printf(&path, "&p=");
    add_escaped(&path, prefix);
    BkBuf_Printf(&path, "&after=");
    add_escaped(&path, after);
    BkBuf_Printf(&path, "&limit=%d", limit);
    start_call(plat, CALL_LIST, "GET", &path, (BkStr){NULL, 0}, fn, arg);
}

void
BkPlat_PutObject(BkPlat *plat, BkStr name, BkStr body, BkPlatFn fn, void *arg)
{
    BkBuf path = BkBuf_Make(0);

    BkBuf_Printf(&path, "/v1/objects/");
    add_escaped(&path, name);
    start_call(plat, CALL_PUT_OBJECT, "PUT", &path, body, fn, arg);
}

void
BkPlat_GetObject(BkPlat *plat, BkStr name, BkPlatFn fn, void *arg)
{
    BkBuf path = BkBuf_Make(0);

    BkBuf_Printf(&path, "/v1/objects/");
    add_escaped(&path, name);
    start_call(plat, CALL_GET_BODY, "GET", &path, (BkStr){NULL, 0}, fn, arg);
}

void
BkPlat_Vms(BkPlat *plat, BkPlatFn fn, void *arg)
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
