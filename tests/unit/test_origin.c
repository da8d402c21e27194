#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/rng.h"
#include "bk/origin/origin.h"
#include "script.h"

enum {
    MEMORY = 1000 /* ms */
};

/* VERSIONS:VERSION[:complete] */
static BkOriginView
read_view(const char *word)
{
    BkStr text = BkStr_FromC(word);
    BkStr versions = BkStr_Split(&text, ':');
    BkStr version = BkStr_Split(&text, ':');

    return (BkOriginView){.versions = atoi(versions.ptr),
                          .version = BkStr_NameHash(version),
                          .complete = BkStr_Equal(text, BK_STR("complete"))};
}

/* decide OWN alone|peers ASKED TIMEOUTS [ANSWER...] */
static void
decide(char **words, int count, BkBuf *out)
{
    static const char *const decisions[] = {"wait", "the only version",
                                            "not known"};
    BkOriginEvidence evidence = {.own = read_view(words[1]),
                                 .has_peers = strcmp(words[2], "peers") == 0,
                                 .asked = atoi(words[3]),
                                 .timeouts = atoi(words[4])};

    for (int i = 5; i < count; i++) {
        BkOriginView view = read_view(words[i]);
        BkOrigin_AddView(&evidence, &view);
    }
    BkBuf_Printf(out, "  %s\n", decisions[BkOrigin_Decide(&evidence)]);
}

static bool
is_wanted(uint32_t service, void *arg)
{
    return true;
}

static void
show_row(const BkOrigin *row, void *arg)
{
    BkBuf_Printf(arg, "  told: version %u\n", row->version);
}

/* at MS note STREAM VERSION [untold] | at MS find STREAM | at MS tell */
static void
run_table(BkOrigins *origins, char **words, int count, BkBuf *out)
{
    BkMs now = atoll(words[1]);
    const char *what = words[2];

    if (strcmp(what, "tell") == 0) {
        BkOrigins_TakeUntold(origins, is_wanted, show_row, out);
        return;
    }
    uint64_t stream = BkOrigin_Key(
        strcmp(words[3], "-") == 0 ? BK_STR("") : BkStr_FromC(words[3]));
    if (strcmp(what, "note") == 0) {
        BkOrigin row = {.stream = stream,
                        .version = (uint32_t)atoi(words[4]),
                        .untold = count > 5};
        BkOrigins_Note(origins, &row, now);
        return;
    }
    BkOrigins_Expire(origins, now);
    const BkOrigin *row = BkOrigins_Find(origins, stream);
    if (row == NULL) {
        BkBuf_Append(out, BK_STR("  none\n"));
        return;
    }
    BkBuf_Printf(out, "  version %u\n", row->version);
}

static void
run_origin(char **words, int count, BkBuf *out, void *arg)
{
    if (strcmp(words[0], "decide") == 0) {
        decide(words, count, out);
        return;
    }
    run_table(arg, words, count, out);
}

START_TEST(test_script)
{
    BkOrigins origins = BkOrigins_Make(MEMORY, 0);

    BkScript_Run("origin", run_origin, &origins);
    BkOrigins_Destroy(&origins);
}
END_TEST

/* all streams of a memory are found; past the limit, they are counted */
START_TEST(test_many)
{
    BkOrigins origins = BkOrigins_Make(MEMORY, 0);

    for (uint64_t i = 1; i <= BK_ORIGIN_MAX_STREAMS + 7; i++) {
        BkOrigin row = {.stream = i * 0x9e3779b97f4a7c15U,
                        .version = (uint32_t)i};
        BkOrigins_Note(&origins, &row, 10);
    }
    ck_assert_int_eq(origins.dropped, 7);
    for (uint64_t i = 1; i <= BK_ORIGIN_MAX_STREAMS; i++) {
        const BkOrigin *row =
            BkOrigins_Find(&origins, i * 0x9e3779b97f4a7c15U);
        ck_assert_ptr_nonnull(row);
        ck_assert_int_eq(row->version, i);
    }
    BkOrigins_Destroy(&origins);
}
END_TEST

/* Lists all daemons but one, as it knows them. */
static int
list_others(const BkOriginPeer *all, int count, int without, BkOriginPeer *out)
{
    int n = 0;

    for (int i = 0; i < count; i++) {
        if (i != without) {
            out[n++] = all[i];
        }
    }
    return n;
}

static bool
has_key(const BkOriginPeer *list, const int *chosen, int count, uint32_t key)
{
    for (int i = 0; i < count; i++) {
        if (list[chosen[i]].key == key) {
            return true;
        }
    }
    return false;
}

/* A daemon tells the homes of a stream and dies; any other one that takes the
   stream up asks one of them, or is one, before it knows of the death. */
START_TEST(test_asker_reaches_a_home)
{
    enum {
        MAX = 300
    };
    BkRng rng = BkRng_Make(7);
    BkOriginPeer all[MAX];
    BkOriginPeer seen[MAX];
    int homes[BK_ORIGIN_MAX_ASKED];
    int asked[BK_ORIGIN_MAX_ASKED];
    uint32_t home_keys[BK_ORIGIN_MAX_ASKED];
    int sizes[] = {2, 3, 8, 24, 295};
    int reached = 0;

    for (int turn = 0; turn < 2000; turn++) {
        int count = sizes[turn % 5];
        int domains = 1 + (int)BkRng_Below(&rng, 6);
        uint64_t stream = BkRng_Next(&rng) | 1;
        for (int i = 0; i < count; i++) {
            all[i] = (BkOriginPeer){(uint32_t)BkRng_Next(&rng) | 1,
                                    BkRng_Below(&rng, (uint32_t)domains)};
        }
        int taker = (int)BkRng_Below(&rng, (uint32_t)count);
        int asker =
            (taker + 1 + (int)BkRng_Below(&rng, (uint32_t)count - 1)) % count;
        int n = list_others(all, count, taker, seen);
        int home_count = BkOrigin_ChooseHomes(seen, n, all[taker].domain,
                                              stream, BK_ORIGIN_HOMES / 2,
                                              BK_ORIGIN_HOMES / 2, homes);
        ck_assert_int_ge(home_count, 1);
        ck_assert_int_le(home_count, BK_ORIGIN_HOMES);
        for (int i = 0; i < home_count; i++) {
            home_keys[i] = seen[homes[i]].key;
        }
        n = list_others(all, count, asker, seen);
        int asked_count = BkOrigin_ChooseHomes(seen, n, all[asker].domain,
                                               stream, BK_ORIGIN_MAX_ASKED / 2,
                                               BK_ORIGIN_MAX_ASKED / 2, asked);
        bool found = false;
        for (int i = 0; i < home_count; i++) {
            found = found || home_keys[i] == all[asker].key ||
                    has_key(seen, asked, asked_count, home_keys[i]);
        }
        ck_assert(found);
        reached++;
    }
    ck_assert_int_eq(reached, 2000);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script, test_many,
                                  test_asker_reaches_a_home};

    return BkUnit_Main("origin", tests, 3);
}
