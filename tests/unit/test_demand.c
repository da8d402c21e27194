#include <check.h>
#include <stdlib.h>

#include "planner.h"
#include "script.h"

/* The planner's view of the demand, from messages with the rows that changed.
 */

enum {
    MODEL = 7,
    ROUND = 200 /* ms between two updates of the rates */
};

typedef struct Fixture {
    FrPlanner *planner;
    BkMs now;
} Fixture;

static Fixture
make_fixture(void)
{
    Fixture fixture = {.planner = BkMem_New(1, sizeof(FrPlanner)),
                       .now = 100000};

    fixture.planner->work_updated_at = fixture.now;
    return fixture;
}

static void
destroy_fixture(Fixture *fixture)
{
    FrDemand_Destroy(fixture->planner);
    free(fixture->planner);
}

static void
tell(Fixture *fixture, uint64_t started_at, u_quad_t work, u_int new_work,
     u_int waiting)
{
    char name[] = "front-1";
    bkp_demand row = {.model = MODEL,
                      .requests = 1,
                      .work_tokens = work,
                      .new_work_tokens = new_work,
                      .waiting = waiting};
    bkp_demands demands = {
        .name = name, .started_at = started_at, .rows = {1, &row}};

    FrDemand_Handle(fixture->planner, &demands, fixture->now);
}

static bool
is_near(double a, double b)
{
    return a > b - 1e-6 && a < b + 1e-6;
}

/* Ends the round; returns whether the model's rates are those of so much work.
 */
static bool
round_has_work(Fixture *fixture, BkWork *reference, double work)
{
    BkWork_Add(reference, work);
    BkWork_EndRound(reference, &bk_work_defaults, ROUND);
    fixture->now += ROUND;
    FrDemand_UpdateWork(fixture->planner, fixture->now);
    BkWork known = FrDemand_GetWork(fixture->planner, MODEL);
    return is_near(known.recent_rate, reference->recent_rate) &&
           is_near(known.slow_rate, reference->slow_rate) &&
           is_near(known.steady_rate, reference->steady_rate);
}

/* A planner that hears of a model for the first time counts only the work that
   is new, not that of hours; a lost message is made up for by the next one;
   rows that are told again, or late, add nothing. */
START_TEST(test_work)
{
    Fixture fixture = make_fixture();
    BkWork reference = {0};

    tell(&fixture, 1, 1000000, 500, 0);
    ck_assert(round_has_work(&fixture, &reference, 500));
    tell(&fixture, 1, 1000000, 0, 0);
    ck_assert(round_has_work(&fixture, &reference, 0));
    /* a message with 300 of the 700 was lost */
    tell(&fixture, 1, 1000700, 400, 0);
    ck_assert(round_has_work(&fixture, &reference, 700));
    tell(&fixture, 1, 1000300, 300, 0);
    ck_assert(round_has_work(&fixture, &reference, 0));
    destroy_fixture(&fixture);
}
END_TEST

/* A restarted daemon counts from 0 again. */
START_TEST(test_restart)
{
    Fixture fixture = make_fixture();
    BkWork reference = {0};

    tell(&fixture, 1, 5000, 5000, 0);
    ck_assert(round_has_work(&fixture, &reference, 5000));
    tell(&fixture, 2, 800, 800, 0);
    ck_assert(round_has_work(&fixture, &reference, 800));
    destroy_fixture(&fixture);
}
END_TEST

/* The planner of a later term does not count as new what daemons told other
   planners since its own last term. */
START_TEST(test_later_term)
{
    Fixture fixture = make_fixture();
    BkWork reference = {0};

    tell(&fixture, 1, 5000, 5000, 0);
    ck_assert(round_has_work(&fixture, &reference, 5000));
    FrDemand_BeginTerm(fixture.planner);
    reference = (BkWork){0};
    tell(&fixture, 1, 1000000, 300, 0);
    ck_assert(round_has_work(&fixture, &reference, 300));
    destroy_fixture(&fixture);
}
END_TEST

/* Waiting requests count until the daemon says otherwise or is silent. */
START_TEST(test_waiting)
{
    Fixture fixture = make_fixture();

    tell(&fixture, 1, 100, 100, 3);
    FrDemand_UpdateWaiting(fixture.planner, fixture.now);
    ck_assert_int_eq(FrDemand_GetWaiting(fixture.planner, MODEL), 3);
    ck_assert_int_eq(FrDemand_GetWaiting(fixture.planner, MODEL + 1), 0);
    tell(&fixture, 1, 100, 0, 1);
    FrDemand_UpdateWaiting(fixture.planner, fixture.now);
    ck_assert_int_eq(FrDemand_GetWaiting(fixture.planner, MODEL), 1);
    FrDemand_UpdateWaiting(fixture.planner, fixture.now + 5000);
    ck_assert_int_eq(FrDemand_GetWaiting(fixture.planner, MODEL), 0);
    destroy_fixture(&fixture);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_work, test_restart, test_later_term,
                                  test_waiting};

    return BkUnit_Main("demand", tests, 4);
}
