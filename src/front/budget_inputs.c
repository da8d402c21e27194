#include "budget_inputs.h"

#include "bk/base/log.h"

static bool
is_off(void)
{
    return bk_log_threshold < BK_LOG_DEBUG;
}

static int
get_row(const FrFront *front, const FrServiceBudget *budget)
{
    return (int)(budget - front->budgets);
}

void
FrBudgetInputs_Begin(const FrFront *front, const BkBudgetConf *conf)
{
    if (!is_off()) {
        BkLog_Event(
            BK_LOG_DEBUG, "budget", NULL, "budget begins",
            "s:I, s:f, s:f, s:I, s:f", "now", (json_int_t)front->started_at,
            "ratio", conf->ratio, "slack", conf->slack, "window_ms",
            (json_int_t)conf->window, "usable_share", conf->usable_share);
    }
}

void
FrBudgetInputs_Flush(const FrFront *front, FrServiceBudget *budget)
{
    if (budget->unlogged_count > 0) {
        BkLog_Event(BK_LOG_DEBUG, "budget", NULL, "requests counted",
                    "s:I, s:i, s:i", "now", (json_int_t)budget->unlogged_at,
                    "row", get_row(front, budget), "requests",
                    budget->unlogged_count);
        budget->unlogged_count = 0;
    }
}

void
FrBudgetInputs_Request(const FrFront *front, FrServiceBudget *budget,
                       const BkBudgetConf *conf, BkMs now)
{
    if (is_off()) {
        return;
    }
    if (BkBudget_GetSlice(conf, budget->unlogged_at) !=
        BkBudget_GetSlice(conf, now)) {
        FrBudgetInputs_Flush(front, budget);
    }
    budget->unlogged_count++;
    budget->unlogged_at = now;
}

void
FrBudgetInputs_EndRetry(const FrFront *front, FrServiceBudget *budget,
                        const FrRequest *request, BkMs now)
{
    if (is_off()) {
        return;
    }
    FrBudgetInputs_Flush(front, budget);
    BkLog_Event(BK_LOG_DEBUG, "budget", request->id, "retry ended",
                "s:I, s:i, s:I", "now", (json_int_t)now, "row",
                get_row(front, budget), "taken_ms",
                (json_int_t)(now - request->retry_taken_at));
}
