#include "bk/pick/pick.h"

#include <string.h>
#include <xxhash.h>

/* How near the adapter that is asked for is; a nearer one wins. */
typedef enum Adapter {
    ADAPTER_LATER, /* another order is under way there */
    ADAPTER_SOON,  /* it can be brought */
    ADAPTER_HELD   /* or none is asked for */
} Adapter;

typedef struct Best {
    BkUp *up;
    int64_t cost;
    int rank; /* 0 usual, 1 avoided, 2 lapsed: a lower one always wins */
    Adapter adapter;
} Best;

typedef struct Tally {
    bool any;     /* an open upstream of the service */
    bool held;    /* one of them with the model */
    bool untried; /* one of these that was not tried */
} Tally;

int64_t
BkPick_Backlog(const BkPickConf *conf, const BkUp *up)
{
    return up->own_prompt + up->others_prompt +
           conf->per_run * (up->own_running + up->others_running);
}

static bool
was_tried(const BkPickQuery *query, const BkUp *up)
{
    for (int i = 0; i < query->tried_count; i++) {
        if (query->tried[i] == up->key) {
            return true;
        }
    }
    return false;
}

static int
rank_of(const BkUp *up, BkMs now)
{
    if (up->standing == BK_UP_MISSING) {
        return 2;
    }
    return now < up->avoid_until ? 1 : 0;
}

bool
BkPick_IsEngineFull(const BkPickConf *conf, const BkUp *up, int64_t prompt)
{
    int64_t unread = up->own_prompt + up->others_prompt;

    return up->own_running + up->others_running >= up->slots ||
           (unread > 0 && unread + prompt > conf->window);
}

static bool
is_full(const BkPickConf *conf, const BkPickQuery *query, const BkUp *up,
        BkMs now)
{
    int running = up->own_running + up->others_running;

    if (query->engine == NULL) {
        return running >= (int)(conf->full * up->slots + 0.5);
    }
    return now < up->full_until ||
           BkPick_IsEngineFull(conf, up, query->prompt);
}

/* Rendezvous hashing: daemons that hold the same view agree on the engine of
   a shared part without talking. */
static uint64_t
weigh_shared(const BkPickQuery *query, const BkUp *up)
{
    return XXH64(&up->key, sizeof(up->key), query->shared);
}

static int64_t
cost_of(const BkPickConf *conf, const BkPickQuery *query, const BkUp *up)
{
    int64_t cost = BkPick_Backlog(conf, up);

    if (query->engine == NULL) {
        cost = (int64_t)(up->own_running + up->others_running) * conf->per_run;
    }
    if (strcmp(up->domain, query->domain) != 0) {
        cost += conf->far;
    }
    return cost;
}

static bool
could_serve(const BkPickQuery *query, const BkUp *up, Tally *tally)
{
    if (up->service_key != query->service || !BkUp_IsOpen(up)) {
        return false;
    }
    tally->any = true;
    if (query->model != 0 && !BkUp_HoldsModel(up, query->model)) {
        return false;
    }
    tally->held = true;
    if (was_tried(query, up)) {
        return false;
    }
    tally->untried = true;
    return true;
}

static Adapter
adapter_at(const BkPickQuery *query, const BkUp *up, BkMs now)
{
    if (query->adapter == 0 ||
        BkUp_HoldsAdapter(up, query->model, query->adapter)) {
        return ADAPTER_HELD;
    }
    return now < up->ordered_until ? ADAPTER_LATER : ADAPTER_SOON;
}

static bool
is_better(const Best *best, int rank, Adapter adapter, int64_t cost)
{
    if (best->up == NULL || rank != best->rank) {
        return best->up == NULL || rank < best->rank;
    }
    if (adapter != best->adapter) {
        return adapter > best->adapter;
    }
    return cost < best->cost;
}

BkPickChoice
BkPick_Choose(const BkPickConf *conf, const BkFleet *fleet,
              const BkPickQuery *query, BkMs now)
{
    Best best = {0};
    Best home = {0}; /* the engine that the shared part belongs to */
    uint64_t home_weight = 0;
    Tally tally = {0};

    for (int i = 0; i < fleet->count; i++) {
        BkUp *up = fleet->ups[i];
        if (!could_serve(query, up, &tally) || is_full(conf, query, up, now)) {
            continue;
        }
        int rank = rank_of(up, now);
        Adapter adapter = adapter_at(query, up, now);
        int64_t cost = cost_of(conf, query, up);
        if (is_better(&best, rank, adapter, cost)) {
            best = (Best){up, cost, rank, adapter};
        }
        uint64_t weight = query->shared == 0 ? 0 : weigh_shared(query, up);
        if (weight > home_weight) {
            home_weight = weight;
            home = (Best){up, cost, rank, adapter};
        }
    }
    if (best.up == NULL) {
        BkPickVerdict none = !tally.any       ? BK_PICK_NOBODY
                             : !tally.held    ? BK_PICK_NOT_HELD
                             : !tally.untried ? BK_PICK_ALL_TRIED
                                              : BK_PICK_FULL;
        return (BkPickChoice){none, NULL};
    }
    if (home.up != NULL && home.rank == best.rank &&
        home.adapter == best.adapter &&
        home.cost <= best.cost + conf->affinity) {
        best = home;
    }
    return (BkPickChoice){best.adapter == ADAPTER_HELD ? BK_PICK_SEND
                                                       : BK_PICK_ADAPTER,
                          best.up};
}
