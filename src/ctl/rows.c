#include "rows.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *
dup_text(const char *text)
{
    return BkStr_Dup(BkStr_FromC(text));
}

static BkStatus
fail_decode(const char *table, const BkCtlRow *row)
{
    return BkErr_Set(BK_EDECODE, "row %s/%s cannot be decoded: %.80s", table,
                     row->key, row->data);
}

/* Parses the row's JSON text; NULL if it is not an object. */
static json_t *
load_object(const BkCtlRow *row)
{
    json_t *object = json_loads(row->data, JSON_REJECT_DUPLICATES, NULL);

    if (!json_is_object(object)) {
        json_decref(object);
        return NULL;
    }
    return object;
}

static void
copy_field(char *out, size_t size, const char *text)
{
    snprintf(out, size, "%s", text);
}

static void
dump_object(json_t *object, BkBuf *out)
{
    char *text = json_dumps(object, JSON_COMPACT);

    BkBuf_Clear(out);
    BkBuf_Append(out, BkStr_FromC(text));
    free(text);
    json_decref(object);
}

BkStatus
BkInForceRow_Decode(BkInForceRow *out, const BkCtlRow *row)
{
    const char *digest;
    const char *signature;
    const char *signer;
    const char *nonce = "";
    const char *name = "";
    const char *note = "";
    const char *by = "";
    json_int_t version;

    *out = (BkInForceRow){.row_version = row->version, .age = row->age};
    if (row->version == 0) {
        return BK_OK;
    }
    json_t *object = load_object(row);
    if (json_unpack(object, "{s:I, s:s, s:s, s:s, s?s, s?s, s?s, s?s}",
                    "version", &version, "digest", &digest, "signature",
                    &signature, "signer", &signer, "nonce", &nonce, "name",
                    &name, "note", &note, "by", &by) != 0 ||
        version < 1) {
        json_decref(object);
        return fail_decode("bundle", row);
    }
    out->version = (uint64_t)version;
    copy_field(out->digest, sizeof(out->digest), digest);
    copy_field(out->signature, sizeof(out->signature), signature);
    copy_field(out->signer, sizeof(out->signer), signer);
    copy_field(out->nonce, sizeof(out->nonce), nonce);
    out->name = dup_text(name);
    out->note = dup_text(note);
    out->by = dup_text(by);
    json_decref(object);
    return BK_OK;
}

void
BkInForceRow_Encode(const BkInForceRow *row, const char *text, BkBuf *out)
{
    json_t *object =
        json_pack("{s:I, s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "version",
                  (json_int_t)row->version, "digest", row->digest, "signature",
                  row->signature, "signer", row->signer, "name", row->name,
                  "note", row->note, "by", row->by, "nonce", row->nonce);

    if (text != NULL) {
        json_object_set_new(object, "text", json_string(text));
    }
    dump_object(object, out);
}

BkStatus
BkAuditRow_Decode(BkAuditRow *out, const BkCtlRow *row)
{
    const char *at;
    const char *by;
    const char *action;
    const char *subject;
    const char *why;
    const char *nonce = "";
    json_int_t version = 0;

    *out = (BkAuditRow){.number = strtoull(row->key, NULL, 16)};
    json_t *object = load_object(row);
    if (json_unpack(object, "{s:s, s:s, s:s, s:s, s:s, s?I, s?s}", "at", &at,
                    "by", &by, "action", &action, "subject", &subject, "why",
                    &why, "version", &version, "nonce", &nonce) != 0) {
        json_decref(object);
        return fail_decode("audit", row);
    }
    copy_field(out->at, sizeof(out->at), at);
    copy_field(out->nonce, sizeof(out->nonce), nonce);
    out->by = dup_text(by);
    out->action = dup_text(action);
    out->subject = dup_text(subject);
    out->why = dup_text(why);
    out->version = (uint64_t)version;
    json_decref(object);
    return BK_OK;
}

void
BkAuditRow_Encode(const BkAuditRow *row, BkBuf *out)
{
    dump_object(json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:s}", "at", row->at,
                          "by", row->by, "action", row->action, "subject",
                          row->subject, "why", row->why, "version",
                          (json_int_t)row->version, "nonce", row->nonce),
                out);
}

BkStatus
BkDrainRow_Decode(BkDrainRow *out, const BkCtlRow *row)
{
    const char *by;
    const char *why;

    *out = (BkDrainRow){.row_version = row->version, .age = row->age};
    if (row->version == 0) {
        return BK_OK;
    }
    json_t *object = load_object(row);
    if (json_unpack(object, "{s:s, s:s}", "by", &by, "why", &why) != 0) {
        json_decref(object);
        return fail_decode("drain", row);
    }
    out->upstream = dup_text(row->key);
    out->by = dup_text(by);
    out->why = dup_text(why);
    json_decref(object);
    return BK_OK;
}

void
BkDrainRow_SetUnreadable(BkDrainRow *out, const BkCtlRow *row)
{
    *out = (BkDrainRow){.row_version = row->version,
                        .age = row->age,
                        .upstream = dup_text(row->key),
                        .by = dup_text("?"),
                        .why = dup_text(BkErr_Last())};
}

void
BkDrainRow_Encode(const BkDrainRow *row, BkBuf *out)
{
    dump_object(json_pack("{s:s, s:s}", "by", row->by, "why", row->why), out);
}

static bool
decode_missing(BkProgressRow *out, const json_t *list)
{
    size_t index;
    json_t *item;

    out->missing = BkMem_New(json_array_size(list), sizeof(char *));
    json_array_foreach(list, index, item)
    {
        if (!json_is_string(item)) {
            return false;
        }
        out->missing[out->missing_count++] = dup_text(json_string_value(item));
    }
    return true;
}

static bool
decode_doubtful(BkProgressRow *out, const json_t *list)
{
    size_t index;
    json_t *item;
    const char *upstream;
    const char *instance;

    out->doubtful = BkMem_New(json_array_size(list), sizeof(BkDoubtfulOrder));
    json_array_foreach(list, index, item)
    {
        if (json_unpack(item, "{s:s, s:s}", "upstream", &upstream, "instance",
                        &instance) != 0) {
            return false;
        }
        out->doubtful[out->doubtful_count++] =
            (BkDoubtfulOrder){dup_text(upstream), dup_text(instance)};
    }
    return true;
}

BkStatus
BkProgressRow_Decode(BkProgressRow *out, const BkCtlRow *row)
{
    json_int_t version;
    json_int_t moves = 0;
    int rolled;
    json_t *missing = NULL;
    json_t *doubtful = NULL;

    *out = (BkProgressRow){.row_version = row->version, .age = row->age};
    if (row->version == 0) {
        return BK_OK;
    }
    json_t *object = load_object(row);
    bool ok = json_unpack(object, "{s:I, s:b, s?o, s?o, s?I}", "version",
                          &version, "rolled", &rolled, "missing", &missing,
                          "doubt", &doubtful, "moves", &moves) == 0;
    if (ok) {
        out->version = (uint64_t)version;
        out->rolled = rolled != 0;
        out->moves = moves;
        ok = decode_missing(out, missing) && decode_doubtful(out, doubtful);
    }
    json_decref(object);
    return ok ? BK_OK : fail_decode("planner", row);
}

BkStatus
BkTermRow_Decode(BkTermRow *out, const BkCtlRow *row)
{
    json_int_t term;
    const char *holder;

    *out = (BkTermRow){.row_version = row->version, .age = row->age};
    if (row->version == 0) {
        return BK_OK;
    }
    json_t *object = load_object(row);
    if (json_unpack(object, "{s:I, s:s}", "term", &term, "holder", &holder) !=
        0) {
        json_decref(object);
        return fail_decode("planner", row);
    }
    out->term = (uint64_t)term;
    out->holder = dup_text(holder);
    json_decref(object);
    return BK_OK;
}

void
BkInForceRow_Clear(BkInForceRow *row)
{
    free(row->name);
    free(row->note);
    free(row->by);
    *row = (BkInForceRow){0};
}

void
BkAuditRow_Clear(BkAuditRow *row)
{
    free(row->by);
    free(row->action);
    free(row->subject);
    free(row->why);
    *row = (BkAuditRow){0};
}

void
BkDrainRow_Clear(BkDrainRow *row)
{
    free(row->upstream);
    free(row->by);
    free(row->why);
    *row = (BkDrainRow){0};
}

void
BkProgressRow_Clear(BkProgressRow *row)
{
    for (int i = 0; i < row->missing_count; i++) {
        free(row->missing[i]);
    }
    for (int i = 0; i < row->doubtful_count; i++) {
        free(row->doubtful[i].upstream);
        free(row->doubtful[i].instance);
    }
    free(row->missing);
    free(row->doubtful);
    *row = (BkProgressRow){0};
}

void
BkTermRow_Clear(BkTermRow *row)
{
    free(row->holder);
    *row = (BkTermRow){0};
}

BkStatus
BkCtl_ReadInForce(BkCtl *ctl, BkInForceRow *out)
{
    BkCtlRow row;
    BkStatus status =
        BkCtl_ReadRow(ctl, BK_STR("bundle"), BK_STR("in-force"), &row);

    *out = (BkInForceRow){0};
    if (status == BK_OK) {
        status = BkInForceRow_Decode(out, &row);
    }
    if (status != BK_OK) {
        BkInForceRow_Clear(out);
    }
    BkCtlRow_Clear(&row);
    return status;
}

BkStatus
BkCtl_ReadDrain(BkCtl *ctl, const char *upstream, BkDrainRow *out)
{
    BkCtlRow row;
    BkStatus status =
        BkCtl_ReadRow(ctl, BK_STR("drain"), BkStr_FromC(upstream), &row);

    *out = (BkDrainRow){0};
    if (status == BK_OK) {
        status = BkDrainRow_Decode(out, &row);
    }
    if (status != BK_OK) {
        BkDrainRow_Clear(out);
    }
    BkCtlRow_Clear(&row);
    return status;
}

BkStatus
BkCtl_ReadProgress(BkCtl *ctl, BkProgressRow *out)
{
    BkCtlRow row;
    BkStatus status =
        BkCtl_ReadRow(ctl, BK_STR("planner"), BK_STR("progress"), &row);

    *out = (BkProgressRow){0};
    if (status == BK_OK) {
        status = BkProgressRow_Decode(out, &row);
    }
    if (status != BK_OK) {
        BkProgressRow_Clear(out);
    }
    BkCtlRow_Clear(&row);
    return status;
}

BkStatus
BkCtl_ReadTerm(BkCtl *ctl, BkTermRow *out)
{
    BkCtlRow row;
    BkStatus status =
        BkCtl_ReadRow(ctl, BK_STR("planner"), BK_STR("term"), &row);

    *out = (BkTermRow){0};
    if (status == BK_OK) {
        status = BkTermRow_Decode(out, &row);
    }
    if (status != BK_OK) {
        BkTermRow_Clear(out);
    }
    BkCtlRow_Clear(&row);
    return status;
}
