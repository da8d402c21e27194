#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/inforce/inforce.h"
#include "script.h"

/* now: the time; news SOURCE VERSION DIGEST; text VERSION DIGEST; show */

typedef struct State {
    BkInForce inforce;
    BkMs now;
} State;

static const char *const verdicts[] = {"old", "fetch", "clash"};

static BkNewsSource
parse_source(const char *word)
{
    if (strcmp(word, "platform") == 0) {
        return BK_NEWS_PLATFORM;
    }
    return strcmp(word, "peer") == 0 ? BK_NEWS_PEER : BK_NEWS_OPERATOR;
}

static void
run_line(char **words, int count, BkBuf *out, void *arg)
{
    State *state = arg;
    unsigned char digest[BK_DIGEST_BYTES] = {0};

    if (strcmp(words[0], "start") == 0) {
        state->inforce = BkInForce_Make(atoi(words[1]));
    }
    else if (strcmp(words[0], "now") == 0) {
        state->now = atoi(words[1]);
    }
    else if (strcmp(words[0], "news") == 0) {
        digest[0] = (unsigned char)words[3][0];
        BkNewsVerdict verdict =
            BkInForce_TakeNews(&state->inforce, parse_source(words[1]),
                               (uint64_t)atoi(words[2]), digest, state->now);
        BkBuf_Printf(out, "%s\n", verdicts[verdict]);
    }
    else if (strcmp(words[0], "text") == 0) {
        digest[0] = (unsigned char)words[2][0];
        bool taken = BkInForce_TakeText(&state->inforce,
                                        (uint64_t)atoi(words[1]), digest);
        BkBuf_Printf(out, "%s\n", taken ? "acts on it" : "dropped");
    }
    bool current = BkInForce_Current(&state->inforce, state->now);
    BkBuf_Printf(out, "acting %d, highest %d, %s\n",
                 (int)state->inforce.acting, (int)state->inforce.highest,
                 current ? "current" : "not current");
}

START_TEST(test_script)
{
    State state = {0};

    BkScript_Run("inforce", run_line, &state);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("inforce", tests, count);
}
