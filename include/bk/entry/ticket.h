/*
 * ticket - lets a caller resume a stream at any bk-entry
 *
 * A ticket is encrypted and authenticated with a key derived from the daemons'
 * shared secret, so callers can neither read nor forge one. It has no
 * expiration time: it is valid as long as the upstream keeps the stream.
 */
#ifndef BK_ENTRY_TICKET_H
#define BK_ENTRY_TICKET_H

#include <stdint.h>

#include "bk/base/str.h"

#define BK_TICKET_MAX_NAME 128
#define BK_TICKET_KEY_BYTES 32

typedef struct BkTicket {
    char request_id[BK_TICKET_MAX_NAME + 1];
    char caller[BK_TICKET_MAX_NAME + 1];
    char item[BK_TICKET_MAX_NAME + 1];
    /* "ip:port" of the HTTP port for operators of the issuer */
    char issuer_ops_address[BK_TICKET_MAX_NAME + 1];
    uint32_t upstream_name_hash; /* BkBundle_NameHash */
    uint32_t boot;    /* boot id of the upstream; changes when it restarts */
    uint32_t attempt; /* number of the issuer's last attempt */
} BkTicket;

/* Derives the ticket key, BK_TICKET_KEY_BYTES, from the daemons' secret.
 * ERRORS: BK_ECONFIG unless secret is 64 hex digits. */
BkStatus BkTicket_DeriveKey(const char *secret, unsigned char *key);

/* Appends the encrypted ticket as text for a header field. */
void BkTicket_Seal(const BkTicket *ticket, const unsigned char *key,
                   BkBuf *out);

/* Decrypts and parses a ticket. ERRORS: BK_ETICKET. */
BkStatus BkTicket_Open(BkTicket *out, BkStr text, const unsigned char *key);

#endif
