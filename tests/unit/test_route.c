#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/route/route.h"
#include "script.h"

static const char bundle_text[] =
    "[bundle]\nname = b\n"
    "[upstream e1]\nkind = engine\naddr = 127.0.0.1:1\ndomain = a\n"
    "memory = 10GiB\nslots = 4\nfencing = ignored\n"
    "[upstream e2]\nkind = engine\naddr = 127.0.0.1:2\ndomain = a\n"
    "memory = 10GiB\nslots = 4\nfencing = ignored\n"
    "[upstream e3]\nkind = engine\naddr = 127.0.0.1:3\ndomain = b\n"
    "memory = 10GiB\nslots = 4\nfencing = ignored\n"
    "[upstream s1]\nkind = service\naddr = 127.0.0.1:4\ndomain = b\n"
    "serves = water\nslots = 4\n"
    "[service water]\nrepeatable = no\n"
    "[model m1]\nversion = 2\nbytes = 1GiB\n"
    "[model m2]\nversion = 1\nbytes = 1GiB\n"
    "[caller a]\nshare = 1\nallow = *\ntoken = "
    "00000000000000000000000000000000000000000000000000000000000000aa\n"
    "[caller b]\nshare = 3\nallow = *\ntoken = "
    "00000000000000000000000000000000000000000000000000000000000000bb\n";

typedef struct Fixture {
    BkBundle *bundle;
    BkView *view;
    BkRoute route;
    BkRouteQuery query;
    BkFairShare *fair;
    BkRetryBucket budget;
    BkMs now;
} Fixture;

static int
find_up(const Fixture *f, const char *name)
{
    return BkBundle_FindUpstream(f->bundle, BkStr_FromC(name));
}

/* state UP RUNNING WAITING ITEM/VERSION...: the upstream reports this load and
   ready instances of these items */
static void
apply_state(Fixture *f, char **words, int count)
{
    BkBuf json = BkBuf_Make(0);

    BkBuf_Printf(&json,
                 "{\"boot\":1,\"running\":%s,\"waiting\":%s,\"instances\":[",
                 words[2], words[3]);
    for (int i = 4; i < count; i++) {
        BkStr version = BkStr_FromC(words[i]);
        BkStr item = BkStr_Split(&version, '/');
        BkBuf_Printf(&json, "%s{\"instance\":\"%s\",\"model\":\"%.*s\",",
                     i == 4 ? "" : ",", words[i], BK_STR_ARG(item));
        BkBuf_Printf(&json, "\"version\":\"%.*s\",\"state\":\"ready\"}",
                     BK_STR_ARG(version));
    }
    BkBuf_Printf(&json, "]}");
    BkStatus status = BkView_ApplyState(f->view, find_up(f, words[1]),
                                        BkBuf_Str(&json), f->now);
    ck_assert_int_eq(status, BK_OK);
    BkBuf_Destroy(&json);
}

/* choose ITEM TIMES: how often each upstream is chosen; nothing is sent */
static void
choose(Fixture *f, char **words, BkBuf *out)
{
    int counts[4] = {0};
    int times = atoi(words[2]);
    BkRouteChoice choice = {.status = BK_OK};

    f->query.item = BkBundle_FindItem(f->bundle, BkStr_FromC(words[1]));
    for (int i = 0; i < times && choice.status == BK_OK; i++) {
        choice = BkRoute_Choose(&f->route, f->view, &f->query, f->now);
        if (choice.status == BK_OK) {
            counts[choice.upstream]++;
        }
    }
    if (choice.status != BK_OK) {
        BkBuf_Printf(out, "%s, retry after %lld ms: %s\n",
                     BkStatus_Info(choice.status)->name,
                     (long long)choice.retry_after, BkErr_Last());
        return;
    }
    for (int up = 0; up < f->view->count; up++) {
        if (counts[up] > 0) {
            BkBuf_Printf(out, "%s %d, ", f->bundle->upstreams[up].name,
                         counts[up]);
        }
    }
    BkBuf_Printf(out, "wait %lld ms\n", (long long)choice.conservative_wait);
}

/* prefixes ITEM N: how often each upstream is chosen for N prefixes, and how
   many prefixes go to another upstream the second time */
static void
choose_by_prefix(Fixture *f, char **words, BkBuf *out)
{
    int counts[4] = {0};
    int moved = 0;

    f->query.item = BkBundle_FindItem(f->bundle, BkStr_FromC(words[1]));
    for (int i = 1; i <= atoi(words[2]); i++) {
        f->query.prefix_hash = (uint64_t)i;
        int first =
            BkRoute_Choose(&f->route, f->view, &f->query, f->now).upstream;
        int again =
            BkRoute_Choose(&f->route, f->view, &f->query, f->now).upstream;
        counts[first]++;
        moved += first != again;
    }
    f->query.prefix_hash = 0;
    BkBuf_Printf(out, "e1 %d, e2 %d, e3 %d, moved %d\n", counts[0], counts[1],
                 counts[2], moved);
}

/* admit CALLER TIMES: how many requests of the caller are admitted */
static void
admit(Fixture *f, char **words, BkBuf *out)
{
    int admitted = 0;
    BkMs retry = 0;
    int caller = atoi(words[1]);

    for (int i = 0; i < atoi(words[2]); i++) {
        admitted +=
            BkFairShare_Admit(f->fair, caller, f->now, &retry) == BK_OK;
    }
    BkBuf_Printf(out, "%d admitted, retry after %lld ms\n", admitted,
                 (long long)retry);
}

/* Runs the verbs that change an upstream; false if it is another verb. */
static bool
change_upstream(Fixture *f, char **words, int count)
{
    const char *verb = words[0];

    if (strcmp(verb, "state") == 0) {
        apply_state(f, words, count);
    }
    else if (strcmp(verb, "fail") == 0) {
        BkView_NoteFailure(f->view, find_up(f, words[1]), f->now);
    }
    else if (strcmp(verb, "leave") == 0) {
        BkView_SetLeaving(f->view, find_up(f, words[1]));
    }
    else if (strcmp(verb, "sent") == 0) {
        for (int i = 0; i < atoi(words[2]); i++) {
            BkRoute_NoteSent(f->view, find_up(f, words[1]));
        }
    }
    else if (strcmp(verb, "finished") == 0) {
        BkRoute_NoteFinished(f->view, find_up(f, words[1]));
    }
    else {
        return false;
    }
    return true;
}

/* sequence ITEM N MS: sends N requests one after the other, each of which
   takes MS, with 500 ms to its deadline; prints how many were refused */
static void
run_sequence(Fixture *f, char **words, BkBuf *out)
{
    int refused = 0;
    int duration = atoi(words[3]);

    f->query.item = BkBundle_FindItem(f->bundle, BkStr_FromC(words[1]));
    for (int up = 0; up < f->view->count; up++) {
        f->view->ups[up].own_running = 0;
        f->view->ups[up].own_running_delta = 0;
    }
    for (int i = 0; i < atoi(words[2]); i++) {
        f->query.deadline = f->now + 500;
        BkRouteChoice choice =
            BkRoute_Choose(&f->route, f->view, &f->query, f->now);
        f->now += duration;
        if (choice.status != BK_OK) {
            refused++;
            continue;
        }
        BkRoute_NoteSent(f->view, choice.upstream);
        BkRoute_NoteFinished(f->view, choice.upstream);
        BkRoute_NoteDuration(&f->route, f->view, choice.upstream, duration);
    }
    BkBuf_Printf(out, "%d refused\n", refused);
}

/* policy N: see BkRoutePolicy; deadline MS: from now; wait MS; tried UP...:
   upstreams to leave out; senders N; admit CALLER TIMES; release CALLER;
   requests N: counts first attempts; retry: retries until refused and prints
   how many retries were allowed */
static void
run_route(char **words, int count, BkBuf *out, void *arg)
{
    Fixture *f = arg;
    const char *verb = words[0];

    if (change_upstream(f, words, count)) {
        return;
    }
    if (strcmp(verb, "choose") == 0) {
        choose(f, words, out);
    }
    else if (strcmp(verb, "prefixes") == 0) {
        choose_by_prefix(f, words, out);
    }
    else if (strcmp(verb, "policy") == 0) {
        f->route.conf.policy = (BkRoutePolicy)atoi(words[1]);
    }
    else if (strcmp(verb, "deadline") == 0) {
        f->query.deadline = f->now + atoi(words[1]);
    }
    else if (strcmp(verb, "wait") == 0) {
        f->now += atoi(words[1]);
    }
    else if (strcmp(verb, "tried") == 0) {
        f->query.tried_count = count - 1;
        for (int i = 1; i < count; i++) {
            f->query.tried[i - 1] = find_up(f, words[i]);
        }
    }
    else if (strcmp(verb, "sequence") == 0) {
        run_sequence(f, words, out);
    }
    else if (strcmp(verb, "senders") == 0) {
        f->route.conf.senders = atoi(words[1]);
    }
    else if (strcmp(verb, "admit") == 0) {
        admit(f, words, out);
    }
    else if (strcmp(verb, "release") == 0) {
        BkFairShare_Release(f->fair, atoi(words[1]), f->now);
    }
    else if (strcmp(verb, "requests") == 0) {
        for (int i = 0; i < atoi(words[1]); i++) {
            BkRetryBucket_CountRequest(&f->budget);
        }
    }
    else if (strcmp(verb, "retry") == 0) {
        int allowed = 0;
        while (BkRetryBucket_TryRetry(&f->budget)) {
            allowed++;
        }
        BkBuf_Printf(out, "%d allowed\n", allowed);
    }
}

START_TEST(test_script)
{
    Fixture f = {.now = BK_MS_PER_S, .budget = {0, 0.1, 5}};
    BkStatus status;

    f.bundle = BkBundle_Parse("b", BkStr_FromC(bundle_text), &status);
    ck_assert_msg(f.bundle != NULL, "%s", BkErr_Last());
    f.view = BkView_Create(f.bundle, NULL);
    f.fair = BkFairShare_Create(f.bundle, 8);
    f.route = (BkRoute){.rng = BkRng_Make(1)};
    f.route.conf = (BkRouteConf){.stale_after = 3 * BK_MS_PER_S,
                                 .service_time = BK_MS_PER_S,
                                 .first_byte_time = 100,
                                 .affinity_slack = 0.25};
    f.query.deadline = f.now + 500;
    BkScript_Run("route", run_route, &f);
    BkRoute_Destroy(&f.route);
    BkFairShare_Destroy(f.fair);
    BkView_Destroy(f.view);
    BkBundle_Destroy(f.bundle);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("route", tests, count);
}
