#include <stdio.h>
#include <stdlib.h>

#include "bk/steward/steward.h"

int
main(int argc, char **argv)
{
    static BkStewardConf conf;
    int count;
    const BkSettingSpec *specs = BkSteward_Specs(&count);

    BkDaemon_ParseArgs(argc, argv, "bk-steward",
                       "Places models on engines; one steward is the planner.",
                       specs, count, &conf);
    BkStatus status = BkSteward_CheckConf(&conf);
    BkSteward *steward = status == BK_OK ? BkSteward_Create(&conf) : NULL;
    if (steward == NULL) {
        fprintf(stderr, "bk-steward: %s\n", BkErr_Last());
        return status == BK_OK ? BK_EIO : (int)status;
    }
    BkDaemon_Run(steward->daemon);
    BkSteward_Destroy(steward);
    BkSettings_Destroy(specs, count, &conf);
    free((void *)specs);
    return 0;
}
