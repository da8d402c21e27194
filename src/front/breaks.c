#include "quarantine.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bk/base/log.h"
#include "links.h"
#include "request.h"
#include "socket.h"

enum {
    /* ms in which the attempts that a process's end breaks off are put
       together */
    COLLECT_TIME = 20,
    /* ms; an upstream that accepts no connection for so long has ended */
    CONNECT_TIMEOUT = 300,
    /* ms in which another upstream must accept a connection: else this
       daemon's links may have failed, and not the process */
    CONFIRM_TIME = 600,
    CONFIRM_INTERVAL = 150, /* ms; each time, further ones are tried */
    /* ms until a break at which no daemon had links is given up */
    LINKS_TIMEOUT = 15000,
    /* ms after the links are back, in which the report of a process that has
       ended is removed, or replaced by that of a new one */
    REPORT_LAG = 2500
};

typedef enum BreakState {
    BREAK_CONNECTING, /* finding out whether the process has ended */
    BREAK_ENDED,      /* it has; further suspects may come */
    /* no daemon can connect to any upstream of the service: the links may have
       failed, or all processes ended */
    BREAK_ALL_LOST,
    BREAK_LINKS_BACK, /* after that: waiting for reports */
    BREAK_ALIVE       /* the process lives: only connections broke */
} BreakState;

/* Attempts at one upstream that broke off in the same moment. */
struct FrBreak {
    FrQuarantine *quarantine;
    BkUp *up;
    BkMs at;       /* when it was noticed */
    BkMs alive_at; /* the upstream's last sign of life; 0: not known */
    bool silent;   /* it closed no connection, or answers no new one */
    BreakState state;
    BkSuspect suspects[BKP_MAX_SUSPECTS];
    int count;
    int left_out; /* suspects for which there was no room */
    int fd;       /* of the connection attempt; -1: none */
    BkWatch *watch;
    BkTimer *timer; /* ends CONNECTING, then COLLECT_TIME */
    FrBreak *next;
};

static void
close_connection(FrBreak *broken)
{
    if (broken->fd >= 0) {
        BkWatch_Destroy(broken->watch);
        close(broken->fd);
        broken->fd = -1;
    }
}

static void
remove_break(FrBreak *broken)
{
    FrBreak **link = &broken->quarantine->breaks;

    while (*link != broken) {
        link = &(*link)->next;
    }
    *link = broken->next;
    close_connection(broken);
    BkTimer_Destroy(broken->timer);
    BkUp_Unref(broken->up);
    free(broken);
}

static void
report(FrBreak *broken)
{
    FrQuarantine *quarantine = broken->quarantine;
    BkMs now = BkClock_Now();
    BkCrash crash = {broken->up->key, broken->up->started_at, broken->at,
                     broken->silent ? broken->alive_at : broken->at};

    BkCounter_Add(quarantine->crashes, 1);
    BkLog_Event(BK_LOG_INFO, "quarantine", NULL, "upstream crashed",
                "s:s, s:i, s:i, s:I, s:b, s:I", "upstream", broken->up->id,
                "suspects", broken->count, "left_out", broken->left_out,
                "age_ms", (json_int_t)(now - broken->at), "silent",
                broken->silent, "alive_ms",
                (json_int_t)(now - broken->alive_at));
    if (broken->count > 0) {
        FrQuarantine_CountCrash(quarantine, &crash, broken->suspects,
                                broken->count, true, now);
        FrQuarantine_SpreadCrash(quarantine, &crash, broken->suspects,
                                 broken->count, now);
    }
}

static void
set_ended(FrBreak *broken)
{
    BkMs rest = broken->at + COLLECT_TIME - BkClock_Now();

    close_connection(broken);
    FrLinks_NoteFailed(broken->quarantine->front->links, broken->up, false,
                       broken->at);
    broken->state = BREAK_ENDED;
    /* by the time the crash is reported, an answer may have come */
    FrLinks_CheckSince(broken->quarantine->front->links, broken->up,
                       broken->at);
    BkTimer_Start(broken->timer, rest > 0 ? rest : 0);
}

static void
on_connected(int fd, int events, void *arg)
{
    FrBreak *broken = arg;
    int error = 0;
    socklen_t size = sizeof(error);

    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        set_ended(broken);
        return;
    }
    close_connection(broken);
    FrLinks_NoteConnected(broken->quarantine->front->links, broken->up,
                          broken->at);
    broken->state = BREAK_ALIVE;
    BkTimer_Start(broken->timer, COLLECT_TIME);
}

static void
log_not_reported(const FrBreak *broken, const char *why)
{
    BkLog_Event(BK_LOG_INFO, "quarantine", NULL, "crash not reported",
                "s:s, s:i, s:s, s:I", "upstream", broken->up->id, "suspects",
                broken->count, "why", why, "age_ms",
                (json_int_t)(BkClock_Now() - broken->at));
}

/* Reports the crash once this daemon's links are known to work. Returns whether
   the break is settled; if not, the timer has been started. */
static bool
report_if_links_work(FrBreak *broken)
{
    FrLinks *links = broken->quarantine->front->links;

    if (FrLinks_CheckSince(links, broken->up, broken->at)) {
        report(broken);
        return true;
    }
    if (BkClock_Now() - broken->at < CONFIRM_TIME) {
        BkTimer_Start(broken->timer, CONFIRM_INTERVAL);
        return false;
    }
    if (!FrLinks_HaveAllLost(links, broken->up->service_key)) {
        log_not_reported(broken, "no other upstream can be connected to");
        return true;
    }
    broken->state = BREAK_ALL_LOST;
    BkTimer_Start(broken->timer, CONFIRM_INTERVAL);
    return false;
}

static bool
wait_for_links(FrBreak *broken)
{
    FrLinks *links = broken->quarantine->front->links;

    if (FrLinks_WorkedSince(links, broken->up, broken->at)) {
        broken->state = BREAK_LINKS_BACK;
        BkTimer_Start(broken->timer, REPORT_LAG);
        return false;
    }
    if (BkClock_Now() - broken->at >= LINKS_TIMEOUT) {
        log_not_reported(broken, "no daemon has links");
        return true;
    }
    BkTimer_Start(broken->timer, CONFIRM_INTERVAL);
    return false;
}

/* The links are back: a process that ended is not reported as before. */
static void
report_if_gone(FrBreak *broken)
{
    if (BkUp_IsOpen(broken->up)) {
        log_not_reported(broken, "all daemons had lost their links");
        return;
    }
    report(broken);
}

static void
on_timer(void *arg)
{
    FrBreak *broken = arg;
    bool settled = true;

    switch (broken->state) {
    case BREAK_CONNECTING:
        broken->silent = true;
        set_ended(broken);
        return;
    case BREAK_ENDED:
        settled = report_if_links_work(broken);
        break;
    case BREAK_ALL_LOST:
        settled = wait_for_links(broken);
        break;
    case BREAK_LINKS_BACK:
        report_if_gone(broken);
        break;
    case BREAK_ALIVE:
        BkLog_Event(BK_LOG_DEBUG, "quarantine", NULL, "upstream did not crash",
                    "s:s", "upstream", broken->up->id);
        break;
    }
    if (settled) {
        remove_break(broken);
    }
}

static FrBreak *
find_break(const FrQuarantine *quarantine, const BkUp *up)
{
    FrBreak *broken = quarantine->breaks;

    while (broken != NULL && broken->up != up) {
        broken = broken->next;
    }
    return broken;
}

static FrBreak *
add_break(FrQuarantine *quarantine, BkUp *up, BkMs now)
{
    FrBreak *broken = BkMem_New(1, sizeof(*broken));
    BkLoop *loop = quarantine->front->loop;

    broken->quarantine = quarantine;
    broken->up = BkUp_Ref(up);
    broken->at = now;
    broken->alive_at =
        up->last_response_at == BK_MS_NEVER ? 0 : up->last_response_at;
    broken->silent = true;
    broken->next = quarantine->breaks;
    quarantine->breaks = broken;
    broken->timer = BkTimer_Create(loop, on_timer, broken);
    broken->fd = FrSocket_Connect(&up->sockaddr, CONNECT_TIMEOUT);
    if (broken->fd < 0) {
        BkLog_Event(BK_LOG_WARNING, "quarantine", NULL,
                    "upstream not asked whether it lives", "s:s, s:s",
                    "upstream", up->id, "why", BkErr_Last());
        broken->state = BREAK_ALIVE;
        BkTimer_Start(broken->timer, COLLECT_TIME);
        return broken;
    }
    broken->watch =
        BkLoop_Watch(loop, broken->fd, BK_LOOP_WRITE, on_connected, broken);
    BkTimer_Start(broken->timer, CONNECT_TIMEOUT);
    return broken;
}

static bool
is_listed(const FrBreak *broken, const BkTrait *trait)
{
    for (int i = 0; i < broken->count; i++) {
        if (BkTrait_Equal(&broken->suspects[i].trait, trait)) {
            return true;
        }
    }
    return false;
}

void
FrBreaks_Note(FrQuarantine *quarantine, const FrRequest *request, BkMs now)
{
    BkTrait traits[FR_MAX_TRAITS];
    int count = FrQuarantine_ListTraits(request, traits);
    FrBreak *broken = find_break(quarantine, request->up);

    if (broken == NULL) {
        broken = add_break(quarantine, request->up, now);
    }
    if (!request->went_silent && broken->state == BREAK_CONNECTING) {
        broken->silent = false;
    }
    for (int i = 0; i < count; i++) {
        if (is_listed(broken, &traits[i]) ||
            BkWell_LastSent(&quarantine->well, &traits[i]) >
                request->sent_at) {
            continue;
        }
        if (broken->count == BKP_MAX_SUSPECTS) {
            broken->left_out++;
            continue;
        }
        broken->suspects[broken->count++] =
            (BkSuspect){traits[i], request->digest, i, request->sent_at};
    }
}

void
FrBreaks_Destroy(FrQuarantine *quarantine)
{
    while (quarantine->breaks != NULL) {
        remove_break(quarantine->breaks);
    }
}
