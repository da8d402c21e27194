#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/budget/budget.h"
#include "script.h"

typedef struct Fixture {
    BkBudgetConf conf;
    BkBudget budget;
    int daemons;
    BkMs now;
} Fixture;

/* new DAEMONS: this daemon starts, one of DAEMONS; at MS: sets the time;
 * requests N: counts N requests; retry N: tries N retries and prints how many
 * are granted */
static void
run_budget(char **words, int count, BkBuf *out, void *arg)
{
    Fixture *fixture = arg;
    int granted = 0;
    int n = count > 1 ? atoi(words[1]) : 0;

    if (strcmp(words[0], "new") == 0) {
        fixture->budget = (BkBudget){0};
        fixture->conf.started_at = fixture->now;
        fixture->daemons = n;
    }
    else if (strcmp(words[0], "at") == 0) {
        fixture->now = n;
    }
    else if (strcmp(words[0], "requests") == 0) {
        for (int i = 0; i < n; i++) {
            BkBudget_CountRequest(&fixture->budget, &fixture->conf,
                                  fixture->now);
        }
    }
    else {
        for (int i = 0; i < n; i++) {
            granted += BkBudget_TakeRetry(&fixture->budget, &fixture->conf,
                                          fixture->daemons, fixture->now);
        }
        BkBuf_Printf(out, "  %d of %d granted\n", granted, n);
    }
}

START_TEST(test_limits)
{
    Fixture fixture = {
        .conf = {
            .ratio = 0.2, .slack = 56, .window = 10000, .usable_share = 1}};

    BkScript_Run("budget", run_budget, &fixture);
}
END_TEST

/* Daemons that receive random numbers of requests, try to retry each one and
   restart at random keep to the common limit in every window of 10 s. */
START_TEST(test_any_window)
{
    enum {
        DAEMONS = 8,
        SECONDS = 60,
        /* requests a second; each daemon receives fewer than this on average:
           in each tick of 100 ms, from 0 to 3 at random */
        NOMINAL_RATE = 20
    };
    BkBudgetConf confs[DAEMONS];
    static int requests[SECONDS * 10];
    static int retries[SECONDS * 10];
    BkBudget budgets[DAEMONS] = {0};
    unsigned seed = 7;

    for (int d = 0; d < DAEMONS; d++) {
        confs[d] = (BkBudgetConf){.ratio = 0.2,
                                  .slack = 56,
                                  .window = 10000,
                                  .started_at = 100000,
                                  .usable_share = BK_BUDGET_USABLE_SHARE};
    }
    for (int tick = 0; tick < SECONDS * 10; tick++) {
        BkMs now = 100000 + tick * 100;
        for (int d = 0; d < DAEMONS; d++) {
            int n = rand_r(&seed) % (2 * NOMINAL_RATE / 10);
            for (int i = 0; i < n; i++) {
                BkBudget_CountRequest(&budgets[d], &confs[d], now);
                requests[tick]++;
                retries[tick] +=
                    BkBudget_TakeRetry(&budgets[d], &confs[d], DAEMONS, now);
            }
            if (rand_r(&seed) % 200 == 0) {
                budgets[d] = (BkBudget){0}; /* restart */
                confs[d].started_at = now;
            }
        }
    }
    for (int from = 100; from + 100 <= SECONDS * 10; from++) {
        int request_count = 0;
        int retry_count = 0;
        for (int i = from; i < from + 100; i++) {
            request_count += requests[i];
            retry_count += retries[i];
        }
        ck_assert_msg(retry_count <= 0.2 * request_count + 56,
                      "%d retries for %d requests from tick %d on",
                      retry_count, request_count, from);
    }
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_limits, test_any_window};

    return BkUnit_Main("budget", tests, 2);
}
