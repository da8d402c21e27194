#include "bk/entry/relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"

enum {
    RETRY_AFTER_MS = 1000 /* when no better value is known */
};

static void on_wait_timer(void *arg);
static void on_close(BkHttpReq *req, bool complete, void *arg);

static char *
dup_string(const char *text)
{
    return BkStr_Dup(BkStr_FromC(text));
}

static BkRelay *
create_relay(BkEntry *entry, BkHttpReq *req, const BkRelaySpec *spec)
{
    BkRelay *relay = BkMem_New(1, sizeof(*relay));

    relay->entry = entry;
    relay->req = req;
    snprintf(relay->request_id, sizeof(relay->request_id), "%s",
             spec->request_id);
    relay->caller = dup_string(spec->caller);
    relay->item = dup_string(spec->item);
    relay->method = BkStr_Dup(BkHttpReq_Method(req));
    relay->target = BkStr_Dup(BkHttpReq_Target(req));
    relay->content_type = BkStr_Dup(BkHttpReq_Header(req, "Content-Type"));
    relay->idempotency_key = BkStr_Dup(spec->idempotency_key);
    relay->repeatable = spec->repeatable;
    relay->service = spec->service;
    relay->stream = spec->stream;
    relay->prefix_hash = spec->prefix_hash;
    relay->started_at = BkClock_Now();
    relay->deadline = relay->started_at + spec->first_byte_timeout;
    relay->answer = BkBuf_Make(entry->conf.max_answer_bytes);
    relay->delivered_text = BkBuf_Make(entry->conf.max_kept_text_bytes);
    relay->wait_timer =
        BkTimer_Create(entry->daemon->loop, on_wait_timer, relay);
    BkTimer_Start(relay->wait_timer, spec->first_byte_timeout);
    relay->retry_timer =
        BkTimer_Create(entry->daemon->loop, BkRelay_OnRetryTimer, relay);
    relay->next = entry->relays;
    if (relay->next != NULL) {
        relay->next->prev = relay;
    }
    entry->relays = relay;
    entry->relay_count++;
    BkCounter_Set(entry->counters.in_flight, entry->relay_count);
    BkHttpReq_OnClose(req, on_close, relay);
    return relay;
}

static void
release_fair_share(BkRelay *relay)
{
    BkEntry *entry = relay->entry;

    if (!relay->admitted) {
        return;
    }
    relay->admitted = false;
    for (int i = 0; i < entry->daemon->bundle->caller_count; i++) {
        if (strcmp(entry->daemon->bundle->callers[i].name, relay->caller) ==
            0) {
            BkFairShare_Release(entry->fair_share, i, BkClock_Now());
            return;
        }
    }
}

static void
free_relay(BkRelay *relay)
{
    BkEntry *entry = relay->entry;

    release_fair_share(relay);
    if (relay->prev != NULL) {
        relay->prev->next = relay->next;
    }
    else {
        entry->relays = relay->next;
    }
    if (relay->next != NULL) {
        relay->next->prev = relay->prev;
    }
    entry->relay_count--;
    BkCounter_Set(entry->counters.in_flight, entry->relay_count);
    BkTimer_Destroy(relay->wait_timer);
    BkTimer_Destroy(relay->retry_timer);
    BkClaim_Clear(&relay->claim);
    BkBuf_Destroy(&relay->answer);
    BkBuf_Destroy(&relay->delivered_text);
    free(relay->answer_content_type);
    free(relay->caller);
    free(relay->item);
    free(relay->instance_name);
    free(relay->method);
    free(relay->target);
    free(relay->content_type);
    free(relay->idempotency_key);
    free(relay);
}

void
BkRelay_FreeIfDone(BkRelay *relay)
{
    if (relay->answered && relay->req == NULL && relay->call == NULL &&
        relay->claim_op == NULL) {
        free_relay(relay);
    }
}

/* counts the request in the caller's fair share, if that allows it */
static BkStatus
admit(BkRelay *relay, BkMs *retry_after)
{
    BkEntry *entry = relay->entry;
    const BkBundle *bundle = entry->daemon->bundle;

    for (int i = 0; i < bundle->caller_count; i++) {
        if (strcmp(bundle->callers[i].name, relay->caller) == 0) {
            BkStatus status = BkFairShare_Admit(entry->fair_share, i,
                                                BkClock_Now(), retry_after);
            relay->admitted = status == BK_OK;
            return status;
        }
    }
    return BkErr_Set(BK_EAUTH, "the caller is not in the bundle any more");
}

void
BkRelay_ReadmitAll(BkEntry *entry)
{
    BkMs ignored = 0;

    for (BkRelay *relay = entry->relays; relay != NULL; relay = relay->next) {
        if (relay->admitted) {
            relay->admitted = false;
            admit(relay, &ignored);
        }
    }
}

void
BkRelay_Finish(BkRelay *relay, BkStatus status)
{
    if (relay->stream_opened && !relay->answered) {
        BkCounter_Add(relay->entry->counters.open_streams, -1);
    }
    if (!relay->answered) {
        BkEntryCounters_NoteOutcome(status);
    }
    relay->answered = true;
    BkTimer_Stop(relay->wait_timer);
    BkTimer_Stop(relay->retry_timer);
}

/* the claim is released only if the call certainly did not run */
static void
settle_claim(BkRelay *relay, BkStatus status)
{
    if (relay->holds_claim &&
        BkStatus_Info(status)->outcome == BK_OUTCOME_NOT_RUN) {
        BkClaimBatcher_Release(relay->entry->claims, relay->row_key,
                               &relay->claim);
    }
    relay->holds_claim = false;
}

void
BkRelay_Fail(BkRelay *relay, BkStatus status, const char *message,
             BkMs retry_after)
{
    char text[256];

    status = BkDecide_FinalStatus(status, relay->may_have_run_before);
    snprintf(text, sizeof(text), "%s",
             message == NULL ? BkStatus_Info(status)->text : message);
    BK_LOG(BK_LOG_NOTICE, "relay", relay->request_id, "%s: %s",
           BkStatus_Info(status)->name, text);
    settle_claim(relay, status);
    if (!relay->answered && relay->req != NULL) {
        if (relay->stream_opened) {
            BkStream_EndWithError(relay, status, text, retry_after);
        }
        else {
            BkEntry_ReplyError(relay->req, relay->request_id, status, text,
                               retry_after);
        }
    }
    BkRelay_Finish(relay, status);
    BkRelay_FreeIfDone(relay);
}

/* Queues the outcome for writing to the table. This is called before the
 * answer is sent, so that no caller sees an outcome that is not queued. */
static void
record_outcome(BkRelay *relay, int http_status, const char *type, BkStr body)
{
    BkClaimRow outcome = relay->claim;

    outcome.code = http_status;
    outcome.type = (char *)type;
    outcome.too_large = relay->answer_too_large;
    outcome.body = BkBuf_Make(0);
    if (!outcome.too_large) {
        BkBuf_Append(&outcome.body, body);
    }
    BkClaimBatcher_Record(relay->entry->claims, relay->row_key, &outcome);
    BkBuf_Destroy(&outcome.body);
    relay->holds_claim = false;
}

void
BkRelay_Deliver(BkRelay *relay, BkStatus status)
{
    const char *type =
        relay->answer_content_type == NULL ? "" : relay->answer_content_type;
    char id_header[96];
    const char *const headers[] = {id_header, NULL};

    snprintf(id_header, sizeof(id_header), "X-Request-Id: %s",
             relay->request_id);
    if (relay->holds_claim) {
        record_outcome(relay, relay->http_status, type,
                       BkBuf_Str(&relay->answer));
    }
    if (relay->answer_too_large) {
        BkRelay_Fail(relay, BK_EUPSTREAM,
                     "it ran; its answer is larger than the limit", 0);
        return;
    }
    if (!relay->answered && relay->req != NULL) {
        BkLatency_Note(&relay->entry->counters.first_byte,
                       BkClock_Now() - relay->started_at);
        BkHttpReq_Reply(relay->req, relay->http_status, headers,
                        BkStr_FromC(type), BkBuf_Str(&relay->answer));
    }
    BkBuf_Destroy(&relay->answer);
    BkRelay_Finish(relay, status);
    BkRelay_FreeIfDone(relay);
}

static void
replay_outcome(BkRelay *relay, const BkClaimRow *row)
{
    char id_header[96];
    const char *const headers[] = {id_header, "Idempotent-Replayed: true",
                                   NULL};

    BkCounter_Add(relay->entry->counters.replays, 1);
    if (row->too_large) {
        BkRelay_Fail(relay, BK_EGONE,
                     "it ran; its answer was too large to keep", 0);
        return;
    }
    snprintf(id_header, sizeof(id_header), "X-Request-Id: %s",
             relay->request_id);
    BkHttpReq_Reply(relay->req, row->code, headers, BkStr_FromC(row->type),
                    BkBuf_Str(&row->body));
    BkRelay_Finish(relay, BK_OK);
    BkRelay_FreeIfDone(relay);
}

static void
copy_claim(BkRelay *relay, const BkClaimRow *row)
{
    relay->holds_claim = true;
    relay->claim.state = BK_CLAIM_CLAIMED;
    relay->claim.version = row->version;
    memcpy(relay->claim.nonce, row->nonce, sizeof(row->nonce));
    memcpy(relay->claim.request_digest, row->request_digest,
           sizeof(row->request_digest));
}

static void
on_claim_result(BkStatus status, BkClaimVerdict verdict, const BkClaimRow *row,
                void *arg)
{
    BkRelay *relay = arg;

    relay->claim_op = NULL;
    if (status != BK_OK) {
        BkRelay_Fail(relay, status, NULL, RETRY_AFTER_MS);
        return;
    }
    switch (verdict) {
    case BK_CLAIM_OWNED:
        copy_claim(relay, row);
        BkRelay_Send(relay);
        return;
    case BK_CLAIM_REPLAY:
        replay_outcome(relay, row);
        return;
    case BK_CLAIM_KEY_REUSED:
        BkRelay_Fail(relay, BK_EKEYREUSED, NULL, 0);
        return;
    case BK_CLAIM_BUSY:
    case BK_CLAIM_MAY_CLAIM:
        break;
    }
    BkRelay_Fail(relay, BK_EINPROGRESS, NULL, RETRY_AFTER_MS);
}

static void
start_claim(BkRelay *relay)
{
    char nonce[BK_CLAIM_NONCE_BYTES * 2 + 1];
    char digest[BK_CLAIM_HEX_SIZE];

    BkClaim_MakeNonce(nonce);
    BkClaim_RowKey(BkStr_FromC(relay->caller),
                   BkStr_FromC(relay->idempotency_key), relay->row_key);
    BkClaim_RequestDigest(BkStr_FromC(relay->method),
                          BkStr_FromC(relay->target),
                          BkHttpReq_Body(relay->req), digest);
    BkCounter_Add(relay->entry->counters.claims, 1);
    relay->claim_op =
        BkClaimBatcher_Claim(relay->entry->claims, relay->row_key, nonce,
                             digest, on_claim_result, relay);
}

static void
start_resume(BkRelay *relay, const BkRelaySpec *spec)
{
    const BkTicket *ticket = spec->ticket;

    relay->from_ticket = true;
    relay->all_not_found = true;
    relay->last_delivered_id = spec->last_event_id;
    relay->delivered_text_incomplete = true;
    /* greater than any number that the issuer can have used since */
    relay->attempt =
        ticket->attempt +
        (uint32_t)relay->entry->conf.max_attempts_without_progress;
    relay->up_name_hash = ticket->upstream_name_hash;
    relay->up_boot = ticket->boot;
    BkCancel_Unschedule(relay->entry, relay->request_id);
    BkCancel_NotifyResumed(relay->entry, ticket->issuer_ops_address,
                           relay->request_id);
    BkRelay_Send(relay);
}

void
BkRelay_Start(BkEntry *entry, BkHttpReq *req, const BkRelaySpec *spec)
{
    BkRelay *relay = create_relay(entry, req, spec);
    BkMs retry_after = 0;
    BkStatus status = admit(relay, &retry_after);

    if (status != BK_OK) {
        BkRelay_Fail(relay, status, BkErr_Last(), retry_after);
        return;
    }
    BkEntryDemand_NoteRequest(entry->demand, relay->item);
    BkRetryBucket_CountRequest(&entry->retry_budget);
    if (spec->ticket != NULL) {
        start_resume(relay, spec);
    }
    else if (relay->repeatable) {
        BkRelay_Send(relay);
    }
    else {
        start_claim(relay);
    }
}

/* Cancels the attempt. If the caller has begun to receive the stream, it may
 * resume it, here or at another entry daemon, so the upstream keeps the stream
 * for the grace period. */
static void
cancel_attempt(BkRelay *relay)
{
    bool may_resume = relay->stream_opened || relay->from_ticket;

    BkRelay_AbortCall(relay);
    if (!relay->service && !relay->handed_over) {
        BkCancel_Schedule(relay->entry, relay->request_id, relay->up_addr,
                          may_resume ? relay->entry->conf.resume_grace : 0);
    }
}

/* The caller has disconnected: cancels what only it needed. A non-repeatable
 * call that was sent continues. */
static void
cancel_unneeded(BkRelay *relay)
{
    if (relay->claim_op != NULL) {
        BkClaimBatcher_Cancel(relay->claim_op);
        relay->claim_op = NULL;
    }
    if (relay->call != NULL && relay->repeatable) {
        cancel_attempt(relay);
    }
    /* between two attempts, and none so far can have run the call */
    if (relay->call == NULL && relay->holds_claim &&
        !relay->may_have_run_before) {
        settle_claim(relay, BK_ENOTREADY);
    }
}

static void
on_close(BkHttpReq *req, bool complete, void *arg)
{
    BkRelay *relay = arg;

    (void)req;
    (void)complete;
    relay->req = NULL;
    if (!relay->answered) {
        BK_LOG(BK_LOG_INFO, "relay", relay->request_id, "the caller has gone");
        cancel_unneeded(relay);
        BkRelay_Finish(relay, BK_EGONE);
    }
    BkRelay_FreeIfDone(relay);
}

static void
on_deadline(BkRelay *relay)
{
    if (relay->claim_op != NULL) {
        BkClaimBatcher_Cancel(relay->claim_op);
        relay->claim_op = NULL;
        BkRelay_Fail(relay, BK_EPLATFORM, NULL, RETRY_AFTER_MS);
        return;
    }
    /* a non-repeatable call continues, and its outcome will be recorded */
    if (relay->call != NULL && relay->repeatable) {
        cancel_attempt(relay);
    }
    else if (relay->call != NULL) {
        BkEntry_ReplyError(relay->req, relay->request_id, BK_ETIMEOUT,
                           "no answer yet; ask again with the same key",
                           RETRY_AFTER_MS);
        BkRelay_Finish(relay, BK_ETIMEOUT);
        return;
    }
    BkRelay_Fail(relay, BK_ETIMEOUT, NULL, RETRY_AFTER_MS);
}

static void
on_wait_timer(void *arg)
{
    BkRelay *relay = arg;

    if (relay->answered) {
        return;
    }
    if (!relay->stream_opened) {
        on_deadline(relay);
    }
    else if (relay->blocked) {
        cancel_attempt(relay);
        BkRelay_Fail(relay, BK_ETIMEOUT, "the caller does not read", 0);
    }
    else if (relay->call == NULL && !relay->call_ended) {
        BkRelay_Send(relay);
    }
}
