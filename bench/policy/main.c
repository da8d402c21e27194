#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

static const Policy policies[] = {
    {"burdockkeel", BK_PLACE_WEIGHTED, BK_ROUTE_CORRECTED, false},
    {"fixed", BK_PLACE_FIXED, BK_ROUTE_CORRECTED, false},
    {"follow", BK_PLACE_FOLLOW, BK_ROUTE_CORRECTED, false},
    {"lru", BK_PLACE_LRU, BK_ROUTE_CORRECTED, false},
    {"random", BK_PLACE_WEIGHTED, BK_ROUTE_RANDOM, false},
    {"round-robin", BK_PLACE_WEIGHTED, BK_ROUTE_ROUND_ROBIN, false},
    {"least-reported", BK_PLACE_WEIGHTED, BK_ROUTE_LEAST_REPORTED, false},
    {"admit-all", BK_PLACE_WEIGHTED, BK_ROUTE_CORRECTED, true},
};

enum {
    POLICY_COUNT = sizeof(policies) / sizeof(policies[0])
};

typedef struct Args {
    uint64_t seed;
    const char *bounds;
    const char *deployment; /* NULL: all */
    const char *scenario;   /* NULL: all */
    bool list;
} Args;

static const struct argp_option options[] = {
    {"seed", 's', "N", 0, "of the traces (default 1)", 0},
    {"bounds", 'b', "FILE", 0, "bounds that the results must keep", 0},
    {"deployment", 'd', "NAME", 0, "only this one", 0},
    {"scenario", 'c', "NAME", 0, "only this one", 0},
    {"list", 'l', NULL, 0, "print deployments and scenarios, run none", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    Args *args = state->input;

    switch (key) {
    case 's':
        if (BkStr_ToU64(BkStr_FromC(arg), &args->seed) != BK_OK) {
            argp_error(state, "%s", BkErr_Last());
        }
        return 0;
    case 'b':
        args->bounds = arg;
        return 0;
    case 'd':
        args->deployment = arg;
        return 0;
    case 'c':
        args->scenario = arg;
        return 0;
    case 'l':
        args->list = true;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static bool
is_selected(const char *filter, const char *name)
{
    return filter == NULL || strcmp(filter, name) == 0;
}

static int
run_scenario(const Args *args, const Bounds *bounds, const Deployment *dep,
             const Scenario *scenario)
{
    Result results[POLICY_COUNT];
    BkBundle *bundle = bundle_create(dep, 1);
    Trace trace = trace_generate(dep, bundle, scenario, args->seed);

    for (int i = 0; i < POLICY_COUNT; i++) {
        results[i] =
            (Result){.dep = dep, .scenario = scenario, .policy = &policies[i]};
        results[i].score = sim_run(dep, scenario, &policies[i], &trace);
        result_print(&results[i], args->seed);
    }
    trace_free(&trace);
    BkBundle_Destroy(bundle);
    return results_check(bounds, results, POLICY_COUNT);
}

static int
run_selected(const Args *args, const Bounds *bounds)
{
    int broken_bounds = 0;

    for (int i = 0; i < deployment_count * SCENARIO_COUNT; i++) {
        const Deployment *dep = &deployments[i / SCENARIO_COUNT];
        const Scenario *scenario = &scenarios[i % SCENARIO_COUNT];
        if (!is_selected(args->deployment, dep->name) ||
            !is_selected(args->scenario, scenario->name)) {
            continue;
        }
        if (args->list) {
            printf("%s %s\n", dep->name, scenario->name);
        }
        else {
            broken_bounds += run_scenario(args, bounds, dep, scenario);
        }
    }
    return broken_bounds;
}

int
main(int argc, char **argv)
{
    const struct argp argp = {
        options, parse_option,
        NULL,    "Compares the policies on generated traces.",
        NULL,    NULL,
        NULL};
    Args args = {.seed = 1, .bounds = "bench/policy/bounds.ini"};
    Bounds bounds = {0};
    int broken_bounds;

    argp_parse(&argp, argc, argv, 0, NULL, &args);
    if (bounds_load(args.bounds, &bounds) != BK_OK) {
        fprintf(stderr, "%s\n", BkErr_Last());
        return 2;
    }
    broken_bounds = run_selected(&args, &bounds);
    return broken_bounds == 0 ? 0 : 1;
}
