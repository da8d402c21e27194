#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/budget/budget.h"
#include "script.h"

typedef struct Bench {
    BkBudgetConf conf;
    BkBudget budget;
    int daemons;
    BkMs now;
} Bench;

static void
run_budget(char **words, int count, BkBuf *out, void *arg)
{
    Bench *bench = arg;
    int granted = 0;
    int n = count > 1 ? atoi(words[1]) : 0;

    if (strcmp(words[0], "new") == 0) {
        bench->budget = (BkBudget){0};
        bench->conf.began = bench->now;
        bench->daemons = n;
    }
    else if (strcmp(words[0], "at") == 0) {
        bench->now = n;
    }
    else if (strcmp(words[0], "requests") == 0) {
        for (int i = 0; i < n; i++) {
            BkBudget_Earn(&bench->budget, &bench->conf, bench->now);
        }
    }
    else {
        for (int i = 0; i < n; i++) {
            granted += BkBudget_Spend(&bench->budget, &bench->conf,
                                      bench->daemons, bench->now);
        }
        BkBuf_Printf(out, "  %d of %d granted\n", granted, n);
    }
}

START_TEST(test_limits)
{
    Bench bench = {
        .conf = {.ratio = 0.2, .slack = 56, .window = 10000, .share = 1}};

    BkScript_Run("budget", run_budget, &bench);
}
END_TEST

/* whatever daemons do, all of them together keep to the limit in any window */
START_TEST(test_any_window)
{
    enum {
        DAEMONS = 8,
        SECONDS = 60,
        PER_SECOND = 20
    };
    BkBudgetConf confs[DAEMONS];
    static int requests[SECONDS * 10];
    static int repeats[SECONDS * 10];
    BkBudget budgets[DAEMONS] = {0};
    unsigned seed = 7;

    for (int d = 0; d < DAEMONS; d++) {
        confs[d] = (BkBudgetConf){.ratio = 0.2,
                                  .slack = 56,
                                  .window = 10000,
                                  .began = 100000,
                                  .share = BK_BUDGET_SHARE};
    }
    for (int tenth = 0; tenth < SECONDS * 10; tenth++) {
        BkMs now = 100000 + tenth * 100;
        for (int d = 0; d < DAEMONS; d++) {
            int n = rand_r(&seed) % (2 * PER_SECOND / 10);
            for (int i = 0; i < n; i++) {
                BkBudget_Earn(&budgets[d], &confs[d], now);
                requests[tenth]++;
                repeats[tenth] +=
                    BkBudget_Spend(&budgets[d], &confs[d], DAEMONS, now);
            }
            if (rand_r(&seed) % 200 == 0) {
                budgets[d] = (BkBudget){0}; /* it starts anew */
                confs[d].began = now;
            }
        }
    }
    for (int from = 100; from + 100 <= SECONDS * 10; from++) {
        int asked = 0;
        int sent = 0;
        for (int i = from; i < from + 100; i++) {
            asked += requests[i];
            sent += repeats[i];
        }
        ck_assert_msg(sent <= 0.2 * asked + 56, "%d repeats for %d at %d",
                      sent, asked, from);
    }
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_limits, test_any_window};

    return BkUnit_Main("budget", tests, 2);
}
