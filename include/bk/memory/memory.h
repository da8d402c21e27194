/*
 * memory - what a daemon does when its memory runs short
 *
 * Pure. Each connection's buffers are bounded, but not their sum: callers who
 * do not read, or send slowly, can make a process exceed the memory of its VM,
 * which ends it together with the requests of all other callers. From a first
 * mark on, less is read ahead for callers who do not keep up, and those who
 * have neither read nor sent for longest are ended. From a second mark on, new
 * requests are rejected too.
 *
 * Units: bytes; times in ms on the monotonic clock.
 */
#ifndef BK_MEMORY_MEMORY_H
#define BK_MEMORY_MEMORY_H

#include <stddef.h>
#include <stdint.h>

#include "bk/base/clock.h"

typedef enum BkMemoryLevel {
    BK_MEMORY_AMPLE,
    BK_MEMORY_SCARCE, /* from the first mark on */
    BK_MEMORY_SPENT   /* from the second mark on */
} BkMemoryLevel;

/* What one connection holds. */
typedef struct BkMemoryHolder {
    int64_t bytes;
    BkMs idle_since; /* when its caller last read or sent */
    void *conn;      /* the connection */
} BkMemoryHolder;

/* limit: memory of the process; used: by connections and requests. */
BkMemoryLevel BkMemory_GetLevel(int64_t limit, int64_t used);

const char *BkMemory_LevelName(BkMemoryLevel level);

/* Bytes that may wait for a caller before its upstream is read no further. */
size_t BkMemory_GetMaxUnsent(BkMemoryLevel level);

/* Chooses which holders to end, so that the first mark is no longer exceeded:
 * those that have been idle for longest, and none that was idle only
 * briefly. Sorts holders so that these come first, and returns how many. */
int BkMemory_ChooseToEnd(int64_t limit, int64_t used, BkMemoryHolder *holders,
                         int count, BkMs now);

#endif
