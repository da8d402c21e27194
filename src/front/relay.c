#include "bk/wait/wait.h"
#include "peers.h"
#include "planner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "bk/base/log.h"

enum {
    ANSWER_HELD = 64 * 1024, /* bytes of an answer kept before it is passed
                                on, so that a cut one can be replaced */
    STREAM_GAP = 2000,       /* ms; the platform's callers turn away from a
                                stream after the longest of this... */
    GAP_TARGETS = 4,         /* ...so many times the objective... */
    GAP_PAUSES = 8,          /* ...and so many times the pause allowed */
    OUTPUT_WEIGHT = 4,       /* tokens of a prompt that one of an answer is
                                worth of an engine's time, in a batch */
    BEFORE_DEADLINE = 15,    /* ms; an answer at the deadline is too late */
    NO_TIMEOUT = 60000,      /* ms, where neither side names a time */
    WISH_AGAIN = 60,         /* ms until an adapter is asked for again */
    RETRY_NOBODY = 500,      /* ms; Retry-After when no upstream is usable */
    AVOID_FIRST = 300,       /* ms an upstream is avoided after a failure */
    AVOID_MOST = 5000        /* ms, after many in a row */
};

/* of the route's objective, after which a repeatable request that nobody
   answered is sent to another upstream */
static const double replace_after = 0.6;

void
FrRelay_Free(FrRelay *relay)
{
    BkTimer_Destroy(relay->timer);
    BkBuf_Destroy(&relay->head);
    BkBuf_Destroy(&relay->body);
    BkBuf_Destroy(&relay->fields);
    BkBuf_Destroy(&relay->answer);
    free(relay->route);
    free(relay->service);
    free(relay->model);
    free(relay->adapter);
    free(relay);
}

/* the upstream's load without this request */
static void
leave_upstream(FrRelay *relay)
{
    BkUp *up = relay->up;

    if (up == NULL) {
        return;
    }
    if (relay->unread) {
        up->own_prompt -= relay->query.prompt;
        relay->unread = false;
    }
    up->own_running--;
    relay->up = NULL;
    BkUp_Unref(up);
    FrQueue_WakeSoon(relay->front, 0);
}

static void
abort_attempt(FrRelay *relay)
{
    if (relay->link != NULL) {
        FrLink_Abort(relay->link);
        relay->link = NULL;
    }
    leave_upstream(relay);
}

static void
log_end(const FrRelay *relay, int code)
{
    BkMs now = BkClock_Now();

    BkLog_Event(
        BK_LOG_INFO, "relay", relay->id, "answered",
        "s:s, s:s, s:s?, s:s?, s:i, s:s, s:s, s:i, s:i, s:I, s:I, "
        "s:I, s:I, s:I",
        "route", relay->route, "service", relay->service, "model",
        relay->model, "adapter", relay->adapter, "code", code, "why",
        relay->why, "upstream", relay->last_up, "sends", relay->sends, "runs",
        relay->runs, "sent_ms",
        (json_int_t)(relay->sends > 0 ? relay->sent_at - relay->started : -1),
        "first_ms",
        (json_int_t)(relay->first_sent ? relay->first_at - relay->started
                                       : -1),
        "last_ms",
        (json_int_t)(relay->first_sent ? relay->last_at - relay->started : -1),
        "took_ms", (json_int_t)(now - relay->started), "config",
        (json_int_t)(relay->front->site == NULL
                         ? 0
                         : relay->front->site->version));
}

/* the caller has all that it will get */
static void
finish(FrRelay *relay, int code)
{
    FrFront *front = relay->front;

    if (relay->stage == FR_ENDED) {
        return;
    }
    FrQueue_Remove(relay);
    relay->stage = FR_ENDED;
    abort_attempt(relay);
    BkTimer_Stop(relay->timer);
    log_end(relay, code);
    FrMetrics_NoteAnswer(relay, code);
    if (relay->prev != NULL) {
        relay->prev->next = relay->next;
    }
    else {
        front->relays = relay->next;
    }
    if (relay->next != NULL) {
        relay->next->prev = relay->prev;
    }
    front->relay_count--;
    relay->next = front->dead_relays;
    front->dead_relays = relay;
    FrFront_ReapSoon(front);
}

/* after this the caller may already have sent its next request */
static FrCaller *
detach_caller(FrRelay *relay)
{
    FrCaller *caller = relay->caller;

    relay->caller = NULL;
    return caller;
}

void
FrRelay_Refuse(FrRelay *relay, int code, const char *why, BkMs retry_after)
{
    FrCaller *caller = detach_caller(relay);
    bool answering = relay->stage == FR_ANSWERING;

    relay->why = why;
    finish(relay, code);
    if (caller == NULL) {
        return;
    }
    if (answering) {
        FrCaller_Cut(caller);
    }
    else {
        FrCaller_ReplyOwn(caller, code, why, retry_after);
    }
}

void
FrRelay_GiveUp(FrRelay *relay, const char *why, BkMs retry_after)
{
    /* what is under way may have run as well */
    if (relay->runs > 0 || relay->link != NULL) {
        FrRelay_Refuse(relay, 502, why, 0);
    }
    else {
        FrRelay_Refuse(relay, 503, why, retry_after);
    }
}

void
FrRelays_EndAll(FrFront *front)
{
    while (front->relays != NULL) {
        FrRelay_GiveUp(front->relays, "the daemon ends", 0);
    }
}

void
FrRelay_CallerGone(FrRelay *relay)
{
    relay->caller = NULL;
    relay->why = "the caller went away";
    finish(relay, 0);
}

static BkMs
retry_point(const FrRelay *relay)
{
    return relay->sent_at + (BkMs)((double)relay->target * replace_after);
}

static bool
may_run_again(const FrRelay *relay)
{
    return relay->repeatable && relay->runs < relay->attempts;
}

static void
arm_timer(FrRelay *relay, BkMs now)
{
    BkMs at = relay->until;

    if (relay->stage == FR_SENT && relay->kind == BK_ROUTE_SAFE &&
        may_run_again(relay) && retry_point(relay) < at &&
        retry_point(relay) > now) {
        at = retry_point(relay);
    }
    BkTimer_Start(relay->timer, at - now);
}

static bool
spend_repeat(FrRelay *relay, BkMs now)
{
    FrFront *front = relay->front;

    if (FrFront_SpendBudget(front, relay->query.service, now)) {
        BkCounter_Add(front->metrics.repeats, 1);
        return true;
    }
    BkCounter_Add(front->metrics.no_budget, 1);
    return false;
}

static bool
send_to(FrRelay *relay, BkUp *up, BkMs now)
{
    FrFront *front = relay->front;
    BkBuf head = BkBuf_Make(0);
    BkUpstreamHint hint = {.deadline = relay->until - now,
                           .id = up->id,
                           .urgency =
                               relay->query.model == 0 ? -1 : relay->priority,
                           .resumes = relay->has_event,
                           .last_event = relay->last_event};

    if (relay->sends > 0 && !spend_repeat(relay, now)) {
        FrRelay_GiveUp(relay, "the retry budget is spent", RETRY_NOBODY);
        return true;
    }
    BkBuf_Append(&head, BkBuf_Str(&relay->head));
    BkAdapter_PutHint(&head, &hint);
    BkBuf_Append(&head, BK_STR("\r\n"));
    relay->link = FrLink_Send(front, up, relay, BkBuf_Str(&head),
                              BkBuf_Str(&relay->body), relay->bodiless);
    BkBuf_Destroy(&head);
    if (relay->link == NULL) {
        FrRelay_GiveUp(relay, "no connection could be opened", RETRY_NOBODY);
        return true;
    }
    relay->up = BkUp_Ref(up);
    snprintf(relay->last_up, sizeof(relay->last_up), "%s", up->id);
    up->own_running++;
    up->own_prompt += relay->query.prompt;
    relay->unread = true;
    if (relay->query.adapter != 0) {
        FrPlanner_NoteUse(front->planner, up, relay->query.model,
                          relay->query.adapter);
    }
    relay->sends++;
    relay->sent_at = now;
    if (relay->stage == FR_WAITING) {
        relay->stage = FR_SENT;
    }
    BkCounter_Add(front->metrics.sends, 1);
    BkLog_Event(BK_LOG_DEBUG, "relay", relay->id, "sent",
                "s:s, s:i, s:I, s:I, s:i, s:I", "upstream", up->id, "send",
                relay->sends, "waited_ms", (json_int_t)(now - relay->started),
                "unread", (json_int_t)(up->own_prompt + up->others_prompt),
                "running", up->own_running + up->others_running,
                "report_version", (json_int_t)up->row_version);
    arm_timer(relay, now);
    return true;
}

static void
note_tried(FrRelay *relay, const BkUp *up)
{
    BkPickQuery *query = &relay->query;

    if (query->tried_count < BK_PICK_MAX_TRIED) {
        query->tried[query->tried_count++] = up->key;
    }
}

static const BkWaitConf wait_conf = {.margin = 60,
                                     .decide = 1200,
                                     .no_planner = 3000,
                                     .full_return = 400,
                                     .return_share = 0.33};

/* true if it was refused */
static bool
wait_or_refuse(FrRelay *relay, BkWaitCause cause, BkMs now)
{
    static const char *const whys[] = {"those that could serve it are full",
                                       "its adapter is not at hand",
                                       "no engine holds its model"};
    FrFront *front = relay->front;
    BkWaitCase wait = {.cause = cause,
                       .waited = now - relay->started,
                       .patience = relay->patience,
                       .left = relay->until - now,
                       .ready_in = FrComing_In(front, relay->query.model, now),
                       .planner = FrPeers_HasPlanner(front->peers, now),
                       .draw = BkRng_Unit(&front->rng)};
    BkWaitVerdict verdict = BkWait_Judge(&wait_conf, &wait);

    if (!verdict.refuse) {
        FrQueue_Add(relay);
        return false;
    }
    FrRelay_GiveUp(relay, whys[cause], verdict.retry_after);
    return true;
}

bool
FrRelay_Dispatch(FrRelay *relay)
{
    FrFront *front = relay->front;
    BkMs now = BkClock_Now();
    BkPickConf conf = {.window = front->conf.pick_window,
                       .per_run = front->conf.pick_per_run,
                       .affinity = front->conf.pick_affinity,
                       .far = front->conf.pick_far,
                       .full = front->conf.pick_full};
    const BkSiteService *service =
        front->site == NULL ? NULL
                            : BkSite_FindService(front->site, relay->service);

    relay->query.engine = service == NULL ? NULL : service->engine;
    BkPickChoice choice =
        BkPick_Choose(&conf, &front->fleet, &relay->query, now);
    relay->query.engine = NULL; /* the site may be replaced */
    relay->not_held = choice.verdict == BK_PICK_NOT_HELD;
    switch (choice.verdict) {
    case BK_PICK_SEND:
        FrQueue_Remove(relay);
        return send_to(relay, choice.up, now);
    case BK_PICK_ADAPTER:
        if (now - relay->wished_at >= WISH_AGAIN) {
            relay->wished_at = now;
            FrPlanner_Wish(front, choice.up, relay->model, relay->adapter);
        }
        return wait_or_refuse(relay, BK_WAIT_ADAPTER, now);
    case BK_PICK_FULL:
        return wait_or_refuse(relay, BK_WAIT_FULL, now);
    case BK_PICK_NOT_HELD:
        return wait_or_refuse(relay, BK_WAIT_MODEL, now);
    case BK_PICK_ALL_TRIED:
        if (relay->runs > 0 && may_run_again(relay) &&
            relay->sends < BK_PICK_MAX_TRIED) {
            relay->query.tried_count = 0; /* one of them may do by now */
            return FrRelay_Dispatch(relay);
        }
        FrRelay_GiveUp(relay, "every upstream was tried", RETRY_NOBODY);
        return true;
    case BK_PICK_NOBODY:
        FrRelay_GiveUp(relay, "no upstream of the service is usable",
                       RETRY_NOBODY);
        return true;
    }
    return false;
}

static void
blame_upstream(BkUp *up, BkMs now)
{
    BkMs avoid = AVOID_FIRST;

    for (int i = 0; i < up->failures && avoid < AVOID_MOST; i++) {
        avoid *= 2;
    }
    up->failures++;
    up->avoid_until = now + (avoid < AVOID_MOST ? avoid : AVOID_MOST);
}

static void
clear_blame(BkUp *up)
{
    up->failures = 0;
    up->avoid_until = 0;
}

/* another upstream, or the end */
static void
try_again(FrRelay *relay, const char *why)
{
    bool may = relay->runs == 0 || may_run_again(relay);

    if (relay->stage == FR_ANSWERING && !relay->resumable) {
        may = false;
    }
    if (!may) {
        FrRelay_GiveUp(relay, why, RETRY_NOBODY);
        return;
    }
    if (relay->stage == FR_SENT) {
        relay->stage = FR_WAITING;
    }
    BkBuf_Clear(&relay->answer);
    FrRelay_Dispatch(relay);
}

/* the attempt is over without an answer to pass on */
static void
end_attempt(FrRelay *relay, bool ran, bool blame, const char *why)
{
    BkUp *up = relay->up;
    BkMs now = BkClock_Now();

    if (ran) {
        relay->runs++;
    }
    if (blame) {
        blame_upstream(up, now);
    }
    BkLog_Event(BK_LOG_INFO, "relay", relay->id, "attempt failed",
                "s:s, s:s, s:b, s:I, s:i, s:i", "upstream", up->id, "why", why,
                "may_have_run", ran, "after_ms",
                (json_int_t)(now - relay->sent_at), "sends", relay->sends,
                "code", relay->last_code);
    if (!BkAdapter_IsMisdirected(relay->last_code) || ran) {
        note_tried(relay, up); /* else it may hold the model again soon */
    }
    abort_attempt(relay);
    try_again(relay, why);
}

void
FrRelay_TakeEnd(FrRelay *relay, FrLinkEnd end)
{
    relay->link = NULL;
    switch (end) {
    case FR_LINK_DONE:
        break;
    case FR_LINK_UNSENT:
        end_attempt(relay, false, true, "no connection to the upstream");
        return;
    case FR_LINK_SILENT:
        end_attempt(relay, true, true,
                    "the upstream closed without an answer");
        return;
    case FR_LINK_GARBAGE:
        end_attempt(relay, true, true, "what the upstream sent is no answer");
        return;
    case FR_LINK_CUT:
        end_attempt(relay, true, true, "the upstream's answer broke off");
        return;
    }
    clear_blame(relay->up);
    if (relay->code < 300) {
        relay->why = "answered by the upstream";
    }
    FrCaller *caller = detach_caller(relay);
    bool answering = relay->stage == FR_ANSWERING;
    BkBuf fields = relay->fields;
    BkBuf answer = relay->answer;
    relay->fields = BkBuf_Make(0);
    relay->answer = BkBuf_Make(0);
    if (!relay->first_sent) {
        relay->first_sent = true;
        relay->first_at = BkClock_Now();
    }
    finish(relay, relay->code);
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

static void
on_relay_timer(void *arg)
{
    FrRelay *relay = arg;
    BkMs now = BkClock_Now();

    if (now < relay->until) {
        if (relay->stage == FR_SENT) {
            end_attempt(relay, true, false, "no answer in good time");
        }
        else {
            arm_timer(relay, now);
        }
        return;
    }
    if (relay->stage == FR_SENT) {
        relay->runs++;
    }
    if (relay->runs > 0) {
        FrRelay_Refuse(relay, 504, "no answer before the deadline", 0);
    }
    else {
        FrRelay_Refuse(relay, 503, "no upstream was free in time",
                       RETRY_NOBODY);
    }
}

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
            BkUp_HoldsAdapter(up, relay->query.model, relay->query.adapter)) {
            BkUp_SetAdapter(up, relay->query.model, relay->query.adapter,
                            false);
        }
        else {
            BkUp_SetModel(up, relay->query.model, false);
        }
    }
    relay->last_code = head->code;
    release_link(relay);
    end_attempt(relay, false, !stranger && head->code == 503,
                stranger || head->code == 503
                    ? "the upstream refused it"
                    : "the upstream does not hold the model");
    return FR_TAKE_LEFT;
}

static FrTake
take_failure(FrRelay *relay, const char *why)
{
    release_link(relay);
    end_attempt(relay, true, true, why);
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
        relay->up->own_prompt -= relay->query.prompt;
        relay->unread = false;
        FrQueue_WakeSoon(relay->front, 0);
    }
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
    relay->last_at = BkClock_Now();
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
FrRelay_CallerDrained(FrRelay *relay)
{
    if (relay->link != NULL) {
        FrLink_Pause(relay->link, false);
    }
}

static void
build_head(FrRelay *relay, const BkH1Head *head)
{
    BkStr connection = BkH1Head_Find(head, "Connection");

    BkBuf_Append(&relay->head, head->method);
    BkBuf_Append(&relay->head, BK_STR(" "));
    BkBuf_Append(&relay->head, head->target);
    BkBuf_Append(&relay->head, BK_STR(" HTTP/1.1\r\n"));
    for (int i = 0; i < head->count; i++) {
        BkStr name = head->fields[i].name;
        if (BkAdapter_ForwardsField(name) &&
            !BkH1_HasToken(connection, name)) {
            BkH1_PutField(&relay->head, name, head->fields[i].value);
        }
    }
    if (head->chunked || head->length >= 0) {
        BkBuf_Printf(&relay->head, "Content-Length: %zu\r\n", relay->body.len);
    }
}

/* all parts but the last one, which is the request's or session's own */
static uint64_t
hash_shared(const BkCallerSays *says)
{
    uint64_t hash = 0;

    for (int i = 0; i + 1 < says->part_count; i++) {
        hash = XXH64(&says->parts[i].id, sizeof(says->parts[i].id), hash + 1);
    }
    return hash;
}

static void
set_query(FrRelay *relay, const BkSiteRoute *route, const BkCallerSays *says)
{
    BkPickQuery *query = &relay->query;

    query->service = BkStr_Key(BkStr_FromC(relay->service));
    query->domain = relay->front->conf.domain;
    query->prompt = says->prompt;
    if (says->model.len > 0) {
        relay->model = BkStr_Dup(says->model);
        query->model = BkStr_Key(says->model);
    }
    if (says->adapter.len > 0) {
        relay->adapter = BkStr_Dup(says->adapter);
        query->adapter = BkStr_Key(says->adapter);
    }
    if (route->sticky && says->part_count > 1) {
        query->shared = hash_shared(says) ^ query->model;
    }
}

/* callers of streams turn away after a gap, also before the first event */
static BkMs
find_patience(const FrRelay *relay, const BkSiteRoute *route, BkMs wait)
{
    BkMs patience = STREAM_GAP;

    if (relay->kind != BK_ROUTE_STREAM) {
        return wait;
    }
    if (route->target * GAP_TARGETS > patience) {
        patience = route->target * GAP_TARGETS;
    }
    if (route->gap * GAP_PAUSES > patience) {
        patience = route->gap * GAP_PAUSES;
    }
    return patience < wait ? patience : wait;
}

static FrRelay *
create_relay(FrCaller *caller, const BkSiteRoute *route,
             const BkCallerSays *says)
{
    FrFront *front = caller->front;
    FrRelay *relay = BkMem_New(1, sizeof(*relay));
    BkMs wait = route->timeout > 0 ? route->timeout : NO_TIMEOUT;

    relay->front = front;
    relay->caller = caller;
    relay->started = caller->since;
    relay->kind = route->kind;
    relay->resumable = route->kind == BK_ROUTE_STREAM && route->resumable;
    relay->repeatable = route->kind == BK_ROUTE_SAFE || relay->resumable;
    relay->priority = route->priority < 9 ? route->priority : 9;
    relay->attempts = route->attempts;
    relay->target = route->target;
    if (says->deadline > 0 && says->deadline < wait) {
        wait = says->deadline - BEFORE_DEADLINE;
    }
    relay->until = relay->started + wait;
    relay->patience = find_patience(relay, route, wait);
    relay->has_event = false;
    relay->why = "in progress";
    relay->length = -1;
    snprintf(relay->id, sizeof(relay->id), "%.*s", BK_STR_ARG(says->id));
    relay->route = BkStr_Dup(BkStr_FromC(route->name));
    relay->service = BkStr_Dup(
        BkStr_FromC(BkSite_PickService(route, BkRng_Unit(&front->rng))));
    set_query(relay, route, says);
    relay->timer = BkTimer_Create(front->loop, on_relay_timer, relay);
    relay->next = front->relays;
    if (front->relays != NULL) {
        front->relays->prev = relay;
    }
    front->relays = relay;
    front->relay_count++;
    return relay;
}

/* NULL if there is a route; else why the request is rejected */
static const char *
find_fault(const BkCallerSays *says, BkStatus status, BkStr target)
{
    if (status != BK_OK) {
        return "a header field is malformed";
    }
    if (says->id.len == 0 || says->id.len >= FR_REQUEST_ID_BYTES) {
        return "the request has no usable id";
    }
    if (target.len == 0 || target.ptr[0] != '/') {
        return "the target is not a path";
    }
    return NULL;
}

void
FrRelay_Start(FrCaller *caller, const BkH1Head *head)
{
    FrFront *front = caller->front;
    BkCallerSays says;
    BkStatus status = BkAdapter_ReadCaller(head, &says);
    const char *fault = find_fault(&says, status, head->target);
    BkStr target = head->target;
    BkMs now = BkClock_Now();

    if (fault != NULL) {
        FrCaller_ReplyOwn(caller, 400, fault, 0);
        return;
    }
    const BkSiteRoute *route = BkSite_FindRoute(
        front->site, BkH1Head_Find(head, "Host"), BkStr_Split(&target, '?'));
    if (route == NULL) {
        BkLog_Event(BK_LOG_INFO, "relay", NULL, "no route", "s:I", "config",
                    (json_int_t)front->site->version);
        FrCaller_ReplyOwn(caller, 404, "no route leads there", 0);
        return;
    }
    FrRelay *relay = create_relay(caller, route, &says);
    caller->relay = relay;
    relay->bodiless = BkStr_Equal(head->method, BK_STR("HEAD"));
    relay->body = caller->body;
    caller->body = BkBuf_Make(0);
    build_head(relay, head);
    FrFront_EarnBudget(front, relay->query.service, now);
    if (relay->model != NULL) {
        FrPlanner_NoteRequest(front->planner, relay->query.model,
                              says.prompt + OUTPUT_WEIGHT * says.output);
    }
    if (relay->until <= now) {
        FrRelay_Refuse(relay, 503, "the deadline has passed", 0);
        return;
    }
    arm_timer(relay, now);
    FrRelay_Dispatch(relay);
}
