#include "client.h"

#include <stdlib.h>
#include <string.h>

enum {
    SENT_WITH_HEAD = 64 * 1024, /* a smaller body goes with the head */
    POOLED_CONNECTIONS = 512
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
        if (client->handle_count < HTTP_FREE_HANDLES) {
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
    call->refused = !http_is_numeric(spec->url);
    http_set_options(call, spec);
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
