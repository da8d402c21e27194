#include "bk/base/clock.h"

#include <stdio.h>
#include <time.h>

enum {
    NS_PER_MS = 1000000
};

static BkMs
read_clock(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (BkMs)ts.tv_sec * BK_MS_PER_S + (BkMs)(ts.tv_nsec / NS_PER_MS);
}

BkMs
BkClock_Now(void)
{
    /* CLOCK_MONOTONIC stops while a VM is suspended, but leases and deadlines
       continue to run */
    return read_clock(CLOCK_BOOTTIME);
}

BkMs
BkClock_Wall(void)
{
    return read_clock(CLOCK_REALTIME);
}

void
BkClock_Format(BkMs wall, char *buf, int size)
{
    time_t seconds = (time_t)(wall / BK_MS_PER_S);
    struct tm utc;
    char date_and_time[32];

    gmtime_r(&seconds, &utc);
    strftime(date_and_time, sizeof(date_and_time), "%Y-%m-%dT%H:%M:%S", &utc);
    snprintf(buf, (size_t)size, "%s.%03dZ", date_and_time,
             (int)(wall % BK_MS_PER_S));
}
