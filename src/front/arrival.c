#include "planner.h"
#include "relay.h"

#include <stdio.h>
#include <xxhash.h>

#include "bk/base/log.h"

enum {
    OUTPUT_WEIGHT = 4,    /* tokens of a prompt that one of an answer is
                                worth of an engine's time, in a batch */
    BEFORE_DEADLINE = 15, /* ms; an answer at the deadline is too late */
    NO_TIMEOUT = 60000    /* ms, where neither side names a time */
};

static void
build_head(FrRelay *relay, const BkH1Head *head)
{
    BkStr connection = BkH1Head_Find(head, "Connection");

    BkBuf_Append(&relay->head, head->method);
    BkBuf_Append(&relay->head, BK_STR(" "));
    BkBuf_Append(&relay->head, head->target);
    BkBuf_Append(&relay->head, BK_STR(" HTTP/1.1\r\n"));
    for (int i = 0; i < head->count; i++) {
        BkStr name = head->fields[i].name;
        if (BkAdapter_ForwardsField(name) &&
            !BkH1_HasToken(connection, name)) {
            BkH1_PutField(&relay->head, name, head->fields[i].value);
        }
    }
    if (head->chunked || head->length >= 0) {
        BkBuf_Printf(&relay->head, "Content-Length: %zu\r\n", relay->body.len);
    }
}

/* all parts but the last one, which is the request's or session's own */
static uint64_t
hash_shared(const BkCallerSays *says)
{
    uint64_t hash = 0;

    for (int i = 0; i + 1 < says->part_count; i++) {
        hash = XXH64(&says->parts[i].id, sizeof(says->parts[i].id), hash + 1);
    }
    return hash;
}

static void
set_query(FrRelay *relay, const BkSiteRoute *route, const BkCallerSays *says)
{
    BkPickQuery *query = &relay->query;

    query->service = BkStr_Key(BkStr_FromC(relay->service));
    query->domain = relay->front->conf.domain;
    query->prompt_tokens = says->prompt;
    if (says->model.len > 0) {
        relay->model = BkStr_Dup(says->model);
        query->model = BkStr_Key(says->model);
    }
    if (says->adapter.len > 0) {
        relay->adapter = BkStr_Dup(says->adapter);
        query->adapter = BkStr_Key(says->adapter);
    }
    if (route->sticky && says->part_count > 1) {
        query->prefix_hash = hash_shared(says) ^ query->model;
    }
}

static FrRelay *
create_relay(FrCaller *caller, const BkSiteRoute *route,
             const BkCallerSays *says)
{
    FrFront *front = caller->front;
    FrRelay *relay = BkMem_New(1, sizeof(*relay));
    BkMs wait = route->timeout > 0 ? route->timeout : NO_TIMEOUT;

    relay->front = front;
    relay->caller = caller;
    relay->started = caller->since;
    relay->kind = route->kind;
    relay->resumable = route->kind == BK_ROUTE_STREAM && route->resumable;
    relay->repeatable = route->kind == BK_ROUTE_SAFE || relay->resumable;
    relay->priority = route->priority < 9 ? route->priority : 9;
    relay->attempts = route->max_attempts;
    relay->target = route->latency_target;
    if (says->deadline > 0 && says->deadline < wait) {
        wait = says->deadline - BEFORE_DEADLINE;
    }
    relay->until = relay->started + wait;
    /* callers of streams turn away after a gap, also before the first event */
    relay->patience = relay->kind == BK_ROUTE_STREAM
                          ? BkWait_StreamPatience(route->latency_target,
                                                  route->max_gap, wait)
                          : wait;
    relay->has_event = says->resumes;
    relay->last_event = says->last_event;
    relay->why = "in progress";
    relay->length = -1;
    snprintf(relay->id, sizeof(relay->id), "%.*s", BK_STR_ARG(says->id));
    relay->route = BkStr_Dup(BkStr_FromC(route->name));
    relay->service = BkStr_Dup(
        BkStr_FromC(BkSite_PickService(route, BkRng_Unit(&front->rng))));
    set_query(relay, route, says);
    relay->timer = BkTimer_Create(front->loop, FrRelay_TimeIsUp, relay);
    relay->next = front->relays;
    if (front->relays != NULL) {
        front->relays->prev = relay;
    }
    front->relays = relay;
    front->relay_count++;
    return relay;
}

/* NULL if there is a route; else why the request is rejected */
static const char *
find_fault(const BkCallerSays *says, BkStatus status, BkStr target)
{
    if (status != BK_OK) {
        return "a header field is malformed";
    }
    if (says->id.len == 0 || says->id.len >= FR_REQUEST_ID_BYTES) {
        return "the request has no usable id";
    }
    if (target.len == 0 || target.ptr[0] != '/') {
        return "the target is not a path";
    }
    return NULL;
}

void
FrRelay_Start(FrCaller *caller, const BkH1Head *head)
{
    FrFront *front = caller->front;
    BkCallerSays says;
    BkStatus status = BkAdapter_ReadCaller(head, &says);
    const char *fault = find_fault(&says, status, head->target);
    BkStr target = head->target;
    BkMs now = BkClock_Now();

    if (fault != NULL) {
        FrCaller_ReplyOwn(caller, 400, fault, 0);
        return;
    }
    const BkSiteRoute *route = BkSite_FindRoute(
        front->site, BkH1Head_Find(head, "Host"), BkStr_Split(&target, '?'));
    if (route == NULL) {
        BkLog_Event(BK_LOG_INFO, "relay", NULL, "no route", "s:I", "config",
                    (json_int_t)front->site->version);
        FrCaller_ReplyOwn(caller, 404, "no route leads there", 0);
        return;
    }
    FrRelay *relay = create_relay(caller, route, &says);
    caller->relay = relay;
    relay->bodiless = BkStr_Equal(head->method, BK_STR("HEAD"));
    relay->body = caller->body;
    caller->body = BkBuf_Make(0);
    build_head(relay, head);
    FrFront_EarnBudget(front, relay->query.service, now);
    if (relay->model != NULL) {
        FrPlanner_NoteRequest(front->planner, relay->query.model,
                              says.prompt + OUTPUT_WEIGHT * says.output);
    }
    if (relay->until <= now) {
        FrRelay_Refuse(relay, 503, "the deadline has passed", 0);
        return;
    }
    FrRelay_ArmTimer(relay, now);
    FrRelay_Dispatch(relay);
}
