#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bk/base/log.h"
#include "detour.h"
#include "memory.h"
#include "socket.h"
#include "stop.h"

enum {
    READ_BYTES = 16 * 1024, /* most bytes of one read */
    /* bytes after the current request; no more are read until it ends */
    MAX_READ_AHEAD = 64 * 1024,
    /* bytes that another daemon may add to a caller's head */
    MAX_ADDED_HEAD = 1024,
    /* ms to wait for the caller to close after the last response */
    LINGER_TIMEOUT = 1000,
    /* ms, from the first byte of a request until it has arrived completely */
    REQUEST_READ_TIMEOUT = 30000,
    LISTEN_BACKLOG = 1024,
    MAX_ACCEPTS = 64, /* in one callback */
    /* ms in which a request may be on its way on a connection that has become
       idle, or was just accepted, while the daemon stops */
    CROSSING_TIME = 200,
    /* file descriptors kept for connections to upstreams and files */
    RESERVED_FDS = 300,
    /* ms; Retry-After until the first configuration has been read */
    NO_CONFIG_RETRY_AFTER = 1500,
    UNACKED_TIMEOUT = 4000 /* ms that sent bytes may stay unacknowledged */
};

/* The daemon's idle timeout as a multiple of the operators' limit. Callers use
   a connection that was idle for up to four fifths of that limit; the longer
   timeout avoids closing it while a request is arriving. */
static const double idle_timeout_factor = 1.3;

static void read_input(FrCallerConn *conn);
static void process_input(FrCallerConn *conn, BkStr data);

void
FrCallerConn_Free(FrCallerConn *conn)
{
    BkH1Parser_Destroy(conn->parser);
    BkBuf_Destroy(&conn->read_ahead);
    BkBuf_Destroy(&conn->out);
    BkBuf_Destroy(&conn->body);
    free(conn);
}

void
FrCallerConn_Close(FrCallerConn *conn)
{
    FrFront *front = conn->front;

    if (conn->dead) {
        return;
    }
    conn->dead = true;
    BkWatch_Destroy(conn->watch);
    close(conn->fd);
    if (conn->prev != NULL) {
        conn->prev->next = conn->next;
    }
    else {
        front->caller_conns = conn->next;
    }
    if (conn->next != NULL) {
        conn->next->prev = conn->prev;
    }
    front->caller_conn_count--;
    BkCounter_Set(front->metrics.callers, front->caller_conn_count);
    conn->next = front->dead_caller_conns;
    front->dead_caller_conns = conn;
    FrFront_ScheduleReap(front);
}

void
FrCallerConns_EndRequestsOfDead(FrFront *front)
{
    for (FrCallerConn *conn = front->dead_caller_conns; conn != NULL;
         conn = conn->next) {
        if (conn->request != NULL) {
            FrRequest_OnCallerGone(conn->request);
        }
    }
}

void
FrCallerConn_AbortResponse(FrCallerConn *conn)
{
    conn->request = NULL;
    if (conn->dead) {
        return;
    }
    if (!conn->chunked) {
        /* after an orderly close, a body that ends with the connection would
           look complete */
        FrSocket_ResetOnClose(conn->fd);
    }
    FrCallerConn_Close(conn);
}

static void
update_events(FrCallerConn *conn)
{
    int events = BK_LOOP_READ;

    if (conn->out.len > 0) {
        events |= BK_LOOP_WRITE;
    }
    if (conn->read_ahead.len >= MAX_READ_AHEAD) {
        events &= ~BK_LOOP_READ;
    }
    BkWatch_Modify(conn->watch, events);
}

/* The last response was sent: shuts the connection down for writing. */
static void
start_linger(FrCallerConn *conn)
{
    conn->lingering = true;
    conn->state_since = BkClock_Now();
    shutdown(conn->fd, SHUT_WR);
}

/* May close the connection, but does not end its request. */
static void
send_output(FrCallerConn *conn)
{
    while (conn->out.len > 0) {
        ssize_t n = send(conn->fd, conn->out.ptr, conn->out.len, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (n <= 0) {
            FrCallerConn_Close(conn);
            return;
        }
        BkBuf_Consume(&conn->out, (size_t)n);
        conn->progress_at = BkClock_Now();
    }
    if (conn->out.len == 0 && conn->request == NULL &&
        conn->close_after_response && !conn->lingering) {
        start_linger(conn);
    }
    if (conn->output_full &&
        conn->out.len <= FrMemory_GetMaxUnsent(conn->front) / 2) {
        conn->output_full = false;
        if (conn->request != NULL) {
            FrRequest_OnCallerDrained(conn->request);
        }
    }
    if (!conn->dead) {
        update_events(conn);
    }
}

/* The response is complete; continues with input read after the request. */
static void
end_request(FrCallerConn *conn)
{
    conn->request = NULL;
    conn->state_since = BkClock_Now();
    /* the head of a response that began before the stop has no
       "Connection: close" */
    conn->close_after_response =
        conn->close_after_response || conn->front->stopping;
    if (conn->front->site != NULL) {
        /* a changed limit applies from the next response on */
        conn->idle_timeout = (BkMs)((double)conn->front->site->idle_timeout *
                                    idle_timeout_factor);
    }
    send_output(conn);
    if (conn->dead || conn->close_after_response ||
        conn->read_ahead.len == 0) {
        return;
    }
    BkBuf input = conn->read_ahead;
    conn->read_ahead = BkBuf_Make(0);
    process_input(conn, BkBuf_Str(&input));
    BkBuf_Destroy(&input);
}

static void
put_connection_field(FrCallerConn *conn)
{
    if (conn->front->stopping) {
        conn->close_after_response = true;
    }
    if (conn->close_after_response) {
        BkBuf_Append(&conn->out, BK_STR("Connection: close\r\n"));
    }
}

void
FrCallerConn_Reply(FrCallerConn *conn, int code, BkStr fields, BkStr body)
{
    if (conn->dead) {
        conn->request = NULL;
        return;
    }
    BkH1_AppendStatusLine(&conn->out, code);
    BkBuf_Append(&conn->out, fields);
    put_connection_field(conn);
    BkBuf_Printf(&conn->out, "Content-Length: %zu\r\n\r\n", body.len);
    BkBuf_Append(&conn->out, body);
    end_request(conn);
}

void
FrCallerConn_ReplyError(FrCallerConn *conn, int code, const char *why,
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
    FrDetour_PutRefusal(conn->refusal, &fields);
    conn->refusal = FR_NOT_REFUSED;
    BkBuf_Printf(&body, "{\"error\":\"%s\"}", why);
    FrCallerConn_Reply(conn, code, BkBuf_Str(&fields), BkBuf_Str(&body));
    BkBuf_Destroy(&fields);
    BkBuf_Destroy(&body);
}

void
FrCallerConn_BeginResponse(FrCallerConn *conn, int code, BkStr fields,
                           int64_t length)
{
    if (conn->dead) {
        return;
    }
    conn->chunked = length < 0 && !conn->http10;
    if (length < 0 && conn->http10) {
        conn->close_after_response = true;
    }
    BkH1_AppendStatusLine(&conn->out, code);
    BkBuf_Append(&conn->out, fields);
    put_connection_field(conn);
    if (conn->chunked) {
        BkBuf_Append(&conn->out, BK_STR("Transfer-Encoding: chunked\r\n"));
    }
    else if (length >= 0) {
        BkBuf_Printf(&conn->out, "Content-Length: %lld\r\n",
                     (long long)length);
    }
    BkBuf_Append(&conn->out, BK_STR("\r\n"));
}

void
FrCallerConn_WriteBody(FrCallerConn *conn, BkStr data)
{
    if (data.len == 0 || conn->dead) {
        return;
    }
    if (conn->out.len == 0) {
        conn->progress_at = BkClock_Now();
    }
    if (conn->chunked) {
        BkH1_AppendChunk(&conn->out, data);
    }
    else {
        BkBuf_Append(&conn->out, data);
    }
    send_output(conn);
    conn->output_full = conn->out.len > FrMemory_GetMaxUnsent(conn->front);
}

void
FrCallerConn_EndResponse(FrCallerConn *conn)
{
    if (conn->dead) {
        conn->request = NULL;
        return;
    }
    if (conn->chunked) {
        BkBuf_Append(&conn->out, BK_STR("0\r\n\r\n"));
    }
    end_request(conn);
}

/* Rejects a request that cannot be read, and closes the connection, since what
   follows it cannot be read either. */
static void
reject(FrCallerConn *conn, int code, const char *why, BkMs retry_after)
{
    conn->close_after_response = true;
    BkLog_Event(BK_LOG_INFO, "caller", NULL, "rejected", "s:i, s:s", "code",
                code, "why", why);
    FrCallerConn_ReplyError(conn, code, why, retry_after);
}

static void
on_body_data(BkStr data, void *arg)
{
    FrCallerConn *conn = arg;

    if (conn->body_too_large ||
        conn->body.len + data.len > conn->front->site->max_body) {
        conn->body_too_large = true;
        return;
    }
    BkBuf_Append(&conn->body, data);
}

static size_t
get_max_head(const FrFront *front)
{
    /* bytes; used until the first configuration has been read */
    const size_t default_max_head = 64 * 1024;

    return front->site == NULL ? default_max_head : front->site->max_header;
}

static void
begin_parsing(FrCallerConn *conn)
{
    size_t max_head = get_max_head(conn->front);

    if (conn->from_daemon) {
        max_head += MAX_ADDED_HEAD;
    }
    conn->parser =
        BkH1Parser_Create(BK_H1_REQUEST, max_head, on_body_data, conn);
    conn->state_since = BkClock_Now();
    conn->progress_at = conn->state_since;
    conn->head_checked = false;
    conn->body_too_large = false;
    conn->chunked = false;
    BkBuf_Clear(&conn->body);
}

static void
end_parsing(FrCallerConn *conn)
{
    BkH1Parser_Destroy(conn->parser);
    conn->parser = NULL;
}

static FrRefusal
refuse_elsewhere(const FrCallerConn *conn)
{
    return conn->from_daemon ? FR_REFUSED_ELSEWHERE : FR_NOT_REFUSED;
}

static void
reject_for_stop(FrCallerConn *conn)
{
    conn->refusal = refuse_elsewhere(conn);
    reject(conn, 503, fr_stop_reason, FR_STOP_RETRY_AFTER);
}

static void
reject_for_memory(FrCallerConn *conn)
{
    conn->refusal = conn->from_daemon ? FR_REFUSED_FULL : FR_NOT_REFUSED;
    reject(conn, 503, fr_memory_reason, FR_MEMORY_RETRY_AFTER);
}

/* Returns false if the request was rejected or the connection closed. */
static bool
check_head(FrCallerConn *conn, const BkH1Head *head)
{
    const FrFront *front = conn->front;
    BkStr expect = BkH1Head_Find(head, "Expect");

    conn->head_checked = true;
    conn->http10 = head->minor == 0;
    conn->close_after_response = !head->keep_alive;
    if (front->site == NULL) {
        conn->refusal = refuse_elsewhere(conn);
        reject(conn, 503, "no configuration is known yet",
               NO_CONFIG_RETRY_AFTER);
        return false;
    }
    if (FrStop_RefusesRequests(front)) {
        reject_for_stop(conn);
        return false;
    }
    if (head->length > (int64_t)front->site->max_body) {
        reject(conn, 413, "the body is over the limit", 0);
        return false;
    }
    if (BkH1_SameName(expect, BK_STR("100-continue")) &&
        (head->chunked || head->length > 0)) {
        BkBuf_Append(&conn->out, BK_STR("HTTP/1.1 100 Continue\r\n\r\n"));
        send_output(conn);
    }
    return !conn->dead;
}

static void
reject_unparsable(FrCallerConn *conn)
{
    switch (BkH1Parser_Fault(conn->parser)) {
    case BK_H1_HEAD_TOO_LARGE:
        reject(conn, 431, "the header fields are over the limit", 0);
        break;
    case BK_H1_MALFORMED:
    case BK_H1_NO_FAULT:
        reject(conn, 400, "the request is malformed", 0);
        break;
    }
}

static void
handle_request(FrCallerConn *conn)
{
    BkH1Parser *parser = conn->parser;

    conn->parser = NULL;
    FrRequest_Start(conn, BkH1Parser_Head(parser));
    BkH1Parser_Destroy(parser);
}

/* Parses data up to the end of the current request at most; returns how many
   bytes were consumed. */
static size_t
parse_request(FrCallerConn *conn, BkStr data)
{
    if (conn->parser == NULL) {
        begin_parsing(conn);
    }
    if (FrMemory_GetLevel(conn->front) == BK_MEMORY_SPENT &&
        !FrMemory_MakeRoom(conn->front)) {
        end_parsing(conn);
        reject_for_memory(conn);
        return data.len;
    }
    size_t n = BkH1Parser_Feed(conn->parser, data);
    BkH1State state = BkH1Parser_State(conn->parser);
    if (conn->body_too_large) {
        /* at once: the rest of the body may never come */
        end_parsing(conn);
        reject(conn, 413, "the body is over the limit", 0);
        return data.len;
    }
    if (state == BK_H1_FAILED) {
        reject_unparsable(conn);
        end_parsing(conn);
        return data.len;
    }
    if ((state == BK_H1_BODY || state == BK_H1_DONE) && !conn->head_checked &&
        !check_head(conn, BkH1Parser_Head(conn->parser))) {
        end_parsing(conn);
        return data.len;
    }
    if (state == BK_H1_DONE) {
        handle_request(conn);
    }
    return n;
}

static void
process_input(FrCallerConn *conn, BkStr data)
{
    while (data.len > 0 && !conn->dead && conn->request == NULL &&
           !conn->lingering &&
           !(conn->close_after_response && conn->out.len > 0)) {
        size_t n = parse_request(conn, data);
        data.ptr += n;
        data.len -= n;
    }
    if (data.len > 0 && !conn->dead && !conn->lingering) {
        BkBuf_Append(&conn->read_ahead, data);
        update_events(conn);
    }
}

static void
read_input(FrCallerConn *conn)
{
    char data[READ_BYTES];
    ssize_t n = recv(conn->fd, data, sizeof(data), 0);

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        FrCallerConn_Close(conn);
        return;
    }
    BkStr input = {data, (size_t)n};
    conn->progress_at = BkClock_Now();
    if (conn->lingering) {
        return;
    }
    if (conn->request != NULL || conn->read_ahead.len > 0) {
        BkBuf_Append(&conn->read_ahead, input);
        update_events(conn);
        return;
    }
    process_input(conn, input);
}

static void
on_conn_event(int fd, int events, void *arg)
{
    FrCallerConn *conn = arg;

    if ((events & BK_LOOP_WRITE) != 0 && conn->out.len > 0) {
        send_output(conn);
    }
    if (!conn->dead && (events & BK_LOOP_READ) != 0) {
        read_input(conn);
    }
}

static void
add_conn(const FrListener *listener, int fd)
{
    FrFront *front = listener->front;
    FrCallerConn *conn = BkMem_New(1, sizeof(*conn));

    FrSocket_SetOptions(fd, UNACKED_TIMEOUT);
    conn->front = front;
    conn->from_daemon = listener == &front->peers_listener;
    conn->fd = fd;
    conn->state_since = BkClock_Now();
    conn->progress_at = conn->state_since;
    /* until the first response; then the configured limit applies */
    conn->idle_timeout = 15 * BK_MS_PER_S;
    conn->body = BkBuf_Make(0);
    conn->watch =
        BkLoop_Watch(front->loop, fd, BK_LOOP_READ, on_conn_event, conn);
    conn->next = front->caller_conns;
    if (front->caller_conns != NULL) {
        front->caller_conns->prev = conn;
    }
    front->caller_conns = conn;
    front->caller_conn_count++;
    BkCounter_Set(front->metrics.callers, front->caller_conn_count);
}

/* Makes a file descriptor available for a new connection. */
static void
close_longest_idle(FrFront *front)
{
    FrCallerConn *oldest = NULL;

    for (FrCallerConn *conn = front->caller_conns; conn != NULL;
         conn = conn->next) {
        if (conn->request == NULL && conn->parser == NULL &&
            (oldest == NULL || conn->state_since < oldest->state_since)) {
            oldest = conn;
        }
    }
    if (oldest != NULL) {
        FrCallerConn_Close(oldest);
    }
}

/* Accepts up to max connections that wait. */
static void
accept_waiting(const FrListener *listener, int max)
{
    FrFront *front = listener->front;

    for (int i = 0; i < max; i++) {
        int conn_fd =
            accept4(listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (conn_fd < 0) {
            return;
        }
        if (front->caller_conn_count >=
            front->conf.max_descriptors - RESERVED_FDS) {
            close_longest_idle(front);
        }
        add_conn(listener, conn_fd);
    }
}

static void
accept_callers(int fd, int events, void *arg)
{
    accept_waiting(arg, MAX_ACCEPTS);
}

static BkStatus
start_listening(FrFront *front, FrListener *listener, const char *address)
{
    listener->front = front;
    listener->fd = FrSocket_Listen(address, LISTEN_BACKLOG);
    if (listener->fd < 0) {
        return BK_EIO;
    }
    listener->watch = BkLoop_Watch(front->loop, listener->fd, BK_LOOP_READ,
                                   accept_callers, listener);
    return BK_OK;
}

static void
stop_listening(FrListener *listener)
{
    if (listener->fd >= 0) {
        /* closing would reset those that wait, whose requests may be sent */
        accept_waiting(listener, LISTEN_BACKLOG);
        BkWatch_Destroy(listener->watch);
        close(listener->fd);
        listener->fd = -1;
    }
}

BkStatus
FrCallerConns_Listen(FrFront *front)
{
    BkStatus status = start_listening(front, &front->callers_listener,
                                      front->conf.callers_address);

    if (status != BK_OK) {
        return status;
    }
    return start_listening(front, &front->peers_listener,
                           front->conf.peers_address);
}

void
FrCallerConns_StopListening(FrFront *front)
{
    stop_listening(&front->callers_listener);
    stop_listening(&front->peers_listener);
}

static bool
is_idle(const FrCallerConn *conn)
{
    return conn->request == NULL && conn->parser == NULL && conn->out.len == 0;
}

static void
sweep_conn(FrCallerConn *conn, BkMs now)
{
    BkMs age = now - conn->state_since;

    if (conn->lingering) {
        if (age >= LINGER_TIMEOUT) {
            FrCallerConn_Close(conn);
        }
    }
    else if (conn->parser != NULL) {
        BkMs limit = REQUEST_READ_TIMEOUT;
        if (!conn->head_checked && conn->front->site != NULL) {
            limit = conn->front->site->header_timeout;
        }
        if (age >= limit) {
            end_parsing(conn);
            reject(conn, 408, "the request did not come in time", 0);
        }
    }
    else if (is_idle(conn) && age >= conn->idle_timeout) {
        FrCallerConn_Close(conn);
    }
}

void
FrCallerConn_EndForMemory(FrCallerConn *conn)
{
    if (conn->dead) {
        return;
    }
    if (conn->parser != NULL) {
        end_parsing(conn);
        reject_for_memory(conn);
    }
    else if (conn->request != NULL) {
        FrRequest_GiveUp(conn->request, fr_memory_reason,
                         FR_MEMORY_RETRY_AFTER);
    }
    else {
        FrSocket_ResetOnClose(conn->fd);
        FrCallerConn_Close(conn);
    }
}

void
FrCallerConns_Sweep(FrFront *front, BkMs now)
{
    FrCallerConn *next;

    for (FrCallerConn *conn = front->caller_conns; conn != NULL; conn = next) {
        next = conn->next;
        sweep_conn(conn, now);
    }
}

void
FrCallerConns_CloseIdle(FrFront *front)
{
    BkMs now = BkClock_Now();
    FrCallerConn *next;

    for (FrCallerConn *conn = front->caller_conns; conn != NULL; conn = next) {
        next = conn->next;
        if (is_idle(conn) && now - conn->state_since >= CROSSING_TIME) {
            FrCallerConn_Close(conn);
        }
    }
}

void
FrCallerConns_RefuseIncomplete(FrFront *front)
{
    FrCallerConn *next;

    for (FrCallerConn *conn = front->caller_conns; conn != NULL; conn = next) {
        next = conn->next;
        if (conn->parser != NULL && !conn->dead) {
            end_parsing(conn);
            reject_for_stop(conn);
        }
    }
}
