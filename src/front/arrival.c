#include "detour.h"
#include "origins.h"
#include "planner.h"
#include "quarantine.h"
#include "request.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <xxhash.h>

#include "bk/base/log.h"

enum {
    /* an output token, decoded in a batch, takes as much of an engine's time
       as this many prompt tokens */
    OUTPUT_WEIGHT = 4,
    /* ms; a response that is sent just at the caller's deadline is too late */
    DEADLINE_MARGIN = 15,
    /* ms, if neither the route nor the caller sets one */
    DEFAULT_TIMEOUT = 60000
};

static void
build_request_head(FrRequest *request, const BkH1Head *head)
{
    BkStr connection = BkH1Head_Find(head, "Connection");

    BkBuf_Append(&request->head, head->method);
    BkBuf_Append(&request->head, BK_STR(" "));
    BkBuf_Append(&request->head, head->target);
    BkBuf_Append(&request->head, BK_STR(" HTTP/1.1\r\n"));
    for (int i = 0; i < head->count; i++) {
        BkStr name = head->fields[i].name;
        if (BkAdapter_ForwardsField(name) && !FrDetour_IsField(name) &&
            !BkH1_HasToken(connection, name)) {
            BkH1_AppendField(&request->head, name, head->fields[i].value);
        }
    }
    if (head->chunked || head->length >= 0) {
        BkBuf_Printf(&request->head, "Content-Length: %zu\r\n",
                     request->body.len);
    }
}

/* Hashes all parts but the last one, which belongs to this request or session
   alone. */
static uint64_t
hash_shared_parts(const BkRequestFields *fields)
{
    uint64_t hash = 0;

    for (int i = 0; i + 1 < fields->part_count; i++) {
        hash =
            XXH64(&fields->parts[i].id, sizeof(fields->parts[i].id), hash + 1);
    }
    return hash;
}

static void
fill_query(FrRequest *request, const BkSiteRoute *route,
           const BkRequestFields *fields)
{
    BkPickQuery *query = &request->query;

    query->service = BkStr_NameHash(BkStr_FromC(request->service));
    query->domain = request->front->conf.domain;
    query->prompt_tokens = fields->prompt_tokens;
    if (fields->model.len > 0) {
        request->model = BkStr_Dup(fields->model);
        query->model = BkStr_NameHash(fields->model);
    }
    if (fields->adapter.len > 0) {
        request->adapter = BkStr_Dup(fields->adapter);
        query->adapter = BkStr_NameHash(fields->adapter);
    }
    if (route->sticky && fields->part_count > 1) {
        query->prefix_hash = hash_shared_parts(fields) ^ query->model;
    }
}

/* Finds the caller's address; "" if the connection is already gone. */
static void
find_caller_ip(const FrCallerConn *caller_conn, char *out)
{
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);

    if (getpeername(caller_conn->fd, (struct sockaddr *)&address, &size) < 0 ||
        inet_ntop(AF_INET, &address.sin_addr, out, INET_ADDRSTRLEN) == NULL) {
        out[0] = '\0';
    }
}

static uint64_t
add_to_hash(uint64_t hash, BkStr text)
{
    return XXH64(text.ptr, text.len, hash + text.len);
}

/* The request's head and body must have been read completely. */
static void
fill_identity(FrRequest *request, const BkH1Head *head,
              const BkRequestFields *fields)
{
    request->part_count = fields->part_count > 0 ? fields->part_count - 1 : 0;
    for (int i = 0; i < request->part_count; i++) {
        request->parts[i] = fields->parts[i].id;
    }
    find_caller_ip(request->caller_conn, request->caller_ip);
    /* without the address, which may be another one each time */
    uint64_t hash = add_to_hash(0, head->method);
    hash = add_to_hash(hash, BkH1Head_Find(head, "Host"));
    hash = add_to_hash(hash, head->target);
    hash = add_to_hash(hash, BkBuf_Str(&request->body));
    if (request->body.len == 0) {
        /* the fields that describe the prompt tell it apart */
        hash = add_to_hash(hash, fields->model);
        hash = add_to_hash(hash, fields->adapter);
        hash =
            XXH64(fields->parts,
                  (size_t)fields->part_count * sizeof(fields->parts[0]), hash);
    }
    request->digest = hash;
}

static FrRequest *
create_request(FrCallerConn *caller_conn, const BkSiteRoute *route,
               const BkRequestFields *fields)
{
    FrFront *front = caller_conn->front;
    FrRequest *request = BkMem_New(1, sizeof(*request));
    BkMs timeout = route->timeout > 0 ? route->timeout : DEFAULT_TIMEOUT;

    request->front = front;
    request->caller_conn = caller_conn;
    request->started_at = caller_conn->state_since;
    request->kind = route->kind;
    request->resumable = route->kind == BK_ROUTE_STREAM && route->resumable;
    request->repeatable = route->kind == BK_ROUTE_SAFE || request->resumable;
    request->priority = route->priority < 9 ? route->priority : 9;
    request->max_runs = route->max_attempts;
    request->latency_target = route->latency_target;
    if (fields->until_deadline > 0 && fields->until_deadline < timeout) {
        timeout = fields->until_deadline - DEADLINE_MARGIN;
    }
    request->deadline = request->started_at + timeout;
    /* a stream's caller gives up after a pause of max_gap, also before the
       first event */
    request->patience = request->kind == BK_ROUTE_STREAM
                            ? BkWait_StreamPatience(route->latency_target,
                                                    route->max_gap, timeout)
                            : timeout;
    if (fields->resumes) {
        FrStream_SetResumeId(request, fields->last_event);
    }
    request->resumed_id = BkStr_Dup(fields->resumed_id);
    request->why = "in progress";
    request->response_length = -1;
    request->id = BkStr_Dup(fields->id);
    request->route = BkStr_Dup(BkStr_FromC(route->name));
    request->service = BkStr_Dup(
        BkStr_FromC(BkSite_PickService(route, BkRng_Unit(&front->rng))));
    fill_query(request, route, fields);
    request->timer = BkTimer_Create(front->loop, FrRequest_OnTimer, request);
    request->next = front->requests;
    if (front->requests != NULL) {
        front->requests->prev = request;
    }
    front->requests = request;
    front->request_count++;
    return request;
}

/* Returns why the request must be rejected; NULL if its fields are valid. */
static const char *
find_rejection(const BkRequestFields *fields, BkStatus status, BkStr target)
{
    if (status != BK_OK) {
        return BkErr_Last();
    }
    if (fields->id.len == 0) {
        return "the request has no id";
    }
    if (target.len == 0 || target.ptr[0] != '/') {
        return "the target is not a path";
    }
    return NULL;
}

/* The daemon that it came from has counted the request, and decides whether it
   may run again. */
static void
apply_detour(FrRequest *request, const FrDetourFields *fields)
{
    request->relayed = true;
    request->front->relayed_count++;
    request->query.software = (uint32_t)fields->software;
    request->max_runs = 1;
}

void
FrRequest_Start(FrCallerConn *caller_conn, const BkH1Head *head)
{
    FrFront *front = caller_conn->front;
    BkRequestFields fields;
    FrDetourFields detour = {0};
    BkStatus status = BkAdapter_ReadRequestFields(head, &fields);
    const char *rejection = find_rejection(&fields, status, head->target);
    BkStr target = head->target;
    BkMs now = BkClock_Now();

    if (rejection != NULL) {
        FrCallerConn_ReplyError(caller_conn, 400, rejection, 0);
        return;
    }
    if (caller_conn->from_daemon &&
        !FrDetour_Accept(caller_conn, head, &detour)) {
        return;
    }
    const BkSiteRoute *route = BkSite_FindRoute(
        front->site, BkH1Head_Find(head, "Host"), BkStr_Split(&target, '?'));
    if (route == NULL) {
        BkLog_Event(BK_LOG_INFO, "relay", NULL, "no route", "s:I", "config",
                    (json_int_t)front->site->version);
        FrCallerConn_ReplyError(caller_conn, 404, "no route leads there", 0);
        return;
    }
    FrRequest *request = create_request(caller_conn, route, &fields);
    caller_conn->request = request;
    request->bodiless = BkStr_Equal(head->method, BK_STR("HEAD"));
    request->body = caller_conn->body;
    caller_conn->body = BkBuf_Make(0);
    fill_identity(request, head, &fields);
    build_request_head(request, head);
    if (caller_conn->from_daemon) {
        apply_detour(request, &detour);
    }
    else {
        FrFront_CountRequest(front, request->query.service, now);
        FrQuarantine_NoteRequest(front->quarantine, request, now);
    }
    if (request->model != NULL && !request->relayed) {
        FrDemand_NoteRequest(front->planner, request->query.model,
                             fields.prompt_tokens +
                                 OUTPUT_WEIGHT * fields.max_output_tokens);
    }
    if (request->deadline <= now) {
        FrRequest_ReplyError(request, 503, "the deadline has passed", 0);
        return;
    }
    FrRequest_ArmTimer(request, now);
    if (request->kind == BK_ROUTE_STREAM && fields.resumes &&
        request->query.software == 0) {
        FrOrigins_Resolve(front->origins, request, now);
        return;
    }
    FrRequest_Dispatch(request);
}
