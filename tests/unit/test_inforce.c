#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/inforce/inforce.h"
#include "script.h"

/* Script verbs, each followed by the resulting state:
 *   start MAX_SILENCE_MS
 *   now MS                         sets the time
 *   report SOURCE VERSION DIGEST   a version is reported
 *   text VERSION DIGEST            the text of a version was fetched */

typedef struct Fixture {
    BkInForce inforce;
    BkMs now;
} Fixture;

static const char *const result_names[] = {"unchanged", "fetch", "conflict"};

static BkInForceSource
parse_source(const char *word)
{
    if (strcmp(word, "platform") == 0) {
        return BK_INFORCE_FROM_PLATFORM;
    }
    return strcmp(word, "peer") == 0 ? BK_INFORCE_FROM_PEER
                                     : BK_INFORCE_FROM_OPERATOR;
}

static void
run_line(char **words, int count, BkBuf *out, void *arg)
{
    Fixture *fixture = arg;
    unsigned char digest[BK_DIGEST_BYTES] = {0};

    if (strcmp(words[0], "start") == 0) {
        fixture->inforce = BkInForce_Make(atoi(words[1]));
    }
    else if (strcmp(words[0], "now") == 0) {
        fixture->now = atoi(words[1]);
    }
    else if (strcmp(words[0], "report") == 0) {
        digest[0] = (unsigned char)words[3][0];
        BkInForceResult result = BkInForce_RecordReport(
            &fixture->inforce, parse_source(words[1]),
            (uint64_t)atoi(words[2]), digest, fixture->now);
        BkBuf_Printf(out, "%s\n", result_names[result]);
    }
    else if (strcmp(words[0], "text") == 0) {
        digest[0] = (unsigned char)words[2][0];
        bool activated = BkInForce_Activate(&fixture->inforce,
                                            (uint64_t)atoi(words[1]), digest);
        BkBuf_Printf(out, "%s\n", activated ? "acts on it" : "dropped");
    }
    bool current = BkInForce_IsCurrent(&fixture->inforce, fixture->now);
    BkBuf_Printf(out, "acting %d, highest %d, %s\n",
                 (int)fixture->inforce.active_version,
                 (int)fixture->inforce.highest_version,
                 current ? "current" : "not current");
}

START_TEST(test_script)
{
    Fixture fixture = {0};

    BkScript_Run("inforce", run_line, &fixture);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("inforce", tests, count);
}
