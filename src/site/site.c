#include "bk/site/site.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

enum {
    MAX_HOST = 256 /* bytes; a longer name is no host of ours */
};

BkSite *
BkSite_Create(int routes, int services)
{
    BkSite *site = BkMem_New(1, sizeof(*site));

    site->routes = BkMem_New((size_t)routes + 1, sizeof(*site->routes));
    site->services = BkMem_New((size_t)services + 1, sizeof(*site->services));
    site->route_count = routes;
    site->service_count = services;
    return site;
}

static void
destroy_engine(BkSiteEngine *engine)
{
    if (engine == NULL) {
        return;
    }
    for (int i = 0; i < engine->model_count; i++) {
        free(engine->models[i].name);
    }
    free(engine->models);
    free(engine);
}

void
BkSite_Destroy(BkSite *site)
{
    if (site == NULL) {
        return;
    }
    for (int i = 0; i < site->route_count; i++) {
        BkSiteRoute *route = &site->routes[i];
        for (int k = 0; k < route->split_count; k++) {
            free(route->splits[k].service);
        }
        free(route->splits);
        free(route->name);
        free(route->host);
        free(route->prefix);
    }
    for (int i = 0; i < site->service_count; i++) {
        free(site->services[i].name);
        free(site->services[i].health_path);
        destroy_engine(site->services[i].engine);
    }
    free(site->routes);
    free(site->services);
    free(site);
}

static int
compare_route(const BkSiteRoute *route, BkStr host, BkStr prefix)
{
    int order = BkStr_Compare(BkStr_FromC(route->host), host);

    return order != 0 ? order
                      : BkStr_Compare(BkStr_FromC(route->prefix), prefix);
}

static int
sort_routes(const void *a, const void *b)
{
    const BkSiteRoute *right = b;

    return compare_route(a, BkStr_FromC(right->host),
                         BkStr_FromC(right->prefix));
}

static int
sort_services(const void *a, const void *b)
{
    const BkSiteService *left = a;
    const BkSiteService *right = b;

    return strcmp(left->name, right->name);
}

static int
sort_models(const void *a, const void *b)
{
    const BkSiteModel *left = a;
    const BkSiteModel *right = b;

    return strcmp(left->name, right->name);
}

void
BkSite_Seal(BkSite *site)
{
    qsort(site->routes, (size_t)site->route_count, sizeof(*site->routes),
          sort_routes);
    qsort(site->services, (size_t)site->service_count, sizeof(*site->services),
          sort_services);
    for (int i = 0; i < site->service_count; i++) {
        BkSiteEngine *engine = site->services[i].engine;
        if (engine != NULL) {
            qsort(engine->models, (size_t)engine->model_count,
                  sizeof(*engine->models), sort_models);
            for (int m = 0; m < engine->model_count; m++) {
                engine->models[m].key =
                    BkStr_Key(BkStr_FromC(engine->models[m].name));
            }
        }
    }
}

static const BkSiteRoute *
find_exact(const BkSite *site, BkStr host, BkStr prefix)
{
    int low = 0;
    int high = site->route_count;

    while (low < high) {
        int middle = (low + high) / 2;
        int order = compare_route(&site->routes[middle], host, prefix);
        if (order == 0) {
            return &site->routes[middle];
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

const BkSiteRoute *
BkSite_FindRoute(const BkSite *site, BkStr host, BkStr path)
{
    char lower[MAX_HOST];
    BkStr name = BkStr_Split(&host, ':');

    if (name.len > sizeof(lower)) {
        return NULL;
    }
    for (size_t i = 0; i < name.len; i++) {
        lower[i] = (char)tolower((unsigned char)name.ptr[i]);
    }
    name.ptr = lower;
    while (path.len > 0) {
        if (path.ptr[path.len - 1] == '/') {
            const BkSiteRoute *route = find_exact(site, name, path);
            if (route != NULL) {
                return route;
            }
        }
        path.len--;
    }
    return NULL;
}

static int
match_service(const void *name, const void *service)
{
    return strcmp(name, ((const BkSiteService *)service)->name);
}

const BkSiteService *
BkSite_FindService(const BkSite *site, const char *name)
{
    return bsearch(name, site->services, (size_t)site->service_count,
                   sizeof(*site->services), match_service);
}

static int
match_model(const void *name, const void *model)
{
    return BkStr_Compare(*(const BkStr *)name,
                         BkStr_FromC(((const BkSiteModel *)model)->name));
}

const BkSiteModel *
BkSite_FindModel(const BkSiteEngine *engine, BkStr name)
{
    name = BkStr_Split(&name, '/');
    return bsearch(&name, engine->models, (size_t)engine->model_count,
                   sizeof(*engine->models), match_model);
}

const BkSiteModel *
BkSite_FindModelKey(const BkSiteEngine *engine, uint32_t key)
{
    for (int i = 0; i < engine->model_count; i++) {
        if (engine->models[i].key == key) {
            return &engine->models[i];
        }
    }
    return NULL;
}

const char *
BkSite_PickService(const BkSiteRoute *route, double draw)
{
    double sum = 0;

    for (int i = 0; i < route->split_count; i++) {
        sum += route->splits[i].weight;
    }
    double at = draw * sum;
    for (int i = 0; i < route->split_count; i++) {
        at -= route->splits[i].weight;
        if (at < 0) {
            return route->splits[i].service;
        }
    }
    return route->splits[route->split_count - 1].service;
}
