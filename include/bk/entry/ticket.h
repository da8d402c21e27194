/*
 * ticket - what lets any bk-entry go on with a stream of another one
 *
 * A ticket is sealed with a key derived from the daemons' shared secret, so
 * that callers can neither read nor make one. It holds no time: it is as
 * good as the stream that the upstream still keeps.
 */
#ifndef BK_ENTRY_TICKET_H
#define BK_ENTRY_TICKET_H

#include <stdint.h>

#include "bk/base/str.h"

#define BK_TICKET_NAME 128
#define BK_TICKET_KEY_BYTES 32

typedef struct BkTicket {
    char request[BK_TICKET_NAME + 1];
    char caller[BK_TICKET_NAME + 1];
    char item[BK_TICKET_NAME + 1];
    char entry[BK_TICKET_NAME + 1]; /* operators' port of the issuer */
    uint32_t upstream;              /* BkBundle_Key */
    uint32_t boot;                  /* of the upstream */
    uint32_t attempt;
} BkTicket;

/* ERRORS: BK_ECONFIG unless secret is 64 hex digits. */
BkStatus BkTicket_DeriveKey(const char *secret, unsigned char *key);

/* Appends the ticket as text for a header field. */
void BkTicket_Seal(const BkTicket *ticket, const unsigned char *key,
                   BkBuf *out);

/* ERRORS: BK_ETICKET. */
BkStatus BkTicket_Open(BkTicket *out, BkStr text, const unsigned char *key);

#endif
