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
    READ_BYTES = 16 * 1024, /* taken from a socket at once */
    READ_AHEAD = 64 * 1024, /* bytes kept behind the present request */
    OUT_HIGH = 64 * 1024,   /* bytes; the upstream is paused above */
    LINGER = 1000,          /* ms that a closing caller is waited for */
    BODY_TIMEOUT = 30000,   /* ms for the body of a request */
    BACKLOG = 1024,
    ACCEPTS_PER_WAKE = 64,
    RESERVED_FDS = 300, /* of the process's, for upstreams and files */
    RETRY_START = 1500, /* ms; Retry-After of a daemon that knows
                                    nothing yet */
    RETRY_STOP = 50,    /* ms; another daemon takes it at once */
    DEAD_AFTER = 4000   /* ms that sent bytes stay unconfirmed */
};

/* Callers use a connection that was idle for up to four fifths of the
   operators' limit; ours is longer, so that none is cut under a request. */
static const double idle_margin = 1.3;

static void read_caller(FrCaller *caller);
static void process_input(FrCaller *caller, BkStr data);

void
FrCaller_Free(FrCaller *caller)
{
    BkH1Parser_Destroy(caller->parser);
    BkBuf_Destroy(&caller->in);
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
    FrFront_ReapSoon(front);
    if (caller->relay != NULL) {
        FrRelay *relay = caller->relay;
        caller->relay = NULL;
        FrRelay_CallerGone(relay);
    }
}

void
FrCaller_Cut(FrCaller *caller)
{
    struct linger now = {.l_onoff = 1, .l_linger = 0};

    caller->relay = NULL;
    if (!caller->chunked) {
        /* a reset, so that a body without a length cannot look complete */
        setsockopt(caller->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    FrCaller_Close(caller);
}

static void
watch_caller(FrCaller *caller)
{
    int events = BK_LOOP_READ;

    if (caller->out.len > 0) {
        events |= BK_LOOP_WRITE;
    }
    if (caller->in.len >= READ_AHEAD) {
        events &= ~BK_LOOP_READ;
    }
    BkWatch_Modify(caller->watch, events);
}

/* the answer is out: our side of the connection ends */
static void
begin_linger(FrCaller *caller)
{
    caller->lingering = true;
    caller->since = BkClock_Now();
    shutdown(caller->fd, SHUT_WR);
}

static void
flush(FrCaller *caller)
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
    if (caller->out.len == 0 && caller->relay == NULL && caller->close_after &&
        !caller->lingering) {
        begin_linger(caller);
    }
    if (caller->blocked && caller->out.len < OUT_HIGH / 2) {
        caller->blocked = false;
        if (caller->relay != NULL) {
            FrRelay_CallerDrained(caller->relay);
        }
    }
    if (!caller->dead) {
        watch_caller(caller);
    }
}

/* the request has its answer */
static void
end_request(FrCaller *caller)
{
    caller->relay = NULL;
    caller->since = BkClock_Now();
    /* an answer that began before the stop did not tell of the close */
    caller->close_after = caller->close_after || caller->front->stopping;
    if (caller->front->site != NULL) {
        /* a shorter limit binds from the next answer on */
        caller->idle_limit =
            (BkMs)((double)caller->front->site->idle_timeout * idle_margin);
    }
    flush(caller);
    if (caller->dead || caller->close_after || caller->in.len == 0) {
        return;
    }
    BkBuf ahead = caller->in;
    caller->in = BkBuf_Make(0);
    process_input(caller, BkBuf_Str(&ahead));
    BkBuf_Destroy(&ahead);
}

static void
put_connection(FrCaller *caller)
{
    if (caller->front->stopping) {
        caller->close_after = true;
    }
    if (caller->close_after) {
        BkBuf_Append(&caller->out, BK_STR("Connection: close\r\n"));
    }
}

void
FrCaller_Reply(FrCaller *caller, int code, BkStr fields, BkStr body)
{
    BkH1_PutStatus(&caller->out, code);
    BkBuf_Append(&caller->out, fields);
    put_connection(caller);
    BkBuf_Printf(&caller->out, "Content-Length: %zu\r\n\r\n", body.len);
    BkBuf_Append(&caller->out, body);
    end_request(caller);
}

void
FrCaller_ReplyOwn(FrCaller *caller, int code, const char *why,
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
FrCaller_Begin(FrCaller *caller, int code, BkStr fields, int64_t length)
{
    caller->chunked = length < 0 && !caller->http10;
    if (length < 0 && caller->http10) {
        caller->close_after = true;
    }
    BkH1_PutStatus(&caller->out, code);
    BkBuf_Append(&caller->out, fields);
    put_connection(caller);
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
FrCaller_Write(FrCaller *caller, BkStr data)
{
    if (data.len == 0) {
        return;
    }
    if (caller->chunked) {
        BkH1_PutChunk(&caller->out, data);
    }
    else {
        BkBuf_Append(&caller->out, data);
    }
    flush(caller);
    caller->blocked = caller->out.len > OUT_HIGH;
}

void
FrCaller_End(FrCaller *caller)
{
    if (caller->chunked) {
        BkBuf_Append(&caller->out, BK_STR("0\r\n\r\n"));
    }
    end_request(caller);
}

/* a request that cannot be read; nothing behind it can be either */
static void
reject(FrCaller *caller, int code, const char *why, BkMs retry_after)
{
    caller->close_after = true;
    BkLog_Event(BK_LOG_INFO, "caller", NULL, "rejected", "s:i, s:s", "code",
                code, "why", why);
    FrCaller_ReplyOwn(caller, code, why, retry_after);
}

static void
take_body(BkStr data, void *arg)
{
    FrCaller *caller = arg;

    if (caller->body.len + data.len <= caller->front->site->max_body) {
        BkBuf_Append(&caller->body, data);
        return;
    }
    caller->close_after = true;
}

static size_t
max_head(const FrFront *front)
{
    const size_t before_site = 64 * 1024; /* bytes, without a configuration */

    return front->site == NULL ? before_site : front->site->max_header;
}

static void
begin_request(FrCaller *caller)
{
    caller->parser = BkH1Parser_Create(BK_H1_REQUEST, max_head(caller->front),
                                       take_body, caller);
    caller->since = BkClock_Now();
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

/* false: the request was rejected for its head */
static bool
check_head(FrCaller *caller, const BkH1Head *head)
{
    const FrFront *front = caller->front;
    BkStr expect = BkH1Head_Find(head, "Expect");

    caller->head_checked = true;
    caller->http10 = head->minor == 0;
    caller->close_after = !head->keep_alive;
    if (front->site == NULL) {
        reject(caller, 503, "no configuration is known yet", RETRY_START);
        return false;
    }
    if (FrFront_IsClosing(front)) {
        reject(caller, 503, "the daemon is stopping", RETRY_STOP);
        return false;
    }
    if (head->length > (int64_t)front->site->max_body) {
        reject(caller, 413, "the body is over the limit", 0);
        return false;
    }
    if (BkH1_SameName(expect, BK_STR("100-continue")) &&
        (head->chunked || head->length > 0)) {
        BkBuf_Append(&caller->out, BK_STR("HTTP/1.1 100 Continue\r\n\r\n"));
        flush(caller);
    }
    return !caller->dead;
}

static void
reject_fault(FrCaller *caller)
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
hand_over(FrCaller *caller)
{
    BkH1Parser *parser = caller->parser;

    caller->parser = NULL;
    if (caller->body.len > caller->front->site->max_body) {
        reject(caller, 413, "the body is over the limit", 0);
    }
    else {
        FrRelay_Start(caller, BkH1Parser_Head(parser));
    }
    BkH1Parser_Destroy(parser);
}

/* one request's bytes at the most; returns how many were taken */
static size_t
parse_some(FrCaller *caller, BkStr data)
{
    if (caller->parser == NULL) {
        begin_request(caller);
    }
    size_t n = BkH1Parser_Feed(caller->parser, data);
    BkH1State state = BkH1Parser_State(caller->parser);
    if (state == BK_H1_BAD) {
        reject_fault(caller);
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
        hand_over(caller);
    }
    return n;
}

static void
process_input(FrCaller *caller, BkStr data)
{
    while (data.len > 0 && !caller->dead && caller->relay == NULL &&
           !caller->lingering &&
           !(caller->close_after && caller->out.len > 0)) {
        size_t n = parse_some(caller, data);
        data.ptr += n;
        data.len -= n;
    }
    if (data.len > 0 && !caller->dead && !caller->lingering) {
        BkBuf_Append(&caller->in, data);
        watch_caller(caller);
    }
}

static void
read_caller(FrCaller *caller)
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
    BkStr got = {data, (size_t)n};
    if (caller->lingering) {
        return;
    }
    if (caller->relay != NULL || caller->in.len > 0) {
        BkBuf_Append(&caller->in, got);
        watch_caller(caller);
        return;
    }
    process_input(caller, got);
}

static void
on_caller_event(int fd, int events, void *arg)
{
    FrCaller *caller = arg;

    if ((events & BK_LOOP_WRITE) != 0 && caller->out.len > 0) {
        flush(caller);
    }
    if (!caller->dead && (events & BK_LOOP_READ) != 0) {
        read_caller(caller);
    }
}

static void
add_caller(FrFront *front, int fd)
{
    FrCaller *caller = BkMem_New(1, sizeof(*caller));

    FrSocket_Tune(fd, DEAD_AFTER);
    caller->front = front;
    caller->fd = fd;
    caller->since = BkClock_Now();
    caller->idle_limit = 15 * BK_MS_PER_S;
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

/* makes room for a new caller */
static void
close_longest_idle(FrFront *front)
{
    FrCaller *oldest = NULL;

    for (FrCaller *at = front->callers; at != NULL; at = at->next) {
        if (at->relay == NULL && at->parser == NULL &&
            (oldest == NULL || at->since < oldest->since)) {
            oldest = at;
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

    for (int i = 0; i < ACCEPTS_PER_WAKE; i++) {
        int got = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (got < 0) {
            return;
        }
        if (front->caller_count >= front->conf.descriptors - RESERVED_FDS) {
            close_longest_idle(front);
        }
        add_caller(front, got);
    }
}

BkStatus
FrCallers_Listen(FrFront *front)
{
    front->listen_fd = FrSocket_Listen(front->conf.callers, BACKLOG);
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
    return caller->relay == NULL && caller->parser == NULL &&
           caller->out.len == 0;
}

static void
sweep_caller(FrCaller *caller, BkMs now)
{
    BkMs age = now - caller->since;

    if (caller->lingering) {
        if (age >= LINGER) {
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
    else if (is_idle(caller) && age >= caller->idle_limit) {
        FrCaller_Close(caller);
    }
}

void
FrCallers_Sweep(FrFront *front, BkMs now)
{
    FrCaller *next;

    for (FrCaller *at = front->callers; at != NULL; at = next) {
        next = at->next;
        sweep_caller(at, now);
    }
}

void
FrCallers_CloseIdle(FrFront *front)
{
    FrCaller *next;

    for (FrCaller *at = front->callers; at != NULL; at = next) {
        next = at->next;
        if (is_idle(at)) {
            FrCaller_Close(at);
        }
    }
}
