#include "bk/reach/reach.h"

enum {
    /* requests of other VMs that a VM takes though it has fewer of its own */
    MIN_RELAYED = 8
};

static bool
is_eligible(const BkReachVm *vm, bool near_only)
{
    return vm->near || !near_only;
}

/* Returns the index of the n-th eligible VM. */
static int
find_nth(const BkReachVm *vms, int count, bool near_only, int n)
{
    int i = 0;

    while (i < count && (!is_eligible(&vms[i], near_only) || n-- > 0)) {
        i++;
    }
    return i;
}

int
BkReach_ChooseVm(const BkReachVm *vms, int count, int tries, BkRng *rng)
{
    int near = 0;

    for (int i = 0; i < count; i++) {
        near += vms[i].near ? 1 : 0;
    }
    bool near_only = tries == 0 && near > 0;
    int eligible = near_only ? near : count;
    if (eligible == 0) {
        return -1;
    }
    int a = find_nth(vms, count, near_only,
                     (int)BkRng_Below(rng, (uint32_t)eligible));
    int b = find_nth(vms, count, near_only,
                     (int)BkRng_Below(rng, (uint32_t)eligible));
    return vms[a].in_flight <= vms[b].in_flight ? a : b;
}

bool
BkReach_MayTake(int relayed, int own, int tries)
{
    return tries >= BK_REACH_MAX_REFUSALS || relayed < MIN_RELAYED ||
           relayed < own;
}
