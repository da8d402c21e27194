#include "bk/h1/event.h"
#include "origins.h"

/* Remembers the id of the event, from which the stream could be resumed. */
static void
record_event_id(FrRequest *request, BkStr event)
{
    uint64_t id;

    while (event.len > 0) {
        BkStr line = BkStr_Split(&event, '\n');
        BkStr value = line;
        BkStr name = BkStr_Split(&value, ':');
        if (BkStr_Equal(name, BK_STR("id")) &&
            BkStr_ToU64(BkStr_Trim(value), &id) == BK_OK) {
            request->has_last_event = true;
            request->last_event = id;
        }
    }
}

/* Returns the length of all complete events at the start of the pending body. */
static size_t
complete_events_length(FrRequest *request)
{
    BkStr data = BkBuf_Str(&request->pending_body);
    size_t length = 0;

    for (;;) {
        BkStr rest = {data.ptr + length, data.len - length};
        size_t n = BkEvent_FindEnd(rest, &request->event_scanned);
        if (n == 0) {
            return length;
        }
        if (request->resumable) {
            record_event_id(request, (BkStr){rest.ptr, n});
        }
        length += n;
    }
}

void
FrStream_ForwardEvents(FrRequest *request)
{
    size_t n = complete_events_length(request);

    if (n == 0) {
        return;
    }
    if (request->stage == FR_SENT) {
        if (request->resumable) {
            FrOrigins_NoteBegin(request->front->origins, request,
                                BkClock_Now());
        }
        request->stage = FR_RESPONDING;
        request->response_begun = true;
        request->response_begun_at = BkClock_Now();
        FrCallerConn_BeginResponse(
            request->caller_conn, request->response_code,
            BkBuf_Str(&request->response_fields), request->response_length);
    }
    FrCallerConn_WriteBody(request->caller_conn,
                           (BkStr){request->pending_body.ptr, n});
    BkBuf_Consume(&request->pending_body, n);
}

bool
FrStream_IsBrokenOff(const FrRequest *request)
{
    bool began = request->response_begun || request->has_last_event;

    /* the end of a connection says nothing about the end of the stream */
    return request->partial_event > 0 ||
           (request->framing == FR_FRAMING_CLOSE && !began);
}
