#include "status.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "bk/base/log.h"
#include "bk/base/utf8.h"
#include "memory.h"
#include "peers.h"
#include "planner.h"
#include "quarantine.h"

enum {
    AUDIT_TIMEOUT = 1000, /* ms */
    MAX_TEXT_BYTES = 500, /* of an operator's name and reason */
    AUDIT_KEY_BYTES = 192
};

/* A verdict that an operator wants to have lifted, while the audit entry is
   being written. */
typedef struct Lift {
    FrFront *front;
    BkHttpReq *req; /* NULL: its caller has gone */
    BkTrait trait;
    char *by;
    char *why;
} Lift;

static void
reply_json(BkHttpReq *req, json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);

    BkHttpReq_Reply(req, 200, NULL, BK_STR("application/json"),
                    BkStr_FromC(text));
    free(text);
    json_decref(object);
}

static json_t *
list_verdicts(const FrFront *front, BkMs now)
{
    const BkVerdicts *verdicts = &front->quarantine->verdicts;
    json_t *list = json_array();

    for (int i = 0; i < verdicts->count; i++) {
        const BkVerdict *verdict = &verdicts->rows[i];
        char key[FR_VERDICT_KEY_BYTES];
        if (verdict->lifted) {
            continue;
        }
        FrQuarantineRows_MakeKey(&verdict->trait, key);
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:i, s:i, s:I, s:I}", "trait", key, "kind",
                      BkTrait_KindName(verdict->trait.kind), "generation",
                      (int)verdict->generation, "trials",
                      verdict->confirmations, "for_ms",
                      (json_int_t)(BkVerdicts_Until(verdicts, verdict) - now),
                      "refused", (json_int_t)verdict->refused));
    }
    return list;
}

static json_t *
describe_memory(const FrFront *front)
{
    FrMemoryUse use = FrMemory_GetUse(front);

    return json_pack("{s:I, s:I, s:s}", "used", (json_int_t)use.used, "limit",
                     (json_int_t)use.limit, "is",
                     BkMemory_LevelName(FrMemory_GetLevel(front)));
}

static int
count_alive(const FrPeers *peers, BkMs now)
{
    int count = 1; /* this daemon */

    for (int i = 0; i < peers->count; i++) {
        count += FrPeers_IsAlive(peers, peers->list[i], now) ? 1 : 0;
    }
    return count;
}

void
FrStatus_Reply(FrFront *front, BkHttpReq *req)
{
    BkMs now = BkClock_Now();
    const FrPeers *peers = front->peers;
    bool plans = FrPlanner_IsActive(front->planner, now);
    bool configured = front->site != NULL;

    reply_json(
        req,
        json_pack(
            "{s:s, s:s, s:s, s:I, s:b, s:b, s:I, s:I, s:o, s:I, s:i, "
            "s:i, s:i, s:i, s:i, s:i, s:o, s:o}",
            "daemon", front->conf.name, "role", "front", "software",
            BK_VERSION, "up_ms", (json_int_t)(now - front->started_at),
            "ready", FrFront_IsReady(front), "stopping", front->stopping,
            "config", (json_int_t)(configured ? front->site->version : 0),
            "config_age_ms",
            (json_int_t)(configured ? now - front->site_since : -1), "planner",
            BkUtf8_Json(plans ? front->conf.name : peers->planner_name),
            "term", (json_int_t)peers->term, "daemons", FrPeers_Count(peers),
            "daemons_heard", count_alive(peers, now), "upstreams",
            front->fleet.count, "callers", front->caller_conn_count,
            "requests", front->request_count, "waiting", front->queue_length,
            "memory", describe_memory(front), "verdicts",
            list_verdicts(front, now)));
}

static json_t *
make_upstream(const BkUp *up, BkMs now)
{
    BkMs held = up->throttle.held_until - now;
    BkMs avoided = up->avoid_until - now;

    return json_pack(
        "{s:o, s:o, s:o, s:s, s:o, s:i, s:i, s:i, s:f, s:I, s:I}", "id",
        BkUtf8_Json(up->id), "service", BkUtf8_Json(up->service), "domain",
        BkUtf8_Json(up->domain), "state", BkUp_StateName(up->state),
        "software", BkUtf8_Json(up->software), "slots", up->slots, "running",
        up->own_running + up->peer_running, "models", up->model_count, "limit",
        up->throttle.limit, "held_ms", (json_int_t)(held > 0 ? held : 0),
        "avoided_ms", (json_int_t)(avoided > 0 ? avoided : 0));
}

void
FrStatus_ReplyUpstreams(FrFront *front, BkHttpReq *req)
{
    json_t *list = json_array();
    BkMs now = BkClock_Now();

    for (int i = 0; i < front->fleet.count; i++) {
        json_array_append_new(list, make_upstream(front->fleet.ups[i], now));
    }
    reply_json(req, json_pack("{s:s, s:o}", "daemon", front->conf.name,
                              "upstreams", list));
}

static void
free_lift(Lift *lift)
{
    free(lift->by);
    free(lift->why);
    free(lift);
}

static void
on_request_closed(BkHttpReq *req, bool complete, void *arg)
{
    Lift *lift = arg;

    lift->req = NULL;
}

/* Sends the answer if the caller is still there, and ends the lift. */
static void
finish_lift(Lift *lift, BkStatus status, const char *message)
{
    BkHttpReq *req = lift->req;

    if (req != NULL) {
        BkHttpReq_OnClose(req, NULL, NULL);
    }
    free_lift(lift);
    if (req == NULL) {
        return;
    }
    if (status == BK_OK) {
        reply_json(req, json_pack("{s:b}", "lifted", true));
    }
    else {
        BkHttpReq_ReplyError(req, status, message, 0);
    }
}

static void
on_audited(const BkStoreReply *reply, void *arg)
{
    Lift *lift = arg;
    FrFront *front = lift->front;

    if (reply->status != BK_OK) {
        BkLog_Event(BK_LOG_WARNING, "quarantine", NULL, "verdict not lifted",
                    "s:s, s:s", "by", lift->by, "why",
                    "the store did not take the audit entry");
        finish_lift(lift, BK_EPLATFORM,
                    "the verdict was not lifted: the store did not take the "
                    "audit entry");
        return;
    }
    bool lifted = FrQuarantine_LiftByOperator(front->quarantine, &lift->trait,
                                              lift->by, BkClock_Now());
    finish_lift(lift, lifted ? BK_OK : BK_ENOTFOUND,
                "the verdict was lifted meanwhile");
}

static void
write_audit(Lift *lift, const char *subject)
{
    FrFront *front = lift->front;
    BkMs wall = BkClock_Wall();
    char at[32];
    char key[AUDIT_KEY_BYTES];

    BkClock_Format(wall, at, sizeof(at));
    /* keys sort by time, and two daemons never use the same */
    snprintf(key, sizeof(key), "%013llx-%s", (unsigned long long)wall,
             front->conf.name);
    json_t *entry =
        json_pack("{s:s, s:s, s:s, s:s, s:s}", "at", at, "by", lift->by,
                  "action", "lift", "subject", subject, "why", lift->why);
    char *text = json_dumps(entry, JSON_COMPACT);
    BkStoreOp op = {.key = key, .put = true, .value = BkStr_FromC(text)};
    BkStore_Commit(front->store, "audit", &op, 1, AUDIT_TIMEOUT, on_audited,
                   lift);
    free(text);
    json_decref(entry);
}

static const char *
get_text(json_t *object, const char *member)
{
    json_t *value = json_object_get(object, member);
    size_t len = json_string_length(value);

    return len > 0 && len <= MAX_TEXT_BYTES ? json_string_value(value) : NULL;
}

void
FrStatus_LiftVerdict(FrFront *front, BkHttpReq *req)
{
    BkStr body = BkHttpReq_Body(req);
    json_t *object = json_loadb(body.ptr, body.len, 0, NULL);
    const char *key = get_text(object, "trait");
    const char *by = get_text(object, "by");
    const char *why = get_text(object, "why");
    BkTrait trait;

    if (key == NULL || by == NULL || why == NULL ||
        !FrQuarantineRows_ParseKey(BkStr_FromC(key), &trait)) {
        BkHttpReq_ReplyError(req, BK_EINVAL,
                             "needs \"trait\" as in the status, \"by\" and "
                             "\"why\" of 1 to 500 bytes",
                             0);
    }
    else if (BkVerdicts_Check(&front->quarantine->verdicts, &trait,
                              BkClock_Now()) == BK_VERDICT_NONE) {
        BkHttpReq_ReplyError(req, BK_ENOTFOUND, "there is no such verdict", 0);
    }
    else {
        Lift *lift = BkMem_New(1, sizeof(*lift));
        *lift = (Lift){front, req, trait, BkStr_Dup(BkStr_FromC(by)),
                       BkStr_Dup(BkStr_FromC(why))};
        BkHttpReq_OnClose(req, on_request_closed, lift);
        write_audit(lift, key);
    }
    json_decref(object);
}
