#include "bk/budget/budget.h"

/* forgets the slices that have left the window */
static void
advance(BkBudget *budget, const BkBudgetConf *conf, BkMs now)
{
    int64_t slice = now * BK_BUDGET_SLICES / conf->window;

    if (!budget->used) {
        budget->used = true;
        budget->slice = slice;
    }
    for (int n = 0; budget->slice < slice && n < BK_BUDGET_SLICES; n++) {
        budget->slice++;
        budget->requests[budget->slice % BK_BUDGET_SLICES] = 0;
        budget->repeats[budget->slice % BK_BUDGET_SLICES] = 0;
    }
    budget->slice = slice;
}

static double
sum_up(const double *slices)
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
    double part = conf->slack / daemons * (age < 1 ? age : 1);
    double most =
        conf->share * (conf->ratio * sum_up(budget->requests) + part);

    if (sum_up(budget->repeats) + 1 > most) {
        return false;
    }
    budget->repeats[budget->slice % BK_BUDGET_SLICES] += 1;
    return true;
}
