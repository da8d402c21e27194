#include "bk/plan/start.h"

enum {
    SETTLE_TIME = 500, /* ms until the demand of other daemons is known */
    /* ms without a new engine until all of them are taken to be listed */
    ENGINE_DISCOVERY_TIME = 1500
};

bool
BkPlanStart_MayPlan(const BkPlanStart *start, BkMs now)
{
    if (start->has_planned) {
        return true;
    }
    if (now - start->term_began_at < SETTLE_TIME) {
        return false;
    }
    return !start->is_first_term ||
           now - start->engine_added_at >= ENGINE_DISCOVERY_TIME;
}
