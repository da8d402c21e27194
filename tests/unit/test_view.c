#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/view/view.h"
#include "script.h"

static const char bundle_text[] = "[bundle]\nname = test\n"
                                  "[upstream e1]\nkind = engine\n"
                                  "addr = 10.0.0.1:9000\ndomain = a\n"
                                  "memory = 8GiB\nfencing = checked\n"
                                  "slots = 4\n"
                                  "[upstream e2]\nkind = engine\n"
                                  "addr = 10.0.0.2:9000\ndomain = b\n"
                                  "memory = 8GiB\nfencing = ignored\n"
                                  "slots = 4\n"
                                  "[model m]\nversion = 2\nbytes = 1GiB\n";

typedef struct Fixture {
    BkBundle *bundle;
    BkView *view;
    BkMs now;
} Fixture;

enum {
    STALE_AFTER_MS = 5000
};

static void
print_up(Fixture *fixture, int up_index, BkBuf *out)
{
    const BkUpView *up_view = &fixture->view->ups[up_index];
    const BkInst *inst = BkView_FindReady(fixture->view, up_index, 0);
    bool usable =
        BkView_IsUsable(fixture->view, up_index, fixture->now, STALE_AFTER_MS);

    BkBuf_Printf(
        out, "%s %s%s%s load %d+%d boot %u, m: %s\n",
        fixture->bundle->upstreams[up_index].name,
        usable ? "usable" : "unusable", up_view->leaving ? " leaving" : "",
        up_view->excluded ? " excluded" : "", up_view->running,
        up_view->waiting, up_view->boot, inst == NULL ? "none" : inst->name);
}

/* state UP BOOT LEAVING RUNNING [NAME:VERSION:STATE...] */
static void
apply_state(Fixture *fixture, char **words, int count, BkBuf *out)
{
    BkBuf json = BkBuf_Make(0);
    int up_index =
        BkBundle_FindUpstream(fixture->bundle, BkStr_FromC(words[1]));

    BkBuf_Printf(&json,
                 "{\"boot\":%s,\"leaving\":%s,\"running\":%s,"
                 "\"waiting\":0,\"instances\":[",
                 words[2], words[3], words[4]);
    for (int i = 5; i < count; i++) {
        BkStr rest = BkStr_FromC(words[i]);
        BkStr name = BkStr_Split(&rest, ':');
        BkStr version = BkStr_Split(&rest, ':');
        BkBuf_Printf(&json,
                     "%s{\"instance\":\"%.*s\",\"model\":\"m\","
                     "\"version\":\"%.*s\",\"bytes\":1,\"state\":\"%.*s\"}",
                     i == 5 ? "" : ",", BK_STR_ARG(name), BK_STR_ARG(version),
                     BK_STR_ARG(rest));
    }
    BkBuf_Printf(&json, "]}");
    BkStatus status = BkView_ApplyState(fixture->view, up_index,
                                        BkBuf_Str(&json), fixture->now);
    if (status != BK_OK) {
        BkBuf_Printf(out, "%s\n", BkErr_Last());
    }
    BkBuf_Destroy(&json);
    print_up(fixture, up_index, out);
}

/* obs UP BOOT AGE LEAVING RUNNING */
static void
apply_obs(Fixture *fixture, char **words, BkBuf *out)
{
    BkObs obs = {
        .key = BkBundle_NameHash(BkStr_FromC(words[1])),
        .boot = (uint32_t)atoi(words[2]),
        .age = atoi(words[3]),
        .leaving = strcmp(words[4], "true") == 0,
        .running = atoi(words[5]),
    };
    int up_index = BkBundle_FindUpstreamByHash(fixture->bundle, obs.key);

    BkView_ApplyObs(fixture->view, &obs, fixture->now);
    if (up_index >= 0) {
        print_up(fixture, up_index, out);
    }
}

static void
print_gossip(Fixture *fixture, int max, BkBuf *out)
{
    BkObs observations[4];
    int count =
        BkView_SelectObs(fixture->view, fixture->now, observations, max);

    for (int i = 0; i < count; i++) {
        int up_index =
            BkBundle_FindUpstreamByHash(fixture->bundle, observations[i].key);
        BkBuf_Printf(out, "%s age %d%s\n",
                     fixture->bundle->upstreams[up_index].name,
                     (int)observations[i].age,
                     observations[i].leaving ? " leaving" : "");
    }
}

/* Script verbs:
 *   now MS             sets the time
 *   state ...          applies a polled state, see apply_state
 *   obs ...            applies an observation of a peer, see apply_obs
 *   fail UP            contact with the upstream failed
 *   gossip MAX         prints the observations for a peer, at most MAX
 *   next MIN_AGE DRAW  prints the upstream to poll next and notes its poll
 *   show               prints both upstreams */
static void
run_line(char **words, int count, BkBuf *out, void *arg)
{
    Fixture *fixture = arg;

    if (strcmp(words[0], "now") == 0) {
        fixture->now = atoi(words[1]);
    }
    else if (strcmp(words[0], "state") == 0) {
        apply_state(fixture, words, count, out);
    }
    else if (strcmp(words[0], "obs") == 0) {
        apply_obs(fixture, words, out);
    }
    else if (strcmp(words[0], "fail") == 0) {
        int up_index =
            BkBundle_FindUpstream(fixture->bundle, BkStr_FromC(words[1]));
        BkView_NoteFailure(fixture->view, up_index, fixture->now);
        print_up(fixture, up_index, out);
    }
    else if (strcmp(words[0], "gossip") == 0) {
        print_gossip(fixture, atoi(words[1]), out);
    }
    else if (strcmp(words[0], "next") == 0) {
        int up_index =
            BkView_NextPoll(fixture->view, fixture->now, atoi(words[1]),
                            (uint32_t)strtoul(words[2], NULL, 0));
        BkBuf_Printf(out, "%s\n",
                     up_index < 0 ? "none"
                                  : fixture->bundle->upstreams[up_index].name);
        if (up_index >= 0) {
            BkView_NotePoll(fixture->view, up_index, fixture->now);
        }
    }
    else if (strcmp(words[0], "show") == 0) {
        print_up(fixture, 0, out);
        print_up(fixture, 1, out);
    }
}

START_TEST(test_script)
{
    Fixture fixture = {0};
    BkStatus status;

    fixture.bundle = BkBundle_Parse("test", BkStr_FromC(bundle_text), &status);
    ck_assert_msg(fixture.bundle != NULL, "%s", BkErr_Last());
    fixture.view = BkView_Create(fixture.bundle, NULL);
    BkScript_Run("view", run_line, &fixture);
    BkView_Destroy(fixture.view);
    BkBundle_Destroy(fixture.bundle);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("view", tests, count);
}
