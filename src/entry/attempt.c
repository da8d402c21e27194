#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "bk/base/log.h"
#include "bk/entry/codec.h"
#include "bk/entry/relay.h"

enum {
    HTTP_OK = 200,
    HTTP_NOT_FOUND = 404,
    MAX_FIELDS = 8,
    MAX_FIELD_BYTES = 256,
    CONNECT_TIMEOUT_MS = 500,
    /* so that the next upstream is chosen before the cancel is sent */
    CANCEL_DELAY_MS = 1
};

/* header fields of one request to an upstream */
typedef struct HeaderFields {
    char texts[MAX_FIELDS][MAX_FIELD_BYTES];
    const char *list[MAX_FIELDS + 1];
    int count;
} HeaderFields;

static void
add_field(HeaderFields *fields, const char *name, const char *value)
{
    char *text = fields->texts[fields->count];

    if (value[0] == '\0') {
        return;
    }
    snprintf(text, MAX_FIELD_BYTES, "%s: %s", name, value);
    fields->list[fields->count++] = text;
    fields->list[fields->count] = NULL;
}

static bool
name_equals(BkStr name, const char *text)
{
    return name.len == strlen(text) &&
           strncasecmp(name.ptr, text, name.len) == 0;
}

static void
on_header(BkHttpCall *call, BkStr name, BkStr value, void *arg)
{
    BkRelay *relay = arg;
    uint64_t seconds = 0;

    (void)call;
    if (name_equals(name, "Content-Type")) {
        free(relay->answer_content_type);
        relay->answer_content_type = BkStr_Dup(value);
    }
    else if (name_equals(name, "X-Not-Run")) {
        relay->not_run = BkStr_Equal(value, BK_STR("yes"));
    }
    else if (name_equals(name, "Retry-After") &&
             BkStr_ToU64(value, &seconds) == BK_OK && seconds < 3600) {
        relay->retry_after = (BkMs)seconds * BK_MS_PER_S;
    }
}

static void
on_head(BkHttpCall *call, int http_status, void *arg)
{
    BkRelay *relay = arg;

    (void)call;
    relay->http_status = http_status;
}

static bool
on_data(BkHttpCall *call, BkStr data, void *arg)
{
    BkRelay *relay = arg;

    (void)call;
    if (relay->stream && relay->http_status == HTTP_OK) {
        return BkStream_OnData(relay, data);
    }
    if (BkBuf_Append(&relay->answer, data) != BK_OK) {
        relay->answer_too_large = true;
    }
    return true;
}

/* updates the state of the upstream when the attempt has ended */
static void
note_attempt_end(BkRelay *relay)
{
    BkDaemon *daemon = relay->entry->daemon;

    if (!relay->counted_at_upstream) {
        return;
    }
    relay->counted_at_upstream = false;
    BkEntryDemand_AddBusyTime(relay->entry->demand, relay->item,
                              BkClock_Now() - relay->sent_at);
    int up = BkBundle_FindUpstreamByHash(daemon->bundle, relay->up_name_hash);
    if (up >= 0) {
        BkRoute_NoteFinished(daemon->view, up);
        if (relay->result.status == BK_OK && !relay->not_run) {
            BkRoute_NoteDuration(&relay->entry->route, daemon->view, up,
                                 BkClock_Now() - relay->sent_at);
        }
    }
}

/* Marks the upstream as failed, or its list of instances as outdated. A poll
 * will then show whether the upstream failed or only this exchange, and which
 * models it still holds. */
static void
note_attempt_failure(const BkRelay *relay)
{
    const BkDaemon *daemon = relay->entry->daemon;
    int up = BkBundle_FindUpstreamByHash(daemon->bundle, relay->up_name_hash);
    bool unanswered = relay->result.status != BK_OK && relay->http_status == 0;

    if (up < 0) {
        return;
    }
    if (unanswered) {
        BkView_NoteFailure(daemon->view, up, BkClock_Now());
    }
    if (relay->not_run && relay->http_status == HTTP_NOT_FOUND) {
        BkView_MarkListOutdated(daemon->view, up);
    }
}

static void
on_done(const BkHttpResult *result, void *arg)
{
    BkRelay *relay = arg;

    relay->call = NULL;
    relay->result = *result;
    relay->http_status = result->http_status;
    if (result->http_status == 0) {
        /* fields of a head that broke off or was refused */
        relay->not_run = false;
        relay->retry_after = 0;
    }
    note_attempt_end(relay);
    note_attempt_failure(relay);
    BK_LOG(BK_LOG_DEBUG, "attempt", relay->request_id, "%u at %s: %s, %d",
           relay->attempt, relay->up_addr, BkStatus_Info(result->status)->name,
           result->http_status);
    if (relay->blocked) {
        relay->call_ended = true;
        return;
    }
    BkRelay_HandleAttemptEnd(relay);
}

void
BkRelay_AbortCall(BkRelay *relay)
{
    if (relay->call != NULL) {
        BkHttpCall_Cancel(relay->call);
        relay->call = NULL;
    }
    relay->result =
        (BkHttpResult){.status = BK_EUNKNOWN, .may_have_been_sent = true};
    note_attempt_end(relay);
}

static void
reset_attempt(BkRelay *relay)
{
    relay->http_status = 0;
    relay->not_run = false;
    relay->retry_after = 0;
    relay->answer_too_large = false;
    relay->call_ended = false;
    relay->stream_broken = false;
    relay->progress = false;
    relay->result = (BkHttpResult){0};
    BkBuf_Clear(&relay->answer);
    free(relay->answer_content_type);
    relay->answer_content_type = NULL;
}

static void
note_tried(BkRelay *relay, uint32_t name_hash)
{
    if (relay->tried.count < BK_ROUTE_MAX_TRIED) {
        relay->tried.name_hashes[relay->tried.count++] = name_hash;
    }
}

/* makes this the current upstream and counts the request there */
static void
note_attempt_start(BkRelay *relay, int up)
{
    BkEntry *entry = relay->entry;
    const BkUpstream *upstream = &entry->daemon->bundle->upstreams[up];

    relay->up_name_hash = upstream->name_hash;
    relay->up_boot = entry->daemon->view->ups[up].boot;
    snprintf(relay->up_addr, sizeof(relay->up_addr), "%s", upstream->addr);
    BkCancel_UnscheduleAt(entry, relay->request_id, relay->up_addr);
    relay->counted_at_upstream = true;
    relay->sent_at = BkClock_Now();
    BkRoute_NoteSent(entry->daemon->view, up);
    if (relay->attempt > 1) {
        BkCounter_Add(entry->counters.retries, 1);
    }
}

static void
add_fields(BkRelay *relay, int up, HeaderFields *fields)
{
    const BkDaemon *daemon = relay->entry->daemon;
    int item = BkBundle_FindItem(daemon->bundle, BkStr_FromC(relay->item));
    char number[16];

    snprintf(number, sizeof(number), "%u", relay->attempt);
    add_field(fields, "X-Request-Id", relay->request_id);
    add_field(fields, "X-Attempt", number);
    if (relay->resuming) {
        return;
    }
    add_field(fields, "Content-Type", relay->content_type);
    if (!relay->repeatable) {
        add_field(fields, "Idempotency-Key", relay->idempotency_key);
    }
    if (!relay->service && item >= 0) {
        const BkInst *inst = BkView_FindReady(daemon->view, up, item);
        add_field(fields, "X-Instance", inst == NULL ? "" : inst->name);
        free(relay->instance_name);
        relay->instance_name =
            inst == NULL ? NULL : BkStr_Dup(BkStr_FromC(inst->name));
    }
}

static void
start_call(BkRelay *relay, int up, const char *method, const char *target,
           BkStr body)
{
    const BkEntryConf *conf = &relay->entry->conf;
    BkBuf url = BkBuf_Make(0);
    HeaderFields fields = {0};

    add_fields(relay, up, &fields);
    BkBuf_Printf(&url, "http://%s%s", relay->up_addr, target);
    BkHttpCallSpec spec = {
        .method = method,
        .url = BkBuf_C(&url),
        .headers = fields.list,
        .body = body,
        .connect_timeout = CONNECT_TIMEOUT_MS,
        .timeout = relay->repeatable ? 0 : conf->max_run_time,
        .idle_timeout = relay->stream ? conf->stream_idle : 0,
        .new_connection = !relay->repeatable,
        .on_head = on_head,
        .on_header = on_header,
        .on_data = on_data,
        .on_done = on_done,
        .arg = relay,
    };
    relay->call = BkHttpClient_Start(relay->entry->daemon->http, &spec);
    BkBuf_Destroy(&url);
}

static void
start_stream_get(BkRelay *relay, int up)
{
    char target[BK_REQUEST_ID_BYTES + 64];

    snprintf(target, sizeof(target), "/v1/streams/%s?from=%llu",
             relay->request_id, (unsigned long long)relay->last_delivered_id);
    start_call(relay, up, "GET", target, (BkStr){NULL, 0});
}

void
BkAttempt_Start(BkRelay *relay, int up)
{
    BkStr body = BkHttpReq_Body(relay->req);
    BkBuf extended_body = BkBuf_Make(0);

    reset_attempt(relay);
    relay->attempt++;
    relay->attempts_without_progress++;
    note_attempt_start(relay, up);
    if (relay->resuming) {
        start_stream_get(relay, up);
        return;
    }
    if (relay->last_delivered_id > 0) {
        BkCompletion_AddContinueFrom(body, relay->last_delivered_id,
                                     BkBuf_Str(&relay->delivered_text),
                                     &extended_body);
        body = BkBuf_Str(&extended_body);
    }
    start_call(relay, up, relay->method, relay->target, body);
    BkBuf_Destroy(&extended_body);
}

void
BkRelay_ResumeStream(BkRelay *relay)
{
    int up = BkBundle_FindUpstreamByHash(relay->entry->daemon->bundle,
                                         relay->up_name_hash);

    if (up < 0) {
        BkRelay_Send(relay);
        return;
    }
    BkCounter_Add(relay->entry->counters.resumes, 1);
    relay->resuming = true;
    BkAttempt_Start(relay, up);
}

static BkAttemptEnd
describe_attempt(const BkRelay *relay)
{
    int attempts_left = (int)relay->entry->conf.max_attempts_without_progress -
                        relay->attempts_without_progress;

    return (BkAttemptEnd){
        .status = relay->result.status,
        .may_have_been_sent = relay->result.may_have_been_sent,
        .http_status = relay->http_status,
        .not_run = relay->not_run,
        .repeatable = relay->repeatable,
        .stream = relay->stream,
        .stream_complete = relay->stream_complete,
        .stream_opened = relay->stream_opened,
        .resuming = relay->resuming,
        .progress = relay->progress,
        .stream_broken = relay->stream_broken,
        .can_continue_elsewhere =
            relay->from_ticket || !relay->delivered_text_incomplete,
        .may_have_run_before = relay->may_have_run_before,
        /* with a ticket, each upstream is asked only once anyway */
        .attempts_left =
            relay->from_ticket ? BK_ROUTE_MAX_TRIED : attempts_left,
    };
}

/* The upstream no longer has the instance asked for: marks it as unloading in
 * the view. Returns whether the upstream has another ready instance of the
 * item, perhaps of another version. */
static bool
drop_missing_instance(BkRelay *relay)
{
    const BkDaemon *daemon = relay->entry->daemon;
    int item = BkBundle_FindItem(daemon->bundle, BkStr_FromC(relay->item));
    int up = BkBundle_FindUpstreamByHash(daemon->bundle, relay->up_name_hash);

    if (item < 0 || up < 0 || relay->instance_name == NULL) {
        return false;
    }
    BkUpView *up_view = &daemon->view->ups[up];
    for (int i = 0; i < up_view->inst_count; i++) {
        if (strcmp(up_view->insts[i].name, relay->instance_name) == 0) {
            up_view->insts[i].state = BK_INST_UNLOADING;
        }
    }
    return BkView_FindReady(daemon->view, up, item) != NULL;
}

/* the request goes to another upstream, or to another instance at this one */
static void
retry_elsewhere(BkRelay *relay, bool not_run)
{
    bool not_found = not_run && relay->http_status == HTTP_NOT_FOUND;

    if (!not_found || !drop_missing_instance(relay)) {
        note_tried(relay, relay->up_name_hash);
    }
    relay->all_not_found =
        relay->all_not_found && relay->http_status == HTTP_NOT_FOUND;
    if (!not_run && !relay->service && !relay->from_ticket) {
        /* nobody needs the work that this upstream may still do for it */
        BkCancel_Schedule(relay->entry, relay->request_id, relay->up_addr,
                          CANCEL_DELAY_MS);
    }
    BkRelay_Send(relay);
}

/* Delivers an error as the recorded outcome of a claimed call: the upstream
 * answered, but the answer does not say whether the call was run. */
static void
deliver_error(BkRelay *relay, BkStatus status, const char *message)
{
    BkBuf_Clear(&relay->answer);
    BkError_Encode(status, message, 0, &relay->answer);
    free(relay->answer_content_type);
    relay->answer_content_type = BkStr_Dup(BK_STR("application/json"));
    relay->answer_too_large = false;
    relay->http_status = BkStatus_Info(status)->http;
    BkRelay_Deliver(relay, status);
}

/* Fails the request after its last attempt. If the upstream sent an answer,
 * the message names its HTTP status. */
static void
fail_request(BkRelay *relay, BkStatus status, bool not_run)
{
    char message[128];

    if (relay->http_status == 0 || not_run) {
        BkRelay_Fail(relay, status, NULL, relay->retry_after);
        return;
    }
    snprintf(message, sizeof(message), "%s (HTTP %d)",
             BkStatus_Info(status)->text, relay->http_status);
    if (relay->holds_claim && relay->result.status == BK_OK) {
        deliver_error(relay, status, message);
        return;
    }
    BkRelay_Fail(relay, status, message, relay->retry_after);
}

/* The caller has its answer or has disconnected. The claim of a non-repeatable
 * call still gets its outcome, or is released. */
static void
settle_answered(BkRelay *relay, BkNextStep step, bool not_run)
{
    if (relay->holds_claim && step == BK_NEXT_DELIVER) {
        BkRelay_Deliver(relay, BK_OK);
    }
    else if (relay->holds_claim) {
        fail_request(relay, not_run ? BK_EREFUSED : BK_EUNKNOWN, not_run);
    }
    else {
        BkRelay_FreeIfDone(relay);
    }
}

void
BkRelay_HandleAttemptEnd(BkRelay *relay)
{
    BkAttemptEnd end = describe_attempt(relay);
    BkDecision decision = BkDecide_NextStep(&end);
    bool not_run = BkDecide_CertainlyNotRun(&end);

    relay->call_ended = false;
    relay->may_have_run_before = relay->may_have_run_before || !not_run;
    relay->last_failure = decision.status;
    if (relay->answered) {
        settle_answered(relay, decision.step, not_run);
        return;
    }
    switch (decision.step) {
    case BK_NEXT_DELIVER:
        BkRelay_Deliver(relay, BK_OK);
        return;
    case BK_NEXT_RESUME:
        BkRelay_ResumeStream(relay);
        return;
    case BK_NEXT_RETRY_FREE:
        retry_elsewhere(relay, not_run);
        return;
    case BK_NEXT_RETRY_BUDGETED:
        if (BkRetryBucket_TryRetry(&relay->entry->retry_budget)) {
            retry_elsewhere(relay, not_run);
            return;
        }
        break;
    case BK_NEXT_FAIL:
        break;
    }
    fail_request(relay, decision.status, not_run);
}
