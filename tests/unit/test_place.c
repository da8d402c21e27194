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

typedef struct World {
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
} World;

static void
observe(World *w, int up)
{
    BkBuf json = BkBuf_Make(0);

    if (w->dead[up]) {
        BkView_TakeFailure(w->view, up, w->now);
        return;
    }
    BkBuf_Printf(&json, "{\"boot\":1,\"instances\":[%s]}",
                 BkBuf_C(&w->insts[up]));
    ck_assert_int_eq(BkView_TakeState(w->view, up, BkBuf_Str(&json), w->now),
                     BK_OK);
    BkLedger_TakeState(w->ledgers[up], &w->view->ups[up]);
    BkBuf_Destroy(&json);
}

static void
observe_all(World *w)
{
    w->now += BK_MS_PER_S;
    for (int up = 0; up < w->bundle->upstream_count; up++) {
        observe(w, up);
    }
}

static void
use_bundle(World *w)
{
    BkStatus status;

    BkBuf_Printf(&w->text, "[bundle]\nname = b\n");
    BkBundle *next = BkBundle_Parse("b", BkBuf_Str(&w->text), &status);

    BkBuf_Clear(&w->text);
    ck_assert_msg(next != NULL, "%s", BkErr_Last());
    BkView *view = BkView_Create(next, w->view);
    BkView_Destroy(w->view);
    BkBundle_Destroy(w->prev);
    w->prev = w->bundle;
    w->bundle = next;
    w->view = view;
    for (int up = 0; up < next->upstream_count; up++) {
        if (w->ledgers[up] == NULL) {
            w->ledgers[up] = BkLedger_Create(&next->upstreams[up]);
        }
    }
}

/* engines are named so that the order of names is that of the script */
static void
add_section(World *w, char **words, int count)
{
    if (strcmp(words[0], "engine") == 0) {
        BkBuf_Printf(&w->text,
                     "[upstream %s]\nkind = engine\naddr = 127.0.0.1:%d\n"
                     "domain = %s\nmemory = %sGiB\nfencing = ignored\n"
                     "slots = 10\n",
                     words[1], 9000 + (int)w->text.len, words[2], words[3]);
        return;
    }
    BkBuf_Printf(&w->text, "[%s %s]\nversion = %s\nbytes = %sGiB\n", words[0],
                 words[1], words[2], words[3]);
    BkBuf_Printf(&w->text, "copies = %s\n", words[4]);
    if (count > 5) {
        BkBuf_Printf(&w->text, "base = %s\n", words[5]);
    }
}

static int
find_up(const World *w, const char *name)
{
    int up = BkBundle_FindUpstream(w->bundle, BkStr_FromC(name));

    ck_assert_int_ge(up, 0);
    return up;
}

static void
add_inst(World *w, int up, const char *inst, const char *item,
         const char *version, uint64_t bytes)
{
    BkBuf *list = &w->insts[up];

    BkBuf_Printf(list, "%s{\"instance\":\"%s\",\"model\":\"%s\",",
                 list->len > 0 ? "," : "", inst, item);
    BkBuf_Printf(list,
                 "\"version\":\"%s\",\"bytes\":%llu,\"state\":\"ready\"}",
                 version, (unsigned long long)bytes);
}

static void
remove_inst(World *w, int up, const char *inst)
{
    BkBuf rest = BkBuf_Make(0);
    BkStr list = BkBuf_Str(&w->insts[up]);
    char name[64];

    snprintf(name, sizeof(name), "\"%s\"", inst);
    while (list.len > 0) {
        BkStr one = BkStr_Split(&list, '}');
        if (memmem(one.ptr, one.len, name, strlen(name)) == NULL) {
            size_t skip = one.ptr[0] == ',' ? 1 : 0;
            BkBuf_Printf(&rest, "%s%.*s}", rest.len > 0 ? "," : "",
                         (int)(one.len - skip), one.ptr + skip);
        }
    }
    BkBuf_Destroy(&w->insts[up]);
    w->insts[up] = rest;
}

/* puts UP ITEM VERSION GIB: a ready instance that the ledger knows */
static void
put(World *w, char **words)
{
    int up = find_up(w, words[1]);
    char inst[64];

    snprintf(inst, sizeof(inst), "%s.%llu", words[1],
             (unsigned long long)w->ledgers[up]->next);
    add_inst(w, up, inst, words[2], words[3],
             strtoull(words[4], NULL, 10) << 30);
    observe(w, up);
    observe(w, up);
}

/* pend UP ITEM: ready there, but its load order is not known as answered */
static void
pend(World *w, char **words)
{
    int up = find_up(w, words[1]);
    int item = BkBundle_FindItem(w->bundle, BkStr_FromC(words[2]));
    const BkItem *spec = &w->bundle->items[item];
    int entry = BkLedger_Reserve(w->ledgers[up], spec, "t", 1, 1);

    add_inst(w, up, w->ledgers[up]->entries[entry].inst, spec->name,
             spec->version, spec->bytes);
    observe(w, up);
}

static int
decide(World *w, BkMove *moves)
{
    BkPlaceInput input = {.bundle = w->bundle,
                          .view = w->view,
                          .ledgers = w->ledgers,
                          .demand = w->demand,
                          .drained = w->drained,
                          .now = w->now,
                          .stale_after = 3 * BK_MS_PER_S};

    return BkPlace_Decide(&w->conf, &input, moves, MAX_MOVES);
}

static void
apply(World *w, const BkMove *move)
{
    BkLedger *ledger = w->ledgers[move->upstream];

    if (move->kind == BK_MOVE_UNLOAD) {
        int entry = BkLedger_Find(ledger, BkStr_FromC(move->inst));
        ck_assert_int_eq(BkLedger_OrderUnload(ledger, entry, 1), BK_OK);
        remove_inst(w, move->upstream, move->inst);
        return;
    }
    const BkItem *item = &w->bundle->items[move->item];
    int entry = BkLedger_Reserve(ledger, item, "t", 1, 1);
    ck_assert_msg(entry >= 0, "%s", BkErr_Last());
    BkLedger_LoadAnswered(ledger, entry);
    add_inst(w, move->upstream, ledger->entries[entry].inst, item->name,
             item->version, item->bytes);
}

static void
print_move(const World *w, const BkMove *move, BkBuf *out)
{
    const char *up = w->bundle->upstreams[move->upstream].name;

    if (move->kind == BK_MOVE_LOAD) {
        const BkItem *item = &w->bundle->items[move->item];
        BkBuf_Printf(out, "load %s %s on %s: %s\n", item->name, item->version,
                     up, move->why);
    }
    else {
        const BkLedger *ledger = w->ledgers[move->upstream];
        int entry = BkLedger_Find(ledger, BkStr_FromC(move->inst));
        BkBuf_Printf(out, "unload %s %s from %s: %s\n",
                     ledger->entries[entry].item,
                     ledger->entries[entry].version, up, move->why);
    }
}

/* whether the adapter of this name may need the model as its base; one that
 * is not in force may need any */
static bool
may_need(const World *w, const char *adapter, const char *model)
{
    int index = BkBundle_FindItem(w->bundle, BkStr_FromC(adapter));

    if (adapter[0] != 'x' || model[0] == 'x') {
        return false;
    }
    if (index < 0) {
        return true;
    }
    int base = w->bundle->items[index].base;
    return strcmp(w->bundle->items[base].name, model) == 0;
}

/* an unload of a base beside its adapter and beside no other copy of it */
static void
check_bases(const World *w, const BkMove *move, BkBuf *out)
{
    const BkLedger *ledger = w->ledgers[move->upstream];
    int index = BkLedger_Find(ledger, BkStr_FromC(move->inst));
    const char *item = ledger->entries[index].item;
    int adapters = 0;
    int models = 0;

    for (int i = 0; i < ledger->count; i++) {
        adapters += may_need(w, ledger->entries[i].item, item);
        models += strcmp(ledger->entries[i].item, item) == 0;
    }
    if (adapters > 0 && models == 1) {
        BkBuf_Printf(out, "BASE GONE\n");
    }
}

static void
decide_once(World *w, BkBuf *out)
{
    BkMove moves[MAX_MOVES];
    int count = decide(w, moves);

    for (int i = 0; i < count; i++) {
        print_move(w, &moves[i], out);
    }
    if (count == 0) {
        BkBuf_Printf(out, "nothing\n");
    }
    for (int i = 0; i < count; i++) {
        free(moves[i].inst);
    }
}

/* items that some instance made reachable before this round */
static void
check_reachable(const World *w, bool *reached, BkBuf *out)
{
    for (int i = 0; i < w->bundle->item_count; i++) {
        bool now = false;
        for (int up = 0; up < w->view->count; up++) {
            now |= !w->dead[up] && BkView_FindReady(w->view, up, i) != NULL;
        }
        if (reached[i] && !now) {
            BkBuf_Printf(out, "UNREACHABLE %s\n", w->bundle->items[i].name);
        }
        reached[i] = now;
    }
}

/* carries out decisions until there are none, checking after each */
static void
settle(World *w, BkBuf *out)
{
    bool reached[16] = {false};

    for (int round = 0; round < MAX_ROUNDS; round++) {
        BkMove moves[MAX_MOVES];
        int count = decide(w, moves);
        for (int i = 0; i < count; i++) {
            if (moves[i].kind == BK_MOVE_UNLOAD) {
                check_bases(w, &moves[i], out);
            }
        }
        for (int i = 0; i < count; i++) {
            print_move(w, &moves[i], out);
            apply(w, &moves[i]);
            free(moves[i].inst);
        }
        observe_all(w);
        check_reachable(w, reached, out);
        if (count == 0) {
            return;
        }
    }
    BkBuf_Printf(out, "DOES NOT SETTLE\n");
}

static void
show(const World *w, BkBuf *out)
{
    for (int up = 0; up < w->view->count; up++) {
        const BkUpView *seen = &w->view->ups[up];
        BkBuf_Printf(out, "%s:%s", w->bundle->upstreams[up].name,
                     w->dead[up] ? " dead, had" : "");
        for (int i = 0; i < seen->inst_count; i++) {
            BkBuf_Printf(out, " %s/%s", seen->insts[i].item,
                         seen->insts[i].version);
        }
        BkBuf_Printf(out, "\n");
    }
}

static void
reset(World *w)
{
    for (int up = 0; up < MAX_UPS; up++) {
        BkLedger_Destroy(w->ledgers[up]);
        BkBuf_Destroy(&w->insts[up]);
    }
    BkView_Destroy(w->view);
    BkBundle_Destroy(w->bundle);
    BkBundle_Destroy(w->prev);
    BkBuf_Destroy(&w->text);
    *w = (World){.now = BK_MS_PER_S};
    w->conf = (BkPlaceConf){.policy = BK_PLACE_WEIGHED,
                            .attainment_weight = 1,
                            .move_weight = 10,
                            .horizon = 60 * BK_MS_PER_S,
                            .rise = 1,
                            .fall = 0.1,
                            .loads_per_second = 2,
                            .loads_at_once = 4,
                            .target_use = 0.8};
}

static void
set_demand(World *w, char **words)
{
    int item = BkBundle_FindItem(w->bundle, BkStr_FromC(words[1]));

    w->demand[item] =
        (BkDemand){.rate = atof(words[2]), .work = 1, .last_request = w->now};
}

static bool
run_fault(World *w, char **words)
{
    const char *verb = words[0];

    if (strcmp(verb, "drain") == 0) {
        w->drained[find_up(w, words[1])] = true;
    }
    else if (strcmp(verb, "leave") == 0) {
        BkView_SetLeaving(w->view, find_up(w, words[1]));
    }
    else if (strcmp(verb, "kill") == 0) {
        w->dead[find_up(w, words[1])] = true;
        observe_all(w);
    }
    else {
        return false;
    }
    return true;
}

static void
run_place(char **words, int count, BkBuf *out, void *arg)
{
    World *w = arg;
    const char *verb = words[0];

    if (run_fault(w, words)) {
        return;
    }
    if (strcmp(verb, "new") == 0) {
        reset(w);
    }
    else if (strcmp(verb, "bundle") == 0) {
        use_bundle(w);
        observe_all(w);
    }
    else if (strcmp(verb, "put") == 0) {
        put(w, words);
    }
    else if (strcmp(verb, "pend") == 0) {
        pend(w, words);
    }
    else if (strcmp(verb, "demand") == 0) {
        set_demand(w, words);
    }
    else if (strcmp(verb, "wait") == 0) {
        for (int i = 0; i < atoi(words[1]); i++) {
            observe_all(w);
        }
    }
    else if (strcmp(verb, "policy") == 0) {
        w->conf.policy = (BkPlacePolicy)atoi(words[1]);
    }
    else if (strcmp(verb, "price") == 0) {
        w->conf.move_weight = atof(words[1]);
    }
    else if (strcmp(verb, "decide") == 0) {
        decide_once(w, out);
    }
    else if (strcmp(verb, "settle") == 0) {
        settle(w, out);
    }
    else if (strcmp(verb, "show") == 0) {
        show(w, out);
    }
    else if (strcmp(verb, "feasible") == 0) {
        BkStatus status = BkPlace_Feasible(w->bundle, w->prev);
        BkBuf_Printf(out, "%s\n", status == BK_OK ? "yes" : BkErr_Last());
    }
    else {
        add_section(w, words, count);
    }
}

START_TEST(test_script)
{
    World world = {0};

    reset(&world);
    BkScript_Run("place", run_place, &world);
    reset(&world);
}
END_TEST

/* ten models and two adapters on four engines that are nearly full */
static void
add_random_bundle(World *w, BkRng *rng, const uint32_t *sizes)
{
    for (int i = 0; i < 4; i++) {
        char name[8];
        char *engine[] = {"engine", name, i < 2 ? "a" : "b", "9", NULL};
        snprintf(name, sizeof(name), "e%d", i);
        add_section(w, engine, 4);
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
        add_section(w, words, adapter ? 6 : 5);
    }
    use_bundle(w);
    observe_all(w);
}

static bool
all_in_force(const World *w)
{
    for (int i = 0; i < w->bundle->item_count; i++) {
        bool found = false;
        for (int up = 0; up < w->view->count; up++) {
            const BkInst *inst = BkView_FindReady(w->view, up, i);
            const char *version = w->bundle->items[i].version;
            found |= inst != NULL && strcmp(inst->version, version) == 0;
        }
        if (!found) {
            return false;
        }
    }
    return true;
}

static uint32_t
total(const uint32_t *sizes)
{
    uint32_t sum = 0;

    for (int i = 0; i < 10; i++) {
        sum += sizes[i];
    }
    return sum;
}

/* what is called feasible is placed and rolled, without a gap and an end */
START_TEST(test_random_rolls)
{
    World w = {0};
    int rolled = 0;

    for (uint64_t seed = 1; seed <= 200; seed++) {
        BkRng rng = BkRng_Make(seed);
        BkBuf out = BkBuf_Make(0);
        uint32_t sizes[10];
        reset(&w);
        for (int i = 0; i < 10; i++) {
            sizes[i] = 1 + BkRng_Below(&rng, 4);
        }
        for (int roll = 0; roll < 4 && total(sizes) <= 34; roll++) {
            add_random_bundle(&w, &rng, sizes);
            if (BkPlace_Feasible(w.bundle, w.prev) != BK_OK) {
                break;
            }
            settle(&w, &out);
            ck_assert_msg(all_in_force(&w) &&
                              strstr(BkBuf_C(&out), "UNREACHABLE") == NULL &&
                              strstr(BkBuf_C(&out), "BASE GONE") == NULL,
                          "seed %d, roll %d:\n%s", (int)seed, roll,
                          BkBuf_C(&out));
            rolled++;
        }
        BkBuf_Destroy(&out);
    }
    reset(&w);
    ck_assert_int_gt(rolled, 200);
}
END_TEST

/* a rise beyond chance counts at once and falls slowly; chance does not */
START_TEST(test_demand)
{
    BkDemand demand = {0};
    BkPlaceConf conf = {.rise = 0.5, .fall = 0.02};
    BkRng rng = BkRng_Make(1);
    double most = 0;

    for (int second = 1; second <= 2000; second++) {
        int requests = BkRng_Below(&rng, 5) == 0;
        BkDemand_Take(&demand, &conf, requests, BK_MS_PER_S,
                      second * BK_MS_PER_S);
        most = demand.rate > most ? demand.rate : most;
    }
    ck_assert_double_lt(most, 0.9);
    ck_assert_double_eq_tol(demand.rate, 0.2, 0.1);
    for (int second = 2001; second <= 2005; second++) {
        BkDemand_Take(&demand, &conf, 20, BK_MS_PER_S, second * BK_MS_PER_S);
    }
    ck_assert_double_gt(demand.rate, 15);
    ck_assert_int_eq(demand.last_request, 2005 * BK_MS_PER_S);
    for (int second = 2006; second <= 2030; second++) {
        BkDemand_Take(&demand, &conf, 0, BK_MS_PER_S, second * BK_MS_PER_S);
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
