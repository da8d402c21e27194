#include "bk/entry/decide.h"

enum {
    HTTP_OK = 200,
    HTTP_NOT_FOUND = 404,
    HTTP_TOO_MANY_REQUESTS = 429,
    HTTP_SERVER_ERROR = 500,
    HTTP_UNAVAILABLE = 503
};

static bool
refused_before_run(const BkAttemptEnd *end)
{
    if (end->status != BK_OK || !end->not_run) {
        return false;
    }
    return end->http_status == HTTP_NOT_FOUND ||
           end->http_status == HTTP_TOO_MANY_REQUESTS ||
           end->http_status == HTTP_UNAVAILABLE;
}

bool
BkDecide_CertainlyNotRun(const BkAttemptEnd *end)
{
    return end->status == BK_ECONNECT || !end->may_have_been_sent ||
           refused_before_run(end);
}

BkStatus
BkDecide_FinalStatus(BkStatus status, bool may_have_run_before)
{
    if (may_have_run_before &&
        BkStatus_Info(status)->outcome == BK_OUTCOME_NOT_RUN) {
        return BK_EUNKNOWN;
    }
    return status;
}

static bool
is_complete_answer(const BkAttemptEnd *end)
{
    if (end->status != BK_OK || end->http_status >= HTTP_SERVER_ERROR) {
        return false;
    }
    if (end->stream && end->http_status == HTTP_OK) {
        return end->stream_complete;
    }
    /* an error status does not answer a stream that has already begun */
    return !end->stream_opened && !end->resuming;
}

static BkStatus
failure_status(const BkAttemptEnd *end)
{
    BkStatus status = BK_EUNKNOWN;

    if (BkDecide_CertainlyNotRun(end)) {
        status = refused_before_run(end) ? BK_EREFUSED : BK_ECONNECT;
    }
    else if (!end->repeatable) {
        return BK_EUNKNOWN;
    }
    else if (end->status == BK_OK && end->http_status >= HTTP_SERVER_ERROR) {
        status = BK_EUPSTREAM;
    }
    else if (end->status == BK_OK || end->status == BK_ETRUNCATED) {
        status = BK_ETRUNCATED;
    }
    else if (end->status == BK_ETIMEOUT) {
        status = BK_ETIMEOUT;
    }
    return BkDecide_FinalStatus(status, end->may_have_run_before);
}

static bool
can_resume(const BkAttemptEnd *end)
{
    bool started = end->stream_opened || end->http_status == HTTP_OK;

    if (!end->stream || !started || end->stream_broken ||
        BkDecide_CertainlyNotRun(end)) {
        return false;
    }
    return (end->progress || !end->resuming) && end->http_status == HTTP_OK;
}

BkDecision
BkDecide_NextStep(const BkAttemptEnd *end)
{
    BkDecision decision = {BK_NEXT_FAIL, failure_status(end)};
    bool not_run = BkDecide_CertainlyNotRun(end);

    if (!not_run && (end->stream_complete || is_complete_answer(end))) {
        return (BkDecision){BK_NEXT_DELIVER, BK_OK};
    }
    if (end->attempts_left <= 0 || (!not_run && !end->repeatable)) {
        return decision;
    }
    if (can_resume(end)) {
        decision.step = BK_NEXT_RESUME;
    }
    else if (end->stream_opened || end->resuming) {
        decision.step =
            end->can_continue_elsewhere ? BK_NEXT_RETRY_FREE : BK_NEXT_FAIL;
    }
    else if (end->status == BK_ECONNECT || !end->may_have_been_sent) {
        decision.step = BK_NEXT_RETRY_FREE;
    }
    else {
        decision.step = BK_NEXT_RETRY_BUDGETED;
    }
    return decision;
}
