#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "fleet.h"
#include "output.h"
#include "show.h"

void
BkCtl_PrintInForce(const BkFleet *fleet)
{
    const BkInForceRow *row = &fleet->in_force;
    char span[BK_CTL_SPAN];

    if (fleet->platform != BK_OK && row->version == 0) {
        printf("bundle     %s; the highest version that a daemon acts on is "
               "%" PRIu64 "  [daemons]\n",
               fleet->why, BkDaemonList_HighestActing(&fleet->daemons));
        return;
    }
    if (row->version == 0) {
        printf("bundle     none in force yet  [row bundle/in-force]\n");
        return;
    }
    BkCtl_FormatSpan(row->age, span);
    printf("bundle     version %" PRIu64 ": %s%s%s%s, rolled by %s %s ago  "
           "[row bundle/in-force]\n",
           row->version, row->name, row->note[0] != '\0' ? " (" : "",
           row->note, row->note[0] != '\0' ? ")" : "", row->by, span);
}

void
BkCtl_PrintProgress(const BkFleet *fleet)
{
    const BkProgressRow *progress = &fleet->progress;

    if (fleet->platform != BK_OK && progress->row_version == 0) {
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
           progress->missing_count, progress->doubt_count,
           (long long)progress->moves);
    for (int i = 0; i < progress->missing_count; i++) {
        printf("  missing  %s\n", progress->missing[i]);
    }
    for (int i = 0; i < progress->doubt_count; i++) {
        printf("  in doubt %s on %s\n", progress->doubts[i].instance,
               progress->doubts[i].upstream);
    }
}

static void
print_planner(const BkFleet *fleet)
{
    if (fleet->term.row_version != 0) {
        printf("planner    %s, term %" PRIu64 "  [row planner/term]\n",
               fleet->term.holder, fleet->term.term);
    }
}

void
BkCtl_PrintDaemons(const BkFleet *fleet)
{
    const BkDaemonList *daemons = &fleet->daemons;
    uint64_t version = fleet->in_force.version;

    if (version != 0) {
        printf("daemons    version %" PRIu64 " is in force at %d of %d  "
               "[daemons]\n",
               version, BkDaemonList_CountActing(daemons, version),
               daemons->count);
    }
    else {
        printf("daemons    %d in the settings  [daemons]\n", daemons->count);
    }
    for (int i = 0; i < daemons->count; i++) {
        const BkDaemonState *daemon = &daemons->list[i];
        if (!daemon->answered) {
            printf("  %-16s does not answer\n", daemon->addr);
            continue;
        }
        printf("  %-16s %-8s acts on %" PRIu64 ", %s, %s%s\n", daemon->name,
               daemon->role, daemon->acting,
               daemon->current ? "current" : "not current",
               daemon->ready ? "ready" : "not ready: ",
               daemon->ready ? "" : daemon->reason);
    }
}

void
BkCtl_PrintDrains(const BkFleet *fleet)
{
    if (fleet->platform != BK_OK) {
        return;
    }
    if (fleet->drains.count == 0) {
        printf("drained    none  [rows drain]\n");
        return;
    }
    printf("drained    %d  [rows drain]\n", fleet->drains.count);
    for (int i = 0; i < fleet->drains.count; i++) {
        const BkDrainRow *drain = &fleet->drains.list[i];
        char span[BK_CTL_SPAN];
        BkCtl_FormatSpan(drain->age, span);
        printf("  %-16s by %s %s ago: %s\n", drain->upstream, drain->by, span,
               drain->why);
    }
}

static void
print_upstream(const BkFleet *fleet, const BkSeenUpstream *seen)
{
    char span[BK_CTL_SPAN];

    BkCtl_FormatSpan(seen->seen_ms, span);
    printf("  %-16s %-8s %-8s %-10s ", seen->name,
           seen->service ? "service" : "engine", seen->domain,
           BkSeenUpstream_State(seen));
    if (!seen->service) {
        printf("%d instances ready, ", seen->ready);
    }
    printf("%d running, %d waiting%s, seen %s%s\n", seen->running,
           seen->waiting,
           BkFleet_FindDrain(fleet, seen->name) != NULL ? ", drained" : "",
           span, seen->seen_ms < 0 ? "" : " ago");
}

static void
print_upstreams(const BkFleet *fleet)
{
    printf("upstreams  %d, the freshest word of any daemon  [daemons]\n",
           fleet->upstream_count);
    for (int i = 0; i < fleet->upstream_count; i++) {
        print_upstream(fleet, fleet->upstreams[i]);
    }
}

static json_t *
progress_json(const BkProgressRow *progress)
{
    json_t *missing = json_array();
    json_t *doubts = json_array();

    if (progress->row_version == 0) {
        json_decref(missing);
        json_decref(doubts);
        return json_null();
    }
    for (int i = 0; i < progress->missing_count; i++) {
        json_array_append_new(missing, json_string(progress->missing[i]));
    }
    for (int i = 0; i < progress->doubt_count; i++) {
        json_array_append_new(doubts, json_pack("{s:s, s:s}", "upstream",
                                                progress->doubts[i].upstream,
                                                "instance",
                                                progress->doubts[i].instance));
    }
    return json_pack("{s:I, s:b, s:o, s:o, s:I, s:I}", "version",
                     (json_int_t)progress->version, "rolled", progress->rolled,
                     "missing", missing, "doubt", doubts, "moves",
                     (json_int_t)progress->moves, "age_ms",
                     (json_int_t)progress->age);
}

static json_t *
daemons_json(const BkFleet *fleet)
{
    json_t *list = json_array();

    for (int i = 0; i < fleet->daemons.count; i++) {
        const BkDaemonState *daemon = &fleet->daemons.list[i];
        json_t *one = json_pack("{s:s, s:b}", "addr", daemon->addr, "answered",
                                daemon->answered);
        if (daemon->answered) {
            json_object_update_new(
                one, json_pack("{s:s, s:s, s:I, s:I, s:b, s:b, s:s}", "daemon",
                               daemon->name, "role", daemon->role, "acting",
                               (json_int_t)daemon->acting, "highest",
                               (json_int_t)daemon->highest, "current",
                               daemon->current, "ready", daemon->ready,
                               "reason", daemon->reason));
        }
        json_array_append_new(list, one);
    }
    return list;
}

static json_t *
upstreams_json(const BkFleet *fleet)
{
    json_t *list = json_array();

    for (int i = 0; i < fleet->upstream_count; i++) {
        const BkSeenUpstream *seen = fleet->upstreams[i];
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:b, s:I}", "name",
                      seen->name, "kind", seen->service ? "service" : "engine",
                      "domain", seen->domain, "state",
                      BkSeenUpstream_State(seen), "ready", seen->ready,
                      "running", seen->running, "waiting", seen->waiting,
                      "drained", BkFleet_FindDrain(fleet, seen->name) != NULL,
                      "seen_ms", (json_int_t)seen->seen_ms));
    }
    return list;
}

static json_t *
drains_json(const BkFleet *fleet)
{
    json_t *list = json_array();

    for (int i = 0; i < fleet->drains.count; i++) {
        const BkDrainRow *drain = &fleet->drains.list[i];
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:I}", "upstream",
                            drain->upstream, "by", drain->by, "why",
                            drain->why, "age_ms", (json_int_t)drain->age));
    }
    return list;
}

json_t *
BkCtl_FleetJson(const BkFleet *fleet)
{
    const BkInForceRow *row = &fleet->in_force;
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
        fleet->platform == BK_OK, "bundle", bundle, "roll",
        progress_json(&fleet->progress), "term", (json_int_t)fleet->term.term,
        "planner", fleet->term.holder == NULL ? "" : fleet->term.holder,
        "daemons", daemons_json(fleet), "in_force_at",
        BkDaemonList_CountActing(&fleet->daemons, row->version), "upstreams",
        upstreams_json(fleet), "drained", drains_json(fleet));
}

/* a page without the platform's part is shown, but is no success */
BkStatus
BkCtl_FleetStatus(const BkFleet *fleet)
{
    if (fleet->platform == BK_OK) {
        return BK_OK;
    }
    return BkErr_Set(fleet->platform, "%s; the page is not whole", fleet->why);
}

BkStatus
BkCtl_ShowStatus(BkCtl *ctl, char **words)
{
    BkFleet fleet;

    (void)words;
    BkCtl_LookAround(ctl, 0, &fleet);
    if (ctl->options.json) {
        BkCtl_PrintJson(BkCtl_FleetJson(&fleet));
    }
    else {
        BkCtl_PrintInForce(&fleet);
        BkCtl_PrintProgress(&fleet);
        print_planner(&fleet);
        BkCtl_PrintDaemons(&fleet);
        print_upstreams(&fleet);
        BkCtl_PrintDrains(&fleet);
    }
    BkStatus status = BkCtl_FleetStatus(&fleet);
    BkFleet_Clear(&fleet);
    return status;
}
