#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "overview.h"
#include "output.h"
#include "show.h"

void
BkCtl_PrintInForce(const BkCtlOverview *overview)
{
    const BkInForceRow *row = &overview->in_force;
    char duration[BK_CTL_DURATION_SIZE];

    if (overview->platform_status != BK_OK && row->version == 0) {
        printf("bundle     %s; the highest version that a daemon acts on is "
               "%" PRIu64 "  [daemons]\n",
               overview->platform_error,
               BkDaemonList_HighestActive(&overview->daemons));
        return;
    }
    if (row->version == 0) {
        printf("bundle     none in force yet  [row bundle/in-force]\n");
        return;
    }
    BkCtl_FormatDuration(row->age, duration);
    printf("bundle     version %" PRIu64 ": %s%s%s%s, rolled by %s %s ago  "
           "[row bundle/in-force]\n",
           row->version, row->name, row->note[0] != '\0' ? " (" : "",
           row->note, row->note[0] != '\0' ? ")" : "", row->by, duration);
}

void
BkCtl_PrintProgress(const BkCtlOverview *overview)
{
    const BkProgressRow *progress = &overview->progress;

    if (overview->platform_status != BK_OK && progress->row_version == 0) {
        return;
    }
    if (progress->row_version == 0) {
        printf("roll       no planner has reported yet  "
               "[row planner/progress]\n");
        return;
    }
    printf("roll       version %" PRIu64 " %s: %d items missing, %d in doubt, "
           "%lld moves  [row planner/progress]\n",
           progress->version, progress->rolled ? "is rolled" : "is rolling",
           progress->missing_count, progress->doubtful_count,
           (long long)progress->moves);
    for (int i = 0; i < progress->missing_count; i++) {
        printf("  missing  %s\n", progress->missing[i]);
    }
    for (int i = 0; i < progress->doubtful_count; i++) {
        printf("  in doubt %s on %s\n", progress->doubtful[i].instance,
               progress->doubtful[i].upstream);
    }
}

static void
print_planner(const BkCtlOverview *overview)
{
    if (overview->term.row_version != 0) {
        printf("planner    %s, term %" PRIu64 "  [row planner/term]\n",
               overview->term.holder, overview->term.term);
    }
}

void
BkCtl_PrintDaemons(const BkCtlOverview *overview)
{
    const BkDaemonList *daemons = &overview->daemons;
    uint64_t version = overview->in_force.version;

    if (version != 0) {
        printf("daemons    version %" PRIu64 " is in force at %d of %d  "
               "[daemons]\n",
               version, BkDaemonList_CountActive(daemons, version),
               daemons->count);
    }
    else {
        printf("daemons    %d in the settings  [daemons]\n", daemons->count);
    }
    for (int i = 0; i < daemons->count; i++) {
        const BkDaemonState *daemon = &daemons->list[i];
        if (!daemon->responded) {
            printf("  %-16s does not answer\n", daemon->addr);
            continue;
        }
        printf("  %-16s %-8s acts on %" PRIu64 ", %s, %s%s\n", daemon->name,
               daemon->role, daemon->active_version,
               daemon->current ? "current" : "not current",
               daemon->ready ? "ready" : "not ready: ",
               daemon->ready ? "" : daemon->reason);
    }
}

void
BkCtl_PrintDrains(const BkCtlOverview *overview)
{
    if (overview->platform_status != BK_OK) {
        return;
    }
    if (overview->drains.count == 0) {
        printf("drained    none  [rows drain]\n");
        return;
    }
    printf("drained    %d  [rows drain]\n", overview->drains.count);
    for (int i = 0; i < overview->drains.count; i++) {
        const BkDrainRow *drain = &overview->drains.list[i];
        char duration[BK_CTL_DURATION_SIZE];
        BkCtl_FormatDuration(drain->age, duration);
        printf("  %-16s by %s %s ago: %s\n", drain->upstream, drain->by,
               duration, drain->why);
    }
}

static void
print_upstream(const BkCtlOverview *overview, const BkCtlUpstream *upstream)
{
    char duration[BK_CTL_DURATION_SIZE];

    BkCtl_FormatDuration(upstream->seen_age, duration);
    printf("  %-16s %-8s %-8s %-10s ", upstream->name,
           upstream->is_service ? "service" : "engine", upstream->domain,
           BkCtlUpstream_State(upstream));
    if (!upstream->is_service) {
        printf("%d instances ready, ", upstream->ready_instances);
    }
    printf("%d running, %d waiting%s, seen %s%s\n", upstream->running,
           upstream->waiting,
           BkCtlOverview_FindDrain(overview, upstream->name) != NULL
               ? ", drained"
               : "",
           duration, upstream->seen_age < 0 ? "" : " ago");
}

static void
print_upstreams(const BkCtlOverview *overview)
{
    printf("upstreams  %d, latest report of any daemon  [daemons]\n",
           overview->upstream_count);
    for (int i = 0; i < overview->upstream_count; i++) {
        print_upstream(overview, overview->upstreams[i]);
    }
}

static json_t *
progress_json(const BkProgressRow *progress)
{
    json_t *missing = json_array();
    json_t *doubtful = json_array();

    if (progress->row_version == 0) {
        json_decref(missing);
        json_decref(doubtful);
        return json_null();
    }
    for (int i = 0; i < progress->missing_count; i++) {
        json_array_append_new(missing, json_string(progress->missing[i]));
    }
    for (int i = 0; i < progress->doubtful_count; i++) {
        json_array_append_new(
            doubtful,
            json_pack("{s:s, s:s}", "upstream", progress->doubtful[i].upstream,
                      "instance", progress->doubtful[i].instance));
    }
    return json_pack("{s:I, s:b, s:o, s:o, s:I, s:I}", "version",
                     (json_int_t)progress->version, "rolled", progress->rolled,
                     "missing", missing, "doubt", doubtful, "moves",
                     (json_int_t)progress->moves, "age_ms",
                     (json_int_t)progress->age);
}

static json_t *
daemons_json(const BkCtlOverview *overview)
{
    json_t *list = json_array();

    for (int i = 0; i < overview->daemons.count; i++) {
        const BkDaemonState *daemon = &overview->daemons.list[i];
        json_t *entry = json_pack("{s:s, s:b}", "addr", daemon->addr,
                                  "answered", daemon->responded);
        if (daemon->responded) {
            json_object_update_new(
                entry,
                json_pack("{s:s, s:s, s:I, s:I, s:b, s:b, s:s}", "daemon",
                          daemon->name, "role", daemon->role, "acting",
                          (json_int_t)daemon->active_version, "highest",
                          (json_int_t)daemon->highest_version, "current",
                          daemon->current, "ready", daemon->ready, "reason",
                          daemon->reason));
        }
        json_array_append_new(list, entry);
    }
    return list;
}

static json_t *
upstreams_json(const BkCtlOverview *overview)
{
    json_t *list = json_array();

    for (int i = 0; i < overview->upstream_count; i++) {
        const BkCtlUpstream *upstream = overview->upstreams[i];
        json_array_append_new(
            list,
            json_pack(
                "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:b, s:I}", "name",
                upstream->name, "kind",
                upstream->is_service ? "service" : "engine", "domain",
                upstream->domain, "state", BkCtlUpstream_State(upstream),
                "ready", upstream->ready_instances, "running",
                upstream->running, "waiting", upstream->waiting, "drained",
                BkCtlOverview_FindDrain(overview, upstream->name) != NULL,
                "seen_ms", (json_int_t)upstream->seen_age));
    }
    return list;
}

static json_t *
drains_json(const BkCtlOverview *overview)
{
    json_t *list = json_array();

    for (int i = 0; i < overview->drains.count; i++) {
        const BkDrainRow *drain = &overview->drains.list[i];
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:I}", "upstream",
                            drain->upstream, "by", drain->by, "why",
                            drain->why, "age_ms", (json_int_t)drain->age));
    }
    return list;
}

json_t *
BkCtl_OverviewJson(const BkCtlOverview *overview)
{
    const BkInForceRow *row = &overview->in_force;
    json_t *bundle = json_null();

    if (row->version != 0) {
        bundle = json_pack("{s:I, s:s, s:s, s:s, s:s, s:s, s:I}", "version",
                           (json_int_t)row->version, "digest", row->digest,
                           "signer", row->signer, "name", row->name, "note",
                           row->note, "by", row->by, "age_ms",
                           (json_int_t)row->age);
    }
    return json_pack(
        "{s:b, s:o, s:o, s:I, s:s, s:o, s:i, s:o, s:o}", "whole",
        overview->platform_status == BK_OK, "bundle", bundle, "roll",
        progress_json(&overview->progress), "term",
        (json_int_t)overview->term.term, "planner",
        overview->term.holder == NULL ? "" : overview->term.holder, "daemons",
        daemons_json(overview), "in_force_at",
        BkDaemonList_CountActive(&overview->daemons, row->version),
        "upstreams", upstreams_json(overview), "drained",
        drains_json(overview));
}

/* Output without the platform's part is printed, but the command fails. */
BkStatus
BkCtl_OverviewStatus(const BkCtlOverview *overview)
{
    if (overview->platform_status == BK_OK) {
        return BK_OK;
    }
    return BkErr_Set(overview->platform_status, "%s; the output is incomplete",
                     overview->platform_error);
}

BkStatus
BkCtl_ShowStatus(BkCtl *ctl, char **words)
{
    BkCtlOverview overview;

    (void)words;
    BkCtl_ReadOverview(ctl, 0, &overview);
    if (ctl->options.json) {
        BkCtl_PrintJson(BkCtl_OverviewJson(&overview));
    }
    else {
        BkCtl_PrintInForce(&overview);
        BkCtl_PrintProgress(&overview);
        print_planner(&overview);
        BkCtl_PrintDaemons(&overview);
        print_upstreams(&overview);
        BkCtl_PrintDrains(&overview);
    }
    BkStatus status = BkCtl_OverviewStatus(&overview);
    BkCtlOverview_Clear(&overview);
    return status;
}
