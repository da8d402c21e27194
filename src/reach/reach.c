#include "bk/reach/reach.h"

BkReach
BkReach_Make(uint32_t service)
{
    return (BkReach){.service = service, .connected_at = BK_MS_NEVER};
}

bool
BkReach_NoteConnected(BkReach *reach, BkMs started_at, BkMs now)
{
    bool was_lost = reach->lost;

    if (started_at > reach->worked_at) {
        reach->worked_at = started_at;
    }
    reach->tried_count = 0;
    reach->failed_count = 0;
    reach->failed_probes = 0;
    reach->connected_at = now;
    reach->lost = false;
    return was_lost;
}

static bool
was_tried(const BkReach *reach, uint32_t upstream)
{
    for (int i = 0; i < reach->tried_count; i++) {
        if (reach->tried[i] == upstream) {
            return true;
        }
    }
    return false;
}

static void
add_tried(BkReach *reach, uint32_t upstream)
{
    if (!was_tried(reach, upstream) &&
        reach->tried_count < BK_REACH_MAX_TRIED) {
        reach->tried[reach->tried_count++] = upstream;
    }
}

void
BkReach_NoteFailed(BkReach *reach, uint32_t upstream, bool probe,
                   BkMs started_at)
{
    if (reach->connected_at != BK_MS_NEVER &&
        started_at < reach->connected_at) {
        return;
    }
    add_tried(reach, upstream);
    reach->failed_count++;
    reach->failed_probes += probe ? 1 : 0;
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
    /* a single upstream that accepts nothing has ended more likely */
    if (reach->lost || open < 2 || reach->failed_probes < BK_REACH_PROBES) {
        return false;
    }
    reach->lost = true;
    reach->lost_at = now;
    return true;
}

BkUp *
BkReach_ChooseProbe(BkReach *reach, const BkFleet *fleet, BkRng *rng)
{
    BkUp *best = NULL;
    uint32_t equal = 0; /* upstreams as good as the best one so far */

    for (int i = 0; i < fleet->count; i++) {
        BkUp *up = fleet->ups[i];
        if (!is_open(reach, up)) {
            continue;
        }
        bool tried = was_tried(reach, up->key);
        bool best_tried = best != NULL && was_tried(reach, best->key);
        if (best != NULL && tried && !best_tried) {
            continue;
        }
        if (best_tried && !tried) {
            equal = 0;
        }
        if (BkRng_Below(rng, ++equal) == 0) {
            best = up;
        }
    }
    if (best != NULL) {
        add_tried(reach, best->key);
    }
    return best;
}

int
BkReach_ChooseOthers(const BkFleet *fleet, const BkUp *up, BkRng *rng,
                     BkUp **out, int max)
{
    uint32_t seen = 0;
    int count = 0;

    for (int i = 0; i < fleet->count; i++) {
        BkUp *other = fleet->ups[i];
        if (other == up || other->service_key != up->service_key ||
            !BkUp_IsOpen(other)) {
            continue;
        }
        seen++;
        if (count < max) {
            out[count++] = other;
        }
        else {
            uint32_t place = BkRng_Below(rng, seen);
            if (place < (uint32_t)max) {
                out[place] = other;
            }
        }
    }
    return count;
}
