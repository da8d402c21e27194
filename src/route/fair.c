#include <stdlib.h>

#include "bk/route/route.h"

#define LEAST_INTERVAL 1.0 /* ms between two requests that finish */
#define FIRST_INTERVAL 100.0
#define INTERVAL_WEIGHT 0.1 /* of the newest interval in the mean */

typedef struct Share {
    int weight;
    int running;
} Share;

struct BkFair {
    Share *shares; /* per caller */
    int count;
    int limit;
    int running;
    int active_weight; /* of callers with a request in progress */
    double interval;   /* ms, mean time between two that finish */
    BkMs left_at;      /* when one finished last */
};

BkFair *
BkFair_Create(const BkBundle *bundle, int limit)
{
    BkFair *fair = BkMem_New(1, sizeof(*fair));

    fair->count = bundle->caller_count;
    fair->shares = BkMem_New((size_t)fair->count, sizeof(Share));
    for (int i = 0; i < fair->count; i++) {
        int weight = bundle->callers[i].share;
        fair->shares[i].weight = weight > 0 ? weight : 1;
    }
    fair->limit = limit;
    fair->interval = FIRST_INTERVAL;
    fair->left_at = BK_MS_NEVER;
    return fair;
}

void
BkFair_Destroy(BkFair *fair)
{
    if (fair != NULL) {
        free(fair->shares);
        free(fair);
    }
}

/* what the caller may have in progress while the limit is reached */
static double
allowance(const BkFair *fair, const Share *share)
{
    int weights = fair->active_weight;

    if (share->running == 0) {
        weights += share->weight;
    }
    return (double)fair->limit * share->weight / weights;
}

BkStatus
BkFair_Enter(BkFair *fair, int caller, BkMs now, BkMs *retry_after)
{
    Share *share = &fair->shares[caller];
    double allowed = allowance(fair, share);

    if (fair->running >= fair->limit && share->running >= allowed) {
        double over = share->running - allowed + 1;
        *retry_after = (BkMs)(over * fair->interval) + 1;
        return BkErr_Set(BK_EOVERLOAD,
                         "the caller has %d requests in progress, over its "
                         "share while the limit of %d is reached",
                         share->running, fair->limit);
    }
    if (share->running == 0) {
        fair->active_weight += share->weight;
    }
    share->running++;
    fair->running++;
    return BK_OK;
}

void
BkFair_Leave(BkFair *fair, int caller, BkMs now)
{
    Share *share = &fair->shares[caller];

    if (share->running == 0) {
        return;
    }
    share->running--;
    fair->running--;
    if (share->running == 0) {
        fair->active_weight -= share->weight;
    }
    if (fair->left_at != BK_MS_NEVER) {
        double gap = (double)(now - fair->left_at);
        gap = gap < LEAST_INTERVAL ? LEAST_INTERVAL : gap;
        fair->interval += (gap - fair->interval) * INTERVAL_WEIGHT;
    }
    fair->left_at = now;
}
