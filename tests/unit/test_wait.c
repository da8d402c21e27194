#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/wait/wait.h"
#include "script.h"

static BkWaitCause
parse_cause(const char *name)
{
    if (strcmp(name, "full") == 0) {
        return BK_WAIT_FULL;
    }
    if (strcmp(name, "pause") == 0) {
        return BK_WAIT_PAUSE;
    }
    return strcmp(name, "adapter") == 0 ? BK_WAIT_ADAPTER : BK_WAIT_MODEL;
}

/* CAUSE waited MS patience MS left MS ready|queue MS planner|no_planner
   [draw N]. CAUSE: full, adapter or model; left: time to the deadline; ready:
   expected time until the model is loaded; queue: expected time in the queue;
   draw: the random number, in percent. */
static void
run_wait(char **words, int count, BkBuf *out, void *arg)
{
    const BkWaitConf *conf = arg;
    BkWaitQuery query = {.cause = parse_cause(words[0]),
                         .waited = atoll(words[2]),
                         .patience = atoll(words[4]),
                         .until_deadline = atoll(words[6]),
                         .until_ready = -1,
                         .queue_delay = -1,
                         .has_planner = strcmp(words[9], "planner") == 0,
                         .jitter_draw =
                             count > 11 ? atof(words[11]) / 100 : 0};
    *(strcmp(words[7], "queue") == 0 ? &query.queue_delay
                                     : &query.until_ready) = atoll(words[8]);
    BkWaitDecision decision = BkWait_Decide(conf, &query);

    if (decision.refuse) {
        BkBuf_Printf(out, "  refuse, retry after %lld ms\n",
                     (long long)decision.retry_after);
    }
    else {
        BkBuf_Printf(out, "  wait\n");
    }
}

START_TEST(test_decisions)
{
    BkWaitConf conf = {.min_first_token_time = 60,
                       .planner_delay = 1200,
                       .election_time = 3000,
                       .base_retry_after = 400,
                       .max_retry_share = 0.33,
                       .estimate_weight = 0.5};

    BkScript_Run("wait", run_wait, &conf);
}
END_TEST

/* begin|send|expect AT_MS [REQUESTS_AHEAD] */
static void
run_pace(char **words, int count, BkBuf *out, void *arg)
{
    BkPace *pace = arg;
    BkMs at = atoll(words[1]);

    if (strcmp(words[0], "begin") == 0) {
        BkPace_Start(pace, at);
    }
    else if (strcmp(words[0], "send") == 0) {
        BkPace_NoteSend(pace, at);
    }
    else {
        BkBuf_Printf(out, "  %lld\n",
                     (long long)BkPace_EstimateWait(pace, atoi(words[2]), at));
    }
}

START_TEST(test_pace)
{
    BkPace pace = {0};

    BkScript_Run("pace", run_pace, &pace);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_decisions, test_pace};

    return BkUnit_Main("wait", tests, 2);
}
