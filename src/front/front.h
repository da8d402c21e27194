/*
 * front - what the files of bk-front share
 *
 * caller.c owns callers' connections, link.c those to upstreams, relay.c a
 * request from its arrival to its last byte (with arrival.c, attempt.c and
 * answer.c), queue.c the requests that wait,
 * sync.c what the store tells. Objects that end inside a callback are freed
 * after the round, by FrFront_Reap.
 */
#ifndef BK_FRONT_FRONT_H
#define BK_FRONT_FRONT_H

#include <stdbool.h>

#include "bk/base/counters.h"
#include "bk/base/loop.h"
#include "bk/base/rng.h"
#include "bk/budget/budget.h"
#include "bk/fleet/fleet.h"
#include "bk/front/adapter.h"
#include "bk/front/conf.h"
#include "bk/h1/h1.h"
#include "bk/net/http_client.h"
#include "bk/net/http_server.h"
#include "bk/pick/pick.h"
#include "bk/site/site.h"
#include "bk/store/store.h"
#include "bk/wait/wait.h"

typedef struct FrFront FrFront;
typedef struct FrCaller FrCaller;
typedef struct FrRelay FrRelay;
typedef struct FrLink FrLink;
typedef struct FrKeeper FrKeeper;
typedef struct FrPeer FrPeer;
typedef struct FrPeers FrPeers;
typedef struct FrPlanner FrPlanner;
typedef struct FrSync FrSync;

enum {
    FR_REQUEST_ID_BYTES = 128,
    FR_MAX_SERVICES = 64,        /* with a retry budget of their own */
    FR_MAX_EXPECTED_MODELS = 64, /* models that are being loaded */
    FR_MAX_QUEUE_PACES = 64      /* kinds of requests that wait */
};

/* How fast the requests for a model leave the queue. */
typedef struct FrQueuePace {
    uint32_t service;
    uint32_t model;
    BkPace pace;
} FrQueuePace;

typedef struct FrServiceBudget {
    uint32_t service;
    BkBudget budget;
} FrServiceBudget;

/* A model that is expected somewhere. */
typedef struct FrExpectedModel {
    uint32_t model;
    BkMs ready_at;
} FrExpectedModel;

/* Counters of the metrics address. */
typedef struct FrMetrics {
    BkCounter *callers; /* open connections */
    BkCounter *waiting; /* requests not yet with an upstream */
    BkCounter *sends;
    BkCounter *repeats;
    BkCounter *no_budget; /* repeats that the budget did not allow */
    BkCounter *connects;
    BkCounter *strays; /* answers to other requests than the one sent */
} FrMetrics;

struct FrFront {
    FrConf conf;
    const char *conf_path;
    BkLoop *loop;
    BkHttpClient *http;
    BkHttpServer *ops;
    BkStore *store;
    BkRng rng;
    uint64_t born; /* start of this process, ms since 1970 */
    BkMs started;
    BkSite *site; /* NULL before the first */
    BkFleet fleet;
    FrSync *sync;
    FrPeers *peers;
    FrKeeper *keeper;
    FrPlanner *planner;
    FrMetrics metrics;
    FrServiceBudget budgets[FR_MAX_SERVICES];
    int budget_count;
    FrExpectedModel expected_models[FR_MAX_EXPECTED_MODELS];
    int expected_model_count;
    FrQueuePace queue_paces[FR_MAX_QUEUE_PACES];
    int queue_pace_count;

    int listen_fd;
    BkWatch *listen_watch;
    FrCaller *callers;
    int caller_count;
    FrRelay *relays;
    int relay_count;
    FrRelay *waiting; /* in the order in which they are served */
    int waiting_count;
    BkTimer *wake_timer; /* looks at those that wait */
    BkTimer *tick;
    BkTimer *reap_timer;
    FrCaller *dead_callers;
    FrRelay *dead_relays;
    FrLink *dead_links;

    bool stopping;
    BkMs stop_at; /* when SIGTERM came */
};

/* front.c */
FrFront *FrFront_Create(const FrConf *conf, const char *conf_path);
void FrFront_Run(FrFront *front);
void FrFront_Destroy(FrFront *front);

/* Whether new connections should come here. */
bool FrFront_IsReady(const FrFront *front);

/* At a planned stop, once new requests could no longer be finished. */
bool FrFront_IsClosing(const FrFront *front);

/* Frees dead objects once no callback is running. */
void FrFront_ReapSoon(FrFront *front);

/* A caller's request for the service came in. */
void FrFront_EarnBudget(FrFront *front, uint32_t service, BkMs now);

/* Takes one repeat of the service's budget, if it is within the limit. */
bool FrFront_SpendBudget(FrFront *front, uint32_t service, BkMs now);

/* Daemons that may share the limits, this one included. */
int FrFront_CountDaemons(const FrFront *front);

/* caller.c */
struct FrCaller {
    FrFront *front;
    int fd;
    BkWatch *watch;
    BkH1Parser *parser; /* NULL between requests */
    BkBuf in;           /* read ahead, behind the present request */
    BkBuf out;
    BkBuf body;
    FrRelay *relay; /* of the present request */
    BkMs since;     /* of the state: idle, or reading a request */
    bool head_checked;
    bool http10;
    bool close_after; /* the present answer is the last one */
    bool chunked;     /* the present answer goes out in chunks */
    bool lingering;   /* our side is closed; the caller's is awaited */
    bool dead;
    bool blocked; /* out is over its limit */
    BkMs idle_limit;
    FrCaller *prev;
    FrCaller *next;
};

BkStatus FrCallers_Listen(FrFront *front);
void FrCallers_StopListening(FrFront *front);

/* Times out those that are idle or slow to send a request. */
void FrCallers_Sweep(FrFront *front, BkMs now);

/* At a planned stop: ends the connections without a request. */
void FrCallers_CloseIdle(FrFront *front);
void FrCaller_Close(FrCaller *caller);
void FrCaller_Free(FrCaller *caller);

/* A whole answer; fields are lines with their ends. Ends the request. */
void FrCaller_Reply(FrCaller *caller, int code, BkStr fields, BkStr body);

/* An answer of our own: no body to speak of, Retry-After if above 0. */
void FrCaller_ReplyOwn(FrCaller *caller, int code, const char *why,
                       BkMs retry_after);

/* An answer in parts; length -1: not known. */
void FrCaller_Begin(FrCaller *caller, int code, BkStr fields, int64_t length);
void FrCaller_Write(FrCaller *caller, BkStr data);
void FrCaller_End(FrCaller *caller);

/* Breaks the answer off so that it cannot look complete. */
void FrCaller_Cut(FrCaller *caller);

/* link.c: connections to one upstream */
struct FrPool {
    FrLink *idle; /* the one used last first */
    FrLink *busy;
    int count;
};

/* The connection's end of an exchange, as the relay sees it. */
typedef enum FrLinkEnd {
    FR_LINK_DONE,    /* the answer is whole */
    FR_LINK_UNSENT,  /* no byte of the request left this VM */
    FR_LINK_SILENT,  /* sent; the connection ended without an answer */
    FR_LINK_GARBAGE, /* what came is no answer */
    FR_LINK_CUT      /* the answer broke off */
} FrLinkEnd;

/* Starts an exchange on a kept or a new connection. */
FrLink *FrLink_Send(FrFront *front, BkUp *up, FrRelay *relay, BkStr head,
                    BkStr body, bool bodiless);

/* The relay needs it no more: closes it, or lets a refusal's rest pass. */
void FrLink_Abort(FrLink *link);
void FrLink_Release(FrLink *link);

/* Stops and goes on reading, while the caller cannot take more. */
void FrLink_Pause(FrLink *link, bool paused);
bool FrLink_IsFresh(const FrLink *link);
void FrLink_FreeDead(FrFront *front);
void FrPool_CloseIdle(BkUp *up, BkMs now, bool all);

/* relay.c, and relay.h for the files that share its work */
typedef enum FrStage {
    FR_WAITING,   /* for an upstream */
    FR_SENT,      /* nothing of an answer is with the caller */
    FR_ANSWERING, /* part of the answer is */
    FR_ENDED
} FrStage;

struct FrRelay {
    FrFront *front;
    FrCaller *caller; /* NULL once it has its answer, or has gone */
    FrStage stage;
    char id[FR_REQUEST_ID_BYTES];
    char *route; /* names, for logs and metrics */
    char *service;
    char *model; /* NULL: none */
    char *adapter;
    BkRouteKind kind;
    bool repeatable;
    bool resumable;
    bool bodiless; /* HEAD */
    int priority;
    int attempts; /* runs that the route allows */
    BkMs target;
    BkMs patience; /* from the start, until the caller gives the request up */
    BkMs started;
    BkMs until; /* the caller's deadline or the route's, the nearer one */
    BkTimer *timer;
    BkPickQuery query;
    BkBuf head; /* request line and forwarded fields */
    BkBuf body;

    uint32_t ask; /* question to the keeper of up; 0: none */
    BkMs asked_at;
    FrPeer *keeper;    /* who was asked */
    FrRelay *ask_prev; /* among those that wait for a keeper */
    FrRelay *ask_next;

    FrLink *link;
    BkUp *up;                          /* of the present attempt */
    char last_up[FR_REQUEST_ID_BYTES]; /* id, of the last attempt */
    BkMs sent_at;
    bool unread; /* its prompt counts as not read there */
    int sends;
    int runs;      /* attempts that may have run */
    int last_code; /* of an answer that was not passed on */

    BkBuf fields; /* of the answer, for the caller */
    int code;
    int64_t length;
    BkBuf answer; /* not yet passed on */
    bool first_sent;
    BkMs first_at;
    BkMs last_at;
    BkMs longest_pause; /* between two pieces of a stream */
    bool has_event;
    uint64_t last_event; /* passed on whole, or that the caller has */
    const char *why;     /* a constant: what decided the outcome */

    BkMs wished_at; /* an adapter was asked for */
    bool not_held;  /* it waits since no engine holds its model */
    bool queued;
    bool waited;       /* in the queue, since the last attempt */
    BkWaitCause cause; /* why it waits */
    FrRelay *queue_prev;
    FrRelay *queue_next;
    FrRelay *prev;
    FrRelay *next;
};

/* Takes the request that the caller has sent whole. */
void FrRelay_Start(FrCaller *caller, const BkH1Head *head);

/* The caller went away. */
void FrRelay_CallerGone(FrRelay *relay);

/* The caller can take more. */
void FrRelay_CallerDrained(FrRelay *relay);

/* Looks for an upstream; false if it goes on waiting. */
bool FrRelay_Dispatch(FrRelay *relay);

/* A final answer of our own. */
void FrRelay_Refuse(FrRelay *relay, int code, const char *why,
                    BkMs retry_after);

/* No more attempts: says that it has not run only if that is so. */
void FrRelay_GiveUp(FrRelay *relay, const char *why, BkMs retry_after);
void FrRelay_Free(FrRelay *relay);

/* The process ends: each gets the truest answer that there is. */
void FrRelays_EndAll(FrFront *front);

/* from link.c */
typedef enum FrTake {
    FR_TAKE_BODY, /* the answer's body is wanted */
    FR_TAKE_SKIP, /* it answers another request: wait for the next answer */
    FR_TAKE_LEFT  /* the relay has let go of the link */
} FrTake;

FrTake FrRelay_TakeHead(FrRelay *relay, const BkH1Head *head);
void FrRelay_TakeBody(FrRelay *relay, BkStr data);
void FrRelay_TakeEnd(FrRelay *relay, FrLinkEnd end);

/* stream.c: passes on whole events; what is left is part of one */
void FrStream_Pass(FrRelay *relay);

/* queue.c */
void FrQueue_Add(FrRelay *relay);
void FrQueue_Remove(FrRelay *relay);

/* Requests for the same model that are served before this one. */
int FrQueue_CountBefore(const FrRelay *relay);
void FrQueue_WakeSoon(FrFront *front, BkMs after);

/* Refuses all that wait: none of them has run. */
void FrQueue_RefuseAll(FrFront *front, const char *why, BkMs retry_after);

/* Tries those that wait, in their order; arg is the front. */
void FrQueue_Look(void *arg);

/* pace.c: how fast those that wait are sent */
FrQueuePace *FrQueuePace_Find(FrFront *front, const BkPickQuery *query);

/* coming.c: when models that nobody holds are expected */
void FrExpected_Note(FrFront *front, uint32_t model, BkMs at);

/* From now; -1 if nothing is known. */
BkMs FrExpected_GetDelay(const FrFront *front, uint32_t model, BkMs now);

/* sync.c */
FrSync *FrSync_Create(FrFront *front);
void FrSync_Destroy(FrSync *sync);

/* Whether the store failed this daemon's last call. */
bool FrSync_IsIll(const FrSync *sync);

/* Another daemon knows the configuration of this version, and changes of
 * reports up to that version of the store. */
void FrSync_TakeNews(FrSync *sync, uint64_t site, uint64_t reports, BkMs now);

/* ops.c */
BkStatus FrOps_Listen(FrFront *front);

/* metrics.c */
FrMetrics FrMetrics_Get(void);
void FrMetrics_NoteAnswer(const FrRelay *relay, int code);

#endif
