#include <stdio.h>

#include "bk/base/latency.h"
#include "front.h"

enum {
    LABEL_BYTES = 320
};

FrMetrics
FrMetrics_Register(void)
{
    return (FrMetrics){
        .callers = BkCounter_Get("bk_front_callers", NULL,
                                 "open connections of callers"),
        .waiting = BkCounter_Get("bk_front_waiting", NULL,
                                 "requests that wait for an upstream"),
        .sends = BkCounter_Get("bk_front_sends_total", NULL,
                               "requests sent to upstreams"),
        .retries = BkCounter_Get("bk_front_repeats_total", NULL,
                                 "of these, not the first of their request"),
        .hold_offs = BkCounter_Get("bk_front_hold_offs_total", NULL,
                                   "upstreams that asked for a pause"),
        .retries_denied =
            BkCounter_Get("bk_front_no_budget_total", NULL,
                          "repeats that the budget did not allow"),
        .connects = BkCounter_Get("bk_front_connects_total", NULL,
                                  "connections opened to upstreams"),
        .detours = BkCounter_Get("bk_front_detours_total", NULL,
                                 "requests sent by way of other daemons"),
        .far_request_bytes =
            BkCounter_Get("bk_front_far_bytes_total", "kind=\"requests\"",
                          FR_FAR_BYTES_HELP),
        .far_response_bytes =
            BkCounter_Get("bk_front_far_bytes_total", "kind=\"responses\"",
                          FR_FAR_BYTES_HELP),
        .stray_responses =
            BkCounter_Get("bk_front_stray_answers_total", NULL,
                          "answers to another request than the one "
                          "sent"),
        .memory = BkCounter_Get("bk_front_memory_bytes", NULL,
                                "bytes of connections and requests"),
        .memory_ended =
            BkCounter_Get("bk_front_memory_ended_total", NULL,
                          "connections ended while memory was short")};
}

static void
record_first_byte_time(const FrRequest *request, BkMs elapsed)
{
    char labels[LABEL_BYTES];

    snprintf(labels, sizeof(labels), "route=\"%.200s\",", request->route);
    BkLatency latency = BkLatency_Get("bk_front_first_byte", labels,
                                      "answers by ms to their first byte");
    BkLatency_Note(&latency, elapsed);
}

void
FrMetrics_RecordOutcome(const FrRequest *request, int code)
{
    char labels[LABEL_BYTES];

    snprintf(labels, sizeof(labels), "route=\"%.200s\",code=\"%d\"",
             request->route, code);
    BkCounter_Add(BkCounter_Get("bk_front_requests_total", labels,
                                "requests by route and status; 0: the caller "
                                "went away"),
                  1);
    if (request->response_begun) {
        record_first_byte_time(request, request->response_begun_at -
                                            request->started_at);
    }
}
