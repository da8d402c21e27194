#include <stdio.h>
#include <stdlib.h>

#include "bk/steward/steward.h"

static BkStatus
check_conf(void *settings)
{
    return BkSteward_CheckConf(settings);
}

int
main(int argc, char **argv)
{
    static BkStewardConf conf;
    int count;
    const BkSettingSpec *specs = BkSteward_Specs(&count);

    BkDaemon_LoadSettings(
        argc, argv, "bk-steward",
        "Places models on engines; one steward is the planner.", specs, count,
        check_conf, &conf);
    BkSteward *steward = BkSteward_Create(&conf);
    if (steward == NULL) {
        fprintf(stderr, "bk-steward: %s\n", BkErr_Last());
        return BK_EIO;
    }
    BkDaemon_Run(steward->daemon);
    BkSteward_Destroy(steward);
    BkSettings_Destroy(specs, count, &conf);
    free((void *)specs);
    return 0;
}
