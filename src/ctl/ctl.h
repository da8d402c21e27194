/*
 * ctl - what the commands of bkctl share
 *
 * A command is a handler in the table of main.c. It gets its words and the
 * options, prints its result, and returns the status that becomes the exit
 * code; main prints the last message of a failed one.
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
    char *daemons; /* ops addresses, separated by blanks */
    BkMs daemon_timeout;
    char *signers;  /* public keys in hex, separated by blanks */
    char *by;       /* name of the operator */
    BkMs patience;  /* to find out the outcome of a change */
    BkMs wait_most; /* of roll --wait */
} BkCtlConf;

typedef struct BkCtlOptions {
    const char *config;
    const char *against;
    const char *key;
    const char *replaces;
    const char *why;
    const char *by;
    const char *last;
    bool json;
    bool wait;
    bool markdown;
    bool check_config;
} BkCtlOptions;

typedef struct BkCtl {
    BkCtlOptions options;
    BkCtlConf conf;
    BkLoop *loop; /* these three once the settings are loaded */
    BkHttpClient *http;
    BkPlat *plat;
    bool reported; /* the output tells of the failure already */
} BkCtl;

/* ERRORS: BK_ECONFIG, BK_EIO. */
BkStatus BkCtl_LoadSettings(BkCtl *ctl);
/* Makes loop and clients. */
void BkCtl_Open(BkCtl *ctl);
void BkCtl_Close(BkCtl *ctl);

/* Who acts: --by, else by of the settings. ERRORS: BK_EUSAGE. */
BkStatus BkCtl_By(const BkCtl *ctl, const char **by);

/* Reads and parses a bundle file. ERRORS: as BkBundle_Parse; BK_EIO. */
BkStatus BkCtl_LoadBundle(const char *path, BkBundle **bundle);

/* The handlers; words are those behind the command's name. */
typedef BkStatus (*BkCtlFn)(BkCtl *ctl, char **words);

BkStatus BkCtl_BundleCheck(BkCtl *ctl, char **words);
BkStatus BkCtl_BundleRoll(BkCtl *ctl, char **words);
BkStatus BkCtl_BundleSign(BkCtl *ctl, char **words);
BkStatus BkCtl_Codes(BkCtl *ctl, char **words);
BkStatus BkCtl_Drain(BkCtl *ctl, char **words);
BkStatus BkCtl_Handover(BkCtl *ctl, char **words);
BkStatus BkCtl_KeyNew(BkCtl *ctl, char **words);
BkStatus BkCtl_Log(BkCtl *ctl, char **words);
BkStatus BkCtl_ShowStatus(BkCtl *ctl, char **words);
BkStatus BkCtl_Undrain(BkCtl *ctl, char **words);

#endif
