#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/utf8.h"
#include "bk/daemon/internal.h"

enum {
    OPS_MAX_BODY = BK_BUNDLE_MAX_BYTES * 2,
    OPS_MAX_HEADER_BYTES = 8 * 1024,
    OPS_CONNECTIONS = 256,
    OPS_IDLE_MS = 30000,
    OPS_STREAM_BUFFER_BYTES = 64 * 1024
};

bool
BkOps_IsReady(BkDaemon *daemon, const char **reason)
{
    if (daemon->stopping) {
        *reason = "stopping";
        return false;
    }
    if (daemon->bundle == NULL) {
        *reason = "no configuration yet";
        return false;
    }
    if (!BkInForce_IsCurrent(&daemon->inforce, BkClock_Now())) {
        *reason = "cannot know whether its configuration is in force";
        return false;
    }
    if (daemon->hooks.is_ready != NULL &&
        !daemon->hooks.is_ready(daemon->hooks.arg)) {
        *reason = "the program is not ready";
        return false;
    }
    *reason = "ready";
    return true;
}

static void
reply_metrics(BkDaemon *daemon, BkHttpReq *req)
{
    BkBuf out = BkBuf_Make(0);
    BkPlatStats stats = BkPlat_Stats(daemon->plat);

    BkCounter_Set(BkCounter_Get("bk_platform_reads_total", NULL,
                                "reads from the platform's store"),
                  stats.reads);
    BkCounter_Set(BkCounter_Get("bk_platform_writes_total", NULL,
                                "writes to the platform's store"),
                  stats.writes);
    BkCounter_Set(BkCounter_Get("bk_control_bytes_total",
                                "kind=\"platform\",dir=\"out\"",
                                "bytes of control traffic"),
                  stats.bytes_out);
    BkCounter_Set(BkCounter_Get("bk_control_bytes_total",
                                "kind=\"platform\",dir=\"in\"",
                                "bytes of control traffic"),
                  stats.bytes_in);
    BkCounter_Print(&out);
    BkHttpReq_Reply(req, 200, NULL, BK_STR("text/plain; version=0.0.4"),
                    BkBuf_Str(&out));
    BkBuf_Destroy(&out);
}

static json_t *
describe_upstream(const BkDaemon *daemon, int up)
{
    const BkUpView *up_view = &daemon->view->ups[up];
    const BkUpstream *upstream = &daemon->bundle->upstreams[up];
    BkMs now = BkClock_Now();
    bool usable =
        BkView_IsUsable(daemon->view, up, now, daemon->conf->stale_after);
    json_t *ready_instances = json_array();

    for (int i = 0; i < up_view->inst_count; i++) {
        if (up_view->insts[i].state == BK_INST_READY) {
            json_array_append_new(ready_instances,
                                  json_sprintf("%s@%s", up_view->insts[i].item,
                                               up_view->insts[i].version));
        }
    }
    return json_pack(
        "{ss ss ss sb sb sb sI si si so}", "name", upstream->name, "kind",
        upstream->kind == BK_UPSTREAM_ENGINE ? "engine" : "service", "domain",
        upstream->domain, "usable", usable, "leaving", up_view->leaving,
        "left", up_view->excluded, "seen_ms",
        (json_int_t)(up_view->seen_at == BK_MS_NEVER ? -1
                                                     : now - up_view->seen_at),
        "running", up_view->running, "waiting", up_view->waiting, "ready",
        ready_instances);
}

static void
reply_status(BkDaemon *daemon, BkHttpReq *req)
{
    const char *reason;
    bool ready = BkOps_IsReady(daemon, &reason);
    json_t *upstreams = json_array();

    for (int i = 0; daemon->view != NULL && i < daemon->view->count; i++) {
        json_array_append_new(upstreams, describe_upstream(daemon, i));
    }
    json_t *root = json_pack(
        "{ss ss ss sI sI sI sb sb ss sI so si so}", "daemon",
        daemon->conf->name, "role",
        daemon->role == BK_ROLE_ENTRY ? "entry" : "steward", "domain",
        daemon->conf->domain, "epoch", (json_int_t)daemon->epoch, "acting",
        (json_int_t)daemon->inforce.active_version, "highest",
        (json_int_t)daemon->inforce.highest_version, "current",
        BkInForce_IsCurrent(&daemon->inforce, BkClock_Now()), "ready", ready,
        "reason", reason, "term", (json_int_t)daemon->planner_term, "planner",
        BkUtf8_Json(daemon->planner_name), "peers", daemon->peers->count,
        "upstreams", upstreams);
    if (daemon->hooks.on_status != NULL) {
        daemon->hooks.on_status(root, daemon->hooks.arg);
    }
    char *text = json_dumps(root, JSON_COMPACT);
    BkHttpReq_Reply(req, 200, NULL, BK_STR("application/json"),
                    BkStr_FromC(text));
    free(text);
    json_decref(root);
}

static void
reply_ready(BkDaemon *daemon, BkHttpReq *req)
{
    const char *reason;
    bool ready = BkOps_IsReady(daemon, &reason);

    BkHttpReq_Reply(req, ready ? 200 : 503, NULL, BK_STR("text/plain"),
                    BkStr_FromC(reason));
}

static void
reply_alive(BkDaemon *daemon, BkHttpReq *req)
{
    (void)daemon;
    BkHttpReq_Reply(req, 200, NULL, BK_STR("text/plain"), BK_STR("alive"));
}

static void
reply_in_force(BkDaemon *daemon, BkHttpReq *req)
{
    if (BkStr_Equal(BkHttpReq_Method(req), BK_STR("POST"))) {
        BkBundleSync_HandlePush(daemon->sync, req);
        return;
    }
    BkBundleSync_ReplyInForce(daemon->sync, req);
}

/* sorted by path */
static const struct {
    const char *path;
    void (*handle)(BkDaemon *daemon, BkHttpReq *req);
} handlers[] = {
    {"/healthz", reply_alive},     {"/metrics", reply_metrics},
    {"/ops/status", reply_status}, {"/peer/in-force", reply_in_force},
    {"/readyz", reply_ready},
};

/* Serves all requests to the operators' port. */
static void
handle_ops(BkHttpReq *req, void *arg)
{
    BkDaemon *daemon = arg;
    BkStr path = BkHttpReq_Path(req);
    BkStr prefix = BK_STR("/peer/bundle/");

    for (size_t i = 0; i < sizeof(handlers) / sizeof(handlers[0]); i++) {
        if (BkStr_Equal(path, BkStr_FromC(handlers[i].path))) {
            handlers[i].handle(daemon, req);
            return;
        }
    }
    if (BkStr_StartsWith(path, prefix)) {
        BkStr digest = {path.ptr + prefix.len, path.len - prefix.len};
        BkBundleSync_ReplyBundle(daemon->sync, req, digest);
        return;
    }
    if (daemon->hooks.on_ops_request != NULL &&
        daemon->hooks.on_ops_request(req, daemon->hooks.arg)) {
        return;
    }
    BkHttpReq_ReplyError(req, BK_ENOTFOUND, "no such page", 0);
}

BkStatus
BkOps_Start(BkDaemon *daemon)
{
    BkHttpServerSpec spec = {
        .listen = daemon->conf->ops_address,
        .max_body = OPS_MAX_BODY,
        .max_header = OPS_MAX_HEADER_BYTES,
        .max_connections = OPS_CONNECTIONS,
        .stream_buffer = OPS_STREAM_BUFFER_BYTES,
        .idle_timeout = OPS_IDLE_MS,
        .handler = handle_ops,
        .arg = daemon,
    };

    daemon->ops_server = BkHttpServer_Create(daemon->loop, &spec);
    return daemon->ops_server == NULL ? BK_EIO : BK_OK;
}
