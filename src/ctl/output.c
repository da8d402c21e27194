#include "output.h"

#include <stdio.h>
#include <stdlib.h>

#include "bk/base/utf8.h"

void
BkCtl_PrintJson(json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);

    printf("%s\n", text);
    free(text);
    json_decref(object);
}

void
BkCtl_FormatDuration(BkMs duration, char *out)
{
    static const struct {
        const char *name;
        BkMs ms;
    } units[] = {{"d", 86400000}, {"h", 3600000}, {"min", 60000}, {"s", 1000}};
    size_t i = 0;

    if (duration < 0) {
        snprintf(out, BK_CTL_DURATION_SIZE, "never");
        return;
    }
    while (i < 3 && duration < units[i].ms) {
        i++;
    }
    snprintf(out, BK_CTL_DURATION_SIZE, "%lld%s",
             (long long)(duration / units[i].ms), units[i].name);
}

static const char *
error_message(BkStatus status)
{
    const char *message = BkErr_Last();

    return message[0] != '\0' ? message : BkStatus_Info(status)->text;
}

json_t *
BkCtl_ErrorJson(BkStatus status)
{
    const BkStatusInfo *info = BkStatus_Info(status);

    return json_pack("{s:i, s:s, s:s, s:o}", "code", (int)info->status, "name",
                     info->name, "outcome", BkOutcome_Name(info->outcome),
                     "message", BkUtf8_Json(error_message(status)));
}

void
BkCtl_PrintError(const BkCtl *ctl, BkStatus status)
{
    const BkStatusInfo *info = BkStatus_Info(status);

    if (ctl->options.json) {
        BkCtl_PrintJson(json_pack("{s:o}", "error", BkCtl_ErrorJson(status)));
        return;
    }
    fflush(stdout);
    fprintf(stderr, "bkctl: %s (%s, %d)\n", error_message(status), info->name,
            (int)info->status);
}
