/*
 * relay - one caller's request, from admission to its last byte
 *
 *   start --> claiming --> sending --> (streaming) --> answered --> freed
 *               (only non-repeatable)
 *
 * A relay outlives its caller while a non-repeatable call still runs, and
 * its upstream exchange while the answer goes out. Nothing in it points
 * into a bundle or a view, since both may be replaced at any time.
 */
#ifndef BK_ENTRY_RELAY_H
#define BK_ENTRY_RELAY_H

#include "bk/entry/decide.h"
#include "bk/entry/entry.h"

#define BK_REQUEST_ID_BYTES 80

/* What a handler found out about a request before it starts. */
typedef struct BkRelayStart {
    const char *request; /* its id */
    const char *caller;
    const char *item;
    bool repeatable;
    bool service;
    bool stream;
    uint64_t prefix_hash;
    BkStr key;              /* Idempotency-Key; used if not repeatable */
    BkMs span;              /* until the first byte */
    const BkTicket *ticket; /* of a resume, or NULL */
    uint64_t last_event;    /* of a resume */
} BkRelayStart;

typedef struct BkTried {
    uint32_t keys[BK_ROUTE_MAX_TRIED]; /* BkBundle_Key of upstreams */
    int count;
} BkTried;

struct BkRelay {
    BkEntry *entry;
    BkRelay *prev;
    BkRelay *next;
    BkHttpReq *req; /* NULL once the caller is done or gone */
    char request[BK_REQUEST_ID_BYTES];
    char *caller;
    char *item;
    char *method;
    char *target; /* path and query for the upstream */
    char *type;   /* content type of the request */
    char *key;
    bool repeatable;
    bool service;
    bool stream;
    bool entered;     /* counted in the fair shares */
    bool answered;    /* the caller has its final answer, or has gone */
    bool handed_over; /* another entry goes on with the stream */
    uint64_t prefix_hash;
    BkMs started;
    BkMs deadline;
    BkTimer *timer; /* first-byte deadline, then pauses in mid-stream and
                       patience with the reader */
    BkTimer *pause; /* before the only copy is tried again */

    BkClaimOp *wish;
    bool claimed;
    BkClaimRow claim;
    char row_key[BK_CLAIM_DIGEST_HEX];

    uint32_t attempt;
    int tries; /* without progress */
    BkTried tried;
    bool ran_before;       /* an earlier attempt may have run */
    BkStatus last_failure; /* of the last attempt, as seen of all of them */
    bool from_ticket;      /* only holders of the stream can serve it */
    bool all_gone;         /* every holder asked so far said 404 */
    uint32_t up_key;       /* of the present or last attempt */
    char *inst;            /* asked for in it; NULL: none by name */
    uint32_t up_boot;
    char up_addr[64];
    bool on_upstream; /* counted by BkRoute_NoteSent */
    BkMs sent_at;
    BkHttpCall *call;
    int code;
    bool not_run;
    bool resuming;    /* the attempt is GET /v1/streams/... */
    BkMs retry_after; /* as the upstream said */
    char *answer_type;
    BkBuf answer; /* whole answer, or events not yet forwarded */
    bool answer_too_large;

    bool opened;       /* the caller's stream has begun */
    bool blocked;      /* the caller's buffer is full */
    bool ended;        /* the exchange is over, events still wait */
    bool whole_stream; /* [DONE] was forwarded */
    bool bad_stream;
    bool progress;
    BkHttpResult result;
    uint64_t delivered; /* id of the last event forwarded */
    BkMs last_event_at;
    BkBuf text; /* delivered so far, for another copy */
    bool text_lost;
    BkMs search_until; /* mid-stream, for a copy to go on with */
};

/* Takes the request over; answers it in the end. */
void BkRelay_Start(BkEntry *entry, BkHttpReq *req, const BkRelayStart *start);

/* Another bundle: fair shares are counted anew. */
void BkRelay_EnterAll(BkEntry *entry);

/* between the files of the slice */

/* Chooses an upstream and sends. */
void BkRelay_Send(BkRelay *relay);

/* The pause is over: any copy may be tried, also the one that was cut. */
void BkRelay_SendAgain(void *relay);

/* Starts an attempt at this upstream, an index of the present bundle. */
void BkAttempt_Start(BkRelay *relay, int up);

/* Asks the same upstream to go on with the stream. */
void BkRelay_Resume(BkRelay *relay);

/* Stops the present exchange; its bytes are not seen any more. */
void BkRelay_Abort(BkRelay *relay);

/* The exchange is over and no event of it waits. */
void BkRelay_TakeEnd(BkRelay *relay);

/* A final error; closes an open stream by cutting it. */
void BkRelay_Fail(BkRelay *relay, BkStatus status, const char *message,
                  BkMs retry_after);

/* A whole answer; status is what the counters say of it. */
void BkRelay_Deliver(BkRelay *relay, BkStatus status);

/* Marks it answered with this outcome, and frees it when nothing is left. */
void BkRelay_Finish(BkRelay *relay, BkStatus status);
void BkRelay_MaybeFree(BkRelay *relay);

/* Bytes of an upstream's stream; false if they cannot be taken now. */
bool BkStream_Take(BkRelay *relay, BkStr data);

/* Forwards what waits. */
void BkStream_Pump(BkRelay *relay);

/* Shows the caller that the stream is not complete, and cuts it. */
void BkStream_Break(BkRelay *relay, BkStatus status, const char *message,
                    BkMs retry_after);

#endif
