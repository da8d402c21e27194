#include "admission.h"
#include "detour.h"
#include "memory.h"
#include "quarantine.h"
#include "request.h"
#include "signals.h"

/* Copies the header fields to forward to the caller. */
static void
copy_fields(FrRequest *request, const BkH1Head *head)
{
    BkStr connection = BkH1Head_Find(head, "Connection");

    BkBuf_Clear(&request->response_fields);
    if (request->relayed) {
        FrDetour_PutSoftware(request, &request->response_fields);
    }
    for (int i = 0; i < head->count; i++) {
        BkStr name = head->fields[i].name;
        if (BkH1_SameName(name, BK_STR("Connection")) ||
            BkH1_SameName(name, BK_STR("Keep-Alive")) ||
            BkH1_SameName(name, BK_STR("Transfer-Encoding")) ||
            BkH1_SameName(name, BK_STR("Content-Length")) ||
            BkH1_SameName(name, BK_STR("Trailer")) ||
            BkH1_SameName(name, BK_STR("Upgrade")) ||
            BkH1_SameName(name, BK_STR("Proxy-Connection")) ||
            FrDetour_IsField(name) || BkH1_HasToken(connection, name)) {
            continue;
        }
        BkH1_AppendField(&request->response_fields, name,
                         head->fields[i].value);
    }
}

/* Releases the connection, which may still have to read the rest of the
   response. */
static void
release_connection(FrRequest *request)
{
    FrUpConn_Release(request->conn);
    request->conn = NULL;
}

/* A second copy of the refusal may come where the response to the request is
   expected, if it is sent there again on the same connection. */
static void
note_refusing(FrRequest *request, const BkUp *up)
{
    request->refused_by[request->refusal_count % FR_MAX_REFUSED_BY] = up->key;
    request->refusal_count++;
}

static bool
names_other_process(const BkUp *up, const BkResponseFields *fields)
{
    return fields->upstream_id.len > 0 &&
           !BkStr_Equal(fields->upstream_id, BkStr_FromC(up->id));
}

static FrHeadAction
handle_refusal(FrRequest *request, const BkH1Head *head,
               const BkResponseFields *fields)
{
    BkUp *up = request->up;
    BkMs now = BkClock_Now();
    bool wrong_process = names_other_process(up, fields);

    if (wrong_process) {
        /* nothing else is to be sent there, nor a copy of this to be read */
        FrUpConn_CloseAfter(request->conn);
        BkFleet_MarkGone(&request->front->fleet, up, now);
    }
    else if (BkAdapter_IsMisdirected(head->http_status) &&
             request->query.model != 0) {
        /* its report dates from before an order that was carried out */
        if (request->query.adapter != 0 &&
            BkUp_HasAdapter(up, request->query.model,
                            request->query.adapter)) {
            BkUp_NoteAdapterLacked(up, request->query.model,
                                   request->query.adapter, now);
        }
        else if (!BkUp_LackedAdapterSince(up, request->query.model,
                                          request->query.adapter,
                                          request->sent_at)) {
            /* else another request that was on its way told of the adapter */
            BkUp_SetModelLoaded(up, request->query.model, false);
        }
    }
    if (head->http_status == 503 && !wrong_process &&
        FrSignals_IsBrittle(request->front, up->service_key)) {
        FrAdmission_NoteRefusal(request->front->admission, up, now);
    }
    request->last_up_code = head->http_status;
    note_refusing(request, up);
    release_connection(request);
    FrRequest_FailAttempt(request, false,
                          !wrong_process && head->http_status == 503,
                          wrong_process || head->http_status == 503
                              ? "the upstream refused it"
                              : "the upstream does not hold the model");
    return FR_HEAD_RELEASED;
}

/* Ends the attempt as a failure of the upstream that may have run the request.
 */
static FrHeadAction
fail_possible_run(FrRequest *request, const char *why)
{
    release_connection(request);
    FrRequest_FailAttempt(request, true, true, why);
    return FR_HEAD_RELEASED;
}

/* Takes over the head of the response that the caller is to get. */
static void
take_over_head(FrRequest *request, const BkH1Head *head)
{
    copy_fields(request, head);
    request->response_code = head->http_status;
    request->response_length =
        request->kind == BK_ROUTE_STREAM || head->chunked ? -1 : head->length;
    /* FrRequest_OnExchangeEnd replaces "cut" when the response is complete */
    request->why = head->http_status < 300 ? "cut" : "failed by the upstream";
}

bool
FrRequest_PromisesNotRun(int code)
{
    return code == 408 || code == 421 || code == 429 || code == 503;
}

/* A successful response must have the id of the request; an error need not. */
static bool
is_for_request(const FrRequest *request, const BkH1Head *head,
               const BkResponseFields *fields)
{
    if (fields->request_id.len == 0) {
        return head->http_status >= 300;
    }
    return BkStr_Equal(fields->request_id, BkStr_FromC(request->id));
}

/* Ends a run by way of another daemon, which is not to be avoided for it. */
static FrHeadAction
fail_relayed_run(FrRequest *request)
{
    release_connection(request);
    FrRequest_FailAttempt(request, true, false, "the upstream failed");
    return FR_HEAD_RELEASED;
}

/* The response of a daemon by way of which the request went. What that one
   refuses has not run there. */
static FrHeadAction
handle_relayed_head(FrRequest *request, const BkH1Head *head)
{
    FrDetourReply reply = FrDetour_ReadReply(head);
    bool not_run = FrRequest_PromisesNotRun(head->http_status);

    if (reply.refusal != FR_NOT_REFUSED) {
        if (reply.refusal != FR_REFUSED_AFTER_ARRIVAL) {
            request->arrival_count--;
        }
        if (reply.refusal != FR_REFUSED_FULL) {
            FrDetour_NoteRefusal(request->up, BkClock_Now());
        }
        release_connection(request);
        FrRequest_FailAttempt(request, false, false,
                              "the other daemon could not take it");
        return FR_HEAD_RELEASED;
    }
    if (request->stage == FR_RESPONDING && head->http_status >= 300) {
        release_connection(request);
        FrRequest_FailAttempt(request, !not_run, false,
                              "the stream was not gone on with");
        return FR_HEAD_RELEASED;
    }
    if (!not_run && head->http_status >= 500 &&
        FrRequest_MayReplaceAttempt(request)) {
        return fail_relayed_run(request);
    }
    if (not_run && request->run_count > 0) {
        /* it may have run before, at another daemon or upstream */
        release_connection(request);
        FrRequest_GiveUp(request, "the other daemon refused it", 0);
        return FR_HEAD_RELEASED;
    }
    if (request->query.software == 0) {
        request->query.software = reply.software;
    }
    if (request->stage == FR_RESPONDING) {
        return FR_HEAD_PASS_BODY;
    }
    take_over_head(request, head);
    if (not_run) {
        request->why = "the other daemon refused it";
    }
    return FR_HEAD_PASS_BODY;
}

FrHeadAction
FrRequest_OnHead(FrRequest *request, const BkH1Head *head)
{
    BkResponseFields fields;

    BkAdapter_ReadResponseFields(head, &fields);
    if (!request->up->is_daemon) {
        FrSignals_Note(request, &fields, BkClock_Now());
    }
    if (!is_for_request(request, head, &fields)) {
        BkCounter_Add(request->front->metrics.stray_responses, 1);
        return FR_HEAD_SKIP;
    }
    request->answer_names_it = fields.request_id.len > 0;
    FrFront_EndRetry(request->front, request, BkClock_Now());
    if (fields.request_id.len == 0 && !request->up->is_daemon &&
        !names_other_process(request->up, &fields)) {
        FrUpConn_CloseAfter(request->conn);
        if (!FrUpConn_IsFirstExchange(request->conn)) {
            /* perhaps a second copy of the response to an earlier request */
            return fail_possible_run(request, "the answer names no request");
        }
    }
    request->last_up_code = head->http_status;
    request->framing = head->chunked       ? FR_FRAMING_CHUNKS
                       : head->until_close ? FR_FRAMING_CLOSE
                                           : FR_FRAMING_LENGTH;
    if (request->up->is_daemon) {
        return handle_relayed_head(request, head);
    }
    if (fields.not_run || BkAdapter_IsMisdirected(head->http_status)) {
        return handle_refusal(request, head, &fields);
    }
    if (fields.encoded) {
        return fail_possible_run(request, "the answer is encoded");
    }
    if (head->http_status < 300 && !fields.has_receipt) {
        return fail_possible_run(request, "the answer bears no receipt");
    }
    if (head->http_status >= 300 && request->stage == FR_RESPONDING) {
        return fail_possible_run(request, "the stream was not gone on with");
    }
    if (head->http_status >= 500 && FrRequest_MayReplaceAttempt(request)) {
        return fail_possible_run(request, "the upstream failed");
    }
    if (FrRequest_PromisesNotRun(head->http_status)) {
        return fail_possible_run(request,
                                 "the upstream refused without a word");
    }
    if (request->stage == FR_RESPONDING) {
        /* a resumed stream: the caller already has a head */
        return FR_HEAD_PASS_BODY;
    }
    take_over_head(request, head);
    return FR_HEAD_PASS_BODY;
}

/* At the first byte of the body the prompt has been processed: removes it from
   the load of the upstream. */
static void
note_prompt_processed(FrRequest *request)
{
    if (request->prompt_counted) {
        request->up->own_prompt_tokens -= request->query.prompt_tokens;
        request->prompt_counted = false;
        FrAdmission_NoteLoadChange(request->front->admission, request->up);
        FrQueue_SchedulePass(request->front, 0);
    }
}

static void
record_pause(FrRequest *request)
{
    BkMs now = BkClock_Now();

    if (request->response_begun &&
        now - request->last_body_at > request->longest_pause) {
        request->longest_pause = now - request->last_body_at;
    }
    request->last_body_at = now;
}

/* Begins a response that is not a stream of events. */
static void
begin_response(FrRequest *request)
{
    FrStream_SetNotResumable(request);
    FrCallerConn_BeginResponse(request->caller_conn, request->response_code,
                               BkBuf_Str(&request->response_fields),
                               request->response_length);
    request->stage = FR_RESPONDING;
    request->response_begun = true;
    request->response_begun_at = BkClock_Now();
}

/* Whether the body is a series of events, and not that of an error. */
static bool
is_event_stream(const FrRequest *request)
{
    return request->kind == BK_ROUTE_STREAM && request->response_code < 300;
}

/* An upstream that goes on writing did not crash of the request. */
static void
note_output(FrRequest *request)
{
    BkMs now = BkClock_Now();

    if (request->output_at == 0) {
        request->output_at = now;
    }
    if (!request->noted_well && request->response_code < 300 &&
        now - request->output_at >= FR_WELL_OUTPUT) {
        request->noted_well = true;
        FrQuarantine_NoteWell(request->front->quarantine, request, now);
    }
}

void
FrRequest_OnBody(FrRequest *request, BkStr data)
{
    /* bytes of an unfinished event, or of a body that is held back before the
       response to the caller begins: up to there, another attempt can replace
       a broken response */
    size_t max_pending = FrMemory_GetMaxUnsent(request->front);

    note_prompt_processed(request);
    record_pause(request);
    note_output(request);
    BkBuf_Append(&request->pending_body, data);
    if (is_event_stream(request)) {
        FrStream_ForwardEvents(request);
        if (request->pending_body.len > max_pending) {
            FrRequest_FailAttempt(request, true, true,
                                  "an event of the stream is too long");
            return;
        }
    }
    else if (request->pending_body.len > max_pending ||
             request->stage == FR_RESPONDING) {
        if (request->stage == FR_SENT) {
            begin_response(request);
        }
        FrCallerConn_WriteBody(request->caller_conn,
                               BkBuf_Str(&request->pending_body));
        BkBuf_Clear(&request->pending_body);
    }
    if (request->stage == FR_RESPONDING && request->caller_conn->output_full) {
        FrUpConn_SetPaused(request->conn, true);
    }
}

static void
note_break(FrRequest *request)
{
    BkMs now = BkClock_Now();

    if (request->up->is_daemon) {
        return;
    }
    request->broke_off = true;
    if (request->output_at == 0 || now - request->output_at < FR_WELL_OUTPUT) {
        FrBreaks_Note(request->front->quarantine, request, now);
    }
}

static void
note_run_time(const FrRequest *request)
{
    FrQueuePace *row =
        FrQueuePace_FindOrReset(request->front, &request->query);

    BkRunTime_Note(&row->run_time, BkClock_Now() - request->sent_at);
}

void
FrRequest_OnExchangeEnd(FrRequest *request, FrExchangeResult result)
{
    request->conn = NULL;
    request->partial_event =
        is_event_stream(request) ? FrStream_CountPartial(request) : 0;
    switch (result) {
    case FR_EXCHANGE_DONE:
        if (is_event_stream(request) && FrStream_IsBrokenOff(request)) {
            note_break(request);
            FrRequest_FailAttempt(request, true, true,
                                  "the stream ended inside an event");
            return;
        }
        break;
    case FR_EXCHANGE_UNSENT:
        request->arrival_count--;
        FrRequest_FailAttempt(request, false, true,
                              "no connection to the upstream");
        return;
    case FR_EXCHANGE_NO_RESPONSE:
        note_break(request);
        FrRequest_FailAttempt(request, true, true,
                              "the upstream closed without an answer");
        return;
    case FR_EXCHANGE_MALFORMED:
        FrRequest_FailAttempt(request, true, true,
                              "what the upstream sent is no answer");
        return;
    case FR_EXCHANGE_TRUNCATED:
        note_break(request);
        FrRequest_FailAttempt(request, true, true,
                              "the upstream's answer broke off");
        return;
    }
    FrRequest_ClearUpFailures(request->up);
    if (request->response_code < 300) {
        note_run_time(request);
        request->why = "answered by the upstream";
        FrQuarantine_NoteWell(request->front->quarantine, request,
                              BkClock_Now());
    }
    else if (request->response_code < 500 && request->answer_names_it &&
             !request->up->is_daemon) {
        FrQuarantine_NoteAnswered(request->front->quarantine, request,
                                  BkClock_Now());
    }
    FrCallerConn *caller_conn = FrRequest_DetachCaller(request);
    bool responding = request->stage == FR_RESPONDING;
    BkBuf fields = request->response_fields;
    BkBuf rest = request->pending_body;
    request->response_fields = BkBuf_Make(0);
    request->pending_body = BkBuf_Make(0);
    if (!request->response_begun) {
        request->response_begun = true;
        request->response_begun_at = BkClock_Now();
    }
    FrRequest_Finish(request, request->response_code);
    if (responding) {
        FrCallerConn_WriteBody(caller_conn, BkBuf_Str(&rest));
        FrCallerConn_EndResponse(caller_conn);
    }
    else {
        FrCallerConn_Reply(caller_conn, request->response_code,
                           BkBuf_Str(&fields), BkBuf_Str(&rest));
    }
    BkBuf_Destroy(&fields);
    BkBuf_Destroy(&rest);
}
