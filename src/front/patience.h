/*
 * patience - how long a call to the store may take
 *
 * A call that gets no answer is given up early, so that it can be repeated. A
 * store that answers all calls late would never be heard this way: each call
 * that times out doubles the time of the next ones, up to a limit, and an
 * answer in the shortest time ends that.
 */
#ifndef BK_FRONT_PATIENCE_H
#define BK_FRONT_PATIENCE_H

#include <stdbool.h>

#include "bk/base/clock.h"

typedef struct FrPatience {
    BkMs shortest; /* timeout of a call while the store answers in time */
    BkMs longest;
    BkMs timeout; /* of the call under way, or the next one */
    BkMs called_at;
} FrPatience;

FrPatience FrPatience_Make(BkMs shortest, BkMs longest);

/* Returns the timeout of the call that begins now. */
BkMs FrPatience_Begin(FrPatience *patience, BkMs now);

/* The call was answered, or failed. */
void FrPatience_End(FrPatience *patience, bool answered, BkMs now);

#endif
