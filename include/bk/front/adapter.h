/*
 * adapter - what bk-front needs of the users' platform
 *
 * platform/ implements this and store.h, and alone knows the platform's
 * names. Everything is decoded once, here into types whose fields say what
 * they hold; what cannot be decoded is refused whole.
 */
#ifndef BK_FRONT_ADAPTER_H
#define BK_FRONT_ADAPTER_H

#include "bk/fleet/report.h"
#include "bk/h1/h1.h"
#include "bk/site/site.h"

enum {
    BK_CALLER_MAX_PARTS = 16
};

/* A part of a prompt; other prompts may begin with the same parts. */
typedef struct BkPromptPart {
    uint64_t id;
    int64_t tokens;
} BkPromptPart;

/* What a caller says of its request, in header fields. */
typedef struct BkCallerSays {
    BkStr id;       /* of the request; empty: none */
    BkMs deadline;  /* from now; 0: none given */
    BkStr model;    /* empty: none asked for */
    BkStr adapter;  /* of the model; empty: none */
    int64_t prompt; /* tokens of the prompt; 0: not told */
    int64_t output; /* tokens at most */
    BkPromptPart parts[BK_CALLER_MAX_PARTS]; /* of the prompt, in order */
    int part_count;
    bool resumes;        /* goes on with a stream... */
    uint64_t last_event; /* ...behind this event */
} BkCallerSays;

/* What the daemon adds for the upstream. */
typedef struct BkUpstreamHint {
    BkMs deadline;       /* from now */
    const char *id;      /* only this upstream may run it */
    int urgency;         /* 0 (first) to 9; -1: not told */
    bool resumes;        /* goes on behind last_event, in place of what the */
    uint64_t last_event; /* caller asked for */
} BkUpstreamHint;

/* What an upstream's answer says besides its status. */
typedef struct BkUpstreamSays {
    BkStr request;  /* id of the request that it answers; empty: not told */
    BkStr upstream; /* id of who answers; empty: not told */
    bool sealed;    /* bears the upstream's receipt */
    bool not_run;   /* the request did not run there, and will not */
    bool encoded;   /* the body is not the plain one asked for */
    bool has_load;
    int running; /* load, if told */
    int waiting;
    int slots;
} BkUpstreamSays;

/* ERRORS: BK_EINVAL for a number that is none. Views into head. */
BkStatus BkAdapter_ReadCaller(const BkH1Head *head, BkCallerSays *out);

/* Whether a caller's field goes on to the upstream: not those of a single
 * connection, and none that only the daemon may set. */
bool BkAdapter_ForwardsField(BkStr name);

/* Adds the daemon's fields to a request. */
void BkAdapter_PutHint(BkBuf *out, const BkUpstreamHint *hint);

void BkAdapter_ReadUpstream(const BkH1Head *head, BkUpstreamSays *out);

/* The answer to a refused order or request that names the wrong process or a
 * model that is not held. */
bool BkAdapter_IsMisdirected(int code);

/* Decodes the operators' text. ERRORS: NULL with BK_EDECODE as last error. */
BkSite *BkAdapter_DecodeSite(BkStr text);

/* Decodes an upstream's report; id is the row's key.
 * ERRORS: BK_EDECODE; out is empty. */
BkStatus BkAdapter_DecodeReport(BkStr id, BkStr text, BkUpReport *out);

/* Tables and keys of the store that others write. */
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
    uint64_t expected; /* orders that the engine has accepted so far */
    const char *holder;
    uint64_t fence;
} BkOrder;

typedef enum BkOrderResult {
    BK_ORDER_ACCEPTED, /* it is being carried out */
    BK_ORDER_HOLDS,    /* it was so already */
    BK_ORDER_BUSY,     /* another order, or another count of orders */
    BK_ORDER_FENCED,   /* a newer holder has ordered */
    BK_ORDER_BAD,      /* there is no such order, or no such model */
    BK_ORDER_STRANGER, /* another process answers there */
    BK_ORDER_DOUBT     /* no answer: it may be carried out, also later */
} BkOrderResult;

/* Path, and body as JSON text to be freed. */
const char *BkAdapter_OrderPath(void);
char *BkAdapter_EncodeOrder(const BkOrder *order);
BkOrderResult BkAdapter_ReadOrderResult(bool answered, bool sent, int code);

/* "name: value" of the field that says which process is meant. */
void BkAdapter_PutExpectedId(BkBuf *out, const char *id);

/* What an engine tells when it is asked. */
typedef struct BkEngineState {
    bool busy; /* carries an order out */
    bool has_orders;
    uint64_t orders;
    int running;
    int waiting;
    BkUpReport held; /* only models and at-hand lists are set */
} BkEngineState;

const char *BkAdapter_StatePath(void);

/* ERRORS: BK_EDECODE; out is empty. */
BkStatus BkAdapter_DecodeState(BkStr text, BkEngineState *out);

#endif
