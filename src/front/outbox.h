/*
 * outbox - messages that a reader of the store has yet to send
 *
 * A reply of the store may bring hundreds of changes at once. If they were
 * sent at once, the reader's link would be full, and datagrams would be lost.
 */
#ifndef BK_FRONT_OUTBOX_H
#define BK_FRONT_OUTBOX_H

#include <stdbool.h>

#include "bk/peer/gen/peer_xdr.h"

enum {
    FR_OUTBOX_MAX_MESSAGES = 512
};

typedef struct FrOutbox {
    bkp_reports messages[FR_OUTBOX_MAX_MESSAGES]; /* a ring */
    int first;
    int count;
} FrOutbox;

/* Appends a copy of the message. Returns false if there is no room for it. */
bool FrOutbox_Add(FrOutbox *outbox, const bkp_reports *message);

/* Removes the oldest message and returns it in out, to be freed by xdr_free;
 * false if there is none. */
bool FrOutbox_Pop(FrOutbox *outbox, bkp_reports *out);

/* The oldest message; NULL if there is none. */
const bkp_reports *FrOutbox_First(const FrOutbox *outbox);
void FrOutbox_Clear(FrOutbox *outbox);

#endif
