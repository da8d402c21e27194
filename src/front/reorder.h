/*
 * reorder - reorder buffer for relayed changes of the reports table
 *
 * The readers send changes in datagrams, which can arrive out of order. A
 * message that starts after a gap is buffered until the messages before it
 * have arrived. If the gap persists, the daemon asks the store instead
 * (FrSync_CatchUp).
 */
#ifndef BK_FRONT_REORDER_H
#define BK_FRONT_REORDER_H

#include <stdbool.h>

#include "bk/base/str.h"
#include "bk/peer/gen/peer_xdr.h"

enum {
    FR_REORDER_MAX_MESSAGES = 128 /* room for a burst, from one reader */
};

typedef struct FrReorder {
    bkp_reports messages[FR_REORDER_MAX_MESSAGES]; /* in order of arrival */
    int count;
    bool overflowed; /* messages were dropped since the last one was taken */
} FrReorder;

/* Makes a copy, to be freed by xdr_free, without the daemons to which the
 * message is to be forwarded. */
void FrReports_Copy(bkp_reports *copy, const bkp_reports *message);

/* Buffers a copy of the message; one without rows, or that is in the buffer
 * already, is ignored. A full buffer drops its oldest message, and logs the
 * first of several. */
void FrReorder_Add(FrReorder *buffer, const bkp_reports *message);

/* Drops messages that end at version or before it, since they contain nothing
 * new. Then removes one message that starts at version or before it, so that
 * no change is missing in between, and returns it in out, to be freed by
 * xdr_free; false if there is none. */
bool FrReorder_Pop(FrReorder *buffer, uint64_t version, bkp_reports *out);
void FrReorder_Clear(FrReorder *buffer);

#endif
