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
    /* the monotonic clock stands still while a VM is suspended, and a lease
       or a deadline goes on */
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
    struct tm parts;
    char day[32];

    gmtime_r(&seconds, &parts);
    strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &parts);
    snprintf(buf, (size_t)size, "%s.%03dZ", day, (int)(wall % BK_MS_PER_S));
}
