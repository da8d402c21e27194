#include "bk/budget/budget.h"

int64_t
BkBudget_GetSlice(const BkBudgetConf *conf, BkMs at)
{
    return at * BK_BUDGET_SLICES / conf->window;
}

static void
begin_slice(BkBudget *budget)
{
    budget->newest_slice++;
    budget->earned[budget->newest_slice % BK_BUDGET_TOKEN_SLICES] = 0;
    budget->late += budget->recent;
    budget->recent = budget->newest;
    budget->newest = 0;
}

/* Advances the newest slice to now. */
static void
advance(BkBudget *budget, const BkBudgetConf *conf, BkMs now)
{
    int64_t now_slice = BkBudget_GetSlice(conf, now);

    if (!budget->initialized) {
        budget->initialized = true;
        budget->newest_slice = now_slice;
        budget->refilled_at = conf->started_at;
    }
    for (int i = 0;
         budget->newest_slice < now_slice && i < BK_BUDGET_TOKEN_SLICES; i++) {
        begin_slice(budget);
    }
    budget->newest_slice = now_slice;
}

static void
refill_bucket(BkBudget *budget, const BkBudgetConf *conf, int daemons,
              BkMs now)
{
    double part = daemons > 0 ? conf->slack / daemons : 0;
    double windows =
        (double)(now - budget->refilled_at) / (double)conf->window;

    budget->bucket += part * BK_BUDGET_REFILL_SHARE * windows;
    if (budget->bucket > part * BK_BUDGET_BUCKET_SHARE) {
        budget->bucket = part * BK_BUDGET_BUCKET_SHARE;
    }
    budget->refilled_at = now;
}

static void
pay_from(double *tokens, double *debt)
{
    double paid = *tokens < *debt ? *tokens : *debt;

    *tokens -= paid;
    *debt -= paid;
}

/* Pays the debt, first with the tokens that are lost first. */
static void
pay_debt(BkBudget *budget)
{
    for (int i = 1; i <= BK_BUDGET_TOKEN_SLICES; i++) {
        int64_t slice = budget->newest_slice + i;
        pay_from(&budget->earned[slice % BK_BUDGET_TOKEN_SLICES],
                 &budget->debt);
    }
    pay_from(&budget->bucket, &budget->debt);
}

void
BkBudget_CountRequest(BkBudget *budget, const BkBudgetConf *conf, BkMs now)
{
    advance(budget, conf, now);
    budget->earned[budget->newest_slice % BK_BUDGET_TOKEN_SLICES] +=
        conf->ratio * conf->usable_share;
    pay_debt(budget);
}

BkBudgetState
BkBudget_Inspect(BkBudget *budget, const BkBudgetConf *conf, int daemons,
                 BkMs now)
{
    advance(budget, conf, now);
    refill_bucket(budget, conf, daemons, now);
    pay_debt(budget);
    BkBudgetState state = {.earned = -budget->debt,
                           .bucket = budget->bucket,
                           .late = budget->late};
    for (int i = 0; i < BK_BUDGET_TOKEN_SLICES; i++) {
        state.earned += budget->earned[i];
    }
    return state;
}

bool
BkBudget_TakeRetry(BkBudget *budget, const BkBudgetConf *conf, int daemons,
                   BkMs now)
{
    BkBudgetState state = BkBudget_Inspect(budget, conf, daemons, now);

    if (state.earned + state.bucket - state.late < 1) {
        return false;
    }
    budget->debt += 1;
    pay_debt(budget);
    budget->newest++;
    return true;
}

void
BkBudget_EndRetry(BkBudget *budget, const BkBudgetConf *conf, BkMs taken_at,
                  BkMs now)
{
    advance(budget, conf, now);
    int64_t age = budget->newest_slice - BkBudget_GetSlice(conf, taken_at);

    if (age == 0) {
        budget->newest--;
    }
    else if (age == 1) {
        budget->recent--;
    }
    else {
        budget->late--;
        budget->debt += 1;
        pay_debt(budget);
    }
}
