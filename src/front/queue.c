#include "request.h"

#include <stdlib.h>

enum {
    /* ms from sending a request to the first byte of its response, at best */
    MIN_FIRST_BYTE_TIME = 60,
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
is_ahead(const FrRequest *a, const FrRequest *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return a->started_at + a->latency_target <
           b->started_at + b->latency_target;
}

static bool
is_same_model(const FrRequest *a, const FrRequest *b)
{
    return a->query.service == b->query.service &&
           a->query.model == b->query.model;
}

int
FrQueue_CountAhead(const FrRequest *request)
{
    int count = 0;

    for (const FrRequest *other = request->queue_prev; other != NULL;
         other = other->queue_prev) {
        count += is_same_model(other, request) ? 1 : 0;
    }
    return count;
}

static bool
is_model_queued(const FrRequest *request)
{
    const FrRequest *other = request->front->queue_head;

    while (other != NULL && !is_same_model(other, request)) {
        other = other->queue_next;
    }
    return other != NULL;
}

void
FrQueue_Add(FrRequest *request)
{
    FrFront *front = request->front;
    FrRequest *prev = NULL;
    FrRequest *next = front->queue_head;

    if (request->queued) {
        return;
    }
    if (!request->was_queued) {
        request->was_queued = true;
        if (!is_model_queued(request)) {
            BkPace_Start(
                &FrQueuePace_FindOrReset(front, &request->query)->pace,
                BkClock_Now());
        }
    }
    while (next != NULL && !is_ahead(request, next)) {
        prev = next;
        next = next->queue_next;
    }
    request->queued = true;
    request->queue_prev = prev;
    request->queue_next = next;
    if (prev != NULL) {
        prev->queue_next = request;
    }
    else {
        front->queue_head = request;
    }
    if (next != NULL) {
        next->queue_prev = request;
    }
    front->queue_length++;
    BkCounter_Set(front->metrics.waiting, front->queue_length);
    FrQueue_SchedulePass(front, PASS_PERIOD);
}

void
FrQueue_Remove(FrRequest *request)
{
    FrFront *front = request->front;

    if (!request->queued) {
        return;
    }
    request->queued = false;
    if (request->queue_prev != NULL) {
        request->queue_prev->queue_next = request->queue_next;
    }
    else {
        front->queue_head = request->queue_next;
    }
    if (request->queue_next != NULL) {
        request->queue_next->queue_prev = request->queue_prev;
    }
    front->queue_length--;
    BkCounter_Set(front->metrics.waiting, front->queue_length);
}

static bool
is_listed(const RequestClass *classes, int count, const FrRequest *request)
{
    for (int i = 0; i < count; i++) {
        if (classes[i].service == request->query.service &&
            classes[i].model == request->query.model &&
            classes[i].adapter == request->query.adapter) {
            return true;
        }
    }
    return false;
}

static bool
misses_target(const FrRequest *request, BkMs now)
{
    return now + MIN_FIRST_BYTE_TIME >
           request->started_at + request->latency_target;
}

/* If first can no longer meet its latency target, returns the next request of
   the same class and priority that still can; first if there is none. */
static FrRequest *
prefer_timely(FrRequest *first)
{
    BkMs now = BkClock_Now();
    RequestClass request_class = {first->query.service, first->query.model,
                                  first->query.adapter};

    if (!misses_target(first, now)) {
        return first;
    }
    for (FrRequest *other = first->queue_next;
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
static FrRequest *
find_next(FrFront *front, const RequestClass *classes, int count)
{
    for (FrRequest *request = front->queue_head; request != NULL;
         request = request->queue_next) {
        if (!is_listed(classes, count, request)) {
            return prefer_timely(request);
        }
    }
    return NULL;
}

/* A request that is to be refused. */
typedef struct Refusal {
    FrRequest *request;
    BkMs retry_after;
} Refusal;

/* How many requests for a service and model were counted so far. */
typedef struct ModelCount {
    uint32_t service;
    uint32_t model;
    int count;
} ModelCount;

typedef struct ModelCounts {
    ModelCount *rows; /* room for as many as there are requests */
    int count;
} ModelCounts;

/* Counts the request and returns how many for the same service and model were
   counted before. */
static int
count_request(ModelCounts *counts, const FrRequest *request)
{
    for (int i = 0; i < counts->count; i++) {
        ModelCount *row = &counts->rows[i];
        if (row->service == request->query.service &&
            row->model == request->query.model) {
            return row->count++;
        }
    }
    counts->rows[counts->count++] =
        (ModelCount){request->query.service, request->query.model, 1};
    return 0;
}

/* Refuses the requests that would wait too long, counting those ahead of
   them. */
static void
refuse_long_waits(FrFront *front)
{
    Refusal refusals[MAX_REFUSALS];
    ModelCounts counts = {
        .rows = BkMem_New((size_t)front->queue_length, sizeof(ModelCount))};
    BkMs now = BkClock_Now();
    int count = 0;

    for (FrRequest *request = front->queue_head;
         request != NULL && count < MAX_REFUSALS;
         request = request->queue_next) {
        BkWaitDecision decision = FrRequest_DecideWait(
            request, count_request(&counts, request), now);
        if (decision.refuse) {
            refusals[count++] = (Refusal){request, decision.retry_after};
        }
    }
    free(counts.rows);
    for (int i = 0; i < count; i++) {
        FrRequest_RefuseWait(refusals[i].request, refusals[i].retry_after);
    }
}

void
FrQueue_RunPass(void *arg)
{
    FrFront *front = arg;
    RequestClass *classes = NULL;
    int count = 0;
    int cap = 0;

    for (;;) {
        FrRequest *request = find_next(front, classes, count);
        if (request == NULL) {
            break;
        }
        RequestClass request_class = {request->query.service,
                                      request->query.model,
                                      request->query.adapter};
        if (FrRequest_Dispatch(request)) {
            continue;
        }
        if (count == cap) {
            cap = cap == 0 ? 16 : cap * 2;
            classes = BkMem_Grow(classes, (size_t)cap, sizeof(*classes));
        }
        classes[count++] = request_class;
    }
    free(classes);
    refuse_long_waits(front);
    if (front->queue_head != NULL) {
        FrQueue_SchedulePass(front, PASS_PERIOD);
    }
}

void
FrQueue_SchedulePass(FrFront *front, BkMs delay)
{
    if (front->queue_head == NULL) {
        return;
    }
    if (delay == 0 || !BkTimer_Running(front->queue_timer)) {
        BkTimer_Start(front->queue_timer, delay);
    }
}
