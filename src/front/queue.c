#include "relay.h"

enum {
    /* ms from sending a request to the first byte of its response, at best */
    MIN_FIRST_BYTE_TIME = 60,
    MAX_CLASSES = 32,  /* classes of requests told apart in one pass */
    MAX_REFUSALS = 32, /* in one pass; the next pass refuses further ones */
    PASS_PERIOD = 20   /* ms between passes while requests wait */
};

/* Requests that can be served by the same upstreams: if one of them cannot be
   sent, neither can the others. */
typedef struct RequestClass {
    uint32_t service;
    uint32_t model;
    uint32_t adapter;
} RequestClass;

/* Orders the queue by priority, then by the time until which the latency
   target can be met. */
static bool
is_ahead(const FrRelay *a, const FrRelay *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return a->started + a->target < b->started + b->target;
}

static bool
is_same_model(const FrRelay *a, const FrRelay *b)
{
    return a->query.service == b->query.service &&
           a->query.model == b->query.model;
}

int
FrQueue_CountBefore(const FrRelay *relay)
{
    int count = 0;

    for (const FrRelay *other = relay->queue_prev; other != NULL;
         other = other->queue_prev) {
        count += is_same_model(other, relay) ? 1 : 0;
    }
    return count;
}

static bool
is_model_queued(const FrRelay *relay)
{
    const FrRelay *other = relay->front->waiting;

    while (other != NULL && !is_same_model(other, relay)) {
        other = other->queue_next;
    }
    return other != NULL;
}

void
FrQueue_Add(FrRelay *relay)
{
    FrFront *front = relay->front;
    FrRelay *prev = NULL;
    FrRelay *next = front->waiting;

    if (relay->queued) {
        return;
    }
    if (!relay->waited) {
        relay->waited = true;
        if (!is_model_queued(relay)) {
            BkPace_Start(&FrQueuePace_Find(front, &relay->query)->pace,
                         BkClock_Now());
        }
    }
    while (next != NULL && !is_ahead(relay, next)) {
        prev = next;
        next = next->queue_next;
    }
    relay->queued = true;
    relay->queue_prev = prev;
    relay->queue_next = next;
    if (prev != NULL) {
        prev->queue_next = relay;
    }
    else {
        front->waiting = relay;
    }
    if (next != NULL) {
        next->queue_prev = relay;
    }
    front->waiting_count++;
    BkCounter_Set(front->metrics.waiting, front->waiting_count);
    FrQueue_WakeSoon(front, PASS_PERIOD);
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
is_listed(const RequestClass *classes, int count, const FrRelay *relay)
{
    for (int i = 0; i < count; i++) {
        if (classes[i].service == relay->query.service &&
            classes[i].model == relay->query.model &&
            classes[i].adapter == relay->query.adapter) {
            return true;
        }
    }
    return false;
}

static bool
misses_target(const FrRelay *relay, BkMs now)
{
    return now + MIN_FIRST_BYTE_TIME > relay->started + relay->target;
}

/* If first can no longer meet its latency target, returns the next request of
   the same class and priority that still can; first if there is none. */
static FrRelay *
prefer_timely(FrRelay *first)
{
    BkMs now = BkClock_Now();
    RequestClass request_class = {first->query.service, first->query.model,
                                  first->query.adapter};

    if (!misses_target(first, now)) {
        return first;
    }
    for (FrRelay *other = first->queue_next;
         other != NULL && other->priority == first->priority;
         other = other->queue_next) {
        if (is_listed(&request_class, 1, other) &&
            !misses_target(other, now)) {
            return other;
        }
    }
    return first;
}

/* Finds the next request of a class that is not listed. Searches from the head
   of the queue, since the last dispatch may have ended or queued requests. */
static FrRelay *
find_next(FrFront *front, const RequestClass *classes, int count)
{
    for (FrRelay *relay = front->waiting; relay != NULL;
         relay = relay->queue_next) {
        if (!is_listed(classes, count, relay)) {
            return prefer_timely(relay);
        }
    }
    return NULL;
}

/* A request that is to be refused. */
typedef struct Refusal {
    FrRelay *relay;
    BkMs retry_after;
} Refusal;

/* How many requests for a service and model were counted so far. */
typedef struct ModelCount {
    uint32_t service;
    uint32_t model;
    int count;
} ModelCount;

typedef struct ModelCounts {
    ModelCount rows[MAX_CLASSES];
    int count;
} ModelCounts;

/* Counts the request and returns how many for the same service and model were
   counted before. When the table is full, returns 0 for further ones: such a
   request is judged as if it were first in the queue, and again once it is. */
static int
count_request(ModelCounts *counts, const FrRelay *relay)
{
    for (int i = 0; i < counts->count; i++) {
        ModelCount *row = &counts->rows[i];
        if (row->service == relay->query.service &&
            row->model == relay->query.model) {
            return row->count++;
        }
    }
    if (counts->count < MAX_CLASSES) {
        counts->rows[counts->count++] =
            (ModelCount){relay->query.service, relay->query.model, 1};
    }
    return 0;
}

/* Refuses the requests that would wait too long, counting those ahead of
   them. */
static void
refuse_long_waits(FrFront *front)
{
    Refusal refusals[MAX_REFUSALS];
    ModelCounts counts = {.count = 0};
    BkMs now = BkClock_Now();
    int count = 0;

    for (FrRelay *relay = front->waiting;
         relay != NULL && count < MAX_REFUSALS; relay = relay->queue_next) {
        BkWaitDecision decision =
            FrRelay_Judge(relay, count_request(&counts, relay), now);
        if (decision.refuse) {
            refusals[count++] = (Refusal){relay, decision.retry_after};
        }
    }
    for (int i = 0; i < count; i++) {
        /* a refusal may lead to the end of another request in the list, as
           its caller disconnects */
        if (refusals[i].relay->queued) {
            FrRelay_GiveUpWaiting(refusals[i].relay, refusals[i].retry_after);
        }
    }
}

void
FrQueue_Look(void *arg)
{
    FrFront *front = arg;
    RequestClass classes[MAX_CLASSES];
    int count = 0;

    while (count < MAX_CLASSES) {
        FrRelay *relay = find_next(front, classes, count);
        if (relay == NULL) {
            break;
        }
        RequestClass request_class = {relay->query.service, relay->query.model,
                                      relay->query.adapter};
        if (!FrRelay_Dispatch(relay)) {
            classes[count++] = request_class;
        }
    }
    refuse_long_waits(front);
    if (front->waiting != NULL) {
        FrQueue_WakeSoon(front, PASS_PERIOD);
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
FrQueue_WakeSoon(FrFront *front, BkMs delay)
{
    if (front->waiting == NULL) {
        return;
    }
    if (delay == 0 || !BkTimer_Running(front->wake_timer)) {
        BkTimer_Start(front->wake_timer, delay);
    }
}
