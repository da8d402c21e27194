#include "bk/h1/event.h"
#include "bk/h1/syntax.h"
#include "origins.h"

void
FrStream_SetResumeId(FrRequest *request, BkStr event_id)
{
    FrResumePoint *point = &request->resume_point;

    point->kind = FR_RESUME_AFTER;
    BkBuf_Clear(&point->event_id);
    BkBuf_Append(&point->event_id, event_id);
}

void
FrStream_SetNotResumable(FrRequest *request)
{
    request->resume_point.kind = FR_RESUME_NEVER;
    BkBuf_Destroy(&request->resume_point.event_id);
}

/* Whether a request can carry the id unchanged: as the value of a field, in a
   head that the callers' limit allows. */
static bool
is_sendable(const FrRequest *request, BkStr event_id)
{
    return event_id.len > 0 && BkH1_IsText(event_id) &&
           BkStr_Trim(event_id).len == event_id.len &&
           request->head.len + event_id.len <=
               request->front->site->max_header;
}

static void
note_event(FrRequest *request, BkStr event)
{
    BkEventFields fields = BkEvent_ReadFields(event);

    if (fields.has_id && is_sendable(request, fields.id)) {
        FrStream_SetResumeId(request, fields.id);
    }
    else if (fields.has_id || fields.has_content) {
        /* after an older id, this event would come twice */
        FrStream_SetNotResumable(request);
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
            note_event(request, (BkStr){rest.ptr, n});
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

size_t
FrStream_CountPartial(const FrRequest *request)
{
    BkStr rest = BkBuf_Str(&request->pending_body);

    return request->response_begun && BkEvent_IsEmptyLine(rest) ? 0 : rest.len;
}

bool
FrStream_IsBrokenOff(const FrRequest *request)
{
    bool began = request->response_begun ||
                 request->resume_point.kind != FR_RESUME_START;

    /* the end of a connection says nothing about the end of the stream */
    return request->partial_event > 0 ||
           (request->framing == FR_FRAMING_CLOSE && !began);
}
