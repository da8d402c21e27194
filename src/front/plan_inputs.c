#include "plan_inputs.h"

#include "bk/base/log.h"

enum {
    LOG_INTERVAL = 1000, /* ms between rounds without moves that are logged */
    /* models or engines in a line, which the log might leave out if it were
       longer */
    ITEMS_PER_LINE = 8
};

/* All services of a round are logged, or none. */
static bool
is_logged(FrPlanner *planner, const FrPlanRound *round, BkMs now)
{
    if (bk_log_threshold < BK_LOG_DEBUG) {
        return false;
    }
    if (now - planner->round_logged_at >= LOG_INTERVAL) {
        planner->round_logged_at = now;
    }
    return round->move_count > 0 || planner->round_logged_at == now;
}

static json_t *
list_keys(const uint32_t *keys, int count)
{
    json_t *list = json_array();

    for (int i = 0; i < count; i++) {
        json_array_append_new(list, json_integer((json_int_t)keys[i]));
    }
    return list;
}

static json_t *
pack_model(const FrPlanRound *round, int index)
{
    const BkPlanModel *model = &round->input->models[index];

    return json_pack("{s:s, s:I, s:f, s:I, s:I, s:I, s:f, s:f, s:i}", "name",
                     round->service->engine->models[index].name, "key",
                     (json_int_t)model->key, "mb", model->weights_mb,
                     "store_ms", (json_int_t)model->weight_store_load_time,
                     "disk_ms", (json_int_t)model->disk_load_time, "memory_ms",
                     (json_int_t)model->memory_load_time, "work", model->work,
                     "steady", model->steady_work, "waiting",
                     model->waiting_requests);
}

static json_t *
pack_engine(const FrPlanRound *round, int index)
{
    const BkPlanEngine *engine = &round->input->engines[index];

    return json_pack(
        "{s:s, s:b, s:b, s:f, s:f, s:o, s:I, s:I, s:b, s:I, s:o, s:o}", "id",
        round->engines[index]->up->id, "open", engine->open, "has_order",
        engine->has_order, "mb", engine->capacity_mb, "adapters_mb",
        engine->adapters_mb, "held",
        list_keys(engine->held, engine->held_count), "loading",
        (json_int_t)engine->loading, "unloading",
        (json_int_t)engine->unloading, "from_store", engine->loads_from_store,
        "reserved", (json_int_t)engine->reserved_for, "in_memory",
        list_keys(engine->cached_in_memory, engine->cached_in_memory_count),
        "on_disk",
        list_keys(engine->cached_on_disk, engine->cached_on_disk_count));
}

static json_t *
pack_move(const FrPlanRound *round, int index)
{
    const BkPlanMove *move = &round->moves[index];
    bool loads = move->kind == BK_PLAN_LOAD;

    return json_pack(
        "{s:s, s:i, s:i, s:i, s:b}", "kind", loads ? "load" : "unload",
        "engine", move->engine, "model", move->model, "for",
        loads ? -1 : move->next_model, "from_store", move->from_weight_store);
}

/* Logs the elements of a list, a few a line. */
static void
log_list(const FrPlanRound *round, const char *event, int count,
         json_t *(*pack)(const FrPlanRound *round, int index), BkMs now)
{
    for (int first = 0; first < count; first += ITEMS_PER_LINE) {
        json_t *list = json_array();
        for (int i = first; i < count && i < first + ITEMS_PER_LINE; i++) {
            json_array_append_new(list, pack(round, i));
        }
        /* not given to the line, which may be left out */
        BkLog_Event(BK_LOG_DEBUG, "planner", NULL, event, "s:I, s:s, s:O",
                    "now", (json_int_t)now, "service", round->service->name,
                    "list", list);
        json_decref(list);
    }
}

void
FrPlanInputs_Log(FrPlanner *planner, const FrPlanRound *round, BkMs now)
{
    const BkPlanInput *input = round->input;

    if (!is_logged(planner, round, now)) {
        return;
    }
    log_list(round, "plan models", input->model_count, pack_model, now);
    log_list(round, "plan engines", input->engine_count, pack_engine, now);
    log_list(round, "plan moves", round->move_count, pack_move, now);
    BkLog_Event(BK_LOG_DEBUG, "planner", NULL, "planned",
                "s:I, s:s, s:i, s:i, s:i, s:i", "now", (json_int_t)now,
                "service", round->service->name, "models", input->model_count,
                "engines", input->engine_count, "allowed_store_loads",
                input->allowed_store_loads, "moves", round->move_count);
}
