#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

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
    POLICIES = sizeof(policies) / sizeof(policies[0])
};

typedef struct Args {
    uint64_t seed;
    const char *bounds;
    const char *deployment; /* NULL: all */
    const char *scenario;
    bool list;
} Args;

static const struct argp_option options[] = {
    {"seed", 's', "N", 0, "of the traces (default 1)", 0},
    {"bounds", 'b', "FILE", 0, "bounds to judge by", 0},
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
is_chosen(const char *only, const char *name)
{
    return only == NULL || strcmp(only, name) == 0;
}

static int
run_scenario(const Args *args, const Bounds *bounds, const Deployment *dep,
             const Scenario *scenario)
{
    Result results[POLICIES];
    BkBundle *bundle = bundle_make(dep, 1);
    Trace trace = trace_make(dep, bundle, scenario, args->seed);

    for (int i = 0; i < POLICIES; i++) {
        results[i] =
            (Result){.dep = dep, .scenario = scenario, .policy = &policies[i]};
        results[i].score = world_run(dep, scenario, &policies[i], &trace);
        result_print(&results[i], args->seed);
    }
    trace_free(&trace);
    BkBundle_Destroy(bundle);
    return results_judge(bounds, results, POLICIES);
}

static int
run_chosen(const Args *args, const Bounds *bounds)
{
    int broken = 0;

    for (int i = 0; i < deployment_count * SCENARIOS; i++) {
        const Deployment *dep = &deployments[i / SCENARIOS];
        const Scenario *scenario = &scenarios[i % SCENARIOS];
        if (!is_chosen(args->deployment, dep->name) ||
            !is_chosen(args->scenario, scenario->name)) {
            continue;
        }
        if (args->list) {
            printf("%s %s\n", dep->name, scenario->name);
        }
        else {
            broken += run_scenario(args, bounds, dep, scenario);
        }
    }
    return broken;
}

int
main(int argc, char **argv)
{
    const struct argp argp = {
        options, parse_option,
        NULL,    "Measures the policies on scripted traces.",
        NULL,    NULL,
        NULL};
    Args args = {.seed = 1, .bounds = "bench/policy/bounds.ini"};
    Bounds bounds = {0};
    int broken;

    argp_parse(&argp, argc, argv, 0, NULL, &args);
    if (bounds_load(args.bounds, &bounds) != BK_OK) {
        fprintf(stderr, "%s\n", BkErr_Last());
        return 2;
    }
    broken = run_chosen(&args, &bounds);
    return broken == 0 ? 0 : 1;
}
