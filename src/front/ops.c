#include "front.h"

enum {
    MAX_BODY = 1024,       /* bytes */
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

static void
handle_request(BkHttpReq *req, void *arg)
{
    FrFront *front = arg;
    BkStr path = BkHttpReq_Path(req);

    if (BkStr_Equal(path, BkStr_FromC(front->conf.ready_path))) {
        reply_readiness(front, req);
    }
    else if (BkStr_Equal(path, BkStr_FromC(front->conf.metrics_path))) {
        reply_metrics(req);
    }
    else {
        BkHttpReq_ReplyError(req, BK_ENOTFOUND, NULL, 0);
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
