#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/settings.h"
#include "bk/bundle/signature.h"
#include "ctl.h"

#define DEFAULT_PATH "/etc/burdockkeel/ctl.ini"

enum {
    MINUTE_MS = 60 * 1000,
    HOUR_MS = 60 * MINUTE_MS
};

static const BkSettingSpec ctl_specs[] = {
    {"ctl", "platform", BK_SETTING_ADDR, offsetof(BkCtlConf, platform), NULL,
     0, 0, "address of the platform's service"},
    {"ctl", "platform_timeout", BK_SETTING_MS,
     offsetof(BkCtlConf, platform_timeout), "3s", 10, MINUTE_MS,
     "wait for an answer of the platform"},
    {"ctl", "daemons", BK_SETTING_TEXT, offsetof(BkCtlConf, daemons), "", 0, 0,
     "ops addresses of all daemons, separated by blanks"},
    {"ctl", "fronts", BK_SETTING_TEXT, offsetof(BkCtlConf, fronts), "", 0, 0,
     "ops addresses of all bk-front daemons, separated by blanks"},
    {"ctl", "daemon_timeout", BK_SETTING_MS,
     offsetof(BkCtlConf, daemon_timeout), "1s", 10, MINUTE_MS,
     "wait for an answer of a daemon"},
    {"ctl", "signers", BK_SETTING_TEXT, offsetof(BkCtlConf, signers), "", 0, 0,
     "public keys that may sign bundles, separated by blanks"},
    {"ctl", "by", BK_SETTING_TEXT, offsetof(BkCtlConf, by), "", 0, 0,
     "name of the operator, for the audit trail"},
    {"ctl", "patience", BK_SETTING_MS, offsetof(BkCtlConf, outcome_timeout),
     "20s", 100, HOUR_MS, "time to find out the outcome of a change"},
    {"ctl", "wait_most", BK_SETTING_MS, offsetof(BkCtlConf, max_roll_wait),
     "30min", 1000, 24 * HOUR_MS, "longest wait of roll --wait and of wait"},
};

enum {
    CTL_SPECS = sizeof(ctl_specs) / sizeof(ctl_specs[0])
};

static BkStatus
check_addresses(const char *path, const char *name, const char *list)
{
    BkStr rest = BkStr_FromC(list);

    while (rest.len > 0) {
        BkStr addr = BkStr_Split(&rest, ' ');
        if (addr.len > 0 && BkSettings_CheckAddr(addr) != BK_OK) {
            return BkSettings_SetError(
                path, "ctl", name,
                "\"%.*s\" is not a numeric address like "
                "10.0.0.1:8081",
                BK_STR_ARG(addr));
        }
    }
    return BK_OK;
}

static BkStatus
check_lists(const char *path, const BkCtlConf *conf)
{
    BkStr signers = BkStr_FromC(conf->signers);
    unsigned char key[BK_DIGEST_BYTES];
    BkStatus status = check_addresses(path, "daemons", conf->daemons);

    if (status == BK_OK) {
        status = check_addresses(path, "fronts", conf->fronts);
    }
    if (status != BK_OK) {
        return status;
    }
    while (signers.len > 0) {
        BkStr signer = BkStr_Split(&signers, ' ');
        if (signer.len > 0 && BkDigest_Parse(signer, key) != BK_OK) {
            return BkSettings_SetError(
                path, "ctl", "signers",
                "\"%.*s\" is not a public key of 64 hex "
                "digits",
                BK_STR_ARG(signer));
        }
    }
    return BK_OK;
}

BkStatus
BkCtl_LoadSettings(BkCtl *ctl)
{
    const char *path = ctl->options.config;

    if (path == NULL) {
        path = DEFAULT_PATH;
        ctl->options.config = path;
    }
    BkStatus status = BkSettings_Load(path, ctl_specs, CTL_SPECS, &ctl->conf);
    return status == BK_OK ? check_lists(path, &ctl->conf) : status;
}

void
BkCtl_Open(BkCtl *ctl)
{
    BkBuf base = BkBuf_Make(0);

    BkBuf_Printf(&base, "http://%s", ctl->conf.platform);
    ctl->loop = BkLoop_Create();
    ctl->http = BkHttpClient_Create(ctl->loop);
    ctl->plat =
        BkPlat_Create(ctl->http, BkBuf_C(&base), ctl->conf.platform_timeout);
    BkBuf_Destroy(&base);
}

void
BkCtl_Close(BkCtl *ctl)
{
    if (ctl->loop != NULL) {
        BkPlat_Destroy(ctl->plat);
        BkHttpClient_Destroy(ctl->http);
        BkLoop_Destroy(ctl->loop);
    }
    BkSettings_Destroy(ctl_specs, CTL_SPECS, &ctl->conf);
}
