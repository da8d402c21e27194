/*
 * event - finds the events of a stream (server-sent events)
 */
#ifndef BK_H1_EVENT_H
#define BK_H1_EVENT_H

#include "bk/base/str.h"

/* Returns the length of the first event in data, with the empty line that ends
 * it; 0 if it is not complete. *scanned: bytes of data that an earlier call has
 * searched, 0 at first and after a complete event; only the last two of them
 * are searched again. */
size_t BkEvent_FindEnd(BkStr data, size_t *scanned);

#endif
