#include "bk/reach/reach.h"

BkReach
BkReach_Make(void)
{
    return (BkReach){.connected_at = BK_MS_NEVER};
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
        if (reach->failed[i].upstream == upstream) {
            return true;
        }
    }
    return false;
}

static bool
has_service_failed(const BkReach *reach, uint32_t service)
{
    for (int i = 0; i < reach->failed_count; i++) {
        if (reach->failed[i].service == service) {
            return true;
        }
    }
    return false;
}

void
BkReach_NoteFailed(BkReach *reach, uint32_t upstream, uint32_t service,
                   BkMs started_at)
{
    bool is_old =
        reach->connected_at != BK_MS_NEVER && started_at < reach->connected_at;

    if (is_old || has_failed(reach, upstream) ||
        reach->failed_count == BK_REACH_MAX_FAILED) {
        return;
    }
    reach->failed[reach->failed_count++] = (BkReachFailure){upstream, service};
}

bool
BkReach_Decide(BkReach *reach, const BkFleet *fleet, BkMs now)
{
    int open = 0;
    int failed = 0;

    if (reach->lost || reach->failed_count == 0) {
        return false;
    }
    for (int i = 0; i < fleet->count; i++) {
        const BkUp *up = fleet->ups[i];
        if (!BkUp_IsOpen(up)) {
            continue;
        }
        if (!has_service_failed(reach, up->service_key) &&
            reach->failed_count < BK_REACH_MAX_FAILED) {
            return false;
        }
        open++;
        failed += has_failed(reach, up->key) ? 1 : 0;
    }
    /* a single upstream that accepts nothing has ended more likely */
    if (open < 2 ||
        failed < (open < BK_REACH_QUORUM ? open : BK_REACH_QUORUM)) {
        return false;
    }
    reach->lost = true;
    reach->lost_at = now;
    return true;
}

/* The lower, the sooner the upstream is tried. */
static int
probe_rank(const BkReach *reach, const BkUp *up)
{
    if (!has_service_failed(reach, up->service_key)) {
        return 0;
    }
    return has_failed(reach, up->key) ? 2 : 1;
}

BkUp *
BkReach_ChooseProbe(const BkReach *reach, const BkFleet *fleet, BkRng *rng)
{
    BkUp *best = NULL;
    int best_rank = 0;
    uint32_t equal = 0; /* upstreams of the best rank so far */

    for (int i = 0; i < fleet->count; i++) {
        BkUp *up = fleet->ups[i];
        if (!BkUp_IsOpen(up)) {
            continue;
        }
        int rank = probe_rank(reach, up);
        if (best == NULL || rank < best_rank) {
            equal = 0;
            best_rank = rank;
        }
        if (rank == best_rank && BkRng_Below(rng, ++equal) == 0) {
            best = up;
        }
    }
    return best;
}
