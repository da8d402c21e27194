/*
 * plan - a planner's moves, played again from its inputs
 *
 * The inputs are those of src/front/plan_inputs.c: all that a round of planning
 * is decided from, so that no round depends on the ones before it.
 */
#include "bk/plan/plan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/str.h"
#include "replay.h"

enum {
    NAME_BYTES = 128
};

typedef char Name[NAME_BYTES];

/* The lines of a round that have come so far. */
typedef struct Round {
    BkPlanModel *models;
    Name *model_names;
    int model_count;
    BkPlanEngine *engines;
    Name *engine_names;
    int engine_count;
    BkPlanMove moves[BK_PLAN_MAX_MOVES]; /* recorded */
    int move_count;
    BkMs now; /* of these lines */
} Round;

static void *
create_round(const RpPlay *play)
{
    (void)play;
    return BkMem_New(1, sizeof(Round));
}

static void
destroy_round(void *state)
{
    Round *round = state;

    free(round->models);
    free(round->model_names);
    free(round->engines);
    free(round->engine_names);
    free(round);
}

static bool
get_flag(const json_t *item, const char *name, bool *good)
{
    const json_t *value = json_object_get(item, name);

    *good = *good && json_is_boolean(value);
    return json_is_true(value);
}

static int
read_keys(const json_t *item, const char *name, uint32_t *keys, int max,
          bool *good)
{
    const json_t *list = json_object_get(item, name);
    size_t count = json_array_size(list);

    if (!json_is_array(list) || count > (size_t)max) {
        *good = false;
        return 0;
    }
    for (size_t i = 0; i < count; i++) {
        const json_t *key = json_array_get(list, i);
        *good = *good && json_is_integer(key);
        keys[i] = (uint32_t)json_integer_value(key);
    }
    return (int)count;
}

static bool
read_model(Round *round, const json_t *item)
{
    size_t count = (size_t)round->model_count + 1;
    bool good = true;

    round->models = BkMem_Grow(round->models, count, sizeof(*round->models));
    round->model_names =
        BkMem_Grow(round->model_names, count, sizeof(*round->model_names));
    snprintf(round->model_names[count - 1], NAME_BYTES, "%s",
             Rp_Text(item, "name"));
    round->models[count - 1] = (BkPlanModel){
        .key = (uint32_t)Rp_Integer(item, "key", &good),
        .weights_mb = Rp_Real(item, "mb", &good),
        .weight_store_load_time = Rp_Integer(item, "store_ms", &good),
        .disk_load_time = Rp_Integer(item, "disk_ms", &good),
        .memory_load_time = Rp_Integer(item, "memory_ms", &good),
        .work = Rp_Real(item, "work", &good),
        .steady_work = Rp_Real(item, "steady", &good),
        .waiting_requests = (int)Rp_Integer(item, "waiting", &good)};
    round->model_count++;
    return good;
}

static bool
read_engine(Round *round, const json_t *item)
{
    size_t count = (size_t)round->engine_count + 1;
    bool good = true;

    round->engines =
        BkMem_Grow(round->engines, count, sizeof(*round->engines));
    round->engine_names =
        BkMem_Grow(round->engine_names, count, sizeof(*round->engine_names));
    snprintf(round->engine_names[count - 1], NAME_BYTES, "%s",
             Rp_Text(item, "id"));
    BkPlanEngine *engine = &round->engines[count - 1];
    *engine = (BkPlanEngine){
        .key = BkStr_NameHash(BkStr_FromC(Rp_Text(item, "id"))),
        .open = get_flag(item, "open", &good),
        .has_order = get_flag(item, "has_order", &good),
        .capacity_mb = Rp_Real(item, "mb", &good),
        .adapters_mb = Rp_Real(item, "adapters_mb", &good),
        .loading = (uint32_t)Rp_Integer(item, "loading", &good),
        .unloading = (uint32_t)Rp_Integer(item, "unloading", &good),
        .loads_from_store = get_flag(item, "from_store", &good),
        .reserved_for = (uint32_t)Rp_Integer(item, "reserved", &good)};
    engine->held_count =
        read_keys(item, "held", engine->held, BK_UP_MAX_MODELS, &good);
    engine->cached_in_memory_count = read_keys(
        item, "in_memory", engine->cached_in_memory, BK_UP_MAX_CACHED, &good);
    engine->cached_on_disk_count = read_keys(
        item, "on_disk", engine->cached_on_disk, BK_UP_MAX_CACHED, &good);
    round->engine_count++;
    return good;
}

static bool
read_move(Round *round, const json_t *item)
{
    bool good = round->move_count < BK_PLAN_MAX_MOVES;
    bool loads = strcmp(Rp_Text(item, "kind"), "load") == 0;
    BkPlanMove move = {.kind = loads ? BK_PLAN_LOAD : BK_PLAN_UNLOAD,
                       .engine = (int)Rp_Integer(item, "engine", &good),
                       .model = (int)Rp_Integer(item, "model", &good),
                       .next_model = (int)Rp_Integer(item, "for", &good),
                       .from_weight_store =
                           get_flag(item, "from_store", &good)};

    if (!good) {
        return false;
    }
    round->moves[round->move_count++] = move;
    return true;
}

/* The lines of a round that come before its last one. */
static const struct {
    const char *event;
    bool (*read)(Round *round, const json_t *item);
} lists[] = {{"plan models", read_model},
             {"plan engines", read_engine},
             {"plan moves", read_move}};

static void
clear(Round *round)
{
    round->model_count = 0;
    round->engine_count = 0;
    round->move_count = 0;
}

/* The end of the round before may not have been logged. */
static void
begin_line(Round *round, BkMs now)
{
    if (now != round->now) {
        clear(round);
        round->now = now;
    }
}

static RpOutcome
apply_list(RpPlay *play, const json_t *line,
           bool (*read)(Round *round, const json_t *item))
{
    const json_t *list = json_object_get(line, "list");
    bool good = json_is_array(list);

    begin_line(play->state, Rp_Integer(line, "now", &good));
    if (!good) {
        return Rp_Refuse(play);
    }
    for (size_t i = 0; i < json_array_size(list); i++) {
        if (!read(play->state, json_array_get(list, i))) {
            return Rp_Refuse(play);
        }
    }
    return RP_SAME;
}

static const char *const rules[] = {"min_gain_ratio",
                                    "idle_work",
                                    "work_per_engine",
                                    "overload_factor",
                                    "min_relief_work",
                                    "last_copy_value",
                                    "missing_copy_value",
                                    "first_copy_share",
                                    "steady_load_time",
                                    "horizon",
                                    NULL};

static BkPlanConf
make_conf(const RpPlay *play)
{
    BkPlanConf conf = bk_plan_defaults;
    double *const values[] = {
        &conf.min_gain_ratio,     &conf.idle_work,       &conf.work_per_engine,
        &conf.overload_factor,    &conf.min_relief_work, &conf.last_copy_value,
        &conf.missing_copy_value, &conf.first_copy_share};

    for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
        *values[i] = Rp_GetRule(play, rules[i], *values[i]);
    }
    conf.steady_load_time = (BkMs)Rp_GetRule(play, "steady_load_time",
                                             (double)conf.steady_load_time);
    conf.horizon = (BkMs)Rp_GetRule(play, "horizon", (double)conf.horizon);
    return conf;
}

/* "load m1 at e-0 from the store, unload m2 at e-1 for m3" */
static BkBuf
print_moves(const Round *round, const BkPlanMove *moves, int count)
{
    BkBuf text = BkBuf_Make(0);

    for (int i = 0; i < count; i++) {
        const BkPlanMove *move = &moves[i];
        bool loads = move->kind == BK_PLAN_LOAD;
        BkBuf_Printf(&text, "%s%s %s at %s", i == 0 ? "" : ", ",
                     loads ? "load" : "unload",
                     round->model_names[move->model],
                     round->engine_names[move->engine]);
        if (!loads) {
            BkBuf_Printf(&text, " for %s",
                         round->model_names[move->next_model]);
        }
        if (move->from_weight_store) {
            BkBuf_Printf(&text, " from the store");
        }
    }
    if (count == 0) {
        BkBuf_Printf(&text, "no moves");
    }
    return text;
}

static void
print_difference(const RpPlay *play, const json_t *line, const char *recorded,
                 const char *replayed, const BkPlanMove *moves, int count)
{
    const Round *round = play->state;

    Rp_Print(play, "decision %lld differs, at %s",
             (long long)play->compared + 1, Rp_Text(line, "at"));
    printf("  recorded: %s\n", recorded);
    printf("  replayed: %s\n", replayed);
    for (int i = 0; i < count; i++) {
        printf("    for %s: %s\n", round->model_names[moves[i].model],
               moves[i].why);
    }
    printf("  of %s, with %d models and %d engines\n",
           Rp_Text(line, "service"), round->model_count, round->engine_count);
}

static RpOutcome
compare(RpPlay *play, const json_t *line, BkMs now, const BkPlanMove *moves,
        int count)
{
    const Round *round = play->state;
    BkBuf recorded = print_moves(round, round->moves, round->move_count);
    BkBuf replayed = print_moves(round, moves, count);
    bool same = strcmp(BkBuf_C(&recorded), BkBuf_C(&replayed)) == 0;

    if (play->options->list) {
        Rp_Print(play, "at %lld: %s: %s, %s%s", (long long)now,
                 Rp_Text(line, "service"), BkBuf_C(&replayed),
                 same ? "as recorded" : "recorded ",
                 same ? "" : BkBuf_C(&recorded));
    }
    else if (same) {
        play->compared++;
    }
    else {
        print_difference(play, line, BkBuf_C(&recorded), BkBuf_C(&replayed),
                         moves, count);
    }
    BkBuf_Destroy(&recorded);
    BkBuf_Destroy(&replayed);
    return same || play->options->list ? RP_SAME : RP_DIFFERS;
}

static bool
is_below(int index, int count)
{
    return index >= 0 && index < count;
}

/* The recorded moves are of engines and models of this round. */
static bool
are_moves_known(const Round *round)
{
    for (int i = 0; i < round->move_count; i++) {
        const BkPlanMove *move = &round->moves[i];
        if (!is_below(move->engine, round->engine_count) ||
            !is_below(move->model, round->model_count) ||
            (move->kind == BK_PLAN_UNLOAD &&
             !is_below(move->next_model, round->model_count))) {
            return false;
        }
    }
    return true;
}

static RpOutcome
decide(RpPlay *play, const json_t *line)
{
    Round *round = play->state;
    bool good = true;
    BkMs now = Rp_Integer(line, "now", &good);
    int64_t models = Rp_Integer(line, "models", &good);
    int64_t engines = Rp_Integer(line, "engines", &good);
    int64_t recorded = Rp_Integer(line, "moves", &good);
    int allowed = (int)Rp_Integer(line, "allowed_store_loads", &good);
    BkPlanMove moves[BK_PLAN_MAX_MOVES];

    if (!good) {
        return Rp_Refuse(play);
    }
    begin_line(round, now);
    if (models != round->model_count || engines != round->engine_count ||
        recorded != round->move_count) {
        Rp_Print(play, "lines of this round are missing; it is left out");
        return RP_SAME;
    }
    if (!are_moves_known(round)) {
        return Rp_Refuse(play);
    }
    BkPlanInput input = {round->models, round->model_count, round->engines,
                         round->engine_count, allowed};
    BkPlanConf conf = make_conf(play);
    int count = BkPlan_Decide(&conf, &input, moves, BK_PLAN_MAX_MOVES);
    return compare(play, line, now, moves, count);
}

static RpOutcome
play_plan_line(RpPlay *play, const json_t *line)
{
    Round *round = play->state;

    for (size_t i = 0; i < sizeof(lists) / sizeof(lists[0]); i++) {
        if (Rp_IsEvent(line, "planner", lists[i].event)) {
            play->inputs++;
            return apply_list(play, line, lists[i].read);
        }
    }
    if (!Rp_IsEvent(line, "planner", "planned")) {
        return RP_SAME;
    }
    play->inputs++;
    RpOutcome outcome = decide(play, line);
    clear(round);
    return outcome;
}

const RpSlice rp_plan = {.name = "plan",
                         .rules = rules,
                         .create = create_round,
                         .destroy = destroy_round,
                         .play = play_plan_line};
