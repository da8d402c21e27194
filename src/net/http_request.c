#include "server.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* A body whose declared length is greater than the limit by at most this
       much is read and dropped. Twice as much is dropped of a body without a
       declared length before its connection is closed. */
    MAX_DISCARD_BYTES = 8 * 1024 * 1024
};

static void
link_request(BkHttpReq *req)
{
    BkHttpServer *server = req->server;

    req->listed = true;
    req->next = server->first_req;
    if (server->first_req != NULL) {
        server->first_req->prev = req;
    }
    server->first_req = req;
    server->active++;
    if (!BkTimer_Running(server->caller_check_timer)) {
        BkTimer_Start(server->caller_check_timer, HTTP_CALLER_CHECK_PERIOD_MS);
    }
}

static void
unlink_request(BkHttpReq *req)
{
    BkHttpServer *server = req->server;

    if (!req->listed) {
        return;
    }
    if (req->prev != NULL) {
        req->prev->next = req->next;
    }
    else {
        server->first_req = req->next;
    }
    if (req->next != NULL) {
        req->next->prev = req->prev;
    }
    server->active--;
}

void *
http_begin(void *cls, const char *uri, struct MHD_Connection *connection)
{
    BkHttpReq *req = BkMem_New(1, sizeof(*req));
    const char *query = strchr(uri, '?');

    req->server = cls;
    req->connection = connection;
    req->target = BkStr_Dup(BkStr_FromC(uri));
    req->path_len = query == NULL ? strlen(uri) : (size_t)(query - uri);
    req->body = BkBuf_Make(req->server->spec.max_body);
    return req;
}

void
http_finish(void *cls, struct MHD_Connection *connection, void **con_cls,
            enum MHD_RequestTerminationCode reason)
{
    BkHttpReq *req = *con_cls;

    if (req == NULL) {
        return;
    }
    *con_cls = NULL;
    unlink_request(req);
    if (req->on_close != NULL) {
        bool sent = reason == MHD_REQUEST_TERMINATED_COMPLETED_OK;
        req->on_close(req, sent && req->complete && !req->gone,
                      req->close_arg);
    }
    if (req->response != NULL) {
        MHD_destroy_response(req->response);
    }
    BkBuf_Destroy(&req->body);
    BkBuf_Destroy(&req->out);
    free(req->target);
    free(req->method);
    free(req);
}

static enum MHD_Result
queue_response(BkHttpReq *req)
{
    enum MHD_Result queued;

    if (req->server->quiesced || req->state == REQ_REFUSED) {
        MHD_add_response_header(req->response, "Connection", "close");
    }
    queued = MHD_queue_response(req->connection, (unsigned)req->http_status,
                                req->response);
    MHD_destroy_response(req->response);
    req->response = NULL;
    return queued;
}

static enum MHD_Result
refuse_request(BkHttpReq *req, BkStatus status)
{
    BkHttpReq_ReplyError(req, status, NULL, 0);
    req->state = REQ_REFUSED;
    return queue_response(req);
}

/* the value of Content-Length; 0 if there is none */
static uint64_t
declared_length(BkHttpReq *req)
{
    uint64_t length = 0;

    BkStr_ToU64(BkHttpReq_Header(req, "Content-Length"), &length);
    return length;
}

static bool
headers_too_large(BkHttpReq *req)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        req->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

    return info != NULL && info->header_size > req->server->spec.max_header;
}

static enum MHD_Result
read_head(BkHttpReq *req, const char *method)
{
    size_t max_body = req->server->spec.max_body;
    uint64_t length = declared_length(req);

    req->method = BkStr_Dup(BkStr_FromC(method));
    link_request(req);
    if (headers_too_large(req)) {
        return refuse_request(req, BK_EHEADERS);
    }
    if (length <= max_body) {
        return MHD_YES;
    }
    /* A caller that is still sending may never read an answer. So a body over
       the limit is read and dropped first, except if it is very large or the
       caller has not sent it yet (Expect: 100-continue). */
    if (length > max_body + MAX_DISCARD_BYTES ||
        BkHttpReq_Header(req, "Expect").len > 0) {
        return refuse_request(req, BK_ETOOBIG);
    }
    req->state = REQ_REFUSED;
    return MHD_YES;
}

static enum MHD_Result
read_body(BkHttpReq *req, const char *data, size_t size)
{
    if (req->state == REQ_READING &&
        BkBuf_Append(&req->body, (BkStr){data, size}) != BK_OK) {
        req->state = REQ_REFUSED;
        BkBuf_Destroy(&req->body);
    }
    if (req->state == REQ_REFUSED) {
        req->dropped_bytes += size;
    }
    return req->dropped_bytes > MAX_DISCARD_BYTES * (size_t)2 ? MHD_NO
                                                              : MHD_YES;
}

static enum MHD_Result
handle_request(BkHttpReq *req)
{
    BkHttpServer *server = req->server;

    if (req->state == REQ_REFUSED) {
        return refuse_request(req, BK_ETOOBIG);
    }
    if (req->state == REQ_READING) {
        req->state = REQ_HANDLING;
        server->spec.handler(req, server->spec.arg);
    }
    if (req->response != NULL) {
        return queue_response(req);
    }
    if (req->gone) {
        return MHD_NO;
    }
    http_suspend(req);
    return MHD_YES;
}

enum MHD_Result
http_access(void *cls, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **con_cls)
{
    BkHttpReq *req = *con_cls;

    if (req->method == NULL) {
        return read_head(req, method);
    }
    if (*size > 0) {
        size_t received = *size;
        *size = 0;
        return read_body(req, data, received);
    }
    return handle_request(req);
}

BkStr
BkHttpReq_Method(const BkHttpReq *req)
{
    return BkStr_FromC(req->method);
}

BkStr
BkHttpReq_Path(const BkHttpReq *req)
{
    return (BkStr){req->target, req->path_len};
}

BkStr
BkHttpReq_Target(const BkHttpReq *req)
{
    return BkStr_FromC(req->target);
}

BkStr
BkHttpReq_Body(const BkHttpReq *req)
{
    return BkBuf_Str(&req->body);
}

BkStr
BkHttpReq_Header(const BkHttpReq *req, const char *name)
{
    return BkStr_FromC(
        MHD_lookup_connection_value(req->connection, MHD_HEADER_KIND, name));
}

void
BkHttpReq_OnClose(BkHttpReq *req,
                  void (*fn)(BkHttpReq *req, bool complete, void *arg),
                  void *arg)
{
    req->on_close = fn;
    req->close_arg = arg;
}
