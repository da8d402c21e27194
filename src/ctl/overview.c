#include "overview.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *
dup_member(json_t *object, const char *member)
{
    const char *text = json_string_value(json_object_get(object, member));

    return BkStr_Dup(BkStr_FromC(text));
}

static int64_t
integer_member(json_t *object, const char *member)
{
    return json_integer_value(json_object_get(object, member));
}

static bool
bool_member(json_t *object, const char *member)
{
    return json_is_true(json_object_get(object, member));
}

static bool
is_service_kind(json_t *object)
{
    const char *kind = json_string_value(json_object_get(object, "kind"));

    return kind != NULL && strcmp(kind, "service") == 0;
}

static void
decode_upstream(BkCtlUpstream *out, json_t *object)
{
    *out = (BkCtlUpstream){
        .name = dup_member(object, "name"),
        .domain = dup_member(object, "domain"),
        .is_service = is_service_kind(object),
        .usable = bool_member(object, "usable"),
        .leaving = bool_member(object, "leaving"),
        .excluded = bool_member(object, "left"),
        .ready_instances =
            (int)json_array_size(json_object_get(object, "ready")),
        .seen_age = integer_member(object, "seen_ms"),
        .running = (int)integer_member(object, "running"),
        .waiting = (int)integer_member(object, "waiting"),
    };
}

static void
decode_status(BkDaemonState *daemon, BkStr text)
{
    size_t index;
    json_t *item;
    json_t *object = json_loadb(text.ptr, text.len, 0, NULL);

    daemon->responded = json_is_object(object);
    if (!daemon->responded) {
        json_decref(object);
        return;
    }
    daemon->name = dup_member(object, "daemon");
    daemon->role = dup_member(object, "role");
    daemon->reason = dup_member(object, "reason");
    daemon->active_version = (uint64_t)integer_member(object, "acting");
    daemon->highest_version = (uint64_t)integer_member(object, "highest");
    daemon->current = bool_member(object, "current");
    daemon->ready = bool_member(object, "ready");
    json_t *upstreams = json_object_get(object, "upstreams");
    daemon->upstreams =
        BkMem_New(json_array_size(upstreams), sizeof(BkCtlUpstream));
    json_array_foreach(upstreams, index, item)
    {
        decode_upstream(&daemon->upstreams[daemon->upstream_count++], item);
    }
    json_decref(object);
}

void
BkCtl_FetchDaemonStates(BkCtl *ctl, BkDaemonList *daemons)
{
    BkCtlResponses responses;

    BkCtl_CallDaemons(ctl, ctl->conf.daemons, "GET", "/ops/status", BK_STR(""),
                      &responses);
    daemons->list = BkMem_New((size_t)responses.count, sizeof(BkDaemonState));
    daemons->count = responses.count;
    for (int i = 0; i < responses.count; i++) {
        BkCtlResponse *response = &responses.list[i];
        daemons->list[i].addr = BkStr_Dup(BkStr_FromC(response->addr));
        if (response->status == BK_OK) {
            decode_status(&daemons->list[i], BkBuf_Str(&response->body));
        }
    }
    BkCtlResponses_Clear(&responses);
}

int
BkDaemonList_CountActive(const BkDaemonList *daemons, uint64_t version)
{
    int count = 0;

    for (int i = 0; i < daemons->count; i++) {
        count += daemons->list[i].responded &&
                 daemons->list[i].active_version >= version;
    }
    return count;
}

uint64_t
BkDaemonList_HighestActive(const BkDaemonList *daemons)
{
    uint64_t highest_version = 0;

    for (int i = 0; i < daemons->count; i++) {
        if (daemons->list[i].active_version > highest_version) {
            highest_version = daemons->list[i].active_version;
        }
    }
    return highest_version;
}

void
BkDaemonList_Clear(BkDaemonList *daemons)
{
    for (int i = 0; i < daemons->count; i++) {
        BkDaemonState *daemon = &daemons->list[i];
        for (int u = 0; u < daemon->upstream_count; u++) {
            free(daemon->upstreams[u].name);
            free(daemon->upstreams[u].domain);
        }
        free(daemon->upstreams);
        free(daemon->addr);
        free(daemon->name);
        free(daemon->role);
        free(daemon->reason);
    }
    free(daemons->list);
    *daemons = (BkDaemonList){0};
}

static BkStatus
read_drains(BkCtl *ctl, BkDrainList *drains)
{
    BkCtlRows rows;
    BkStatus status = BkCtl_ListAllRows(ctl, BK_STR("drain"), &rows);

    if (status == BK_OK) {
        drains->list = BkMem_New((size_t)rows.count, sizeof(BkDrainRow));
    }
    for (int i = 0; i < rows.count && status == BK_OK; i++) {
        BkDrainRow *drain = &drains->list[drains->count++];
        if (BkDrainRow_Decode(drain, &rows.rows[i]) != BK_OK) {
            BkDrainRow_SetUnreadable(drain, &rows.rows[i]);
        }
    }
    BkCtlRows_Clear(&rows);
    return status;
}

BkStatus
BkCtl_ListLastAudit(BkCtl *ctl, int max, BkAuditList *list)
{
    uint64_t next;
    uint64_t row_version;
    BkStatus status = BkCtl_ReadNextAudit(ctl, &next, &row_version);

    *list = (BkAuditList){0};
    if (status != BK_OK) {
        return status;
    }
    uint64_t first = next > (uint64_t)max ? next - (uint64_t)max : 1;
    return BkCtl_ListAudit(ctl, first, max, list);
}

static BkStatus
read_rows(BkCtl *ctl, int audit_count, BkCtlOverview *overview)
{
    BkStatus status = BkCtl_ReadInForce(ctl, &overview->in_force);

    if (status == BK_OK) {
        status = BkCtl_ReadProgress(ctl, &overview->progress);
    }
    if (status == BK_OK) {
        status = BkCtl_ReadTerm(ctl, &overview->term);
    }
    if (status == BK_OK) {
        status = read_drains(ctl, &overview->drains);
    }
    if (status == BK_OK && audit_count > 0) {
        status = BkCtl_ListLastAudit(ctl, audit_count, &overview->audit);
    }
    return status;
}

static int
find_upstream(const BkCtlOverview *overview, const char *name)
{
    for (int i = 0; i < overview->upstream_count; i++) {
        if (strcmp(overview->upstreams[i]->name, name) == 0) {
            return i;
        }
    }
    return -1;
}

/* Whether report a is newer than report b. */
static bool
is_newer(const BkCtlUpstream *a, const BkCtlUpstream *b)
{
    return a->seen_age >= 0 && (b->seen_age < 0 || a->seen_age < b->seen_age);
}

static int
compare_names(const void *a, const void *b)
{
    const BkCtlUpstream *left = *(BkCtlUpstream *const *)a;
    const BkCtlUpstream *right = *(BkCtlUpstream *const *)b;

    return strcmp(left->name, right->name);
}

/* Selects the latest report on each upstream. The lists of the daemons may
 * differ, since a daemon that uses an older bundle reports the upstreams of
 * that bundle. */
static void
merge_upstreams(BkCtlOverview *overview)
{
    int capacity = 0;

    for (int d = 0; d < overview->daemons.count; d++) {
        capacity += overview->daemons.list[d].upstream_count;
    }
    overview->upstreams = BkMem_New((size_t)capacity, sizeof(BkCtlUpstream *));
    for (int d = 0; d < overview->daemons.count; d++) {
        BkDaemonState *daemon = &overview->daemons.list[d];
        for (int u = 0; u < daemon->upstream_count; u++) {
            BkCtlUpstream *upstream = &daemon->upstreams[u];
            int index = find_upstream(overview, upstream->name);
            if (index < 0) {
                overview->upstreams[overview->upstream_count++] = upstream;
            }
            else if (is_newer(upstream, overview->upstreams[index])) {
                overview->upstreams[index] = upstream;
            }
        }
    }
    qsort(overview->upstreams, (size_t)overview->upstream_count,
          sizeof(BkCtlUpstream *), compare_names);
}

void
BkCtl_ReadOverview(BkCtl *ctl, int audit_count, BkCtlOverview *overview)
{
    *overview = (BkCtlOverview){0};
    overview->platform_status = read_rows(ctl, audit_count, overview);
    if (overview->platform_status != BK_OK) {
        snprintf(overview->platform_error, sizeof(overview->platform_error),
                 "%s", BkErr_Last());
    }
    BkCtl_FetchDaemonStates(ctl, &overview->daemons);
    merge_upstreams(overview);
}

void
BkCtlOverview_Clear(BkCtlOverview *overview)
{
    BkInForceRow_Clear(&overview->in_force);
    BkProgressRow_Clear(&overview->progress);
    BkTermRow_Clear(&overview->term);
    for (int i = 0; i < overview->drains.count; i++) {
        BkDrainRow_Clear(&overview->drains.list[i]);
    }
    free(overview->drains.list);
    BkAuditList_Clear(&overview->audit);
    free(overview->upstreams);
    BkDaemonList_Clear(&overview->daemons);
    *overview = (BkCtlOverview){0};
}

const BkDrainRow *
BkCtlOverview_FindDrain(const BkCtlOverview *overview, const char *name)
{
    for (int i = 0; i < overview->drains.count; i++) {
        if (strcmp(overview->drains.list[i].upstream, name) == 0) {
            return &overview->drains.list[i];
        }
    }
    return NULL;
}

const char *
BkCtlUpstream_State(const BkCtlUpstream *upstream)
{
    if (upstream->seen_age < 0) {
        return "not seen";
    }
    if (upstream->leaving) {
        return "leaving";
    }
    if (upstream->excluded) {
        return "gone";
    }
    return upstream->usable ? "usable" : "not usable";
}
