#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/str.h"
#include "bk/lease/lease.h"
#include "script.h"

/* Two stewards and the rows that they share. */
typedef struct Bench {
    BkLease leases[2];
    BkLeaseRows rows;
    char holder[2];
    uint64_t version; /* of the row written last */
    BkMs now;
} Bench;

static const char *const names[] = {"a", "b"};

static void
reset(Bench *bench)
{
    BkLeaseConf conf = {.span = 600, .hold = 450, .renew = 100, .quiet = 200};

    *bench = (Bench){.rows = {.holder = ""}, .version = 10};
    for (int i = 0; i < 2; i++) {
        bench->leases[i] = BkLease_Make(&conf, names[i], 1);
        bench->leases[i].epoch = 1;
    }
}

static void
commit_claim(Bench *bench, int who)
{
    bench->rows =
        (BkLeaseRows){bench->leases[who].term + 1, names[who],        1, false,
                      bench->version + 1,          bench->version + 2};
    bench->version += 2;
}

static bool
claim_fits(const Bench *bench, const BkLease *lease)
{
    return lease->term_version == bench->rows.term_version &&
           lease->beat_version == bench->rows.beat_version;
}

/* carries the action out; lost: the answer does not arrive */
static void
run_action(Bench *bench, int who, BkLeaseAction action, bool lost)
{
    BkLease *lease = &bench->leases[who];
    bool fits = true;

    if (action == BK_LEASE_CLAIM) {
        fits = claim_fits(bench, lease);
        if (fits) {
            commit_claim(bench, who);
        }
    }
    else if (action == BK_LEASE_RENEW) {
        fits = lease->term_version == bench->rows.term_version;
        if (fits) {
            bench->rows.beat_version = ++bench->version;
        }
    }
    if (lost) {
        BkLease_Failed(lease, bench->now);
    }
    else if (!fits) {
        BkLease_Conflict(lease, bench->now);
    }
    else if (action == BK_LEASE_CLAIM) {
        BkLease_Claimed(lease, bench->rows.term_version,
                        bench->rows.beat_version);
    }
    else if (action == BK_LEASE_RENEW) {
        BkLease_Renewed(lease);
    }
    else {
        BkLease_TookRead(lease, &bench->rows, bench->now);
    }
}

static void
run_lease(char **words, int count, BkBuf *out, void *arg)
{
    static const char *const actions[] = {"none", "read", "claim", "renew"};
    Bench *bench = arg;
    const char *verb = words[0];
    int who = count > 1 && strcmp(words[1], "b") == 0 ? 1 : 0;
    BkLease *lease = &bench->leases[who];

    if (strcmp(verb, "new") == 0) {
        reset(bench);
        return;
    }
    if (strcmp(verb, "held") == 0) {
        uint64_t term = strtoull(words[1], NULL, 10);
        bench->rows = (BkLeaseRows){term, "c", 5, false, 20, 21};
        return;
    }
    if (strcmp(verb, "at") == 0) {
        bench->now = atoll(words[1]);
        return;
    }
    if (strcmp(verb, "heard") == 0) {
        BkLease_Heard(lease, strtoull(words[2], NULL, 10), atoll(words[3]));
    }
    else if (strcmp(verb, "heard-rows") == 0) {
        BkLease_HeardRows(lease, strtoull(words[2], NULL, 10),
                          bench->rows.term_version, bench->rows.beat_version);
    }
    else if (strcmp(verb, "resigned") == 0) {
        BkLease_HeardResigned(lease, strtoull(words[2], NULL, 10), bench->now);
    }
    else if (strcmp(verb, "give-up") == 0) {
        BkLease_GiveUp(lease, bench->now);
        bench->rows.released = true;
        bench->rows.beat_version = ++bench->version;
    }
    else {
        /* run, lose (the answer), out (the platform), check (only) */
        BkLeaseAction action = strcmp(verb, "check") == 0
                                   ? BK_LEASE_NONE
                                   : BkLease_Next(lease, bench->now);
        BkBuf_Printf(out, "%s, ", actions[action]);
        if (strcmp(verb, "out") == 0 && action != BK_LEASE_NONE) {
            BkLease_Failed(lease, bench->now);
        }
        else if (action != BK_LEASE_NONE) {
            run_action(bench, who, action, strcmp(verb, "lose") == 0);
        }
    }
    BkBuf_Printf(out, "%s term %llu %s\n",
                 lease->phase == BK_LEASE_HOLD ? "holds" : "follows",
                 (unsigned long long)lease->term,
                 BkLease_Valid(lease, bench->now) ? "valid" : "not valid");
}

START_TEST(test_script)
{
    Bench bench;

    reset(&bench);
    BkScript_Run("lease", run_lease, &bench);
}
END_TEST

START_TEST(test_fence)
{
    ck_assert_uint_lt(BkFence_Make(1, 999999), BkFence_Make(2, 0));
    ck_assert_uint_eq(BkFence_Term(BkFence_Make(7, 3)), 7);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script, test_fence};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("lease", tests, count);
}
