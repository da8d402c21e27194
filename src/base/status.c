#include "bk/base/status.h"

#include <stdarg.h>
#include <stdio.h>

enum {
    LAST_MESSAGE_BYTES = 512
};

static _Thread_local char last_message[LAST_MESSAGE_BYTES];

#define STATUS_ROW(num, name, outcome, http, text)                            \
    {BK_##name, #name, BK_OUTCOME_##outcome, (http), (text)},
static const BkStatusInfo status_rows[] = {BK_STATUS_TABLE(STATUS_ROW)};
#undef STATUS_ROW

enum {
    STATUS_ROW_COUNT = sizeof(status_rows) / sizeof(status_rows[0])
};

const BkStatusInfo *
BkStatus_Info(BkStatus status)
{
    const BkStatusInfo *internal = &status_rows[0];

    for (int i = 0; i < STATUS_ROW_COUNT; i++) {
        if (status_rows[i].status == status) {
            return &status_rows[i];
        }
        if (status_rows[i].status == BK_EINTERNAL) {
            internal = &status_rows[i];
        }
    }
    return internal;
}

const BkStatusInfo *
BkStatus_Table(int *count)
{
    *count = STATUS_ROW_COUNT;
    return status_rows;
}

const char *
BkOutcome_Name(BkOutcome outcome)
{
    switch (outcome) {
    case BK_OUTCOME_DONE:
        return "done";
    case BK_OUTCOME_NOT_RUN:
        return "not run";
    case BK_OUTCOME_UNKNOWN:
        return "outcome unknown";
    case BK_OUTCOME_FAILED:
        return "failed";
    case BK_OUTCOME_NONE:
        break;
    }
    return "none";
}

BkStatus
BkErr_Set(BkStatus status, const char *fmt, ...)
{
    va_list args;

    va_start(args, fmt);
    vsnprintf(last_message, sizeof(last_message), fmt, args);
    va_end(args);
    return status;
}

const char *
BkErr_Last(void)
{
    return last_message;
}
