/*
 * What one decision costs as the numbers of upstreams and items grow. Prints
 * times, so its lines differ from run to run; not part of make bench.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "bk/place/place.h"
#include "bk/route/route.h"

enum {
    COPIES = 2,
    PLACE_ROUNDS = 20,
    ROUTE_ROUNDS = 100000,
    MAX_MOVES = 16
};

typedef struct Site {
    int size; /* upstreams, and items */
    BkBundle *bundle;
    BkView *view;
    BkLedger **ledgers;
    BkDemand *demand;
    bool *drained;
} Site;

static BkBundle *
make_bundle(int size)
{
    BkBuf text = BkBuf_Make(0);
    BkStatus status;

    BkBuf_Printf(&text, "[bundle]\nname = cost\n");
    for (int i = 0; i < size; i++) {
        BkBuf_Printf(&text,
                     "[upstream e%03d]\nkind = engine\naddr = 10.0.%d.%d:1\n"
                     "domain = d%d\nmemory = 80GiB\nslots = 16\n"
                     "fencing = checked\n",
                     i, i / 250, i % 250, i % 11);
        BkBuf_Printf(&text,
                     "[model m%03d]\nversion = 1\nbytes = 14GiB\n"
                     "copies = %d\n",
                     i, COPIES);
    }
    BkBundle *bundle = BkBundle_Parse("cost", BkBuf_Str(&text), &status);
    BkBuf_Destroy(&text);
    return bundle;
}

/* copies of item i on upstreams i and i + 1, all ready */
static void
observe(Site *site, int up)
{
    BkBuf json = BkBuf_Make(0);

    BkBuf_Printf(&json, "{\"boot\":1,\"running\":8,\"instances\":[");
    for (int i = 0; i < COPIES; i++) {
        int item = (up + site->size - i) % site->size;
        BkBuf_Printf(&json,
                     "%s{\"instance\":\"e%03d.%d\",\"model\":\"m%03d\","
                     "\"version\":\"1\",\"bytes\":15032385536,"
                     "\"state\":\"ready\"}",
                     i > 0 ? "," : "", up, i + 1, item);
    }
    BkBuf_Printf(&json, "]}");
    BkView_ApplyState(site->view, up, BkBuf_Str(&json), 1);
    BkLedger_ApplyState(site->ledgers[up], &site->view->ups[up]);
    BkBuf_Destroy(&json);
}

static Site
make_site(int size, int hot)
{
    Site site = {.size = size, .bundle = make_bundle(size)};
    size_t n = (size_t)size;

    site.view = BkView_Create(site.bundle, NULL);
    site.ledgers = BkMem_New(n, sizeof(BkLedger *));
    site.demand = BkMem_New(n, sizeof(BkDemand));
    site.drained = BkMem_New(n, sizeof(bool));
    for (int i = 0; i < size; i++) {
        site.ledgers[i] = BkLedger_Create(&site.bundle->upstreams[i]);
        /* some items want more than their copies give */
        double rate = i % 10 < hot ? 30 : 5;
        site.demand[i] =
            (BkDemand){.rate = rate, .fast_rate = rate, .slot_seconds = 1};
        observe(&site, i);
    }
    return site;
}

static void
free_site(Site *site)
{
    for (int i = 0; i < site->size; i++) {
        BkLedger_Destroy(site->ledgers[i]);
    }
    BkView_Destroy(site->view);
    BkBundle_Destroy(site->bundle);
    free(site->ledgers);
    free(site->demand);
    free(site->drained);
}

static double
seconds_now(void)
{
    struct timespec t;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static double
time_place(const Site *site)
{
    BkPlaceConf conf = {.policy = BK_PLACE_WEIGHTED,
                        .attainment_weight = 1,
                        .move_weight = 5,
                        .horizon = 60 * BK_MS_PER_S,
                        .loads_per_second = 2,
                        .loads_at_once = 17,
                        .target_use = 0.75};
    BkPlaceInput input = {.bundle = site->bundle,
                          .view = site->view,
                          .ledgers = site->ledgers,
                          .demand = site->demand,
                          .drained = site->drained,
                          .now = 1,
                          .stale_after = BK_MS_PER_S};
    double start = seconds_now();

    for (int i = 0; i < PLACE_ROUNDS; i++) {
        BkMove moves[MAX_MOVES];
        int count = BkPlace_Decide(&conf, &input, moves, MAX_MOVES);
        for (int k = 0; k < count; k++) {
            free(moves[k].inst);
        }
    }
    return (seconds_now() - start) / PLACE_ROUNDS;
}

static double
time_route(const Site *site)
{
    BkRoute route = {.rng = BkRng_Make(1)};
    BkRouteQuery query = {.deadline = BK_MS_PER_S};

    route.conf =
        (BkRouteConf){.stale_after = BK_MS_PER_S, .service_time = BK_MS_PER_S};
    BkRoute_Choose(&route, site->view, &query, 1);
    double start = seconds_now();
    for (int i = 0; i < ROUTE_ROUNDS; i++) {
        query.item = i % site->size;
        BkRoute_Choose(&route, site->view, &query, 1);
    }
    double spent = seconds_now() - start;
    BkRoute_Destroy(&route);
    return spent / ROUTE_ROUNDS;
}

int
main(void)
{
    const int sizes[] = {100, 300, 600};
    const int hot[] = {1, 5, 9}; /* of ten items */

    for (int i = 0; i < 9; i++) {
        int size = sizes[i / 3];
        Site site = make_site(size, hot[i % 3]);
        printf("{\"upstreams\":%d,\"items\":%d,\"hot_of_ten\":%d,"
               "\"place_ms\":%.2f,\"route_us\":%.2f}\n",
               size, size, hot[i % 3], time_place(&site) * 1e3,
               time_route(&site) * 1e6);
        free_site(&site);
    }
    return 0;
}
