#include "bk/route/route.h"

#include <math.h>
#include <xxhash.h>

#include "index.h"
#include "load.h"

/* retry_after of a refused request */
#define NO_COPY_RETRY ((BkMs)1000) /* if no copy can be used */
#define MIN_RETRY ((BkMs)50)       /* if all copies are too busy */

enum {
    MAX_COPIES = 64 /* of an item that are considered for one request */
};

/* The copies of one item that a request can be sent to. */
typedef struct Candidates {
    int ups[MAX_COPIES];
    int count;
} Candidates;

static bool
was_tried(const BkRouteQuery *query, int up)
{
    for (int i = 0; i < query->tried_count; i++) {
        if (query->tried[i] == up) {
            return true;
        }
    }
    return false;
}

/* A class of copies. It is considered only if no class before it in the table
   has a copy that can be used. */
typedef struct Tier {
    bool current; /* is of the version in force */
    bool suspect; /* a contact with it failed after it was last observed */
} Tier;

static const Tier tiers[] = {
    {true, false}, {false, false}, {true, true}, {false, true}};

enum {
    TIER_COUNT = sizeof(tiers) / sizeof(tiers[0])
};

/* Collects the copies of one tier. In a list longer than MAX_COPIES it starts
   at a random copy, so that it does not always leave out the same ones. */
static void
collect_candidates(BkRoute *route, const BkView *view,
                   const BkRouteQuery *query, const CopyList *list,
                   const Tier *tier, BkMs now, Candidates *out)
{
    BkMs stale_after = route->conf.stale_after;
    int start = 0;

    out->count = 0;
    if (list->count > MAX_COPIES) {
        start = (int)BkRng_Below(&route->rng, (uint32_t)list->count);
    }
    for (int i = 0; i < list->count && out->count < MAX_COPIES; i++) {
        const ItemCopy *copy = &list->copies[(start + i) % list->count];
        bool available =
            tier->suspect ? BkView_IsSuspect(view, copy->up, now, stale_after)
                          : BkView_IsUsable(view, copy->up, now, stale_after);
        if (copy->current == tier->current && available &&
            !was_tried(query, copy->up)) {
            out->ups[out->count++] = copy->up;
        }
    }
}

/* The less loaded of two random copies. */
static int
choose_of_two(BkRoute *route, const BkView *view, const Candidates *c)
{
    if (c->count == 1) {
        return c->ups[0];
    }
    uint32_t a = BkRng_Below(&route->rng, (uint32_t)c->count);
    uint32_t b = BkRng_Below(&route->rng, (uint32_t)c->count - 1);
    b += b >= a;
    double load_difference =
        route_load_score(view, c->ups[a]) - route_load_score(view, c->ups[b]);
    return load_difference <= 0 ? c->ups[a] : c->ups[b];
}

static double
mean_load_score(const BkView *view, const Candidates *c)
{
    double sum = 0;

    for (int i = 0; i < c->count; i++) {
        sum += route_load_score(view, c->ups[i]);
    }
    return sum / c->count;
}

/* Rendezvous hashing among the copies whose load is not far above the mean: a
 * prefix whose first copy is too loaded always goes to the same second one. */
static int
choose_by_prefix(const BkRoute *route, const BkView *view, const Candidates *c,
                 uint64_t prefix)
{
    double max_ratio = 1 + route->conf.affinity_slack;
    double max_score = mean_load_score(view, c) * max_ratio;
    uint64_t best_weight = 0;
    int best = -1;

    for (int i = 0; i < c->count; i++) {
        int up = c->ups[i];
        uint32_t key = view->bundle->upstreams[up].name_hash;
        uint64_t prefix_weight = XXH64(&key, sizeof(key), prefix);
        double one_request = 1.0 / route_slot_count(view, up);
        if (route_load_score(view, up) <= max_score + one_request &&
            (best < 0 || prefix_weight > best_weight)) {
            best = up;
            best_weight = prefix_weight;
        }
    }
    return best;
}

static int
choose_corrected(BkRoute *route, const BkView *view, const Candidates *c,
                 const BkRouteQuery *query)
{
    if (query->prefix_hash != 0) {
        return choose_by_prefix(route, view, c, query->prefix_hash);
    }
    return choose_of_two(route, view, c);
}

static int
choose_least_reported(const BkView *view, const Candidates *c)
{
    int best = c->ups[0];
    int least = INT32_MAX;

    for (int i = 0; i < c->count; i++) {
        const BkUpView *up_view = &view->ups[c->ups[i]];
        if (up_view->running + up_view->waiting < least) {
            least = up_view->running + up_view->waiting;
            best = c->ups[i];
        }
    }
    return best;
}

static int
choose_by_policy(BkRoute *route, const BkView *view, const Candidates *c,
                 const BkRouteQuery *query)
{
    uint32_t count = (uint32_t)c->count;

    switch (route->conf.policy) {
    case BK_ROUTE_CORRECTED:
        return choose_corrected(route, view, c, query);
    case BK_ROUTE_RANDOM:
        return c->ups[BkRng_Below(&route->rng, count)];
    case BK_ROUTE_ROUND_ROBIN:
        return c->ups[route->next_turn++ % count];
    case BK_ROUTE_LEAST_REPORTED:
        return choose_least_reported(view, c);
    }
    return c->ups[0];
}

/* Sets choice to the copy with the shortest wait. */
static void
find_shortest_wait(const BkRoute *route, const BkView *view,
                   const Candidates *c, BkMs now, BkRouteChoice *choice)
{
    choice->conservative_wait = BK_MS_NEVER;
    for (int i = 0; i < c->count; i++) {
        BkMs wait = route_conservative_wait(route, view, c->ups[i], now);
        if (wait < choice->conservative_wait) {
            choice->conservative_wait = wait;
            choice->upstream = c->ups[i];
        }
    }
}

/* Admits the request to the chosen copy if it can meet its deadline there,
   else to the copy with the shortest wait. Refuses it if it can meet the
   deadline at no copy, unless all requests are to be admitted. */
static void
admit(BkRoute *route, const BkView *view, const Candidates *c,
      const BkRouteQuery *query, BkMs now, BkRouteChoice *choice)
{
    BkMs time_left = query->deadline - now - route->conf.first_byte_time;

    for (int i = 0; i < c->count; i++) {
        route_update_utilization(route, view, c->ups[i], now);
    }
    choice->status = BK_OK;
    choice->conservative_wait =
        route_conservative_wait(route, view, choice->upstream, now);
    if (route->conf.admit_all || choice->conservative_wait <= time_left) {
        return;
    }
    find_shortest_wait(route, view, c, now, choice);
    if (choice->conservative_wait <= time_left) {
        return;
    }
    BkMs excess = choice->conservative_wait - (time_left > 0 ? time_left : 0);
    choice->status = BkErr_Set(BK_EOVERLOAD, "expected wait of %lld ms",
                               (long long)choice->conservative_wait);
    choice->retry_after = excess > MIN_RETRY ? excess : MIN_RETRY;
}

BkRouteChoice
BkRoute_Choose(BkRoute *route, const BkView *view, const BkRouteQuery *query,
               BkMs now)
{
    BkRouteChoice choice = {.status = BK_ENOTREADY, .upstream = -1};
    const CopyList *list = route_find_copies(route, view, query->item);
    Candidates candidates = {.count = 0};

    for (int i = 0; i < TIER_COUNT && candidates.count == 0; i++) {
        collect_candidates(route, view, query, list, &tiers[i], now,
                           &candidates);
    }
    if (candidates.count == 0) {
        choice.retry_after = NO_COPY_RETRY;
        BkErr_Set(BK_ENOTREADY, "no ready copy of %s can be reached",
                  view->bundle->items[query->item].name);
        return choice;
    }
    choice.upstream = choose_by_policy(route, view, &candidates, query);
    admit(route, view, &candidates, query, now, &choice);
    if (choice.status == BK_OK) {
        route_update_send_rate(route, choice.upstream, now);
    }
    return choice;
}

void
BkRoute_NoteSent(BkView *view, int up)
{
    view->ups[up].own_running_delta++;
    view->ups[up].own_running++;
}

void
BkRoute_NoteFinished(BkView *view, int up)
{
    if (view->ups[up].own_running > 0) {
        view->ups[up].own_running--;
        view->ups[up].own_running_delta--;
    }
}

void
BkRetryBucket_CountRequest(BkRetryBucket *bucket)
{
    bucket->tokens =
        fmin(bucket->tokens + bucket->per_request, bucket->max_tokens);
}

bool
BkRetryBucket_TryRetry(BkRetryBucket *bucket)
{
    if (bucket->tokens < 1) {
        return false;
    }
    bucket->tokens -= 1;
    return true;
}
