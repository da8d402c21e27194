#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "overview.h"
#include "output.h"
#include "roll.h"

enum {
    POLL_PERIOD_MS = 500,
    LINE_BYTES = 160
};

/* The progress of the roll, as read at one time. */
typedef struct Snapshot {
    bool platform_responded;
    BkProgressRow progress;
    BkDaemonList daemons;
} Snapshot;

static void
read_snapshot(BkCtl *ctl, Snapshot *snapshot)
{
    *snapshot = (Snapshot){0};
    snapshot->platform_responded =
        BkCtl_ReadProgress(ctl, &snapshot->progress) == BK_OK;
    BkCtl_FetchDaemonStates(ctl, &snapshot->daemons);
}

static void
clear_snapshot(Snapshot *snapshot)
{
    BkProgressRow_Clear(&snapshot->progress);
    BkDaemonList_Clear(&snapshot->daemons);
}

static void
format_progress(const BkRoll *roll, const Snapshot *snapshot, char *line)
{
    const BkProgressRow *progress = &snapshot->progress;
    uint64_t version = roll->row.version;
    int items = roll->bundle->item_count;
    int active_count = BkDaemonList_CountActive(&snapshot->daemons, version);
    int len = snprintf(line, LINE_BYTES, "in force at %d of %d daemons; ",
                       active_count, snapshot->daemons.count);
    char *out = line + len;
    size_t size = LINE_BYTES - (size_t)len;

    if (!snapshot->platform_responded) {
        snprintf(out, size,
                 "the platform does not answer; the roll remains "
                 "accepted");
    }
    else if (progress->version < version) {
        snprintf(out, size, "the planner has not started");
    }
    else {
        snprintf(out, size, "%d of %d items ready, %d in doubt",
                 items - progress->missing_count, items,
                 progress->doubtful_count);
    }
}

/* Prints the progress if it changed: on a terminal in place of the last line,
 * else as a new line. */
static void
show_progress(const BkCtl *ctl, const char *line, char *last_line)
{
    if (ctl->options.json || strcmp(line, last_line) == 0) {
        return;
    }
    if (isatty(STDOUT_FILENO)) {
        printf("\r\033[K%s", line);
    }
    else {
        printf("%s\n", line);
    }
    fflush(stdout);
    snprintf(last_line, LINE_BYTES, "%s", line);
}

static void
end_progress(const BkCtl *ctl)
{
    if (!ctl->options.json && isatty(STDOUT_FILENO)) {
        printf("\n");
    }
}

/* Sets *done if the roll is complete; fails if another version replaced it. */
static BkStatus
check_progress(const BkRoll *roll, const Snapshot *snapshot, bool *done)
{
    uint64_t version = roll->row.version;

    if (!snapshot->platform_responded ||
        snapshot->progress.version < version) {
        return BK_OK;
    }
    if (snapshot->progress.version > version) {
        return BkErr_Set(BK_ETRYAGAIN,
                         "version %" PRIu64 " is accepted, but version "
                         "%" PRIu64 " came into force before it was rolled",
                         version, snapshot->progress.version);
    }
    *done = snapshot->progress.rolled;
    return BK_OK;
}

BkStatus
BkCtl_WaitRolled(BkCtl *ctl, BkRoll *roll)
{
    BkMs start = BkClock_Now();
    char line[LINE_BYTES];
    char last_line[LINE_BYTES] = "";
    bool done = false;
    BkStatus status = BK_OK;

    while (!done && status == BK_OK) {
        Snapshot snapshot;
        read_snapshot(ctl, &snapshot);
        format_progress(roll, &snapshot, line);
        show_progress(ctl, line, last_line);
        status = check_progress(roll, &snapshot, &done);
        clear_snapshot(&snapshot);
        if (done || status != BK_OK) {
            break;
        }
        if (BkClock_Now() - start >= ctl->conf.max_roll_wait) {
            status = BkErr_Set(BK_ETRYAGAIN,
                               "version %" PRIu64 " is accepted, but not yet "
                               "rolled; bkctl status shows the rest",
                               roll->row.version);
            break;
        }
        BkCtl_Sleep(ctl, POLL_PERIOD_MS);
    }
    end_progress(ctl);
    roll->rolled = done;
    if (done && !ctl->options.json) {
        char duration[BK_CTL_DURATION_SIZE];
        BkCtl_FormatDuration(BkClock_Now() - start, duration);
        printf("rolled: every item of version %" PRIu64 " is ready, after "
               "%s\n",
               roll->row.version, duration);
    }
    return status;
}
