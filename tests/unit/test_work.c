#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/plan/work.h"
#include "script.h"

enum {
    ROUND = 200 /* ms */
};

/* request TOKENS [CHANGE]: tokens requested in the next round, and by how many
 * the requested ones change in each further round; rounds N: runs N rounds,
 * and prints the rate of the last one, what is expected, and the steady rate
 */
static void
run_work(char **words, int count, BkBuf *out, void *arg)
{
    BkWork *work = arg;
    static double tokens;
    static double change;
    double last = 0;

    if (strcmp(words[0], "new") == 0) {
        *work = (BkWork){0};
        tokens = 0;
        change = 0;
        return;
    }
    if (strcmp(words[0], "request") == 0) {
        tokens = atof(words[1]);
        change = count > 2 ? atof(words[2]) : 0;
        return;
    }
    for (int i = 0; i < atoi(words[1]); i++) {
        BkWork_Add(work, tokens);
        BkWork_EndRound(work, &bk_work_defaults, ROUND);
        last = tokens * BK_MS_PER_S / ROUND;
        tokens = tokens + change > 0 ? tokens + change : 0;
    }
    BkBuf_Printf(out, "rate %.0f expected %.0f steady %.0f\n", last,
                 BkWork_Forecast(work, &bk_work_defaults), work->steady_rate);
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
