/*
 * relay - one caller's request, from admission to the last byte of its answer
 *
 *   start --> claiming --> sending --> (streaming) --> answered --> freed
 *               (only non-repeatable)
 *
 * A relay outlives its caller's connection while a non-repeatable call still
 * runs, and its exchange with the upstream while the answer is being sent.
 * Nothing in it points into a bundle or a view, since both may be replaced at
 * any time.
 */
#ifndef BK_ENTRY_RELAY_H
#define BK_ENTRY_RELAY_H

#include "bk/entry/decide.h"
#include "bk/entry/entry.h"

#define BK_REQUEST_ID_BYTES 80

/* What the handler of a path passes on about a request. */
typedef struct BkRelaySpec {
    const char *request_id;
    const char *caller;
    const char *item;
    bool repeatable;
    bool service; /* the item is a service, not a model or an adapter */
    bool stream;
    uint64_t prefix_hash;
    BkStr idempotency_key;   /* Idempotency-Key; used if not repeatable */
    BkMs first_byte_timeout; /* time limit until the first byte */
    const BkTicket *ticket;  /* of the stream to resume, or NULL */
    /* id of the last event of that stream that the caller has received */
    uint64_t last_event_id;
} BkRelaySpec;

/* Upstreams that were tried and are not to be chosen now. */
typedef struct BkTriedUpstreams {
    uint32_t name_hashes[BK_ROUTE_MAX_TRIED]; /* BkBundle_NameHash */
    int count;
} BkTriedUpstreams;

struct BkRelay {
    BkEntry *entry;
    BkRelay *prev;
    BkRelay *next;
    BkHttpReq *req; /* NULL once it is closed */
    char request_id[BK_REQUEST_ID_BYTES];
    char *caller;
    char *item;
    char *method;
    char *target;          /* path and query sent to the upstream */
    char *content_type;    /* Content-Type of the request */
    char *idempotency_key; /* Idempotency-Key */
    bool repeatable;
    bool service;
    bool stream;
    bool admitted; /* admitted and counted in the fair shares */
    bool answered; /* the caller has its final answer, or has disconnected */
    bool handed_over; /* another entry daemon has resumed the stream */
    uint64_t prefix_hash;
    BkMs started_at;
    BkMs deadline;
    /* Before the first byte: the deadline for it. While the caller does not
       read: the limit of that. In mid-stream without an upstream: the pause
       before the next search for a copy. */
    BkTimer *wait_timer;
    BkTimer *retry_timer; /* before all copies are tried again */

    BkClaimOp *claim_op; /* claim in progress, or NULL */
    bool holds_claim;    /* the claim was written and is not yet settled */
    BkClaimRow claim;    /* as written */
    char row_key[BK_CLAIM_HEX_SIZE]; /* of the claim */

    uint32_t attempt; /* number of the attempt, as sent in X-Attempt */
    int attempts_without_progress;
    BkTriedUpstreams tried;
    bool may_have_run_before; /* an earlier attempt may have run */
    BkStatus last_failure;    /* to fail with after the last attempt */
    /* resumes a stream by its ticket, so only an upstream that holds the
       stream can continue it */
    bool from_ticket;
    bool all_not_found;    /* every upstream asked so far answered 404 */
    uint32_t up_name_hash; /* upstream of the current or last attempt */
    /* name of the model instance asked for in the attempt (X-Instance); NULL:
       none */
    char *instance_name;
    uint32_t up_boot; /* boot id of that upstream; changes when it restarts */
    char up_addr[64];
    bool counted_at_upstream; /* counted by BkRoute_NoteSent */
    BkMs sent_at;
    BkHttpCall *call;          /* the exchange with the upstream, or NULL */
    int http_status;           /* its HTTP status; 0: none yet */
    bool not_run;              /* the upstream answered X-Not-Run: yes */
    bool resuming;             /* the attempt is GET /v1/streams/... */
    BkMs retry_after;          /* from the upstream; 0: none */
    char *answer_content_type; /* Content-Type */
    BkBuf answer;              /* answer so far, or events not yet forwarded */
    bool answer_too_large;

    bool stream_opened;   /* the stream to the caller has begun */
    bool blocked;         /* the buffer for the caller is full */
    bool call_ended;      /* the exchange is over, but events are unsent */
    bool stream_complete; /* [DONE] was forwarded */
    /* the upstream sent an error event or events that are not valid */
    bool stream_broken;
    bool progress; /* the attempt brought at least one new event */
    BkHttpResult result;
    uint64_t last_delivered_id; /* id of the last event forwarded */
    BkMs last_event_at;
    /* delivered so far; another copy can continue from it */
    BkBuf delivered_text;
    /* some delivered text is not in delivered_text, so no other copy can
       continue */
    bool delivered_text_incomplete;
    /* end of the search for a copy to continue the stream; 0: no search */
    BkMs search_until;
};

/* Takes ownership of the request, and answers it or cuts its stream. */
void BkRelay_Start(BkEntry *entry, BkHttpReq *req, const BkRelaySpec *spec);

/* Counts all requests in the fair shares of a new bundle. */
void BkRelay_ReadmitAll(BkEntry *entry);

/* Used by the files of bk-entry only: */

/* Chooses an upstream and starts an attempt there; otherwise waits for one or
 * fails the request. */
void BkRelay_Send(BkRelay *relay);

/* The pause after a failure is over: tries again, at any copy, including those
 * tried before. */
void BkRelay_OnRetryTimer(void *relay);

/* Starts an attempt at this upstream, an index into the current bundle. */
void BkAttempt_Start(BkRelay *relay, int up);

/* Resumes the stream at the same upstream. */
void BkRelay_ResumeStream(BkRelay *relay);

/* Cancels the current exchange; no more of its bytes are forwarded. */
void BkRelay_AbortCall(BkRelay *relay);

/* Decides what to do next, when the exchange is over and all of its events
 * have been handled. */
void BkRelay_HandleAttemptEnd(BkRelay *relay);

/* Answers with an error, or cuts the stream if it is open. message NULL: the
 * standard text of the status. */
void BkRelay_Fail(BkRelay *relay, BkStatus status, const char *message,
                  BkMs retry_after);

/* Answers with the buffered answer; status is for the counters. */
void BkRelay_Deliver(BkRelay *relay, BkStatus status);

/* Marks the request answered, counts this outcome if it was not answered
 * before, and stops its timers. */
void BkRelay_Finish(BkRelay *relay, BkStatus status);

/* Frees the relay if it is answered and nothing refers to it. */
void BkRelay_FreeIfDone(BkRelay *relay);

/* Receives bytes of an upstream's stream; false if they cannot be accepted
 * now. */
bool BkStream_OnData(BkRelay *relay, BkStr data);

/* Forwards the events that have been received. */
void BkStream_Forward(BkRelay *relay);

/* Sends an error event and cuts the stream, so that the caller sees that it
 * is not complete. */
void BkStream_EndWithError(BkRelay *relay, BkStatus status,
                           const char *message, BkMs retry_after);

#endif
