#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/reach/reach.h"
#include "script.h"

typedef struct Fixture {
    BkFleet fleet;
    BkReach reach;
    BkRng rng;
    uint64_t version;
} Fixture;

static uint32_t
key_of(const char *name)
{
    return BkStr_NameHash(BkStr_FromC(name));
}

/* ID SERVICE */
static void
add_up(Fixture *fixture, char **words)
{
    BkUpReport report = {.id = words[1],
                         .address = "10.0.0.1:80",
                         .service = words[2],
                         .domain = "d1",
                         .slots = 4};

    BkFleet_ApplyReport(&fixture->fleet, &report, ++fixture->version, 0);
}

/* Script verbs:
 *   up ID SERVICE            an upstream of the fleet
 *   leaving ID               it leaves
 *   at MS connected          an upstream accepted a connection
 *   at MS failed ID begun MS [probe]
 *                            an attempt failed; shows whether the links are
 *                            lost now
 *   probe                    chooses an upstream to try; shows whether it is
 *                            one that was not tried before */
static void
run_reach(char **words, int count, BkBuf *out, void *arg)
{
    Fixture *fixture = arg;
    BkReach *reach = &fixture->reach;

    if (strcmp(words[0], "up") == 0) {
        add_up(fixture, words);
    }
    else if (strcmp(words[0], "leaving") == 0) {
        BkFleet_MarkLeaving(
            &fixture->fleet,
            BkFleet_Find(&fixture->fleet, BkStr_FromC(words[1])), 0);
    }
    else if (strcmp(words[0], "probe") == 0) {
        int before = reach->tried_count;
        BkReach_ChooseProbe(reach, &fixture->fleet, &fixture->rng);
        BkBuf_Printf(out, "  %s\n",
                     reach->tried_count > before ? "untried" : "any");
    }
    else if (strcmp(words[2], "connected") == 0) {
        bool regained =
            BkReach_NoteConnected(reach, atoll(words[1]), atoll(words[1]));
        BkBuf_Printf(out, "  %s\n", regained ? "regained" : "connected");
    }
    else {
        BkReach_NoteFailed(reach, key_of(words[3]), count > 6,
                           atoll(words[5]));
        bool lost_now =
            BkReach_Decide(reach, &fixture->fleet, atoll(words[1]));
        BkBuf_Printf(out, "  failed %d%s%s\n", reach->failed_count,
                     reach->lost ? " lost" : "", lost_now ? " now" : "");
    }
}

START_TEST(test_script)
{
    Fixture fixture = {.reach = BkReach_Make(key_of("llm")),
                       .rng = BkRng_Make(1)};

    BkScript_Run("reach", run_reach, &fixture);
    BkFleet_Destroy(&fixture.fleet);
}
END_TEST

/* A request goes to a VM of the own failure domain first, and to the less
   loaded one of two; one that was refused there goes anywhere. */
START_TEST(test_choice)
{
    enum {
        VMS = 40,
        NEAR = 10,
        REQUESTS = 4000
    };
    BkReachVm vms[VMS] = {{0}};
    BkRng rng = BkRng_Make(7);
    int most = 0;
    int far = 0;

    ck_assert_int_eq(BkReach_ChooseVm(vms, 0, 0, &rng), -1);
    for (int i = 0; i < NEAR; i++) {
        vms[i].near = true;
    }
    for (int i = 0; i < REQUESTS; i++) {
        int chosen = BkReach_ChooseVm(vms, VMS, 0, &rng);
        ck_assert_int_lt(chosen, NEAR);
        vms[chosen].in_flight++;
        most = vms[chosen].in_flight > most ? vms[chosen].in_flight : most;
    }
    ck_assert_int_le(most, REQUESTS / NEAR + 10);
    for (int i = 0; i < REQUESTS; i++) {
        far += BkReach_ChooseVm(vms, VMS, 1, &rng) >= NEAR ? 1 : 0;
    }
    ck_assert_int_gt(far, REQUESTS / 2);
    for (int i = 0; i < VMS; i++) {
        vms[i].near = false;
    }
    ck_assert_int_ge(BkReach_ChooseVm(vms, VMS, 0, &rng), 0);
}
END_TEST

START_TEST(test_may_take)
{
    ck_assert(BkReach_MayTake(7, 0, 0));
    ck_assert(!BkReach_MayTake(8, 0, 0));
    ck_assert(BkReach_MayTake(19, 20, 1));
    ck_assert(!BkReach_MayTake(20, 20, 1));
    ck_assert(BkReach_MayTake(500, 20, BK_REACH_MAX_REFUSALS));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script, test_choice, test_may_take};

    return BkUnit_Main("reach", tests, 3);
}
