/*
 * event - finds the events of a stream (server-sent events)
 *
 * Lines end with LF, CR or CR LF, also mixed.
 */
#ifndef BK_H1_EVENT_H
#define BK_H1_EVENT_H

#include "bk/base/str.h"

/* Returns the length of the first event in data, with the empty line that ends
 * it; 0 if it is not complete. *scanned: bytes of data that an earlier call has
 * searched, 0 at first and after a complete event; only the last two of them
 * are searched again. */
size_t BkEvent_FindEnd(BkStr data, size_t *scanned);

/* Whether data is nothing but the end of one line: after an event, it belongs
 * to none. */
bool BkEvent_IsEmptyLine(BkStr data);

/* The fields of one event, as the HTML standard reads them (9.2.6). */
typedef struct BkEventFields {
    /* it has a field besides comments, "id", and "event" and "retry", which
       dispatch nothing by themselves */
    bool has_content;
    bool has_id;
    BkStr id; /* the last one of the event; a view */
} BkEventFields;

/* Reads an event with the empty line that ends it. A line "id" whose value
 * holds a zero byte is ignored. */
BkEventFields BkEvent_ReadFields(BkStr event);

#endif
