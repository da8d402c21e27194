#include "bk/net/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jansson.h>
#include <microhttpd.h>

#include "bk/base/clock.h"

enum {
    POOL_EXTRA = 8 * 1024,       /* for the response's head and buffer */
    READER_BLOCK = 1024,         /* bytes; unused by chunked answers */
    DRAIN_MAX = 8 * 1024 * 1024, /* bytes of an oversized body read off */
    SWEEP_PERIOD = 250,          /* ms between looks for callers gone */
    LISTEN_BACKLOG = 1024
};

typedef enum ReqState {
    REQ_READING,   /* the body is still coming */
    REQ_REFUSED,   /* too large; the rest of the body is dropped */
    REQ_WAITING,   /* with the handler */
    REQ_ANSWERED,  /* whole answer made */
    REQ_STREAMING, /* stream open */
    REQ_ENDED      /* stream ended by the handler */
} ReqState;

struct BkHttpReq {
    BkHttpServer *server;
    struct MHD_Connection *connection;
    struct MHD_Response *response; /* made, not queued yet */
    int code;
    char *target;
    size_t path_len;
    char *method;
    BkBuf body;
    size_t dropped; /* bytes of an oversized body */
    ReqState state;
    bool counted; /* in the server's list */
    bool suspended;
    bool gone;     /* the caller has closed, or the server closes */
    bool complete; /* the handler gave all of the answer */
    bool blocked;  /* a write found no room since the last drain */
    BkBuf out;
    void (*on_drain)(void *arg);
    void *drain_arg;
    void (*on_close)(BkHttpReq *req, bool complete, void *arg);
    void *close_arg;
    BkHttpReq *prev;
    BkHttpReq *next;
};

struct BkHttpServer {
    BkLoop *loop;
    struct MHD_Daemon *daemon;
    BkWatch *watch;
    BkTimer *run_timer;
    BkTimer *sweep_timer;
    BkHttpServerSpec spec;
    BkHttpReq *first;
    int active;
    bool quiesced;
};

static void
run_daemon(BkHttpServer *server)
{
    MHD_UNSIGNED_LONG_LONG wait = 0;

    MHD_run(server->daemon);
    if (MHD_get_timeout(server->daemon, &wait) == MHD_YES) {
        BkTimer_Start(server->run_timer, (BkMs)wait);
    }
    else {
        BkTimer_Stop(server->run_timer);
    }
}

static void
run_on_timer(void *arg)
{
    run_daemon(arg);
}

static void
run_on_event(int fd, int events, void *arg)
{
    run_daemon(arg);
}

/* a resumed connection moves only in MHD_run */
static void
resume_request(BkHttpReq *req)
{
    if (req->suspended) {
        req->suspended = false;
        MHD_resume_connection(req->connection);
        BkTimer_Start(req->server->run_timer, 0);
    }
}

static void
suspend_request(BkHttpReq *req)
{
    if (!req->suspended) {
        req->suspended = true;
        MHD_suspend_connection(req->connection);
    }
}

static void
link_request(BkHttpReq *req)
{
    BkHttpServer *server = req->server;

    req->counted = true;
    req->next = server->first;
    if (server->first != NULL) {
        server->first->prev = req;
    }
    server->first = req;
    server->active++;
    if (!BkTimer_Running(server->sweep_timer)) {
        BkTimer_Start(server->sweep_timer, SWEEP_PERIOD);
    }
}

static void
unlink_request(BkHttpReq *req)
{
    BkHttpServer *server = req->server;

    if (!req->counted) {
        return;
    }
    if (req->prev != NULL) {
        req->prev->next = req->next;
    }
    else {
        server->first = req->next;
    }
    if (req->next != NULL) {
        req->next->prev = req->prev;
    }
    server->active--;
}

/* libmicrohttpd does not look at the socket of a suspended connection */
static bool
caller_closed(BkHttpReq *req)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        req->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    char byte;

    if (info == NULL) {
        return false;
    }
    ssize_t got = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

static void
sweep_requests(void *arg)
{
    BkHttpServer *server = arg;

    for (BkHttpReq *req = server->first; req != NULL; req = req->next) {
        if (req->suspended && caller_closed(req)) {
            req->gone = true;
            resume_request(req);
        }
    }
    if (server->first != NULL) {
        BkTimer_Start(server->sweep_timer, SWEEP_PERIOD);
    }
}

static void *
begin_request(void *cls, const char *uri, struct MHD_Connection *connection)
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

static void
finish_request(void *cls, struct MHD_Connection *connection, void **con_cls,
               enum MHD_RequestTerminationCode why)
{
    BkHttpReq *req = *con_cls;

    if (req == NULL) {
        return;
    }
    *con_cls = NULL;
    unlink_request(req);
    if (req->on_close != NULL) {
        bool whole = why == MHD_REQUEST_TERMINATED_COMPLETED_OK;
        req->on_close(req, whole && req->complete && !req->gone,
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
    queued = MHD_queue_response(req->connection, (unsigned)req->code,
                                req->response);
    MHD_destroy_response(req->response);
    req->response = NULL;
    return queued;
}

static enum MHD_Result
refuse_request(BkHttpReq *req, BkStatus status)
{
    BkHttpReq_Fail(req, status, NULL, 0);
    req->state = REQ_REFUSED;
    return queue_response(req);
}

/* Content-Length, or 0 */
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
    /* a caller that is still sending may never see an early answer */
    if (length > max_body + DRAIN_MAX ||
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
        req->dropped += size;
    }
    return req->dropped > DRAIN_MAX * (size_t)2 ? MHD_NO : MHD_YES;
}

static enum MHD_Result
hand_over(BkHttpReq *req)
{
    BkHttpServer *server = req->server;

    if (req->state == REQ_REFUSED) {
        return refuse_request(req, BK_ETOOBIG);
    }
    if (req->state == REQ_READING) {
        req->state = REQ_WAITING;
        server->spec.handler(req, server->spec.arg);
    }
    if (req->response != NULL) {
        return queue_response(req);
    }
    if (req->gone) {
        return MHD_NO;
    }
    suspend_request(req);
    return MHD_YES;
}

static enum MHD_Result
access_request(void *cls, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version, const char *data,
               size_t *size, void **con_cls)
{
    BkHttpReq *req = *con_cls;

    if (req->method == NULL) {
        return read_head(req, method);
    }
    if (*size > 0) {
        size_t got = *size;
        *size = 0;
        return read_body(req, data, got);
    }
    return hand_over(req);
}

static BkStatus
parse_address(const char *text, struct sockaddr_in *out)
{
    BkStr rest = BkStr_FromC(text);
    BkStr host = BkStr_Split(&rest, ':');
    uint64_t port = 0;
    char ip[INET_ADDRSTRLEN];

    if (host.len >= sizeof(ip) || BkStr_ToU64(rest, &port) != BK_OK ||
        port > UINT16_MAX) {
        return BkErr_Set(BK_EIO, "\"%s\" is not ip:port", text);
    }
    memcpy(ip, host.ptr, host.len);
    ip[host.len] = '\0';
    *out = (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)port)};
    if (inet_pton(AF_INET, ip, &out->sin_addr) != 1) {
        return BkErr_Set(BK_EIO, "\"%s\" is not ip:port", text);
    }
    return BK_OK;
}

static struct MHD_Daemon *
start_daemon(BkHttpServer *server, struct sockaddr_in *address)
{
    const BkHttpServerSpec *spec = &server->spec;
    size_t pool = spec->max_header + spec->max_header / 2 + POOL_EXTRA;
    BkMs idle = (spec->idle_timeout + BK_MS_PER_S - 1) / BK_MS_PER_S;

    return MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
        access_request, server, MHD_OPTION_SOCK_ADDR, address,
        MHD_OPTION_URI_LOG_CALLBACK, begin_request, server,
        MHD_OPTION_NOTIFY_COMPLETED, finish_request, server,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, pool, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)spec->max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)idle, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        (unsigned)LISTEN_BACKLOG, MHD_OPTION_END);
}

BkHttpServer *
BkHttpServer_Create(BkLoop *loop, const BkHttpServerSpec *spec)
{
    struct sockaddr_in address;

    if (parse_address(spec->listen, &address) != BK_OK) {
        return NULL;
    }
    BkHttpServer *server = BkMem_New(1, sizeof(*server));
    server->loop = loop;
    server->spec = *spec;
    server->daemon = start_daemon(server, &address);
    if (server->daemon == NULL) {
        BkErr_Set(BK_EIO, "cannot listen on %s: %s", spec->listen,
                  strerror(errno));
        free(server);
        return NULL;
    }
    server->run_timer = BkTimer_Create(loop, run_on_timer, server);
    server->sweep_timer = BkTimer_Create(loop, sweep_requests, server);
    server->watch = BkLoop_Watch(
        loop,
        MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD)
            ->epoll_fd,
        BK_LOOP_READ, run_on_event, server);
    return server;
}

void
BkHttpServer_Destroy(BkHttpServer *server)
{
    if (server == NULL) {
        return;
    }
    BkWatch_Destroy(server->watch);
    for (BkHttpReq *req = server->first; req != NULL; req = req->next) {
        req->gone = true;
        resume_request(req);
    }
    BkHttpServer_Quiesce(server);
    MHD_stop_daemon(server->daemon);
    BkTimer_Destroy(server->run_timer);
    BkTimer_Destroy(server->sweep_timer);
    free(server);
}

int
BkHttpServer_Port(const BkHttpServer *server)
{
    return MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT)
        ->port;
}

void
BkHttpServer_Quiesce(BkHttpServer *server)
{
    if (server->quiesced) {
        return;
    }
    server->quiesced = true;
    MHD_socket fd = MHD_quiesce_daemon(server->daemon);
    if (fd != MHD_INVALID_SOCKET) {
        close(fd);
    }
}

int
BkHttpServer_Active(const BkHttpServer *server)
{
    return server->active;
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

BkStr
BkHttpReq_Query(const BkHttpReq *req, const char *name)
{
    return BkStr_FromC(MHD_lookup_connection_value(
        req->connection, MHD_GET_ARGUMENT_KIND, name));
}

void
BkHttpReq_OnClose(BkHttpReq *req,
                  void (*fn)(BkHttpReq *req, bool complete, void *arg),
                  void *arg)
{
    req->on_close = fn;
    req->close_arg = arg;
}

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

/* queued by MHD's next call of us, or by the one that is going on */
static void
set_response(BkHttpReq *req, int code, struct MHD_Response *response)
{
    if (response == NULL || req->response != NULL) {
        abort();
    }
    req->response = response;
    req->code = code;
    resume_request(req);
}

void
BkHttpReq_Reply(BkHttpReq *req, int code, const char *const *headers,
                BkStr content_type, BkStr body)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        body.len, body.len == 0 ? "" : (char *)body.ptr,
        MHD_RESPMEM_MUST_COPY);

    add_headers(response, headers, content_type);
    req->state = REQ_ANSWERED;
    req->complete = true;
    set_response(req, code, response);
}

void
BkHttpReq_Fail(BkHttpReq *req, BkStatus status, const char *message,
               BkMs retry_after)
{
    const BkStatusInfo *info = BkStatus_Info(status);
    char retry[40] = "";
    const char *headers[] = {retry_after > 0 ? retry : NULL, NULL};
    json_t *error =
        json_pack("{s:i, s:s, s:s, s:s}", "code", (int)info->status, "name",
                  info->name, "outcome", BkOutcome_Name(info->outcome),
                  "message", message == NULL ? info->text : message);

    if (error == NULL) { /* the message is not UTF-8 */
        BkHttpReq_Fail(req, status, NULL, retry_after);
        return;
    }
    if (retry_after > 0) {
        json_object_set_new(error, "retry_after_ms",
                            json_integer(retry_after));
        snprintf(retry, sizeof(retry), "Retry-After: %lld",
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
call_drain(BkHttpReq *req)
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
        call_drain(req);
        return (ssize_t)n;
    }
    if (req->state == REQ_ENDED) {
        return req->complete ? MHD_CONTENT_READER_END_OF_STREAM
                             : MHD_CONTENT_READER_END_WITH_ERROR;
    }
    suspend_request(req);
    return 0;
}

void
BkHttpReq_Stream(BkHttpReq *req, int code, const char *const *headers,
                 BkStr content_type, void (*on_drain)(void *arg), void *arg)
{
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, READER_BLOCK, read_stream, req, NULL);

    req->on_drain = on_drain;
    req->drain_arg = arg;
    add_headers(response, headers, content_type);
    req->state = REQ_STREAMING;
    set_response(req, code, response);
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
    resume_request(req);
    return true;
}

void
BkHttpReq_End(BkHttpReq *req, bool complete)
{
    req->state = REQ_ENDED;
    req->complete = complete;
    resume_request(req);
}
