#include <stdlib.h>
#include <string.h>

#include "peers.h"
#include "planner.h"

enum {
    /* ms between messages to the planner, and between updates of the work
       rates */
    SEND_INTERVAL = 200,
    /* ms after a daemon's last message until its waiting requests no longer
       count */
    SOURCE_MAX_AGE = 3000
};

static bkp_demand *
find_or_add_own_demand(FrPlanner *planner, uint32_t model_key)
{
    for (u_int i = 0; i < planner->own_demand_count; i++) {
        if (planner->own_demands[i].model == model_key) {
            return &planner->own_demands[i];
        }
    }
    if (planner->own_demand_count == BKP_MAX_DEMANDS) {
        return NULL;
    }
    bkp_demand *row = &planner->own_demands[planner->own_demand_count++];
    *row = (bkp_demand){.model = model_key};
    return row;
}

void
FrDemand_NoteRequest(FrPlanner *planner, uint32_t model_key, int64_t work)
{
    bkp_demand *row = find_or_add_own_demand(planner, model_key);

    if (row != NULL) {
        row->requests++;
        row->work_tokens += (u_quad_t)work;
    }
}

void
FrDemand_NoteAdapterUse(FrPlanner *planner, const BkUp *up, uint32_t model_key,
                        uint32_t adapter_key)
{
    for (u_int i = 0; i < planner->own_adapter_use_count; i++) {
        const bkp_adapter_use *use = &planner->own_adapter_uses[i];
        if (use->up == up->key && use->model == model_key &&
            use->adapter == adapter_key) {
            return;
        }
    }
    if (planner->own_adapter_use_count < BKP_MAX_ADAPTER_USES) {
        planner->own_adapter_uses[planner->own_adapter_use_count++] =
            (bkp_adapter_use){up->key, model_key, adapter_key};
    }
}

/* Counts the requests that wait because no engine holds their model. */
static void
update_waiting(FrPlanner *planner)
{
    for (u_int i = 0; i < planner->own_demand_count; i++) {
        planner->own_demands[i].waiting = 0;
    }
    for (const FrRequest *request = planner->front->queue_head;
         request != NULL; request = request->queue_next) {
        bkp_demand *row =
            request->model == NULL || !request->model_missing
                ? NULL
                : find_or_add_own_demand(planner, request->query.model);
        if (row != NULL) {
            row->waiting++;
        }
    }
}

void
FrDemand_Send(FrPlanner *planner, BkMs now)
{
    FrFront *front = planner->front;

    if (now - planner->demands_sent_at < SEND_INTERVAL) {
        return;
    }
    planner->demands_sent_at = now;
    update_waiting(planner);
    bkp_demands demands = {
        .name = front->conf.name,
        .started_at = front->wall_started_at,
        .rows = {planner->own_demand_count, planner->own_demands},
        .adapter_uses = {planner->own_adapter_use_count,
                         planner->own_adapter_uses}};
    if (FrPlanner_IsActive(planner, now)) {
        FrDemand_Handle(planner, &demands, now);
    }
    else if (planner->own_demand_count > 0) {
        FrPeers_SendToPlanner(front->peers, BKP_DEMANDS, &demands);
    }
    planner->own_adapter_use_count = 0;
}

static FrDemandSource *
find_or_add_source(FrPlanner *planner, const char *name)
{
    for (int i = 0; i < planner->source_count; i++) {
        if (strcmp(planner->sources[i].name, name) == 0) {
            return &planner->sources[i];
        }
    }
    planner->sources =
        BkMem_Grow(planner->sources, (size_t)planner->source_count + 1,
                   sizeof(*planner->sources));
    FrDemandSource *source = &planner->sources[planner->source_count++];
    *source = (FrDemandSource){.name = BkStr_Dup(BkStr_FromC(name))};
    return source;
}

static BkWork *
find_or_add_work(FrPlanner *planner, uint32_t model_key)
{
    for (int i = 0; i < planner->model_work_count; i++) {
        if (planner->model_work[i].model == model_key) {
            return &planner->model_work[i].work;
        }
    }
    planner->model_work =
        BkMem_Grow(planner->model_work, (size_t)planner->model_work_count + 1,
                   sizeof(*planner->model_work));
    FrModelWork *row = &planner->model_work[planner->model_work_count++];
    *row = (FrModelWork){.model = model_key};
    return &row->work;
}

/* Work for the model in the source's last message, in prompt-token
   equivalents; 0 if it had none. */
static u_quad_t
previous_work(const FrDemandSource *source, uint32_t model_key)
{
    for (u_int i = 0; i < source->row_count; i++) {
        if (source->rows[i].model == model_key) {
            return source->rows[i].work_tokens;
        }
    }
    return 0;
}

void
FrDemand_Handle(FrPlanner *planner, const bkp_demands *demands, BkMs now)
{
    FrDemandSource *source = find_or_add_source(planner, demands->name);
    /* a restarted daemon counts from 0 again */
    bool comparable = source->received_at != 0 &&
                      source->started_at == (uint64_t)demands->started_at;

    for (u_int i = 0; i < demands->rows.rows_len && comparable; i++) {
        const bkp_demand *row = &demands->rows.rows_val[i];
        u_quad_t previous = previous_work(source, row->model);
        if (row->work_tokens > previous) {
            BkWork_Add(find_or_add_work(planner, row->model),
                       (double)(row->work_tokens - previous));
        }
    }
    free(source->rows);
    source->started_at = demands->started_at;
    source->received_at = now;
    source->row_count = demands->rows.rows_len;
    source->rows = BkMem_New(source->row_count + 1, sizeof(*source->rows));
    memcpy(source->rows, demands->rows.rows_val,
           source->row_count * sizeof(*source->rows));
    for (u_int i = 0; i < demands->adapter_uses.adapter_uses_len; i++) {
        const bkp_adapter_use *use =
            &demands->adapter_uses.adapter_uses_val[i];
        FrEngine *engine = FrEngines_Find(planner, use->up);
        if (engine != NULL) {
            FrAdapters_NoteUse(engine, use->model, use->adapter, now);
        }
    }
}

void
FrDemand_UpdateWork(FrPlanner *planner, BkMs now)
{
    BkMs elapsed = now - planner->work_updated_at;

    if (elapsed < SEND_INTERVAL) {
        return;
    }
    planner->work_updated_at = now;
    for (int i = 0; i < planner->model_work_count; i++) {
        BkWork_EndRound(&planner->model_work[i].work, &bk_work_defaults,
                        elapsed);
    }
}

BkWork
FrDemand_GetWork(const FrPlanner *planner, uint32_t model_key)
{
    for (int i = 0; i < planner->model_work_count; i++) {
        if (planner->model_work[i].model == model_key) {
            return planner->model_work[i].work;
        }
    }
    return (BkWork){0};
}

int
FrDemand_CountWaiting(const FrPlanner *planner, uint32_t model_key)
{
    BkMs now = BkClock_Now();
    int waiting = 0;

    for (int i = 0; i < planner->source_count; i++) {
        const FrDemandSource *source = &planner->sources[i];
        for (u_int k = 0; k < source->row_count &&
                          now - source->received_at < SOURCE_MAX_AGE;
             k++) {
            if (source->rows[k].model == model_key) {
                waiting += (int)source->rows[k].waiting;
            }
        }
    }
    return waiting;
}

void
FrDemand_Destroy(FrPlanner *planner)
{
    for (int i = 0; i < planner->source_count; i++) {
        free(planner->sources[i].name);
        free(planner->sources[i].rows);
    }
    free(planner->sources);
    free(planner->model_work);
}
