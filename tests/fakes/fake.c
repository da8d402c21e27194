#include "fake.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <microhttpd.h>

enum {
    US_PER_MS = 1000,
    POLL_US = 5 * US_PER_MS,
    STREAM_BLOCK = 4096
};

/* an answer that is being sent */
typedef struct Sending {
    BkFakeReply reply;
    size_t cut_at; /* bytes after which the connection is closed */
    bool ended;
} Sending;

/* the effect of a fault on a request */
typedef struct Fault {
    char action[16];
    BkMs ms;
    size_t bytes;
} Fault;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static BkFakeSpec fake_spec;
static BkMs start_time;
static BkBuf journal;
static int journal_lines;
static json_t *settings;
static json_t *fault_list;

const char *
BkFake_Option(int argc, char **argv, const char *name, const char *fallback)
{
    for (int i = 1; i + 1 < argc; i++) {
        if (strcmp(argv[i], name) == 0) {
            return argv[i + 1];
        }
    }
    return fallback;
}

bool
BkFake_Flag(int argc, char **argv, const char *name)
{
    for (int i = 1; i < argc; i++) {
        if (strcmp(argv[i], name) == 0) {
            return true;
        }
    }
    return false;
}

void
BkFake_Lock(void)
{
    pthread_mutex_lock(&lock);
}

void
BkFake_Unlock(void)
{
    pthread_mutex_unlock(&lock);
}

void
BkFake_Journal(json_t *line)
{
    json_object_set_new(line, "n", json_integer(++journal_lines));
    json_object_set_new(line, "at", json_integer(BkClock_Now() - start_time));
    char *text = json_dumps(line, JSON_COMPACT);
    BkBuf_Printf(&journal, "%s\n", text);
    free(text);
    json_decref(line);
}

int64_t
BkFake_Setting(const char *name, int64_t fallback)
{
    json_t *value = json_object_get(settings, name);

    if (json_is_boolean(value)) {
        return json_is_true(value);
    }
    return json_is_integer(value) ? json_integer_value(value) : fallback;
}

const char *
BkFake_Header(const BkFakeReq *req, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(req->connection, MHD_HEADER_KIND, name);

    return value == NULL ? "" : value;
}

const char *
BkFake_Query(const BkFakeReq *req, const char *name)
{
    const char *value = MHD_lookup_connection_value(
        req->connection, MHD_GET_ARGUMENT_KIND, name);

    return value == NULL ? "" : value;
}

void
BkFake_Answer(BkFakeReply *reply, int code, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);

    reply->code = code;
    BkBuf_Printf(&reply->body, "%s", text);
    free(text);
    json_decref(value);
}

/* whether the fault applies to this request; counts matching requests */
static bool
fault_applies(json_t *fault_json, const char *kind, const BkFakeReq *req)
{
    const char *on = json_string_value(json_object_get(fault_json, "on"));
    const char *match =
        json_string_value(json_object_get(fault_json, "match"));
    int64_t skip = json_integer_value(json_object_get(fault_json, "skip"));
    json_t *times = json_object_get(fault_json, "times");
    int64_t seen = json_integer_value(json_object_get(fault_json, "seen"));

    if (on == NULL || (strcmp(on, "all") != 0 && strcmp(on, kind) != 0)) {
        return false;
    }
    if (match != NULL && strstr(req->path, match) == NULL &&
        strstr(BkBuf_C(&req->body), match) == NULL) {
        return false;
    }
    json_object_set_new(fault_json, "seen", json_integer(seen + 1));
    return seen >= skip &&
           (times == NULL || seen < skip + json_integer_value(times));
}

static Fault
find_fault(const char *kind, const BkFakeReq *req)
{
    Fault fault = {.action = ""};
    size_t i;
    json_t *fault_json;

    json_array_foreach(fault_list, i, fault_json)
    {
        if (fault.action[0] == '\0' && fault_applies(fault_json, kind, req)) {
            const char *action =
                json_string_value(json_object_get(fault_json, "do"));
            snprintf(fault.action, sizeof(fault.action), "%s",
                     action == NULL ? "" : action);
            fault.ms = json_integer_value(json_object_get(fault_json, "ms"));
            fault.bytes = (size_t)json_integer_value(
                json_object_get(fault_json, "bytes"));
        }
    }
    return fault;
}

static void
free_sending(void *arg)
{
    Sending *sending = arg;

    BkBuf_Destroy(&sending->reply.body);
    free(sending->reply.stream_arg);
    free(sending);
}

static ssize_t
read_answer(void *arg, uint64_t pos, char *buf, size_t max)
{
    Sending *sending = arg;
    BkFakeReply *reply = &sending->reply;

    if (pos >= sending->cut_at) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    while (reply->body.len == 0) {
        if (reply->stream == NULL || sending->ended) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        BkFakeNext next = reply->stream(reply->stream_arg, &reply->body);
        if (next == FAKE_CUT) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        sending->ended = next == FAKE_END;
    }
    size_t n = reply->body.len < max ? reply->body.len : max;
    n = n < sending->cut_at - pos ? n : sending->cut_at - pos;
    memcpy(buf, reply->body.ptr, n);
    BkBuf_Consume(&reply->body, n);
    return (ssize_t)n;
}

static enum MHD_Result
send_answer(BkFakeReq *req, const BkFakeReply *reply, size_t cut_at)
{
    Sending *sending = BkMem_New(1, sizeof(*sending));

    *sending = (Sending){.reply = *reply, .cut_at = cut_at};
    struct MHD_Response *response = MHD_create_response_from_callback(
        reply->stream == NULL ? reply->body.len : MHD_SIZE_UNKNOWN,
        STREAM_BLOCK, read_answer, sending, free_sending);
    MHD_add_response_header(response, "Content-Type",
                            reply->stream == NULL ? "application/json"
                                                  : "text/event-stream");
    if (reply->not_run) {
        MHD_add_response_header(response, "X-Not-Run", "yes");
    }
    enum MHD_Result queued =
        MHD_queue_response(req->connection, (unsigned)reply->code, response);
    MHD_destroy_response(response);
    return queued;
}

static void
delay_request(const BkFakeReq *req, const char *kind)
{
    BkFake_Lock();
    if (BkFake_Setting("frozen", 0) != 0) {
        BkFake_Journal(json_pack("{s:s, s:s, s:O?}", "ev", "held", "on", kind,
                                 "body", req->json));
    }
    while (BkFake_Setting("frozen", 0) != 0) {
        BkFake_Unlock();
        usleep(POLL_US);
        BkFake_Lock();
    }
    int64_t slow_ms = BkFake_Setting("slow_ms", 0);
    BkFake_Unlock();
    if (slow_ms > 0) {
        usleep((useconds_t)slow_ms * US_PER_MS);
    }
}

static enum MHD_Result
refuse(BkFakeReq *req, const char *kind)
{
    BkFakeReply reply = {.not_run = true};

    BkFake_Lock();
    BkFake_Journal(json_pack("{s:s, s:s, s:s}", "ev", "refused", "on", kind,
                             "request", BkFake_Header(req, "X-Request-Id")));
    BkFake_Unlock();
    BkFake_Answer(&reply, MHD_HTTP_SERVICE_UNAVAILABLE,
                  json_pack("{s:s}", "error", "refused"));
    return send_answer(req, &reply, SIZE_MAX);
}

static enum MHD_Result
lose_answer(const char *kind, BkFakeReply *reply)
{
    BkFake_Lock();
    BkFake_Journal(json_pack("{s:s, s:s}", "ev", "lost-answer", "on", kind));
    BkFake_Unlock();
    BkBuf_Destroy(&reply->body);
    free(reply->stream_arg);
    return MHD_NO;
}

static enum MHD_Result
handle_with_fault(BkFakeReq *req, const char *kind, const Fault *fault)
{
    BkFakeReply reply = {0};

    if (strcmp(fault->action, "drop") == 0) {
        return MHD_NO;
    }
    if (strcmp(fault->action, "refuse") == 0) {
        return refuse(req, kind);
    }
    if (strcmp(fault->action, "delay") == 0) {
        usleep((useconds_t)fault->ms * US_PER_MS);
    }
    fake_spec.handle(req, &reply);
    if (strcmp(fault->action, "duplicate") == 0) {
        BkFakeReply second_reply = {0};
        fake_spec.handle(req, &second_reply);
        BkBuf_Destroy(&second_reply.body);
        free(second_reply.stream_arg);
    }
    if (strcmp(fault->action, "lose-answer") == 0) {
        return lose_answer(kind, &reply);
    }
    return send_answer(req, &reply,
                       strcmp(fault->action, "cut") == 0 ? fault->bytes
                                                         : SIZE_MAX);
}

static enum MHD_Result
serve(BkFakeReq *req)
{
    const char *kind = fake_spec.classify(req);
    BkFakeReply reply = {0};

    if (kind == NULL) {
        BkFake_Answer(&reply, MHD_HTTP_NOT_FOUND,
                      json_pack("{s:s}", "error", "no such call"));
        return send_answer(req, &reply, SIZE_MAX);
    }
    delay_request(req, kind);
    BkFake_Lock();
    bool outage = BkFake_Setting("outage", 0) != 0;
    Fault fault = find_fault(kind, req);
    BkFake_Unlock();
    return outage ? refuse(req, kind) : handle_with_fault(req, kind, &fault);
}

static enum MHD_Result
serve_ctl(BkFakeReq *req)
{
    BkFakeReply reply = {.code = MHD_HTTP_OK};

    BkFake_Lock();
    if (strcmp(req->path, "/ctl/journal") == 0) {
        BkBuf_Append(&reply.body, BkBuf_Str(&journal));
    }
    else if (strcmp(req->path, "/ctl/faults") == 0 &&
             json_is_array(req->json)) {
        json_decref(fault_list);
        fault_list = json_deep_copy(req->json);
    }
    else if (strcmp(req->path, "/ctl/set") == 0 && json_is_object(req->json)) {
        json_object_update(settings, req->json);
        if (fake_spec.on_set != NULL) {
            fake_spec.on_set(req->json);
        }
    }
    else {
        reply.code = MHD_HTTP_BAD_REQUEST;
    }
    BkFake_Unlock();
    return send_answer(req, &reply, SIZE_MAX);
}

static enum MHD_Result
access_request(void *cls, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version, const char *data,
               size_t *size, void **con_cls)
{
    BkFakeReq *req = *con_cls;

    if (req == NULL) {
        req = BkMem_New(1, sizeof(*req));
        req->connection = connection;
        req->method = BkStr_Dup(BkStr_FromC(method));
        req->path = BkStr_Dup(BkStr_FromC(url));
        *con_cls = req;
        return MHD_YES;
    }
    if (*size > 0) {
        BkBuf_Append(&req->body, (BkStr){data, *size});
        *size = 0;
        return MHD_YES;
    }
    req->received = BkClock_Now();
    req->json = json_loadb(BkBuf_C(&req->body), req->body.len, 0, NULL);
    return strncmp(req->path, "/ctl/", 5) == 0 ? serve_ctl(req) : serve(req);
}

static void
finish_request(void *cls, struct MHD_Connection *connection, void **con_cls,
               enum MHD_RequestTerminationCode why)
{
    BkFakeReq *req = *con_cls;

    if (req != NULL) {
        BkBuf_Destroy(&req->body);
        json_decref(req->json);
        free(req->method);
        free(req->path);
        free(req);
        *con_cls = NULL;
    }
}

void
BkFake_Run(const char *listen, const BkFakeSpec *spec)
{
    BkStr port_text = BkStr_FromC(listen);
    char *ip = BkStr_Dup(BkStr_Split(&port_text, ':'));
    uint64_t port = 0;
    struct sockaddr_in address = {.sin_family = AF_INET};

    BkStr_ToU64(port_text, &port);
    address.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, ip, &address.sin_addr);
    fake_spec = *spec;
    settings = json_object();
    fault_list = json_array();
    start_time = BkClock_Now();
    signal(SIGPIPE, SIG_IGN);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD, 0, NULL,
        NULL, access_request, NULL, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, finish_request, NULL,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_CONNECTION_LIMIT,
        4000U, MHD_OPTION_THREAD_STACK_SIZE, (size_t)(256 * 1024),
        MHD_OPTION_END);
    if (daemon == NULL) {
        fprintf(stderr, "cannot listen on %s: %s\n", listen, strerror(errno));
        exit(1);
    }
    printf("listening %s:%d\n", ip,
           MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
    fflush(stdout);
    free(ip);
    for (;;) {
        pause();
    }
}
