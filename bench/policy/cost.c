/*
 * Measures the processor time of one decision for growing numbers of upstreams
 * and items. Not part of make bench, since times differ from run to run.
 */
#include <stdio.h>
#include <stdlib.h>

#include "bk/place/place.h"
#include "bk/route/route.h"
#include "cpu_time.h"

enum {
    COPIES = 2,
    PLACE_ROUNDS = 20,
    ROUTE_ROUNDS = 100000,
    MAX_MOVES = 16
};

typedef struct Setup {
    int size; /* upstreams, and items */
    BkBundle *bundle;
    BkView *view;
    BkLedger **ledgers;
    BkDemand *demand;
    bool *drained;
} Setup;

static BkBundle *
create_bundle(int size)
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

/* Applies a state of the upstream with COPIES ready instances: item i has its
   copies on the upstreams i and i + 1. */
static void
apply_state(Setup *setup, int up)
{
    BkBuf json = BkBuf_Make(0);

    BkBuf_Printf(&json, "{\"boot\":1,\"running\":8,\"instances\":[");
    for (int i = 0; i < COPIES; i++) {
        int item = (up + setup->size - i) % setup->size;
        BkBuf_Printf(&json,
                     "%s{\"instance\":\"e%03d.%d\",\"model\":\"m%03d\","
                     "\"version\":\"1\",\"bytes\":15032385536,"
                     "\"state\":\"ready\"}",
                     i > 0 ? "," : "", up, i + 1, item);
    }
    BkBuf_Printf(&json, "]}");
    BkView_ApplyState(setup->view, up, BkBuf_Str(&json), 1);
    BkLedger_ApplyState(setup->ledgers[up], &setup->view->ups[up]);
    BkBuf_Destroy(&json);
}

static Setup
create_setup(int size, int hot_of_ten)
{
    Setup setup = {.size = size, .bundle = create_bundle(size)};
    size_t n = (size_t)size;

    setup.view = BkView_Create(setup.bundle, NULL);
    setup.ledgers = BkMem_New(n, sizeof(BkLedger *));
    setup.demand = BkMem_New(n, sizeof(BkDemand));
    setup.drained = BkMem_New(n, sizeof(bool));
    for (int i = 0; i < size; i++) {
        setup.ledgers[i] = BkLedger_Create(&setup.bundle->upstreams[i]);
        /* hot items need more copies than they have */
        double rate = i % 10 < hot_of_ten ? 30 : 5;
        setup.demand[i] =
            (BkDemand){.rate = rate, .fast_rate = rate, .slot_seconds = 1};
        apply_state(&setup, i);
    }
    return setup;
}

static void
free_setup(Setup *setup)
{
    for (int i = 0; i < setup->size; i++) {
        BkLedger_Destroy(setup->ledgers[i]);
    }
    BkView_Destroy(setup->view);
    BkBundle_Destroy(setup->bundle);
    free(setup->ledgers);
    free(setup->demand);
    free(setup->drained);
}

static double
time_place(const Setup *setup)
{
    BkPlaceConf conf = {.policy = BK_PLACE_WEIGHTED,
                        .attainment_weight = 1,
                        .move_weight = 5,
                        .horizon = 60 * BK_MS_PER_S,
                        .loads_per_second = 2,
                        .loads_at_once = 17,
                        .target_use = 0.75};
    BkPlaceInput input = {.bundle = setup->bundle,
                          .view = setup->view,
                          .ledgers = setup->ledgers,
                          .demand = setup->demand,
                          .excluded = setup->drained,
                          .now = 1,
                          .stale_after = BK_MS_PER_S};
    double start = cpu_seconds();

    for (int i = 0; i < PLACE_ROUNDS; i++) {
        BkPlaceMove moves[MAX_MOVES];
        int count = BkPlace_Decide(&conf, &input, moves, MAX_MOVES);
        for (int k = 0; k < count; k++) {
            free(moves[k].inst);
        }
    }
    return (cpu_seconds() - start) / PLACE_ROUNDS;
}

static double
time_route(const Setup *setup)
{
    BkRoute route = {.rng = BkRng_Make(1)};
    BkRouteQuery query = {.deadline = BK_MS_PER_S};

    route.conf =
        (BkRouteConf){.stale_after = BK_MS_PER_S, .service_time = BK_MS_PER_S};
    BkRoute_Choose(&route, setup->view, &query, 1);
    double start = cpu_seconds();
    for (int i = 0; i < ROUTE_ROUNDS; i++) {
        query.item = i % setup->size;
        BkRoute_Choose(&route, setup->view, &query, 1);
    }
    double elapsed = cpu_seconds() - start;
    BkRoute_Destroy(&route);
    return elapsed / ROUTE_ROUNDS;
}

int
main(void)
{
    const int sizes[] = {100, 300, 600};
    /* items in ten with a high request rate */
    const int hot_of_ten[] = {1, 5, 9};

    for (int i = 0; i < 9; i++) {
        int size = sizes[i / 3];
        Setup setup = create_setup(size, hot_of_ten[i % 3]);
        printf("{\"upstreams\":%d,\"items\":%d,\"hot_of_ten\":%d,"
               "\"place_ms\":%.2f,\"route_us\":%.2f}\n",
               size, size, hot_of_ten[i % 3], time_place(&setup) * 1e3,
               time_route(&setup) * 1e6);
        free_setup(&setup);
    }
    return 0;
}
