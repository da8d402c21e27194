#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/rng.h"
#include "bk/place/place.h"
#include "script.h"

enum {
    MAX_UPS = 8,
    MAX_MOVES = 8,
    MAX_ROUNDS = 60
};

typedef struct Fixture {
    BkBuf text;
    BkBundle *bundle;
    BkBundle *prev;
    BkView *view;
    BkLedger *ledgers[MAX_UPS];
    BkBuf insts[MAX_UPS]; /* JSON of each engine's instances */
    bool drained[MAX_UPS];
    bool dead[MAX_UPS];
    BkDemand demand[16];
    BkPlaceConf conf;
    BkMs now;
} Fixture;

static void
observe(Fixture *fixture, int up)
{
    BkBuf json = BkBuf_Make(0);

    if (fixture->dead[up]) {
        BkView_NoteFailure(fixture->view, up, fixture->now);
        return;
    }
    BkBuf_Printf(&json, "{\"boot\":1,\"instances\":[%s]}",
                 BkBuf_C(&fixture->insts[up]));
    ck_assert_int_eq(
        BkView_ApplyState(fixture->view, up, BkBuf_Str(&json), fixture->now),
        BK_OK);
    BkLedger_ApplyState(fixture->ledgers[up], &fixture->view->ups[up]);
    BkBuf_Destroy(&json);
}

static void
observe_all(Fixture *fixture)
{
    fixture->now += BK_MS_PER_S;
    for (int up = 0; up < fixture->bundle->upstream_count; up++) {
        observe(fixture, up);
    }
}

static void
load_bundle(Fixture *fixture)
{
    BkStatus status;

    BkBuf_Printf(&fixture->text, "[bundle]\nname = b\n");
    BkBundle *next = BkBundle_Parse("b", BkBuf_Str(&fixture->text), &status);

    BkBuf_Clear(&fixture->text);
    ck_assert_msg(next != NULL, "%s", BkErr_Last());
    BkView *view = BkView_Create(next, fixture->view);
    BkView_Destroy(fixture->view);
    BkBundle_Destroy(fixture->prev);
    fixture->prev = fixture->bundle;
    fixture->bundle = next;
    fixture->view = view;
    for (int up = 0; up < next->upstream_count; up++) {
        if (fixture->ledgers[up] == NULL) {
            fixture->ledgers[up] = BkLedger_Create(&next->upstreams[up]);
        }
    }
}

/* Ledgers and instances are kept by the engine's index in the bundle, so each
 * bundle of a script lists the same engines in name order. */
static void
add_section(Fixture *fixture, char **words, int count)
{
    if (strcmp(words[0], "engine") == 0) {
        BkBuf_Printf(&fixture->text,
                     "[upstream %s]\nkind = engine\naddr = 127.0.0.1:%d\n"
                     "domain = %s\nmemory = %sGiB\nfencing = ignored\n"
                     "slots = 10\n",
                     words[1], 9000 + (int)fixture->text.len, words[2],
                     words[3]);
        return;
    }
    BkBuf_Printf(&fixture->text, "[%s %s]\nversion = %s\nbytes = %sGiB\n",
                 words[0], words[1], words[2], words[3]);
    BkBuf_Printf(&fixture->text, "copies = %s\n", words[4]);
    if (count > 5) {
        BkBuf_Printf(&fixture->text, "base = %s\n", words[5]);
    }
}

static int
find_up(const Fixture *fixture, const char *name)
{
    int up = BkBundle_FindUpstream(fixture->bundle, BkStr_FromC(name));

    ck_assert_int_ge(up, 0);
    return up;
}

static void
add_inst(Fixture *fixture, int up, const char *inst, const char *item,
         const char *version, uint64_t bytes)
{
    BkBuf *list = &fixture->insts[up];

    BkBuf_Printf(list, "%s{\"instance\":\"%s\",\"model\":\"%s\",",
                 list->len > 0 ? "," : "", inst, item);
    BkBuf_Printf(list,
                 "\"version\":\"%s\",\"bytes\":%llu,\"state\":\"ready\"}",
                 version, (unsigned long long)bytes);
}

static void
remove_inst(Fixture *fixture, int up, const char *inst)
{
    BkBuf remaining = BkBuf_Make(0);
    BkStr list = BkBuf_Str(&fixture->insts[up]);
    char name[64];

    snprintf(name, sizeof(name), "\"%s\"", inst);
    while (list.len > 0) {
        BkStr inst_json = BkStr_Split(&list, '}');
        if (memmem(inst_json.ptr, inst_json.len, name, strlen(name)) == NULL) {
            size_t comma_len = inst_json.ptr[0] == ',' ? 1 : 0;
            BkBuf_Printf(&remaining, "%s%.*s}", remaining.len > 0 ? "," : "",
                         (int)(inst_json.len - comma_len),
                         inst_json.ptr + comma_len);
        }
    }
    BkBuf_Destroy(&fixture->insts[up]);
    fixture->insts[up] = remaining;
}

/* put UP ITEM VERSION GIB: adds a ready instance that the ledger knows */
static void
add_ready_inst(Fixture *fixture, char **words)
{
    int up = find_up(fixture, words[1]);
    char inst[64];

    snprintf(inst, sizeof(inst), "%s.%llu", words[1],
             (unsigned long long)fixture->ledgers[up]->next_inst_number);
    add_inst(fixture, up, inst, words[2], words[3],
             strtoull(words[4], NULL, 10) << 30);
    observe(fixture, up);
    observe(fixture, up);
}

/* unanswered UP ITEM: adds a ready instance whose load order has had no
 * answer */
static void
add_unanswered_load(Fixture *fixture, char **words)
{
    int up = find_up(fixture, words[1]);
    int item = BkBundle_FindItem(fixture->bundle, BkStr_FromC(words[2]));
    const BkItem *spec = &fixture->bundle->items[item];
    int entry = BkLedger_Reserve(fixture->ledgers[up], spec, "t", 1, 1);

    add_inst(fixture, up, fixture->ledgers[up]->entries[entry].inst,
             spec->name, spec->version, spec->bytes);
    observe(fixture, up);
}

static int
decide(Fixture *fixture, BkPlaceMove *moves)
{
    BkPlaceInput input = {.bundle = fixture->bundle,
                          .view = fixture->view,
                          .ledgers = fixture->ledgers,
                          .demand = fixture->demand,
                          .excluded = fixture->drained,
                          .now = fixture->now,
                          .stale_after = 3 * BK_MS_PER_S};

    return BkPlace_Decide(&fixture->conf, &input, moves, MAX_MOVES);
}

static void
apply(Fixture *fixture, const BkPlaceMove *move)
{
    BkLedger *ledger = fixture->ledgers[move->upstream];

    if (move->kind == BK_PLACE_MOVE_UNLOAD) {
        int entry = BkLedger_Find(ledger, BkStr_FromC(move->inst));
        ck_assert_int_eq(BkLedger_RecordUnload(ledger, entry, 1), BK_OK);
        remove_inst(fixture, move->upstream, move->inst);
        return;
    }
    const BkItem *item = &fixture->bundle->items[move->item];
    int entry = BkLedger_Reserve(ledger, item, "t", 1, 1);
    ck_assert_msg(entry >= 0, "%s", BkErr_Last());
    BkLedger_RecordLoadAnswer(ledger, entry);
    add_inst(fixture, move->upstream, ledger->entries[entry].inst, item->name,
             item->version, item->bytes);
}

static void
print_move(const Fixture *fixture, const BkPlaceMove *move, BkBuf *out)
{
    const char *up = fixture->bundle->upstreams[move->upstream].name;

    if (move->kind == BK_PLACE_MOVE_LOAD) {
        const BkItem *item = &fixture->bundle->items[move->item];
        BkBuf_Printf(out, "load %s %s on %s: %s\n", item->name, item->version,
                     up, move->why);
    }
    else {
        const BkLedger *ledger = fixture->ledgers[move->upstream];
        int entry = BkLedger_Find(ledger, BkStr_FromC(move->inst));
        BkBuf_Printf(out, "unload %s %s from %s: %s\n",
                     ledger->entries[entry].item,
                     ledger->entries[entry].version, up, move->why);
    }
}

/* whether the adapter may need the model as its base; adapters have names with
 * x, and one no longer in force may need any model */
static bool
may_depend_on(const Fixture *fixture, const char *adapter, const char *model)
{
    int item = BkBundle_FindItem(fixture->bundle, BkStr_FromC(adapter));

    if (adapter[0] != 'x' || model[0] == 'x') {
        return false;
    }
    if (item < 0) {
        return true;
    }
    int base = fixture->bundle->items[item].base;
    return strcmp(fixture->bundle->items[base].name, model) == 0;
}

/* reports the unload of a base that an adapter on its engine needs, without
 * another copy of the base there */
static void
check_base_in_use(const Fixture *fixture, const BkPlaceMove *move, BkBuf *out)
{
    const BkLedger *ledger = fixture->ledgers[move->upstream];
    int base_entry = BkLedger_Find(ledger, BkStr_FromC(move->inst));
    const char *item = ledger->entries[base_entry].item;
    int adapters = 0;
    int copies = 0;

    for (int i = 0; i < ledger->count; i++) {
        adapters += may_depend_on(fixture, ledger->entries[i].item, item);
        copies += strcmp(ledger->entries[i].item, item) == 0;
    }
    if (adapters > 0 && copies == 1) {
        BkBuf_Printf(out, "UNLOADS BASE IN USE\n");
    }
}

static void
print_decision(Fixture *fixture, BkBuf *out)
{
    BkPlaceMove moves[MAX_MOVES];
    int count = decide(fixture, moves);

    for (int i = 0; i < count; i++) {
        print_move(fixture, &moves[i], out);
    }
    if (count == 0) {
        BkBuf_Printf(out, "nothing\n");
    }
    for (int i = 0; i < count; i++) {
        free(moves[i].inst);
    }
}

/* reports items that had a ready instance before this round, but have none */
static void
check_reachable(const Fixture *fixture, bool *was_reachable, BkBuf *out)
{
    for (int i = 0; i < fixture->bundle->item_count; i++) {
        bool reachable = false;
        for (int up = 0; up < fixture->view->count; up++) {
            reachable |= !fixture->dead[up] &&
                         BkView_FindReady(fixture->view, up, i) != NULL;
        }
        if (was_reachable[i] && !reachable) {
            BkBuf_Printf(out, "UNREACHABLE %s\n",
                         fixture->bundle->items[i].name);
        }
        was_reachable[i] = reachable;
    }
}

/* carries out decisions until there are none, with checks after each */
static void
run_until_stable(Fixture *fixture, BkBuf *out)
{
    bool was_reachable[16] = {false};

    for (int round = 0; round < MAX_ROUNDS; round++) {
        BkPlaceMove moves[MAX_MOVES];
        int count = decide(fixture, moves);
        for (int i = 0; i < count; i++) {
            if (moves[i].kind == BK_PLACE_MOVE_UNLOAD) {
                check_base_in_use(fixture, &moves[i], out);
            }
        }
        for (int i = 0; i < count; i++) {
            print_move(fixture, &moves[i], out);
            apply(fixture, &moves[i]);
            free(moves[i].inst);
        }
        observe_all(fixture);
        check_reachable(fixture, was_reachable, out);
        if (count == 0) {
            return;
        }
    }
    BkBuf_Printf(out, "DOES NOT SETTLE\n");
}

static void
print_instances(const Fixture *fixture, BkBuf *out)
{
    for (int up = 0; up < fixture->view->count; up++) {
        const BkUpView *up_view = &fixture->view->ups[up];
        BkBuf_Printf(out, "%s:%s", fixture->bundle->upstreams[up].name,
                     fixture->dead[up] ? " dead, had" : "");
        for (int i = 0; i < up_view->inst_count; i++) {
            BkBuf_Printf(out, " %s/%s", up_view->insts[i].item,
                         up_view->insts[i].version);
        }
        BkBuf_Printf(out, "\n");
    }
}

static void
reset(Fixture *fixture)
{
    for (int up = 0; up < MAX_UPS; up++) {
        BkLedger_Destroy(fixture->ledgers[up]);
        BkBuf_Destroy(&fixture->insts[up]);
    }
    BkView_Destroy(fixture->view);
    BkBundle_Destroy(fixture->bundle);
    BkBundle_Destroy(fixture->prev);
    BkBuf_Destroy(&fixture->text);
    *fixture = (Fixture){.now = BK_MS_PER_S};
    fixture->conf = (BkPlaceConf){.policy = BK_PLACE_WEIGHTED,
                                  .attainment_weight = 1,
                                  .move_weight = 10,
                                  .horizon = 60 * BK_MS_PER_S,
                                  .rise_smoothing = 1,
                                  .fall_smoothing = 0.1,
                                  .loads_per_second = 2,
                                  .loads_at_once = 4,
                                  .target_use = 0.8};
}

static void
set_demand(Fixture *fixture, char **words)
{
    int item = BkBundle_FindItem(fixture->bundle, BkStr_FromC(words[1]));

    fixture->demand[item] = (BkDemand){.rate = atof(words[2]),
                                       .slot_seconds = 1,
                                       .last_request = fixture->now};
}

static bool
run_fault_verb(Fixture *fixture, char **words)
{
    const char *verb = words[0];

    if (strcmp(verb, "drain") == 0) {
        fixture->drained[find_up(fixture, words[1])] = true;
    }
    else if (strcmp(verb, "leave") == 0) {
        BkView_SetLeaving(fixture->view, find_up(fixture, words[1]));
    }
    else if (strcmp(verb, "kill") == 0) {
        fixture->dead[find_up(fixture, words[1])] = true;
        observe_all(fixture);
    }
    else {
        return false;
    }
    return true;
}

/* The sections of the next bundle: engine NAME DOMAIN GIB;
 * model|adapter NAME VERSION GIB COPIES [BASE].
 * put, unanswered: see add_ready_inst and add_unanswered_load;
 * new: starts again without a bundle; bundle: parses the sections so far;
 * demand ITEM REQUESTS_PER_S; wait SECONDS; cost MOVE_WEIGHT;
 * policy 0 weighted, 1 fixed, 2 follow, 3 lru; drain|leave|kill UP;
 * decide: prints one decision; settle: carries out decisions until there are
 * none; show: prints the instances; feasible: checks the bundle. */
static void
run_place(char **words, int count, BkBuf *out, void *arg)
{
    Fixture *fixture = arg;
    const char *verb = words[0];

    if (run_fault_verb(fixture, words)) {
        return;
    }
    if (strcmp(verb, "new") == 0) {
        reset(fixture);
    }
    else if (strcmp(verb, "bundle") == 0) {
        load_bundle(fixture);
        observe_all(fixture);
    }
    else if (strcmp(verb, "put") == 0) {
        add_ready_inst(fixture, words);
    }
    else if (strcmp(verb, "unanswered") == 0) {
        add_unanswered_load(fixture, words);
    }
    else if (strcmp(verb, "demand") == 0) {
        set_demand(fixture, words);
    }
    else if (strcmp(verb, "wait") == 0) {
        for (int i = 0; i < atoi(words[1]); i++) {
            observe_all(fixture);
        }
    }
    else if (strcmp(verb, "policy") == 0) {
        fixture->conf.policy = (BkPlacePolicy)atoi(words[1]);
    }
    else if (strcmp(verb, "cost") == 0) {
        fixture->conf.move_weight = atof(words[1]);
    }
    else if (strcmp(verb, "decide") == 0) {
        print_decision(fixture, out);
    }
    else if (strcmp(verb, "settle") == 0) {
        run_until_stable(fixture, out);
    }
    else if (strcmp(verb, "show") == 0) {
        print_instances(fixture, out);
    }
    else if (strcmp(verb, "feasible") == 0) {
        BkStatus status =
            BkPlace_CheckFeasible(fixture->bundle, fixture->prev);
        BkBuf_Printf(out, "%s\n", status == BK_OK ? "yes" : BkErr_Last());
    }
    else {
        add_section(fixture, words, count);
    }
}

START_TEST(test_script)
{
    Fixture fixture = {0};

    reset(&fixture);
    BkScript_Run("place", run_place, &fixture);
    reset(&fixture);
}
END_TEST

/* ten models and two adapters on four engines that are nearly full */
static void
add_random_bundle(Fixture *fixture, BkRng *rng, const uint32_t *sizes)
{
    for (int i = 0; i < 4; i++) {
        char name[8];
        char *engine[] = {"engine", name, i < 2 ? "a" : "b", "9", NULL};
        snprintf(name, sizeof(name), "e%d", i);
        add_section(fixture, engine, 4);
    }
    for (int i = 0; i < 12; i++) {
        char name[8];
        char version[8];
        char size[8];
        bool adapter = i >= 10;
        char *words[] = {
            adapter ? "adapter" : "model", name, version, size, "1",
            adapter ? "m1" : NULL,         NULL};
        snprintf(name, sizeof(name), "%c%d", adapter ? 'x' : 'm', i % 10);
        snprintf(version, sizeof(version), "%d", BkRng_Below(rng, 2));
        snprintf(size, sizeof(size), "%d", adapter ? 1 : (int)sizes[i]);
        add_section(fixture, words, adapter ? 6 : 5);
    }
    load_bundle(fixture);
    observe_all(fixture);
}

static bool
all_versions_ready(const Fixture *fixture)
{
    for (int i = 0; i < fixture->bundle->item_count; i++) {
        bool found = false;
        for (int up = 0; up < fixture->view->count; up++) {
            const BkInst *inst = BkView_FindReady(fixture->view, up, i);
            const char *version = fixture->bundle->items[i].version;
            found |= inst != NULL && strcmp(inst->version, version) == 0;
        }
        if (!found) {
            return false;
        }
    }
    return true;
}

static uint32_t
sum_sizes(const uint32_t *sizes)
{
    uint32_t sum = 0;

    for (int i = 0; i < 10; i++) {
        sum += sizes[i];
    }
    return sum;
}

/* Every feasible bundle is placed and rolled completely; no item is
 * unreachable in between, and no base is unloaded beside its adapter. */
START_TEST(test_random_rolls)
{
    Fixture fixture = {0};
    int roll_count = 0;

    for (uint64_t seed = 1; seed <= 200; seed++) {
        BkRng rng = BkRng_Make(seed);
        BkBuf out = BkBuf_Make(0);
        uint32_t sizes[10];
        reset(&fixture);
        for (int i = 0; i < 10; i++) {
            sizes[i] = 1 + BkRng_Below(&rng, 4);
        }
        for (int roll = 0; roll < 4 && sum_sizes(sizes) <= 34; roll++) {
            add_random_bundle(&fixture, &rng, sizes);
            if (BkPlace_CheckFeasible(fixture.bundle, fixture.prev) != BK_OK) {
                break;
            }
            run_until_stable(&fixture, &out);
            ck_assert_msg(
                all_versions_ready(&fixture) &&
                    strstr(BkBuf_C(&out), "UNREACHABLE") == NULL &&
                    strstr(BkBuf_C(&out), "UNLOADS BASE IN USE") == NULL,
                "seed %d, roll %d:\n%s", (int)seed, roll, BkBuf_C(&out));
            roll_count++;
        }
        BkBuf_Destroy(&out);
    }
    reset(&fixture);
    ck_assert_int_gt(roll_count, 200);
}
END_TEST

/* The rate follows a rise at once if it is too large to be random, and falls
 * slowly; random variation does not raise it. */
START_TEST(test_demand)
{
    BkDemand demand = {0};
    BkPlaceConf conf = {.rise_smoothing = 0.5, .fall_smoothing = 0.02};
    BkRng rng = BkRng_Make(1);
    double max_rate = 0;

    for (int second = 1; second <= 2000; second++) {
        int requests = BkRng_Below(&rng, 5) == 0;
        BkDemand_Update(&demand, &conf, requests, BK_MS_PER_S,
                        second * BK_MS_PER_S);
        max_rate = demand.rate > max_rate ? demand.rate : max_rate;
    }
    ck_assert_double_lt(max_rate, 0.9);
    ck_assert_double_eq_tol(demand.rate, 0.2, 0.1);
    for (int second = 2001; second <= 2005; second++) {
        BkDemand_Update(&demand, &conf, 20, BK_MS_PER_S, second * BK_MS_PER_S);
    }
    ck_assert_double_gt(demand.rate, 15);
    ck_assert_int_eq(demand.last_request, 2005 * BK_MS_PER_S);
    for (int second = 2006; second <= 2030; second++) {
        BkDemand_Update(&demand, &conf, 0, BK_MS_PER_S, second * BK_MS_PER_S);
    }
    ck_assert_double_gt(demand.rate, 8);
    ck_assert_int_eq(demand.last_request, 2005 * BK_MS_PER_S);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script, test_random_rolls, test_demand};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("place", tests, count);
}
