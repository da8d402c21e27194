#include "bk/budget/budget.h"

/* Advances the newest slice to now and clears those that it replaces. */
static void
advance(BkBudget *budget, const BkBudgetConf *conf, BkMs now)
{
    int64_t now_slice = now * BK_BUDGET_SLICES / conf->window;

    if (!budget->used) {
        budget->used = true;
        budget->slice = now_slice;
    }
    for (int cleared = 0;
         budget->slice < now_slice && cleared < BK_BUDGET_SLICES; cleared++) {
        budget->slice++;
        budget->requests[budget->slice % BK_BUDGET_SLICES] = 0;
        budget->repeats[budget->slice % BK_BUDGET_SLICES] = 0;
    }
    budget->slice = now_slice;
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
BkBudget_Earn(BkBudget *budget, const BkBudgetConf *conf, BkMs now)
{
    advance(budget, conf, now);
    budget->requests[budget->slice % BK_BUDGET_SLICES] += 1;
}

bool
BkBudget_Spend(BkBudget *budget, const BkBudgetConf *conf, int daemons,
               BkMs now)
{
    advance(budget, conf, now);
    double age = (double)(now - conf->began) / (double)conf->window;
    double slack_part = conf->slack / daemons * (age < 1 ? age : 1);
    double limit = conf->share *
                   (conf->ratio * sum_slices(budget->requests) + slack_part);

    if (sum_slices(budget->repeats) + 1 > limit) {
        return false;
    }
    budget->repeats[budget->slice % BK_BUDGET_SLICES] += 1;
    return true;
}
