#include "bk/site/site.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

enum {
    MAX_HOST = 256 /* bytes; no route has a longer host name */
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
compare_route_key(const BkSiteRoute *route, BkStr host, BkStr prefix)
{
    int cmp = BkStr_Compare(BkStr_FromC(route->host), host);

    return cmp != 0 ? cmp : BkStr_Compare(BkStr_FromC(route->prefix), prefix);
}

static int
compare_routes(const void *a, const void *b)
{
    const BkSiteRoute *right = b;

    return compare_route_key(a, BkStr_FromC(right->host),
                             BkStr_FromC(right->prefix));
}

static int
compare_services(const void *a, const void *b)
{
    const BkSiteService *left = a;
    const BkSiteService *right = b;

    return strcmp(left->name, right->name);
}

static int
compare_models(const void *a, const void *b)
{
    const BkSiteModel *left = a;
    const BkSiteModel *right = b;

    return strcmp(left->name, right->name);
}

void
BkSite_BuildIndex(BkSite *site)
{
    qsort(site->routes, (size_t)site->route_count, sizeof(*site->routes),
          compare_routes);
    qsort(site->services, (size_t)site->service_count, sizeof(*site->services),
          compare_services);
    for (int i = 0; i < site->service_count; i++) {
        BkSiteEngine *engine = site->services[i].engine;
        if (engine != NULL) {
            qsort(engine->models, (size_t)engine->model_count,
                  sizeof(*engine->models), compare_models);
            for (int m = 0; m < engine->model_count; m++) {
                engine->models[m].key =
                    BkStr_NameHash(BkStr_FromC(engine->models[m].name));
            }
        }
    }
}

static const BkSiteRoute *
find_exact_route(const BkSite *site, BkStr host, BkStr prefix)
{
    int low = 0;
    int high = site->route_count;

    while (low < high) {
        int mid = (low + high) / 2;
        int cmp = compare_route_key(&site->routes[mid], host, prefix);
        if (cmp == 0) {
            return &site->routes[mid];
        }
        if (cmp < 0) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return NULL;
}

const BkSiteRoute *
BkSite_FindRoute(const BkSite *site, BkStr host, BkStr path)
{
    char lower_case[MAX_HOST];
    BkStr name = BkStr_Split(&host, ':');

    if (name.len > sizeof(lower_case)) {
        return NULL;
    }
    for (size_t i = 0; i < name.len; i++) {
        lower_case[i] = (char)tolower((unsigned char)name.ptr[i]);
    }
    name.ptr = lower_case;
    while (path.len > 0) {
        if (path.ptr[path.len - 1] == '/') {
            const BkSiteRoute *route = find_exact_route(site, name, path);
            if (route != NULL) {
                return route;
            }
        }
        path.len--;
    }
    return NULL;
}

static int
compare_service_name(const void *name, const void *service)
{
    return strcmp(name, ((const BkSiteService *)service)->name);
}

const BkSiteService *
BkSite_FindService(const BkSite *site, const char *name)
{
    return bsearch(name, site->services, (size_t)site->service_count,
                   sizeof(*site->services), compare_service_name);
}

static int
compare_model_name(const void *name, const void *model)
{
    return BkStr_Compare(*(const BkStr *)name,
                         BkStr_FromC(((const BkSiteModel *)model)->name));
}

const BkSiteModel *
BkSite_FindModel(const BkSiteEngine *engine, BkStr name)
{
    name = BkStr_Split(&name, '/');
    return bsearch(&name, engine->models, (size_t)engine->model_count,
                   sizeof(*engine->models), compare_model_name);
}

const BkSiteModel *
BkSite_FindModelByKey(const BkSiteEngine *engine, uint32_t key)
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
    double total_weight = 0;

    for (int i = 0; i < route->split_count; i++) {
        total_weight += route->splits[i].weight;
    }
    double remaining = draw * total_weight;
    for (int i = 0; i < route->split_count; i++) {
        remaining -= route->splits[i].weight;
        if (remaining < 0) {
            return route->splits[i].service;
        }
    }
    return route->splits[route->split_count - 1].service;
}
