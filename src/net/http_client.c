#include "bk/net/http_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include <curl/curl.h>

enum {
    DEFAULT_CONNECT_TIMEOUT = 1000, /* ms */
    USER_TIMEOUT = 10000,           /* ms that sent bytes stay unconfirmed */
    READ_BUFFER = 8 * 1024,         /* bytes */
    WRITE_BUFFER = 16 * 1024,       /* bytes; libcurl's smallest */
    SENT_WITH_HEAD = 64 * 1024,     /* a smaller body goes with the head */
    POOLED_CONNECTIONS = 512,
    FREE_HANDLES = 64
};

typedef enum CallState {
    CALL_PENDING, /* not yet with libcurl */
    CALL_RUNNING,
    CALL_CANCELLED /* freed once libcurl is not calling us */
} CallState;

struct BkHttpCall {
    BkHttpClient *client;
    CURL *easy;
    CallState state;
    bool may_repeat; /* a read, which libcurl may send again */
    bool refused;    /* not a numeric address: never given to libcurl */
    bool paused;
    bool resume; /* once libcurl is not calling us */
    bool framed; /* the answer says how long it is */
    bool bodiless;
    bool too_big;
    bool head_done;
    int code;
    struct curl_slist *headers;
    BkBuf body;
    BkHttpSpec spec; /* its texts are gone */
    BkTimer *idle_timer;
    BkMs last_byte;
    bool idle_out;
    BkHttpFetchFn fetch;
    void *fetch_arg;
    BkBuf fetched;
    bool todo; /* in the client's list */
    BkHttpCall *next_todo;
    BkHttpCall *prev;
    BkHttpCall *next;
};

struct BkHttpClient {
    BkLoop *loop;
    CURLM *multi;
    BkTimer *timer;
    BkTimer *settle_timer;
    int depth; /* above 0 while libcurl may be calling us */
    BkHttpCall *first;
    BkHttpCall *todo; /* wait until libcurl is not calling us */
    CURL *handles[FREE_HANDLES];
    int handle_count;
};

static void settle_calls(void *client);

static void
enter_curl(BkHttpClient *client)
{
    client->depth++;
}

static void
leave_curl(BkHttpClient *client)
{
    client->depth--;
    if (client->depth == 0) {
        settle_calls(client);
    }
}

static void
act_on_socket(int fd, int events, void *arg)
{
    BkHttpClient *client = arg;
    int mask = 0;
    int running;

    if ((events & BK_LOOP_READ) != 0) {
        mask |= CURL_CSELECT_IN;
    }
    if ((events & BK_LOOP_WRITE) != 0) {
        mask |= CURL_CSELECT_OUT;
    }
    enter_curl(client);
    curl_multi_socket_action(client->multi, fd, mask, &running);
    leave_curl(client);
}

static void
act_on_timer(void *arg)
{
    BkHttpClient *client = arg;
    int running;

    enter_curl(client);
    curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    leave_curl(client);
}

static int
watch_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *socketp)
{
    BkHttpClient *client = arg;
    BkWatch *watch = socketp;
    int events = 0;

    if (what == CURL_POLL_REMOVE) {
        BkWatch_Destroy(watch);
        return 0;
    }
    if ((what & CURL_POLL_IN) != 0) {
        events |= BK_LOOP_READ;
    }
    if ((what & CURL_POLL_OUT) != 0) {
        events |= BK_LOOP_WRITE;
    }
    if (watch == NULL) {
        watch = BkLoop_Watch(client->loop, fd, events, act_on_socket, client);
        curl_multi_assign(client->multi, fd, watch);
    }
    else {
        BkWatch_Modify(watch, events);
    }
    return 0;
}

static int
set_timer(CURLM *multi, long after, void *arg)
{
    BkHttpClient *client = arg;

    if (after < 0) {
        BkTimer_Stop(client->timer);
    }
    else {
        BkTimer_Start(client->timer, after);
    }
    return 0;
}

BkHttpClient *
BkHttpClient_Create(BkLoop *loop)
{
    BkHttpClient *client = BkMem_New(1, sizeof(*client));

    curl_global_init(CURL_GLOBAL_DEFAULT);
    client->loop = loop;
    client->multi = curl_multi_init();
    client->timer = BkTimer_Create(loop, act_on_timer, client);
    client->settle_timer = BkTimer_Create(loop, settle_calls, client);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
                      (long)POOLED_CONNECTIONS);
    return client;
}

static void
attend_later(BkHttpCall *call)
{
    BkHttpClient *client = call->client;

    if (call->todo) {
        return;
    }
    call->todo = true;
    call->next_todo = client->todo;
    client->todo = call;
    if (client->depth == 0) {
        BkTimer_Start(client->settle_timer, 0);
    }
}

static void
unlink_call(BkHttpCall *call)
{
    BkHttpCall **at = &call->client->todo;

    while (call->todo && *at != call) {
        at = &(*at)->next_todo;
    }
    if (call->todo) {
        *at = call->next_todo;
    }
    if (call->prev != NULL) {
        call->prev->next = call->next;
    }
    else {
        call->client->first = call->next;
    }
    if (call->next != NULL) {
        call->next->prev = call->prev;
    }
}

/* outside of libcurl's callbacks only */
static void
free_call(BkHttpCall *call)
{
    BkHttpClient *client = call->client;

    unlink_call(call);
    if (call->easy != NULL) {
        curl_multi_remove_handle(client->multi, call->easy);
        curl_easy_reset(call->easy);
        if (client->handle_count < FREE_HANDLES) {
            client->handles[client->handle_count++] = call->easy;
        }
        else {
            curl_easy_cleanup(call->easy);
        }
    }
    curl_slist_free_all(call->headers);
    BkTimer_Destroy(call->idle_timer);
    BkBuf_Destroy(&call->body);
    BkBuf_Destroy(&call->fetched);
    free(call);
}

void
BkHttpClient_Destroy(BkHttpClient *client)
{
    if (client == NULL) {
        return;
    }
    while (client->first != NULL) {
        free_call(client->first);
    }
    for (int i = 0; i < client->handle_count; i++) {
        curl_easy_cleanup(client->handles[i]);
    }
    curl_multi_cleanup(client->multi);
    BkTimer_Destroy(client->timer);
    BkTimer_Destroy(client->settle_timer);
    free(client);
    curl_global_cleanup();
}

static size_t
take_data(char *ptr, size_t size, size_t count, void *arg)
{
    BkHttpCall *call = arg;
    BkStr data = {ptr, size * count};

    if (call->state != CALL_RUNNING) {
        return 0;
    }
    call->last_byte = BkClock_Now();
    if (call->fetch != NULL) {
        call->too_big = BkBuf_Append(&call->fetched, data) != BK_OK;
        return call->too_big ? 0 : data.len;
    }
    if (call->spec.on_data != NULL &&
        !call->spec.on_data(call, data, call->spec.arg)) {
        call->paused = call->state == CALL_RUNNING;
        return call->paused ? CURL_WRITEFUNC_PAUSE : 0;
    }
    return call->state == CALL_RUNNING ? data.len : 0;
}

static void
begin_head(BkHttpCall *call, BkStr line)
{
    uint64_t code = 0;

    BkStr_Split(&line, ' ');
    BkStr_ToU64(BkStr_Split(&line, ' '), &code);
    call->code = (int)code;
    call->framed = code == 204 || code == 304 || call->bodiless;
}

static void
take_header(BkHttpCall *call, BkStr line)
{
    BkStr name = BkStr_Split(&line, ':');
    BkStr value = BkStr_Trim(line);

    if ((name.len == 14 && strncasecmp(name.ptr, "Content-Length", 14) == 0) ||
        (name.len == 17 &&
         strncasecmp(name.ptr, "Transfer-Encoding", 17) == 0)) {
        call->framed = true;
    }
    if (call->spec.on_header != NULL && call->code >= 200) {
        call->spec.on_header(call, name, value, call->spec.arg);
    }
}

static size_t
take_head_line(char *ptr, size_t size, size_t count, void *arg)
{
    BkHttpCall *call = arg;
    BkStr line = BkStr_Trim((BkStr){ptr, size * count});

    if (call->state != CALL_RUNNING) {
        return 0;
    }
    call->last_byte = BkClock_Now();
    if (call->head_done) { /* a trailer */
        return size * count;
    }
    if (BkStr_StartsWith(line, BK_STR("HTTP/"))) {
        begin_head(call, line);
    }
    else if (line.len > 0) {
        take_header(call, line);
    }
    else if (call->code >= 200) {
        call->head_done = true;
        if (call->spec.on_head != NULL) {
            call->spec.on_head(call, call->code, call->spec.arg);
        }
    }
    return call->state == CALL_RUNNING ? size * count : 0;
}

static int
tune_socket(void *arg, curl_socket_t fd, curlsocktype purpose)
{
    unsigned ms = USER_TIMEOUT;

    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
    return CURL_SOCKOPT_OK;
}

/* libcurl sends a request again, silently, when a pooled connection is closed
   under it; the first one may have run, which a refusal of the second one
   would hide */
static int
allow_send(void *arg, char *far_ip, char *near_ip, int far_port, int near_port)
{
    BkHttpCall *call = arg;
    long request = 0;

    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request);
    return request > 0 && !call->may_repeat ? CURL_PREREQFUNC_ABORT
                                            : CURL_PREREQFUNC_OK;
}

/* anything else would make libcurl start a thread that looks names up */
static bool
is_numeric(const char *url)
{
    BkStr rest = BkStr_FromC(url);
    char host[INET_ADDRSTRLEN];
    struct in_addr address;

    if (!BkStr_StartsWith(rest, BK_STR("http://"))) {
        return false;
    }
    rest.ptr += strlen("http://");
    rest.len -= strlen("http://");
    rest = BkStr_Split(&rest, '/');
    BkStr ip = BkStr_Split(&rest, ':');
    if (ip.len >= sizeof(host)) {
        return false;
    }
    memcpy(host, ip.ptr, ip.len);
    host[ip.len] = '\0';
    return inet_pton(AF_INET, host, &address) == 1;
}

static void
set_headers(BkHttpCall *call, const BkHttpSpec *spec)
{
    bool typed = false;

    call->headers = curl_slist_append(NULL, "Expect:");
    for (int i = 0; spec->headers != NULL && spec->headers[i] != NULL; i++) {
        typed |= strncasecmp(spec->headers[i], "Content-Type:", 13) == 0;
        call->headers = curl_slist_append(call->headers, spec->headers[i]);
    }
    if (!typed) { /* libcurl would claim a form */
        call->headers = curl_slist_append(call->headers, "Content-Type:");
    }
    curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
}

static void
set_method(BkHttpCall *call, const char *method)
{
    CURL *easy = call->easy;

    if (strcmp(method, "HEAD") == 0) {
        call->bodiless = true;
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (call->body.len > 0 || strcmp(method, "POST") == 0 ||
        strcmp(method, "PUT") == 0) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)call->body.len);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, BkBuf_C(&call->body));
    }
    if (strcmp(method, "GET") != 0 || call->body.len > 0) {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
    }
}

static void
set_options(BkHttpCall *call, const BkHttpSpec *spec)
{
    CURL *easy = call->easy;
    BkMs connect = spec->connect_timeout > 0 ? spec->connect_timeout
                                             : DEFAULT_CONNECT_TIMEOUT;

    curl_easy_setopt(easy, CURLOPT_URL, spec->url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, tune_socket);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, allow_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, (long)READ_BUFFER);
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, (long)WRITE_BUFFER);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)spec->timeout);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_head_line);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
    if (spec->once) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    set_method(call, spec->method);
    set_headers(call, spec);
}

static CURL *
take_handle(BkHttpClient *client)
{
    if (client->handle_count > 0) {
        return client->handles[--client->handle_count];
    }
    CURL *easy = curl_easy_init();
    if (easy == NULL) {
        abort();
    }
    return easy;
}

static void
complete_call(BkHttpCall *call, const BkHttpResult *result)
{
    BkHttpSpec spec = call->spec;
    BkHttpFetchFn fetch = call->fetch;
    void *fetch_arg = call->fetch_arg;
    BkBuf fetched = call->fetched;

    call->fetched = BkBuf_Make(0);
    free_call(call);
    if (fetch != NULL) {
        fetch(result, BkBuf_Str(&fetched), fetch_arg);
    }
    else if (spec.on_done != NULL) {
        spec.on_done(result, spec.arg);
    }
    BkBuf_Destroy(&fetched);
}

static void
check_idle(void *arg)
{
    BkHttpCall *call = arg;
    BkMs left = call->last_byte + call->spec.idle_timeout - BkClock_Now();

    if (call->paused || call->last_byte == 0) {
        left = call->spec.idle_timeout;
    }
    if (left > 0) {
        BkTimer_Start(call->idle_timer, left);
        return;
    }
    call->idle_out = true;
    attend_later(call);
}

static void
launch_call(BkHttpCall *call)
{
    call->state = CALL_RUNNING;
    if (call->spec.idle_timeout > 0) {
        call->idle_timer =
            BkTimer_Create(call->client->loop, check_idle, call);
        BkTimer_Start(call->idle_timer, call->spec.idle_timeout);
    }
    if (curl_multi_add_handle(call->client->multi, call->easy) != CURLM_OK) {
        abort();
    }
}

static void
read_result(BkHttpCall *call, CURLcode rc, BkHttpResult *result)
{
    curl_off_t upload = 0;
    curl_off_t download = 0;
    long request = 0;
    long head = 0;

    curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &upload);
    curl_easy_getinfo(call->easy, CURLINFO_SIZE_DOWNLOAD_T, &download);
    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request);
    curl_easy_getinfo(call->easy, CURLINFO_HEADER_SIZE, &head);
    result->code = call->head_done ? call->code : 0;
    result->sent = request > 0 || upload > 0;
    result->sent_bytes =
        call->body.len < SENT_WITH_HEAD ? request : request + upload;
    result->got_bytes = head + download;
    if (rc == CURLE_OK && call->framed) {
        result->status = BK_OK;
    }
    else if (!result->sent) {
        result->status = BK_ECONNECT;
    }
    else if (call->too_big) {
        result->status = BK_ETOOBIG;
    }
    else if (rc == CURLE_OPERATION_TIMEDOUT || call->idle_out) {
        result->status = BK_ETIMEOUT;
    }
    else {
        result->status = call->head_done ? BK_ETRUNCATED : BK_EUNKNOWN;
    }
}

static void
finish_call(BkHttpCall *call, CURLcode rc)
{
    BkHttpResult result = {.status = BK_ECONNECT};

    if (!call->refused) {
        read_result(call, rc, &result);
    }
    complete_call(call, &result);
}

static void
attend_to(BkHttpCall *call)
{
    call->todo = false;
    if (call->state == CALL_CANCELLED) {
        free_call(call);
    }
    else if (call->idle_out || call->refused) {
        finish_call(call, CURLE_OPERATION_TIMEDOUT);
    }
    else if (call->state == CALL_PENDING) {
        launch_call(call);
    }
    else if (call->resume) {
        call->resume = false;
        call->paused = false;
        call->last_byte = BkClock_Now();
        call->client->depth++;
        curl_easy_pause(call->easy, CURLPAUSE_CONT);
        call->client->depth--;
    }
}

static void
finish_message(const CURLMsg *message)
{
    BkHttpCall *call = NULL;
    CURLcode rc = message->data.result;

    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
    if (call->state == CALL_CANCELLED) {
        free_call(call);
    }
    else {
        finish_call(call, rc);
    }
}

static void
settle_calls(void *arg)
{
    BkHttpClient *client = arg;

    for (;;) {
        int left;
        CURLMsg *message = curl_multi_info_read(client->multi, &left);
        if (message != NULL) {
            finish_message(message);
        }
        else if (client->todo != NULL) {
            BkHttpCall *call = client->todo;
            client->todo = call->next_todo;
            attend_to(call);
        }
        else {
            return;
        }
    }
}

BkHttpCall *
BkHttpClient_Start(BkHttpClient *client, const BkHttpSpec *spec)
{
    BkHttpCall *call = BkMem_New(1, sizeof(*call));

    call->client = client;
    call->spec = *spec;
    call->next = client->first;
    if (client->first != NULL) {
        client->first->prev = call;
    }
    client->first = call;
    call->easy = take_handle(client);
    BkBuf_Append(&call->body, spec->body);
    call->refused = !is_numeric(spec->url);
    set_options(call, spec);
    if (call->refused || client->depth > 0) {
        attend_later(call);
    }
    else {
        launch_call(call);
    }
    return call;
}

void
BkHttpCall_Resume(BkHttpCall *call)
{
    call->resume = true;
    attend_later(call);
}

void
BkHttpCall_Cancel(BkHttpCall *call)
{
    call->state = CALL_CANCELLED;
    if (call->client->depth > 0) {
        attend_later(call);
    }
    else {
        free_call(call);
    }
}

BkHttpCall *
BkHttpClient_Fetch(BkHttpClient *client, const BkHttpSpec *spec, size_t max,
                   BkHttpFetchFn fn, void *arg)
{
    BkHttpCall *call = BkHttpClient_Start(client, spec);

    call->may_repeat = strcmp(spec->method, "GET") == 0 && !spec->once;
    call->fetch = fn;
    call->fetch_arg = arg;
    call->fetched = BkBuf_Make(max);
    return call;
}
