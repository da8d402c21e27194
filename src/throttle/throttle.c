#include "bk/throttle/throttle.h"

/* requests that may follow each other at once after a pause */
static const double max_tokens = 2;

/* requests a second that a limit near 0 admits all the same, so that a
   response can tell of its end */
static const double min_rate = 0.1;

/* the part of a hold-off by which the returns of VMs are spread, and its most
   in ms */
static const double spread_share = 0.1;
static const double max_spread = 1000;

BkThrottle
BkThrottle_Make(void)
{
    return (BkThrottle){.limit = -1};
}

bool
BkThrottle_IsLimited(const BkThrottle *throttle)
{
    return throttle->limit >= 0;
}

static double
rate_of(const BkThrottle *throttle)
{
    return throttle->limit > min_rate ? throttle->limit : min_rate;
}

static double
count_tokens(const BkThrottle *throttle, BkMs now)
{
    double seconds = (double)(now - throttle->filled_at) / BK_MS_PER_S;
    double tokens = throttle->tokens + rate_of(throttle) * seconds;

    return tokens < max_tokens ? tokens : max_tokens;
}

bool
BkThrottle_NoteLimit(BkThrottle *throttle, double limit, BkMs seen_at,
                     BkMs now)
{
    bool was_limited = BkThrottle_IsLimited(throttle);

    if (seen_at < throttle->limit_seen_at) {
        return false;
    }
    /* at first, nothing: requests that were sent before count for it too */
    throttle->tokens = was_limited ? count_tokens(throttle, now) : 0;
    throttle->filled_at = now;
    throttle->limit = limit;
    throttle->limit_seen_at = seen_at;
    return was_limited != BkThrottle_IsLimited(throttle);
}

void
BkThrottle_NoteHoldOff(BkThrottle *throttle, BkMs delay, double draw, BkMs now)
{
    double spread = (double)delay * spread_share;
    BkMs until = now + delay +
                 (BkMs)(draw * (spread < max_spread ? spread : max_spread));

    if (until > throttle->held_until) {
        throttle->held_until = until;
    }
}

BkMs
BkThrottle_GetDelay(const BkThrottle *throttle, BkMs now)
{
    if (!BkThrottle_IsLimited(throttle)) {
        return 0;
    }
    double missing = 1 - count_tokens(throttle, now);

    return missing <= 0
               ? 0
               : (BkMs)(missing * BK_MS_PER_S / rate_of(throttle)) + 1;
}

void
BkThrottle_Take(BkThrottle *throttle, BkMs now)
{
    if (BkThrottle_IsLimited(throttle)) {
        double tokens = count_tokens(throttle, now) - 1;
        throttle->tokens = tokens > 0 ? tokens : 0;
        throttle->filled_at = now;
    }
}
