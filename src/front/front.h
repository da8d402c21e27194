/*
 * front - types and functions shared by the files of bk-front
 *
 * caller.c handles the callers' connections and up_conn.c those to upstreams.
 * request.c, with arrival.c, attempt.c and response.c, handles a request from
 * its arrival to the last byte of its response, queue.c the requests that wait
 * for an upstream, and sync.c the data read from the store. Connections and
 * requests may end inside a callback that still uses them, so they are freed
 * later, by the reap timer.
 */
#ifndef BK_FRONT_FRONT_H
#define BK_FRONT_FRONT_H

#include <netinet/in.h>
#include <stdbool.h>

#include "bk/base/counters.h"
#include "bk/base/loop.h"
#include "bk/base/rng.h"
#include "bk/budget/budget.h"
#include "bk/fleet/fleet.h"
#include "bk/front/adapter.h"
#include "bk/front/conf.h"
#include "bk/h1/h1.h"
#include "bk/memory/memory.h"
#include "bk/net/http_client.h"
#include "bk/net/http_server.h"
#include "bk/pick/pick.h"
#include "bk/site/site.h"
#include "bk/stop/stop.h"
#include "bk/store/store.h"
#include "bk/wait/wait.h"

typedef struct FrFront FrFront;
typedef struct FrCallerConn FrCallerConn;
typedef struct FrRequest FrRequest;
typedef struct FrUpConn FrUpConn;
typedef struct FrAdmission FrAdmission;
typedef struct FrLinks FrLinks;
typedef struct FrOrigins FrOrigins;
typedef struct FrPeer FrPeer;
typedef struct FrPeers FrPeers;
typedef struct FrPlanner FrPlanner;
typedef struct FrQuarantine FrQuarantine;
typedef struct FrSync FrSync;

enum {
    FR_UP_ID_BYTES = 128,      /* of an upstream's id in the log */
    FR_SOFTWARE_BYTES = 32,    /* of a software version in the log */
    FR_MAX_SERVICES = 64,      /* services with a separate retry budget */
    FR_MAX_QUEUE_PACES = 4096, /* services and models with a known pace */
    FR_MAX_DETOURS = 4,   /* daemons by way of which one request is sent */
    FR_MAX_REFUSED_BY = 8 /* upstreams that are remembered as refusing one */
};

/* How fast the requests for a service and model leave the queue, and how long
   their runs take. */
typedef struct FrQueuePace {
    uint32_t service;
    uint32_t model;
    BkPace pace;
    BkRunTime run_time;
} FrQueuePace;

typedef struct FrServiceBudget {
    uint32_t service;
    BkBudget budget;
    /* requests that were counted and are not logged yet, and the last one's
       time; see budget_inputs.h */
    int unlogged_count;
    BkMs unlogged_at;
} FrServiceBudget;

/* A service whose upstreams fall over when they refuse many requests. */
typedef struct FrBrittleService {
    uint32_t service;
    BkMs named_at; /* when one of them last said so */
} FrBrittleService;

/* A model that the planner loads, or will load, on an engine. */
typedef struct FrExpectedModel {
    uint32_t model;
    BkMs ready_at; /* when the first load is expected to end */
} FrExpectedModel;

#define FR_FAR_BYTES_HELP                                                     \
    "bytes sent to or received from other failure domains"

/* Counters shown at the metrics address. */
typedef struct FrMetrics {
    BkCounter *callers;   /* open connections */
    BkCounter *waiting;   /* requests in the queue */
    BkCounter *sends;     /* requests sent to upstreams, including retries */
    BkCounter *retries;   /* retries */
    BkCounter *hold_offs; /* upstreams that asked for a pause */
    BkCounter *retries_denied; /* retries that the budget did not allow */
    BkCounter *connects;       /* connections opened to upstreams */
    BkCounter *detours;        /* requests sent by way of other daemons */
    /* bytes to and from upstreams in other failure domains; see
       FrPeers_Send for those to other daemons */
    BkCounter *far_request_bytes;
    BkCounter *far_response_bytes;
    /* responses to another request than the one sent */
    BkCounter *stray_responses;
    BkCounter *memory;       /* bytes of connections and requests */
    BkCounter *memory_ended; /* connections ended for want of memory */
} FrMetrics;

/* Why a daemon does not take a request that came by way of another one. */
typedef enum FrRefusal {
    FR_NOT_REFUSED,
    FR_REFUSED_ELSEWHERE, /* it cannot serve it, but another one may */
    FR_REFUSED_FULL,      /* it serves it only if no other one does */
    /* like elsewhere, but an upstream has refused the request */
    FR_REFUSED_AFTER_ARRIVAL
} FrRefusal;

typedef struct FrListener {
    FrFront *front;
    int fd; /* -1: it is closed */
    BkWatch *watch;
} FrListener;

struct FrFront {
    FrConf conf;
    const char *conf_path;
    BkLoop *loop;
    BkHttpClient *http;
    BkHttpServer *ops_server;
    BkStore *store;
    BkRng rng;
    /* wall-clock time of the start, in ms since 1970 */
    uint64_t wall_started_at;
    BkMs started_at;        /* the same by the monotonic clock */
    bool first_start_known; /* see FrFront_IsFirstStart */
    BkSite *site;           /* NULL until a configuration has been read */
    BkMs site_since;        /* when it came into force here */
    uint64_t site_hash;     /* of the row of the configuration */
    uint64_t site_era;      /* newest era of the store in which it was read */
    BkFleet fleet;
    FrSync *sync;
    FrPeers *peers;
    FrAdmission *admission;
    FrLinks *links;
    FrOrigins *origins;
    FrPlanner *planner;
    FrQuarantine *quarantine;
    FrMetrics metrics;
    FrServiceBudget budgets[FR_MAX_SERVICES];
    int budget_count;
    FrBrittleService brittle_services[FR_MAX_SERVICES];
    int brittle_count;
    FrExpectedModel *expected_models;
    int expected_model_count;
    int expected_model_cap;
    FrQueuePace *queue_paces;
    int queue_pace_count;
    int queue_pace_cap;

    FrListener callers_listener;
    FrListener peers_listener; /* for requests of other daemons: detour.h */
    FrCallerConn *caller_conns;
    int caller_conn_count;
    FrRequest *requests;
    int request_count;
    int relayed_count;     /* of these, came by way of another daemon */
    FrRequest *queue_head; /* queued requests; the next one to send is first */
    int queue_length;
    BkTimer *queue_timer; /* tries to send the requests in the queue */
    /* runs periodically: closes idle connections, expires upstreams and
       continues a stop */
    BkTimer *sweep_timer;
    BkTimer *reap_timer;
    /* closed or ended, to be freed by the reap timer */
    FrCallerConn *dead_caller_conns;
    FrRequest *dead_requests;
    FrUpConn *dead_up_conns;

    int64_t unread_bytes;       /* see memory.c */
    BkMemoryLevel memory_level; /* as last logged */
    BkMs memory_stepped_at;
    bool stopping;          /* SIGTERM was received */
    BkMs stop_requested_at; /* when it was */
};

/* front.c */
FrFront *FrFront_Create(const FrConf *conf, const char *conf_path);
void FrFront_Run(FrFront *front);
void FrFront_Destroy(FrFront *front);

/* Whether no daemon ran before: the settings say so, and the store had no row of
 * an earlier process of this VM. */
bool FrFront_IsFirstStart(const FrFront *front);

/* Whether the load balancer should send new connections to this daemon. */
bool FrFront_IsReady(const FrFront *front);

/* Frees closed connections and ended requests once no callback is running. */
void FrFront_ScheduleReap(FrFront *front);

/* Counts a caller's request, which adds to the service's retry budget. */
void FrFront_CountRequest(FrFront *front, uint32_t service, BkMs now);

/* Counts a retry of the request if the retry budget of its service allows it,
 * else returns false. */
bool FrFront_TakeRetry(FrFront *front, FrRequest *request, BkMs now);

/* The attempt that is the retry was answered, or ended; does nothing if the
 * attempt is none. */
void FrFront_EndRetry(FrFront *front, FrRequest *request, BkMs now);

/* Number of daemons that may share the retry budget, including this one; 0 if
 * this one does not know them all yet. */
int FrFront_CountDaemons(const FrFront *front);

/* caller.c: one connection of a caller */
struct FrCallerConn {
    FrFront *front;
    int fd;
    BkWatch *watch;
    BkH1Parser *parser; /* NULL between requests */
    BkBuf read_ahead;   /* bytes read after the end of the current request */
    BkBuf out;          /* not yet sent */
    BkBuf body;         /* of the current request */
    /* current request; NULL until it has arrived completely */
    FrRequest *request;
    /* start of the current state: idle, reading or lingering */
    BkMs state_since;
    bool from_daemon; /* the caller is another daemon: detour.h */
    /* of the current request, for that daemon */
    FrRefusal refusal;
    bool head_checked;
    bool body_too_large; /* the current request's body is over the limit */
    bool http10;
    /* close the connection after the current response */
    bool close_after_response;
    bool chunked;   /* the current response is sent in chunks */
    bool lingering; /* shut down for writing; waits for the caller to close */
    bool dead;      /* closed, to be freed */
    bool output_full;  /* out is over its limit: the upstream is not read */
    BkMs progress_at;  /* when the caller last read or sent */
    BkMs idle_timeout; /* close the connection after this idle time */
    FrCallerConn *prev;
    FrCallerConn *next;
};

BkStatus FrCallerConns_Listen(FrFront *front);
void FrCallerConns_StopListening(FrFront *front);

/* Closes connections that are idle for too long, and rejects requests that
 * take too long to arrive. */
void FrCallerConns_Sweep(FrFront *front, BkMs now);

/* Called when the daemon stops: closes the connections without a request, and
 * rejects requests that have not arrived completely. */
void FrCallerConns_CloseIdle(FrFront *front);
void FrCallerConns_RefuseIncomplete(FrFront *front);

/* Closes the connection. Its request ends later, when the reap timer runs:
 * functions that write to the caller may close the connection, and are called
 * for requests that go on to be used. */
void FrCallerConn_Close(FrCallerConn *conn);

/* Ends the requests of closed connections. */
void FrCallerConns_EndRequestsOfDead(FrFront *front);
void FrCallerConn_Free(FrCallerConn *conn);

/* The functions below do nothing more on a closed connection.
 *
 * Sends a complete response and ends the request. fields: header lines, each
 * with its line end. */
void FrCallerConn_Reply(FrCallerConn *conn, int code, BkStr fields,
                        BkStr body);

/* Sends an error response of the daemon itself, with the reason (why) in a
 * short JSON body, and ends the request. retry_after: for a Retry-After field;
 * 0: none. */
void FrCallerConn_ReplyError(FrCallerConn *conn, int code, const char *why,
                             BkMs retry_after);

/* Send a response in parts: its head, then any number of parts of the body,
 * then its end, which ends the request. length: of the body; -1: not known. */
void FrCallerConn_BeginResponse(FrCallerConn *conn, int code, BkStr fields,
                                int64_t length);
void FrCallerConn_WriteBody(FrCallerConn *conn, BkStr data);
void FrCallerConn_EndResponse(FrCallerConn *conn);

/* Ends the connection since memory is short: rejects a request that is being
 * received, and breaks off a response. */
void FrCallerConn_EndForMemory(FrCallerConn *conn);

/* Closes the connection in such a way that the caller cannot mistake the part
 * of the response that it has for a complete one. */
void FrCallerConn_AbortResponse(FrCallerConn *conn);

/* up_conn.c: connections to one upstream */
struct FrUpConnPool {
    FrUpConn *idle; /* the most recently used first */
    FrUpConn *busy;
    int count;
};

/* How an exchange, one request and its response on a connection, ended. */
typedef enum FrExchangeResult {
    FR_EXCHANGE_DONE,   /* the response is complete */
    FR_EXCHANGE_UNSENT, /* failed before any byte of the request was sent */
    /* connection lost after sending, before a response */
    FR_EXCHANGE_NO_RESPONSE,
    FR_EXCHANGE_MALFORMED, /* received bytes that are no valid response */
    FR_EXCHANGE_TRUNCATED /* connection lost, or malformed data, in the body */
} FrExchangeResult;

/* Sends a request on an idle connection to the upstream, or on a new one if
 * there is none or the upstream has refused this request before.
 * The response and the end of the exchange are reported by the callbacks in
 * "responses" below, never before this returns. bodiless: a HEAD request. NULL
 * if no connection can be opened. */
FrUpConn *FrUpConn_Send(FrFront *front, BkUp *up, FrRequest *request,
                        BkStr head, BkStr body, bool bodiless);

/* Opens a connection for later requests. Returns false if that fails at once. */
bool FrUpConn_OpenIdle(FrFront *front, BkUp *up);

/* The request no longer needs the connection: Abort closes it, Release first
 * reads and discards the rest of the response, so that it can be reused. */
void FrUpConn_Abort(FrUpConn *conn);
void FrUpConn_Release(FrUpConn *conn);

/* Stops or resumes reading, for a caller that reads more slowly. */
void FrUpConn_SetPaused(FrUpConn *conn, bool paused);

/* Bytes that were sent, and that the upstream's host has not acknowledged; -1:
 * not known. */
int FrUpConn_CountUnacked(const FrUpConn *conn);

/* Closes the connection after the current response. */
void FrUpConn_CloseAfter(FrUpConn *conn);

/* Whether this is the first exchange on the connection. */
bool FrUpConn_IsFirstExchange(const FrUpConn *conn);
void FrUpConn_FreeDead(FrFront *front);

/* Closes the upstream's connections that were idle for too long; all: every
 * idle one, and frees the pool when no connection remains. */
void FrUpConnPool_CloseIdle(BkUp *up, BkMs now, bool all);

/* Closes all connections to the upstream, when the daemon ends: no request
 * uses them any more. */
void FrUpConnPool_Destroy(BkUp *up);

/* request.c: one request; request.h has what only the files about it share */
typedef enum FrStage {
    FR_WAITING, /* for an upstream, or for the answer of its coordinator */
    FR_SENT,    /* to an upstream; the response to the caller has not begun */
    FR_RESPONDING, /* the head of the response was sent to the caller */
    FR_ENDED
} FrStage;

/* Where another attempt can continue the response that a caller has in part.
 */
typedef enum FrResumeKind {
    FR_RESUME_START, /* at its start: the caller has no event yet */
    FR_RESUME_AFTER, /* after the last event that the caller has */
    /* nowhere: the last event has no id that a request can carry, or the body
       is no stream of events */
    FR_RESUME_NEVER
} FrResumeKind;

typedef struct FrResumePoint {
    FrResumeKind kind;
    BkBuf event_id; /* of FR_RESUME_AFTER */
} FrResumePoint;

/* What tells where the response of an upstream ends. */
typedef enum FrFraming {
    FR_FRAMING_NONE, /* no response yet */
    FR_FRAMING_LENGTH,
    FR_FRAMING_CHUNKS,
    FR_FRAMING_CLOSE /* the end of its connection */
} FrFraming;

struct FrRequest {
    FrFront *front;
    /* connection of its caller; NULL once the response is complete or the
       caller has disconnected */
    FrCallerConn *caller_conn;
    FrStage stage;
    char *id;
    char *route; /* names of its route, service, model and adapter */
    char *service;
    char *model; /* NULL: none */
    char *adapter;
    BkRouteKind kind;
    bool repeatable;     /* may run more than once */
    bool resumable;      /* another upstream may resume a broken stream */
    bool relayed;        /* came by way of another daemon */
    bool bodiless;       /* HEAD request */
    int priority;        /* 0 (highest) to 9 */
    int max_runs;        /* most runs that the route allows */
    BkMs latency_target; /* latency target of the route */
    /* how long its caller waits for the first byte, counted from started_at */
    BkMs patience;
    BkMs started_at; /* when the caller began to send it */
    BkMs deadline;   /* earlier deadline of the caller's and the route's */
    BkTimer *timer;  /* deadline, or retry of a slow attempt */
    BkPickQuery query;
    /* ids of the parts of its prompt, without the last, which is its own */
    uint64_t parts[BK_MAX_PROMPT_PARTS];
    int part_count;
    /* hash of what a caller repeats when it sends the request again: the
       method, host, target and body, or the model and parts of the prompt if
       it has no body */
    uint64_t digest;
    char caller_ip[INET_ADDRSTRLEN];
    BkBuf head; /* request line and forwarded fields */
    BkBuf body; /* of the request */

    /* the question (ask) to the coordinator of up: may the request be sent
       to up? */
    uint32_t ask_number; /* number of the ask; 0: no answer is awaited */
    BkMs asked_at;
    FrPeer *coordinator; /* the daemon that was asked */
    FrRequest *ask_prev; /* list of the requests that await an answer */
    FrRequest *ask_next;

    /* the question which version began its stream; NULL: none is open */
    struct FrOriginAsk *origin_ask;

    FrUpConn *conn;                  /* of the current attempt, like up */
    BkUp *up;                        /* its load includes this request */
    char last_up_id[FR_UP_ID_BYTES]; /* id of the last upstream */
    char last_software[FR_SOFTWARE_BYTES]; /* its version of its software */
    BkMs sent_at;                          /* time of the last attempt */
    BkMs output_at;      /* first byte of the body in this attempt; 0: none */
    bool noted_well;     /* this attempt did not crash its upstream */
    bool prompt_counted; /* the prompt is counted as unprocessed there */
    int send_count;      /* attempts */
    int arrival_count;   /* of these, may have arrived at an upstream */
    /* the current attempt is a retry without an answer: when its token was
       taken from the budget */
    bool retry_open;
    BkMs retry_taken_at;
    /* keys of the daemons by way of which it was sent */
    uint32_t detours[FR_MAX_DETOURS];
    int detour_count;
    bool last_detour; /* no further daemon is left */
    uint32_t *tried;  /* what the query leaves out */
    int tried_cap;
    /* keys of the upstreams that refused it last, in a ring */
    uint32_t refused_by[FR_MAX_REFUSED_BY];
    int refusal_count;
    int run_count;    /* failed attempts that may have run */
    int last_up_code; /* status of the last attempt's response; 0: none */

    /* response of the upstream */
    BkBuf response_fields;   /* header lines for the caller */
    int response_code;       /* status */
    int64_t response_length; /* of the body; -1: not known */
    FrFraming framing;       /* of the upstream's last response */
    size_t partial_event;    /* bytes after the last whole event at its end */
    BkBuf pending_body;      /* part of the body not yet sent to the caller */
    size_t event_scanned;    /* bytes of it without the end of an event */
    bool response_begun;     /* the response to the caller has begun */
    BkMs response_begun_at;  /* when it began */
    BkMs last_body_at;       /* when the last part of the body came */
    BkMs longest_pause;      /* between two parts of the body */
    FrResumePoint resume_point; /* moves with each event that is forwarded */
    /* id of the request that brought the first event of the stream that this
       one resumes; "": none, or not named */
    char *resumed_id;
    const char *why; /* reason of the outcome; static string */

    /* when the planner was last asked for the adapter */
    BkMs adapter_requested_at;
    /* when the first engine that holds its model can load the adapter */
    BkMs adapter_loadable_at;
    BkMs open_at; /* when the first upstream that asked for a pause is back */
    /* quarantine.h: it waits for a decision; when it claimed the trial of a
       verdict, 0 if it did not, and from when on it may be sent */
    bool held;
    BkMs trial_claimed_at;
    BkMs trial_at;
    bool answer_names_it; /* the response had the request's id */
    bool trial_noted;     /* it was sent as the trial */
    /* its last exchange ended because the upstream acknowledged nothing */
    bool went_silent;
    bool broke_off;         /* at an upstream, whose process may have ended */
    bool model_missing;     /* at the last try, no engine held its model */
    bool queued;            /* in the queue now */
    bool was_queued;        /* was in the queue since the last attempt */
    BkWaitCause wait_cause; /* why it was queued */
    FrRequest *queue_prev;
    FrRequest *queue_next;
    FrRequest *prev;
    FrRequest *next;
};

/* Starts to handle a request that the caller has sent completely. */
void FrRequest_Start(FrCallerConn *conn, const BkH1Head *head);

/* The caller closed its connection. */
void FrRequest_OnCallerGone(FrRequest *request);

/* The caller's output buffer has room again. */
void FrRequest_OnCallerDrained(FrRequest *request);

/* Tries to send the request to an upstream. Returns false if it must wait in
 * the queue, true if it was sent, is held (quarantine.h) or has ended. */
bool FrRequest_Dispatch(FrRequest *request);

/* Ends the request with an error response of the daemon itself, or by aborting
 * the response if part of it was sent. */
void FrRequest_ReplyError(FrRequest *request, int code, const char *why,
                          BkMs retry_after);

/* Ends the request without further attempts: 502 if it may have run, else 503,
 * which promises the caller that it has not. */
void FrRequest_GiveUp(FrRequest *request, const char *why, BkMs retry_after);
void FrRequest_Free(FrRequest *request);

/* Gives up all requests, before the process exits. */
void FrRequests_EndAll(FrFront *front);

/* responses: called by up_conn.c */

/* What the connection does after the head of a response. */
typedef enum FrHeadAction {
    FR_HEAD_PASS_BODY, /* pass the body on to the request */
    FR_HEAD_SKIP,      /* skip this response, which is to another request */
    FR_HEAD_RELEASED   /* nothing: the request has released the connection */
} FrHeadAction;

/* Called by the connection: the head of a response, a part of its body, and
 * the end of the exchange. */
FrHeadAction FrRequest_OnHead(FrRequest *request, const BkH1Head *head);
void FrRequest_OnBody(FrRequest *request, BkStr data);
void FrRequest_OnExchangeEnd(FrRequest *request, FrExchangeResult result);

/* stream.c: the caller has the event with this id, and nothing after it. */
void FrStream_SetResumeId(FrRequest *request, BkStr event_id);

/* The caller has a part of the response that no other attempt can continue. */
void FrStream_SetNotResumable(FrRequest *request);

/* Sends the complete events of the response to the caller and keeps the part
 * of an incomplete one. */
void FrStream_ForwardEvents(FrRequest *request);

/* Bytes after the last complete event of a response that has ended. */
size_t FrStream_CountPartial(const FrRequest *request);

/* Whether a stream was broken off although its framing is complete: it ended
 * inside an event, or with its connection before the first one. */
bool FrStream_IsBrokenOff(const FrRequest *request);

/* queue.c */
void FrQueue_Add(FrRequest *request);
void FrQueue_Remove(FrRequest *request);

/* Number of requests for the same service and model ahead of this one. */
int FrQueue_CountAhead(const FrRequest *request);

/* Schedules the next try to send the requests in the queue. If one is already
 * scheduled, it stays so unless delay is 0. */
void FrQueue_SchedulePass(FrFront *front, BkMs delay);

/* Timer callback: tries to send the requests in the queue, in their order, and
 * refuses those that would wait too long. arg: the FrFront. */
void FrQueue_RunPass(void *arg);

/* queue_pace.c: how fast requests leave the queue, and how long they run */

/* Returns the row of the query's service and model, which is added if there is
 * none. If there are FR_MAX_QUEUE_PACES of them, the row that was unused for
 * the longest time is reset instead. Valid until the next call. */
FrQueuePace *FrQueuePace_FindOrReset(FrFront *front, const BkPickQuery *query);
void FrQueuePace_Destroy(FrFront *front);

/* expected.c: when models are expected to be ready */

/* The planner announced that the model is expected to be ready at that time.
 */
void FrExpected_Note(FrFront *front, uint32_t model, BkMs at);

/* The time until the model is expected to be ready; -1: not known. */
BkMs FrExpected_GetDelay(const FrFront *front, uint32_t model, BkMs now);
void FrExpected_Destroy(FrFront *front);

/* sync.c */
FrSync *FrSync_Create(FrFront *front);
void FrSync_Destroy(FrSync *sync);

/* Whether this daemon's last call to the store failed or was answered late;
 * also true if sync is NULL, and false again when this daemon is no longer a
 * reader. */
bool FrSync_IsStoreFailing(const FrSync *sync);

/* Another daemon has this version of the configuration and has applied reports
 * up to this version of this era of the store. If this daemon lacks any of them, it reads them
 * from the store soon (in fanout.c). */
void FrFanout_NotePeerVersions(FrSync *sync, uint64_t site_version,
                               uint64_t report_era, uint64_t report_version,
                               BkMs now);

/* ops.c */
BkStatus FrOps_Listen(FrFront *front);

/* metrics.c */
FrMetrics FrMetrics_Register(void);

/* Counts a request that ended with this status; 0: the caller disconnected. */
void FrMetrics_RecordOutcome(const FrRequest *request, int code);

#endif
