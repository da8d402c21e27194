#include "world.h"

#include <stdlib.h>

#define CLAIM_WINDOW ((BkMs)20)
#define GOSSIP_ROUNDS 4 /* a second */
#define GOSSIP_PEERS 2
#define GOSSIP_HEAD 64 /* bytes of a datagram besides observations */
#define OBS_BYTES 28
#define WORK_WEIGHT 0.02 /* of the newest request */
#define RETRY_SHARE 0.1
#define RETRY_MOST 50.0
#define USUAL_LAG ((BkMs)200) /* of reports, as the settings say */
#define PEER_AGE ((BkMs)150)  /* of what a peer tells */

enum {
    MAX_ATTEMPTS = 4,
    IN_FLIGHT = 200 /* limit of an entry, for fair shares */
};

void
entry_init(World *w, int index)
{
    Entry *e = &w->entries[index];

    e->view = BkView_Create(w->bundles[0], NULL);
    e->fair = BkFairShare_Create(w->bundles[0], IN_FLIGHT);
    e->budget = (BkRetryBudget){RETRY_MOST, RETRY_SHARE, RETRY_MOST};
    e->claims_at = -1;
    e->route = (BkRoute){.rng = BkRng_Make((uint64_t)index + 1)};
    e->route.conf = (BkRouteConf){
        .policy = w->policy->route,
        .stale_after = STALE_AFTER,
        .service_time = (BkMs)(mean_work() * BK_MS_PER_S),
        .first_byte = 120 + 2 * w->dep->hop_way,
        .report_lag = USUAL_LAG,
        .senders = ENTRIES,
        .affinity_slack = 0.25,
        .admit_all = w->policy->admit_all,
    };
}

void
entry_free(Entry *e)
{
    BkRoute_Destroy(&e->route);
    BkView_Destroy(e->view);
    BkFairShare_Destroy(e->fair);
}

/* load figures as peers tell them; the instance list by an own poll */
void
observe(World *w, BkView *view, uint64_t *known, int up, BkMs age)
{
    const Replica *r = &w->replicas[up];

    if (r->dead) {
        BkView_NoteFailure(view, up, w->now);
        return;
    }
    if (known[up] != r->list_version) {
        BkBuf json = BkBuf_Make(0);
        replica_state(w, up, view->bundle, &json);
        BkView_ApplyState(view, up, BkBuf_Str(&json), w->now);
        w->score.control_bytes += (int64_t)json.len;
        BkBuf_Destroy(&json);
        known[up] = r->list_version;
        return;
    }
    Load load = replica_report(w, up);
    BkObs obs = {.key = view->bundle->upstreams[up].key,
                 .boot = r->boot,
                 .digest = view->ups[up].insts_digest,
                 .age = age,
                 .running = load.running,
                 .waiting = load.waiting};
    BkView_ApplyObs(view, &obs, w->now);
}

void
entry_observe(World *w, int index, int up)
{
    Entry *e = &w->entries[index];

    observe(w, e->view, e->known_list, up, PEER_AGE);
    /* this upstream's share of the rounds, by a half second's interval */
    w->score.control_bytes += GOSSIP_ROUNDS / 2 * GOSSIP_PEERS *
                              (OBS_BYTES + GOSSIP_HEAD / w->up_count);
}

static void
end_request(World *w, int index, ReqState state)
{
    const Arrival *a = &w->trace->arrivals[index];

    w->reqs[index].state = state;
    BkFairShare_Release(w->entries[a->entry].fair, a->caller, w->now);
}

static bool
is_repeatable(const World *w, int item)
{
    return w->bundles[0]->items[item].kind != BK_ITEM_SERVICE;
}

/* returns whether the upstream took the request */
static bool
send_to(World *w, int index, int up)
{
    const Arrival *a = &w->trace->arrivals[index];
    Entry *e = &w->entries[a->entry];

    if (w->replicas[up].dead) {
        BkView_NoteFailure(e->view, up, w->now);
        return false;
    }
    if (!replica_has(w, up, a->item)) {
        return false;
    }
    BkRoute_NoteSent(e->view, up);
    replica_accept(w, up, index, w->now + w->dep->hop_way);
    return true;
}

/* tries copies until one takes it; retries come from the budget */
static void
dispatch(World *w, int index)
{
    const Arrival *a = &w->trace->arrivals[index];
    Entry *e = &w->entries[a->entry];
    BkRouteQuery *query = &w->reqs[index].query;

    for (;;) {
        bool first = query->tried_count == 0;
        if (query->tried_count == MAX_ATTEMPTS ||
            (!first && !BkRetryBudget_TryRetry(&e->budget))) {
            end_request(w, index, REQ_FAILED);
            return;
        }
        BkRouteChoice choice =
            BkRoute_Choose(&e->route, e->view, query, w->now);
        if (choice.status != BK_OK) {
            bool ran = w->reqs[index].runs > 0;
            end_request(w, index, ran ? REQ_FAILED : REQ_REFUSED);
            return;
        }
        query->tried[query->tried_count++] = choice.upstream;
        if (send_to(w, index, choice.upstream)) {
            return;
        }
    }
}

static void
count_claim(World *w, Entry *e)
{
    BkMs window = w->now / CLAIM_WINDOW;

    if (window != e->claims_at) {
        e->claims_at = window;
        w->score.platform_writes++;
    }
}

void
entry_arrive(World *w, int index)
{
    const Arrival *a = &w->trace->arrivals[index];
    Entry *e = &w->entries[a->entry];
    Req *req = &w->reqs[index];
    BkMs retry;

    w->score.offered++;
    e->asked[a->item]++;
    req->first = BK_MS_NEVER;
    req->query = (BkRouteQuery){.item = a->item, .prefix_hash = a->prefix};
    req->query.deadline = a->at + FIRST_TOKEN_LIMIT - 2 * w->dep->client_way;
    if (BkFairShare_Admit(e->fair, a->caller, w->now, &retry) != BK_OK) {
        req->state = REQ_REFUSED;
        return;
    }
    BkRetryBudget_CountRequest(&e->budget);
    if (!is_repeatable(w, a->item)) {
        if (w->platform_out) {
            end_request(w, index, REQ_REFUSED);
            return;
        }
        count_claim(w, e);
    }
    dispatch(w, index);
}

/* as the entries tell the planner: the slot time of an item, smoothed */
static void
note_work(World *w, int item, BkMs busy)
{
    double *work = &w->planner.demand[item].slot_seconds;

    *work += ((double)busy / BK_MS_PER_S - *work) * WORK_WEIGHT;
}

void
entry_done(World *w, int up, int index, BkMs at)
{
    const Arrival *a = &w->trace->arrivals[index];
    Req *req = &w->reqs[index];
    Entry *e = &w->entries[a->entry];
    BkMs first = req->first + w->dep->client_way - a->at;
    bool first_good = first <= FIRST_TOKEN_LIMIT;
    bool tokens_good = req->per_token <= TOKEN_LIMIT && !req->gap;

    BkRoute_NoteFinished(e->view, up);
    note_work(w, a->item, at - req->started);
    req->answers++;
    w->score.admitted++;
    w->score.first_in_time += first_good;
    w->score.tokens_in_time += tokens_good;
    if (!is_repeatable(w, a->item)) {
        count_claim(w, e);
    }
    end_request(w, index, first_good && tokens_good ? REQ_ON_TIME : REQ_LATE);
}

/* its replica died: a stream goes on at another copy */
void
entry_cut(World *w, int up, int index)
{
    const Arrival *a = &w->trace->arrivals[index];
    Req *req = &w->reqs[index];
    Entry *e = &w->entries[a->entry];

    BkRoute_NoteFinished(e->view, up);
    BkView_NoteFailure(e->view, up, w->now);
    if (!is_repeatable(w, a->item)) {
        end_request(w, index, REQ_UNKNOWN);
        return;
    }
    if (req->first != BK_MS_NEVER && req->first <= w->now) {
        req->gap = true;
        /* what has begun is not refused for lateness */
        req->query.deadline = BK_MS_NEVER / 2;
    }
    else {
        req->first = BK_MS_NEVER;
    }
    dispatch(w, index);
}
