#include "bk/route/route.h"

#include <math.h>
#include <xxhash.h>

#include "index.h"
#include "load.h"

#define NO_COPY_RETRY ((BkMs)1000) /* when no copy can be used */
#define LEAST_RETRY ((BkMs)50)

enum {
    MAX_COPIES = 64 /* of an item that are looked at for one request */
};

/* the usable copies of one item */
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

/* in the order in which copies are taken into account */
typedef struct Tier {
    bool wanted;  /* the version that the bundle wants */
    bool suspect; /* a contact failed since it was seen */
} Tier;

static const Tier tiers[] = {
    {true, false}, {false, false}, {true, true}, {false, true}};

enum {
    TIERS = sizeof(tiers) / sizeof(tiers[0])
};

/* starts at a random copy, so that a long list is not cut at one end */
static void
collect(BkRoute *route, const BkView *view, const BkRouteQuery *query,
        const IndexList *list, const Tier *tier, BkMs now, Candidates *out)
{
    BkMs stale = route->conf.stale_after;
    int start = 0;

    out->count = 0;
    if (list->count > MAX_COPIES) {
        start = (int)BkRng_Below(&route->rng, (uint32_t)list->count);
    }
    for (int i = 0; i < list->count && out->count < MAX_COPIES; i++) {
        const IndexCopy *copy = &list->copies[(start + i) % list->count];
        bool fits = tier->suspect ? BkView_Suspect(view, copy->up, now, stale)
                                  : BkView_Usable(view, copy->up, now, stale);
        if (copy->wanted == tier->wanted && fits &&
            !was_tried(query, copy->up)) {
            out->ups[out->count++] = copy->up;
        }
    }
}

static int
choose_two(BkRoute *route, const BkView *view, const Candidates *c)
{
    if (c->count == 1) {
        return c->ups[0];
    }
    uint32_t a = BkRng_Below(&route->rng, (uint32_t)c->count);
    uint32_t b = BkRng_Below(&route->rng, (uint32_t)c->count - 1);
    b += b >= a;
    double fuller =
        route_fullness(view, c->ups[a]) - route_fullness(view, c->ups[b]);
    return fuller <= 0 ? c->ups[a] : c->ups[b];
}

static double
mean_fullness(const BkView *view, const Candidates *c)
{
    double sum = 0;

    for (int i = 0; i < c->count; i++) {
        sum += route_fullness(view, c->ups[i]);
    }
    return sum / c->count;
}

/* rendezvous hashing among those that are not much fuller than the mean, so
 * that a prefix which must move goes to the same copy each time */
static int
choose_prefix(const BkRoute *route, const BkView *view, const Candidates *c,
              uint64_t prefix)
{
    double slack = 1 + route->conf.affinity_slack;
    double bound = mean_fullness(view, c) * slack;
    uint64_t best_score = 0;
    int best = -1;

    for (int i = 0; i < c->count; i++) {
        int up = c->ups[i];
        uint32_t key = view->bundle->upstreams[up].key;
        uint64_t score = XXH64(&key, sizeof(key), prefix);
        double one_more = 1.0 / route_slots(view, up);
        if (route_fullness(view, up) <= bound + one_more &&
            (best < 0 || score > best_score)) {
            best = up;
            best_score = score;
        }
    }
    return best;
}

static int
choose_corrected(BkRoute *route, const BkView *view, const Candidates *c,
                 const BkRouteQuery *query)
{
    if (query->prefix_hash != 0) {
        return choose_prefix(route, view, c, query->prefix_hash);
    }
    return choose_two(route, view, c);
}

static int
choose_least_reported(const BkView *view, const Candidates *c)
{
    int best = c->ups[0];
    int least = INT32_MAX;

    for (int i = 0; i < c->count; i++) {
        const BkUpView *seen = &view->ups[c->ups[i]];
        if (seen->running + seen->waiting < least) {
            least = seen->running + seen->waiting;
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
        return c->ups[route->turn++ % count];
    case BK_ROUTE_LEAST_REPORTED:
        return choose_least_reported(view, c);
    }
    return c->ups[0];
}

/* the copy with the shortest wait, into choice */
static void
find_shortest_wait(const BkRoute *route, const BkView *view,
                   const Candidates *c, BkMs now, BkRouteChoice *choice)
{
    choice->expected_wait = BK_MS_NEVER;
    for (int i = 0; i < c->count; i++) {
        BkMs wait = route_safe_wait(route, view, c->ups[i], now);
        if (wait < choice->expected_wait) {
            choice->expected_wait = wait;
            choice->upstream = c->ups[i];
        }
    }
}

/* refuses what cannot be on time at any copy */
static void
admit(BkRoute *route, const BkView *view, const Candidates *c,
      const BkRouteQuery *query, BkMs now, BkRouteChoice *choice)
{
    BkMs left = query->deadline - now - route->conf.first_byte;

    for (int i = 0; i < c->count; i++) {
        route_note_use(route, view, c->ups[i], now);
    }
    choice->status = BK_OK;
    choice->expected_wait =
        route_safe_wait(route, view, choice->upstream, now);
    if (route->conf.admit_all || choice->expected_wait <= left) {
        return;
    }
    find_shortest_wait(route, view, c, now, choice);
    if (choice->expected_wait <= left) {
        return;
    }
    BkMs over = choice->expected_wait - (left > 0 ? left : 0);
    choice->status = BkErr_Set(BK_EOVERLOAD, "expected wait of %lld ms",
                               (long long)choice->expected_wait);
    choice->retry_after = over > LEAST_RETRY ? over : LEAST_RETRY;
}

BkRouteChoice
BkRoute_Choose(BkRoute *route, const BkView *view, const BkRouteQuery *query,
               BkMs now)
{
    BkRouteChoice choice = {.status = BK_ENOTREADY, .upstream = -1};
    const IndexList *list = route_copies(route, view, query->item);
    Candidates candidates = {.count = 0};

    for (int i = 0; i < TIERS && candidates.count == 0; i++) {
        collect(route, view, query, list, &tiers[i], now, &candidates);
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
        route_note_send(route, choice.upstream, now);
    }
    return choice;
}

void
BkRoute_Sent(BkView *view, int up)
{
    view->ups[up].sent_since++;
    view->ups[up].own_running++;
}

void
BkRoute_Finished(BkView *view, int up)
{
    if (view->ups[up].own_running > 0) {
        view->ups[up].own_running--;
        view->ups[up].sent_since--;
    }
}

void
BkRetryBudget_Earn(BkRetryBudget *budget)
{
    budget->tokens = fmin(budget->tokens + budget->per_request, budget->most);
}

bool
BkRetryBudget_Spend(BkRetryBudget *budget)
{
    if (budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}
