/*
 * loop - event loop: file descriptors (with one apr_pollset) and timers
 *
 * All work of a process runs in callbacks of its loop, in one thread. A
 * callback must not block.
 */
#ifndef BK_BASE_LOOP_H
#define BK_BASE_LOOP_H

#include <stdbool.h>

#include "bk/base/clock.h"
#include "bk/base/status.h"

typedef struct BkLoop BkLoop;
typedef struct BkWatch BkWatch;
typedef struct BkTimer BkTimer;

#define BK_LOOP_READ 1
#define BK_LOOP_WRITE 2

/* events is a mask of BK_LOOP_READ and BK_LOOP_WRITE; an error or hang-up sets
 * both. */
typedef void (*BkWatchFn)(int fd, int events, void *arg);
typedef void (*BkLoopFn)(void *arg);

BkLoop *BkLoop_Create(void);
void BkLoop_Destroy(BkLoop *loop);

/* Calls fn when one of the events occurs on fd. The loop owns the watch. */
BkWatch *BkLoop_Watch(BkLoop *loop, int fd, int events, BkWatchFn fn,
                      void *arg);

/* Changes the events to watch for; 0 pauses the watch. */
void BkWatch_Modify(BkWatch *watch, int events);

/* Ends the watch; safe in any callback. Must be called before the fd is
 * closed. */
void BkWatch_Destroy(BkWatch *watch);

/* Creates a timer that is stopped. BkTimer_Start starts or restarts it; it
 * then fires once. */
BkTimer *BkTimer_Create(BkLoop *loop, BkLoopFn fn, void *arg);
void BkTimer_Start(BkTimer *timer, BkMs after);
void BkTimer_Stop(BkTimer *timer);
bool BkTimer_Running(const BkTimer *timer);
void BkTimer_Destroy(BkTimer *timer);

/*
 * Calls fn(arg) in the loop when SIGTERM or SIGINT arrives; the signal handler
 * only writes to a pipe (self-pipe). ERRORS: BK_EIO.
 */
BkStatus BkLoop_OnTerminate(BkLoop *loop, BkLoopFn fn, void *arg);

/* The same when SIGHUP arrives. ERRORS: BK_EIO. */
BkStatus BkLoop_OnReload(BkLoop *loop, BkLoopFn fn, void *arg);

/* Runs until BkLoop_Stop. */
void BkLoop_Run(BkLoop *loop);

/* Waits for events for at most max_wait and runs the callbacks that are
 * due. */
void BkLoop_RunOnce(BkLoop *loop, BkMs max_wait);

void BkLoop_Stop(BkLoop *loop);

#endif
