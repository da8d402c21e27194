#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "bk/base/log.h"
#include "emu.h"

typedef struct Args {
    const char *pattern;
    uint64_t seed;
    uint64_t runs;
    double min_worth; /* of the mean over all runs */
    bool show_seconds;
} Args;

static const struct argp_option options[] = {
    {"least", 'l', "WORTH", 0,
     "exit 1 if the mean worth of the runs is below this", 0},
    {"runs", 'r', "N", 0,
     "number of runs, each with the next seed (default 1)", 0},
    {"seed", 's', "N", 0, "of the requests (default 1)", 0},
    {"seconds", 't', NULL, 0, "also a line for each two seconds", 0},
    {0},
};

static void
parse_number(const char *text, uint64_t *out, struct argp_state *state)
{
    if (BkStr_ToU64(BkStr_FromC(text), out) != BK_OK) {
        argp_error(state, "%s", BkErr_Last());
    }
}

static void
parse_share(const char *text, double *out, struct argp_state *state)
{
    char *end;

    *out = strtod(text, &end);
    if (end == text || *end != '\0' || *out < 0 || *out > 1) {
        argp_error(state, "\"%s\" is not a number from 0 to 1", text);
    }
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    Args *args = state->input;

    switch (key) {
    case 'l':
        parse_share(arg, &args->min_worth, state);
        return 0;
    case 'r':
        parse_number(arg, &args->runs, state);
        return 0;
    case 's':
        parse_number(arg, &args->seed, state);
        return 0;
    case 't':
        args->show_seconds = true;
        return 0;
    case ARGP_KEY_ARG:
        args->pattern = arg;
        return state->arg_num == 0 ? 0 : ARGP_ERR_UNKNOWN;
    case ARGP_KEY_END:
        if (args->pattern == NULL) {
            argp_usage(state);
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

typedef struct Tally {
    int requests;
    int outcomes[EMU_FAILED + 1];
    double worth;
    double max_worth;
} Tally;

static void
tally_request(Tally *tally, const EmuRequest *request)
{
    const EmuRequestKind *kind = request->kind;

    tally->requests++;
    tally->outcomes[request->outcome]++;
    tally->max_worth += kind->worth;
    tally->worth += request->outcome == EMU_ON_TIME ? kind->worth
                    : request->outcome == EMU_LATE  ? kind->late_worth
                                                    : 0;
}

/* The worth of all requests as a share of the largest possible one. */
static double
worth_share(const Tally *tally)
{
    return tally->max_worth > 0 ? tally->worth / tally->max_worth : 1;
}

static void
print_tally(const char *label, const Tally *tally)
{
    int unfinished = tally->outcomes[EMU_WAITING] + tally->outcomes[EMU_SENT];

    printf("%-16s asked %6d on_time %6d late %5d refused %5d failed %5d "
           "open %4d worth %.3f\n",
           label, tally->requests, tally->outcomes[EMU_ON_TIME],
           tally->outcomes[EMU_LATE], tally->outcomes[EMU_REFUSED],
           tally->outcomes[EMU_FAILED], unfinished, worth_share(tally));
}

static double
print_kinds(const Emu *emu)
{
    Tally all = {0};

    for (int k = 0; k < emu->pattern.kind_count; k++) {
        Tally tally = {0};
        for (int i = 0; i < emu->request_count; i++) {
            if (emu->requests[i].kind == &emu->pattern.kinds[k]) {
                tally_request(&tally, &emu->requests[i]);
                tally_request(&all, &emu->requests[i]);
            }
        }
        print_tally(emu->pattern.kinds[k].name, &tally);
    }
    print_tally("all", &all);
    printf("loads %d unloads %d preempted %d\n", emu->loads, emu->unloads,
           emu->preemptions);
    return worth_share(&all);
}

static void
print_seconds(const Emu *emu)
{
    enum {
        SPAN_S = 2
    };
    char label[32];

    for (int start_s = 0; start_s < (int)emu->pattern.site.seconds;
         start_s += SPAN_S) {
        Tally tally = {0};
        for (int i = 0; i < emu->request_count; i++) {
            double at = emu->requests[i].arrived_at / 1000;
            if (at >= start_s && at < start_s + SPAN_S) {
                tally_request(&tally, &emu->requests[i]);
            }
        }
        snprintf(label, sizeof(label), "second %d", start_s);
        print_tally(label, &tally);
    }
}

static double
run_seed(const EmuPattern *pattern, uint64_t seed, bool show_seconds)
{
    Emu *emu = Emu_Create(pattern, seed);

    Emu_Run(emu);
    printf("seed %llu\n", (unsigned long long)seed);
    if (show_seconds) {
        print_seconds(emu);
    }
    double worth = print_kinds(emu);
    Emu_Destroy(emu);
    return worth;
}

int
main(int argc, char **argv)
{
    Args args = {.seed = 1, .runs = 1};
    const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .args_doc = "PATTERN",
        .doc = "Sends the requests of PATTERN to emulated engines, with the "
               "product's decision functions, and prints the outcomes."};
    EmuPattern pattern;
    double worth = 0;

    BkLog_Init("bench-engines", BK_LOG_WARNING);
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    if (EmuPattern_Load(args.pattern, &pattern) != BK_OK) {
        fprintf(stderr, "bench-engines: %s\n", BkErr_Last());
        return EXIT_FAILURE;
    }
    for (uint64_t i = 0; i < args.runs; i++) {
        worth += run_seed(&pattern, args.seed + i, args.show_seconds) /
                 (double)args.runs;
    }
    printf("worth %.3f\n", worth);
    if (worth < args.min_worth) {
        fprintf(stderr,
                "bench-engines: %s: mean worth %.3f is below the required "
                "%.3f\n",
                args.pattern, worth, args.min_worth);
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
