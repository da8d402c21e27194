/*
 * throttle - how fast requests may go to an upstream that asks for less
 *
 * Pure. An upstream in need says so in its responses, in two ways:
 *
 * rate limit: the requests a second that it takes from all VMs together, for
 * as long as its responses say so. The upstream's coordinator (bk-front's
 * admission.h) counts the requests of all VMs in a token bucket; a response
 * without a limit ends it. What was said last counts, whoever received it, so
 * that each note bears the time at which the response came.
 *
 * hold-off: a refusal that names the time in which the upstream wants nothing
 * from this VM. It binds this VM alone, and ends with that time or with the
 * process.
 *
 * Units: times in ms on the monotonic clock, limits in requests a second.
 */
#ifndef BK_THROTTLE_THROTTLE_H
#define BK_THROTTLE_THROTTLE_H

#include <stdbool.h>

#include "bk/base/clock.h"

typedef struct BkThrottle {
    double limit;       /* requests a second; negative: none */
    BkMs limit_seen_at; /* when a response last said so */
    double tokens;      /* requests that may be sent at filled_at */
    BkMs filled_at;
    BkMs held_until; /* end of the hold-off; 0: none */
} BkThrottle;

/* The state of an upstream that has said nothing. */
BkThrottle BkThrottle_Make(void);

/* A response that came at seen_at named this limit; negative: none. An older
 * note than the last one changes nothing. Returns whether a limit began or
 * ended. */
bool BkThrottle_NoteLimit(BkThrottle *throttle, double limit, BkMs seen_at,
                          BkMs now);

/* A refusal named this hold-off. draw, from 0 to 1, spreads the returns of
 * several VMs. */
void BkThrottle_NoteHoldOff(BkThrottle *throttle, BkMs delay, double draw,
                            BkMs now);

bool BkThrottle_IsLimited(const BkThrottle *throttle);

/* As coordinator: ms until the limit admits a request; 0: now. */
BkMs BkThrottle_GetDelay(const BkThrottle *throttle, BkMs now);

/* As coordinator: a request was admitted. */
void BkThrottle_Take(BkThrottle *throttle, BkMs now);

#endif
