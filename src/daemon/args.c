#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/args.h"
#include "bk/base/log.h"
#include "bk/daemon/daemon.h"

#define SPEC(...) BK_SETTING(BkDaemonConf, __VA_ARGS__)

static const BkSettingSpec shared_specs[] = {
    SPEC("daemon", "name", BK_SETTING_TEXT, name, NULL, 0, 0,
         "name, unique over all daemons"),
    SPEC("daemon", "domain", BK_SETTING_TEXT, domain, NULL, 0, 0,
         "failure domain"),
    SPEC("daemon", "gossip", BK_SETTING_ADDR, gossip_address, NULL, 0, 0,
         "UDP address for other daemons"),
    SPEC("daemon", "ops", BK_SETTING_ADDR, ops_address, NULL, 0, 0,
         "HTTP address for operators and peers"),
    SPEC("daemon", "peers", BK_SETTING_TEXT, seeds, "", 0, 0,
         "gossip addresses of some other daemons"),
    SPEC("daemon", "signers", BK_SETTING_TEXT, signers, NULL, 0, 0,
         "public keys whose sign-off counts, in hex"),
    SPEC("daemon", "log_level", BK_SETTING_TEXT, log_level, "info", 0, 0,
         "emerg, alert, crit, err, warning, notice, info or debug"),
    SPEC("daemon", "secret", BK_SETTING_TEXT, secret, NULL, 0, 0,
         "64 hex digits, the same for all daemons"),
    SPEC("daemon", "gossip_period", BK_SETTING_MS, gossip_period, "1s", 50,
         10000, "between messages to peers"),
    SPEC("daemon", "gossip_fanout", BK_SETTING_INT, gossip_fanout, "2", 1, 8,
         "peers told each period"),
    SPEC("daemon", "polls_per_second", BK_SETTING_INT, polls_per_second, "4",
         1, 100, "upstreams polled a second, at most"),
    SPEC("daemon", "poll_age", BK_SETTING_MS, min_poll_age, "1s", 50, 60000,
         "age from which an upstream is polled again"),
    SPEC("daemon", "stale_after", BK_SETTING_MS, stale_after, "10s", 500,
         120000, "age at which an observation is not used"),
    SPEC("daemon", "cut_off_after", BK_SETTING_MS, max_silence, "5s", 500,
         600000, "silence of platform and peers until not ready"),
    SPEC("daemon", "balancer_wait", BK_SETTING_MS, balancer_wait, "5s", 0,
         120000, "at a planned stop, until the balancer has noticed"),
    SPEC("platform", "address", BK_SETTING_ADDR, platform_address, NULL, 0, 0,
         "address of the table service and object store"),
    SPEC("platform", "timeout", BK_SETTING_MS, platform_timeout, "1s", 50,
         60000, "of one call"),
    SPEC("platform", "poll_bundle", BK_SETTING_MS, bundle_poll_period,
         "1500ms", 50, 60000, "between reads of the configuration in force"),
    SPEC("platform", "poll_vms", BK_SETTING_MS, vm_poll_period, "3s", 50,
         60000, "between reads of the VM list and the drains"),
};

enum {
    SECRET_DIGITS = 64
};

BkSettingSpec *
BkDaemon_JoinSpecs(const BkSettingSpec *own, int own_count, int *count)
{
    int shared_count = sizeof(shared_specs) / sizeof(shared_specs[0]);
    BkSettingSpec *specs =
        BkMem_New((size_t)shared_count + (size_t)own_count, sizeof(*specs));

    memcpy(specs, shared_specs, sizeof(shared_specs));
    memcpy(specs + shared_count, own, (size_t)own_count * sizeof(*specs));
    *count = shared_count + own_count;
    return specs;
}

static BkStatus
check_daemon_settings(const char *path, const BkDaemonConf *conf)
{
    BkStr secret = BkStr_FromC(conf->secret);

    if (BkLog_ParseLevel(conf->log_level) < 0) {
        return BkErr_Set(BK_ECONFIG,
                         "%s: [daemon] log_level: \"%s\" is not a severity; "
                         "allowed: emerg alert crit err warning notice info "
                         "debug",
                         path, conf->log_level);
    }
    if (secret.len != SECRET_DIGITS ||
        strspn(conf->secret, "0123456789abcdef") != SECRET_DIGITS) {
        return BkErr_Set(BK_ECONFIG,
                         "%s: [daemon] secret: expected 64 hex digits", path);
    }
    if (conf->max_silence <= conf->gossip_period) {
        return BkErr_Set(BK_ECONFIG,
                         "%s: [daemon] cut_off_after: must be longer than "
                         "gossip_period",
                         path);
    }
    return BK_OK;
}

void
BkDaemon_LoadSettings(int argc, char **argv, const char *program,
                      const char *doc, const BkSettingSpec *specs,
                      int spec_count, BkSettingsCheckFn check, void *settings)
{
    BkArgs args = BkArgs_Parse(argc, argv, program, doc);
    BkDaemonConf *conf = settings;

    BkStatus status =
        BkSettings_Load(args.config_path, specs, spec_count, settings);
    if (status == BK_OK) {
        status = check_daemon_settings(args.config_path, conf);
    }
    if (status == BK_OK && check(settings) != BK_OK) {
        char message[512];
        snprintf(message, sizeof(message), "%s", BkErr_Last());
        status = BkErr_Set(BK_ECONFIG, "%s: %s", args.config_path, message);
    }
    if (status != BK_OK) {
        fprintf(stderr, "%s: %s\n", program, BkErr_Last());
        exit((int)status);
    }
    if (args.check_only) {
        printf("%s: settings are good\n", args.config_path);
        exit(0);
    }
    BkLog_Init(conf->name, (BkLogLevel)BkLog_ParseLevel(conf->log_level));
}
