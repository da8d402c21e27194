#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/plan/plan.h"
#include "bk/plan/start.h"
#include "script.h"

enum {
    MAX_ENTRIES = 32
};

typedef struct Fixture {
    BkPlanConf conf;
    BkPlanModel models[MAX_ENTRIES];
    char *model_names[MAX_ENTRIES];
    int model_count;
    BkPlanEngine engines[MAX_ENTRIES];
    char *engine_names[MAX_ENTRIES];
    int engine_count;
    int store_loads;
} Fixture;

static int
find_name(char *const *names, int count, const char *name)
{
    for (int i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

static uint32_t
make_key(const char *name)
{
    return BkStr_NameHash(BkStr_FromC(name));
}

/* model NAME MB WORK [WAITING [STEADY]] */
static void
set_model(Fixture *fixture, char **words, int count)
{
    int index =
        find_name(fixture->model_names, fixture->model_count, words[1]);

    if (index < 0) {
        index = fixture->model_count++;
        fixture->model_names[index] = BkStr_Dup(BkStr_FromC(words[1]));
    }
    fixture->models[index] =
        (BkPlanModel){.key = make_key(words[1]),
                      .weights_mb = atof(words[2]),
                      .weight_store_load_time = 4000,
                      .disk_load_time = 800,
                      .memory_load_time = 600,
                      .work = atof(words[3]),
                      .waiting_requests = count > 4 ? atoi(words[4]) : 0,
                      .steady_work = count > 5 ? atof(words[5]) : 0};
}

/* engine NAME CAPACITY_MB
 * [held=M|loading=M|from_store|unloading=M|reserved=M|disk=M|ordered|closed]...
 */
static void
set_engine(Fixture *fixture, char **words, int count)
{
    int index =
        find_name(fixture->engine_names, fixture->engine_count, words[1]);

    if (index < 0) {
        index = fixture->engine_count++;
        fixture->engine_names[index] = BkStr_Dup(BkStr_FromC(words[1]));
    }
    BkPlanEngine *engine = &fixture->engines[index];
    *engine = (BkPlanEngine){.key = make_key(words[1]),
                             .open = true,
                             .capacity_mb = atof(words[2])};
    for (int i = 3; i < count; i++) {
        BkStr value = BkStr_FromC(words[i]);
        BkStr name = BkStr_Split(&value, '=');
        uint32_t key = BkStr_NameHash(value);
        if (BkStr_Equal(name, BK_STR("held"))) {
            engine->held[engine->held_count++] = key;
        }
        else if (BkStr_Equal(name, BK_STR("loading"))) {
            engine->loading = key;
            engine->has_order = true;
        }
        else if (BkStr_Equal(name, BK_STR("from_store"))) {
            engine->loads_from_store = true;
        }
        else if (BkStr_Equal(name, BK_STR("unloading"))) {
            engine->unloading = key;
            engine->has_order = true;
        }
        else if (BkStr_Equal(name, BK_STR("reserved"))) {
            engine->reserved_for = key;
        }
        else if (BkStr_Equal(name, BK_STR("disk"))) {
            engine->cached_on_disk[engine->cached_on_disk_count++] = key;
        }
        else if (BkStr_Equal(name, BK_STR("ordered"))) {
            engine->has_order = true;
        }
        else {
            engine->open = false;
        }
    }
}

static void
decide(Fixture *fixture, BkBuf *out)
{
    BkPlanMove moves[BK_PLAN_MAX_MOVES];
    BkPlanInput input = {fixture->models, fixture->model_count,
                         fixture->engines, fixture->engine_count,
                         fixture->store_loads};
    int move_count =
        BkPlan_Decide(&fixture->conf, &input, moves, BK_PLAN_MAX_MOVES);

    for (int i = 0; i < move_count; i++) {
        const BkPlanMove *move = &moves[i];
        BkBuf_Printf(out, "  %s %s at %s",
                     move->kind == BK_PLAN_LOAD ? "load" : "unload",
                     fixture->model_names[move->model],
                     fixture->engine_names[move->engine]);
        if (move->kind == BK_PLAN_UNLOAD) {
            BkBuf_Printf(out, " for %s",
                         fixture->model_names[move->next_model]);
        }
        BkBuf_Printf(out, "%s: %s\n",
                     move->from_weight_store ? " from the store" : "",
                     move->why);
    }
    if (move_count == 0) {
        BkBuf_Printf(out, "  nothing\n");
    }
}

static void
clear_fixture(Fixture *fixture)
{
    for (int i = 0; i < fixture->model_count; i++) {
        free(fixture->model_names[i]);
    }
    for (int i = 0; i < fixture->engine_count; i++) {
        free(fixture->engine_names[i]);
    }
    fixture->model_count = 0;
    fixture->engine_count = 0;
    fixture->store_loads = 9;
}

/* model and engine: see above; store_loads N: loads from the weight store
 * that are allowed; new: removes all models and engines; decide: prints the
 * moves */
static void
run_plan(char **words, int count, BkBuf *out, void *arg)
{
    Fixture *fixture = arg;

    if (strcmp(words[0], "model") == 0) {
        set_model(fixture, words, count);
    }
    else if (strcmp(words[0], "engine") == 0) {
        set_engine(fixture, words, count);
    }
    else if (strcmp(words[0], "store_loads") == 0) {
        fixture->store_loads = atoi(words[1]);
    }
    else if (strcmp(words[0], "new") == 0) {
        clear_fixture(fixture);
    }
    else {
        decide(fixture, out);
    }
}

START_TEST(test_decisions)
{
    Fixture fixture = {.conf = bk_plan_defaults, .store_loads = 9};

    BkScript_Run("plan", run_plan, &fixture);
    clear_fixture(&fixture);
}
END_TEST

static bool
is_on_disk(const BkPlanEngine *engines, int count, uint32_t model)
{
    for (int e = 0; e < count; e++) {
        for (int i = 0; engines[e].open && i < engines[e].cached_on_disk_count;
             i++) {
            if (engines[e].cached_on_disk[i] == model) {
                return true;
            }
        }
    }
    return false;
}

/* random deployments, with much or little memory for their models: no move overcommits an
 * engine's memory or uses an engine that is closed or has an order, and no
 * last copy is unloaded that requests wait for or whose weights are not on a
 * disk */
START_TEST(test_random_deployments)
{
    unsigned seed = 3;

    for (int round = 0; round < 3000; round++) {
        BkPlanModel models[8] = {0};
        BkPlanEngine engines[6] = {0};
        BkPlanMove moves[BK_PLAN_MAX_MOVES];
        int copies[8] = {0};
        for (int m = 0; m < 8; m++) {
            models[m] = (BkPlanModel){
                .key = (uint32_t)m + 1,
                .weights_mb = 60 + rand_r(&seed) % 20,
                .weight_store_load_time = 4000,
                .disk_load_time = 800,
                .memory_load_time = 600,
                .work = rand_r(&seed) % 3 == 0 ? rand_r(&seed) % 90000 : 0,
                .steady_work = rand_r(&seed) % 40000,
                .waiting_requests = rand_r(&seed) % 4};
        }
        int count = 2 + rand_r(&seed) % 5;
        for (int e = 0; e < count; e++) {
            engines[e] = (BkPlanEngine){.key = (uint32_t)e + 1,
                                        .open = rand_r(&seed) % 5 != 0,
                                        .has_order = rand_r(&seed) % 4 == 0,
                                        .capacity_mb = 230};
            double used_mb = 0;
            for (int m = 0; m < 8; m++) {
                if (rand_r(&seed) % 3 == 0 &&
                    used_mb + models[m].weights_mb <= engines[e].capacity_mb) {
                    engines[e].held[engines[e].held_count++] = models[m].key;
                    used_mb += models[m].weights_mb;
                    copies[m] += engines[e].open;
                }
                if (rand_r(&seed) % 4 == 0) {
                    engines[e]
                        .cached_on_disk[engines[e].cached_on_disk_count++] =
                        models[m].key;
                }
            }
        }
        BkPlanInput input = {models, 8, engines, count, rand_r(&seed) % 3};
        int move_count =
            BkPlan_Decide(&bk_plan_defaults, &input, moves, BK_PLAN_MAX_MOVES);
        int store_loads = 0;
        for (int i = 0; i < move_count; i++) {
            const BkPlanMove *move = &moves[i];
            const BkPlanEngine *engine = &engines[move->engine];
            double used_mb = models[move->model].weights_mb;
            ck_assert(engine->open && !engine->has_order);
            store_loads += move->from_weight_store;
            if (move->kind == BK_PLAN_UNLOAD) {
                ck_assert(
                    copies[move->model] > 1 ||
                    (models[move->model].waiting_requests == 0 &&
                     is_on_disk(engines, count, models[move->model].key)));
                copies[move->model]--;
                continue;
            }
            for (int k = 0; k < engine->held_count; k++) {
                used_mb += models[engine->held[k] - 1].weights_mb;
            }
            ck_assert(used_mb <= engine->capacity_mb);
        }
        ck_assert_int_le(store_loads, input.allowed_store_loads);
    }
}
END_TEST

/* Engines crash under load and come back: the planner uses them at once, also
   in the first term; only that term's first round awaits the list of engines.
 */
START_TEST(test_start)
{
    BkPlanStart start = {
        .term_began_at = 1000, .is_first_term = true, .engine_added_at = 1200};

    ck_assert(!BkPlanStart_MayPlan(&start, 1400));
    start.engine_added_at = 2000;
    ck_assert(!BkPlanStart_MayPlan(&start, 3499));
    ck_assert(BkPlanStart_MayPlan(&start, 3500));
    start.has_planned = true;
    start.engine_added_at = 9000;
    ck_assert(BkPlanStart_MayPlan(&start, 9000));
    start = (BkPlanStart){.term_began_at = 20000, .engine_added_at = 20100};
    ck_assert(!BkPlanStart_MayPlan(&start, 20499));
    ck_assert(BkPlanStart_MayPlan(&start, 20500));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_decisions, test_random_deployments,
                                  test_start};

    return BkUnit_Main("plan", tests, 3);
}
