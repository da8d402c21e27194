/*
 * args - command line options common to all daemons
 */
#ifndef BK_BASE_ARGS_H
#define BK_BASE_ARGS_H

#include <stdbool.h>

typedef struct BkArgs {
    const char *config_path; /* path of the settings file, from --config */
    bool check_only;         /* --check-config was given */
} BkArgs;

/* Parses --config FILE, --check-config, --version and --help. Ends the process
 * after the last two, and with exit status BK_EUSAGE on an error. program is
 * the name that --version prints, doc the text that --help prints. */
BkArgs BkArgs_Parse(int argc, char **argv, const char *program,
                    const char *doc);

#endif
