/*
 * front - types and functions shared by the files of bk-front
 *
 * caller.c handles the callers' connections and link.c those to upstreams.
 * relay.c, with arrival.c, attempt.c and answer.c, handles a request from its
 * arrival to the last byte of its response, queue.c the requests that wait
 * for an upstream, and sync.c the data read from the store. Connections and
 * requests may end inside a callback that still uses them, so they are freed
 * later, by the reap timer.
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
typedef struct FrAdmission FrAdmission;
typedef struct FrPeer FrPeer;
typedef struct FrPeers FrPeers;
typedef struct FrPlanner FrPlanner;
typedef struct FrSync FrSync;

enum {
    FR_REQUEST_ID_BYTES = 128,
    FR_MAX_SERVICES = 64,        /* services with a separate retry budget */
    FR_MAX_EXPECTED_MODELS = 64, /* models that are being loaded */
    FR_MAX_QUEUE_PACES = 64      /* services and models with a known pace */
};

/* How fast the requests for a service and model leave the queue. */
typedef struct FrQueuePace {
    uint32_t service;
    uint32_t model;
    BkPace pace;
} FrQueuePace;

typedef struct FrServiceBudget {
    uint32_t service;
    BkBudget budget;
} FrServiceBudget;

/* A model that no engine holds yet and that is being loaded. */
typedef struct FrExpectedModel {
    uint32_t model;
    BkMs ready_at; /* when the first load should be complete */
} FrExpectedModel;

/* Counters shown at the metrics address. */
typedef struct FrMetrics {
    BkCounter *callers;   /* open connections */
    BkCounter *waiting;   /* requests in the queue */
    BkCounter *sends;     /* requests sent to upstreams, including retries */
    BkCounter *repeats;   /* retries */
    BkCounter *no_budget; /* retries that the budget did not allow */
    BkCounter *connects;  /* connections opened to upstreams */
    BkCounter *strays;    /* responses to another request than the one sent */
} FrMetrics;

struct FrFront {
    FrConf conf;
    const char *conf_path;
    BkLoop *loop;
    BkHttpClient *http;
    BkHttpServer *ops;
    BkStore *store;
    BkRng rng;
    uint64_t born; /* wall-clock time of the start, in ms since 1970 */
    BkMs started;  /* the same by the monotonic clock */
    BkSite *site;  /* NULL until a configuration has been read */
    BkFleet fleet;
    FrSync *sync;
    FrPeers *peers;
    FrAdmission *admission;
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
    FrRelay *waiting; /* queue, in the order of service */
    int waiting_count;
    BkTimer *wake_timer; /* tries to send the requests in the queue */
    BkTimer *tick;       /* periodic sweeps */
    BkTimer *reap_timer;
    /* closed or ended, to be freed by the reap timer */
    FrCaller *dead_callers;
    FrRelay *dead_relays;
    FrLink *dead_links;

    bool stopping; /* SIGTERM was received */
    BkMs stop_at;  /* when it was */
};

/* front.c */
FrFront *FrFront_Create(const FrConf *conf, const char *conf_path);
void FrFront_Run(FrFront *front);
void FrFront_Destroy(FrFront *front);

/* Whether the load balancer should send new connections to this daemon. */
bool FrFront_IsReady(const FrFront *front);

/* Whether new requests are refused and the listening socket is closed, which
 * begins some seconds after SIGTERM. */
bool FrFront_IsClosing(const FrFront *front);

/* Frees closed connections and ended requests once no callback is running. */
void FrFront_ReapSoon(FrFront *front);

/* Counts a caller's request, which adds to the service's retry budget. */
void FrFront_EarnBudget(FrFront *front, uint32_t service, BkMs now);

/* Counts one retry if the service's retry budget allows it, else returns
 * false. */
bool FrFront_SpendBudget(FrFront *front, uint32_t service, BkMs now);

/* Number of daemons that may share the retry budget, including this one. */
int FrFront_CountDaemons(const FrFront *front);

/* caller.c: one connection of a caller */
struct FrCaller {
    FrFront *front;
    int fd;
    BkWatch *watch;
    BkH1Parser *parser; /* NULL between requests */
    BkBuf in;           /* bytes read behind the end of the current request */
    BkBuf out;          /* not yet sent */
    BkBuf body;         /* of the current request */
    FrRelay *relay;     /* current request; NULL until it is complete */
    BkMs since; /* start of the current state: idle, reading or lingering */
    bool head_checked;
    bool http10;
    bool close_after; /* close the connection after the current response */
    bool chunked;     /* the current response is sent in chunks */
    bool lingering;  /* shut down for writing; waits for the caller to close */
    bool dead;       /* closed, to be freed */
    bool blocked;    /* out is over its limit: the upstream is not read */
    BkMs idle_limit; /* close the connection after this idle time */
    FrCaller *prev;
    FrCaller *next;
};

BkStatus FrCallers_Listen(FrFront *front);
void FrCallers_StopListening(FrFront *front);

/* Closes connections that are idle for too long, and rejects requests that
 * take too long to arrive. */
void FrCallers_Sweep(FrFront *front, BkMs now);

/* Closes the connections without a request, when the daemon stops. */
void FrCallers_CloseIdle(FrFront *front);

/* Closes the connection and cancels its request. */
void FrCaller_Close(FrCaller *caller);
void FrCaller_Free(FrCaller *caller);

/* Sends a complete response and ends the request. fields: header lines, each
 * with its line end. */
void FrCaller_Reply(FrCaller *caller, int code, BkStr fields, BkStr body);

/* Sends an error response of the daemon itself, with why in a short JSON body,
 * and ends the request. retry_after: for a Retry-After field; 0: none. */
void FrCaller_ReplyOwn(FrCaller *caller, int code, const char *why,
                       BkMs retry_after);

/* Send a response in parts: its head, then any number of parts of the body,
 * then its end, which ends the request. length: of the body; -1: not known. */
void FrCaller_Begin(FrCaller *caller, int code, BkStr fields, int64_t length);
void FrCaller_Write(FrCaller *caller, BkStr data);
void FrCaller_End(FrCaller *caller);

/* Closes the connection in such a way that the caller cannot mistake the part
 * of the response that it has for a complete one. */
void FrCaller_Cut(FrCaller *caller);

/* link.c: connections to one upstream */
struct FrPool {
    FrLink *idle; /* the most recently used first */
    FrLink *busy;
    int count;
};

/* How an exchange, one request and its response on a connection, ended. */
typedef enum FrLinkEnd {
    FR_LINK_DONE,    /* the response is complete */
    FR_LINK_UNSENT,  /* failed before any byte of the request was sent */
    FR_LINK_SILENT,  /* connection lost after sending, before a response */
    FR_LINK_GARBAGE, /* received bytes that are no valid response */
    FR_LINK_CUT      /* connection lost, or malformed data, in the body */
} FrLinkEnd;

/* Sends a request on an idle connection to the upstream, or else on a new one.
 * The response and the end of the exchange are reported by the callbacks in
 * "responses" below, never before this returns. bodiless: a HEAD request. NULL
 * if no connection can be opened. */
FrLink *FrLink_Send(FrFront *front, BkUp *up, FrRelay *request, BkStr head,
                    BkStr body, bool bodiless);

/* The request no longer needs the connection: Abort closes it, Release first
 * reads and discards the rest of the response, so that it can be reused. */
void FrLink_Abort(FrLink *conn);
void FrLink_Release(FrLink *conn);

/* Stops or resumes reading, for a caller that reads more slowly. */
void FrLink_Pause(FrLink *conn, bool paused);

/* Whether this is the first exchange on the connection. */
bool FrLink_IsFresh(const FrLink *conn);
void FrLink_FreeDead(FrFront *front);

/* Closes the upstream's connections that were idle for too long; all: every
 * idle one, and frees the pool when no connection remains. */
void FrPool_CloseIdle(BkUp *up, BkMs now, bool all);

/* relay.c: one request; relay.h has what only the files about it share */
typedef enum FrStage {
    FR_WAITING,   /* for an upstream, or for the answer of its keeper */
    FR_SENT,      /* to an upstream; the response to the caller not begun */
    FR_ANSWERING, /* the head of the response was sent to the caller */
    FR_ENDED
} FrStage;

struct FrRelay {
    FrFront *front;
    FrCaller *caller; /* NULL once it has its response, or disconnected */
    FrStage stage;
    char id[FR_REQUEST_ID_BYTES];
    char *route; /* names of its route, service, model and adapter */
    char *service;
    char *model; /* NULL: none */
    char *adapter;
    BkRouteKind kind;
    bool repeatable; /* may run more than once */
    bool resumable;  /* another upstream may resume a broken stream */
    bool bodiless;   /* HEAD request */
    int priority;    /* 0 (highest) to 9 */
    int attempts;    /* most runs that the route allows */
    BkMs target;     /* latency target of the route */
    /* how long its caller waits for the first byte, counted from started */
    BkMs patience;
    BkMs started;   /* when the caller began to send it */
    BkMs until;     /* earlier deadline of the caller's and the route's */
    BkTimer *timer; /* deadline, or retry of a slow attempt */
    BkPickQuery query;
    BkBuf head; /* request line and forwarded fields */
    BkBuf body; /* of the request */

    /* the question to the keeper of up whether the request may be sent */
    uint32_t ask_number; /* its number; 0: no answer is awaited */
    BkMs asked_at;
    FrPeer *coordinator; /* the daemon that was asked */
    FrRelay *ask_prev;   /* list of the requests that await an answer */
    FrRelay *ask_next;

    FrLink *link;                      /* of the current attempt, like up */
    BkUp *up;                          /* its load includes this request */
    char last_up[FR_REQUEST_ID_BYTES]; /* id of the last upstream */
    BkMs sent_at;                      /* time of the last attempt */
    bool unread;   /* the prompt is counted as unprocessed there */
    int sends;     /* attempts */
    int runs;      /* failed attempts that may have run */
    int last_code; /* status of the last response from an upstream */

    /* response of the upstream */
    BkBuf fields;       /* header lines for the caller */
    int code;           /* status */
    int64_t length;     /* of the body; -1: not known */
    BkBuf answer;       /* part of the body not yet sent to the caller */
    bool first_sent;    /* the response to the caller has begun */
    BkMs first_at;      /* when it began */
    BkMs last_at;       /* when the last part of the body came */
    BkMs longest_pause; /* between two parts of the body */
    bool has_event;     /* last_event is set */
    /* id of the last event that was sent to the caller, or that it already
       had when it sent the request */
    uint64_t last_event;
    const char *why; /* reason of the outcome; static string */

    BkMs wished_at;    /* when the planner was last asked for the adapter */
    bool not_held;     /* at the last try, no engine held its model */
    bool queued;       /* in the queue now */
    bool waited;       /* was in the queue since the last attempt */
    BkWaitCause cause; /* why it was queued */
    FrRelay *queue_prev;
    FrRelay *queue_next;
    FrRelay *prev;
    FrRelay *next;
};

/* Starts to handle a request that the caller has sent completely. */
void FrRelay_Start(FrCaller *caller, const BkH1Head *head);

/* The caller closed its connection. */
void FrRelay_CallerGone(FrRelay *request);

/* The caller's output buffer has room again. */
void FrRelay_CallerDrained(FrRelay *request);

/* Tries to send the request to an upstream. Returns false if it must wait,
 * true if it was sent or has ended. */
bool FrRelay_Dispatch(FrRelay *request);

/* Ends the request with an error response of the daemon itself, or by aborting
 * the response if part of it was sent. */
void FrRelay_Refuse(FrRelay *request, int code, const char *why,
                    BkMs retry_after);

/* Ends the request without further attempts: 502 if it may have run, else 503,
 * which promises the caller that it has not. */
void FrRelay_GiveUp(FrRelay *request, const char *why, BkMs retry_after);
void FrRelay_Free(FrRelay *request);

/* Gives up all requests, before the process exits. */
void FrRelays_EndAll(FrFront *front);

/* responses: called by link.c */

/* What the connection does after the head of a response. */
typedef enum FrTake {
    FR_TAKE_BODY, /* pass the body on to the request */
    FR_TAKE_SKIP, /* skip this response, which is to another request */
    FR_TAKE_LEFT  /* nothing: the request has released the connection */
} FrTake;

/* Called by the connection: the head of a response, a part of its body, and
 * the end of the exchange. */
FrTake FrRelay_TakeHead(FrRelay *request, const BkH1Head *head);
void FrRelay_TakeBody(FrRelay *request, BkStr data);
void FrRelay_TakeEnd(FrRelay *request, FrLinkEnd result);

/* stream.c: sends the complete events of the response to the caller and keeps
 * the part of an incomplete one */
void FrStream_Pass(FrRelay *request);

/* queue.c */
void FrQueue_Add(FrRelay *request);
void FrQueue_Remove(FrRelay *request);

/* Number of requests for the same service and model ahead of this one. */
int FrQueue_CountBefore(const FrRelay *request);

/* Schedules the next try to send the requests in the queue. If one is already
 * scheduled, it stays so unless delay is 0. */
void FrQueue_WakeSoon(FrFront *front, BkMs delay);

/* Ends all requests in the queue. */
void FrQueue_RefuseAll(FrFront *front, const char *why, BkMs retry_after);

/* Timer callback: tries to send the requests in the queue, in their order, and
 * refuses those that would wait too long. arg: the FrFront. */
void FrQueue_Look(void *arg);

/* queue_pace.c: how fast requests leave the queue */
FrQueuePace *FrQueuePace_Find(FrFront *front, const BkPickQuery *query);

/* expected.c: when models that no engine holds yet should be loaded */
void FrExpected_Note(FrFront *front, uint32_t model, BkMs at);

/* The time from now until the model should be loaded; -1: not known. */
BkMs FrExpected_GetDelay(const FrFront *front, uint32_t model, BkMs now);

/* sync.c */
FrSync *FrSync_Create(FrFront *front);
void FrSync_Destroy(FrSync *sync);

/* Whether this daemon's last call to the store failed, or it made none yet. */
bool FrSync_IsStoreFailing(const FrSync *sync);

/* Another daemon has the configuration of version site, and the changes of
 * reports up to version reports of the store. If this daemon lacks any of
 * them, it reads them soon. */
void FrSync_NotePeerVersions(FrSync *sync, uint64_t site, uint64_t reports,
                             BkMs now);

/* ops.c */
BkStatus FrOps_Listen(FrFront *front);

/* metrics.c */
FrMetrics FrMetrics_Get(void);

/* Counts a request that ended with this status; 0: the caller disconnected. */
void FrMetrics_NoteAnswer(const FrRelay *request, int code);

#endif
