#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

#include "bk/base/loop.h"
#include "bk/net/http_client.h"
#include "bk/net/http_server.h"

#include "script.h"

enum {
    MAX_BODY = 4096,
    MAX_HEADER = 8192,
    STREAM_BUFFER = 2048,
    STREAM_TOTAL = 200000,
    PATIENCE = 20000 /* ms; a bound, not a verdict */
};

/* what one test's handler saw and did */
typedef struct Net {
    BkLoop *loop;
    BkHttpServer *server;
    BkHttpClient *client;
    char url[64];
    int handled;
    int closed;
    bool closed_whole;
    BkHttpReq *held; /* a request without an answer yet */
    size_t written;  /* of a stream */
    bool cut;
    int refused_writes;
    /* the client's side */
    int done;
    BkHttpResult result;
    BkBuf got;
    bool take; /* on_data takes what comes */
    int pauses;
    BkHttpCall *call;
} Net;

static void
note_close(BkHttpReq *req, bool complete, void *arg)
{
    Net *net = arg;

    net->closed++;
    net->closed_whole = complete;
    net->held = NULL;
}

static void
fill_stream(void *arg)
{
    Net *net = arg;
    char chunk[500];

    memset(chunk, 'x', sizeof(chunk));
    while (net->written < STREAM_TOTAL) {
        if (!BkHttpReq_Write(net->held, (BkStr){chunk, sizeof(chunk)})) {
            net->refused_writes++;
            return;
        }
        net->written += sizeof(chunk);
    }
    BkHttpReq_End(net->held, !net->cut);
}

static void
handle(BkHttpReq *req, void *arg)
{
    Net *net = arg;
    BkStr path = BkHttpReq_Path(req);
    const char *headers[] = {"X-Seen: yes", NULL};

    net->handled++;
    BkHttpReq_OnClose(req, note_close, net);
    if (BkStr_Equal(path, BK_STR("/echo"))) {
        BkHttpReq_Reply(req, 200, headers, BK_STR("text/plain"),
                        BkHttpReq_Body(req));
    }
    else if (BkStr_Equal(path, BK_STR("/fail"))) {
        BkHttpReq_Fail(req, BK_EOVERLOAD, NULL, 900);
    }
    else if (BkStr_Equal(path, BK_STR("/hold"))) {
        net->held = req;
    }
    else {
        net->held = req;
        BkHttpReq_Stream(req, 200, NULL, BK_STR("text/event-stream"),
                         fill_stream, net);
        fill_stream(net);
    }
}

static Net *
open_net(void)
{
    Net *net = BkMem_New(1, sizeof(*net));
    BkHttpServerSpec spec = {.listen = "127.0.0.1:0",
                             .max_body = MAX_BODY,
                             .max_header = MAX_HEADER,
                             .max_connections = 100,
                             .stream_buffer = STREAM_BUFFER,
                             .idle_timeout = 600000,
                             .handler = handle,
                             .arg = net};

    net->take = true;
    net->loop = BkLoop_Create();
    net->server = BkHttpServer_Create(net->loop, &spec);
    ck_assert_ptr_nonnull(net->server);
    net->client = BkHttpClient_Create(net->loop);
    return net;
}

static void
close_net(Net *net)
{
    BkHttpClient_Destroy(net->client);
    BkHttpServer_Destroy(net->server);
    BkLoop_Destroy(net->loop);
    BkBuf_Destroy(&net->got);
    free(net);
}

/* runs the loop until *what is at least count */
static void
run_until(Net *net, const int *what, int count)
{
    BkMs end = BkClock_Now() + PATIENCE;

    while (*what < count) {
        ck_assert(BkClock_Now() < end);
        BkLoop_Round(net->loop, 50);
    }
}

static bool
take_data(BkHttpCall *call, BkStr data, void *arg)
{
    Net *net = arg;

    if (!net->take) {
        net->pauses++;
        return false;
    }
    BkBuf_Append(&net->got, data);
    return true;
}

static void
note_done(const BkHttpResult *result, void *arg)
{
    Net *net = arg;

    net->done++;
    net->result = *result;
}

static void
start(Net *net, const char *method, const char *path, BkStr body, bool once)
{
    snprintf(net->url, sizeof(net->url), "http://127.0.0.1:%d%s",
             BkHttpServer_Port(net->server), path);
    BkHttpSpec spec = {.method = method,
                       .url = net->url,
                       .body = body,
                       .once = once,
                       .on_data = take_data,
                       .on_done = note_done,
                       .arg = net};
    BkBuf_Clear(&net->got);
    net->call = BkHttpClient_Start(net->client, &spec);
}

static void
exchange(Net *net, const char *method, const char *path, BkStr body)
{
    int before = net->done;

    start(net, method, path, body, false);
    run_until(net, &net->done, before + 1);
}

START_TEST(test_exchange)
{
    Net *net = open_net();

    exchange(net, "POST", "/echo", BK_STR("hello"));
    ck_assert_int_eq(net->result.status, BK_OK);
    ck_assert_int_eq(net->result.code, 200);
    ck_assert_str_eq(BkBuf_C(&net->got), "hello");
    exchange(net, "GET", "/fail", BK_STR(""));
    ck_assert_int_eq(net->result.code, 429);
    ck_assert_str_eq(BkBuf_C(&net->got),
                     "{\"error\":{\"code\":17,\"name\":\"EOVERLOAD\","
                     "\"outcome\":\"not run\",\"message\":\"cannot be "
                     "answered on time\",\"retry_after_ms\":900}}");
    run_until(net, &net->closed, 2);
    ck_assert(net->closed_whole);
    ck_assert_int_eq(BkHttpServer_Active(net->server), 0);
    close_net(net);
}
END_TEST

START_TEST(test_oversized_body)
{
    Net *net = open_net();
    size_t size = 300000;
    char *big = BkMem_New(size, 1);

    memset(big, 'b', size);
    exchange(net, "POST", "/echo", (BkStr){big, size});
    ck_assert_int_eq(net->result.code, 413);
    ck_assert_ptr_nonnull(strstr(BkBuf_C(&net->got), "\"ETOOBIG\""));
    ck_assert_int_eq(net->handled, 0);
    exchange(net, "POST", "/echo", (BkStr){big, MAX_BODY});
    ck_assert_int_eq(net->result.code, 200);
    ck_assert_uint_eq(net->got.len, MAX_BODY);
    free(big);
    close_net(net);
}
END_TEST

START_TEST(test_stream_back_pressure)
{
    Net *net = open_net();

    net->take = false;
    start(net, "GET", "/stream", BK_STR(""), false);
    run_until(net, &net->pauses, 1);
    run_until(net, &net->refused_writes, 1);
    for (int i = 0; i < 20; i++) {
        BkLoop_Round(net->loop, 5);
    }
    ck_assert_int_eq(net->done, 0);
    net->take = true;
    BkHttpCall_Resume(net->call);
    run_until(net, &net->done, 1);
    ck_assert_int_eq(net->result.status, BK_OK);
    ck_assert_uint_eq(net->got.len, STREAM_TOTAL);
    close_net(net);
}
END_TEST

START_TEST(test_cut_stream_is_seen)
{
    Net *net = open_net();

    net->cut = true;
    exchange(net, "GET", "/stream", BK_STR(""));
    ck_assert_int_eq(net->result.status, BK_ETRUNCATED);
    ck_assert_uint_eq(net->got.len, STREAM_TOTAL);
    run_until(net, &net->closed, 1);
    ck_assert(!net->closed_whole);
    close_net(net);
}
END_TEST

START_TEST(test_caller_gone)
{
    Net *net = open_net();

    start(net, "GET", "/hold", BK_STR(""), false);
    run_until(net, &net->handled, 1);
    BkHttpCall_Cancel(net->call);
    run_until(net, &net->closed, 1);
    ck_assert(!net->closed_whole);
    ck_assert_int_eq(net->done, 0);
    close_net(net);
}
END_TEST

/* a request in progress when the server ends is closed, once */
START_TEST(test_destroy_while_held)
{
    Net *net = open_net();

    start(net, "GET", "/hold", BK_STR(""), false);
    run_until(net, &net->handled, 1);
    BkHttpServer_Destroy(net->server);
    net->server = NULL;
    ck_assert_int_eq(net->closed, 1);
    run_until(net, &net->done, 1);
    ck_assert_int_eq(net->result.status, BK_EUNKNOWN);
    ck_assert(net->result.sent);
    close_net(net);
}
END_TEST

START_TEST(test_nothing_sent)
{
    Net *net = open_net();

    BkHttpServer_Quiesce(net->server);
    exchange(net, "GET", "/echo", BK_STR(""));
    ck_assert_int_eq(net->result.status, BK_ECONNECT);
    ck_assert(!net->result.sent);
    BkHttpSpec named = {.method = "GET",
                        .url = "http://localhost:1/",
                        .on_done = note_done,
                        .arg = net};
    BkHttpClient_Start(net->client, &named);
    run_until(net, &net->done, 2);
    ck_assert_int_eq(net->result.status, BK_ECONNECT);
    close_net(net);
}
END_TEST

static int
connect_raw(const Net *net)
{
    struct sockaddr_in to = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)BkHttpServer_Port(net->server)),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    ck_assert_int_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
    return fd;
}

static void
send_text(int fd, const char *text)
{
    ck_assert_int_eq(send(fd, text, strlen(text), 0), (ssize_t)strlen(text));
}

/* sends bytes as they are; the answer until the end, or after patience */
static void
send_raw(Net *net, const char *bytes, bool shut, BkBuf *answer)
{
    int fd = connect_raw(net);
    BkMs end = BkClock_Now() + PATIENCE;
    char buf[4096];
    ssize_t n = -1;

    send_text(fd, bytes);
    if (shut) {
        shutdown(fd, SHUT_WR);
    }
    while (n != 0 && BkClock_Now() < end) {
        BkLoop_Round(net->loop, 10);
        n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
        if (n > 0) {
            BkBuf_Append(answer, (BkStr){buf, (size_t)n});
        }
        if (n > 0 && strstr(BkBuf_C(answer), "}}") != NULL) {
            break;
        }
    }
    ck_assert(n >= 0); /* closed, or answered */
    close(fd);
}

START_TEST(test_large_headers)
{
    Net *net = open_net();
    BkBuf request = BkBuf_Make(0);
    BkBuf answer = BkBuf_Make(0);

    BkBuf_Printf(&request,
                 "GET /echo HTTP/1.1\r\nHost: a\r\nX-Long: %0*d"
                 "\r\n\r\n",
                 MAX_HEADER + 500, 7);
    send_raw(net, BkBuf_C(&request), false, &answer);
    ck_assert_ptr_nonnull(strstr(BkBuf_C(&answer), "HTTP/1.1 431 "));
    ck_assert_ptr_nonnull(strstr(BkBuf_C(&answer), "\"EHEADERS\""));
    ck_assert_int_eq(net->handled, 0);
    BkBuf_Destroy(&request);
    BkBuf_Destroy(&answer);
    close_net(net);
}
END_TEST

#define CHUNKED_HEAD                                                          \
    "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

START_TEST(test_cut_body)
{
    static const char *const cut[] = {
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345",
        CHUNKED_HEAD "5\r\n12345\r\n",
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
    };
    Net *net = open_net();

    for (size_t i = 0; i < sizeof(cut) / sizeof(cut[0]); i++) {
        BkBuf answer = BkBuf_Make(0);
        send_raw(net, cut[i], true, &answer);
        ck_assert_ptr_null(strstr(BkBuf_C(&answer), " 200 "));
        BkBuf_Destroy(&answer);
    }
    ck_assert_int_eq(net->handled, 0);
    close_net(net);
}
END_TEST

/* a planned stop waits for a request whose body still comes */
START_TEST(test_reading_is_active)
{
    Net *net = open_net();
    int fd = connect_raw(net);
    BkMs end = BkClock_Now() + PATIENCE;

    send_text(fd, "POST /echo HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 10\r\n\r\n12345");
    while (BkHttpServer_Active(net->server) == 0) {
        ck_assert(BkClock_Now() < end);
        BkLoop_Round(net->loop, 10);
    }
    BkHttpServer_Quiesce(net->server);
    send_text(fd, "67890");
    run_until(net, &net->closed, 1);
    ck_assert(net->closed_whole);
    ck_assert_int_eq(BkHttpServer_Active(net->server), 0);
    close(fd);
    close_net(net);
}
END_TEST

/* a server that reads a request and closes without an answer */
typedef struct Closer {
    BkLoop *loop;
    int listener;
    BkWatch *watches[8];
    int connections;
    int requests;
    bool answer_first;
} Closer;

static void
read_and_close(int fd, int events, void *arg)
{
    static const char answer[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    Closer *closer = arg;
    char buf[2048];

    if (fd == closer->listener) {
        int client = accept(fd, NULL, NULL);
        closer->watches[++closer->connections] = BkLoop_Watch(
            closer->loop, client, BK_LOOP_READ, read_and_close, arg);
        return;
    }
    if (recv(fd, buf, sizeof(buf), 0) > 0) {
        closer->requests++;
        if (closer->answer_first && closer->requests == 1) {
            send(fd, answer, sizeof(answer) - 1, 0);
            return;
        }
    }
    shutdown(fd, SHUT_RDWR);
}

/* libcurl sends again on a fresh connection when a pooled one is closed
   under its request: the server would see it twice, the caller one answer */
START_TEST(test_never_sent_twice)
{
    Net *net = open_net();
    Closer closer = {.loop = net->loop, .answer_first = true};
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(at);
    char url[64];

    closer.listener = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(closer.listener, (struct sockaddr *)&at, len), 0);
    ck_assert_int_eq(listen(closer.listener, 8), 0);
    getsockname(closer.listener, (struct sockaddr *)&at, &len);
    closer.watches[0] = BkLoop_Watch(net->loop, closer.listener, BK_LOOP_READ,
                                     read_and_close, &closer);
    snprintf(url, sizeof(url), "http://127.0.0.1:%d/", ntohs(at.sin_port));
    BkHttpSpec spec = {.method = "POST",
                       .url = url,
                       .body = BK_STR("order"),
                       .on_done = note_done,
                       .arg = net};
    BkHttpClient_Start(net->client, &spec);
    run_until(net, &net->done, 1);
    ck_assert_int_eq(net->result.status, BK_OK);
    /* on the pooled connection */
    BkHttpClient_Start(net->client, &spec);
    run_until(net, &net->done, 2);
    ck_assert_int_eq(net->result.status, BK_EUNKNOWN);
    ck_assert(net->result.sent);
    ck_assert_int_eq(closer.requests, 2);
    spec.once = true;
    BkHttpClient_Start(net->client, &spec);
    run_until(net, &net->done, 3);
    ck_assert_int_eq(net->result.status, BK_EUNKNOWN);
    ck_assert_int_eq(closer.requests, 3);
    for (int i = 0; i <= closer.connections; i++) {
        BkWatch_Destroy(closer.watches[i]);
    }
    close(closer.listener);
    close_net(net);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_exchange,
                                  test_oversized_body,
                                  test_stream_back_pressure,
                                  test_cut_stream_is_seen,
                                  test_caller_gone,
                                  test_destroy_while_held,
                                  test_nothing_sent,
                                  test_large_headers,
                                  test_cut_body,
                                  test_reading_is_active,
                                  test_never_sent_twice};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_MainTimeout("net", tests, count, 50);
}
