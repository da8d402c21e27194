#include <stddef.h>
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
    SOURCE_MAX_AGE = 3000,
    /* rows that did not change, told again in each message, since a message
       may be lost or the planner be a new one */
    TOLD_AGAIN = 4,
    MAX_MESSAGES = 4 /* at once, to tell of many changed rows */
};

/* index of the first element whose model is not lower; model_offset: of that
   field in an element */
static int
find_model(const void *array, int count, size_t size, size_t model_offset,
           uint32_t model)
{
    int low = 0;
    int high = count;

    while (low < high) {
        int mid = (low + high) / 2;
        uint32_t found;
        memcpy(&found, (const char *)array + (size_t)mid * size + model_offset,
               sizeof(found));
        if (found < model) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return low;
}

/* Makes room for an element at the index; returns the array. */
static void *
insert_element(void *array, int *count, int *cap, size_t size, int index)
{
    if (*count == *cap) {
        *cap = *cap == 0 ? 16 : *cap * 2;
        array = BkMem_Grow(array, (size_t)*cap, size);
    }
    char *at = (char *)array + (size_t)index * size;
    memmove(at + size, at, (size_t)(*count - index) * size);
    memset(at, 0, size);
    ++*count;
    return array;
}

static bkp_demand *
find_or_add_own_demand(FrPlanner *planner, uint32_t model_key)
{
    int index = find_model(planner->own_demands, planner->own_demand_count,
                           sizeof(FrOwnDemand),
                           offsetof(FrOwnDemand, row.model), model_key);

    if (index == planner->own_demand_count ||
        planner->own_demands[index].row.model != model_key) {
        planner->own_demands = insert_element(
            planner->own_demands, &planner->own_demand_count,
            &planner->own_demand_cap, sizeof(FrOwnDemand), index);
        planner->own_demands[index].row.model = model_key;
    }
    return &planner->own_demands[index].row;
}

void
FrDemand_NoteRequest(FrPlanner *planner, uint32_t model_key, int64_t work)
{
    bkp_demand *row = find_or_add_own_demand(planner, model_key);

    row->requests++;
    row->work_tokens += (u_quad_t)work;
    row->new_work_tokens += (u_int)work;
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
    for (int i = 0; i < planner->own_demand_count; i++) {
        planner->own_demands[i].row.waiting = 0;
    }
    for (const FrRequest *request = planner->front->queue_head;
         request != NULL; request = request->queue_next) {
        if (request->model != NULL && request->model_missing) {
            find_or_add_own_demand(planner, request->query.model)->waiting++;
        }
    }
}

static void
send_rows(FrPlanner *planner, bkp_demand *rows, u_int count, BkMs now)
{
    FrFront *front = planner->front;
    bkp_demands demands = {.name = front->conf.name,
                           .started_at = front->wall_started_at,
                           .rows = {count, rows},
                           .adapter_uses = {planner->own_adapter_use_count,
                                            planner->own_adapter_uses}};

    if (FrPlanner_IsActive(planner, now)) {
        FrDemand_Handle(planner, &demands, now);
    }
    else {
        FrPeers_SendToPlanner(front->peers, BKP_DEMANDS, &demands);
    }
    planner->own_adapter_use_count = 0;
}

static bool
has_changed(const FrOwnDemand *demand)
{
    return demand->row.requests != demand->told_requests ||
           demand->row.waiting != demand->told_waiting ||
           demand->row.waiting > 0;
}

/* Collects the next rows that changed, and notes that they are told. */
static u_int
collect_changed(FrPlanner *planner, int *next, bkp_demand *rows)
{
    u_int count = 0;

    while (*next < planner->own_demand_count &&
           count < BKP_MAX_DEMANDS - TOLD_AGAIN) {
        FrOwnDemand *demand = &planner->own_demands[(*next)++];
        if (has_changed(demand)) {
            rows[count++] = demand->row;
            demand->row.new_work_tokens = 0;
            demand->told_requests = demand->row.requests;
            demand->told_waiting = demand->row.waiting;
        }
    }
    return count;
}

static u_int
add_told_again(FrPlanner *planner, bkp_demand *rows, u_int count)
{
    for (int i = 0; i < TOLD_AGAIN && i < planner->own_demand_count; i++) {
        rows[count++] = planner
                            ->own_demands[planner->next_told_again++ %
                                          planner->own_demand_count]
                            .row;
    }
    return count;
}

void
FrDemand_Send(FrPlanner *planner, BkMs now)
{
    bkp_demand rows[BKP_MAX_DEMANDS];
    int next = 0;

    if (now - planner->demands_sent_at < SEND_INTERVAL) {
        return;
    }
    planner->demands_sent_at = now;
    update_waiting(planner);
    for (int i = 0; i < MAX_MESSAGES; i++) {
        u_int count = collect_changed(planner, &next, rows);
        if (count == 0 && planner->own_adapter_use_count == 0) {
            return;
        }
        send_rows(planner, rows, add_told_again(planner, rows, count), now);
    }
}

static void
forget_sources(FrPlanner *planner)
{
    for (int i = 0; i < planner->source_count; i++) {
        free(planner->sources[i].name);
        free(planner->sources[i].rows);
    }
    planner->source_count = 0;
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

static FrModelWork *
find_work(const FrPlanner *planner, uint32_t model_key)
{
    int index = find_model(planner->model_work, planner->model_work_count,
                           sizeof(FrModelWork), offsetof(FrModelWork, model),
                           model_key);

    return index < planner->model_work_count &&
                   planner->model_work[index].model == model_key
               ? &planner->model_work[index]
               : NULL;
}

static FrModelWork *
find_or_add_work(FrPlanner *planner, uint32_t model_key)
{
    FrModelWork *found = find_work(planner, model_key);

    if (found != NULL) {
        return found;
    }
    int index = find_model(planner->model_work, planner->model_work_count,
                           sizeof(FrModelWork), offsetof(FrModelWork, model),
                           model_key);
    planner->model_work =
        insert_element(planner->model_work, &planner->model_work_count,
                       &planner->model_work_cap, sizeof(FrModelWork), index);
    planner->model_work[index].model = model_key;
    return &planner->model_work[index];
}

/* The source's row for the model, which is added if there is none. is_new: it
   was added. */
static bkp_demand *
find_or_add_row(FrDemandSource *source, uint32_t model_key, bool *is_new)
{
    int count = (int)source->row_count;
    int cap = (int)source->row_cap;
    int index = find_model(source->rows, count, sizeof(bkp_demand),
                           offsetof(bkp_demand, model), model_key);

    *is_new = index == count || source->rows[index].model != model_key;
    if (*is_new) {
        source->rows = insert_element(source->rows, &count, &cap,
                                      sizeof(bkp_demand), index);
        source->rows[index].model = model_key;
        source->row_count = (u_int)count;
        source->row_cap = (u_int)cap;
    }
    return &source->rows[index];
}

static void
apply_row(FrPlanner *planner, FrDemandSource *source, const bkp_demand *row)
{
    bool is_new;
    bkp_demand *known = find_or_add_row(source, row->model, &is_new);
    u_quad_t before = known->work_tokens;

    if (is_new) {
        /* what an earlier planner was told of it does not count */
        before = row->work_tokens - row->new_work_tokens;
    }
    if (row->work_tokens > before) {
        BkWork_Add(&find_or_add_work(planner, row->model)->work,
                   (double)(row->work_tokens - before));
    }
    *known = *row;
}

void
FrDemand_Handle(FrPlanner *planner, const bkp_demands *demands, BkMs now)
{
    FrDemandSource *source = find_or_add_source(planner, demands->name);

    if (source->started_at != (uint64_t)demands->started_at) {
        source->row_count = 0; /* a restarted daemon counts from 0 again */
    }
    source->started_at = demands->started_at;
    source->received_at = now;
    for (u_int i = 0; i < demands->rows.rows_len; i++) {
        apply_row(planner, source, &demands->rows.rows_val[i]);
    }
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
FrDemand_BeginTerm(FrPlanner *planner)
{
    forget_sources(planner);
    planner->model_work_count = 0;
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
    const FrModelWork *found = find_work(planner, model_key);

    return found == NULL ? (BkWork){0} : found->work;
}

void
FrDemand_UpdateWaiting(FrPlanner *planner, BkMs now)
{
    for (int i = 0; i < planner->model_work_count; i++) {
        planner->model_work[i].waiting = 0;
    }
    for (int i = 0; i < planner->source_count; i++) {
        const FrDemandSource *source = &planner->sources[i];
        for (u_int k = 0; k < source->row_count &&
                          now - source->received_at < SOURCE_MAX_AGE;
             k++) {
            if (source->rows[k].waiting > 0) {
                find_or_add_work(planner, source->rows[k].model)->waiting +=
                    (int)source->rows[k].waiting;
            }
        }
    }
}

int
FrDemand_GetWaiting(const FrPlanner *planner, uint32_t model_key)
{
    const FrModelWork *found = find_work(planner, model_key);

    return found == NULL ? 0 : found->waiting;
}

void
FrDemand_Destroy(FrPlanner *planner)
{
    forget_sources(planner);
    free(planner->sources);
    free(planner->model_work);
    free(planner->own_demands);
}
