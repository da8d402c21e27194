/*
 * ctl - settings, options and command handlers of bkctl
 *
 * The table in main.c maps each command to a handler. A handler gets the
 * arguments of the command and the options, prints the result and returns the
 * status that becomes the exit code. If it fails, main prints the last error
 * message.
 */
#ifndef BK_CTL_CTL_H
#define BK_CTL_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/loop.h"
#include "bk/bundle/bundle.h"
#include "bk/net/http_client.h"
#include "bk/platform/platform.h"

/* [ctl] of the settings file */
typedef struct BkCtlConf {
    char *platform; /* "ip:port" */
    BkMs platform_timeout;
    /* addresses of their HTTP ports for operators, separated by blanks */
    char *daemons;
    char *fronts; /* the same of the bk-front daemons */
    BkMs daemon_timeout;
    char *signers; /* public keys in hex, separated by blanks */
    char *by;      /* name of the operator */
    /* how long a change is retried until its outcome is known */
    BkMs outcome_timeout;
    BkMs max_roll_wait; /* longest wait of roll --wait */
} BkCtlConf;

typedef struct BkCtlOptions {
    const char *config;   /* --config FILE: the settings */
    const char *against;  /* --against FILE: bundle that would be replaced */
    const char *key;      /* --key FILE: secret key of the signer */
    const char *replaces; /* --replaces N: version that is replaced */
    const char *why;      /* --why TEXT: the reason, for the audit trail */
    const char *by;       /* --by NAME: operator, for the audit trail */
    const char *last;     /* --last N: number of audit entries to show */
    bool json;            /* --json: print one JSON object */
    bool wait;            /* --wait: show progress until it is rolled */
    bool markdown;        /* --markdown: print the page of result codes */
    bool check_config;    /* --check-config: only check the settings */
} BkCtlOptions;

typedef struct BkCtl {
    BkCtlOptions options;
    BkCtlConf conf;
    BkLoop *loop; /* this and the next two are set by BkCtl_Open */
    BkHttpClient *http;
    BkPlat *plat;
    bool failure_printed; /* main does not print the error message again */
} BkCtl;

/* Loads the settings file. ERRORS: BK_ECONFIG, BK_EIO. */
BkStatus BkCtl_LoadSettings(BkCtl *ctl);
/* Creates the event loop and the clients; the settings must be loaded. */
void BkCtl_Open(BkCtl *ctl);
void BkCtl_Close(BkCtl *ctl);

/* The operator's name, for the audit trail: the option --by, else "by" of the
 * settings. ERRORS: BK_EUSAGE if neither is given. */
BkStatus BkCtl_OperatorName(const BkCtl *ctl, const char **by);

/* Reads and parses a bundle file. ERRORS: as BkBundle_Parse; BK_EIO. */
BkStatus BkCtl_LoadBundle(const char *path, BkBundle **bundle);

/* The command handlers; words are the arguments after the command's name, with
 * NULL at the end. */
typedef BkStatus (*BkCtlFn)(BkCtl *ctl, char **words);

BkStatus BkCtl_BundleCheck(BkCtl *ctl, char **words);
BkStatus BkCtl_BundleRoll(BkCtl *ctl, char **words);
BkStatus BkCtl_BundleSign(BkCtl *ctl, char **words);
BkStatus BkCtl_Codes(BkCtl *ctl, char **words);
BkStatus BkCtl_Drain(BkCtl *ctl, char **words);
BkStatus BkCtl_Explain(BkCtl *ctl, char **words);
BkStatus BkCtl_Fronts(BkCtl *ctl, char **words);
BkStatus BkCtl_Handover(BkCtl *ctl, char **words);
BkStatus BkCtl_KeyNew(BkCtl *ctl, char **words);
BkStatus BkCtl_ShowLog(BkCtl *ctl, char **words);
BkStatus BkCtl_ShowStatus(BkCtl *ctl, char **words);
BkStatus BkCtl_Undrain(BkCtl *ctl, char **words);
BkStatus BkCtl_VerdictLift(BkCtl *ctl, char **words);
BkStatus BkCtl_Wait(BkCtl *ctl, char **words);
BkStatus BkCtl_Watch(BkCtl *ctl, char **words);

#endif
