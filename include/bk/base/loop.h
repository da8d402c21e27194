/*
 * loop - one thread, one apr_pollset, timers
 *
 * All work of a process runs in callbacks of its loop; none may block.
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

/* events: BK_LOOP_READ and BK_LOOP_WRITE; errors and hang-ups set both. */
typedef void (*BkWatchFn)(int fd, int events, void *arg);
typedef void (*BkTimerFn)(void *arg);

BkLoop *BkLoop_Create(void);
void BkLoop_Destroy(BkLoop *loop);

/* Watches fd for events; the watch is owned by the loop. */
BkWatch *BkLoop_Watch(BkLoop *loop, int fd, int events, BkWatchFn fn,
                      void *arg);

/* Changes the events watched for; 0 leaves the watch dormant. */
void BkWatch_Modify(BkWatch *watch, int events);

/* Ends the watch; safe in any callback. Call before closing the fd. */
void BkWatch_Destroy(BkWatch *watch);

/* A dormant timer; BkTimer_Start arms it (again) for one firing. */
BkTimer *BkTimer_Create(BkLoop *loop, BkTimerFn fn, void *arg);
void BkTimer_Start(BkTimer *timer, BkMs after);
void BkTimer_Stop(BkTimer *timer);
bool BkTimer_Running(const BkTimer *timer);
void BkTimer_Destroy(BkTimer *timer);

/*
 * Calls fn(arg) in the loop when SIGTERM or SIGINT arrives (self-pipe).
 * ERRORS: BK_EIO.
 */
BkStatus BkLoop_OnTerminate(BkLoop *loop, BkTimerFn fn, void *arg);

/* The same when SIGHUP arrives. ERRORS: BK_EIO. */
BkStatus BkLoop_OnReload(BkLoop *loop, BkTimerFn fn, void *arg);

/* Runs until BkLoop_Stop. */
void BkLoop_Run(BkLoop *loop);

/* Runs one round that waits at most wait. */
void BkLoop_Round(BkLoop *loop, BkMs wait);

void BkLoop_Stop(BkLoop *loop);

#endif
