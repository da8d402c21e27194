#include "bk/entry/ticket.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum {
    TICKET_MAX_BYTES = 1024,
    FIELD_COUNT = 8
};

#define TICKET_FORMAT "1"

BkStatus
BkTicket_DeriveKey(const char *secret, unsigned char *key)
{
    static const char purpose[] = "burdockkeel resume ticket";
    unsigned char secret_bytes[BK_TICKET_KEY_BYTES];
    size_t len = 0;

    if (secret == NULL || strlen(secret) != sizeof(secret_bytes) * 2 ||
        sodium_hex2bin(secret_bytes, sizeof(secret_bytes), secret,
                       strlen(secret), NULL, &len, NULL) != 0 ||
        len != sizeof(secret_bytes)) {
        return BkErr_Set(BK_ECONFIG,
                         "[daemon] secret: expected 64 hex digits");
    }
    crypto_generichash(key, BK_TICKET_KEY_BYTES,
                       (const unsigned char *)purpose, sizeof(purpose),
                       secret_bytes, sizeof(secret_bytes));
    return BK_OK;
}

void
BkTicket_Seal(const BkTicket *ticket, const unsigned char *key, BkBuf *out)
{
    BkBuf plaintext = BkBuf_Make(0);
    unsigned char sealed[TICKET_MAX_BYTES];
    unsigned char *ciphertext = sealed + crypto_secretbox_NONCEBYTES;
    char text[sodium_base64_ENCODED_LEN(
        TICKET_MAX_BYTES, sodium_base64_VARIANT_URLSAFE_NO_PADDING)];

    BkBuf_Printf(&plaintext, "%s\n%s\n%s\n%s\n%s\n%u\n%u\n%u", TICKET_FORMAT,
                 ticket->request_id, ticket->caller, ticket->item,
                 ticket->issuer_ops_address, ticket->upstream_name_hash,
                 ticket->boot, ticket->attempt);
    randombytes_buf(sealed, crypto_secretbox_NONCEBYTES);
    crypto_secretbox_easy(ciphertext, (const unsigned char *)plaintext.ptr,
                          plaintext.len, sealed, key);
    size_t len = crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES +
                 plaintext.len;
    sodium_bin2base64(text, sizeof(text), sealed, len,
                      sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    BkBuf_Append(out, BkStr_FromC(text));
    BkBuf_Destroy(&plaintext);
}

static BkStatus
refuse_ticket(void)
{
    return BkErr_Set(BK_ETICKET, "the resume ticket is not valid");
}

static bool
copy_name(BkStr field, char *out)
{
    if (field.len > BK_TICKET_MAX_NAME) {
        return false;
    }
    memcpy(out, field.len == 0 ? "" : field.ptr, field.len);
    out[field.len] = '\0';
    return true;
}

static bool
parse_number(BkStr field, uint32_t *out)
{
    uint64_t value = 0;

    if (BkStr_ToU64(field, &value) != BK_OK || value > UINT32_MAX) {
        return false;
    }
    *out = (uint32_t)value;
    return true;
}

static BkStatus
parse_fields(BkTicket *out, BkStr plaintext)
{
    BkStr fields[FIELD_COUNT];
    int count = 0;

    while (plaintext.len > 0 && count < FIELD_COUNT) {
        fields[count++] = BkStr_Split(&plaintext, '\n');
    }
    if (count != FIELD_COUNT ||
        !BkStr_Equal(fields[0], BK_STR(TICKET_FORMAT)) ||
        !copy_name(fields[1], out->request_id) ||
        !copy_name(fields[2], out->caller) ||
        !copy_name(fields[3], out->item) ||
        !copy_name(fields[4], out->issuer_ops_address) ||
        !parse_number(fields[5], &out->upstream_name_hash) ||
        !parse_number(fields[6], &out->boot) ||
        !parse_number(fields[7], &out->attempt)) {
        return refuse_ticket();
    }
    return BK_OK;
}

BkStatus
BkTicket_Open(BkTicket *out, BkStr text, const unsigned char *key)
{
    unsigned char sealed[TICKET_MAX_BYTES];
    unsigned char plaintext[TICKET_MAX_BYTES];
    size_t overhead = crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES;
    size_t len = 0;

    if (text.len == 0 ||
        sodium_base642bin(sealed, sizeof(sealed), text.ptr, text.len, NULL,
                          &len, NULL,
                          sodium_base64_VARIANT_URLSAFE_NO_PADDING) != 0 ||
        len <= overhead) {
        return refuse_ticket();
    }
    if (crypto_secretbox_open_easy(
            plaintext, sealed + crypto_secretbox_NONCEBYTES,
            len - crypto_secretbox_NONCEBYTES, sealed, key) != 0) {
        return refuse_ticket();
    }
    return parse_fields(out, (BkStr){(char *)plaintext, len - overhead});
}
