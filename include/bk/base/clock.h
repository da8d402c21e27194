/*
 * clock - the one time type: milliseconds
 *
 * A BkMs is either a point on this process's monotonic clock or a span,
 * never a time of day; points of two processes are never compared.
 * Policies take the time as an argument and never read this clock.
 */
#ifndef BK_BASE_CLOCK_H
#define BK_BASE_CLOCK_H

#include <stdint.h>

typedef int64_t BkMs;

#define BK_MS_NEVER INT64_MAX
#define BK_MS_PER_S ((BkMs)1000)

/* Milliseconds on the steady clock that also counts a suspension. */
BkMs BkClock_Now(void);

/* Milliseconds since 1970, for people only (logs, audit entries). */
BkMs BkClock_Wall(void);

/* Wall time as "2026-01-31T09:15:02.123Z" in buf (25 bytes or more). */
void BkClock_Format(BkMs wall, char *buf, int size);

#endif
