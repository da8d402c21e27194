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
    /* of any number of descriptors; few, so that what one event brings is
       sent on before the last of a burst is read */
    EVENTS_PER_ROUND = 16,
    US_PER_MS = 1000
};

struct BkWatch {
    BkLoop *loop;
    apr_socket_t *socket; /* kept when the watch is used again */
    apr_pollfd_t pfd;     /* the pollset refers to it */
    int fd;
    int events; /* 0 while not in the pollset */
    BkWatchFn fn;
    void *arg;
    bool dead;
    BkWatch *next; /* among the dead, or the spare ones */
};

struct BkTimer {
    BkLoop *loop;
    BkTimerFn fn;
    void *arg;
    BkMs due;
    int slot; /* in the heap, -1 while dormant */
};

struct BkLoop {
    apr_pool_t *pool;
    apr_pollset_t *pollset;
    BkWatch *dead;  /* spare after the round in which they died */
    BkWatch *spare; /* their socket objects stay in the loop's pool */
    BkTimer **heap;
    int heap_len;
    int heap_cap;
    bool stopped;
    BkTimerFn on_terminate;
    void *terminate_arg;
    BkTimerFn on_reload;
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
recycle_dead_watches(BkLoop *loop)
{
    while (loop->dead != NULL) {
        BkWatch *watch = loop->dead;
        loop->dead = watch->next;
        watch->next = loop->spare;
        loop->spare = watch;
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
    recycle_dead_watches(loop);
    while (loop->spare != NULL) {
        BkWatch *watch = loop->spare;
        loop->spare = watch->next;
        free(watch);
    }
    free(loop->heap);
    apr_pollset_destroy(loop->pollset);
    apr_pool_destroy(loop->pool);
    free(loop);
    apr_terminate();
}

static void
describe_watch(BkWatch *watch)
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
    BkWatch *watch = loop->spare;

    if (watch == NULL) {
        watch = BkMem_New(1, sizeof(*watch));
    }
    else {
        loop->spare = watch->next;
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
        describe_watch(watch);
        apr_pollset_add(watch->loop->pollset, &watch->pfd);
    }
}

void
BkWatch_Destroy(BkWatch *watch)
{
    if (watch == NULL || watch->dead) {
        return;
    }
    BkWatch_Modify(watch, 0);
    watch->dead = true;
    watch->next = watch->loop->dead;
    watch->loop->dead = watch;
}

static void
place_timer(BkLoop *loop, int slot, BkTimer *timer)
{
    loop->heap[slot] = timer;
    timer->slot = slot;
}

static void
sift_up(BkLoop *loop, int slot)
{
    BkTimer *timer = loop->heap[slot];

    while (slot > 0) {
        int parent = (slot - 1) / 2;
        if (loop->heap[parent]->due <= timer->due) {
            break;
        }
        place_timer(loop, slot, loop->heap[parent]);
        slot = parent;
    }
    place_timer(loop, slot, timer);
}

static void
sift_down(BkLoop *loop, int slot)
{
    BkTimer *timer = loop->heap[slot];

    for (;;) {
        int child = slot * 2 + 1;
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
        place_timer(loop, slot, loop->heap[child]);
        slot = child;
    }
    place_timer(loop, slot, timer);
}

BkTimer *
BkTimer_Create(BkLoop *loop, BkTimerFn fn, void *arg)
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
    sift_up(loop, timer->slot);
}

void
BkTimer_Stop(BkTimer *timer)
{
    BkLoop *loop = timer->loop;
    int slot = timer->slot;

    if (slot < 0) {
        return;
    }
    timer->slot = -1;
    loop->heap_len--;
    if (slot == loop->heap_len) {
        return;
    }
    place_timer(loop, slot, loop->heap[loop->heap_len]);
    sift_up(loop, slot);
    sift_down(loop, loop->heap[slot]->slot);
}

bool
BkTimer_Running(const BkTimer *timer)
{
    return timer->slot >= 0;
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
note_signal(int signal)
{
    int saved = errno;
    char byte = (char)signal;

    if (write(signal_pipe[1], &byte, 1) < 0) {
        /* the pipe is full: the loop will wake up anyway */
    }
    errno = saved;
}

static void
take_signal(BkLoop *loop, int number)
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
        take_signal(loop, bytes[i]);
    }
}

static BkStatus
watch_signals(BkLoop *loop)
{
    if (loop->signal_watch != NULL) {
        return BK_OK;
    }
    if (pipe2(signal_pipe, O_NONBLOCK | O_CLOEXEC) != 0) {
        return BkErr_Set(BK_EIO, "no pipe for signals: errno %d", errno);
    }
    loop->signal_watch =
        BkLoop_Watch(loop, signal_pipe[0], BK_LOOP_READ, read_signals, loop);
    signal(SIGPIPE, SIG_IGN);
    return BK_OK;
}

BkStatus
BkLoop_OnTerminate(BkLoop *loop, BkTimerFn fn, void *arg)
{
    struct sigaction action = {.sa_handler = note_signal};
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
BkLoop_OnReload(BkLoop *loop, BkTimerFn fn, void *arg)
{
    struct sigaction action = {.sa_handler = note_signal};
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
    int budget = loop->heap_len; /* a timer that re-arms itself waits */

    while (budget-- > 0 && loop->heap_len > 0 && loop->heap[0]->due <= now) {
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
        if (!watch->dead && watch->events != 0) {
            watch->fn(watch->fd, translate_events(ready[i].rtnevents),
                      watch->arg);
        }
    }
}

void
BkLoop_Round(BkLoop *loop, BkMs wait)
{
    if (loop->heap_len > 0) {
        BkMs next = loop->heap[0]->due - BkClock_Now();
        if (next < wait) {
            wait = next < 0 ? 0 : next;
        }
    }
    poll_watches(loop, wait);
    fire_timers(loop);
    recycle_dead_watches(loop);
}

void
BkLoop_Run(BkLoop *loop)
{
    while (!loop->stopped) {
        BkLoop_Round(loop, BK_MS_PER_S);
    }
}

void
BkLoop_Stop(BkLoop *loop)
{
    loop->stopped = true;
}
