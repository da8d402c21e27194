#include "client.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    /* libcurl sends a smaller body together with the head, and includes it in
       CURLINFO_REQUEST_SIZE */
    MAX_BODY_WITH_HEAD_BYTES = 64 * 1024,
    POOLED_CONNECTIONS = 512
};

static void process_deferred(void *client);

static void
enter_curl(BkHttpClient *client)
{
    client->curl_depth++;
}

static void
leave_curl(BkHttpClient *client)
{
    client->curl_depth--;
    if (client->curl_depth == 0) {
        process_deferred(client);
    }
}

static void
handle_socket_event(int fd, int events, void *arg)
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
handle_curl_timer(void *arg)
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
    BkHttpCall *call = NULL;
    int events = 0;

    if (what == CURL_POLL_REMOVE) {
        BkWatch_Destroy(watch);
        return 0;
    }
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
    if (call != NULL) {
        call->socket = fd;
    }
    if ((what & CURL_POLL_IN) != 0) {
        events |= BK_LOOP_READ;
    }
    if ((what & CURL_POLL_OUT) != 0) {
        events |= BK_LOOP_WRITE;
    }
    if (watch == NULL) {
        watch = BkLoop_Watch(client->loop, fd, events, handle_socket_event,
                             client);
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

int
http_close_socket(void *arg, curl_socket_t fd)
{
    const BkHttpClient *client = arg;
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    for (const BkHttpCall *call = client->first_call; call != NULL;
         call = call->next) {
        if (call->socket == fd && !call->head_done) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
        }
    }
    return close(fd);
}

BkHttpClient *
BkHttpClient_Create(BkLoop *loop)
{
    BkHttpClient *client = BkMem_New(1, sizeof(*client));

    curl_global_init(CURL_GLOBAL_DEFAULT);
    client->loop = loop;
    client->multi = curl_multi_init();
    client->timer = BkTimer_Create(loop, handle_curl_timer, client);
    client->deferred_timer = BkTimer_Create(loop, process_deferred, client);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
                      (long)POOLED_CONNECTIONS);
    return client;
}

static void
defer_call(BkHttpCall *call)
{
    BkHttpClient *client = call->client;

    if (call->is_deferred) {
        return;
    }
    call->is_deferred = true;
    call->next_deferred = client->deferred;
    client->deferred = call;
    if (client->curl_depth == 0) {
        BkTimer_Start(client->deferred_timer, 0);
    }
}

static void
unlink_call(BkHttpCall *call)
{
    BkHttpCall **link = &call->client->deferred;

    while (call->is_deferred && *link != call) {
        link = &(*link)->next_deferred;
    }
    if (call->is_deferred) {
        *link = call->next_deferred;
    }
    if (call->prev != NULL) {
        call->prev->next = call->next;
    }
    else {
        call->client->first_call = call->next;
    }
    if (call->next != NULL) {
        call->next->prev = call->prev;
    }
}

/* must not be called from libcurl's callbacks */
static void
free_call(BkHttpCall *call)
{
    BkHttpClient *client = call->client;

    if (call->easy != NULL) {
        /* may close its socket, so the call is still listed */
        curl_multi_remove_handle(client->multi, call->easy);
        curl_easy_cleanup(call->easy);
    }
    unlink_call(call);
    curl_slist_free_all(call->headers);
    BkTimer_Destroy(call->idle_timer);
    BkBuf_Destroy(&call->body);
    BkBuf_Destroy(&call->fetched);
    BkBuf_Destroy(&call->decoded);
    BkH1Body_Destroy(&call->framed);
    free(call);
}

void
BkHttpClient_Destroy(BkHttpClient *client)
{
    if (client == NULL) {
        return;
    }
    while (client->first_call != NULL) {
        free_call(client->first_call);
    }
    curl_multi_cleanup(client->multi);
    BkTimer_Destroy(client->timer);
    BkTimer_Destroy(client->deferred_timer);
    free(client);
    curl_global_cleanup();
}

/* A handle is used for one call only: libcurl 7.88 keeps a pointer to the last
   header field of a call, and uses it after it has freed the field if the next
   response on that handle begins with a continuation line. */
static CURL *
create_handle(void)
{
    CURL *easy = curl_easy_init();
    if (easy == NULL) {
        abort();
    }
    return easy;
}

static void
free_and_report_call(BkHttpCall *call, const BkHttpResult *result)
{
    BkHttpCallSpec spec = call->spec;
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
    bool begun = call->last_byte_at != 0;
    BkMs limit =
        begun ? call->spec.idle_timeout : call->spec.first_byte_timeout;
    BkMs since = begun ? call->last_byte_at : call->launched_at;

    if (begun && limit == 0) {
        return;
    }
    if (call->paused || limit == 0) {
        BkTimer_Start(call->idle_timer, call->spec.idle_timeout);
        return;
    }
    BkMs remaining = since + limit - BkClock_Now();
    if (remaining > 0) {
        BkTimer_Start(call->idle_timer, remaining);
        return;
    }
    call->idle_timed_out = true;
    defer_call(call);
}

static void
launch_call(BkHttpCall *call)
{
    const BkHttpCallSpec *spec = &call->spec;

    call->state = CALL_RUNNING;
    call->launched_at = BkClock_Now();
    if (spec->first_byte_timeout > 0 || spec->idle_timeout > 0) {
        call->idle_timer =
            BkTimer_Create(call->client->loop, check_idle, call);
        BkTimer_Start(call->idle_timer, spec->first_byte_timeout > 0
                                            ? spec->first_byte_timeout
                                            : spec->idle_timeout);
    }
    if (curl_multi_add_handle(call->client->multi, call->easy) != CURLM_OK) {
        abort();
    }
}

static void
read_result(BkHttpCall *call, CURLcode rc, BkHttpResult *result)
{
    curl_off_t upload_bytes = 0;
    curl_off_t download_bytes = 0;
    long request_bytes = 0;
    long head_bytes = 0;

    curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &upload_bytes);
    curl_easy_getinfo(call->easy, CURLINFO_SIZE_DOWNLOAD_T, &download_bytes);
    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_easy_getinfo(call->easy, CURLINFO_HEADER_SIZE, &head_bytes);
    result->http_status = call->head_done ? call->http_status : 0;
    result->may_have_been_sent = request_bytes > 0 || upload_bytes > 0;
    result->sent_bytes = call->body.len < MAX_BODY_WITH_HEAD_BYTES
                             ? request_bytes
                             : request_bytes + upload_bytes;
    result->received_bytes = head_bytes + download_bytes;
    if (rc == CURLE_OK && call->head_done && call->length_known &&
        (!call->chunked || call->framed.state == BK_H1_BODY_COMPLETE)) {
        result->status = BK_OK;
    }
    else if (!result->may_have_been_sent) {
        result->status = BK_ECONNECT;
    }
    else if (call->too_large) {
        result->status = BK_ETOOBIG;
    }
    else if (rc == CURLE_OPERATION_TIMEDOUT || call->idle_timed_out) {
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

    if (!call->url_invalid) {
        read_result(call, rc, &result);
    }
    free_and_report_call(call, &result);
}

static void
process_deferred_call(BkHttpCall *call)
{
    call->is_deferred = false;
    if (call->state == CALL_CANCELLED) {
        free_call(call);
    }
    else if (call->idle_timed_out || call->url_invalid) {
        finish_call(call, CURLE_OPERATION_TIMEDOUT);
    }
    else if (call->state == CALL_PENDING) {
        launch_call(call);
    }
    else if (call->resume_pending) {
        call->resume_pending = false;
        call->paused = false;
        call->last_byte_at = BkClock_Now();
        call->client->curl_depth++;
        curl_easy_pause(call->easy, CURLPAUSE_CONT);
        call->client->curl_depth--;
    }
}

static void
finish_transfer(const CURLMsg *message)
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
process_deferred(void *arg)
{
    BkHttpClient *client = arg;

    for (;;) {
        int remaining;
        CURLMsg *message = curl_multi_info_read(client->multi, &remaining);
        if (message != NULL) {
            finish_transfer(message);
        }
        else if (client->deferred != NULL) {
            BkHttpCall *call = client->deferred;
            client->deferred = call->next_deferred;
            process_deferred_call(call);
        }
        else {
            return;
        }
    }
}

BkHttpCall *
BkHttpClient_Start(BkHttpClient *client, const BkHttpCallSpec *spec)
{
    BkHttpCall *call = BkMem_New(1, sizeof(*call));

    call->client = client;
    call->socket = CURL_SOCKET_BAD;
    call->spec = *spec;
    call->next = client->first_call;
    if (client->first_call != NULL) {
        client->first_call->prev = call;
    }
    client->first_call = call;
    call->easy = create_handle();
    BkBuf_Append(&call->body, spec->body);
    call->url_invalid = !http_is_numeric_url(spec->url);
    http_set_options(call, spec);
    if (call->url_invalid || client->curl_depth > 0) {
        defer_call(call);
    }
    else {
        launch_call(call);
    }
    return call;
}

void
BkHttpCall_Resume(BkHttpCall *call)
{
    call->resume_pending = true;
    defer_call(call);
}

void
BkHttpCall_Cancel(BkHttpCall *call)
{
    call->state = CALL_CANCELLED;
    if (call->client->curl_depth > 0) {
        defer_call(call);
    }
    else {
        free_call(call);
    }
}

BkHttpCall *
BkHttpClient_Fetch(BkHttpClient *client, const BkHttpCallSpec *spec,
                   size_t max, BkHttpFetchFn fn, void *arg)
{
    BkHttpCall *call = BkHttpClient_Start(client, spec);

    call->may_resend =
        strcmp(spec->method, "GET") == 0 && !spec->new_connection;
    call->fetch = fn;
    call->fetch_arg = arg;
    call->fetched = BkBuf_Make(max);
    return call;
}
