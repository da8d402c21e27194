#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "fleet.h"
#include "output.h"
#include "roll.h"

enum {
    POLL_EVERY = 500, /* ms */
    MAX_LINE = 160
};

/* What one look showed. */
typedef struct Look {
    bool platform; /* it answered */
    BkProgressRow progress;
    BkDaemonList daemons;
} Look;

static void
take_look(BkCtl *ctl, Look *look)
{
    *look = (Look){0};
    look->platform = BkCtl_ReadProgress(ctl, &look->progress) == BK_OK;
    BkCtl_AskStatus(ctl, &look->daemons);
}

static void
clear_look(Look *look)
{
    BkProgressRow_Clear(&look->progress);
    BkDaemonList_Clear(&look->daemons);
}

static void
describe_look(const BkRoll *roll, const Look *look, char *line)
{
    const BkProgressRow *progress = &look->progress;
    uint64_t version = roll->row.version;
    int items = roll->bundle->item_count;
    int acting = BkDaemonList_CountActing(&look->daemons, version);
    int len = snprintf(line, MAX_LINE, "in force at %d of %d daemons; ",
                       acting, look->daemons.count);
    char *rest = line + len;
    size_t room = MAX_LINE - (size_t)len;

    if (!look->platform) {
        snprintf(rest, room,
                 "the platform does not answer, the acceptance "
                 "stands");
    }
    else if (progress->version < version) {
        snprintf(rest, room, "the planner has not begun");
    }
    else {
        snprintf(rest, room, "%d of %d items ready, %d in doubt",
                 items - progress->missing_count, items,
                 progress->doubt_count);
    }
}

/* one line that is rewritten on a terminal, else a line per change */
static void
show_progress(const BkCtl *ctl, const char *line, char *last)
{
    if (ctl->options.json || strcmp(line, last) == 0) {
        return;
    }
    if (isatty(STDOUT_FILENO)) {
        printf("\r\033[K%s", line);
    }
    else {
        printf("%s\n", line);
    }
    fflush(stdout);
    snprintf(last, MAX_LINE, "%s", line);
}

static void
end_progress(const BkCtl *ctl)
{
    if (!ctl->options.json && isatty(STDOUT_FILENO)) {
        printf("\n");
    }
}

static BkStatus
judge_look(const BkRoll *roll, const Look *look, bool *done)
{
    uint64_t version = roll->row.version;

    if (!look->platform || look->progress.version < version) {
        return BK_OK;
    }
    if (look->progress.version > version) {
        return BkErr_Set(BK_ETRYAGAIN,
                         "version %" PRIu64 " is accepted, but version "
                         "%" PRIu64 " came into force before it was rolled",
                         version, look->progress.version);
    }
    *done = look->progress.rolled;
    return BK_OK;
}

BkStatus
BkCtl_WaitRolled(BkCtl *ctl, BkRoll *roll)
{
    BkMs start = BkClock_Now();
    char line[MAX_LINE];
    char last[MAX_LINE] = "";
    bool done = false;
    BkStatus status = BK_OK;

    while (!done && status == BK_OK) {
        Look look;
        take_look(ctl, &look);
        describe_look(roll, &look, line);
        show_progress(ctl, line, last);
        status = judge_look(roll, &look, &done);
        clear_look(&look);
        if (done || status != BK_OK) {
            break;
        }
        if (BkClock_Now() - start >= ctl->conf.wait_most) {
            status = BkErr_Set(BK_ETRYAGAIN,
                               "version %" PRIu64 " is accepted, but not yet "
                               "rolled; bkctl status shows the rest",
                               roll->row.version);
            break;
        }
        BkCtl_Sleep(ctl, POLL_EVERY);
    }
    end_progress(ctl);
    roll->rolled = done;
    if (done && !ctl->options.json) {
        char span[BK_CTL_SPAN];
        BkCtl_FormatSpan(BkClock_Now() - start, span);
        printf("rolled: every item of version %" PRIu64 " is ready, after "
               "%s\n",
               roll->row.version, span);
    }
    return status;
}
