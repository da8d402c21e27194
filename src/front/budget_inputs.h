/*
 * budget_inputs - logs the inputs of the retry budgets at level debug
 *
 * From these lines and the events "retry", bk-replay plays a daemon's decisions
 * about retries again. "now" is the monotonic clock in ms, "row" the index of
 * the service's budget. Requests are logged together, once for each slice of
 * the window, since all of a slice earn the same.
 */
#ifndef BK_FRONT_BUDGET_INPUTS_H
#define BK_FRONT_BUDGET_INPUTS_H

#include "front.h"

void FrBudgetInputs_Begin(const FrFront *front, const BkBudgetConf *conf);

/* A request is counted in this budget of the daemon. */
void FrBudgetInputs_Request(const FrFront *front, FrServiceBudget *budget,
                            const BkBudgetConf *conf, BkMs now);

/* Logs the requests that are not logged yet; to be called before a token is
 * taken. */
void FrBudgetInputs_Flush(const FrFront *front, FrServiceBudget *budget);

void FrBudgetInputs_EndRetry(const FrFront *front, FrServiceBudget *budget,
                             const FrRequest *request, BkMs now);

#endif
