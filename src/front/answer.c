#include "keeper.h"
#include "relay.h"

enum {
    ANSWER_HELD = 64 * 1024 /* bytes of an answer kept before it is passed
                               on, so that a cut one can be replaced */
};

/* the fields that go on to the caller */
static void
keep_fields(FrRelay *relay, const BkH1Head *head)
{
    BkStr connection = BkH1Head_Find(head, "Connection");

    BkBuf_Clear(&relay->fields);
    for (int i = 0; i < head->count; i++) {
        BkStr name = head->fields[i].name;
        if (BkH1_SameName(name, BK_STR("Connection")) ||
            BkH1_SameName(name, BK_STR("Keep-Alive")) ||
            BkH1_SameName(name, BK_STR("Transfer-Encoding")) ||
            BkH1_SameName(name, BK_STR("Content-Length")) ||
            BkH1_SameName(name, BK_STR("Trailer")) ||
            BkH1_SameName(name, BK_STR("Upgrade")) ||
            BkH1_SameName(name, BK_STR("Proxy-Connection")) ||
            BkH1_HasToken(connection, name)) {
            continue;
        }
        BkH1_PutField(&relay->fields, name, head->fields[i].value);
    }
}

/* lets go of the link, whose answer's rest may still come */
static void
release_link(FrRelay *relay)
{
    FrLink_Release(relay->link);
    relay->link = NULL;
}

static FrTake
take_refusal(FrRelay *relay, const BkH1Head *head, const BkUpstreamSays *says)
{
    BkUp *up = relay->up;
    BkMs now = BkClock_Now();
    bool stranger = says->upstream.len > 0 &&
                    !BkStr_Equal(says->upstream, BkStr_FromC(up->id));

    if (stranger) {
        BkFleet_MarkGone(&relay->front->fleet, up, now);
    }
    else if (BkAdapter_IsMisdirected(head->code) && relay->query.model != 0) {
        /* its report is older than an order that was carried out */
        if (relay->query.adapter != 0 &&
            BkUp_HasAdapter(up, relay->query.model, relay->query.adapter)) {
            BkUp_SetAdapterLoaded(up, relay->query.model, relay->query.adapter,
                                  false);
        }
        else {
            BkUp_SetModelLoaded(up, relay->query.model, false);
        }
    }
    relay->last_code = head->code;
    release_link(relay);
    FrRelay_EndAttempt(relay, false, !stranger && head->code == 503,
                       stranger || head->code == 503
                           ? "the upstream refused it"
                           : "the upstream does not hold the model");
    return FR_TAKE_LEFT;
}

static FrTake
take_failure(FrRelay *relay, const char *why)
{
    release_link(relay);
    FrRelay_EndAttempt(relay, true, true, why);
    return FR_TAKE_LEFT;
}

/* a status that would promise that the request has not run */
static bool
is_promise(int code)
{
    return code == 408 || code == 421 || code == 429 || code == 503;
}

static bool
is_ours(const FrRelay *relay, const BkH1Head *head, const BkUpstreamSays *says)
{
    if (says->request.len == 0) {
        return head->code >= 300;
    }
    return BkStr_Equal(says->request, BkStr_FromC(relay->id));
}

FrTake
FrRelay_TakeHead(FrRelay *relay, const BkH1Head *head)
{
    BkUpstreamSays says;

    BkAdapter_ReadUpstream(head, &says);
    if (!is_ours(relay, head, &says)) {
        BkCounter_Add(relay->front->metrics.strays, 1);
        return FR_TAKE_SKIP;
    }
    relay->last_code = head->code;
    if (says.not_run || BkAdapter_IsMisdirected(head->code)) {
        return take_refusal(relay, head, &says);
    }
    if (says.encoded) {
        return take_failure(relay, "the answer is encoded");
    }
    if (head->code < 300 && !says.sealed) {
        return take_failure(relay, "the answer bears no receipt");
    }
    if (head->code >= 300 && relay->stage == FR_ANSWERING) {
        return take_failure(relay, "the stream was not gone on with");
    }
    if (head->code >= 500 && relay->repeatable &&
        relay->runs + 1 < relay->attempts) {
        return take_failure(relay, "the upstream failed");
    }
    if (is_promise(head->code)) {
        return take_failure(relay, "the upstream refused without a word");
    }
    if (relay->stage == FR_ANSWERING) {
        return FR_TAKE_BODY; /* a resumed stream keeps its first head */
    }
    keep_fields(relay, head);
    relay->code = head->code;
    relay->length =
        relay->kind == BK_ROUTE_STREAM || head->chunked ? -1 : head->length;
    relay->why = head->code < 300 ? "cut" : "failed by the upstream";
    return FR_TAKE_BODY;
}

/* the first byte of an answer: its prompt is read */
static void
note_read(FrRelay *relay)
{
    if (relay->unread) {
        relay->up->own_prompt_tokens -= relay->query.prompt_tokens;
        relay->unread = false;
        FrKeeper_NoteChange(relay->front->keeper, relay, relay->up);
        FrQueue_WakeSoon(relay->front, 0);
    }
}

static void
note_pause(FrRelay *relay)
{
    BkMs now = BkClock_Now();

    if (relay->first_sent && now - relay->last_at > relay->longest_pause) {
        relay->longest_pause = now - relay->last_at;
    }
    relay->last_at = now;
}

static void
begin_answer(FrRelay *relay)
{
    FrCaller_Begin(relay->caller, relay->code, BkBuf_Str(&relay->fields),
                   relay->length);
    relay->stage = FR_ANSWERING;
    relay->first_sent = true;
    relay->first_at = BkClock_Now();
}

void
FrRelay_TakeBody(FrRelay *relay, BkStr data)
{
    bool stream = relay->kind == BK_ROUTE_STREAM && relay->code < 300;

    note_read(relay);
    note_pause(relay);
    BkBuf_Append(&relay->answer, data);
    if (stream) {
        FrStream_Pass(relay);
    }
    else if (relay->answer.len > ANSWER_HELD || relay->stage == FR_ANSWERING) {
        if (relay->stage == FR_SENT) {
            begin_answer(relay);
        }
        FrCaller_Write(relay->caller, BkBuf_Str(&relay->answer));
        BkBuf_Clear(&relay->answer);
    }
    if (relay->stage == FR_ANSWERING && relay->caller->blocked) {
        FrLink_Pause(relay->link, true);
    }
}

void
FrRelay_TakeEnd(FrRelay *relay, FrLinkEnd end)
{
    relay->link = NULL;
    switch (end) {
    case FR_LINK_DONE:
        break;
    case FR_LINK_UNSENT:
        FrRelay_EndAttempt(relay, false, true,
                           "no connection to the upstream");
        return;
    case FR_LINK_SILENT:
        FrRelay_EndAttempt(relay, true, true,
                           "the upstream closed without an answer");
        return;
    case FR_LINK_GARBAGE:
        FrRelay_EndAttempt(relay, true, true,
                           "what the upstream sent is no answer");
        return;
    case FR_LINK_CUT:
        FrRelay_EndAttempt(relay, true, true,
                           "the upstream's answer broke off");
        return;
    }
    FrRelay_ClearBlame(relay->up);
    if (relay->code < 300) {
        relay->why = "answered by the upstream";
    }
    FrCaller *caller = FrRelay_DetachCaller(relay);
    bool answering = relay->stage == FR_ANSWERING;
    BkBuf fields = relay->fields;
    BkBuf answer = relay->answer;
    relay->fields = BkBuf_Make(0);
    relay->answer = BkBuf_Make(0);
    if (!relay->first_sent) {
        relay->first_sent = true;
        relay->first_at = BkClock_Now();
    }
    FrRelay_Finish(relay, relay->code);
    if (answering) {
        FrCaller_Write(caller, BkBuf_Str(&answer));
        if (!caller->dead) {
            FrCaller_End(caller);
        }
    }
    else {
        FrCaller_Reply(caller, relay->code, BkBuf_Str(&fields),
                       BkBuf_Str(&answer));
    }
    BkBuf_Destroy(&fields);
    BkBuf_Destroy(&answer);
}
