/*
 * site - the configuration in force on the users' platform
 *
 * Which requests go to which service, what the operators want for them, and
 * which models the services' engines must be able to serve. Plain data; the
 * adapter builds one from the operators' text and nothing changes it later.
 */
#ifndef BK_SITE_SITE_H
#define BK_SITE_SITE_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/str.h"

typedef enum BkRouteKind {
    BK_ROUTE_SAFE,   /* may run more than once */
    BK_ROUTE_UNSAFE, /* at most once */
    BK_ROUTE_STREAM  /* events; at most once unless resumable */
} BkRouteKind;

/* A service's part of a route's requests. */
typedef struct BkSiteSplit {
    char *service;
    double weight;
} BkSiteSplit;

typedef struct BkSiteRoute {
    char *name;
    char *host;   /* lower case */
    char *prefix; /* of the path; begins and ends with a slash */
    BkRouteKind kind;
    BkMs timeout; /* a caller waits no longer for its whole answer */
    BkMs target;  /* answered, or first event, within it: full worth */
    BkMs gap;     /* longest pause between events for full worth; 0: none */
    int attempts; /* upstreams on which one request may run */
    int priority; /* 0 is the most urgent */
    bool sticky;  /* prompts share parts */
    bool resumable;
    BkSiteSplit *splits; /* one at least */
    int split_count;
} BkSiteRoute;

typedef struct BkSiteModel {
    char *name;
    uint32_t key; /* BkStr_Key of the name */
    double weights_mb;
    BkMs load_store;  /* time to load it from the weight store */
    BkMs load_memory; /* from the engine's own memory */
    BkMs load_disk;   /* from the engine's own disk */
    int adapters;     /* named a1, a2, ... */
    double adapter_mb;
} BkSiteModel;

/* The engines of a service; all are alike. */
typedef struct BkSiteEngine {
    int slots;
    int64_t kv_tokens; /* that fit in memory */
    int events_tokens; /* tokens in one event of a stream */
    double weights_mb; /* for models and adapters together */
    int adapter_slots;
    double loads_per_second; /* of the weight store, over all engines */
    double memory_mb; /* for weights kept at hand in memory, and on disk */
    double disk_mb;
    BkSiteModel *models; /* sorted by name */
    int model_count;
} BkSiteEngine;

typedef struct BkSiteService {
    char *name;
    char *health_path;
    int max_connections;  /* of one upstream, from all daemons together */
    BkSiteEngine *engine; /* NULL: a plain service */
} BkSiteService;

typedef struct BkSite {
    uint64_t version;
    BkSiteRoute *routes; /* sorted by host, then prefix */
    int route_count;
    BkSiteService *services; /* sorted by name */
    int service_count;
    size_t max_header; /* bytes of a request's head */
    size_t max_body;
    BkMs header_timeout;
    BkMs idle_timeout;
} BkSite;

/* An empty site with room for so many routes and services. */
BkSite *BkSite_Create(int routes, int services);
void BkSite_Destroy(BkSite *site);

/* Sorts what was filled in; call once before any look-up. */
void BkSite_Seal(BkSite *site);

/* The route with the longest prefix of path for this host (any case, a port
 * is left out); NULL if none. path is without the query. */
const BkSiteRoute *BkSite_FindRoute(const BkSite *site, BkStr host,
                                    BkStr path);

const BkSiteService *BkSite_FindService(const BkSite *site, const char *name);

/* NULL if the engine has no such model; an adapter's part is left out. */
const BkSiteModel *BkSite_FindModel(const BkSiteEngine *engine, BkStr name);

/* The same by BkStr_Key of the name. */
const BkSiteModel *BkSite_FindModelKey(const BkSiteEngine *engine,
                                       uint32_t key);

/* Picks one of the route's services; draw is uniform in [0, 1). */
const char *BkSite_PickService(const BkSiteRoute *route, double draw);

#endif
