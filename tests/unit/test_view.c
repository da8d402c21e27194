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

typedef struct State {
    BkBundle *bundle;
    BkView *view;
    BkMs now;
} State;

enum {
    STALE_AFTER_MS = 5000
};

static void
print_up(State *state, int up, BkBuf *out)
{
    const BkUpView *seen = &state->view->ups[up];
    const BkInst *inst = BkView_FindReady(state->view, up, 0);
    bool usable = BkView_Usable(state->view, up, state->now, STALE_AFTER_MS);

    BkBuf_Printf(out, "%s %s%s%s load %d+%d boot %u, m: %s\n",
                 state->bundle->upstreams[up].name, usable ? "usable" : "out",
                 seen->leaving ? " leaving" : "", seen->left ? " left" : "",
                 seen->running, seen->waiting, seen->boot,
                 inst == NULL ? "none" : inst->name);
}

/* state UP BOOT LEAVING RUNNING [NAME:VERSION:STATE...] */
static void
take_state(State *state, char **words, int count, BkBuf *out)
{
    BkBuf json = BkBuf_Make(0);
    int up = BkBundle_FindUpstream(state->bundle, BkStr_FromC(words[1]));

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
    BkStatus status =
        BkView_TakeState(state->view, up, BkBuf_Str(&json), state->now);
    if (status != BK_OK) {
        BkBuf_Printf(out, "%s\n", BkErr_Last());
    }
    BkBuf_Destroy(&json);
    print_up(state, up, out);
}

/* obs UP BOOT AGE LEAVING RUNNING */
static void
take_obs(State *state, char **words, BkBuf *out)
{
    BkObs obs = {
        .key = BkBundle_Key(BkStr_FromC(words[1])),
        .boot = (uint32_t)atoi(words[2]),
        .age = atoi(words[3]),
        .leaving = strcmp(words[4], "true") == 0,
        .running = atoi(words[5]),
    };
    int up = BkBundle_FindUpstreamKey(state->bundle, obs.key);

    BkView_TakeObs(state->view, &obs, state->now);
    if (up >= 0) {
        print_up(state, up, out);
    }
}

static void
print_told(State *state, int max, BkBuf *out)
{
    BkObs told[4];
    int count = BkView_Tell(state->view, state->now, told, max);

    for (int i = 0; i < count; i++) {
        int up = BkBundle_FindUpstreamKey(state->bundle, told[i].key);
        BkBuf_Printf(out, "%s age %d%s\n", state->bundle->upstreams[up].name,
                     (int)told[i].age, told[i].leaving ? " leaving" : "");
    }
}

static void
run_line(char **words, int count, BkBuf *out, void *arg)
{
    State *state = arg;

    if (strcmp(words[0], "now") == 0) {
        state->now = atoi(words[1]);
    }
    else if (strcmp(words[0], "state") == 0) {
        take_state(state, words, count, out);
    }
    else if (strcmp(words[0], "obs") == 0) {
        take_obs(state, words, out);
    }
    else if (strcmp(words[0], "fail") == 0) {
        int up = BkBundle_FindUpstream(state->bundle, BkStr_FromC(words[1]));
        BkView_TakeFailure(state->view, up, state->now);
        print_up(state, up, out);
    }
    else if (strcmp(words[0], "tell") == 0) {
        print_told(state, atoi(words[1]), out);
    }
    else if (strcmp(words[0], "next") == 0) {
        int up = BkView_NextPoll(state->view, state->now, atoi(words[1]),
                                 (uint32_t)strtoul(words[2], NULL, 0));
        BkBuf_Printf(out, "%s\n",
                     up < 0 ? "nobody" : state->bundle->upstreams[up].name);
        if (up >= 0) {
            BkView_Polled(state->view, up, state->now);
        }
    }
    else if (strcmp(words[0], "show") == 0) {
        print_up(state, 0, out);
        print_up(state, 1, out);
    }
}

START_TEST(test_script)
{
    State state = {0};
    BkStatus status;

    state.bundle = BkBundle_Parse("test", BkStr_FromC(bundle_text), &status);
    ck_assert_msg(state.bundle != NULL, "%s", BkErr_Last());
    state.view = BkView_Create(state.bundle, NULL);
    BkScript_Run("view", run_line, &state);
    BkView_Destroy(state.view);
    BkBundle_Destroy(state.bundle);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("view", tests, count);
}
