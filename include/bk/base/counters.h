/*
 * counters - the project's own counters, printed as text exposition
 *
 * A counter is registered once, before the loop runs, and lives as long as
 * the process. Names are like bk_entry_requests_total; labels, if any, are
 * the text between the braces, such as  kind="gossip".
 */
#ifndef BK_BASE_COUNTERS_H
#define BK_BASE_COUNTERS_H

#include <stdint.h>

#include "bk/base/str.h"

typedef struct BkCounter {
    int64_t value;
} BkCounter;

/*
 * The counter of this name and labels (labels may be NULL), made on first
 * use; help is kept from the first call. Never NULL.
 */
BkCounter *BkCounter_Get(const char *name, const char *labels,
                         const char *help);

void BkCounter_Add(BkCounter *counter, int64_t n);

/* For gauges: sets the value. */
void BkCounter_Set(BkCounter *counter, int64_t value);

/* Appends all counters as text exposition, sorted by name and labels. */
void BkCounter_Print(BkBuf *out);

#endif
