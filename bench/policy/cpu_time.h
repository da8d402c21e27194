/*
 * cpu_time - the processor time that this process has used
 */
#ifndef BENCH_POLICY_CPU_TIME_H
#define BENCH_POLICY_CPU_TIME_H

#include <time.h>

/* In seconds, since the process started. */
static inline double
cpu_seconds(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

#endif
