/*
 * site - the active configuration of the users' platform
 *
 * Defines which requests are routed to which service, their limits and latency
 * targets, and the models that the services' engines can load. Plain data: the
 * platform adapter builds it from the operators' text, and it is not modified
 * after that.
 */
#ifndef BK_SITE_SITE_H
#define BK_SITE_SITE_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/str.h"

typedef enum BkRouteKind {
    BK_ROUTE_SAFE,   /* idempotent: may run more than once */
    BK_ROUTE_UNSAFE, /* not idempotent: runs at most once */
    BK_ROUTE_STREAM  /* streams events; runs at most once unless resumable */
} BkRouteKind;

/* A service's share of a route's requests, in proportion to the weights. */
typedef struct BkSiteSplit {
    char *service;
    double weight;
} BkSiteSplit;

typedef struct BkSiteRoute {
    char *name;
    char *host;   /* lower case */
    char *prefix; /* of the path; starts and ends with a slash */
    BkRouteKind kind;
    BkMs timeout; /* limit for the whole response; 0: none */
    /* within which the response, or the first event of a stream, is on time */
    BkMs latency_target;
    /* longest pause between two events that still counts as on time; 0: no
       limit */
    BkMs max_gap;
    int max_attempts; /* limit of upstreams on which one request may run */
    int priority;     /* 0 is the most urgent */
    /* prompts begin with common parts: the upstream is chosen by all parts of
       the prompt but the last */
    bool sticky;
    bool resumable;      /* another upstream may resume a broken stream */
    BkSiteSplit *splits; /* at least one */
    int split_count;
} BkSiteRoute;

typedef struct BkSiteModel {
    char *name;
    uint32_t key; /* BkStr_NameHash of the name */
    double weights_mb;
    BkMs weight_store_load_time; /* load time from the weight store */
    BkMs memory_load_time;       /* load time from the engine's host memory */
    BkMs disk_load_time;         /* load time from the engine's local disk */
    int adapter_count; /* number of adapters; they are named a1, a2, ... */
    double adapter_mb;
} BkSiteModel;

/* Properties of the engines of a service; all have the same. */
typedef struct BkSiteEngine {
    int slots;            /* requests that one engine runs at the same time */
    int64_t kv_tokens;    /* tokens that fit in the KV cache */
    int tokens_per_event; /* tokens in one event of a stream */
    double weights_budget_mb; /* accelerator memory for models and adapters */
    int adapter_slots;
    /* limit of the weight store, over all engines */
    double store_loads_per_second;
    double cache_memory_mb; /* host memory for cached weights */
    double cache_disk_mb;   /* local disk for cached weights */
    BkSiteModel *models;    /* sorted by name */
    int model_count;
} BkSiteEngine;

typedef struct BkSiteService {
    char *name;
    char *health_path;
    int max_connections;  /* to one upstream, from all daemons together */
    BkSiteEngine *engine; /* NULL: the service runs no models */
} BkSiteService;

typedef struct BkSite {
    uint64_t version;
    BkSiteRoute *routes; /* sorted by host, then prefix */
    int route_count;
    BkSiteService *services; /* sorted by name */
    int service_count;
    size_t max_header; /* bytes of a request's header section */
    size_t max_body;   /* bytes */
    BkMs header_timeout;
    BkMs idle_timeout;
} BkSite;

/* Creates a site with the given numbers of routes and services, all zeroed. */
BkSite *BkSite_Create(int routes, int services);
void BkSite_Destroy(BkSite *site);

/* Sorts the routes, services and models and sets the models' keys. Call once,
 * after filling them in and before any lookup. */
void BkSite_BuildIndex(BkSite *site);

/* Returns the route of the host with the longest prefix of path; NULL if none.
 * The host's case and port are ignored; path has no query. */
const BkSiteRoute *BkSite_FindRoute(const BkSite *site, BkStr host,
                                    BkStr path);

/* NULL if there is no such service. */
const BkSiteService *BkSite_FindService(const BkSite *site, const char *name);

/* Finds a model by its name; a "/ADAPTER" after the name is ignored. NULL if
 * the engine has no such model. */
const BkSiteModel *BkSite_FindModel(const BkSiteEngine *engine, BkStr name);

/* Finds a model by BkStr_NameHash of its name; NULL if none. */
const BkSiteModel *BkSite_FindModelByKey(const BkSiteEngine *engine,
                                         uint32_t key);

/* Picks one of the route's services at random, in proportion to their weights;
 * draw is a random number, uniform in [0, 1). */
const char *BkSite_PickService(const BkSiteRoute *route, double draw);

#endif
