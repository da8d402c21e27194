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
    FIELDS_MOST = 8,
    FIELD_BYTES = 256,
    CONNECT_TIMEOUT_MS = 500,
    CANCEL_AFTER_MS = 1 /* not before the next upstream is chosen */
};

/* header fields of one exchange */
typedef struct Fields {
    char texts[FIELDS_MOST][FIELD_BYTES];
    const char *list[FIELDS_MOST + 1];
    int count;
} Fields;

static void
add_field(Fields *fields, const char *name, const char *value)
{
    char *text = fields->texts[fields->count];

    if (value[0] == '\0') {
        return;
    }
    snprintf(text, FIELD_BYTES, "%s: %s", name, value);
    fields->list[fields->count++] = text;
    fields->list[fields->count] = NULL;
}

static bool
name_is(BkStr name, const char *text)
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
    if (name_is(name, "Content-Type")) {
        free(relay->answer_type);
        relay->answer_type = BkStr_Dup(value);
    }
    else if (name_is(name, "X-Not-Run")) {
        relay->not_run = BkStr_Equal(value, BK_STR("yes"));
    }
    else if (name_is(name, "Retry-After") &&
             BkStr_ToU64(value, &seconds) == BK_OK && seconds < 3600) {
        relay->retry_after = (BkMs)seconds * BK_MS_PER_S;
    }
}

static void
on_head(BkHttpCall *call, int code, void *arg)
{
    BkRelay *relay = arg;

    (void)call;
    relay->code = code;
}

static bool
on_data(BkHttpCall *call, BkStr data, void *arg)
{
    BkRelay *relay = arg;

    (void)call;
    if (relay->stream && relay->code == HTTP_OK) {
        return BkStream_Take(relay, data);
    }
    if (BkBuf_Append(&relay->answer, data) != BK_OK) {
        relay->answer_too_large = true;
    }
    return true;
}

static void
leave_upstream(BkRelay *relay)
{
    BkDaemon *daemon = relay->entry->daemon;

    if (!relay->on_upstream) {
        return;
    }
    relay->on_upstream = false;
    BkEntryDemand_NoteBusy(relay->entry->demand, relay->item,
                           BkClock_Now() - relay->sent_at);
    int up = BkBundle_FindUpstreamKey(daemon->bundle, relay->up_key);
    if (up >= 0) {
        BkRoute_NoteFinished(daemon->view, up);
        if (relay->result.status == BK_OK && !relay->not_run) {
            BkRoute_NoteDuration(&relay->entry->route, daemon->view, up,
                                 BkClock_Now() - relay->sent_at);
        }
    }
}

/* a poll will tell whether it was the upstream or just this exchange */
static void
doubt_upstream(const BkRelay *relay)
{
    const BkDaemon *daemon = relay->entry->daemon;
    int up = BkBundle_FindUpstreamKey(daemon->bundle, relay->up_key);
    bool silent = relay->result.status != BK_OK && relay->code == 0;

    if (up < 0) {
        return;
    }
    if (silent) {
        BkView_NoteFailure(daemon->view, up, BkClock_Now());
    }
    if (relay->not_run && relay->code == HTTP_NOT_FOUND) {
        BkView_MarkListOutdated(daemon->view, up);
    }
}

static void
on_done(const BkHttpResult *result, void *arg)
{
    BkRelay *relay = arg;

    relay->call = NULL;
    relay->result = *result;
    relay->code = result->code;
    leave_upstream(relay);
    doubt_upstream(relay);
    BK_LOG(BK_LOG_DEBUG, "attempt", relay->request, "%u at %s: %s, %d",
           relay->attempt, relay->up_addr, BkStatus_Info(result->status)->name,
           result->code);
    if (relay->blocked) {
        relay->ended = true;
        return;
    }
    BkRelay_TakeEnd(relay);
}

void
BkRelay_Abort(BkRelay *relay)
{
    if (relay->call != NULL) {
        BkHttpCall_Cancel(relay->call);
        relay->call = NULL;
    }
    relay->result = (BkHttpResult){.status = BK_EUNKNOWN, .sent = true};
    leave_upstream(relay);
}

static void
reset_attempt(BkRelay *relay)
{
    relay->code = 0;
    relay->not_run = false;
    relay->retry_after = 0;
    relay->answer_too_large = false;
    relay->ended = false;
    relay->bad_stream = false;
    relay->progress = false;
    relay->result = (BkHttpResult){0};
    BkBuf_Clear(&relay->answer);
    free(relay->answer_type);
    relay->answer_type = NULL;
}

static void
note_tried(BkRelay *relay, uint32_t key)
{
    if (relay->tried.count < BK_ROUTE_MAX_TRIED) {
        relay->tried.keys[relay->tried.count++] = key;
    }
}

/* counts the relay in at this upstream */
static void
enter_upstream(BkRelay *relay, int up)
{
    BkEntry *entry = relay->entry;
    const BkUpstream *upstream = &entry->daemon->bundle->upstreams[up];

    relay->up_key = upstream->key;
    relay->up_boot = entry->daemon->view->ups[up].boot;
    snprintf(relay->up_addr, sizeof(relay->up_addr), "%s", upstream->addr);
    BkCancel_DropAt(entry, relay->request, relay->up_addr);
    relay->on_upstream = true;
    relay->sent_at = BkClock_Now();
    BkRoute_NoteSent(entry->daemon->view, up);
    if (relay->attempt > 1) {
        BkCounter_Add(entry->counters.retries, 1);
    }
}

static void
add_fields(BkRelay *relay, int up, Fields *fields)
{
    const BkDaemon *daemon = relay->entry->daemon;
    int item = BkBundle_FindItem(daemon->bundle, BkStr_FromC(relay->item));
    char number[16];

    snprintf(number, sizeof(number), "%u", relay->attempt);
    add_field(fields, "X-Request-Id", relay->request);
    add_field(fields, "X-Attempt", number);
    if (relay->resuming) {
        return;
    }
    add_field(fields, "Content-Type", relay->type);
    if (!relay->repeatable) {
        add_field(fields, "Idempotency-Key", relay->key);
    }
    if (!relay->service && item >= 0) {
        const BkInst *inst = BkView_FindReady(daemon->view, up, item);
        add_field(fields, "X-Instance", inst == NULL ? "" : inst->name);
        free(relay->inst);
        relay->inst = inst == NULL ? NULL : BkStr_Dup(BkStr_FromC(inst->name));
    }
}

static void
start_call(BkRelay *relay, int up, const char *method, const char *target,
           BkStr body)
{
    const BkEntryConf *conf = &relay->entry->conf;
    BkBuf url = BkBuf_Make(0);
    Fields fields = {0};

    add_fields(relay, up, &fields);
    BkBuf_Printf(&url, "http://%s%s", relay->up_addr, target);
    BkHttpSpec spec = {
        .method = method,
        .url = BkBuf_C(&url),
        .headers = fields.list,
        .body = body,
        .connect_timeout = CONNECT_TIMEOUT_MS,
        .timeout = relay->repeatable ? 0 : conf->answer_limit,
        .idle_timeout = relay->stream ? conf->stream_idle : 0,
        .once = !relay->repeatable,
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
start_get(BkRelay *relay, int up)
{
    char target[BK_REQUEST_ID_BYTES + 64];

    snprintf(target, sizeof(target), "/v1/streams/%s?from=%llu",
             relay->request, (unsigned long long)relay->delivered);
    start_call(relay, up, "GET", target, (BkStr){NULL, 0});
}

void
BkAttempt_Start(BkRelay *relay, int up)
{
    BkStr body = BkHttpReq_Body(relay->req);
    BkBuf longer = BkBuf_Make(0);

    reset_attempt(relay);
    relay->attempt++;
    relay->tries++;
    enter_upstream(relay, up);
    if (relay->resuming) {
        start_get(relay, up);
        return;
    }
    if (relay->delivered > 0) {
        BkCompletion_Continue(body, relay->delivered, BkBuf_Str(&relay->text),
                              &longer);
        body = BkBuf_Str(&longer);
    }
    start_call(relay, up, relay->method, relay->target, body);
    BkBuf_Destroy(&longer);
}

void
BkRelay_Resume(BkRelay *relay)
{
    int up =
        BkBundle_FindUpstreamKey(relay->entry->daemon->bundle, relay->up_key);

    if (up < 0) {
        BkRelay_Send(relay);
        return;
    }
    BkCounter_Add(relay->entry->counters.resumes, 1);
    relay->resuming = true;
    BkAttempt_Start(relay, up);
}

static BkAttemptEnd
describe_end(const BkRelay *relay)
{
    int left = (int)relay->entry->conf.attempts - relay->tries;

    return (BkAttemptEnd){
        .status = relay->result.status,
        .sent = relay->result.sent,
        .code = relay->code,
        .not_run = relay->not_run,
        .repeatable = relay->repeatable,
        .stream = relay->stream,
        .whole_stream = relay->whole_stream,
        .opened = relay->opened,
        .resumed = relay->resuming,
        .progress = relay->progress,
        .bad_stream = relay->bad_stream,
        .can_copy = relay->from_ticket || !relay->text_lost,
        .ran_before = relay->ran_before,
        /* holders are bounded by their number */
        .tries_left = relay->from_ticket ? BK_ROUTE_MAX_TRIED : left,
    };
}

/* the instance is gone: whether the upstream has another one, of another
   version maybe */
static bool
has_other_instance(BkRelay *relay)
{
    const BkDaemon *daemon = relay->entry->daemon;
    int item = BkBundle_FindItem(daemon->bundle, BkStr_FromC(relay->item));
    int up = BkBundle_FindUpstreamKey(daemon->bundle, relay->up_key);

    if (item < 0 || up < 0 || relay->inst == NULL) {
        return false;
    }
    BkUpView *seen = &daemon->view->ups[up];
    for (int i = 0; i < seen->inst_count; i++) {
        if (strcmp(seen->insts[i].name, relay->inst) == 0) {
            seen->insts[i].state = BK_INST_UNLOADING;
        }
    }
    return BkView_FindReady(daemon->view, up, item) != NULL;
}

static void
leave_for_other(BkRelay *relay, bool not_run)
{
    bool gone = not_run && relay->code == HTTP_NOT_FOUND;

    if (!gone || !has_other_instance(relay)) {
        note_tried(relay, relay->up_key);
    }
    relay->all_gone = relay->all_gone && relay->code == HTTP_NOT_FOUND;
    if (!not_run && !relay->service && !relay->from_ticket) {
        /* what it still does for this request is of no use */
        BkCancel_Schedule(relay->entry, relay->request, relay->up_addr,
                          CANCEL_AFTER_MS);
    }
    BkRelay_Send(relay);
}

/* a whole answer that says nothing about what ran is the outcome as well */
static void
record_failure(BkRelay *relay, BkStatus status, const char *message)
{
    BkBuf_Clear(&relay->answer);
    BkError_Encode(status, message, 0, &relay->answer);
    free(relay->answer_type);
    relay->answer_type = BkStr_Dup(BK_STR("application/json"));
    relay->answer_too_large = false;
    relay->code = BkStatus_Info(status)->http;
    BkRelay_Deliver(relay, status);
}

static void
fail_end(BkRelay *relay, BkStatus status, bool not_run)
{
    char said[128];

    if (relay->code == 0 || not_run) {
        BkRelay_Fail(relay, status, NULL, relay->retry_after);
        return;
    }
    snprintf(said, sizeof(said), "%s (HTTP %d)", BkStatus_Info(status)->text,
             relay->code);
    if (relay->claimed && relay->result.status == BK_OK) {
        record_failure(relay, status, said);
        return;
    }
    BkRelay_Fail(relay, status, said, relay->retry_after);
}

/* nobody waits any more, but the claim of a call that may not be repeated
 * still gets its outcome, or is given back */
static void
settle_unwatched(BkRelay *relay, BkNextStep step, bool not_run)
{
    if (relay->claimed && step == BK_NEXT_DELIVER) {
        BkRelay_Deliver(relay, BK_OK);
    }
    else if (relay->claimed) {
        fail_end(relay, not_run ? BK_EREFUSED : BK_EUNKNOWN, not_run);
    }
    else {
        BkRelay_MaybeFree(relay);
    }
}

void
BkRelay_TakeEnd(BkRelay *relay)
{
    BkAttemptEnd end = describe_end(relay);
    BkDecision decision = BkDecide_Next(&end);
    bool not_run = BkDecide_NotRun(&end);

    relay->ended = false;
    relay->ran_before = relay->ran_before || !not_run;
    relay->last_failure = decision.status;
    if (relay->answered) {
        settle_unwatched(relay, decision.step, not_run);
        return;
    }
    switch (decision.step) {
    case BK_NEXT_DELIVER:
        BkRelay_Deliver(relay, BK_OK);
        return;
    case BK_NEXT_RESUME:
        BkRelay_Resume(relay);
        return;
    case BK_NEXT_OTHER:
        leave_for_other(relay, not_run);
        return;
    case BK_NEXT_RETRY:
        if (BkRetryBudget_TryRetry(&relay->entry->budget)) {
            leave_for_other(relay, not_run);
            return;
        }
        break;
    case BK_NEXT_FAIL:
        break;
    }
    fail_end(relay, decision.status, not_run);
}
