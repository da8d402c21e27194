#include "sim.h"

#include <stdlib.h>

#define CLAIM_WINDOW ((BkMs)20) /* claims in it share one platform write */
#define GOSSIP_ROUNDS_PER_S 4
#define GOSSIP_PEERS 2         /* datagrams in each round */
#define GOSSIP_HEADER_BYTES 64 /* bytes of a datagram besides observations */
#define OBSERVATION_BYTES 28
#define SLOT_TIME_SMOOTHING 0.02 /* weight of the newest request in the mean */
#define RETRY_TOKENS_PER_REQUEST 0.1
#define MAX_RETRY_TOKENS 50.0
/* report lag that the daemons are configured with */
#define CONFIGURED_REPORT_LAG ((BkMs)200)
/* age of an observation received from a peer */
#define PEER_OBSERVATION_AGE ((BkMs)150)

enum {
    MAX_ATTEMPTS = 4,
    MAX_IN_FLIGHT = 200 /* requests in progress at an entry, for fair shares */
};

void
entry_init(Sim *sim, int entry_index)
{
    Entry *e = &sim->entries[entry_index];

    e->view = BkView_Create(sim->bundles[0], NULL);
    e->fair_share = BkFairShare_Create(sim->bundles[0], MAX_IN_FLIGHT);
    e->budget = (BkRetryBucket){MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST,
                                MAX_RETRY_TOKENS};
    e->last_claim_window = -1;
    e->route = (BkRoute){.rng = BkRng_Make((uint64_t)entry_index + 1)};
    e->route.conf = (BkRouteConf){
        .policy = sim->policy->route,
        .stale_after = STALE_AFTER,
        .service_time = (BkMs)(mean_slot_seconds() * BK_MS_PER_S),
        .first_byte_time = 120 + 2 * sim->dep->hop_latency,
        .report_lag = CONFIGURED_REPORT_LAG,
        .senders = ENTRIES,
        .affinity_slack = 0.25,
        .admit_all = sim->policy->admit_all,
    };
}

void
entry_free(Entry *e)
{
    BkRoute_Destroy(&e->route);
    BkView_Destroy(e->view);
    BkFairShare_Destroy(e->fair_share);
}

/* A changed instance list is polled from the upstream itself. Otherwise only
   its load is observed, as received from a peer. */
void
observe_upstream(Sim *sim, BkView *view, uint64_t *known_versions, int up,
                 BkMs age)
{
    const Replica *r = &sim->replicas[up];

    if (r->crashed) {
        BkView_NoteFailure(view, up, sim->now);
        return;
    }
    if (known_versions[up] != r->instances_version) {
        BkBuf json = BkBuf_Make(0);
        replica_write_state(sim, up, view->bundle, &json);
        BkView_ApplyState(view, up, BkBuf_Str(&json), sim->now);
        sim->score.control_bytes += (int64_t)json.len;
        BkBuf_Destroy(&json);
        known_versions[up] = r->instances_version;
        return;
    }
    LoadSample load = replica_reported_load(sim, up);
    BkObs obs = {.key = view->bundle->upstreams[up].name_hash,
                 .boot = r->boot,
                 .digest = view->ups[up].insts_digest,
                 .age = age,
                 .running = load.running,
                 .waiting = load.waiting};
    BkView_ApplyObs(view, &obs, sim->now);
}

void
entry_observe(Sim *sim, int entry_index, int up)
{
    Entry *e = &sim->entries[entry_index];

    observe_upstream(sim, e->view, e->known_versions, up,
                     PEER_OBSERVATION_AGE);
    /* gossip traffic for this upstream since the last call, half a second ago:
       an observation in each datagram and an equal share of its header */
    sim->score.control_bytes +=
        GOSSIP_ROUNDS_PER_S / 2 * GOSSIP_PEERS *
        (OBSERVATION_BYTES + GOSSIP_HEADER_BYTES / sim->up_count);
}

static void
finish_request(Sim *sim, int req_index, ReqState state)
{
    const Arrival *a = &sim->trace->arrivals[req_index];

    sim->reqs[req_index].state = state;
    BkFairShare_Release(sim->entries[a->entry].fair_share, a->caller,
                        sim->now);
}

static bool
is_repeatable(const Sim *sim, int item)
{
    return sim->bundles[0]->items[item].kind != BK_ITEM_SERVICE;
}

/* Returns whether the upstream accepted the request. */
static bool
try_send(Sim *sim, int req_index, int up)
{
    const Arrival *a = &sim->trace->arrivals[req_index];
    Entry *e = &sim->entries[a->entry];

    if (sim->replicas[up].crashed) {
        BkView_NoteFailure(e->view, up, sim->now);
        return false;
    }
    if (!replica_can_serve(sim, up, a->item)) {
        return false;
    }
    BkRoute_NoteSent(e->view, up);
    replica_accept(sim, up, req_index, sim->now + sim->dep->hop_latency);
    return true;
}

/* Tries copies until one accepts the request. Retries use the retry budget. */
static void
dispatch(Sim *sim, int req_index)
{
    const Arrival *a = &sim->trace->arrivals[req_index];
    Entry *e = &sim->entries[a->entry];
    BkRouteQuery *query = &sim->reqs[req_index].query;

    for (;;) {
        bool is_first_attempt = query->tried_count == 0;
        if (query->tried_count == MAX_ATTEMPTS ||
            (!is_first_attempt && !BkRetryBucket_TryRetry(&e->budget))) {
            finish_request(sim, req_index, REQ_FAILED);
            return;
        }
        BkRouteChoice choice =
            BkRoute_Choose(&e->route, e->view, query, sim->now);
        if (choice.status != BK_OK) {
            bool has_run = sim->reqs[req_index].run_count > 0;
            finish_request(sim, req_index, has_run ? REQ_FAILED : REQ_REFUSED);
            return;
        }
        query->tried[query->tried_count++] = choice.upstream;
        if (try_send(sim, req_index, choice.upstream)) {
            return;
        }
    }
}

/* Counts one platform write for all claims of an entry in one window. */
static void
count_claim(Sim *sim, Entry *e)
{
    BkMs window = sim->now / CLAIM_WINDOW;

    if (window != e->last_claim_window) {
        e->last_claim_window = window;
        sim->score.platform_writes++;
    }
}

void
entry_handle_arrival(Sim *sim, int req_index)
{
    const Arrival *a = &sim->trace->arrivals[req_index];
    Entry *e = &sim->entries[a->entry];
    Req *req = &sim->reqs[req_index];
    BkMs retry_after;

    sim->score.offered++;
    e->request_counts[a->item]++;
    req->first_token_at = BK_MS_NEVER;
    req->query = (BkRouteQuery){.item = a->item, .prefix_hash = a->prefix};
    req->query.deadline =
        a->at + FIRST_TOKEN_LIMIT - 2 * sim->dep->client_latency;
    if (BkFairShare_Admit(e->fair_share, a->caller, sim->now, &retry_after) !=
        BK_OK) {
        req->state = REQ_REFUSED;
        return;
    }
    BkRetryBucket_CountRequest(&e->budget);
    if (!is_repeatable(sim, a->item)) {
        if (sim->platform_out) {
            finish_request(sim, req_index, REQ_REFUSED);
            return;
        }
        count_claim(sim, e);
    }
    dispatch(sim, req_index);
}

/* Updates the smoothed slot time of the item, which the entries report to the
   planner. */
static void
update_slot_time(Sim *sim, int item, BkMs slot_time)
{
    double *mean = &sim->planner.demand[item].slot_seconds;

    *mean += ((double)slot_time / BK_MS_PER_S - *mean) * SLOT_TIME_SMOOTHING;
}

void
entry_handle_answer(Sim *sim, int up, int req_index, BkMs finished_at)
{
    const Arrival *a = &sim->trace->arrivals[req_index];
    Req *req = &sim->reqs[req_index];
    Entry *e = &sim->entries[a->entry];
    BkMs first_token_time =
        req->first_token_at + sim->dep->client_latency - a->at;
    bool first_token_on_time = first_token_time <= FIRST_TOKEN_LIMIT;
    bool tokens_on_time =
        req->token_interval <= TOKEN_INTERVAL_LIMIT && !req->interrupted;

    BkRoute_NoteFinished(e->view, up);
    update_slot_time(sim, a->item, finished_at - req->started_at);
    req->answer_count++;
    sim->score.completed++;
    sim->score.first_token_on_time += first_token_on_time;
    sim->score.tokens_on_time += tokens_on_time;
    if (!is_repeatable(sim, a->item)) {
        count_claim(sim, e);
    }
    finish_request(sim, req_index,
                   first_token_on_time && tokens_on_time ? REQ_ON_TIME
                                                         : REQ_LATE);
}

/* The replica of the request crashed. A repeatable request is sent to another
   copy, also if its stream has begun. */
void
entry_handle_crash(Sim *sim, int up, int req_index)
{
    const Arrival *a = &sim->trace->arrivals[req_index];
    Req *req = &sim->reqs[req_index];
    Entry *e = &sim->entries[a->entry];

    BkRoute_NoteFinished(e->view, up);
    BkView_NoteFailure(e->view, up, sim->now);
    if (!is_repeatable(sim, a->item)) {
        finish_request(sim, req_index, REQ_UNKNOWN);
        return;
    }
    if (req->first_token_at != BK_MS_NEVER &&
        req->first_token_at <= sim->now) {
        req->interrupted = true;
        /* a stream that has begun is not refused for its deadline */
        req->query.deadline = BK_MS_NEVER / 2;
    }
    else {
        req->first_token_at = BK_MS_NEVER;
    }
    dispatch(sim, req_index);
}
