#include "bk/base/loop.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>

#include "bk/base/str.h"

enum {
    /* Events handled after one poll, however many descriptors are ready. Few,
       so that data from the first events of a burst is sent on before the last
       ones are read. */
    EVENTS_PER_ROUND = 16,
    US_PER_MS = 1000
};

struct BkWatch {
    BkLoop *loop;
    apr_socket_t *socket; /* kept when the watch is reused */
    apr_pollfd_t pfd;     /* the pollset has a pointer to it */
    int fd;
    int events; /* 0 while not in the pollset */
    BkWatchFn fn;
    void *arg;
    bool destroyed;
    BkWatch *next; /* in destroyed_watches or free_watches */
};

struct BkTimer {
    BkLoop *loop;
    BkLoopFn fn;
    void *arg;
    BkMs due;
    int index; /* in the heap; -1: stopped */
};

struct BkLoop {
    apr_pool_t *pool;
    apr_pollset_t *pollset;
    /* destroyed in this round; moved to free_watches at its end, since events
       of the round may still refer to them */
    BkWatch *destroyed_watches;
    /* to be reused, with their socket objects, which stay in the pool */
    BkWatch *free_watches;
    BkTimer **heap; /* binary heap, by time */
    int heap_len;
    int heap_cap;
    bool stopped;
    BkLoopFn on_terminate;
    void *terminate_arg;
    BkLoopFn on_reload;
    void *reload_arg;
    BkWatch *signal_watch;
};

static int signal_pipe[2] = {-1, -1};

BkLoop *
BkLoop_Create(void)
{
    BkLoop *loop = BkMem_New(1, sizeof(*loop));

    apr_initialize();
    apr_pool_create(&loop->pool, NULL);
    apr_status_t rv = apr_pollset_create(&loop->pollset, EVENTS_PER_ROUND,
                                         loop->pool, APR_POLLSET_NOCOPY);
    if (rv != APR_SUCCESS) {
        abort();
    }
    return loop;
}

static void
recycle_watches(BkLoop *loop)
{
    while (loop->destroyed_watches != NULL) {
        BkWatch *watch = loop->destroyed_watches;
        loop->destroyed_watches = watch->next;
        watch->next = loop->free_watches;
        loop->free_watches = watch;
    }
}

void
BkLoop_Destroy(BkLoop *loop)
{
    if (loop == NULL) {
        return;
    }
    if (loop->signal_watch != NULL) {
        BkWatch_Destroy(loop->signal_watch);
    }
    recycle_watches(loop);
    while (loop->free_watches != NULL) {
        BkWatch *watch = loop->free_watches;
        loop->free_watches = watch->next;
        free(watch);
    }
    free(loop->heap);
    apr_pollset_destroy(loop->pollset);
    apr_pool_destroy(loop->pool);
    free(loop);
    apr_terminate();
}

static void
fill_pollfd(BkWatch *watch)
{
    watch->pfd = (apr_pollfd_t){.p = watch->loop->pool,
                                .desc_type = APR_POLL_SOCKET,
                                .desc.s = watch->socket,
                                .client_data = watch};
    if ((watch->events & BK_LOOP_READ) != 0) {
        watch->pfd.reqevents |= APR_POLLIN;
    }
    if ((watch->events & BK_LOOP_WRITE) != 0) {
        watch->pfd.reqevents |= APR_POLLOUT;
    }
}

BkWatch *
BkLoop_Watch(BkLoop *loop, int fd, int events, BkWatchFn fn, void *arg)
{
    BkWatch *watch = loop->free_watches;

    if (watch == NULL) {
        watch = BkMem_New(1, sizeof(*watch));
    }
    else {
        loop->free_watches = watch->next;
    }
    *watch = (BkWatch){
        .loop = loop, .socket = watch->socket, .fd = fd, .fn = fn, .arg = arg};
    apr_os_sock_put(&watch->socket, &fd, loop->pool);
    BkWatch_Modify(watch, events);
    return watch;
}

void
BkWatch_Modify(BkWatch *watch, int events)
{
    if (watch->events == events) {
        return;
    }
    if (watch->events != 0) {
        apr_pollset_remove(watch->loop->pollset, &watch->pfd);
    }
    watch->events = events;
    if (events != 0) {
        fill_pollfd(watch);
        apr_pollset_add(watch->loop->pollset, &watch->pfd);
    }
}

void
BkWatch_Destroy(BkWatch *watch)
{
    if (watch == NULL || watch->destroyed) {
        return;
    }
    BkWatch_Modify(watch, 0);
    watch->destroyed = true;
    watch->next = watch->loop->destroyed_watches;
    watch->loop->destroyed_watches = watch;
}

static void
place_timer(BkLoop *loop, int index, BkTimer *timer)
{
    loop->heap[index] = timer;
    timer->index = index;
}

static void
sift_up(BkLoop *loop, int index)
{
    BkTimer *timer = loop->heap[index];

    while (index > 0) {
        int parent = (index - 1) / 2;
        if (loop->heap[parent]->due <= timer->due) {
            break;
        }
        place_timer(loop, index, loop->heap[parent]);
        index = parent;
    }
    place_timer(loop, index, timer);
}

static void
sift_down(BkLoop *loop, int index)
{
    BkTimer *timer = loop->heap[index];

    for (;;) {
        int child = index * 2 + 1;
        if (child >= loop->heap_len) {
            break;
        }
        if (child + 1 < loop->heap_len &&
            loop->heap[child + 1]->due < loop->heap[child]->due) {
            child++;
        }
        if (loop->heap[child]->due >= timer->due) {
            break;
        }
        place_timer(loop, index, loop->heap[child]);
        index = child;
    }
    place_timer(loop, index, timer);
}

BkTimer *
BkTimer_Create(BkLoop *loop, BkLoopFn fn, void *arg)
{
    BkTimer *timer = BkMem_New(1, sizeof(*timer));

    *timer = (BkTimer){loop, fn, arg, 0, -1};
    return timer;
}

void
BkTimer_Start(BkTimer *timer, BkMs after)
{
    BkLoop *loop = timer->loop;

    BkTimer_Stop(timer);
    timer->due = BkClock_Now() + (after < 0 ? 0 : after);
    if (loop->heap_len == loop->heap_cap) {
        loop->heap_cap = loop->heap_cap == 0 ? 64 : loop->heap_cap * 2;
        loop->heap =
            BkMem_Grow(loop->heap, (size_t)loop->heap_cap, sizeof(BkTimer *));
    }
    place_timer(loop, loop->heap_len, timer);
    loop->heap_len++;
    sift_up(loop, timer->index);
}

void
BkTimer_Stop(BkTimer *timer)
{
    BkLoop *loop = timer->loop;
    int index = timer->index;

    if (index < 0) {
        return;
    }
    timer->index = -1;
    loop->heap_len--;
    if (index == loop->heap_len) {
        return;
    }
    place_timer(loop, index, loop->heap[loop->heap_len]);
    sift_up(loop, index);
    sift_down(loop, loop->heap[index]->index);
}

bool
BkTimer_Running(const BkTimer *timer)
{
    return timer->index >= 0;
}

void
BkTimer_Destroy(BkTimer *timer)
{
    if (timer == NULL) {
        return;
    }
    BkTimer_Stop(timer);
    free(timer);
}

static void
write_signal(int number)
{
    int saved_errno = errno;
    char byte = (char)number;

    if (write(signal_pipe[1], &byte, 1) < 0) {
        /* the pipe is full, so the loop wakes up anyway */
    }
    errno = saved_errno;
}

static void
handle_signal(BkLoop *loop, int number)
{
    if (number != SIGHUP) {
        if (loop->on_terminate != NULL) {
            loop->on_terminate(loop->terminate_arg);
        }
    }
    else if (loop->on_reload != NULL) {
        loop->on_reload(loop->reload_arg);
    }
}

static void
read_signals(int fd, int events, void *arg)
{
    BkLoop *loop = arg;
    char bytes[16];

    (void)events;
    ssize_t n = read(fd, bytes, sizeof(bytes));
    for (ssize_t i = 0; i < n; i++) {
        handle_signal(loop, bytes[i]);
    }
}

static BkStatus
watch_signals(BkLoop *loop)
{
    if (loop->signal_watch != NULL) {
        return BK_OK;
    }
    if (pipe2(signal_pipe, O_NONBLOCK | O_CLOEXEC) != 0) {
        return BkErr_Set(BK_EIO, "cannot create a pipe for signals: errno %d",
                         errno);
    }
    loop->signal_watch =
        BkLoop_Watch(loop, signal_pipe[0], BK_LOOP_READ, read_signals, loop);
    signal(SIGPIPE, SIG_IGN);
    return BK_OK;
}

BkStatus
BkLoop_OnTerminate(BkLoop *loop, BkLoopFn fn, void *arg)
{
    struct sigaction action = {.sa_handler = write_signal};
    BkStatus status = watch_signals(loop);

    if (status == BK_OK) {
        loop->on_terminate = fn;
        loop->terminate_arg = arg;
        sigaction(SIGTERM, &action, NULL);
        sigaction(SIGINT, &action, NULL);
    }
    return status;
}

BkStatus
BkLoop_OnReload(BkLoop *loop, BkLoopFn fn, void *arg)
{
    struct sigaction action = {.sa_handler = write_signal};
    BkStatus status = watch_signals(loop);

    if (status == BK_OK) {
        loop->on_reload = fn;
        loop->reload_arg = arg;
        sigaction(SIGHUP, &action, NULL);
    }
    return status;
}

static void
fire_timers(BkLoop *loop)
{
    BkMs now = BkClock_Now();
    /* so that a timer whose callback starts it again cannot block the loop */
    int max_firings = loop->heap_len;

    while (max_firings-- > 0 && loop->heap_len > 0 &&
           loop->heap[0]->due <= now) {
        BkTimer *timer = loop->heap[0];
        BkTimer_Stop(timer);
        timer->fn(timer->arg);
    }
}

static int
translate_events(apr_int16_t rtnevents)
{
    int events = 0;

    if ((rtnevents & APR_POLLIN) != 0) {
        events |= BK_LOOP_READ;
    }
    if ((rtnevents & APR_POLLOUT) != 0) {
        events |= BK_LOOP_WRITE;
    }
    if ((rtnevents & (APR_POLLERR | APR_POLLHUP)) != 0) {
        events |= BK_LOOP_READ | BK_LOOP_WRITE;
    }
    return events;
}

static void
poll_watches(BkLoop *loop, BkMs wait)
{
    const apr_pollfd_t *ready;
    apr_int32_t count;
    apr_status_t rv =
        apr_pollset_poll(loop->pollset, wait * US_PER_MS, &count, &ready);

    if (rv != APR_SUCCESS) {
        return;
    }
    for (apr_int32_t i = 0; i < count; i++) {
        BkWatch *watch = ready[i].client_data;
        if (!watch->destroyed && watch->events != 0) {
            watch->fn(watch->fd, translate_events(ready[i].rtnevents),
                      watch->arg);
        }
    }
}

void
BkLoop_RunOnce(BkLoop *loop, BkMs max_wait)
{
    if (loop->heap_len > 0) {
        BkMs next = loop->heap[0]->due - BkClock_Now();
        if (next < max_wait) {
            max_wait = next < 0 ? 0 : next;
        }
    }
    poll_watches(loop, max_wait);
    fire_timers(loop);
    recycle_watches(loop);
}

void
BkLoop_Run(BkLoop *loop)
{
    while (!loop->stopped) {
        BkLoop_RunOnce(loop, BK_MS_PER_S);
    }
}

void
BkLoop_Stop(BkLoop *loop)
{
    loop->stopped = true;
}
