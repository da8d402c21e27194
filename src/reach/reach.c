#include "bk/reach/reach.h"

BkReach
BkReach_Make(uint32_t service)
{
    return (BkReach){.service = service, .connected_at = BK_MS_NEVER};
}

bool
BkReach_NoteConnected(BkReach *reach, BkMs now)
{
    bool was_lost = reach->lost;

    reach->failed_count = 0;
    reach->connected_at = now;
    reach->lost = false;
    return was_lost;
}

static bool
has_failed(const BkReach *reach, uint32_t upstream)
{
    for (int i = 0; i < reach->failed_count; i++) {
        if (reach->failed[i] == upstream) {
            return true;
        }
    }
    return false;
}

void
BkReach_NoteFailed(BkReach *reach, uint32_t upstream, BkMs started_at)
{
    bool is_old =
        reach->connected_at != BK_MS_NEVER && started_at < reach->connected_at;

    if (!is_old && !has_failed(reach, upstream) &&
        reach->failed_count < BK_REACH_QUORUM) {
        reach->failed[reach->failed_count++] = upstream;
    }
}

static bool
is_open(const BkReach *reach, const BkUp *up)
{
    return up->service_key == reach->service && BkUp_IsOpen(up);
}

bool
BkReach_Decide(BkReach *reach, const BkFleet *fleet, BkMs now)
{
    int open = 0;

    for (int i = 0; i < fleet->count; i++) {
        open += is_open(reach, fleet->ups[i]) ? 1 : 0;
    }
    int needed = open < BK_REACH_QUORUM ? open : BK_REACH_QUORUM;
    /* a single upstream that accepts nothing has ended more likely */
    if (reach->lost || open < 2 || reach->failed_count < needed) {
        return false;
    }
    reach->lost = true;
    reach->lost_at = now;
    return true;
}

BkUp *
BkReach_ChooseProbe(const BkReach *reach, const BkFleet *fleet, BkRng *rng)
{
    BkUp *best = NULL;
    uint32_t equal = 0; /* upstreams as good as the best one so far */

    for (int i = 0; i < fleet->count; i++) {
        BkUp *up = fleet->ups[i];
        if (!is_open(reach, up)) {
            continue;
        }
        bool failed = has_failed(reach, up->key);
        if (best != NULL && failed && !has_failed(reach, best->key)) {
            continue;
        }
        if (best == NULL || (!failed && has_failed(reach, best->key))) {
            equal = 0;
        }
        if (BkRng_Below(rng, ++equal) == 0) {
            best = up;
        }
    }
    return best;
}
