#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "fronts.h"
#include "output.h"

enum {
    POLL_INTERVAL = 200, /* ms between two looks of wait */
    WATCH_INTERVAL = 1000
};

static const char clear_screen[] = "\033[H\033[2J";

/* Lists the daemons that do not act on the version yet, and why; returns how
 * many there are. */
static int
list_missing(const BkCtlFronts *fronts, int64_t version, BkBuf *out)
{
    int count = 0;

    for (int i = 0; i < fronts->count; i++) {
        const BkCtlFront *front = &fronts->list[i];
        int64_t config = BkCtl_GetInteger(front->status, "config");
        if (front->status != NULL && config >= version) {
            continue;
        }
        BkBuf_Printf(out, "%s%s ", count == 0 ? "" : ", ", front->addr);
        if (front->status == NULL) {
            BkBuf_Printf(out, "(%s)", front->fault);
        }
        else {
            BkBuf_Printf(out, "(%lld)", (long long)config);
        }
        count++;
    }
    return count;
}

/* Looks once. Returns BK_ETRYAGAIN with the missing ones in the message if the
   version is not in force everywhere. */
static BkStatus
look(BkCtl *ctl, int64_t version, int *count)
{
    BkCtlFronts fronts;
    BkBuf missing = BkBuf_Make(0);
    BkStatus status = BkCtl_FetchFronts(ctl, &fronts);

    *count = fronts.count;
    if (status == BK_OK || status == BK_ECONNECT) {
        int left = list_missing(&fronts, version, &missing);
        status = left == 0
                     ? BK_OK
                     : BkErr_Set(BK_ETRYAGAIN,
                                 "%d of %d daemons do not act on version "
                                 "%lld: %s",
                                 left, fronts.count, (long long)version,
                                 BkBuf_C(&missing));
    }
    BkBuf_Destroy(&missing);
    BkCtlFronts_Clear(&fronts);
    return status;
}

BkStatus
BkCtl_Wait(BkCtl *ctl, char **words)
{
    BkMs until = BkClock_Now() + ctl->conf.max_roll_wait;
    uint64_t version;
    int count;

    if (BkStr_ToU64(BkStr_FromC(words[0]), &version) != BK_OK ||
        version > INT64_MAX) {
        return BkErr_Set(BK_EUSAGE, "\"%s\" is not a version number",
                         words[0]);
    }
    BkStatus status = look(ctl, (int64_t)version, &count);
    while (status == BK_ETRYAGAIN && BkClock_Now() < until) {
        BkCtl_Sleep(ctl, POLL_INTERVAL);
        status = look(ctl, (int64_t)version, &count);
    }
    if (status != BK_OK) {
        return status;
    }
    if (ctl->options.json) {
        BkCtl_PrintJson(json_pack("{s:I, s:i}", "version", (json_int_t)version,
                                  "daemons", count));
    }
    else {
        printf("version %s is in force at all %d daemons\n", words[0], count);
    }
    return BK_OK;
}

BkStatus
BkCtl_Watch(BkCtl *ctl, char **words)
{
    for (;;) {
        if (!ctl->options.json && isatty(STDOUT_FILENO)) {
            printf("%s", clear_screen);
        }
        BkStatus status = BkCtl_Fronts(ctl, words);
        if (status == BK_ECONNECT) {
            BkCtl_PrintError(ctl, status);
        }
        else if (status != BK_OK) {
            return status;
        }
        fflush(stdout);
        BkCtl_Sleep(ctl, WATCH_INTERVAL);
    }
}
