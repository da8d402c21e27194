/*
 * args - the command line that all daemons share
 */
#ifndef BK_BASE_ARGS_H
#define BK_BASE_ARGS_H

#include <stdbool.h>

typedef struct BkArgs {
    const char *config; /* of --config */
    bool check_only;    /* --check-config */
} BkArgs;

/* --config FILE, --check-config, --version and --help. Exits by itself after
 * the last two, and with BK_EUSAGE on errors. */
BkArgs BkArgs_Parse(int argc, char **argv, const char *program,
                    const char *doc);

#endif
