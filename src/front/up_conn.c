#include <errno.h>
#include <linux/sockios.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "links.h"
#include "memory.h"
#include "socket.h"

enum {
    READ_BYTES = 16 * 1024,
    MAX_HEAD = 32 * 1024, /* bytes of a response's head */
    /* bytes that may come before the response to the request: interim
       responses, and a response to an earlier request */
    MAX_BYTES_BEFORE_RESPONSE = 256 * 1024,
    /* ms; several times the longest round trip, and short enough to leave
       time for another attempt */
    CONNECT_TIMEOUT = 350,
    /* ms, if the upstream sends no Keep-Alive timeout */
    DEFAULT_IDLE_TIMEOUT = 4000,
    MAX_KEEP_ALIVE = 60 * 60, /* s; a longer timeout counts as this one */
    DISCARD_TIMEOUT = 200, /* ms to read the rest of a response to discard */
    UNACKED_TIMEOUT = 2000 /* ms that sent bytes may stay unacknowledged */
};

/* The share of the upstream's Keep-Alive timeout after which a connection is
   not used again: the upstream starts to count before this side does. */
static const double idle_timeout_share = 0.6;

typedef enum ConnState {
    CONN_CONNECTING,
    CONN_BUSY,
    CONN_IDLE,
    CONN_CLOSED
} ConnState;

struct FrUpConn {
    FrFront *front;
    BkUp *up;
    int fd;
    BkWatch *watch;
    BkTimer *timer; /* limits connecting, or reading data to discard */
    ConnState state;
    BkH1Parser *parser;
    BkBuf out;
    bool bytes_sent; /* a byte of the request was sent */
    bool head_read;  /* the head of the current response was read */
    /* since the request was sent, before its response */
    size_t bytes_before_response;
    bool pass_body;      /* pass the body of this response to the request */
    bool bodiless;       /* HEAD request */
    bool first_exchange; /* no exchange has been completed yet */
    bool close_after;    /* close the connection after the current response */
    BkMs opened_at;
    BkMs idle_since;
    BkMs idle_timeout;
    bool far;           /* to another failure domain */
    FrRequest *request; /* NULL: none, or it has released the connection */
    FrUpConn *prev;
    FrUpConn *next;
};

static FrUpConn **
get_list(FrUpConn *conn)
{
    struct FrUpConnPool *pool = conn->up->pool;

    return conn->state == CONN_IDLE ? &pool->idle : &pool->busy;
}

static void
remove_from_list(FrUpConn *conn)
{
    if (conn->prev != NULL) {
        conn->prev->next = conn->next;
    }
    else {
        *get_list(conn) = conn->next;
    }
    if (conn->next != NULL) {
        conn->next->prev = conn->prev;
    }
    conn->prev = NULL;
    conn->next = NULL;
}

static void
move_to_state(FrUpConn *conn, ConnState state)
{
    remove_from_list(conn);
    conn->state = state;
    FrUpConn **list = get_list(conn);
    conn->next = *list;
    if (*list != NULL) {
        (*list)->prev = conn;
    }
    *list = conn;
}

void
FrUpConn_FreeDead(FrFront *front)
{
    while (front->dead_up_conns != NULL) {
        FrUpConn *conn = front->dead_up_conns;
        front->dead_up_conns = conn->next;
        BkTimer_Destroy(conn->timer);
        BkH1Parser_Destroy(conn->parser);
        BkBuf_Destroy(&conn->out);
        BkUp_Unref(conn->up);
        free(conn);
    }
}

/* Whether a request was sent whose response is not complete. */
static bool
is_exchange_open(const FrUpConn *conn)
{
    return conn->state == CONN_BUSY && conn->parser != NULL &&
           BkH1Parser_State(conn->parser) != BK_H1_DONE;
}

/* An open exchange is reset: what is left of its request must not be delivered
   after the request has ended here, or was sent elsewhere. */
static void
close_conn(FrUpConn *conn)
{
    FrFront *front = conn->front;

    if (conn->state == CONN_CLOSED) {
        return;
    }
    if (is_exchange_open(conn)) {
        FrSocket_ResetOnClose(conn->fd);
    }
    remove_from_list(conn);
    conn->state = CONN_CLOSED;
    conn->request = NULL;
    conn->up->pool->count--;
    BkWatch_Destroy(conn->watch);
    BkTimer_Stop(conn->timer);
    close(conn->fd);
    conn->next = front->dead_up_conns;
    front->dead_up_conns = conn;
    FrFront_ScheduleReap(front);
}

/* Closes the connection and reports the result of the exchange. */
static void
fail_exchange(FrUpConn *conn, FrExchangeResult result)
{
    FrRequest *request = conn->request;

    close_conn(conn);
    if (request != NULL) {
        FrRequest_OnExchangeEnd(request, result);
    }
}

static FrExchangeResult
result_after_disconnect(const FrUpConn *conn)
{
    if (!conn->bytes_sent) {
        return FR_EXCHANGE_UNSENT;
    }
    return conn->head_read && conn->pass_body ? FR_EXCHANGE_TRUNCATED
                                              : FR_EXCHANGE_NO_RESPONSE;
}

/* A call on the socket has failed with this error. */
static void
fail_by_error(FrUpConn *conn, int error)
{
    if (conn->request != NULL) {
        conn->request->went_silent =
            error == ETIMEDOUT || error == EHOSTUNREACH;
    }
    fail_exchange(conn, result_after_disconnect(conn));
}

static void
update_events(FrUpConn *conn)
{
    int events = BK_LOOP_READ;

    if (conn->state == CONN_CONNECTING || conn->out.len > 0) {
        events |= BK_LOOP_WRITE;
    }
    BkWatch_Modify(conn->watch, events);
}

static void
note_sent(FrUpConn *conn, ssize_t bytes)
{
    conn->bytes_sent = true;
    BkBuf_Consume(&conn->out, (size_t)bytes);
    BkCounter_Add(conn->front->metrics.far_request_bytes,
                  conn->far ? (int64_t)bytes : 0);
}

static void
send_output(FrUpConn *conn)
{
    while (conn->out.len > 0) {
        ssize_t n = send(conn->fd, conn->out.ptr, conn->out.len, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (n <= 0) {
            fail_by_error(conn, errno);
            return;
        }
        note_sent(conn, n);
    }
    update_events(conn);
}

static void
on_body_data(BkStr data, void *arg)
{
    FrUpConn *conn = arg;

    if (conn->request != NULL && conn->pass_body) {
        FrRequest_OnBody(conn->request, data);
    }
}

static void
read_keep_alive(FrUpConn *conn, const BkH1Head *head)
{
    BkStr params = BkH1Head_Find(head, "Keep-Alive");
    uint64_t seconds;

    conn->idle_timeout = DEFAULT_IDLE_TIMEOUT;
    while (params.len > 0) {
        BkStr value = BkStr_Trim(BkStr_Split(&params, ','));
        BkStr name = BkStr_Split(&value, '=');
        if (BkH1_SameName(name, BK_STR("timeout")) &&
            BkStr_ToU64(value, &seconds) == BK_OK) {
            seconds = seconds < MAX_KEEP_ALIVE ? seconds : MAX_KEEP_ALIVE;
            conn->idle_timeout = (BkMs)((double)seconds * (double)BK_MS_PER_S *
                                        idle_timeout_share);
        }
    }
}

/* The request may release or abort the connection here. */
static void
handle_head(FrUpConn *conn)
{
    const BkH1Head *head = BkH1Parser_Head(conn->parser);

    conn->head_read = true;
    conn->close_after = conn->close_after || !head->keep_alive;
    read_keep_alive(conn, head);
    conn->pass_body = false;
    if (conn->request == NULL) {
        return;
    }
    switch (FrRequest_OnHead(conn->request, head)) {
    case FR_HEAD_PASS_BODY:
        conn->pass_body = true;
        break;
    case FR_HEAD_SKIP:
    case FR_HEAD_RELEASED:
        break;
    }
}

static void
make_idle(FrUpConn *conn)
{
    BkTimer_Stop(conn->timer);
    if (conn->close_after || conn->out.len > 0) {
        close_conn(conn);
        return;
    }
    BkH1Parser_Destroy(conn->parser);
    conn->parser = NULL;
    conn->first_exchange = false;
    conn->idle_since = BkClock_Now();
    move_to_state(conn, CONN_IDLE);
}

/* The response is complete; has_more: data follows it. Returns whether to
   parse that data too. */
static bool
finish_response(FrUpConn *conn, bool has_more)
{
    FrRequest *request = conn->request;

    if (request != NULL && !conn->pass_body) {
        /* it was to another request: the expected one comes next */
        conn->head_read = false;
        BkH1Parser_Reset(conn->parser, conn->bodiless);
        return true;
    }
    if (has_more) {
        conn->close_after = true; /* no request expects these bytes */
    }
    conn->request = NULL;
    make_idle(conn);
    if (request != NULL) {
        FrRequest_OnExchangeEnd(request, FR_EXCHANGE_DONE);
    }
    return false;
}

/* Parses what was received, up to the end of the response. */
static void
parse_input(FrUpConn *conn, BkStr data)
{
    if (!conn->pass_body) {
        conn->bytes_before_response += data.len;
    }
    if (conn->bytes_before_response > MAX_BYTES_BEFORE_RESPONSE) {
        fail_exchange(conn, FR_EXCHANGE_MALFORMED);
        return;
    }
    while (data.len > 0 && conn->state == CONN_BUSY) {
        size_t n = BkH1Parser_Feed(conn->parser, data);
        data.ptr += n;
        data.len -= n;
        BkH1State state = BkH1Parser_State(conn->parser);
        if (state == BK_H1_FAILED) {
            fail_exchange(conn, conn->head_read && conn->pass_body
                                    ? FR_EXCHANGE_TRUNCATED
                                    : FR_EXCHANGE_MALFORMED);
            return;
        }
        if ((state == BK_H1_BODY || state == BK_H1_DONE) && !conn->head_read) {
            handle_head(conn);
        }
        if (conn->state == CONN_BUSY && state == BK_H1_DONE &&
            !finish_response(conn, data.len > 0)) {
            return;
        }
    }
}

/* The upstream closed its side of the connection. */
static void
handle_eof(FrUpConn *conn)
{
    if (conn->state == CONN_IDLE || conn->parser == NULL) {
        close_conn(conn);
        return;
    }
    conn->close_after = true;
    if (BkH1Parser_State(conn->parser) == BK_H1_BODY) {
        BkH1Parser_OnClose(conn->parser);
        if (BkH1Parser_State(conn->parser) == BK_H1_DONE && conn->pass_body) {
            finish_response(conn, false);
            return;
        }
    }
    fail_exchange(conn, result_after_disconnect(conn));
}

static void
read_input(FrUpConn *conn)
{
    char data[READ_BYTES];
    size_t max_unsent = FrMemory_GetMaxUnsent(conn->front);
    ssize_t n =
        recv(conn->fd, data,
             sizeof(data) < max_unsent ? sizeof(data) : max_unsent / 2, 0);

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n == 0) {
        handle_eof(conn);
    }
    else if (n < 0) {
        fail_by_error(conn, errno);
    }
    else if (conn->state == CONN_IDLE) {
        close_conn(conn); /* no request expects these bytes */
    }
    else {
        conn->up->last_response_at = BkClock_Now();
        BkCounter_Add(conn->front->metrics.far_response_bytes,
                      conn->far ? (int64_t)n : 0);
        parse_input(conn, (BkStr){data, (size_t)n});
    }
}

/* The connection could not be established. */
static void
fail_connect(FrUpConn *conn)
{
    if (!conn->up->is_daemon) {
        FrLinks_NoteFailed(conn->front->links, conn->up, conn->request == NULL,
                           conn->opened_at);
    }
    fail_exchange(conn, FR_EXCHANGE_UNSENT);
}

static void
finish_connect(FrUpConn *conn)
{
    int error = 0;
    socklen_t size = sizeof(error);

    getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        fail_connect(conn);
        return;
    }
    BkTimer_Stop(conn->timer);
    if (!conn->up->is_daemon) {
        FrLinks_NoteConnected(conn->front->links, conn->up, conn->opened_at);
    }
    if (conn->request == NULL) {
        make_idle(conn);
        if (conn->state == CONN_IDLE) {
            update_events(conn);
        }
        return;
    }
    move_to_state(conn, CONN_BUSY);
    send_output(conn);
}

static void
on_conn_event(int fd, int events, void *arg)
{
    FrUpConn *conn = arg;

    if (conn->state == CONN_CONNECTING) {
        finish_connect(conn);
        return;
    }
    if ((events & BK_LOOP_WRITE) != 0 && conn->out.len > 0) {
        send_output(conn);
    }
    if ((events & BK_LOOP_READ) != 0 && conn->state != CONN_CLOSED) {
        read_input(conn);
    }
}

static void
on_conn_timer(void *arg)
{
    FrUpConn *conn = arg;

    if (conn->state == CONN_CONNECTING) {
        fail_connect(conn);
    }
    else if (conn->state == CONN_BUSY && conn->request == NULL) {
        close_conn(conn);
    }
}

static bool
is_still_open(const FrUpConn *conn)
{
    char byte;

    ssize_t n = recv(conn->fd, &byte, 1, MSG_PEEK);
    return n < 0 && errno == EAGAIN;
}

void
FrUpConnPool_CloseIdle(BkUp *up, BkMs now, bool all)
{
    FrUpConn *next;

    if (up->pool == NULL) {
        return;
    }
    for (FrUpConn *conn = up->pool->idle; conn != NULL; conn = next) {
        next = conn->next;
        if (all || now - conn->idle_since >= conn->idle_timeout) {
            close_conn(conn);
        }
    }
    if (all && up->pool->count == 0) {
        free(up->pool);
        up->pool = NULL;
    }
}

void
FrUpConnPool_Destroy(BkUp *up)
{
    struct FrUpConnPool *pool = up->pool;

    if (pool == NULL) {
        return;
    }
    while (pool->idle != NULL) {
        close_conn(pool->idle);
    }
    while (pool->busy != NULL) {
        close_conn(pool->busy);
    }
    free(pool);
    up->pool = NULL;
}

static FrUpConn *
reuse_idle(BkUp *up)
{
    BkMs now = BkClock_Now();
    FrUpConn *next;

    for (FrUpConn *conn = up->pool->idle; conn != NULL; conn = next) {
        next = conn->next;
        if (now - conn->idle_since < conn->idle_timeout &&
            is_still_open(conn)) {
            move_to_state(conn, CONN_BUSY);
            return conn;
        }
        close_conn(conn);
    }
    return NULL;
}

static FrUpConn *
open_conn(FrFront *front, BkUp *up)
{
    int fd = FrSocket_Connect(&up->sockaddr, UNACKED_TIMEOUT);

    if (fd < 0) {
        return NULL;
    }
    FrUpConn *conn = BkMem_New(1, sizeof(*conn));
    conn->front = front;
    conn->up = BkUp_Ref(up);
    conn->far = strcmp(up->domain, front->conf.domain) != 0;
    conn->fd = fd;
    conn->state = CONN_CONNECTING;
    conn->first_exchange = true;
    conn->opened_at = BkClock_Now();
    conn->idle_timeout = DEFAULT_IDLE_TIMEOUT;
    conn->next = up->pool->busy;
    if (up->pool->busy != NULL) {
        up->pool->busy->prev = conn;
    }
    up->pool->busy = conn;
    up->pool->count++;
    conn->timer = BkTimer_Create(front->loop, on_conn_timer, conn);
    BkTimer_Start(conn->timer, CONNECT_TIMEOUT);
    conn->watch =
        BkLoop_Watch(front->loop, fd, BK_LOOP_WRITE, on_conn_event, conn);
    BkCounter_Add(front->metrics.connects, 1);
    return conn;
}

/* Does not report an error of the write, since the request does not have the
   connection yet. The event loop writes again later, and reports an error
   then. */
static void
try_first_write(FrUpConn *conn)
{
    ssize_t n = send(conn->fd, conn->out.ptr, conn->out.len, MSG_NOSIGNAL);

    if (n > 0) {
        note_sent(conn, n);
    }
    update_events(conn);
}

static void
ensure_pool(BkUp *up)
{
    if (up->pool == NULL) {
        up->pool = BkMem_New(1, sizeof(*up->pool));
    }
}

bool
FrUpConn_OpenIdle(FrFront *front, BkUp *up)
{
    ensure_pool(up);
    return open_conn(front, up) != NULL;
}

static bool
has_refused(const BkUp *up, const FrRequest *request)
{
    for (int i = 0; i < request->refusal_count && i < FR_MAX_REFUSED_BY; i++) {
        if (request->refused_by[i] == up->key) {
            return true;
        }
    }
    /* of more refusals, the earlier ones are not known any more */
    return request->refusal_count > FR_MAX_REFUSED_BY;
}

FrUpConn *
FrUpConn_Send(FrFront *front, BkUp *up, FrRequest *request, BkStr head,
              BkStr body, bool bodiless)
{
    ensure_pool(up);
    FrUpConn *conn = has_refused(up, request) ? NULL : reuse_idle(up);
    if (conn == NULL) {
        conn = open_conn(front, up);
    }
    if (conn == NULL) {
        return NULL;
    }
    conn->request = request;
    conn->bytes_sent = false;
    conn->bytes_before_response = 0;
    conn->head_read = false;
    conn->pass_body = false;
    conn->bodiless = bodiless;
    conn->parser =
        BkH1Parser_Create(BK_H1_RESPONSE, MAX_HEAD, on_body_data, conn);
    BkH1Parser_Reset(conn->parser, bodiless);
    BkBuf_Append(&conn->out, head);
    BkBuf_Append(&conn->out, body);
    if (conn->state == CONN_BUSY) {
        try_first_write(conn);
    }
    return conn;
}

void
FrUpConn_Abort(FrUpConn *conn)
{
    conn->request = NULL;
    close_conn(conn);
}

void
FrUpConn_Release(FrUpConn *conn)
{
    conn->request = NULL;
    conn->pass_body = false;
    BkTimer_Start(conn->timer, DISCARD_TIMEOUT);
}

void
FrUpConn_SetPaused(FrUpConn *conn, bool paused)
{
    if (conn->state == CONN_BUSY) {
        int events = conn->out.len > 0 ? BK_LOOP_WRITE : 0;
        BkWatch_Modify(conn->watch, paused ? events : events | BK_LOOP_READ);
    }
}

int
FrUpConn_CountUnacked(const FrUpConn *conn)
{
    int bytes;

    return ioctl(conn->fd, SIOCOUTQ, &bytes) == 0 ? bytes : -1;
}

void
FrUpConn_CloseAfter(FrUpConn *conn)
{
    conn->close_after = true;
}

bool
FrUpConn_IsFirstExchange(const FrUpConn *conn)
{
    return conn->first_exchange;
}
