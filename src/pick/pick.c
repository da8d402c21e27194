#include "bk/pick/pick.h"

#include <string.h>
#include <xxhash.h>

/* Whether the engine can use the requested adapter now or after a load.
   Listed from worst to best: the higher value wins. */
typedef enum AdapterState {
    ADAPTER_ENGINE_BUSY, /* executes another order: cannot load it */
    ADAPTER_LOADABLE,    /* not loaded, but can be loaded now */
    ADAPTER_LOADED       /* or the request asks for no adapter */
} AdapterState;

typedef struct Candidate {
    BkUp *up;
    int64_t cost; /* in tokens */
    /* 0 normal, 1 failed lately, 2 its report is missing; the lower value
       wins */
    int penalty;
    AdapterState adapter;
} Candidate;

/* Which conditions at least one upstream meets; each includes the one before.
   They tell why no upstream was chosen for a request. */
typedef struct Matches {
    bool open;       /* the service has an upstream that takes requests */
    bool with_model; /* at least one of them holds the model */
    bool untried;    /* at least one of those was not tried yet */
    /* of the software versions that are left out: one takes requests, and one
       of these holds the model */
    bool other_open;
    bool other_with_model;
} Matches;

int64_t
BkPick_Backlog(const BkPickConf *conf, const BkUp *up)
{
    return up->own_prompt_tokens + up->peer_prompt_tokens +
           conf->tokens_per_run * (up->own_running + up->peer_running);
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
penalty_of(const BkUp *up, BkMs now)
{
    if (up->state == BK_UP_MISSING) {
        return 2;
    }
    return now < up->avoid_until ? 1 : 0;
}

bool
BkPick_IsEngineFull(const BkPickConf *conf, const BkUp *up,
                    int64_t prompt_tokens)
{
    int64_t unprocessed = up->own_prompt_tokens + up->peer_prompt_tokens;

    return up->own_running + up->peer_running >= up->slots ||
           (unprocessed > 0 &&
            unprocessed + prompt_tokens > conf->prefill_window);
}

bool
BkPick_IsServiceFull(const BkPickConf *conf, const BkUp *up)
{
    int running = up->own_running + up->peer_running;

    return running >= (int)(conf->max_load_ratio * up->slots + 0.5);
}

static bool
is_full(const BkPickConf *conf, const BkPickQuery *query, const BkUp *up,
        BkMs now)
{
    if (now < up->throttled_until || now < up->full_until) {
        return true;
    }
    return query->engine == NULL
               ? BkPick_IsServiceFull(conf, up)
               : BkPick_IsEngineFull(conf, up, query->prompt_tokens);
}

/* Rendezvous hashing: daemons that see the same upstreams choose the same
   engine for a shared prompt prefix without communicating. */
static uint64_t
affinity_weight(const BkPickQuery *query, const BkUp *up)
{
    return XXH64(&up->key, sizeof(up->key), query->prefix_hash);
}

static int64_t
cost_of(const BkPickConf *conf, const BkPickQuery *query, const BkUp *up)
{
    int64_t cost = BkPick_Backlog(conf, up);

    /* a plain service: only running requests count */
    if (query->engine == NULL) {
        cost = (int64_t)(up->own_running + up->peer_running) *
               conf->tokens_per_run;
    }
    if (strcmp(up->domain, query->domain) != 0) {
        cost += conf->cross_domain_cost;
    }
    return cost;
}

static bool
is_eligible(const BkPickQuery *query, const BkUp *up, Matches *matches)
{
    if (up->service_key != query->service || !BkUp_IsOpen(up)) {
        return false;
    }
    bool with_model = query->model == 0 || BkUp_HasModel(up, query->model);
    if (query->software != 0 && up->software_key != query->software) {
        matches->other_open = true;
        matches->other_with_model = matches->other_with_model || with_model;
        return false;
    }
    matches->open = true;
    if (!with_model) {
        return false;
    }
    matches->with_model = true;
    if (was_tried(query, up)) {
        return false;
    }
    matches->untried = true;
    return true;
}

/* Why there is no upstream to choose. */
static BkPickResult
find_reason(const Matches *matches)
{
    if (!matches->open) {
        return matches->other_open ? BK_PICK_OTHER_VERSION
                                   : BK_PICK_NO_UPSTREAM;
    }
    if (!matches->with_model) {
        return matches->other_with_model ? BK_PICK_OTHER_VERSION
                                         : BK_PICK_NO_MODEL;
    }
    return matches->untried ? BK_PICK_FULL : BK_PICK_ALL_TRIED;
}

static AdapterState
adapter_state(const BkPickQuery *query, const BkUp *up, BkMs now)
{
    if (query->adapter == 0 ||
        BkUp_OffersAdapter(up, query->model, query->adapter, now)) {
        return ADAPTER_LOADED;
    }
    return now < up->no_order_until ? ADAPTER_ENGINE_BUSY : ADAPTER_LOADABLE;
}

static bool
is_better(const Candidate *best, int penalty, AdapterState adapter,
          int64_t cost)
{
    if (best->up == NULL || penalty != best->penalty) {
        return best->up == NULL || penalty < best->penalty;
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
    Candidate best = {0};
    Candidate preferred = {0}; /* highest affinity for the prompt prefix */
    uint64_t preferred_weight = 0;
    Matches matches = {0};
    BkMs loadable_at = INT64_MAX;
    BkMs open_at = INT64_MAX;
    bool all_held = true;

    for (int i = 0; i < fleet->count; i++) {
        BkUp *up = fleet->ups[i];
        if (!is_eligible(query, up, &matches)) {
            continue;
        }
        AdapterState adapter = adapter_state(query, up, now);
        /* also of engines that are full, which have room again soon */
        BkMs possible_at =
            adapter == ADAPTER_ENGINE_BUSY ? up->no_order_until : 0;
        loadable_at = possible_at < loadable_at ? possible_at : loadable_at;
        if (now < up->throttle.held_until) {
            open_at = up->throttle.held_until < open_at
                          ? up->throttle.held_until
                          : open_at;
            continue;
        }
        all_held = false;
        if (is_full(conf, query, up, now)) {
            continue;
        }
        int penalty = penalty_of(up, now);
        int64_t cost = cost_of(conf, query, up);
        if (is_better(&best, penalty, adapter, cost)) {
            best = (Candidate){up, cost, penalty, adapter};
        }
        uint64_t weight =
            query->prefix_hash == 0 ? 0 : affinity_weight(query, up);
        if (weight > preferred_weight) {
            preferred_weight = weight;
            preferred = (Candidate){up, cost, penalty, adapter};
        }
    }
    if (best.up == NULL) {
        BkPickResult reason = find_reason(&matches);
        return (BkPickChoice){
            .result = reason,
            .open_at = reason == BK_PICK_FULL && all_held ? open_at : 0};
    }
    if (preferred.up != NULL && preferred.penalty == best.penalty &&
        preferred.adapter == best.adapter &&
        preferred.cost <= best.cost + conf->affinity_slack) {
        best = preferred;
    }
    return (BkPickChoice){.result = best.adapter == ADAPTER_LOADED
                                        ? BK_PICK_SEND
                                        : BK_PICK_LOAD_ADAPTER,
                          .up = best.up,
                          .loadable_at = loadable_at};
}
