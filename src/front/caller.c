#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bk/base/log.h"
#include "front.h"
#include "socket.h"

enum {
    READ_BYTES = 16 * 1024, /* most bytes of one read */
    /* bytes behind the current request; no more are read until it ends */
    MAX_READ_AHEAD = 64 * 1024,
    /* unsent bytes above which the upstream is not read */
    MAX_UNSENT = 64 * 1024,
    /* ms to wait for the caller to close after the last response */
    LINGER_TIMEOUT = 1000,
    BODY_TIMEOUT = 30000, /* ms for the body of a request */
    LISTEN_BACKLOG = 1024,
    MAX_ACCEPTS = 64, /* in one callback */
    /* file descriptors kept for connections to upstreams and files */
    RESERVED_FDS = 300,
    /* ms; Retry-After until the first configuration has been read */
    NO_CONFIG_RETRY_AFTER = 1500,
    /* ms; Retry-After at a stop: another daemon can serve the retry at once */
    STOP_RETRY_AFTER = 50,
    UNACKED_TIMEOUT = 4000 /* ms that sent bytes may stay unacknowledged */
};

/* The daemon's idle timeout as a multiple of the operators' limit. Callers use
   a connection that was idle for up to four fifths of that limit; the longer
   timeout avoids closing it while a request is arriving. */
static const double idle_timeout_factor = 1.3;

static void read_input(FrCaller *caller);
static void process_input(FrCaller *caller, BkStr data);

void
FrCaller_Free(FrCaller *caller)
{
    BkH1Parser_Destroy(caller->parser);
    BkBuf_Destroy(&caller->read_ahead);
    BkBuf_Destroy(&caller->out);
    BkBuf_Destroy(&caller->body);
    free(caller);
}

void
FrCaller_Close(FrCaller *caller)
{
    FrFront *front = caller->front;

    if (caller->dead) {
        return;
    }
    caller->dead = true;
    BkWatch_Destroy(caller->watch);
    close(caller->fd);
    if (caller->prev != NULL) {
        caller->prev->next = caller->next;
    }
    else {
        front->callers = caller->next;
    }
    if (caller->next != NULL) {
        caller->next->prev = caller->prev;
    }
    front->caller_count--;
    BkCounter_Set(front->metrics.callers, front->caller_count);
    caller->next = front->dead_callers;
    front->dead_callers = caller;
    FrFront_ScheduleReap(front);
    if (caller->request != NULL) {
        FrRequest *request = caller->request;
        caller->request = NULL;
        FrRequest_OnCallerGone(request);
    }
}

void
FrCaller_AbortResponse(FrCaller *caller)
{
    struct linger reset = {.l_onoff = 1, .l_linger = 0};

    caller->request = NULL;
    if (!caller->chunked) {
        /* closes with a reset: after an orderly close, a body that ends with
           the connection would look complete */
        setsockopt(caller->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    FrCaller_Close(caller);
}

static void
update_events(FrCaller *caller)
{
    int events = BK_LOOP_READ;

    if (caller->out.len > 0) {
        events |= BK_LOOP_WRITE;
    }
    if (caller->read_ahead.len >= MAX_READ_AHEAD) {
        events &= ~BK_LOOP_READ;
    }
    BkWatch_Modify(caller->watch, events);
}

/* The last response was sent: shuts the connection down for writing. */
static void
start_linger(FrCaller *caller)
{
    caller->lingering = true;
    caller->state_since = BkClock_Now();
    shutdown(caller->fd, SHUT_WR);
}

static void
send_output(FrCaller *caller)
{
    while (caller->out.len > 0) {
        ssize_t n =
            send(caller->fd, caller->out.ptr, caller->out.len, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (n <= 0) {
            FrCaller_Close(caller);
            return;
        }
        BkBuf_Consume(&caller->out, (size_t)n);
    }
    if (caller->out.len == 0 && caller->request == NULL &&
        caller->close_after_response && !caller->lingering) {
        start_linger(caller);
    }
    if (caller->output_full && caller->out.len < MAX_UNSENT / 2) {
        caller->output_full = false;
        if (caller->request != NULL) {
            FrRequest_OnCallerDrained(caller->request);
        }
    }
    if (!caller->dead) {
        update_events(caller);
    }
}

/* The response is complete; continues with input read behind the request. */
static void
end_request(FrCaller *caller)
{
    caller->request = NULL;
    caller->state_since = BkClock_Now();
    /* the head of a response that began before the stop has no
       "Connection: close" */
    caller->close_after_response =
        caller->close_after_response || caller->front->stopping;
    if (caller->front->site != NULL) {
        /* a changed limit applies from the next response on */
        caller->idle_timeout =
            (BkMs)((double)caller->front->site->idle_timeout *
                   idle_timeout_factor);
    }
    send_output(caller);
    if (caller->dead || caller->close_after_response ||
        caller->read_ahead.len == 0) {
        return;
    }
    BkBuf input = caller->read_ahead;
    caller->read_ahead = BkBuf_Make(0);
    process_input(caller, BkBuf_Str(&input));
    BkBuf_Destroy(&input);
}

static void
put_connection_field(FrCaller *caller)
{
    if (caller->front->stopping) {
        caller->close_after_response = true;
    }
    if (caller->close_after_response) {
        BkBuf_Append(&caller->out, BK_STR("Connection: close\r\n"));
    }
}

void
FrCaller_Reply(FrCaller *caller, int code, BkStr fields, BkStr body)
{
    BkH1_AppendStatusLine(&caller->out, code);
    BkBuf_Append(&caller->out, fields);
    put_connection_field(caller);
    BkBuf_Printf(&caller->out, "Content-Length: %zu\r\n\r\n", body.len);
    BkBuf_Append(&caller->out, body);
    end_request(caller);
}

void
FrCaller_ReplyError(FrCaller *caller, int code, const char *why,
                    BkMs retry_after)
{
    BkBuf fields = BkBuf_Make(0);
    BkBuf body = BkBuf_Make(0);

    BkBuf_Append(&fields, BK_STR("Content-Type: application/json\r\n"));
    if (retry_after > 0) {
        BkBuf_Printf(&fields, "Retry-After: %lld.%03lld\r\n",
                     (long long)(retry_after / BK_MS_PER_S),
                     (long long)(retry_after % BK_MS_PER_S));
    }
    BkBuf_Printf(&body, "{\"error\":\"%s\"}", why);
    FrCaller_Reply(caller, code, BkBuf_Str(&fields), BkBuf_Str(&body));
    BkBuf_Destroy(&fields);
    BkBuf_Destroy(&body);
}

void
FrCaller_BeginResponse(FrCaller *caller, int code, BkStr fields,
                       int64_t length)
{
    caller->chunked = length < 0 && !caller->http10;
    if (length < 0 && caller->http10) {
        caller->close_after_response = true;
    }
    BkH1_AppendStatusLine(&caller->out, code);
    BkBuf_Append(&caller->out, fields);
    put_connection_field(caller);
    if (caller->chunked) {
        BkBuf_Append(&caller->out, BK_STR("Transfer-Encoding: chunked\r\n"));
    }
    else if (length >= 0) {
        BkBuf_Printf(&caller->out, "Content-Length: %lld\r\n",
                     (long long)length);
    }
    BkBuf_Append(&caller->out, BK_STR("\r\n"));
}

void
FrCaller_WriteBody(FrCaller *caller, BkStr data)
{
    if (data.len == 0) {
        return;
    }
    if (caller->chunked) {
        BkH1_AppendChunk(&caller->out, data);
    }
    else {
        BkBuf_Append(&caller->out, data);
    }
    send_output(caller);
    caller->output_full = caller->out.len > MAX_UNSENT;
}

void
FrCaller_EndResponse(FrCaller *caller)
{
    if (caller->chunked) {
        BkBuf_Append(&caller->out, BK_STR("0\r\n\r\n"));
    }
    end_request(caller);
}

/* Rejects a request that cannot be read, and closes the connection, since what
   follows it cannot be read either. */
static void
reject(FrCaller *caller, int code, const char *why, BkMs retry_after)
{
    caller->close_after_response = true;
    BkLog_Event(BK_LOG_INFO, "caller", NULL, "rejected", "s:i, s:s", "code",
                code, "why", why);
    FrCaller_ReplyError(caller, code, why, retry_after);
}

static void
on_body_data(BkStr data, void *arg)
{
    FrCaller *caller = arg;

    if (caller->body.len + data.len <= caller->front->site->max_body) {
        BkBuf_Append(&caller->body, data);
        return;
    }
    caller->close_after_response = true;
}

static size_t
get_max_head(const FrFront *front)
{
    /* bytes; used until the first configuration has been read */
    const size_t default_max_head = 64 * 1024;

    return front->site == NULL ? default_max_head : front->site->max_header;
}

static void
begin_parsing(FrCaller *caller)
{
    caller->parser = BkH1Parser_Create(
        BK_H1_REQUEST, get_max_head(caller->front), on_body_data, caller);
    caller->state_since = BkClock_Now();
    caller->head_checked = false;
    caller->chunked = false;
    BkBuf_Clear(&caller->body);
}

static void
end_parsing(FrCaller *caller)
{
    BkH1Parser_Destroy(caller->parser);
    caller->parser = NULL;
}

/* Returns false if the request was rejected or the connection closed. */
static bool
check_head(FrCaller *caller, const BkH1Head *head)
{
    const FrFront *front = caller->front;
    BkStr expect = BkH1Head_Find(head, "Expect");

    caller->head_checked = true;
    caller->http10 = head->minor == 0;
    caller->close_after_response = !head->keep_alive;
    if (front->site == NULL) {
        reject(caller, 503, "no configuration is known yet",
               NO_CONFIG_RETRY_AFTER);
        return false;
    }
    if (FrFront_RefusesRequests(front)) {
        reject(caller, 503, "the daemon is stopping", STOP_RETRY_AFTER);
        return false;
    }
    if (head->length > (int64_t)front->site->max_body) {
        reject(caller, 413, "the body is over the limit", 0);
        return false;
    }
    if (BkH1_SameName(expect, BK_STR("100-continue")) &&
        (head->chunked || head->length > 0)) {
        BkBuf_Append(&caller->out, BK_STR("HTTP/1.1 100 Continue\r\n\r\n"));
        send_output(caller);
    }
    return !caller->dead;
}

static void
reject_unparsable(FrCaller *caller)
{
    switch (BkH1Parser_Fault(caller->parser)) {
    case BK_H1_HEAD_TOO_LARGE:
        reject(caller, 431, "the header fields are over the limit", 0);
        break;
    case BK_H1_MALFORMED:
    case BK_H1_NO_FAULT:
        reject(caller, 400, "the request is malformed", 0);
        break;
    }
}

static void
handle_request(FrCaller *caller)
{
    BkH1Parser *parser = caller->parser;

    caller->parser = NULL;
    if (caller->body.len > caller->front->site->max_body) {
        reject(caller, 413, "the body is over the limit", 0);
    }
    else {
        FrRequest_Start(caller, BkH1Parser_Head(parser));
    }
    BkH1Parser_Destroy(parser);
}

/* Parses data up to the end of the current request at most; returns how many
   bytes were consumed. */
static size_t
parse_request(FrCaller *caller, BkStr data)
{
    if (caller->parser == NULL) {
        begin_parsing(caller);
    }
    size_t n = BkH1Parser_Feed(caller->parser, data);
    BkH1State state = BkH1Parser_State(caller->parser);
    if (state == BK_H1_FAILED) {
        reject_unparsable(caller);
        end_parsing(caller);
        return data.len;
    }
    if ((state == BK_H1_BODY || state == BK_H1_DONE) &&
        !caller->head_checked &&
        !check_head(caller, BkH1Parser_Head(caller->parser))) {
        end_parsing(caller);
        return data.len;
    }
    if (state == BK_H1_DONE) {
        handle_request(caller);
    }
    return n;
}

static void
process_input(FrCaller *caller, BkStr data)
{
    while (data.len > 0 && !caller->dead && caller->request == NULL &&
           !caller->lingering &&
           !(caller->close_after_response && caller->out.len > 0)) {
        size_t n = parse_request(caller, data);
        data.ptr += n;
        data.len -= n;
    }
    if (data.len > 0 && !caller->dead && !caller->lingering) {
        BkBuf_Append(&caller->read_ahead, data);
        update_events(caller);
    }
}

static void
read_input(FrCaller *caller)
{
    char data[READ_BYTES];
    ssize_t n = recv(caller->fd, data, sizeof(data), 0);

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        FrCaller_Close(caller);
        return;
    }
    BkStr input = {data, (size_t)n};
    if (caller->lingering) {
        return;
    }
    if (caller->request != NULL || caller->read_ahead.len > 0) {
        BkBuf_Append(&caller->read_ahead, input);
        update_events(caller);
        return;
    }
    process_input(caller, input);
}

static void
on_caller_event(int fd, int events, void *arg)
{
    FrCaller *caller = arg;

    if ((events & BK_LOOP_WRITE) != 0 && caller->out.len > 0) {
        send_output(caller);
    }
    if (!caller->dead && (events & BK_LOOP_READ) != 0) {
        read_input(caller);
    }
}

static void
add_caller(FrFront *front, int fd)
{
    FrCaller *caller = BkMem_New(1, sizeof(*caller));

    FrSocket_Tune(fd, UNACKED_TIMEOUT);
    caller->front = front;
    caller->fd = fd;
    caller->state_since = BkClock_Now();
    caller->idle_timeout = 15 * BK_MS_PER_S;
    caller->body = BkBuf_Make(0);
    caller->watch =
        BkLoop_Watch(front->loop, fd, BK_LOOP_READ, on_caller_event, caller);
    caller->next = front->callers;
    if (front->callers != NULL) {
        front->callers->prev = caller;
    }
    front->callers = caller;
    front->caller_count++;
    BkCounter_Set(front->metrics.callers, front->caller_count);
}

/* Makes a file descriptor available for a new caller. */
static void
close_longest_idle(FrFront *front)
{
    FrCaller *oldest = NULL;

    for (FrCaller *caller = front->callers; caller != NULL;
         caller = caller->next) {
        if (caller->request == NULL && caller->parser == NULL &&
            (oldest == NULL || caller->state_since < oldest->state_since)) {
            oldest = caller;
        }
    }
    if (oldest != NULL) {
        FrCaller_Close(oldest);
    }
}

static void
accept_callers(int fd, int events, void *arg)
{
    FrFront *front = arg;

    for (int i = 0; i < MAX_ACCEPTS; i++) {
        int caller_fd = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (caller_fd < 0) {
            return;
        }
        if (front->caller_count >=
            front->conf.max_descriptors - RESERVED_FDS) {
            close_longest_idle(front);
        }
        add_caller(front, caller_fd);
    }
}

BkStatus
FrCallers_Listen(FrFront *front)
{
    front->listen_fd =
        FrSocket_Listen(front->conf.callers_address, LISTEN_BACKLOG);
    if (front->listen_fd < 0) {
        return BK_EIO;
    }
    front->listen_watch = BkLoop_Watch(front->loop, front->listen_fd,
                                       BK_LOOP_READ, accept_callers, front);
    return BK_OK;
}

void
FrCallers_StopListening(FrFront *front)
{
    if (front->listen_fd < 0) {
        return;
    }
    BkWatch_Destroy(front->listen_watch);
    close(front->listen_fd);
    front->listen_fd = -1;
}

static bool
is_idle(const FrCaller *caller)
{
    return caller->request == NULL && caller->parser == NULL &&
           caller->out.len == 0;
}

static void
sweep_caller(FrCaller *caller, BkMs now)
{
    BkMs age = now - caller->state_since;

    if (caller->lingering) {
        if (age >= LINGER_TIMEOUT) {
            FrCaller_Close(caller);
        }
    }
    else if (caller->parser != NULL) {
        BkMs limit = BODY_TIMEOUT;
        if (!caller->head_checked && caller->front->site != NULL) {
            limit = caller->front->site->header_timeout;
        }
        if (age >= limit) {
            end_parsing(caller);
            reject(caller, 408, "the request did not come in time", 0);
        }
    }
    else if (is_idle(caller) && age >= caller->idle_timeout) {
        FrCaller_Close(caller);
    }
}

void
FrCallers_Sweep(FrFront *front, BkMs now)
{
    FrCaller *next;

    for (FrCaller *caller = front->callers; caller != NULL; caller = next) {
        next = caller->next;
        sweep_caller(caller, now);
    }
}

void
FrCallers_CloseIdle(FrFront *front)
{
    FrCaller *next;

    for (FrCaller *caller = front->callers; caller != NULL; caller = next) {
        next = caller->next;
        if (is_idle(caller)) {
            FrCaller_Close(caller);
        }
    }
}
