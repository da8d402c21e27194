/*
 * clock - time in milliseconds
 *
 * A BkMs is a duration or a point in time on the clock of BkClock_Now. Only
 * the functions below that say so use wall time. Times of BkClock_Now are
 * never compared between processes. Modules that decide (policies) do not read
 * the clock; they get the time as an argument.
 */
#ifndef BK_BASE_CLOCK_H
#define BK_BASE_CLOCK_H

#include <stdint.h>

typedef int64_t BkMs;

#define BK_MS_NEVER INT64_MAX
#define BK_MS_PER_S ((BkMs)1000)

/* The time on the monotonic clock, which also advances while the machine is
 * suspended. */
BkMs BkClock_Now(void);

/* Wall time, in milliseconds since 1970: for logs, audit entries and the start
 * times of processes, not for measuring durations. */
BkMs BkClock_Wall(void);

/* Writes the wall time to buf as "2026-01-31T09:15:02.123Z"; size must be 25
 * or more. */
void BkClock_Format(BkMs wall, char *buf, int size);

#endif
