#include "fleet.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    MAX_DRAINS = 500
};

static char *
dup_member(json_t *object, const char *member)
{
    const char *text = json_string_value(json_object_get(object, member));

    return BkStr_Dup(BkStr_FromC(text));
}

static int64_t
number_member(json_t *object, const char *member)
{
    return json_integer_value(json_object_get(object, member));
}

static bool
bool_member(json_t *object, const char *member)
{
    return json_is_true(json_object_get(object, member));
}

static bool
is_service(json_t *object)
{
    const char *kind = json_string_value(json_object_get(object, "kind"));

    return kind != NULL && strcmp(kind, "service") == 0;
}

static void
take_upstream(BkSeenUpstream *out, json_t *object)
{
    *out = (BkSeenUpstream){
        .name = dup_member(object, "name"),
        .domain = dup_member(object, "domain"),
        .service = is_service(object),
        .usable = bool_member(object, "usable"),
        .leaving = bool_member(object, "leaving"),
        .left = bool_member(object, "left"),
        .ready = (int)json_array_size(json_object_get(object, "ready")),
        .seen_ms = number_member(object, "seen_ms"),
        .running = (int)number_member(object, "running"),
        .waiting = (int)number_member(object, "waiting"),
    };
}

static void
take_status(BkDaemonState *daemon, BkStr text)
{
    size_t index;
    json_t *item;
    json_t *object = json_loadb(text.ptr, text.len, 0, NULL);

    daemon->answered = json_is_object(object);
    if (!daemon->answered) {
        json_decref(object);
        return;
    }
    daemon->name = dup_member(object, "daemon");
    daemon->role = dup_member(object, "role");
    daemon->reason = dup_member(object, "reason");
    daemon->acting = (uint64_t)number_member(object, "acting");
    daemon->highest = (uint64_t)number_member(object, "highest");
    daemon->current = bool_member(object, "current");
    daemon->ready = bool_member(object, "ready");
    json_t *upstreams = json_object_get(object, "upstreams");
    daemon->upstreams =
        BkMem_New(json_array_size(upstreams), sizeof(BkSeenUpstream));
    json_array_foreach(upstreams, index, item)
    {
        take_upstream(&daemon->upstreams[daemon->upstream_count++], item);
    }
    json_decref(object);
}

void
BkCtl_AskStatus(BkCtl *ctl, BkDaemonList *daemons)
{
    BkCtlAnswers answers;

    BkCtl_AskDaemons(ctl, "GET", "/ops/status", BK_STR(""), &answers);
    daemons->list = BkMem_New((size_t)answers.count, sizeof(BkDaemonState));
    daemons->count = answers.count;
    for (int i = 0; i < answers.count; i++) {
        BkCtlAnswer *answer = &answers.list[i];
        daemons->list[i].addr = BkStr_Dup(BkStr_FromC(answer->addr));
        if (answer->status == BK_OK) {
            take_status(&daemons->list[i], BkBuf_Str(&answer->body));
        }
    }
    BkCtlAnswers_Clear(&answers);
}

int
BkDaemonList_CountActing(const BkDaemonList *daemons, uint64_t version)
{
    int acting = 0;

    for (int i = 0; i < daemons->count; i++) {
        acting +=
            daemons->list[i].answered && daemons->list[i].acting >= version;
    }
    return acting;
}

uint64_t
BkDaemonList_HighestActing(const BkDaemonList *daemons)
{
    uint64_t highest = 0;

    for (int i = 0; i < daemons->count; i++) {
        if (daemons->list[i].acting > highest) {
            highest = daemons->list[i].acting;
        }
    }
    return highest;
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
    BkStatus status =
        BkCtl_List(ctl, BK_STR("drain"), BK_STR(""), MAX_DRAINS, &rows);

    if (status == BK_OK) {
        drains->list = BkMem_New((size_t)rows.count, sizeof(BkDrainRow));
    }
    for (int i = 0; i < rows.count && status == BK_OK; i++) {
        status =
            BkDrainRow_Decode(&drains->list[drains->count++], &rows.rows[i]);
    }
    BkCtlRows_Clear(&rows);
    return status;
}

BkStatus
BkCtl_ListLastAudit(BkCtl *ctl, int most, BkAuditList *list)
{
    uint64_t next;
    uint64_t row_version;
    BkStatus status = BkCtl_ReadNextAudit(ctl, &next, &row_version);

    *list = (BkAuditList){0};
    if (status != BK_OK) {
        return status;
    }
    uint64_t first = next > (uint64_t)most ? next - (uint64_t)most : 1;
    return BkCtl_ListAudit(ctl, first, most, list);
}

static BkStatus
read_rows(BkCtl *ctl, int audit, BkFleet *fleet)
{
    BkStatus status = BkCtl_ReadInForce(ctl, &fleet->in_force);

    if (status == BK_OK) {
        status = BkCtl_ReadProgress(ctl, &fleet->progress);
    }
    if (status == BK_OK) {
        status = BkCtl_ReadTerm(ctl, &fleet->term);
    }
    if (status == BK_OK) {
        status = read_drains(ctl, &fleet->drains);
    }
    if (status == BK_OK && audit > 0) {
        status = BkCtl_ListLastAudit(ctl, audit, &fleet->audit);
    }
    return status;
}

static int
find_seen(const BkFleet *fleet, const char *name)
{
    for (int i = 0; i < fleet->upstream_count; i++) {
        if (strcmp(fleet->upstreams[i]->name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static bool
is_fresher(const BkSeenUpstream *a, const BkSeenUpstream *b)
{
    return a->seen_ms >= 0 && (b->seen_ms < 0 || a->seen_ms < b->seen_ms);
}

static int
compare_seen(const void *a, const void *b)
{
    const BkSeenUpstream *left = *(BkSeenUpstream *const *)a;
    const BkSeenUpstream *right = *(BkSeenUpstream *const *)b;

    return strcmp(left->name, right->name);
}

/* the freshest word on each upstream; a daemon that lags tells of old ones */
static void
merge_upstreams(BkFleet *fleet)
{
    int room = 0;

    for (int d = 0; d < fleet->daemons.count; d++) {
        room += fleet->daemons.list[d].upstream_count;
    }
    fleet->upstreams = BkMem_New((size_t)room, sizeof(BkSeenUpstream *));
    for (int d = 0; d < fleet->daemons.count; d++) {
        BkDaemonState *daemon = &fleet->daemons.list[d];
        for (int u = 0; u < daemon->upstream_count; u++) {
            BkSeenUpstream *seen = &daemon->upstreams[u];
            int known = find_seen(fleet, seen->name);
            if (known < 0) {
                fleet->upstreams[fleet->upstream_count++] = seen;
            }
            else if (is_fresher(seen, fleet->upstreams[known])) {
                fleet->upstreams[known] = seen;
            }
        }
    }
    qsort(fleet->upstreams, (size_t)fleet->upstream_count,
          sizeof(BkSeenUpstream *), compare_seen);
}

void
BkCtl_LookAround(BkCtl *ctl, int audit, BkFleet *fleet)
{
    *fleet = (BkFleet){0};
    fleet->platform = read_rows(ctl, audit, fleet);
    if (fleet->platform != BK_OK) {
        snprintf(fleet->why, sizeof(fleet->why), "%s", BkErr_Last());
    }
    BkCtl_AskStatus(ctl, &fleet->daemons);
    merge_upstreams(fleet);
}

void
BkFleet_Clear(BkFleet *fleet)
{
    BkInForceRow_Clear(&fleet->in_force);
    BkProgressRow_Clear(&fleet->progress);
    BkTermRow_Clear(&fleet->term);
    for (int i = 0; i < fleet->drains.count; i++) {
        BkDrainRow_Clear(&fleet->drains.list[i]);
    }
    free(fleet->drains.list);
    BkAuditList_Clear(&fleet->audit);
    free(fleet->upstreams);
    BkDaemonList_Clear(&fleet->daemons);
    *fleet = (BkFleet){0};
}

const BkDrainRow *
BkFleet_FindDrain(const BkFleet *fleet, const char *name)
{
    for (int i = 0; i < fleet->drains.count; i++) {
        if (strcmp(fleet->drains.list[i].upstream, name) == 0) {
            return &fleet->drains.list[i];
        }
    }
    return NULL;
}

const char *
BkSeenUpstream_State(const BkSeenUpstream *upstream)
{
    if (upstream->seen_ms < 0) {
        return "not seen";
    }
    if (upstream->leaving) {
        return "leaving";
    }
    if (upstream->left) {
        return "gone";
    }
    return upstream->usable ? "usable" : "not usable";
}
