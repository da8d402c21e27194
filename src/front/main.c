#include <stdio.h>

#include "bk/base/args.h"
#include "bk/base/log.h"
#include "front.h"

int
main(int argc, char **argv)
{
    FrConf conf;
    BkArgs args =
        BkArgs_Parse(argc, argv, "bk-front",
                     "Serves callers on the users' platform, and places "
                     "models.");
    BkStatus status = FrConf_Load(args.config_path, &conf);

    if (status != BK_OK) {
        fprintf(stderr, "bk-front: %s\n", BkErr_Last());
        return (int)status;
    }
    if (args.check_only) {
        printf("%s: settings are good\n", args.config_path);
        FrConf_Destroy(&conf);
        return 0;
    }
    BkLog_Init(conf.name, (BkLogLevel)BkLog_ParseLevel(conf.log_level));
    BkLog_UseStdout((int)conf.log_lines);
    FrFront *front = FrFront_Create(&conf, args.config_path);
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
