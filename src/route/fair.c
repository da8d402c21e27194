#include <stdlib.h>

#include "bk/route/route.h"

/* ms between two requests that finish */
#define MIN_INTERVAL 1.0
#define INITIAL_INTERVAL 100.0
#define INTERVAL_WEIGHT 0.1 /* of the newest interval in the mean */

typedef struct CallerState {
    int weight;  /* from the bundle, at least 1 */
    int running; /* requests in progress */
} CallerState;

struct BkFairShare {
    CallerState *states; /* one for each caller of the bundle */
    int count;
    /* shares are enforced while this many requests or more are in progress */
    int limit;
    int running;            /* requests in progress */
    int active_weight;      /* sum over callers with a request in progress */
    double finish_interval; /* mean ms between two requests that finish */
    BkMs last_finish;       /* when the last request finished */
};

BkFairShare *
BkFairShare_Create(const BkBundle *bundle, int limit)
{
    BkFairShare *fair = BkMem_New(1, sizeof(*fair));

    fair->count = bundle->caller_count;
    fair->states = BkMem_New((size_t)fair->count, sizeof(CallerState));
    for (int i = 0; i < fair->count; i++) {
        int weight = bundle->callers[i].share;
        fair->states[i].weight = weight > 0 ? weight : 1;
    }
    fair->limit = limit;
    fair->finish_interval = INITIAL_INTERVAL;
    fair->last_finish = BK_MS_NEVER;
    return fair;
}

void
BkFairShare_Destroy(BkFairShare *fair)
{
    if (fair != NULL) {
        free(fair->states);
        free(fair);
    }
}

/* How many requests the caller may have in progress while the limit is
   reached. */
static double
allowance(const BkFairShare *fair, const CallerState *state)
{
    int total_weight = fair->active_weight;

    if (state->running == 0) {
        total_weight += state->weight;
    }
    return (double)fair->limit * state->weight / total_weight;
}

BkStatus
BkFairShare_Admit(BkFairShare *fair, int caller, BkMs now, BkMs *retry_after)
{
    CallerState *state = &fair->states[caller];
    double allowed = allowance(fair, state);

    if (fair->running >= fair->limit && state->running >= allowed) {
        double excess = state->running - allowed + 1;
        *retry_after = (BkMs)(excess * fair->finish_interval) + 1;
        return BkErr_Set(BK_EOVERLOAD,
                         "the caller has %d requests in progress, over its "
                         "share while the limit of %d is reached",
                         state->running, fair->limit);
    }
    if (state->running == 0) {
        fair->active_weight += state->weight;
    }
    state->running++;
    fair->running++;
    return BK_OK;
}

void
BkFairShare_Release(BkFairShare *fair, int caller, BkMs now)
{
    CallerState *state = &fair->states[caller];

    if (state->running == 0) {
        return;
    }
    state->running--;
    fair->running--;
    if (state->running == 0) {
        fair->active_weight -= state->weight;
    }
    if (fair->last_finish != BK_MS_NEVER) {
        double elapsed = (double)(now - fair->last_finish);
        elapsed = elapsed < MIN_INTERVAL ? MIN_INTERVAL : elapsed;
        fair->finish_interval +=
            (elapsed - fair->finish_interval) * INTERVAL_WEIGHT;
    }
    fair->last_finish = now;
}
