#include "sim.h"

#include <stdlib.h>
#include <string.h>

/* The queue formula; see docs/design/bench.md. */
#define PREFILL_TIME ((BkMs)120)
#define CACHED_PREFILL_TIME ((BkMs)50) /* with the prompt prefix cached */
#define TOKEN_INTERVAL_BASE 18.0 /* ms between tokens while one request runs */
#define TOKEN_INTERVAL_STEP 1.5  /* ms added for each other running request */
#define SERVICE_TIME ((BkMs)20)  /* run time of a request to a service */
#define MIN_LOAD_TIME (3 * BK_MS_PER_S)
#define LOAD_BYTES_PER_MS (UINT64_C(1) << 20) /* about 1 GiB a second */
#define UNLOAD_TIME (2 * BK_MS_PER_S)
#define MEAN_TOKENS 40

double
mean_slot_seconds(void)
{
    /* 15 other requests run: all 16 slots of the engine are in use */
    double token_interval = TOKEN_INTERVAL_BASE + TOKEN_INTERVAL_STEP * 15;

    return ((double)PREFILL_TIME + MEAN_TOKENS * token_interval) / BK_MS_PER_S;
}

void
replica_init(Replica *replica, const BkUpstream *upstream)
{
    replica->is_service = upstream->kind == BK_UPSTREAM_SERVICE;
    replica->slots = upstream->slots;
    replica->memory = upstream->memory_bytes;
    replica->boot = 1;
    replica->instances_version = 1;
}

static void
free_instance(Instance *instance)
{
    free(instance->name);
    free(instance->version);
}

void
replica_free(Replica *replica)
{
    for (int i = 0; i < replica->instance_count; i++) {
        free_instance(&replica->instances[i]);
    }
    free(replica->queue);
}

uint64_t
replica_used_memory(const Replica *replica)
{
    uint64_t used = 0;

    for (int i = 0; i < replica->instance_count; i++) {
        used += replica->instances[i].bytes;
    }
    return used;
}

static void
push_waiting(Replica *r, int req_index, BkMs arrived_at)
{
    if (r->queue_count == r->queue_cap) {
        int cap = r->queue_cap == 0 ? 64 : 2 * r->queue_cap;
        Waiting *queue = BkMem_New((size_t)cap, sizeof(Waiting));
        for (int i = 0; i < r->queue_count; i++) {
            queue[i] = r->queue[(r->queue_head + i) % r->queue_cap];
        }
        free(r->queue);
        r->queue = queue;
        r->queue_head = 0;
        r->queue_cap = cap;
    }
    int tail = (r->queue_head + r->queue_count++) % r->queue_cap;
    r->queue[tail] = (Waiting){req_index, arrived_at};
}

static Waiting
pop_waiting(Replica *r)
{
    Waiting waiting = r->queue[r->queue_head];

    r->queue_head = (r->queue_head + 1) % r->queue_cap;
    r->queue_count--;
    return waiting;
}

static BkMs
prefill_time(Replica *r, uint64_t prefix)
{
    uint64_t *cached_prefix = &r->prefixes[prefix % PREFIX_CACHE_SIZE];
    bool cached = *cached_prefix == prefix;

    *cached_prefix = prefix;
    return cached ? CACHED_PREFILL_TIME : PREFILL_TIME;
}

static void
start_request(Sim *sim, int up, int req_index, BkMs started_at)
{
    Replica *r = &sim->replicas[up];
    Req *req = &sim->reqs[req_index];
    const Arrival *arrival = &sim->trace->arrivals[req_index];
    BkMs first_token_at = started_at + SERVICE_TIME;
    BkMs finish_at = first_token_at;

    if (!r->is_service) {
        BkMs token_interval = (BkMs)(TOKEN_INTERVAL_BASE +
                                     TOKEN_INTERVAL_STEP * r->running_count);
        first_token_at = started_at + prefill_time(r, arrival->prefix);
        finish_at = first_token_at + arrival->tokens * token_interval;
        req->token_interval = token_interval;
    }
    req->run_count++;
    req->started_at = started_at;
    if (req->first_token_at == BK_MS_NEVER) {
        req->first_token_at =
            first_token_at + sim->dep->hop_latency + sim->dep->client_latency;
    }
    r->running[r->running_count++] = (Running){req_index, finish_at};
    if (finish_at < r->earliest_finish) {
        r->earliest_finish = finish_at;
    }
}

/* The running request that finishes first; -1 if none has finished by now. */
static int
next_finish(Replica *r, BkMs now)
{
    int first = -1;

    if (now < r->earliest_finish) {
        return -1;
    }
    r->earliest_finish = BK_MS_NEVER;
    for (int i = 0; i < r->running_count; i++) {
        if (r->running[i].finish_at < r->earliest_finish) {
            first = i;
            r->earliest_finish = r->running[i].finish_at;
        }
    }
    return now < r->earliest_finish ? -1 : first;
}

static void
advance_instances(Sim *sim, Replica *r)
{
    for (int i = 0; i < r->instance_count && r->changing_count > 0; i++) {
        Instance *instance = &r->instances[i];
        if (instance->state_end > sim->now ||
            instance->state == BK_INST_READY) {
            continue;
        }
        r->changing_count--;
        r->instances_version++;
        if (instance->state == BK_INST_LOADING) {
            instance->state = BK_INST_READY;
            sim->planner.loading_count--;
            continue;
        }
        free_instance(instance);
        r->instances[i--] = r->instances[--r->instance_count];
    }
}

void
replica_advance(Sim *sim, int up)
{
    Replica *r = &sim->replicas[up];

    if (r->crashed) {
        return;
    }
    advance_instances(sim, r);
    for (int i = next_finish(r, sim->now); i >= 0;
         i = next_finish(r, sim->now)) {
        Running finished = r->running[i];
        r->running[i] = r->running[--r->running_count];
        entry_handle_answer(sim, up, finished.req_index, finished.finish_at);
        if (r->queue_count > 0) {
            Waiting waiting = pop_waiting(r);
            BkMs started_at = waiting.arrived_at > finished.finish_at
                                  ? waiting.arrived_at
                                  : finished.finish_at;
            start_request(sim, up, waiting.req_index, started_at);
        }
    }
    if (sim->now % SAMPLE_PERIOD == 0) {
        r->history[sim->now / SAMPLE_PERIOD % HISTORY_SIZE] =
            (LoadSample){r->running_count, r->queue_count};
    }
}

void
replica_accept(Sim *sim, int up, int req_index, BkMs arrived_at)
{
    Replica *r = &sim->replicas[up];

    if (r->running_count < r->slots) {
        start_request(sim, up, req_index, arrived_at);
        return;
    }
    push_waiting(r, req_index, arrived_at);
}

void
replica_crash(Sim *sim, int up)
{
    Replica *r = &sim->replicas[up];

    r->crashed = true;
    for (int i = 0; i < r->instance_count; i++) {
        sim->planner.loading_count -= r->instances[i].state == BK_INST_LOADING;
        free_instance(&r->instances[i]);
    }
    r->instance_count = 0;
    r->changing_count = 0;
    while (r->running_count > 0) {
        entry_handle_crash(sim, up, r->running[--r->running_count].req_index);
    }
    while (r->queue_count > 0) {
        entry_handle_crash(sim, up, pop_waiting(r).req_index);
    }
}

void
replica_restart(Sim *sim, int up)
{
    Replica *r = &sim->replicas[up];

    r->crashed = false;
    r->boot++;
    r->instances_version++;
    memset(r->prefixes, 0, sizeof(r->prefixes));
    memset(r->history, 0, sizeof(r->history));
}

bool
replica_can_serve(const Sim *sim, int up, int item)
{
    const Replica *r = &sim->replicas[up];
    int base = sim->bundles[0]->items[item].base;
    bool item_ready = false;
    bool base_ready = base < 0;

    if (r->is_service) {
        return true;
    }
    for (int i = 0; i < r->instance_count; i++) {
        bool ready = r->instances[i].state == BK_INST_READY;
        item_ready |= ready && r->instances[i].item == item;
        base_ready |= ready && r->instances[i].item == base;
    }
    return item_ready && base_ready;
}

Instance *
replica_load(Sim *sim, int up, const char *name, int item,
             const BkBundle *bundle)
{
    Replica *r = &sim->replicas[up];
    const BkItem *spec = &bundle->items[item];
    int full_speed_loads = sim->dep->place.loads_at_once;
    BkMs load_time = MIN_LOAD_TIME + (BkMs)(spec->bytes / LOAD_BYTES_PER_MS);

    sim->planner.loading_count++;
    r->changing_count++;
    if (sim->planner.loading_count > full_speed_loads) {
        load_time = load_time * sim->planner.loading_count / full_speed_loads;
    }
    Instance *instance = &r->instances[r->instance_count++];
    *instance = (Instance){BkStr_Dup(BkStr_FromC(name)),
                           item,
                           BkStr_Dup(BkStr_FromC(spec->version)),
                           spec->bytes,
                           BK_INST_LOADING,
                           sim->now + load_time};
    r->instances_version++;
    sim->score.overcommits += replica_used_memory(r) > r->memory;
    return instance;
}

void
replica_unload(Sim *sim, int up, const char *name)
{
    Replica *r = &sim->replicas[up];

    for (int i = 0; i < r->instance_count; i++) {
        Instance *instance = &r->instances[i];
        if (strcmp(instance->name, name) == 0 &&
            instance->state == BK_INST_READY) {
            instance->state = BK_INST_UNLOADING;
            instance->state_end = sim->now + UNLOAD_TIME;
            r->changing_count++;
            r->instances_version++;
        }
    }
}

LoadSample
replica_reported_load(const Sim *sim, int up)
{
    BkMs sampled_at = sim->now - sim->scenario->report_lag;

    if (sampled_at < 0) {
        return (LoadSample){0, 0};
    }
    return sim->replicas[up]
        .history[sampled_at / SAMPLE_PERIOD % HISTORY_SIZE];
}

void
replica_write_state(const Sim *sim, int up, const BkBundle *bundle, BkBuf *out)
{
    static const char *const state_names[] = {"loading", "ready", "unloading"};
    const Replica *r = &sim->replicas[up];
    LoadSample load = replica_reported_load(sim, up);

    BkBuf_Printf(out,
                 "{\"boot\":%u,\"memory\":%llu,\"used\":%llu,\"leaving\":"
                 "false,\"fence\":1,\"running\":%d,\"waiting\":%d,"
                 "\"instances\":[",
                 r->boot, (unsigned long long)r->memory,
                 (unsigned long long)replica_used_memory(r), load.running,
                 load.waiting);
    for (int i = 0; i < r->instance_count; i++) {
        const Instance *instance = &r->instances[i];
        BkBuf_Printf(out,
                     "%s{\"instance\":\"%s\",\"model\":\"%s\",\"version\":"
                     "\"%s\",\"bytes\":%llu,\"state\":\"%s\"}",
                     i > 0 ? "," : "", instance->name,
                     bundle->items[instance->item].name, instance->version,
                     (unsigned long long)instance->bytes,
                     state_names[instance->state]);
    }
    BkBuf_Printf(out, "]}");
}
