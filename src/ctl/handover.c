#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>

#include "bk/base/utf8.h"
#include "output.h"
#include "show.h"

enum {
    AUDIT_ENTRIES = 10,
    LINE_BYTES = 256
};

/* What the incoming shift should watch: a JSON array of strings. */
typedef json_t WarningList;

static void add_warning(WarningList *warnings, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_warning(WarningList *warnings, const char *fmt, ...)
{
    char line[LINE_BYTES];
    va_list args;

    va_start(args, fmt);
    vsnprintf(line, sizeof(line), fmt, args);
    va_end(args);
    json_array_append_new(warnings, BkUtf8_Json(line));
}

static void
warn_about_rows(const BkCtlOverview *overview, WarningList *warnings)
{
    const BkProgressRow *progress = &overview->progress;
    uint64_t version = overview->in_force.version;

    if (overview->platform_status != BK_OK) {
        add_warning(warnings,
                    "%s: no rolls, drains and non-repeatable requests until "
                    "this is resolved",
                    overview->platform_error);
        return;
    }
    if (version == 0) {
        add_warning(warnings, "no bundle is in force");
        return;
    }
    if (progress->version < version) {
        add_warning(warnings,
                    "the planner has not started version %" PRIu64
                    " (it reports version %" PRIu64 ")",
                    version, progress->version);
    }
    else if (!progress->rolled) {
        add_warning(warnings,
                    "version %" PRIu64 " is not rolled yet: %d items missing",
                    version, progress->missing_count);
    }
    for (int i = 0; i < progress->doubtful_count; i++) {
        add_warning(warnings,
                    "the outcome of an order for %s on %s is in doubt; its "
                    "memory stays reserved",
                    progress->doubtful[i].instance,
                    progress->doubtful[i].upstream);
    }
}

static void
warn_about_daemons(const BkCtlOverview *overview, WarningList *warnings)
{
    for (int i = 0; i < overview->daemons.count; i++) {
        const BkDaemonState *daemon = &overview->daemons.list[i];
        if (!daemon->responded) {
            add_warning(warnings, "the daemon at %s does not answer",
                        daemon->addr);
            continue;
        }
        if (!daemon->ready) {
            add_warning(warnings, "%s is not ready: %s", daemon->name,
                        daemon->reason);
        }
        if (daemon->active_version < overview->in_force.version) {
            add_warning(warnings, "%s still acts on version %" PRIu64,
                        daemon->name, daemon->active_version);
        }
    }
}

static void
warn_about_upstreams(const BkCtlOverview *overview, WarningList *warnings)
{
    for (int i = 0; i < overview->upstream_count; i++) {
        const BkCtlUpstream *upstream = overview->upstreams[i];
        if (!upstream->usable || upstream->leaving || upstream->excluded) {
            add_warning(warnings, "upstream %s is %s", upstream->name,
                        BkCtlUpstream_State(upstream));
        }
    }
    for (int i = 0; i < overview->drains.count; i++) {
        const BkDrainRow *drain = &overview->drains.list[i];
        add_warning(warnings, "%s is drained (%s); bkctl undrain %s ends it",
                    drain->upstream, drain->why, drain->upstream);
    }
}

static WarningList *
collect_warnings(const BkCtlOverview *overview)
{
    WarningList *warnings = json_array();

    warn_about_rows(overview, warnings);
    warn_about_daemons(overview, warnings);
    warn_about_upstreams(overview, warnings);
    return warnings;
}

/* Formats the command for the next roll, or bkctl handover while the rows
 * cannot be read. */
static void
format_next_command(const BkCtlOverview *overview, char *out, size_t size)
{
    if (overview->platform_status != BK_OK) {
        snprintf(out, size,
                 "bkctl handover (again, once all rows can be read)");
        return;
    }
    snprintf(out, size,
             "bkctl bundle roll FILE --replaces %" PRIu64 " --why TEXT",
             overview->in_force.version);
}

static void
print_page(const BkCtlOverview *overview, const WarningList *warnings,
           const char *next_command)
{
    char at[BK_CTL_TIME_SIZE];
    size_t index;
    json_t *line;

    BkClock_Format(BkClock_Wall(), at, sizeof(at));
    printf("HANDOVER at %s\n\nIn force\n", at);
    BkCtl_PrintInForce(overview);
    BkCtl_PrintProgress(overview);
    BkCtl_PrintDaemons(overview);
    BkCtl_PrintDrains(overview);
    printf("\nWho did what and why, the last %d  [rows audit]\n",
           overview->audit.count);
    BkCtl_PrintAudit(&overview->audit);
    printf("\nWhat to watch\n");
    json_array_foreach(warnings, index, line)
    {
        printf("  - %s\n", json_string_value(line));
    }
    if (json_array_size(warnings) == 0) {
        printf("  nothing\n");
    }
    printf("\nThe next roll\n  %s\n", next_command);
}

BkStatus
BkCtl_Handover(BkCtl *ctl, char **words)
{
    BkCtlOverview overview;
    char next_command[LINE_BYTES];

    (void)words;
    BkCtl_ReadOverview(ctl, AUDIT_ENTRIES, &overview);
    WarningList *warnings = collect_warnings(&overview);
    format_next_command(&overview, next_command, sizeof(next_command));
    if (ctl->options.json) {
        json_t *page = BkCtl_OverviewJson(&overview);
        json_object_set_new(page, "audit", BkCtl_AuditJson(&overview.audit));
        json_object_set(page, "watch", warnings);
        json_object_set_new(page, "next", BkUtf8_Json(next_command));
        BkCtl_PrintJson(page);
    }
    else {
        print_page(&overview, warnings, next_command);
    }
    json_decref(warnings);
    BkStatus status = BkCtl_OverviewStatus(&overview);
    BkCtlOverview_Clear(&overview);
    return status;
}
