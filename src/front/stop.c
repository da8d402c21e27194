#include "stop.h"

#include "bk/base/log.h"
#include "bk/stop/stop.h"
#include "peers.h"
#include "planner.h"

enum {
    EXIT_MARGIN = 400 /* ms before SIGKILL at which the process exits */
};

const char fr_stop_reason[] = "the daemon is stopping";

static BkStopConf
make_conf(const FrFront *front)
{
    return (BkStopConf){.grace = front->conf.stop_grace,
                        .margin = EXIT_MARGIN};
}

void
FrStop_Begin(void *arg)
{
    FrFront *front = arg;

    if (front->stopping) {
        return;
    }
    front->stopping = true;
    front->stop_requested_at = BkClock_Now();
    FrPlanner_Stop(front->planner);
    FrMembers_Leave(front->peers);
    BkLog_Event(BK_LOG_NOTICE, "front", NULL, "stop", "s:i, s:i", "requests",
                front->request_count, "callers", front->caller_conn_count);
}

bool
FrStop_RefusesRequests(const FrFront *front)
{
    BkStopConf conf = make_conf(front);

    return front->stopping && BkClock_Now() - front->stop_requested_at >=
                                  BkStop_GetTakingTime(&conf);
}

/* A request that came by way of another daemon returns there. */
static void
refuse(FrRequest *request)
{
    if (request->relayed && request->run_count == 0 &&
        request->stage == FR_WAITING) {
        request->caller_conn->refusal = request->arrival_count > 0
                                            ? FR_REFUSED_AFTER_ARRIVAL
                                            : FR_REFUSED_ELSEWHERE;
    }
    FrRequest_GiveUp(request, fr_stop_reason, FR_STOP_RETRY_AFTER);
}

bool
FrStop_MaybeRefuse(FrRequest *request, BkMs now)
{
    FrFront *front = request->front;

    /* a stream that has begun goes on, though its end may be cut: its caller
       can take it up elsewhere */
    if (!front->stopping || request->stage == FR_RESPONDING) {
        return false;
    }
    BkStopConf conf = make_conf(front);
    const FrQueuePace *row = FrQueuePace_FindOrReset(front, &request->query);
    BkStopQuery query = {.since_signal = now - front->stop_requested_at,
                         .until_deadline = request->deadline - now,
                         .run_time = BkRunTime_GetBound(&row->run_time),
                         .first_send = request->send_count == 0};
    if (BkStop_MaySend(&conf, &query)) {
        return false;
    }
    BkLog_Event(BK_LOG_INFO, "front", request->id, "not sent while stopping",
                "s:I, s:I, s:I, s:i", "since_ms",
                (json_int_t)query.since_signal, "until_deadline_ms",
                (json_int_t)query.until_deadline, "run_ms",
                (json_int_t)query.run_time, "sends", request->send_count);
    refuse(request);
    return true;
}

void
FrStop_Step(FrFront *front, BkMs now)
{
    if (!front->stopping) {
        return;
    }
    BkMs since_signal = now - front->stop_requested_at;
    bool taking = !FrStop_RefusesRequests(front);
    bool at_end = since_signal >= front->conf.stop_grace - EXIT_MARGIN;

    if (!taking) {
        FrCallerConns_StopListening(front);
        while (front->queue_head != NULL) {
            refuse(front->queue_head);
        }
        FrCallerConns_RefuseIncomplete(front);
        FrCallerConns_CloseIdle(front);
    }
    if (at_end) {
        FrRequests_EndAll(front);
    }
    if (at_end || (!taking && front->caller_conn_count == 0)) {
        BkLoop_Stop(front->loop);
    }
}
