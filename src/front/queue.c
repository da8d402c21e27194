#include "front.h"

enum {
    MAX_KINDS = 32, /* of requests that one look at the queue tells apart */
    LOOK_EVERY = 20 /* ms between looks while somebody waits */
};

/* What makes two waiting requests alike: if one found no place, the other
   will not either. */
typedef struct WaitKind {
    uint32_t service;
    uint32_t model;
    uint32_t adapter;
} WaitKind;

/* the more urgent first, then the one whose objective ends first */
static bool
goes_before(const FrRelay *a, const FrRelay *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return a->started + a->target < b->started + b->target;
}

void
FrQueue_Add(FrRelay *relay)
{
    FrFront *front = relay->front;
    FrRelay *before = NULL;
    FrRelay *after = front->waiting;

    if (relay->queued) {
        return;
    }
    while (after != NULL && !goes_before(relay, after)) {
        before = after;
        after = after->queue_next;
    }
    relay->queued = true;
    relay->queue_prev = before;
    relay->queue_next = after;
    if (before != NULL) {
        before->queue_next = relay;
    }
    else {
        front->waiting = relay;
    }
    if (after != NULL) {
        after->queue_prev = relay;
    }
    front->waiting_count++;
    BkCounter_Set(front->metrics.waiting, front->waiting_count);
    FrQueue_WakeSoon(front, LOOK_EVERY);
}

void
FrQueue_Remove(FrRelay *relay)
{
    FrFront *front = relay->front;

    if (!relay->queued) {
        return;
    }
    relay->queued = false;
    if (relay->queue_prev != NULL) {
        relay->queue_prev->queue_next = relay->queue_next;
    }
    else {
        front->waiting = relay->queue_next;
    }
    if (relay->queue_next != NULL) {
        relay->queue_next->queue_prev = relay->queue_prev;
    }
    front->waiting_count--;
    BkCounter_Set(front->metrics.waiting, front->waiting_count);
}

static bool
is_known(const WaitKind *kinds, int count, const FrRelay *relay)
{
    for (int i = 0; i < count; i++) {
        if (kinds[i].service == relay->query.service &&
            kinds[i].model == relay->query.model &&
            kinds[i].adapter == relay->query.adapter) {
            return true;
        }
    }
    return false;
}

/* Dispatching may end or queue requests; each look starts from the head. */
static FrRelay *
find_next(FrFront *front, const WaitKind *kinds, int count)
{
    for (FrRelay *at = front->waiting; at != NULL; at = at->queue_next) {
        if (!is_known(kinds, count, at)) {
            return at;
        }
    }
    return NULL;
}

void
FrQueue_Look(void *arg)
{
    FrFront *front = arg;
    WaitKind kinds[MAX_KINDS];
    int count = 0;

    while (count < MAX_KINDS) {
        FrRelay *relay = find_next(front, kinds, count);
        if (relay == NULL) {
            break;
        }
        WaitKind kind = {relay->query.service, relay->query.model,
                         relay->query.adapter};
        if (!FrRelay_Dispatch(relay)) {
            kinds[count++] = kind;
        }
    }
    if (front->waiting != NULL) {
        FrQueue_WakeSoon(front, LOOK_EVERY);
    }
}

void
FrQueue_RefuseAll(FrFront *front, const char *why, BkMs retry_after)
{
    while (front->waiting != NULL) {
        FrRelay_GiveUp(front->waiting, why, retry_after);
    }
}

void
FrQueue_WakeSoon(FrFront *front, BkMs after)
{
    if (front->waiting == NULL) {
        return;
    }
    if (after == 0 || !BkTimer_Running(front->wake_timer)) {
        BkTimer_Start(front->wake_timer, after);
    }
}
