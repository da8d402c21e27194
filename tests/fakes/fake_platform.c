/* fake-platform: table service, object store, VM list, weight store */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake.h"

enum {
    US_PER_MS = 1000,
    MS_PER_S = 1000,
    DEFAULT_LOAD_MS = 20,
    DEFAULT_MAX_LOADS = 1000
};

typedef struct Row {
    char *table;
    char *key;
    char *data;
    json_int_t version;
    BkMs written;
} Row;

typedef struct Object {
    char *name;
    BkBuf body;
} Object;

typedef struct Vm {
    char *name;
    char state[16];
    char next_state[16]; /* the state that is shown from next_state_at on */
    BkMs next_state_at;
} Vm;

static Row *rows; /* sorted by table and key */
static int row_count;
static json_int_t last_version;
static Object *objects;
static int object_count;
static Vm *vms;
static int vm_count;
static double load_budget;
static BkMs budget_updated_at;
static int running_loads;

static int
compare_row(const Row *row, const char *table, const char *key)
{
    int order = strcmp(row->table, table);

    return order != 0 ? order : strcmp(row->key, key);
}

/* the index of the first row that is not sorted before (table, key) */
static int
find_index(const char *table, const char *key)
{
    int low = 0;
    int high = row_count;

    while (low < high) {
        int mid = (low + high) / 2;
        if (compare_row(&rows[mid], table, key) < 0) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return low;
}

static Row *
find_row(const char *table, const char *key)
{
    int index = find_index(table, key);

    if (index < row_count && compare_row(&rows[index], table, key) == 0) {
        return &rows[index];
    }
    return NULL;
}

static json_t *
pack_row(const Row *row)
{
    return json_pack("{s:s, s:s, s:I, s:I, s:s}", "t", row->table, "k",
                     row->key, "v", row->version, "a",
                     (json_int_t)(BkClock_Now() - row->written), "d",
                     row->data);
}

static const char *
op_text(json_t *op, const char *name)
{
    const char *text = json_string_value(json_object_get(op, name));

    return text == NULL ? "" : text;
}

static json_t *
put_row(json_t *op)
{
    const char *table = op_text(op, "t");
    const char *key = op_text(op, "k");
    Row *row = find_row(table, key);

    if (row == NULL) {
        int index = find_index(table, key);
        rows = BkMem_Grow(rows, (size_t)row_count + 1, sizeof(Row));
        memmove(&rows[index + 1], &rows[index],
                sizeof(Row) * (size_t)(row_count - index));
        row_count++;
        row = &rows[index];
        *row = (Row){.table = BkStr_Dup(BkStr_FromC(table)),
                     .key = BkStr_Dup(BkStr_FromC(key))};
    }
    free(row->data);
    row->data = BkStr_Dup(BkStr_FromC(op_text(op, "d")));
    row->version = ++last_version;
    row->written = BkClock_Now();
    return json_pack("{s:s, s:s, s:I}", "t", table, "k", key, "v",
                     row->version);
}

static void
delete_row(json_t *op)
{
    Row *row = find_row(op_text(op, "t"), op_text(op, "k"));

    if (row == NULL) {
        return;
    }
    free(row->table);
    free(row->key);
    free(row->data);
    memmove(row, row + 1, sizeof(Row) * (size_t)(&rows[row_count] - row - 1));
    row_count--;
}

/* the current rows of the checks that fail */
static json_t *
failed_checks(json_t *checks)
{
    json_t *failed = json_array();
    size_t i;
    json_t *op;

    json_array_foreach(checks, i, op)
    {
        Row *row = find_row(op_text(op, "t"), op_text(op, "k"));
        json_int_t version = row == NULL ? 0 : row->version;
        if (version != json_integer_value(json_object_get(op, "v"))) {
            json_array_append_new(
                failed, row != NULL ? pack_row(row)
                                    : json_pack("{s:s, s:s, s:i, s:i, s:s}",
                                                "t", op_text(op, "t"), "k",
                                                op_text(op, "k"), "v", 0, "a",
                                                0, "d", ""));
        }
    }
    return failed;
}

static void
commit(json_t *txn, BkFakeReply *reply)
{
    json_t *failed = failed_checks(json_object_get(txn, "checks"));
    size_t i;
    json_t *op;

    if (json_array_size(failed) > 0) {
        BkFake_Answer(reply, 409,
                      json_pack("{s:b, s:o}", "ok", 0, "rows", failed));
        return;
    }
    json_decref(failed);
    json_t *written = json_array();
    json_array_foreach(json_object_get(txn, "puts"), i, op)
    {
        json_array_append_new(written, put_row(op));
    }
    json_array_foreach(json_object_get(txn, "dels"), i, op)
    {
        delete_row(op);
    }
    BkFake_Journal(json_pack("{s:s, s:O?, s:O?}", "ev", "commit", "puts",
                             json_object_get(txn, "puts"), "dels",
                             json_object_get(txn, "dels")));
    BkFake_Answer(reply, 200,
                  json_pack("{s:b, s:o}", "ok", 1, "rows", written));
}

static void
read_row(BkFakeReq *req, BkFakeReply *reply)
{
    Row *row = find_row(BkFake_Query(req, "t"), BkFake_Query(req, "k"));

    if (row == NULL) {
        BkFake_Answer(reply, 404, json_object());
    }
    else {
        BkFake_Answer(reply, 200, pack_row(row));
    }
}

static void
list_rows(BkFakeReq *req, BkFakeReply *reply)
{
    const char *table = BkFake_Query(req, "t");
    const char *prefix = BkFake_Query(req, "p");
    const char *after = BkFake_Query(req, "after");
    size_t limit = (size_t)strtoul(BkFake_Query(req, "limit"), NULL, 10);
    json_t *list = json_array();
    bool more = false;
    const char *first_key = strcmp(after, prefix) > 0 ? after : prefix;

    for (int i = find_index(table, first_key); i < row_count; i++) {
        if (strcmp(rows[i].table, table) != 0 ||
            strncmp(rows[i].key, prefix, strlen(prefix)) != 0) {
            break;
        }
        if (json_array_size(list) == limit) {
            more = true;
            break;
        }
        if (strcmp(rows[i].key, after) > 0) {
            json_array_append_new(list, pack_row(&rows[i]));
        }
    }
    BkFake_Answer(reply, 200,
                  json_pack("{s:o, s:b}", "rows", list, "more", more));
}

static void
serve_object(BkFakeReq *req, BkFakeReply *reply)
{
    const char *name = req->path + strlen("/v1/objects/");
    int i = 0;

    while (i < object_count && strcmp(objects[i].name, name) != 0) {
        i++;
    }
    if (strcmp(req->method, "GET") == 0) {
        reply->code = i < object_count ? 200 : 404;
        if (i < object_count) {
            BkBuf_Append(&reply->body, BkBuf_Str(&objects[i].body));
        }
        return;
    }
    if (i == object_count) {
        objects =
            BkMem_Grow(objects, (size_t)object_count + 1, sizeof(Object));
        objects[object_count++] =
            (Object){.name = BkStr_Dup(BkStr_FromC(name))};
    }
    BkBuf_Clear(&objects[i].body);
    BkBuf_Append(&objects[i].body, BkBuf_Str(&req->body));
    BkFake_Journal(json_pack("{s:s, s:s}", "ev", "object", "name", name));
    reply->code = 201;
}

static void
list_vms(BkFakeReply *reply)
{
    json_t *list = json_array();

    for (int i = 0; i < vm_count; i++) {
        if (vms[i].next_state_at <= BkClock_Now()) {
            strcpy(vms[i].state, vms[i].next_state);
        }
        if (vms[i].state[0] != '\0' && strcmp(vms[i].state, "gone") != 0) {
            json_array_append_new(list,
                                  json_pack("{s:s, s:s}", "name", vms[i].name,
                                            "state", vms[i].state));
        }
    }
    BkFake_Answer(reply, 200, json_pack("{s:o}", "vms", list));
}

static void
set_vm(const char *name, const char *state)
{
    int i = 0;

    while (i < vm_count && strcmp(vms[i].name, name) != 0) {
        i++;
    }
    if (i == vm_count) {
        vms = BkMem_Grow(vms, (size_t)vm_count + 1, sizeof(Vm));
        vms[vm_count++] = (Vm){.name = BkStr_Dup(BkStr_FromC(name))};
    }
    if (vms[i].next_state_at <= BkClock_Now()) {
        strcpy(vms[i].state, vms[i].next_state);
    }
    snprintf(vms[i].next_state, sizeof(vms[i].next_state), "%s", state);
    vms[i].next_state_at = BkClock_Now() + BkFake_Setting("vms_lag_ms", 0);
}

static void
apply_set(json_t *set)
{
    const char *name;
    json_t *state;

    json_object_foreach(json_object_get(set, "vms"), name, state)
    {
        set_vm(name, json_string_value(state));
        BkFake_Journal(json_pack("{s:s, s:s, s:O}", "ev", "vm", "name", name,
                                 "state", state));
    }
}

/* Limits loads by a token bucket, which holds at most one second's loads, and
   by how many run at once. Releases the lock, which must be held, during a
   load. */
static void
serve_weights(BkFakeReq *req, BkFakeReply *reply)
{
    double loads_per_s =
        (double)BkFake_Setting("weights_per_s", DEFAULT_MAX_LOADS);
    BkMs now = BkClock_Now();
    useconds_t load_us =
        (useconds_t)(BkFake_Setting("weights_ms", DEFAULT_LOAD_MS) *
                     US_PER_MS);

    load_budget += (double)(now - budget_updated_at) * loads_per_s / MS_PER_S;
    load_budget = load_budget > loads_per_s ? loads_per_s : load_budget;
    budget_updated_at = now;
    bool granted =
        load_budget >= 1 &&
        running_loads < BkFake_Setting("weights_at_once", DEFAULT_MAX_LOADS);
    BkFake_Journal(json_pack("{s:s, s:s, s:b}", "ev", "weights", "path",
                             req->path, "taken", granted));
    if (!granted) {
        BkFake_Answer(reply, 429, json_pack("{s:s}", "error", "rate"));
        return;
    }
    load_budget -= 1;
    running_loads++;
    BkFake_Unlock();
    usleep(load_us);
    BkFake_Lock();
    running_loads--;
    BkFake_Answer(reply, 200, json_object());
}

static bool
has_prefix(const BkFakeReq *req, const char *prefix)
{
    return strncmp(req->path, prefix, strlen(prefix)) == 0;
}

static const char *
classify(const BkFakeReq *req)
{
    if (strcmp(req->path, "/v1/txn") == 0) {
        return "txn";
    }
    if (strcmp(req->path, "/v1/row") == 0) {
        return "row";
    }
    if (strcmp(req->path, "/v1/rows") == 0) {
        return "rows";
    }
    if (strcmp(req->path, "/v1/vms") == 0) {
        return "vms";
    }
    if (has_prefix(req, "/v1/objects/")) {
        return "object";
    }
    return has_prefix(req, "/v1/weights/") ? "weights" : NULL;
}

static void
handle(BkFakeReq *req, BkFakeReply *reply)
{
    const char *kind = classify(req);

    BkFake_Lock();
    if (strcmp(kind, "txn") == 0) {
        if (json_is_object(req->json)) {
            commit(req->json, reply);
        }
        else {
            BkFake_Answer(reply, 400, json_object());
        }
    }
    else if (strcmp(kind, "row") == 0) {
        read_row(req, reply);
    }
    else if (strcmp(kind, "rows") == 0) {
        list_rows(req, reply);
    }
    else if (strcmp(kind, "vms") == 0) {
        list_vms(reply);
    }
    else if (strcmp(kind, "object") == 0) {
        serve_object(req, reply);
    }
    else {
        serve_weights(req, reply);
    }
    BkFake_Unlock();
}

int
main(int argc, char **argv)
{
    const BkFakeSpec spec = {classify, handle, apply_set};

    budget_updated_at = BkClock_Now();
    BkFake_Run(BkFake_Option(argc, argv, "--listen", "127.0.0.1:0"), &spec);
}
