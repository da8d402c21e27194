#include "status.h"

enum {
    MAX_BODY = 4 * 1024,   /* bytes */
    MAX_HEADER = 8 * 1024, /* bytes */
    MAX_CONNECTIONS = 64,
    STREAM_BUFFER = 4096, /* bytes */
    IDLE_TIMEOUT = 30000  /* ms */
};

static void
reply_readiness(FrFront *front, BkHttpReq *req)
{
    bool ready = FrFront_IsReady(front);

    BkHttpReq_Reply(req, ready ? 200 : 503, NULL, BK_STR("text/plain"),
                    ready ? BK_STR("ready\n") : BK_STR("not ready\n"));
}

static void
reply_metrics(BkHttpReq *req)
{
    BkBuf text = BkBuf_Make(0);

    BkCounter_Print(&text);
    BkHttpReq_Reply(req, 200, NULL, BK_STR("text/plain; version=0.0.4"),
                    BkBuf_Str(&text));
    BkBuf_Destroy(&text);
}

typedef struct Endpoint {
    const char *path;
    const char *method;
    void (*handle)(FrFront *front, BkHttpReq *req);
} Endpoint;

/* sorted by path */
static const Endpoint endpoints[] = {
    {"/ops/status", "GET", FrStatus_Reply},
    {"/ops/upstreams", "GET", FrStatus_ReplyUpstreams},
    {"/ops/verdict/lift", "POST", FrStatus_LiftVerdict},
};

enum {
    ENDPOINT_COUNT = sizeof(endpoints) / sizeof(endpoints[0])
};

static void
handle_endpoint(FrFront *front, BkHttpReq *req)
{
    for (int i = 0; i < ENDPOINT_COUNT; i++) {
        if (BkStr_Equal(BkHttpReq_Path(req), BkStr_FromC(endpoints[i].path)) &&
            BkStr_Equal(BkHttpReq_Method(req),
                        BkStr_FromC(endpoints[i].method))) {
            endpoints[i].handle(front, req);
            return;
        }
    }
    BkHttpReq_ReplyError(req, BK_ENOTFOUND, NULL, 0);
}

static void
handle_request(BkHttpReq *req, void *arg)
{
    FrFront *front = arg;
    BkStr path = BkHttpReq_Path(req);

    /* the platform's settings choose these two paths */
    if (BkStr_Equal(path, BkStr_FromC(front->conf.ready_path))) {
        reply_readiness(front, req);
    }
    else if (BkStr_Equal(path, BkStr_FromC(front->conf.metrics_path))) {
        reply_metrics(req);
    }
    else {
        handle_endpoint(front, req);
    }
}

BkStatus
FrOps_Listen(FrFront *front)
{
    BkHttpServerSpec spec = {.listen = front->conf.ops_address,
                             .max_body = MAX_BODY,
                             .max_header = MAX_HEADER,
                             .max_connections = MAX_CONNECTIONS,
                             .stream_buffer = STREAM_BUFFER,
                             .idle_timeout = IDLE_TIMEOUT,
                             .handler = handle_request,
                             .arg = front};

    front->ops_server = BkHttpServer_Create(front->loop, &spec);
    return front->ops_server == NULL ? BK_EIO : BK_OK;
}
