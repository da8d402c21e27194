#include "client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "bk/base/log.h"

enum {
    DEFAULT_CONNECT_TIMEOUT_MS = 1000,
    /* ms that sent bytes may stay unacknowledged until the connection is
       closed */
    UNACKED_TIMEOUT_MS = 10000,
    READ_BUFFER_BYTES = 8 * 1024,
    /* of a response: its head, and interim responses before it */
    MAX_HEAD_BYTES = 64 * 1024,
    WRITE_BUFFER_BYTES = 16 * 1024 /* the minimum that libcurl allows */
};

/* Ends the call: libcurl then closes the connection. */
static size_t
refuse_answer(BkHttpCall *call, const char *fault)
{
    const char *url = "";

    curl_easy_getinfo(call->easy, CURLINFO_EFFECTIVE_URL, &url);
    BK_LOG(BK_LOG_WARNING, "net", NULL,
           "the response to %s has %s; its connection is closed", url, fault);
    return 0;
}

/* Passes bytes of the body on. Returns false if the call is paused, and must
   pass them again, or has ended. */
static bool
pass_body(BkHttpCall *call, BkStr data)
{
    if (call->fetch != NULL) {
        call->too_large = BkBuf_Append(&call->fetched, data) != BK_OK;
        return !call->too_large;
    }
    if (data.len > 0 && call->spec.on_data != NULL &&
        !call->spec.on_data(call, data, call->spec.arg)) {
        call->paused = call->state == CALL_RUNNING;
        return false;
    }
    return call->state == CALL_RUNNING;
}

static void
append_decoded(BkStr part, void *arg)
{
    BkHttpCall *call = arg;

    BkBuf_Append(&call->decoded, part);
}

/* Decodes what was not decoded before the call was paused. */
static const char *
decode_body(BkHttpCall *call, BkStr data)
{
    if (data.len < call->decoded_from) {
        return "fewer bytes than before a pause";
    }
    BkStr rest = {data.ptr + call->decoded_from,
                  data.len - call->decoded_from};

    call->decoded_from = data.len;
    size_t used = BkH1Body_Feed(&call->framed, rest, append_decoded, call);
    if (call->framed.state == BK_H1_BODY_MALFORMED) {
        return "a body whose chunks no response has";
    }
    if (used < rest.len) { /* bytes after it answer no later request */
        curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
    }
    return NULL;
}

static size_t
receive_data(char *ptr, size_t size, size_t count, void *arg)
{
    BkHttpCall *call = arg;
    BkStr data = {ptr, size * count};
    BkStr body = data;

    if (call->state != CALL_RUNNING) {
        return 0;
    }
    call->last_byte_at = BkClock_Now();
    if (call->chunked) {
        const char *fault = decode_body(call, data);
        if (fault != NULL) {
            return refuse_answer(call, fault);
        }
        body = BkBuf_Str(&call->decoded);
    }
    if (!pass_body(call, body)) {
        return call->paused ? CURL_WRITEFUNC_PAUSE : 0;
    }
    call->decoded_from = 0;
    BkBuf_Clear(&call->decoded);
    return data.len;
}

static size_t
receive_head_line(char *ptr, size_t size, size_t count, void *arg)
{
    BkHttpCall *call = arg;

    if (call->state != CALL_RUNNING) {
        return 0;
    }
    call->last_byte_at = BkClock_Now();
    call->head_bytes += size * count;
    if (call->head_bytes > MAX_HEAD_BYTES) {
        call->too_large = true;
        return 0;
    }
    const char *fault = http_read_head_line(call, (BkStr){ptr, size * count});
    if (fault != NULL) {
        return refuse_answer(call, fault);
    }
    return call->state == CALL_RUNNING ? size * count : 0;
}

static int
set_socket_options(void *arg, curl_socket_t fd, curlsocktype purpose)
{
    unsigned ms = UNACKED_TIMEOUT_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
    return CURL_SOCKOPT_OK;
}

/* libcurl silently sends a request again when a pooled connection is closed
   while the request is on it. The server may have run the first one, which the
   response to the second one, such as a refusal, would hide. This callback is
   called before each request is sent, and aborts the second one. */
static int
check_not_resent(void *arg, char *remote_ip, char *local_ip, int remote_port,
                 int local_port)
{
    BkHttpCall *call = arg;
    long request_bytes = 0;

    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    return request_bytes > 0 && !call->may_resend ? CURL_PREREQFUNC_ABORT
                                                  : CURL_PREREQFUNC_OK;
}

bool
http_is_numeric_url(const char *url)
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
set_headers(BkHttpCall *call, const BkHttpCallSpec *spec)
{
    bool has_content_type = false;

    /* no value: libcurl leaves out its Expect: 100-continue */
    call->headers = curl_slist_append(NULL, "Expect:");
    for (int i = 0; spec->headers != NULL && spec->headers[i] != NULL; i++) {
        has_content_type |=
            strncasecmp(spec->headers[i], "Content-Type:", 13) == 0;
        call->headers = curl_slist_append(call->headers, spec->headers[i]);
    }
    if (!has_content_type) { /* libcurl would send the type of a form */
        call->headers = curl_slist_append(call->headers, "Content-Type:");
    }
    curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
}

static void
set_method(BkHttpCall *call, const char *method)
{
    CURL *easy = call->easy;

    if (strcmp(method, "HEAD") == 0) {
        call->no_body = true;
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

void
http_set_options(BkHttpCall *call, const BkHttpCallSpec *spec)
{
    CURL *easy = call->easy;
    BkMs connect_timeout = spec->connect_timeout > 0
                               ? spec->connect_timeout
                               : DEFAULT_CONNECT_TIMEOUT_MS;

    curl_easy_setopt(easy, CURLOPT_URL, spec->url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, http_close_socket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, call->client);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, check_not_resent);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, (long)READ_BUFFER_BYTES);
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE,
                     (long)WRITE_BUFFER_BYTES);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_timeout);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)spec->timeout);
    /* BkH1Body decodes bodies; libcurl still looks for their end */
    curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receive_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, receive_head_line);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
    if (spec->new_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    set_method(call, spec->method);
    set_headers(call, spec);
}
