#include <argp.h>
#include <stdio.h>

#include "bk/base/log.h"
#include "front.h"

typedef struct Args {
    const char *config;
    bool check_only;
} Args;

enum {
    OPT_CHECK = 256
};

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0, "settings file", 0},
    {"check-config", OPT_CHECK, NULL, 0, "check the settings and exit", 0},
    {0},
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    Args *args = state->input;

    switch (key) {
    case 'c':
        args->config = value;
        return 0;
    case OPT_CHECK:
        args->check_only = true;
        return 0;
    case ARGP_KEY_ARG:
        argp_error(state, "unexpected argument \"%s\"", value);
        return 0;
    case ARGP_KEY_END:
        if (args->config == NULL) {
            argp_error(state, "--config FILE is needed");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    Args args = {0};
    FrConf conf;
    struct argp argp = {
        options, parse_option,
        NULL,    "Serves callers on the users' platform, and places models.",
        NULL,    NULL,
        NULL};

    argp_program_version = "bk-front " BK_VERSION;
    argp_err_exit_status = BK_EUSAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    BkStatus status = FrConf_Load(args.config, &conf);
    if (status != BK_OK) {
        fprintf(stderr, "bk-front: %s\n", BkErr_Last());
        return (int)status;
    }
    if (args.check_only) {
        printf("%s: settings are good\n", args.config);
        return 0;
    }
    BkLog_Init(conf.name, (BkLogLevel)BkLog_ParseLevel(conf.log_level));
    BkLog_ToOutput((int)conf.log_lines);
    FrFront *front = FrFront_Create(&conf, args.config);
    if (front == NULL) {
        fprintf(stderr, "bk-front: %s\n", BkErr_Last());
        return BK_EIO;
    }
    FrFront_Run(front);
    FrFront_Destroy(front);
    FrConf_Destroy(&conf);
    BkLog_Flush();
    return 0;
}
