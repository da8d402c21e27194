#include "relay.h"

enum {
    FIRST_BYTE = 60,  /* ms that an engine takes to it, at best */
    MAX_KINDS = 32,   /* of requests that one look at the queue tells apart */
    MAX_REFUSED = 32, /* in one look; the others in the next one */
    LOOK_EVERY = 20   /* ms between looks while somebody waits */
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

static bool
is_alike(const FrRelay *a, const FrRelay *b)
{
    return a->query.service == b->query.service &&
           a->query.model == b->query.model;
}

int
FrQueue_CountBefore(const FrRelay *relay)
{
    int count = 0;

    for (const FrRelay *at = relay->queue_prev; at != NULL;
         at = at->queue_prev) {
        count += is_alike(at, relay) ? 1 : 0;
    }
    return count;
}

static bool
any_alike(const FrRelay *relay)
{
    const FrRelay *at = relay->front->waiting;

    while (at != NULL && !is_alike(at, relay)) {
        at = at->queue_next;
    }
    return at != NULL;
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
    if (!relay->waited) {
        relay->waited = true;
        if (!any_alike(relay)) {
            BkPace_Start(&FrQueuePace_Find(front, &relay->query)->pace,
                         BkClock_Now());
        }
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

static bool
is_late(const FrRelay *relay, BkMs now)
{
    return now + FIRST_BYTE > relay->started + relay->target;
}

/* One that is late already gives way to one as urgent, of its kind, that can
   still be answered within its objective. */
static FrRelay *
prefer_timely(FrRelay *first)
{
    BkMs now = BkClock_Now();
    WaitKind kind = {first->query.service, first->query.model,
                     first->query.adapter};

    if (!is_late(first, now)) {
        return first;
    }
    for (FrRelay *at = first->queue_next;
         at != NULL && at->priority == first->priority; at = at->queue_next) {
        if (is_known(&kind, 1, at) && !is_late(at, now)) {
            return at;
        }
    }
    return first;
}

/* Dispatching may end or queue requests; each look starts from the head. */
static FrRelay *
find_next(FrFront *front, const WaitKind *kinds, int count)
{
    for (FrRelay *at = front->waiting; at != NULL; at = at->queue_next) {
        if (!is_known(kinds, count, at)) {
            return prefer_timely(at);
        }
    }
    return NULL;
}

typedef struct Hopeless {
    FrRelay *relay;
    BkMs retry_after;
} Hopeless;

/* how many of a service's model were passed in a walk from the head */
typedef struct Passed {
    uint32_t service;
    uint32_t model;
    int count;
} Passed;

typedef struct Walk {
    Passed rows[MAX_KINDS];
    int count;
} Walk;

/* those of its kind that were passed before; kinds beyond the table count
   as first, and are looked at again when they are */
static int
pass(Walk *walk, const FrRelay *relay)
{
    for (int i = 0; i < walk->count; i++) {
        Passed *row = &walk->rows[i];
        if (row->service == relay->query.service &&
            row->model == relay->query.model) {
            return row->count++;
        }
    }
    if (walk->count < MAX_KINDS) {
        walk->rows[walk->count++] =
            (Passed){relay->query.service, relay->query.model, 1};
    }
    return 0;
}

/* refuses those whose turn would come too late, also behind others */
static void
refuse_hopeless(FrFront *front)
{
    Hopeless list[MAX_REFUSED];
    Walk walk = {.count = 0};
    BkMs now = BkClock_Now();
    int count = 0;

    for (FrRelay *at = front->waiting; at != NULL && count < MAX_REFUSED;
         at = at->queue_next) {
        BkWaitDecision verdict = FrRelay_Judge(at, pass(&walk, at), now);
        if (verdict.refuse) {
            list[count++] = (Hopeless){at, verdict.retry_after};
        }
    }
    for (int i = 0; i < count; i++) {
        /* the answer to one may let another caller go */
        if (list[i].relay->queued) {
            FrRelay_GiveUpWaiting(list[i].relay, list[i].retry_after);
        }
    }
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
    refuse_hopeless(front);
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
