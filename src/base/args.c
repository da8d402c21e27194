#include "bk/base/args.h"

#include <argp.h>
#include <stdio.h>

#include "bk/base/status.h"

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
    BkArgs *args = state->input;

    switch (key) {
    case 'c':
        args->config_path = value;
        return 0;
    case OPT_CHECK:
        args->check_only = true;
        return 0;
    case ARGP_KEY_ARG:
        argp_error(state, "unexpected argument \"%s\"", value);
        return 0;
    case ARGP_KEY_END:
        if (args->config_path == NULL) {
            argp_error(state, "--config FILE is required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

BkArgs
BkArgs_Parse(int argc, char **argv, const char *program, const char *doc)
{
    static char version[64]; /* argp keeps the pointer */
    BkArgs args = {0};
    struct argp argp = {options, parse_option, NULL, doc, NULL, NULL, NULL};

    snprintf(version, sizeof(version), "%s %s", program, BK_VERSION);
    argp_program_version = version;
    argp_err_exit_status = BK_EUSAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    return args;
}
