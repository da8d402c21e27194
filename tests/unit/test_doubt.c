#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/doubt/doubt.h"
#include "script.h"

/* at MS note ENGINE ORDERS MB SLOTS until MS | at MS room ENGINE ORDERS |
   at MS clear */
static void
run_doubt(char **words, int count, BkBuf *out, void *arg)
{
    BkDoubts *doubts = arg;
    BkMs now = atoll(words[1]);

    if (strcmp(words[2], "note") == 0) {
        BkDoubt doubt = {.engine = (uint32_t)atoi(words[3]),
                         .order_count = (uint64_t)atoll(words[4]),
                         .room = {atof(words[5]), atoi(words[6])},
                         .until = atoll(words[8])};
        BkDoubts_Note(doubts, &doubt, now);
        BkBuf_Printf(out, "  %d in doubt\n", doubts->count);
    }
    else if (strcmp(words[2], "clear") == 0) {
        BkDoubts_Clear(doubts);
        BkBuf_Printf(out, "  %d in doubt\n", doubts->count);
    }
    else {
        BkDoubtRoom room = BkDoubts_GetRoom(doubts, (uint32_t)atoi(words[3]),
                                            (uint64_t)atoll(words[4]), now);
        BkBuf_Printf(out, "  %.0f MB, %d slots\n", room.mb, room.slots);
    }
}

START_TEST(test_script)
{
    BkDoubts doubts = {0};

    BkScript_Run("doubt", run_doubt, &doubts);
    BkDoubts_Destroy(&doubts);
}
END_TEST

/*
 * A bounded model check: every order of events up to MAX_DEPTH of a planner and
 * an engine with SLOTS slots for adapters. Orders to load may get no answer,
 * and are then carried out at any later time, if the engine's count is the one
 * that they name and their time has not passed; the engine starts again under
 * its id at any time, empty and with a count of 0. The planner notices a start
 * before its next order. The engine must never hold more than SLOTS.
 */
enum {
    SLOTS = 2,
    MAX_LATE = 3,
    MAX_DEPTH = 11,
    ENGINE = 7,
    DELAY = 12000
};

typedef struct State {
    int count; /* orders that the engine has accepted since its start */
    int held;  /* adapters there */
    int late[MAX_LATE]; /* counts that loads without an answer name */
    int late_count;
    BkDoubt rows[MAX_LATE]; /* of the planner */
    BkMs now;
} State;

/* Whether the planner keeps room for loads in doubt; else the search must find
   a state that exceeds the slots. */
static bool keeps_room;
static int states;
static bool exceeded;

static int
get_doubtful_slots(State *state, int order_count)
{
    BkDoubts doubts = {state->rows, state->late_count, MAX_LATE};

    return keeps_room ? BkDoubts_GetRoom(&doubts, ENGINE,
                                         (uint64_t)order_count, state->now)
                            .slots
                      : 0;
}

static int
get_start_slots(State *state)
{
    BkDoubts doubts = {state->rows, state->late_count, MAX_LATE};
    BkDoubt next = {.engine = ENGINE,
                    .order_count = (uint64_t)state->count,
                    .room = {0, 1}};

    return keeps_room ? BkDoubts_GetStartRoom(&doubts, &next, state->now).slots
                      : 0;
}

static bool
may_load(State *state)
{
    return state->held + 1 + get_doubtful_slots(state, state->count + 1) <=
               SLOTS &&
           get_start_slots(state) <= SLOTS;
}

static bool
may_unload(State *state)
{
    return state->held > 0 &&
           state->held + get_doubtful_slots(state, state->count + 1) <= SLOTS;
}

static void search(State state, int depth);

static void
search_loads(State state, int depth)
{
    State next = state;

    if (!may_load(&state)) {
        return;
    }
    next.count++;
    next.held++;
    search(next, depth);
    if (state.late_count < MAX_LATE) {
        next = state;
        next.late[next.late_count] = next.count;
        next.rows[next.late_count++] =
            (BkDoubt){.engine = ENGINE,
                      .order_count = (uint64_t)state.count,
                      .room = {0, 1},
                      .until = state.now + DELAY};
        search(next, depth);
    }
}

static void
search_late(State state, int depth)
{
    for (int i = 0; i < state.late_count; i++) {
        State next = state;
        if (state.late[i] != state.count || state.now >= state.rows[i].until) {
            continue;
        }
        next.late_count--;
        next.late[i] = next.late[next.late_count];
        next.rows[i] = next.rows[next.late_count];
        next.count++;
        next.held++;
        search(next, depth);
    }
}

static void
search(State state, int depth)
{
    states++;
    exceeded = exceeded || state.held > SLOTS;
    if (depth == MAX_DEPTH || exceeded) {
        return;
    }
    search_loads(state, depth + 1);
    search_late(state, depth + 1);
    if (may_unload(&state)) {
        State next = state;
        next.count++;
        next.held--;
        search(next, depth + 1);
    }
    State restarted = state;
    restarted.count = 0;
    restarted.held = 0;
    search(restarted, depth + 1);
    /* after the longest delay, nothing keeps the engine from work */
    State later = state;
    later.now += DELAY;
    ck_assert(later.held == SLOTS || may_load(&later));
}

START_TEST(test_model)
{
    keeps_room = true;
    states = 0;
    exceeded = false;
    search((State){0}, 0);
    ck_assert(!exceeded);
    ck_assert_int_gt(states, 10000);
}
END_TEST

START_TEST(test_model_finds_fault)
{
    keeps_room = false;
    exceeded = false;
    search((State){0}, 0);
    ck_assert(exceeded);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script, test_model,
                                  test_model_finds_fault};

    return BkUnit_Main("doubt", tests, 3);
}
