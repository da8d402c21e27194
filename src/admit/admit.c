#include "bk/admit/admit.h"

enum {
    /* ms, at most, until a daemon asks again that a rate limit did not admit:
       the limit may have risen or ended */
    MAX_DENIAL = 1000
};

static bool
has_room(const BkAdmitAsk *ask, const BkRoom *room, BkMs now)
{
    int limit = BkRoom_Get(room, ask->slots, now);

    if (ask->own) {
        return !ask->brittle || ask->running <= limit;
    }
    return ask->running < limit && !ask->full;
}

BkAdmitAnswer
BkAdmit_Decide(const BkAdmitAsk *ask, const BkRoom *room, BkThrottle *throttle,
               BkMs now)
{
    if (!has_room(ask, room, now)) {
        return (BkAdmitAnswer){.result = BK_ADMIT_NO_ROOM};
    }
    BkMs delay = BkThrottle_GetDelay(throttle, now);
    if (delay > 0) {
        return (BkAdmitAnswer){BK_ADMIT_LIMITED,
                               delay < MAX_DENIAL ? delay : MAX_DENIAL};
    }
    BkThrottle_Take(throttle, now);
    return (BkAdmitAnswer){.result = BK_ADMIT_GRANTED};
}

bool
BkAdmit_MaySendUnanswered(const BkThrottle *throttle, bool brittle)
{
    return !BkThrottle_IsLimited(throttle) && !brittle;
}

const char *
BkAdmit_ResultName(BkAdmitResult result)
{
    switch (result) {
    case BK_ADMIT_GRANTED:
        return "granted";
    case BK_ADMIT_NO_ROOM:
        return "no room";
    case BK_ADMIT_LIMITED:
        return "limited";
    }
    return "?";
}
