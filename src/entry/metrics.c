#include <stdio.h>

#include "bk/entry/entry.h"

BkEntryCounters
BkEntryCounters_Get(void)
{
    return (BkEntryCounters){
        .first_byte = BkLatency_Get("bk_entry_first_byte", "",
                                    "requests by ms to the first byte"),
        .between_tokens = BkLatency_Get("bk_entry_between_tokens", "",
                                        "events by ms since the last"),
        .events = BkCounter_Get("bk_entry_events_total", NULL,
                                "stream events forwarded"),
        .retries = BkCounter_Get("bk_entry_retries_total", NULL,
                                 "attempts after the first"),
        .resumes = BkCounter_Get("bk_entry_resumes_total", NULL,
                                 "streams gone on with after a cut"),
        .open_streams = BkCounter_Get("bk_entry_streams_open", NULL,
                                      "streams open to callers"),
        .in_flight =
            BkCounter_Get("bk_entry_in_flight", NULL, "requests in progress"),
        .claims =
            BkCounter_Get("bk_entry_claims_total", NULL, "claims asked for"),
        .replays = BkCounter_Get("bk_entry_replays_total", NULL,
                                 "recorded outcomes given again"),
        .cancels = BkCounter_Get("bk_entry_cancels_total", NULL,
                                 "upstream streams cancelled"),
    };
}

void
BkEntryCounters_NoteOutcome(BkStatus status)
{
    char labels[64];

    snprintf(labels, sizeof(labels), "result=\"%s\"",
             BkStatus_Info(status)->name);
    BkCounter_Add(
        BkCounter_Get("bk_entry_requests_total", labels, "requests by result"),
        1);
}
