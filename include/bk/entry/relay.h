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
typedef struct BkRelayStart {
    const char *request; /* its id */
    const char *caller;
    const char *item;
    bool repeatable;
    bool service; /* the item is a service, not a model or an adapter */
    bool stream;
    uint64_t prefix_hash;
    BkStr key;              /* Idempotency-Key; used if not repeatable */
    BkMs span;              /* time limit until the first byte */
    const BkTicket *ticket; /* of the stream to resume, or NULL */
    uint64_t last_event; /* id of the last event that the caller got of it */
} BkRelayStart;

/* Upstreams that were tried and are not to be chosen now. */
typedef struct BkTried {
    uint32_t keys[BK_ROUTE_MAX_TRIED]; /* BkBundle_Key */
    int count;
} BkTried;

struct BkRelay {
    BkEntry *entry;
    BkRelay *prev;
    BkRelay *next;
    BkHttpReq *req; /* NULL once it is closed */
    char request[BK_REQUEST_ID_BYTES];
    char *caller;
    char *item;
    char *method;
    char *target; /* path and query sent to the upstream */
    char *type;   /* Content-Type of the request */
    char *key;    /* Idempotency-Key */
    bool repeatable;
    bool service;
    bool stream;
    bool entered;  /* admitted and counted in the fair shares */
    bool answered; /* the caller has its final answer, or has disconnected */
    bool handed_over; /* another entry daemon has resumed the stream */
    uint64_t prefix_hash;
    BkMs started;
    BkMs deadline;
    /* deadline of the first byte; later, pause before the next search for a
       copy, or limit of the time that the caller does not read */
    BkTimer *timer;
    BkTimer *pause; /* before all copies are tried again */

    BkClaimOp *wish;  /* claim in progress, or NULL */
    bool claimed;     /* the claim was written and is not yet settled */
    BkClaimRow claim; /* as written */
    char row_key[BK_CLAIM_DIGEST_HEX]; /* of the claim */

    uint32_t attempt; /* number of the attempt, as sent in X-Attempt */
    int tries;        /* attempts without progress */
    BkTried tried;
    bool ran_before;       /* an earlier attempt may have run */
    BkStatus last_failure; /* to fail with after the last attempt */
    bool from_ticket;      /* only upstreams that hold the stream serve it */
    bool all_gone;         /* every upstream asked so far answered 404 */
    uint32_t up_key;       /* upstream of the current or last attempt */
    char *inst;            /* sent as its X-Instance; NULL: none */
    uint32_t up_boot;
    char up_addr[64];
    bool on_upstream; /* counted by BkRoute_NoteSent */
    BkMs sent_at;
    BkHttpCall *call;  /* the exchange with the upstream, or NULL */
    int code;          /* its HTTP status; 0: none yet */
    bool not_run;      /* the upstream answered X-Not-Run: yes */
    bool resuming;     /* the attempt is GET /v1/streams/... */
    BkMs retry_after;  /* from the upstream; 0: none */
    char *answer_type; /* Content-Type */
    BkBuf answer;      /* answer so far, or events not yet forwarded */
    bool answer_too_large;

    bool opened;       /* the stream to the caller has begun */
    bool blocked;      /* the buffer for the caller is full */
    bool ended;        /* the exchange is over, but events are unsent */
    bool whole_stream; /* [DONE] was forwarded */
    /* the upstream sent an error event or events that are not valid */
    bool bad_stream;
    bool progress; /* the attempt brought at least one new event */
    BkHttpResult result;
    uint64_t delivered; /* id of the last event forwarded */
    BkMs last_event_at;
    BkBuf text;     /* delivered so far; another copy can continue from it */
    bool text_lost; /* text is not complete */
    /* end of the search for a copy to continue the stream; 0: no search */
    BkMs search_until;
};

/* Takes ownership of the request, and answers it or cuts its stream. */
void BkRelay_Start(BkEntry *entry, BkHttpReq *req, const BkRelayStart *spec);

/* Counts all requests in the fair shares of a new bundle. */
void BkRelay_EnterAll(BkEntry *entry);

/* Used by the files of bk-entry only: */

/* Chooses an upstream and starts an attempt there; otherwise waits for one or
 * fails the request. */
void BkRelay_Send(BkRelay *relay);

/* Tries again after a pause, at any copy, including those tried before. */
void BkRelay_SendAgain(void *relay);

/* Starts an attempt at this upstream, an index into the current bundle. */
void BkAttempt_Start(BkRelay *relay, int up);

/* Resumes the stream at the same upstream. */
void BkRelay_Resume(BkRelay *relay);

/* Cancels the current exchange; no more of its bytes are forwarded. */
void BkRelay_Abort(BkRelay *relay);

/* Decides what to do next, when the exchange is over and all of its events
 * have been handled. */
void BkRelay_TakeEnd(BkRelay *relay);

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
void BkRelay_MaybeFree(BkRelay *relay);

/* Receives bytes of an upstream's stream; false if they cannot be accepted
 * now. */
bool BkStream_Take(BkRelay *relay, BkStr data);

/* Forwards the events that have been received. */
void BkStream_Pump(BkRelay *relay);

/* Sends an error event and cuts the stream, so that the caller sees that it
 * is not complete. */
void BkStream_Break(BkRelay *relay, BkStatus status, const char *message,
                    BkMs retry_after);

#endif
