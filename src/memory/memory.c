#include "bk/memory/memory.h"

#include <stdlib.h>

enum {
    MAX_UNSENT = 64 * 1024,       /* bytes */
    MAX_UNSENT_SCARCE = 8 * 1024, /* bytes */
    /* ms without progress before a connection is ended; the first is longer
       than the pauses of callers and links that work */
    MIN_IDLE_SCARCE = 1000,
    MIN_IDLE_SPENT = 200
};

/* The marks, as shares of the memory. What is not counted needs the rest: the
   tables, the allocator, and what the kernel has received. */
static const double scarce_share = 0.3;
static const double spent_share = 0.6;

static int64_t
get_first_mark(int64_t limit)
{
    return (int64_t)((double)limit * scarce_share);
}

BkMemoryLevel
BkMemory_GetLevel(int64_t limit, int64_t used)
{
    if (used > (int64_t)((double)limit * spent_share)) {
        return BK_MEMORY_SPENT;
    }
    return used > get_first_mark(limit) ? BK_MEMORY_SCARCE : BK_MEMORY_AMPLE;
}

const char *
BkMemory_LevelName(BkMemoryLevel level)
{
    static const char *const names[] = {"ample", "scarce", "spent"};

    return names[level];
}

size_t
BkMemory_GetMaxUnsent(BkMemoryLevel level)
{
    return level == BK_MEMORY_AMPLE ? MAX_UNSENT : MAX_UNSENT_SCARCE;
}

static int
compare_idle(const void *a, const void *b)
{
    const BkMemoryHolder *left = a;
    const BkMemoryHolder *right = b;

    return (left->idle_since > right->idle_since) -
           (left->idle_since < right->idle_since);
}

int
BkMemory_ChooseToEnd(int64_t limit, int64_t used, BkMemoryHolder *holders,
                     int count, BkMs now)
{
    int64_t excess = used - get_first_mark(limit);
    BkMs min_idle = BkMemory_GetLevel(limit, used) == BK_MEMORY_SPENT
                        ? MIN_IDLE_SPENT
                        : MIN_IDLE_SCARCE;
    int chosen = 0;

    qsort(holders, (size_t)count, sizeof(*holders), compare_idle);
    while (chosen < count && excess > 0 &&
           now - holders[chosen].idle_since >= min_idle) {
        excess -= holders[chosen].bytes;
        chosen++;
    }
    return chosen;
}
