/*
 * pick - chooses the upstream for a request, or decides that it must wait;
 * used by bk-front (bk/route/route.h is the counterpart for bk-entry)
 *
 * Pure. An engine alternates between prefill of prompts and decoding tokens
 * of running requests, so prompts that wait for prefill there delay both the
 * first token of the next request and the next token of every running one.
 * A request goes to the engine with the smallest backlog. No request goes to
 * an engine whose unprocessed prompts fill its window: the request waits in
 * the daemon's queue, where the order can still be changed. Requests whose
 * prompts share a prefix go to the same engine while its backlog is not much
 * larger than that of the others, since an engine does not process a cached
 * prefix again.
 */
#ifndef BK_PICK_PICK_H
#define BK_PICK_PICK_H

#include "bk/fleet/fleet.h"
#include "bk/site/site.h"

typedef struct BkPickConf {
    /* most unprocessed prompt tokens on one engine */
    int64_t prefill_window;
    /* prompt tokens that one running request counts as */
    int64_t tokens_per_run;
    /* extra backlog, in tokens, that is accepted to reach the engine of a
       shared prompt prefix */
    int64_t affinity_slack;
    /* tokens added for an upstream in another failure domain */
    int64_t cross_domain_cost;
    /* plain service: an upstream with this many running requests for each of
       its slots is full */
    double max_load_ratio;
} BkPickConf;

typedef struct BkPickQuery {
    /* what the engines of the service have in common; only whether it is NULL
       matters here. NULL: a plain service, whose upstreams run no models */
    const BkSiteEngine *engine;
    uint32_t service; /* key of its name, see BkStr_NameHash */
    uint32_t model;   /* key of its name; 0: any */
    uint32_t adapter; /* key of its name; 0: none */
    /* key of the only software version that may serve it; 0: any */
    uint32_t software;
    int64_t prompt_tokens; /* length in tokens */
    /* hash of all parts of the prompt but the last; 0: no affinity */
    uint64_t prefix_hash;
    const char *domain;    /* failure domain of this daemon */
    const uint32_t *tried; /* keys of upstreams to leave out */
    int tried_count;
} BkPickQuery;

typedef enum BkPickResult {
    BK_PICK_SEND,
    BK_PICK_LOAD_ADAPTER, /* the chosen engine must load the adapter first */
    BK_PICK_FULL,      /* every untried upstream that can serve it is full */
    BK_PICK_ALL_TRIED, /* every upstream that can serve it was tried */
    /* only upstreams of other software versions could serve it */
    BK_PICK_OTHER_VERSION,
    BK_PICK_NO_MODEL,   /* no usable upstream of the service has the model */
    BK_PICK_NO_UPSTREAM /* no upstream of the service is usable */
} BkPickResult;

typedef struct BkPickChoice {
    BkPickResult result;
    BkUp *up; /* NULL if no upstream was chosen */
    /* BK_PICK_LOAD_ADAPTER: when the first engine that holds the model, also
       if it is full now, can load the adapter; until then all of them carry
       out other orders; 0: one can now, or has loaded it */
    BkMs loadable_at;
    /* BK_PICK_FULL: when the first upstream that can serve it takes requests
       again, if all of them asked for a pause; 0: not all did */
    BkMs open_at;
} BkPickChoice;

BkPickChoice BkPick_Choose(const BkPickConf *conf, const BkFleet *fleet,
                           const BkPickQuery *query, BkMs now);

/* Whether all slots of the engine are taken, or a prompt of this many tokens
 * would overfill the window. A single prompt may be larger than the window:
 * an engine without unprocessed prompts accepts any. */
bool BkPick_IsEngineFull(const BkPickConf *conf, const BkUp *up,
                         int64_t prompt_tokens);

/* Whether an upstream of a plain service has max_load_ratio running requests
 * for each of its slots. */
bool BkPick_IsServiceFull(const BkPickConf *conf, const BkUp *up);

/* The work queued before the first token of a new request on this upstream,
 * in tokens: unprocessed prompts and the cost of running requests. */
int64_t BkPick_Backlog(const BkPickConf *conf, const BkUp *up);

#endif
