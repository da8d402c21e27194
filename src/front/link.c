#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "front.h"
#include "socket.h"

enum {
    READ_BYTES = 16 * 1024,
    MAX_HEAD = 32 * 1024, /* bytes of an answer's head */
    CONNECT_LIMIT = 350,  /* ms; several times the longest round trip, and
                               short enough for another try */
    IDLE_LIMIT = 4000,    /* ms, where the upstream names none */
    SKIP_LIMIT = 200,     /* ms for the rest of an answer not wanted */
    DEAD_AFTER = 2000     /* ms that sent bytes stay unconfirmed */
};

/* of the idle time that the upstream names; it counts from its own end */
static const double idle_share = 0.6;

typedef enum LinkState {
    LINK_CONNECTING,
    LINK_BUSY,
    LINK_IDLE,
    LINK_DEAD
} LinkState;

struct FrLink {
    FrFront *front;
    BkUp *up;
    int fd;
    BkWatch *watch;
    BkTimer *timer; /* of the connect, and of what is skipped */
    LinkState state;
    BkH1Parser *parser;
    BkBuf out;
    bool written;   /* a byte of the request has left */
    bool head_seen; /* of the present answer */
    bool wanted;    /* its body goes to the relay */
    bool bodiless;
    bool fresh; /* the first exchange of the connection */
    bool close_after;
    BkMs idle_since;
    BkMs idle_limit;
    FrRelay *relay; /* NULL once it has let go */
    FrLink *prev;
    FrLink *next;
};

static FrLink **
list_of(FrLink *link)
{
    struct FrPool *pool = link->up->pool;

    return link->state == LINK_IDLE ? &pool->idle : &pool->busy;
}

static void
unlink_link(FrLink *link)
{
    if (link->prev != NULL) {
        link->prev->next = link->next;
    }
    else {
        *list_of(link) = link->next;
    }
    if (link->next != NULL) {
        link->next->prev = link->prev;
    }
    link->prev = NULL;
    link->next = NULL;
}

static void
set_state(FrLink *link, LinkState state)
{
    unlink_link(link);
    link->state = state;
    FrLink **list = list_of(link);
    link->next = *list;
    if (*list != NULL) {
        (*list)->prev = link;
    }
    *list = link;
}

void
FrLink_FreeDead(FrFront *front)
{
    while (front->dead_links != NULL) {
        FrLink *link = front->dead_links;
        front->dead_links = link->next;
        BkTimer_Destroy(link->timer);
        BkH1Parser_Destroy(link->parser);
        BkBuf_Destroy(&link->out);
        BkUp_Unref(link->up);
        free(link);
    }
}

static void
close_link(FrLink *link)
{
    FrFront *front = link->front;

    if (link->state == LINK_DEAD) {
        return;
    }
    unlink_link(link);
    link->state = LINK_DEAD;
    link->relay = NULL;
    link->up->pool->count--;
    BkWatch_Destroy(link->watch);
    BkTimer_Stop(link->timer);
    close(link->fd);
    link->next = front->dead_links;
    front->dead_links = link;
    FrFront_ReapSoon(front);
}

/* tells the relay how it ended, and closes the connection */
static void
fail_link(FrLink *link, FrLinkEnd end)
{
    FrRelay *relay = link->relay;

    close_link(link);
    if (relay != NULL) {
        FrRelay_TakeEnd(relay, end);
    }
}

static FrLinkEnd
broken_end(const FrLink *link)
{
    if (!link->written) {
        return FR_LINK_UNSENT;
    }
    return link->head_seen && link->wanted ? FR_LINK_CUT : FR_LINK_SILENT;
}

static void
watch_link(FrLink *link)
{
    int events = BK_LOOP_READ;

    if (link->state == LINK_CONNECTING || link->out.len > 0) {
        events |= BK_LOOP_WRITE;
    }
    BkWatch_Modify(link->watch, events);
}

static void
write_link(FrLink *link)
{
    while (link->out.len > 0) {
        ssize_t n = send(link->fd, link->out.ptr, link->out.len, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (n <= 0) {
            fail_link(link, broken_end(link));
            return;
        }
        link->written = true;
        BkBuf_Consume(&link->out, (size_t)n);
    }
    watch_link(link);
}

static void
take_body(BkStr data, void *arg)
{
    FrLink *link = arg;

    if (link->relay != NULL && link->wanted) {
        FrRelay_TakeBody(link->relay, data);
    }
}

static void
take_keep_alive(FrLink *link, const BkH1Head *head)
{
    BkStr rest = BkH1Head_Find(head, "Keep-Alive");
    uint64_t seconds;

    link->idle_limit = IDLE_LIMIT;
    while (rest.len > 0) {
        BkStr value = BkStr_Trim(BkStr_Split(&rest, ','));
        BkStr name = BkStr_Split(&value, '=');
        if (BkH1_SameName(name, BK_STR("timeout")) &&
            BkStr_ToU64(value, &seconds) == BK_OK) {
            link->idle_limit =
                (BkMs)((double)seconds * (double)BK_MS_PER_S * idle_share);
        }
    }
}

/* false: the relay has let go and the link is skipping or dead */
static void
take_head(FrLink *link)
{
    const BkH1Head *head = BkH1Parser_Head(link->parser);

    link->head_seen = true;
    link->close_after = link->close_after || !head->keep_alive;
    take_keep_alive(link, head);
    link->wanted = false;
    if (link->relay == NULL) {
        return;
    }
    switch (FrRelay_TakeHead(link->relay, head)) {
    case FR_TAKE_BODY:
        link->wanted = true;
        break;
    case FR_TAKE_SKIP:
    case FR_TAKE_LEFT:
        break;
    }
}

static void
go_idle(FrLink *link)
{
    BkTimer_Stop(link->timer);
    if (link->close_after || link->out.len > 0) {
        close_link(link);
        return;
    }
    BkH1Parser_Destroy(link->parser);
    link->parser = NULL;
    link->fresh = false;
    link->idle_since = BkClock_Now();
    set_state(link, LINK_IDLE);
}

/* an answer is whole; false: no more of data may be read */
static bool
end_answer(FrLink *link, bool more)
{
    FrRelay *relay = link->relay;

    if (relay != NULL && !link->wanted) {
        /* it answered another request: ours comes next */
        link->head_seen = false;
        BkH1Parser_Reset(link->parser, link->bodiless);
        return true;
    }
    if (more) {
        link->close_after = true; /* bytes that belong to no request */
    }
    link->relay = NULL;
    go_idle(link);
    if (relay != NULL) {
        FrRelay_TakeEnd(relay, FR_LINK_DONE);
    }
    return false;
}

static void
parse(FrLink *link, BkStr data)
{
    while (data.len > 0 && link->state == LINK_BUSY) {
        size_t n = BkH1Parser_Feed(link->parser, data);
        data.ptr += n;
        data.len -= n;
        BkH1State state = BkH1Parser_State(link->parser);
        if (state == BK_H1_BAD) {
            fail_link(link, link->head_seen && link->wanted ? FR_LINK_CUT
                                                            : FR_LINK_GARBAGE);
            return;
        }
        if ((state == BK_H1_BODY || state == BK_H1_DONE) && !link->head_seen) {
            take_head(link);
        }
        if (link->state == LINK_BUSY && state == BK_H1_DONE &&
            !end_answer(link, data.len > 0)) {
            return;
        }
    }
}

/* the upstream closed its side */
static void
end_of_stream(FrLink *link)
{
    if (link->state == LINK_IDLE || link->parser == NULL) {
        close_link(link);
        return;
    }
    link->close_after = true;
    if (BkH1Parser_State(link->parser) == BK_H1_BODY) {
        BkH1Parser_Finish(link->parser);
        if (BkH1Parser_State(link->parser) == BK_H1_DONE && link->wanted) {
            end_answer(link, false);
            return;
        }
    }
    fail_link(link, broken_end(link));
}

static void
read_link(FrLink *link)
{
    char data[READ_BYTES];
    ssize_t n = recv(link->fd, data, sizeof(data), 0);

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n == 0) {
        end_of_stream(link);
    }
    else if (n < 0) {
        fail_link(link, broken_end(link));
    }
    else if (link->state == LINK_IDLE) {
        close_link(link); /* bytes that belong to no request */
    }
    else {
        link->up->last_response_at = BkClock_Now();
        parse(link, (BkStr){data, (size_t)n});
    }
}

static void
finish_connect(FrLink *link)
{
    int error = 0;
    socklen_t size = sizeof(error);

    getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        fail_link(link, FR_LINK_UNSENT);
        return;
    }
    BkTimer_Stop(link->timer);
    set_state(link, LINK_BUSY);
    write_link(link);
}

static void
on_link_event(int fd, int events, void *arg)
{
    FrLink *link = arg;

    if (link->state == LINK_CONNECTING) {
        finish_connect(link);
        return;
    }
    if ((events & BK_LOOP_WRITE) != 0 && link->out.len > 0) {
        write_link(link);
    }
    if ((events & BK_LOOP_READ) != 0 && link->state != LINK_DEAD) {
        read_link(link);
    }
}

static void
on_link_timer(void *arg)
{
    FrLink *link = arg;

    if (link->state == LINK_CONNECTING) {
        fail_link(link, FR_LINK_UNSENT);
    }
    else if (link->state == LINK_BUSY && link->relay == NULL) {
        close_link(link);
    }
}

static bool
still_open(const FrLink *link)
{
    char byte;

    ssize_t n = recv(link->fd, &byte, 1, MSG_PEEK);
    return n < 0 && errno == EAGAIN;
}

void
FrPool_CloseIdle(BkUp *up, BkMs now, bool all)
{
    FrLink *next;

    if (up->pool == NULL) {
        return;
    }
    for (FrLink *link = up->pool->idle; link != NULL; link = next) {
        next = link->next;
        if (all || now - link->idle_since >= link->idle_limit) {
            close_link(link);
        }
    }
    if (all && up->pool->count == 0) {
        free(up->pool);
        up->pool = NULL;
    }
}

static FrLink *
take_idle(BkUp *up)
{
    BkMs now = BkClock_Now();
    FrLink *next;

    for (FrLink *link = up->pool->idle; link != NULL; link = next) {
        next = link->next;
        if (now - link->idle_since < link->idle_limit && still_open(link)) {
            set_state(link, LINK_BUSY);
            return link;
        }
        close_link(link);
    }
    return NULL;
}

static FrLink *
open_link(FrFront *front, BkUp *up)
{
    int fd = FrSocket_Connect(&up->sockaddr, DEAD_AFTER);

    if (fd < 0) {
        return NULL;
    }
    FrLink *link = BkMem_New(1, sizeof(*link));
    link->front = front;
    link->up = BkUp_Ref(up);
    link->fd = fd;
    link->state = LINK_CONNECTING;
    link->fresh = true;
    link->idle_limit = IDLE_LIMIT;
    link->next = up->pool->busy;
    if (up->pool->busy != NULL) {
        up->pool->busy->prev = link;
    }
    up->pool->busy = link;
    up->pool->count++;
    link->timer = BkTimer_Create(front->loop, on_link_timer, link);
    BkTimer_Start(link->timer, CONNECT_LIMIT);
    link->watch =
        BkLoop_Watch(front->loop, fd, BK_LOOP_WRITE, on_link_event, link);
    BkCounter_Add(front->metrics.connects, 1);
    return link;
}

/* A write that fails is tried again by the loop, and reported there, so that
   the relay is never called back before FrLink_Send returns. */
static void
write_first(FrLink *link)
{
    ssize_t n = send(link->fd, link->out.ptr, link->out.len, MSG_NOSIGNAL);

    if (n > 0) {
        link->written = true;
        BkBuf_Consume(&link->out, (size_t)n);
    }
    watch_link(link);
}

FrLink *
FrLink_Send(FrFront *front, BkUp *up, FrRelay *relay, BkStr head, BkStr body,
            bool bodiless)
{
    if (up->pool == NULL) {
        up->pool = BkMem_New(1, sizeof(*up->pool));
    }
    FrLink *link = take_idle(up);
    if (link == NULL) {
        link = open_link(front, up);
    }
    if (link == NULL) {
        return NULL;
    }
    link->relay = relay;
    link->written = false;
    link->head_seen = false;
    link->bodiless = bodiless;
    link->parser =
        BkH1Parser_Create(BK_H1_RESPONSE, MAX_HEAD, take_body, link);
    BkH1Parser_Reset(link->parser, bodiless);
    BkBuf_Append(&link->out, head);
    BkBuf_Append(&link->out, body);
    if (link->state == LINK_BUSY) {
        write_first(link);
    }
    return link;
}

void
FrLink_Abort(FrLink *link)
{
    link->relay = NULL;
    close_link(link);
}

void
FrLink_Release(FrLink *link)
{
    link->relay = NULL;
    link->wanted = false;
    BkTimer_Start(link->timer, SKIP_LIMIT);
}

void
FrLink_Pause(FrLink *link, bool paused)
{
    if (link->state == LINK_BUSY) {
        int events = link->out.len > 0 ? BK_LOOP_WRITE : 0;
        BkWatch_Modify(link->watch, paused ? events : events | BK_LOOP_READ);
    }
}

bool
FrLink_IsFresh(const FrLink *link)
{
    return link->fresh;
}
