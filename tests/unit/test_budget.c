#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/budget/budget.h"
#include "script.h"

typedef struct Fixture {
    BkBudgetConf conf;
    BkBudget budget;
    int daemons;
    BkMs now;
} Fixture;

/* new DAEMONS: this daemon starts, one of DAEMONS; at MS: sets the time;
 * requests N: counts N requests; retry N: tries N retries and prints how many
 * are granted; end N MS: N retries that were granted at that time end */
static void
run_budget(char **words, int count, BkBuf *out, void *arg)
{
    Fixture *fixture = arg;
    int granted = 0;
    int n = count > 1 ? atoi(words[1]) : 0;

    if (strcmp(words[0], "new") == 0) {
        fixture->budget = (BkBudget){0};
        fixture->conf.started_at = fixture->now;
        fixture->daemons = n;
    }
    else if (strcmp(words[0], "at") == 0) {
        fixture->now = n;
    }
    else if (strcmp(words[0], "end") == 0) {
        for (int i = 0; i < n; i++) {
            BkBudget_EndRetry(&fixture->budget, &fixture->conf, atoi(words[2]),
                              fixture->now);
        }
    }
    else if (strcmp(words[0], "requests") == 0) {
        for (int i = 0; i < n; i++) {
            BkBudget_CountRequest(&fixture->budget, &fixture->conf,
                                  fixture->now);
        }
    }
    else {
        for (int i = 0; i < n; i++) {
            granted += BkBudget_TakeRetry(&fixture->budget, &fixture->conf,
                                          fixture->daemons, fixture->now);
        }
        BkBuf_Printf(out, "  %d of %d granted\n", granted, n);
    }
}

START_TEST(test_limits)
{
    Fixture fixture = {
        .conf = {
            .ratio = 0.2, .slack = 56, .window = 10000, .usable_share = 1}};

    BkScript_Run("budget", run_budget, &fixture);
}
END_TEST

enum {
    DAEMONS = 8,
    SECONDS = 60,
    TICKS_PER_S = 100,
    TICKS = SECONDS * TICKS_PER_S,
    WINDOW = 10 * TICKS_PER_S, /* in ticks */
    CALLERS = 24,
    MAX_HELD_BACK = 4 * TICKS_PER_S, /* ticks until a retry arrives */
    MAX_OPEN = 100000
};

static const double ratio = 0.2;
static const double slack = 56;

/* What may happen in a play; see play(). */
typedef struct Faults {
    bool restarts;
    bool all_restart; /* at once */
    bool callers_move;
    bool held_back;
} Faults;

/* A retry that has not arrived yet. */
typedef struct OpenRetry {
    int daemon;
    int generation; /* of the daemon's process */
    BkMs taken_at;
    int arrives; /* tick */
} OpenRetry;

typedef struct Play {
    BkBudgetConf confs[DAEMONS];
    BkBudget budgets[DAEMONS];
    int generations[DAEMONS];
    OpenRetry *open;
    int open_count;
    int requests[TICKS];
    int arrivals[TICKS]; /* of retries */
    unsigned seed;
} Play;

static int
draw(Play *play, int below)
{
    return (int)((unsigned)rand_r(&play->seed) % (unsigned)below);
}

static void
restart(Play *play, int daemon, BkMs now)
{
    play->budgets[daemon] = (BkBudget){0};
    play->confs[daemon].started_at = now;
    play->generations[daemon]++;
}

static void
retry(Play *play, int daemon, int tick, int delay, BkMs now)
{
    if (!BkBudget_TakeRetry(&play->budgets[daemon], &play->confs[daemon],
                            DAEMONS, now)) {
        return;
    }
    ck_assert_int_lt(play->open_count, MAX_OPEN);
    play->open[play->open_count++] =
        (OpenRetry){daemon, play->generations[daemon], now, tick + delay};
}

static void
end_arrived(Play *play, int tick, BkMs now)
{
    for (int i = play->open_count - 1; i >= 0; i--) {
        OpenRetry *open = &play->open[i];
        if (open->arrives > tick) {
            continue;
        }
        play->arrivals[tick]++;
        if (open->generation == play->generations[open->daemon]) {
            BkBudget_EndRetry(&play->budgets[open->daemon],
                              &play->confs[open->daemon], open->taken_at, now);
        }
        *open = play->open[--play->open_count];
    }
}

/* In spells of refusals, each request is tried again as often as the budget
   allows. */
static void
play_tick(Play *play, const Faults *faults, int tick)
{
    static int spell_end;
    static int base;
    static int held_until;
    BkMs now = 100000 + tick * 1000 / TICKS_PER_S;

    if (tick == 0) {
        spell_end = 0;
        base = 0;
        held_until = 0;
    }
    end_arrived(play, tick, now);
    if (tick > spell_end && draw(play, 3 * TICKS_PER_S) == 0) {
        spell_end = tick + draw(play, 20 * TICKS_PER_S);
    }
    if (faults->held_back && tick > held_until &&
        draw(play, 6 * TICKS_PER_S) == 0) {
        held_until = tick + draw(play, MAX_HELD_BACK);
    }
    if (faults->callers_move && draw(play, TICKS_PER_S) == 0) {
        base = draw(play, DAEMONS);
    }
    for (int i = 0; i < CALLERS; i++) {
        int daemon = faults->callers_move ? base : (base + i) % DAEMONS;
        if (draw(play, 10) > 0) {
            continue;
        }
        play->requests[tick]++;
        BkBudget_CountRequest(&play->budgets[daemon], &play->confs[daemon],
                              now);
        for (int n = 0; tick < spell_end && n < 4; n++) {
            bool held = tick < held_until && draw(play, 3) == 0;
            retry(play, daemon, tick, held ? held_until - tick : 0, now);
        }
    }
    bool all = faults->all_restart && draw(play, 3 * TICKS_PER_S) == 0;
    for (int d = 0; d < DAEMONS; d++) {
        if (all || (faults->restarts && draw(play, 2 * TICKS_PER_S) == 0)) {
            restart(play, d, now);
        }
    }
}

static int
count_window(const int *ticks, int from)
{
    int count = 0;

    for (int i = from < 0 ? 0 : from; i < from + WINDOW; i++) {
        count += ticks[i];
    }
    return count;
}

/* Plays the seed, and checks every window: the requests are counted in it, in
   the one before it or in the one half a window before, whichever has most. */
static void
play_seed(Faults faults, unsigned seed)
{
    static OpenRetry open[MAX_OPEN];
    static Play play;
    int total = 0;

    play = (Play){.open = open, .seed = seed};
    for (int d = 0; d < DAEMONS; d++) {
        play.confs[d] = (BkBudgetConf){.ratio = ratio,
                                       .slack = slack,
                                       .window = 10000,
                                       .started_at = 90000,
                                       .usable_share = BK_BUDGET_USABLE_SHARE};
    }
    for (int tick = 0; tick < TICKS; tick++) {
        play_tick(&play, &faults, tick);
        total += play.arrivals[tick];
    }
    for (int from = 0; from + WINDOW <= TICKS; from++) {
        int requests = count_window(play.requests, from);
        int half_before = count_window(play.requests, from - WINDOW / 2);
        int before = count_window(play.requests, from - WINDOW);
        int arrivals = count_window(play.arrivals, from);
        requests = requests > half_before ? requests : half_before;
        requests = requests > before ? requests : before;
        ck_assert_msg(arrivals <= ratio * requests + slack,
                      "seed %u: %d retries for %d requests from tick %d on",
                      seed, arrivals, requests, from);
    }
    ck_assert_int_gt(total, 100);
}

static void
play_seeds(Faults faults)
{
    for (unsigned seed = 1; seed <= 20; seed++) {
        play_seed(faults, seed);
    }
}

START_TEST(test_any_window)
{
    play_seeds((Faults){0});
}
END_TEST

START_TEST(test_any_window_with_restarts)
{
    play_seeds((Faults){.restarts = true});
    play_seeds((Faults){.all_restart = true});
}
END_TEST

START_TEST(test_any_window_while_callers_move)
{
    play_seeds((Faults){.callers_move = true});
    play_seeds((Faults){.callers_move = true, .restarts = true});
}
END_TEST

START_TEST(test_any_window_of_late_arrivals)
{
    play_seeds((Faults){.held_back = true});
    play_seeds((Faults){.held_back = true, .callers_move = true});
}
END_TEST

/* Daemons under an even load, which try each request again and restart at
   random, keep to the limit even if it is counted by the requests of the window
   alone. */
START_TEST(test_any_window_of_even_load)
{
    enum {
        TICKS_IN_WINDOW = 100,
        EVEN_TICKS = SECONDS * 10,
        NOMINAL_RATE = 20 /* requests a second; fewer on average */
    };
    BkBudgetConf confs[DAEMONS];
    static int requests[EVEN_TICKS];
    static int retries[EVEN_TICKS];
    BkBudget budgets[DAEMONS] = {0};
    unsigned seed = 7;

    for (int d = 0; d < DAEMONS; d++) {
        confs[d] = (BkBudgetConf){.ratio = ratio,
                                  .slack = slack,
                                  .window = 10000,
                                  .started_at = 100000,
                                  .usable_share = BK_BUDGET_USABLE_SHARE};
    }
    for (int tick = 0; tick < EVEN_TICKS; tick++) {
        BkMs now = 100000 + tick * 100;
        for (int d = 0; d < DAEMONS; d++) {
            int n = rand_r(&seed) % (2 * NOMINAL_RATE / 10);
            for (int i = 0; i < n; i++) {
                BkBudget_CountRequest(&budgets[d], &confs[d], now);
                requests[tick]++;
                if (BkBudget_TakeRetry(&budgets[d], &confs[d], DAEMONS, now)) {
                    retries[tick]++;
                    BkBudget_EndRetry(&budgets[d], &confs[d], now, now);
                }
            }
            if (rand_r(&seed) % 200 == 0) {
                budgets[d] = (BkBudget){0}; /* restart */
                confs[d].started_at = now;
            }
        }
    }
    for (int from = 100; from + TICKS_IN_WINDOW <= EVEN_TICKS; from++) {
        int request_count = 0;
        int retry_count = 0;
        for (int i = from; i < from + TICKS_IN_WINDOW; i++) {
            request_count += requests[i];
            retry_count += retries[i];
        }
        ck_assert_int_gt(retry_count, 0);
        ck_assert_msg(retry_count <= ratio * request_count + slack,
                      "%d retries for %d requests from tick %d on",
                      retry_count, request_count, from);
    }
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_limits,
                                  test_any_window_of_even_load,
                                  test_any_window,
                                  test_any_window_with_restarts,
                                  test_any_window_while_callers_move,
                                  test_any_window_of_late_arrivals};

    return BkUnit_Main("budget", tests, 6);
}
