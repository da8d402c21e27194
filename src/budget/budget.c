#include "bk/budget/budget.h"

/* Advances the newest slice to now, and clears the slices that this adds to
   the window. */
static void
advance(BkBudget *budget, const BkBudgetConf *conf, BkMs now)
{
    int64_t now_slice = now * BK_BUDGET_SLICES / conf->window;

    if (!budget->initialized) {
        budget->initialized = true;
        budget->newest_slice = now_slice;
    }
    for (int cleared = 0;
         budget->newest_slice < now_slice && cleared < BK_BUDGET_SLICES;
         cleared++) {
        budget->newest_slice++;
        budget->requests[budget->newest_slice % BK_BUDGET_SLICES] = 0;
        budget->retries[budget->newest_slice % BK_BUDGET_SLICES] = 0;
    }
    budget->newest_slice = now_slice;
}

static double
sum_slices(const double *slices)
{
    double sum = 0;

    for (int i = 0; i < BK_BUDGET_SLICES; i++) {
        sum += slices[i];
    }
    return sum;
}

void
BkBudget_CountRequest(BkBudget *budget, const BkBudgetConf *conf, BkMs now)
{
    advance(budget, conf, now);
    budget->requests[budget->newest_slice % BK_BUDGET_SLICES] += 1;
}

BkBudgetState
BkBudget_Inspect(BkBudget *budget, const BkBudgetConf *conf, int daemons,
                 BkMs now)
{
    advance(budget, conf, now);
    double windows_since_start =
        (double)(now - conf->started_at) / (double)conf->window;
    double slack_part = conf->slack / daemons *
                        (windows_since_start < 1 ? windows_since_start : 1);
    double requests = sum_slices(budget->requests);

    return (BkBudgetState){.requests = requests,
                           .retries = sum_slices(budget->retries),
                           .limit = conf->usable_share *
                                    (conf->ratio * requests + slack_part)};
}

bool
BkBudget_TakeRetry(BkBudget *budget, const BkBudgetConf *conf, int daemons,
                   BkMs now)
{
    BkBudgetState state = BkBudget_Inspect(budget, conf, daemons, now);

    if (state.retries + 1 > state.limit) {
        return false;
    }
    budget->retries[budget->newest_slice % BK_BUDGET_SLICES] += 1;
    return true;
}
