#include "world.h"

#include <stdlib.h>
#include <string.h>

/* the queue formula: see docs/design/bench.md */
#define PREFILL ((BkMs)120)
#define PREFILL_CACHED ((BkMs)50)
#define TOKEN_BASE 18.0 /* ms between tokens of a replica with one request */
#define TOKEN_EACH 1.5  /* ms more for each request beside it */
#define SERVICE_TIME ((BkMs)20)
#define LOAD_LEAST (3 * BK_MS_PER_S)
#define LOAD_BYTES_PER_MS (UINT64_C(1) << 20) /* about 1 GiB a second */
#define UNLOAD_TIME (2 * BK_MS_PER_S)
#define MEAN_TOKENS 40

double
mean_work(void)
{
    double token = TOKEN_BASE + TOKEN_EACH * 15;

    return ((double)PREFILL + MEAN_TOKENS * token) / BK_MS_PER_S;
}

void
replica_init(Replica *replica, const BkUpstream *upstream)
{
    replica->service = upstream->kind == BK_UPSTREAM_SERVICE;
    replica->slots = upstream->slots;
    replica->memory = upstream->memory;
    replica->boot = 1;
    replica->list_version = 1;
}

static void
free_held(Held *held)
{
    free(held->name);
    free(held->version);
}

void
replica_free(Replica *replica)
{
    for (int i = 0; i < replica->held_count; i++) {
        free_held(&replica->held[i]);
    }
    free(replica->queue);
}

uint64_t
replica_used(const Replica *replica)
{
    uint64_t used = 0;

    for (int i = 0; i < replica->held_count; i++) {
        used += replica->held[i].bytes;
    }
    return used;
}

static void
push_waiting(Replica *r, int req, BkMs from)
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
    int at = (r->queue_head + r->queue_count++) % r->queue_cap;
    r->queue[at] = (Waiting){req, from};
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
    uint64_t *slot = &r->prefixes[prefix % PREFIX_SLOTS];
    bool cached = *slot == prefix;

    *slot = prefix;
    return cached ? PREFILL_CACHED : PREFILL;
}

static void
start(World *w, int up, int index, BkMs at)
{
    Replica *r = &w->replicas[up];
    Req *req = &w->reqs[index];
    const Arrival *arrival = &w->trace->arrivals[index];
    BkMs first = at + SERVICE_TIME;
    BkMs finish = first;

    if (!r->service) {
        BkMs per_token = (BkMs)(TOKEN_BASE + TOKEN_EACH * r->running_count);
        first = at + prefill_time(r, arrival->prefix);
        finish = first + arrival->tokens * per_token;
        req->per_token = per_token;
    }
    req->runs++;
    req->started = at;
    if (req->first == BK_MS_NEVER) {
        req->first = first + w->dep->hop_way + w->dep->client_way;
    }
    r->running[r->running_count++] = (Running){index, finish};
    if (finish < r->quiet_until) {
        r->quiet_until = finish;
    }
}

/* the running request that finishes first; -1 if none does by now */
static int
next_finish(Replica *r, BkMs now)
{
    int best = -1;

    if (now < r->quiet_until) {
        return -1;
    }
    r->quiet_until = BK_MS_NEVER;
    for (int i = 0; i < r->running_count; i++) {
        if (r->running[i].finish < r->quiet_until) {
            best = i;
            r->quiet_until = r->running[i].finish;
        }
    }
    return now < r->quiet_until ? -1 : best;
}

static void
advance_held(World *w, Replica *r)
{
    for (int i = 0; i < r->held_count && r->in_change > 0; i++) {
        Held *held = &r->held[i];
        if (held->changes > w->now || held->state == BK_INST_READY) {
            continue;
        }
        r->in_change--;
        r->list_version++;
        if (held->state == BK_INST_LOADING) {
            held->state = BK_INST_READY;
            w->planner.loading--;
            continue;
        }
        free_held(held);
        r->held[i--] = r->held[--r->held_count];
    }
}

void
replica_advance(World *w, int up)
{
    Replica *r = &w->replicas[up];

    if (r->dead) {
        return;
    }
    advance_held(w, r);
    for (int i = next_finish(r, w->now); i >= 0; i = next_finish(r, w->now)) {
        Running done = r->running[i];
        r->running[i] = r->running[--r->running_count];
        entry_done(w, up, done.req, done.finish);
        if (r->queue_count > 0) {
            Waiting waiting = pop_waiting(r);
            BkMs at = waiting.from > done.finish ? waiting.from : done.finish;
            start(w, up, waiting.req, at);
        }
    }
    if (w->now % SAMPLE == 0) {
        r->history[w->now / SAMPLE % HISTORY] =
            (Load){r->running_count, r->queue_count};
    }
}

void
replica_accept(World *w, int up, int req, BkMs at)
{
    Replica *r = &w->replicas[up];

    if (r->running_count < r->slots) {
        start(w, up, req, at);
        return;
    }
    push_waiting(r, req, at);
}

void
replica_kill(World *w, int up)
{
    Replica *r = &w->replicas[up];

    r->dead = true;
    for (int i = 0; i < r->held_count; i++) {
        w->planner.loading -= r->held[i].state == BK_INST_LOADING;
        free_held(&r->held[i]);
    }
    r->held_count = 0;
    r->in_change = 0;
    while (r->running_count > 0) {
        entry_cut(w, up, r->running[--r->running_count].req);
    }
    while (r->queue_count > 0) {
        entry_cut(w, up, pop_waiting(r).req);
    }
}

void
replica_revive(World *w, int up)
{
    Replica *r = &w->replicas[up];

    r->dead = false;
    r->boot++;
    r->list_version++;
    memset(r->prefixes, 0, sizeof(r->prefixes));
    memset(r->history, 0, sizeof(r->history));
}

bool
replica_has(const World *w, int up, int item)
{
    const Replica *r = &w->replicas[up];
    int base = w->bundles[0]->items[item].base;
    bool found = false;
    bool base_found = base < 0;

    if (r->service) {
        return true;
    }
    for (int i = 0; i < r->held_count; i++) {
        bool ready = r->held[i].state == BK_INST_READY;
        found |= ready && r->held[i].item == item;
        base_found |= ready && r->held[i].item == base;
    }
    return found && base_found;
}

Held *
replica_hold(World *w, int up, const char *name, int item,
             const BkBundle *bundle)
{
    Replica *r = &w->replicas[up];
    const BkItem *spec = &bundle->items[item];
    int full_speed = w->dep->place.loads_at_once;
    BkMs time = LOAD_LEAST + (BkMs)(spec->bytes / LOAD_BYTES_PER_MS);

    w->planner.loading++;
    r->in_change++;
    if (w->planner.loading > full_speed) {
        time = time * w->planner.loading / full_speed;
    }
    Held *held = &r->held[r->held_count++];
    *held = (Held){BkStr_Dup(BkStr_FromC(name)),
                   item,
                   BkStr_Dup(BkStr_FromC(spec->version)),
                   spec->bytes,
                   BK_INST_LOADING,
                   w->now + time};
    r->list_version++;
    w->score.overcommits += replica_used(r) > r->memory;
    return held;
}

void
replica_drop(World *w, int up, const char *name)
{
    Replica *r = &w->replicas[up];

    for (int i = 0; i < r->held_count; i++) {
        Held *held = &r->held[i];
        if (strcmp(held->name, name) == 0 && held->state == BK_INST_READY) {
            held->state = BK_INST_UNLOADING;
            held->changes = w->now + UNLOAD_TIME;
            r->in_change++;
            r->list_version++;
        }
    }
}

Load
replica_report(const World *w, int up)
{
    BkMs at = w->now - w->scenario->report_lag;

    if (at < 0) {
        return (Load){0, 0};
    }
    return w->replicas[up].history[at / SAMPLE % HISTORY];
}

void
replica_state(const World *w, int up, const BkBundle *bundle, BkBuf *out)
{
    static const char *const names[] = {"loading", "ready", "unloading"};
    const Replica *r = &w->replicas[up];
    Load load = replica_report(w, up);

    BkBuf_Printf(out,
                 "{\"boot\":%u,\"memory\":%llu,\"used\":%llu,\"leaving\":"
                 "false,\"fence\":1,\"running\":%d,\"waiting\":%d,"
                 "\"instances\":[",
                 r->boot, (unsigned long long)r->memory,
                 (unsigned long long)replica_used(r), load.running,
                 load.waiting);
    for (int i = 0; i < r->held_count; i++) {
        const Held *held = &r->held[i];
        BkBuf_Printf(out,
                     "%s{\"instance\":\"%s\",\"model\":\"%s\",\"version\":"
                     "\"%s\",\"bytes\":%llu,\"state\":\"%s\"}",
                     i > 0 ? "," : "", held->name,
                     bundle->items[held->item].name, held->version,
                     (unsigned long long)held->bytes, names[held->state]);
    }
    BkBuf_Printf(out, "]}");
}
