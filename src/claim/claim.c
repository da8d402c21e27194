#include "bk/claim/claim.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/bundle/bundle.h"

static const char *const state_names[] = {
    [BK_CLAIM_ABSENT] = "absent",
    [BK_CLAIM_CLAIMED] = "claimed",
    [BK_CLAIM_FREE] = "free",
    [BK_CLAIM_DONE] = "done",
};

BkClaimVerdict
BkClaim_Evaluate(const BkClaimRow *row, const char *nonce,
                 const char *request_digest, BkMs retention)
{
    bool own_nonce = strcmp(row->nonce, nonce) == 0;

    if (row->state == BK_CLAIM_ABSENT || row->state == BK_CLAIM_FREE) {
        return BK_CLAIM_MAY_CLAIM;
    }
    if (own_nonce && row->state == BK_CLAIM_CLAIMED) {
        return BK_CLAIM_OWNED;
    }
    if (row->age > retention) {
        return BK_CLAIM_MAY_CLAIM;
    }
    if (strcmp(row->request_digest, request_digest) != 0) {
        return BK_CLAIM_KEY_REUSED;
    }
    return row->state == BK_CLAIM_DONE ? BK_CLAIM_REPLAY : BK_CLAIM_BUSY;
}

void
BkClaim_MakeNonce(char *hex)
{
    unsigned char bytes[BK_CLAIM_NONCE_BYTES];

    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(hex, sizeof(bytes) * 2 + 1, bytes, sizeof(bytes));
}

/* Hashes each part after its length, so that moving a boundary between parts
 * changes the digest. */
static void
digest_parts(const BkStr *parts, int count, char *hex)
{
    crypto_generichash_state state;
    unsigned char digest[BK_DIGEST_BYTES];

    crypto_generichash_init(&state, NULL, 0, sizeof(digest));
    for (int i = 0; i < count; i++) {
        uint64_t len = parts[i].len;
        crypto_generichash_update(&state, (const unsigned char *)&len,
                                  sizeof(len));
        crypto_generichash_update(
            &state, (const unsigned char *)(len == 0 ? "" : parts[i].ptr),
            len);
    }
    crypto_generichash_final(&state, digest, sizeof(digest));
    sodium_bin2hex(hex, BK_CLAIM_HEX_SIZE, digest, sizeof(digest));
}

void
BkClaim_RowKey(BkStr caller, BkStr key, char *hex)
{
    digest_parts((BkStr[]){caller, key}, 2, hex);
}

void
BkClaim_RequestDigest(BkStr method, BkStr path, BkStr body, char *hex)
{
    digest_parts((BkStr[]){method, path, body}, 3, hex);
}

static void
set_text(json_t *object, const char *name, const char *text)
{
    json_object_set_new(object, name, json_string(text == NULL ? "" : text));
}

/* Stores bytes of an answer as text if they are UTF-8, else in base64, under
   another name. The decoder takes no zero bytes in texts. */
static void
set_bytes(json_t *object, const char *name, const char *base64_name,
          BkStr bytes)
{
    bool has_zero =
        bytes.len > 0 && memchr(bytes.ptr, '\0', bytes.len) != NULL;
    json_t *text =
        has_zero ? NULL
                 : json_stringn(bytes.len == 0 ? "" : bytes.ptr, bytes.len);

    if (text != NULL) {
        json_object_set_new(object, name, text);
        return;
    }
    size_t size =
        sodium_base64_encoded_len(bytes.len, sodium_base64_VARIANT_ORIGINAL);
    char *encoded = BkMem_New(size, 1);
    sodium_bin2base64(encoded, size, (const unsigned char *)bytes.ptr,
                      bytes.len, sodium_base64_VARIANT_ORIGINAL);
    set_text(object, base64_name, encoded);
    free(encoded);
}

void
BkClaim_Encode(const BkClaimRow *row, BkBuf *out)
{
    json_t *object = json_object();

    set_text(object, "state", state_names[row->state]);
    set_text(object, "nonce", row->nonce);
    set_text(object, "request", row->request_digest);
    if (row->state == BK_CLAIM_DONE) {
        json_object_set_new(object, "code", json_integer(row->code));
        set_bytes(object, "type", "type64", BkStr_FromC(row->type));
        if (row->too_large) {
            json_object_set_new(object, "too_large", json_true());
        }
        else {
            set_bytes(object, "body", "body64", BkBuf_Str(&row->body));
        }
    }
    char *text = json_dumps(object, JSON_COMPACT);
    BkBuf_Append(out, BkStr_FromC(text));
    free(text);
    json_decref(object);
}

static int
find_state(const char *name)
{
    for (int i = BK_CLAIM_CLAIMED; i <= BK_CLAIM_DONE; i++) {
        if (name != NULL && strcmp(state_names[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

static BkStatus
get_text(const json_t *object, const char *name, char *out, size_t size)
{
    const char *text = json_string_value(json_object_get(object, name));

    if (text == NULL || strlen(text) != size - 1) {
        return BkErr_Set(BK_EDECODE,
                         "the claim's field \"%s\" is missing or malformed",
                         name);
    }
    memcpy(out, text, size);
    return BK_OK;
}

static BkStatus
get_bytes(const json_t *object, const char *name, const char *base64_name,
          BkBuf *out)
{
    const json_t *text = json_object_get(object, name);
    const char *encoded =
        json_string_value(json_object_get(object, base64_name));

    if (json_is_string(text)) {
        return BkBuf_Append(
            out, (BkStr){json_string_value(text), json_string_length(text)});
    }
    if (encoded == NULL) {
        return BkErr_Set(BK_EDECODE, "the claim's outcome has no %s", name);
    }
    size_t size = strlen(encoded);
    unsigned char *bytes = BkMem_New(size, 1);
    size_t len = 0;
    BkStatus status = BK_OK;
    if (sodium_base642bin(bytes, size, encoded, size, NULL, &len, NULL,
                          sodium_base64_VARIANT_ORIGINAL) != 0) {
        status = BkErr_Set(
            BK_EDECODE, "the claim's field \"%s\" is not base64", base64_name);
    }
    else {
        status = BkBuf_Append(out, (BkStr){(const char *)bytes, len});
    }
    free(bytes);
    return status;
}

static BkStatus
get_outcome(BkClaimRow *row, const json_t *object)
{
    BkBuf type = BkBuf_Make(0);
    BkStatus status = get_bytes(object, "type", "type64", &type);

    row->type = BkStr_Dup(BkBuf_Str(&type));
    BkBuf_Destroy(&type);
    row->code = (int)json_integer_value(json_object_get(object, "code"));
    row->too_large = json_is_true(json_object_get(object, "too_large"));
    if (row->code < 100 || row->code > 999) {
        return BkErr_Set(BK_EDECODE,
                         "the claim's HTTP status is out of range");
    }
    return status != BK_OK || row->too_large
               ? status
               : get_bytes(object, "body", "body64", &row->body);
}

static BkStatus
decode_object(BkClaimRow *row, const json_t *object)
{
    int state =
        find_state(json_string_value(json_object_get(object, "state")));

    if (state < 0) {
        return BkErr_Set(BK_EDECODE,
                         "the claim's state is missing or unknown");
    }
    row->state = (BkClaimState)state;
    BkStatus status =
        get_text(object, "nonce", row->nonce, sizeof(row->nonce));
    if (status == BK_OK) {
        status = get_text(object, "request", row->request_digest,
                          sizeof(row->request_digest));
    }
    if (status == BK_OK && row->state == BK_CLAIM_DONE) {
        status = get_outcome(row, object);
    }
    return status;
}

BkStatus
BkClaim_Decode(BkClaimRow *row, BkStr json, uint64_t version)
{
    *row = (BkClaimRow){.version = version};
    row->body = BkBuf_Make(0);
    if (version == 0) {
        return BK_OK;
    }
    json_t *object = json_loadb(json.len == 0 ? "" : json.ptr, json.len,
                                JSON_REJECT_DUPLICATES, NULL);
    if (object == NULL) {
        return BkErr_Set(BK_EDECODE, "the claim is not JSON");
    }
    BkStatus status = decode_object(row, object);
    json_decref(object);
    if (status != BK_OK) {
        BkClaim_Clear(row);
    }
    return status;
}

void
BkClaim_Clear(BkClaimRow *row)
{
    free(row->type);
    row->type = NULL;
    BkBuf_Destroy(&row->body);
    row->state = BK_CLAIM_ABSENT;
}
