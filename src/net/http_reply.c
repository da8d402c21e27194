#include "server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bk/base/utf8.h"

enum {
    /* libmicrohttpd ignores it in chunked answers */
    READ_BLOCK_BYTES = 1024
};

static void
add_header(struct MHD_Response *response, const char *line)
{
    const char *colon = strchr(line, ':');

    if (colon == NULL) {
        return;
    }
    char *name = BkStr_Dup((BkStr){line, (size_t)(colon - line)});
    char *value = BkStr_Dup(BkStr_Trim(BkStr_FromC(colon + 1)));
    MHD_add_response_header(response, name, value);
    free(name);
    free(value);
}

static void
add_headers(struct MHD_Response *response, const char *const *headers,
            BkStr content_type)
{
    if (content_type.len > 0) {
        char *type = BkStr_Dup(content_type);
        MHD_add_response_header(response, "Content-Type", type);
        free(type);
    }
    for (int i = 0; headers != NULL && headers[i] != NULL; i++) {
        add_header(response, headers[i]);
    }
}

/* Sets the response. It is queued in libmicrohttpd's call of http_access that
   is in progress, or in the next one. */
static void
set_response(BkHttpReq *req, int http_status, struct MHD_Response *response)
{
    if (response == NULL || req->response != NULL) {
        abort();
    }
    req->response = response;
    req->http_status = http_status;
    http_resume(req);
}

void
BkHttpReq_Reply(BkHttpReq *req, int http_status, const char *const *headers,
                BkStr content_type, BkStr body)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        body.len, body.len == 0 ? "" : (char *)body.ptr,
        MHD_RESPMEM_MUST_COPY);

    add_headers(response, headers, content_type);
    req->state = REQ_ANSWERED;
    req->complete = true;
    set_response(req, http_status, response);
}

void
BkHttpReq_ReplyError(BkHttpReq *req, BkStatus status, const char *message,
                     BkMs retry_after)
{
    const BkStatusInfo *info = BkStatus_Info(status);
    char retry_header[40] = "";
    const char *headers[] = {retry_after > 0 ? retry_header : NULL, NULL};
    json_t *error = json_pack(
        "{s:i, s:s, s:s, s:o}", "code", (int)info->status, "name", info->name,
        "outcome", BkOutcome_Name(info->outcome), "message",
        BkUtf8_Json(message == NULL ? info->text : message));

    if (retry_after > 0) {
        json_object_set_new(error, "retry_after_ms",
                            json_integer(retry_after));
        snprintf(retry_header, sizeof(retry_header), "Retry-After: %lld",
                 (long long)((retry_after + BK_MS_PER_S - 1) / BK_MS_PER_S));
    }
    json_t *root = json_pack("{s:o}", "error", error);
    char *text = json_dumps(root, JSON_COMPACT);
    BkHttpReq_Reply(req, info->http, headers, BK_STR("application/json"),
                    BkStr_FromC(text));
    free(text);
    json_decref(root);
}

static void
notify_drain(BkHttpReq *req)
{
    if (req->blocked && req->out.len <= req->server->spec.stream_buffer / 2) {
        req->blocked = false;
        if (req->on_drain != NULL) {
            req->on_drain(req->drain_arg);
        }
    }
}

static ssize_t
read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
    BkHttpReq *req = cls;

    if (req->gone) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    size_t n = req->out.len < max ? req->out.len : max;
    if (n > 0) {
        memcpy(buf, req->out.ptr, n);
        BkBuf_Consume(&req->out, n);
        if (req->out.len == 0 &&
            req->out.cap > req->server->spec.stream_buffer * 2) {
            BkBuf_Destroy(&req->out);
        }
        notify_drain(req);
        return (ssize_t)n;
    }
    if (req->state == REQ_ENDED) {
        return req->complete ? MHD_CONTENT_READER_END_OF_STREAM
                             : MHD_CONTENT_READER_END_WITH_ERROR;
    }
    http_suspend(req);
    return 0;
}

void
BkHttpReq_StartStream(BkHttpReq *req, int http_status,
                      const char *const *headers, BkStr content_type,
                      void (*on_drain)(void *arg), void *arg)
{
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, READ_BLOCK_BYTES, read_stream, req, NULL);

    req->on_drain = on_drain;
    req->drain_arg = arg;
    add_headers(response, headers, content_type);
    req->state = REQ_STREAMING;
    set_response(req, http_status, response);
}

bool
BkHttpReq_Write(BkHttpReq *req, BkStr bytes)
{
    if (req->out.len > 0 &&
        req->out.len + bytes.len > req->server->spec.stream_buffer) {
        req->blocked = true;
        return false;
    }
    BkBuf_Append(&req->out, bytes);
    http_resume(req);
    return true;
}

void
BkHttpReq_EndStream(BkHttpReq *req, bool complete)
{
    req->state = REQ_ENDED;
    req->complete = complete;
    http_resume(req);
}
