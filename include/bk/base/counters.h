/*
 * counters - counters and gauges of this process, printed in the Prometheus
 * text format
 *
 * A counter is registered on first use and lives as long as the process.
 * Names are like bk_entry_requests_total; labels, if any, are the text between
 * the braces, such as  kind="gossip".
 */
#ifndef BK_BASE_COUNTERS_H
#define BK_BASE_COUNTERS_H

#include <stdint.h>

#include "bk/base/str.h"

typedef struct BkCounter {
    int64_t value;
} BkCounter;

/*
 * Returns the counter with this name and these labels (labels may be NULL),
 * never NULL. The first call creates it; the help text of that call is kept.
 */
BkCounter *BkCounter_Get(const char *name, const char *labels,
                         const char *help);

void BkCounter_Add(BkCounter *counter, int64_t n);

/* Sets the value of a gauge. */
void BkCounter_Set(BkCounter *counter, int64_t value);

/* Appends all counters in the Prometheus text format, sorted by name and
 * labels. */
void BkCounter_Print(BkBuf *out);

#endif
