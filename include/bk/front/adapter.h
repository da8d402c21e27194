/*
 * adapter - bk-front's interface to the formats of the users' platform
 *
 * The users' platform is the one that runs bk-front, not that of
 * bk/platform/platform.h. This interface is implemented, like store.h, in
 * platform/, the only code that knows that platform's names of header fields,
 * JSON members, tables and paths. Each input is decoded once, into the types
 * below; an input that cannot be decoded is rejected as a whole.
 *
 * BkAdapter in a name is this platform adapter. A field or parameter named
 * adapter is an adapter of a model.
 */
#ifndef BK_FRONT_ADAPTER_H
#define BK_FRONT_ADAPTER_H

#include "bk/fleet/report.h"
#include "bk/h1/h1.h"
#include "bk/site/site.h"

enum {
    BK_MAX_PROMPT_PARTS = 16
};

/* A part of a prompt. Other prompts may begin with the same parts. */
typedef struct BkPromptPart {
    uint64_t id;
    int64_t tokens;
} BkPromptPart;

/* The header fields of a caller's request that describe it. */
typedef struct BkRequestFields {
    BkStr id;                  /* of the request; empty: missing */
    BkMs until_deadline;       /* from now; 0: none */
    BkStr model;               /* empty: none */
    BkStr adapter;             /* of the model; empty: none, as without one */
    int64_t prompt_tokens;     /* tokens of the prompt; 0: unknown */
    int64_t max_output_tokens; /* most tokens of the output; 0: unknown */
    BkPromptPart parts[BK_MAX_PROMPT_PARTS]; /* of the prompt, in order */
    int part_count;
    bool resumes;     /* resumes a stream after last_event */
    BkStr last_event; /* id of an event */
    /* id of the request that brought the first event of that stream; empty:
       not named */
    BkStr resumed_id;
} BkRequestFields;

/* The header fields that the daemon adds to a request to an upstream. */
typedef struct BkForwardFields {
    BkMs until_deadline; /* from now */
    /* the only upstream that may run the request; NULL: any */
    const char *upstream_id;
    int priority; /* priority, 0 (highest) to 9; -1: no such field */
    bool resumes; /* resume the stream after last_event */
    /* id of an event, used instead of the one in the caller's request: text of
       a field value without blanks at its ends */
    BkStr last_event;
} BkForwardFields;

/* What an upstream says of itself in a response. */
typedef struct BkSignals {
    /* requests a second that it takes from all daemons together; negative: it
       names no limit */
    double rate_limit;
    bool bad_rate_limit; /* it names a limit that is no number from 0 on */
    /* requests in a second that it can refuse for want of room without falling
       over; negative: it names none */
    int64_t max_refusals;
    bool bad_max_refusals; /* it names one that is no number from 0 on */
    bool leaving;          /* it gets no new requests from now on */
    bool bad_leaving;      /* the field has another value than the known one */
    /* ms in which it wants nothing from this daemon, named in a refusal (503);
       0: none. At most a day; of several fields, the first counts. */
    BkMs hold_off;
    bool bad_hold_off; /* what it names is no number of seconds from 0 on */
} BkSignals;

/* The header fields of an upstream's response that describe it. */
typedef struct BkResponseFields {
    BkStr request_id;  /* id of the request it responds to; empty: unknown */
    BkStr upstream_id; /* id of the upstream that responds; empty: unknown */
    /* has the seal field, the upstream's receipt for the request; a successful
       response without it counts as a failed attempt */
    bool has_receipt;
    bool not_run;  /* the request was not run there, and will not be */
    bool encoded;  /* the body has a content encoding, not asked for */
    bool has_load; /* running, waiting and slots are set */
    int running;   /* requests */
    int waiting;   /* requests */
    int slots;     /* requests that it can run at the same time */
    BkSignals signals;
} BkResponseFields;

/* Reads the fields of a caller's request; the texts in out are views into
 * head. ERRORS: BK_EINVAL if a field that decides something is repeated or
 * malformed; the message names it. */
BkStatus BkAdapter_ReadRequestFields(const BkH1Head *head,
                                     BkRequestFields *out);

/* Whether a field of a caller's request is forwarded to the upstream: not
 * hop-by-hop fields, nor fields that only the daemon may set. */
bool BkAdapter_ForwardsField(BkStr name);

/* Appends the daemon's fields to the head of a request. */
void BkAdapter_PutForwardFields(BkBuf *out, const BkForwardFields *fields);

/* Reads the fields of an upstream's response; the texts in out are views into
 * head. */
void BkAdapter_ReadResponseFields(const BkH1Head *head, BkResponseFields *out);

/* The signals of a response without any. */
BkSignals BkAdapter_NoSignals(void);

/* Adds what a field of a response says, if it is a signal. A hold-off counts
 * in refusals only, which the program checks. */
void BkAdapter_ReadSignal(BkStr name, BkStr value, BkSignals *out);

/* Whether this status refuses a request or an order because it was meant for
 * another process, or because its model is not loaded there. */
bool BkAdapter_IsMisdirected(int code);

/* Decodes the operators' configuration. ERRORS: NULL with BK_EDECODE as the
 * last error. */
BkSite *BkAdapter_DecodeSite(BkStr text);

/* Decodes an upstream's report; id is the key of its row in the store.
 * ERRORS: BK_EDECODE; out is empty. */
BkStatus BkAdapter_DecodeReport(BkStr id, BkStr text, BkUpReport *out);

/* Tables and keys of the store that the platform and its upstreams write. */
const char *BkAdapter_SiteTable(void);
const char *BkAdapter_SiteKey(void);
const char *BkAdapter_ReportTable(void);

typedef enum BkOrderKind {
    BK_ORDER_LOAD,
    BK_ORDER_UNLOAD
} BkOrderKind;

/* An order to an engine. */
typedef struct BkOrder {
    BkOrderKind kind;
    const char *model;
    const char *adapter; /* NULL: the model itself */
    bool has_expected;
    /* number of orders that the engine must have accepted before, or else
       it refuses this one */
    uint64_t expected_order_count;
    const char *holder; /* name of the daemon that is the planner */
    uint64_t fence;     /* fencing number */
} BkOrder;

typedef enum BkOrderResult {
    BK_ORDER_ACCEPTED,     /* the engine carries it out now */
    BK_ORDER_ALREADY_DONE, /* nothing to do: already loaded or unloaded */
    BK_ORDER_BUSY,         /* not carried out: the engine is busy, has accepted
                          another number of orders, or was not reached */
    BK_ORDER_FENCED,       /* a planner of a newer term has sent an order */
    BK_ORDER_INVALID,      /* invalid order or unknown model */
    BK_ORDER_WRONG_PROCESS, /* another process runs at the address */
    BK_ORDER_UNKNOWN /* outcome unknown: it may be carried out, also later */
} BkOrderResult;

const char *BkAdapter_OrderPath(void);

/* Returns the body of an order as JSON text, to be freed. */
char *BkAdapter_EncodeOrder(const BkOrder *order);

/* The result of an order. answered: a response came, with status code;
 * sent: any part of the order may have reached the engine. */
BkOrderResult BkAdapter_ReadOrderResult(bool answered, bool sent, int code);

/* Appends the header field that names the process which the request or order
 * is meant for, as "name: value" without a line end. */
void BkAdapter_PutExpectedId(BkBuf *out, const char *id);

/* An engine's response to a poll of its state. */
typedef struct BkEngineState {
    bool busy;            /* carrying out an order */
    bool has_order_count; /* order_count is set */
    uint64_t order_count; /* number of orders accepted since its start */
    int running;          /* requests */
    int waiting;          /* requests */
    BkUpReport report;    /* only the models and cached weights are set */
} BkEngineState;

const char *BkAdapter_StatePath(void);

/* ERRORS: BK_EDECODE; out is empty. */
BkStatus BkAdapter_DecodeState(BkStr text, BkEngineState *out);

#endif
