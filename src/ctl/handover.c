#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>

#include "output.h"
#include "show.h"

enum {
    AUDIT_SHOWN = 10,
    MAX_WATCH = 256
};

/* What the incoming shift should look at, as JSON strings. */
typedef json_t Watch;

static void add_watch(Watch *watch, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_watch(Watch *watch, const char *fmt, ...)
{
    char line[MAX_WATCH];
    va_list args;

    va_start(args, fmt);
    vsnprintf(line, sizeof(line), fmt, args);
    va_end(args);
    json_array_append_new(watch, json_string(line));
}

static void
watch_rows(const BkFleet *fleet, Watch *watch)
{
    const BkProgressRow *progress = &fleet->progress;
    uint64_t version = fleet->in_force.version;

    if (fleet->platform != BK_OK) {
        add_watch(watch,
                  "%s: no roll, no drain and no call that may not be "
                  "repeated until it does",
                  fleet->why);
        return;
    }
    if (version == 0) {
        add_watch(watch, "no bundle is in force");
        return;
    }
    if (progress->version < version) {
        add_watch(watch,
                  "the planner has not begun with version %" PRIu64
                  " (it reports version %" PRIu64 ")",
                  version, progress->version);
    }
    else if (!progress->rolled) {
        add_watch(watch,
                  "version %" PRIu64 " is not rolled yet: %d items missing",
                  version, progress->missing_count);
    }
    for (int i = 0; i < progress->doubt_count; i++) {
        add_watch(watch,
                  "the outcome of an order for %s on %s is in doubt; its "
                  "memory stays reserved",
                  progress->doubts[i].instance, progress->doubts[i].upstream);
    }
}

static void
watch_daemons(const BkFleet *fleet, Watch *watch)
{
    for (int i = 0; i < fleet->daemons.count; i++) {
        const BkDaemonState *daemon = &fleet->daemons.list[i];
        if (!daemon->answered) {
            add_watch(watch, "the daemon at %s does not answer", daemon->addr);
            continue;
        }
        if (!daemon->ready) {
            add_watch(watch, "%s is not ready: %s", daemon->name,
                      daemon->reason);
        }
        if (daemon->acting < fleet->in_force.version) {
            add_watch(watch, "%s still acts on version %" PRIu64, daemon->name,
                      daemon->acting);
        }
    }
}

static void
watch_upstreams(const BkFleet *fleet, Watch *watch)
{
    for (int i = 0; i < fleet->upstream_count; i++) {
        const BkSeenUpstream *seen = fleet->upstreams[i];
        if (!seen->usable || seen->leaving || seen->left) {
            add_watch(watch, "upstream %s is %s", seen->name,
                      BkSeenUpstream_State(seen));
        }
    }
    for (int i = 0; i < fleet->drains.count; i++) {
        const BkDrainRow *drain = &fleet->drains.list[i];
        add_watch(watch, "%s is drained (%s); bkctl undrain %s ends it",
                  drain->upstream, drain->why, drain->upstream);
    }
}

static Watch *
list_watch(const BkFleet *fleet)
{
    Watch *watch = json_array();

    watch_rows(fleet, watch);
    watch_daemons(fleet, watch);
    watch_upstreams(fleet, watch);
    return watch;
}

static void
format_next(const BkFleet *fleet, char *out, size_t size)
{
    if (fleet->platform != BK_OK) {
        snprintf(out, size,
                 "bkctl handover (again, once all rows can be read)");
        return;
    }
    snprintf(out, size,
             "bkctl bundle roll FILE --replaces %" PRIu64 " --why TEXT",
             fleet->in_force.version);
}

static void
print_page(const BkFleet *fleet, const Watch *watch, const char *next)
{
    char at[BK_CTL_TIME];
    size_t index;
    json_t *line;

    BkClock_Format(BkClock_Wall(), at, sizeof(at));
    printf("HANDOVER at %s\n\nIn force\n", at);
    BkCtl_PrintInForce(fleet);
    BkCtl_PrintProgress(fleet);
    BkCtl_PrintDaemons(fleet);
    BkCtl_PrintDrains(fleet);
    printf("\nWho did what and why, the last %d  [rows audit]\n",
           fleet->audit.count);
    BkCtl_PrintAudit(&fleet->audit);
    printf("\nWhat to watch\n");
    json_array_foreach(watch, index, line)
    {
        printf("  - %s\n", json_string_value(line));
    }
    if (json_array_size(watch) == 0) {
        printf("  nothing\n");
    }
    printf("\nThe next roll\n  %s\n", next);
}

BkStatus
BkCtl_Handover(BkCtl *ctl, char **words)
{
    BkFleet fleet;
    char next[MAX_WATCH];

    (void)words;
    BkCtl_LookAround(ctl, AUDIT_SHOWN, &fleet);
    Watch *watch = list_watch(&fleet);
    format_next(&fleet, next, sizeof(next));
    if (ctl->options.json) {
        json_t *page = BkCtl_FleetJson(&fleet);
        json_object_set_new(page, "audit", BkCtl_AuditJson(&fleet.audit));
        json_object_set(page, "watch", watch);
        json_object_set_new(page, "next", json_string(next));
        BkCtl_PrintJson(page);
    }
    else {
        print_page(&fleet, watch, next);
    }
    json_decref(watch);
    BkStatus status = BkCtl_FleetStatus(&fleet);
    BkFleet_Clear(&fleet);
    return status;
}
