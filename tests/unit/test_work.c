#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/plan/work.h"
#include "script.h"

enum {
    ROUND = 200 /* ms */
};

/* request TOKENS: tokens requested in each of the following rounds; rounds N:
 * runs N rounds and prints both rates */
static void
run_work(char **words, int count, BkBuf *out, void *arg)
{
    BkWork *work = arg;
    static double tokens;

    if (strcmp(words[0], "new") == 0) {
        *work = (BkWork){0};
        tokens = 0;
        return;
    }
    if (strcmp(words[0], "request") == 0) {
        tokens = atof(words[1]);
        return;
    }
    for (int i = 0; i < atoi(words[1]); i++) {
        BkWork_Add(work, tokens);
        BkWork_EndRound(work, &bk_work_defaults, ROUND);
    }
    BkBuf_Printf(out, "rate %.0f steady %.0f\n", work->rate,
                 work->steady_rate);
}

START_TEST(test_script)
{
    BkWork work = {0};

    BkScript_Run("work", run_work, &work);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script};

    return BkUnit_Main("work", tests, 1);
}
