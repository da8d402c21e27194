/*
 * entry - state of the program bk-entry
 *
 * settings.c  settings
 * entry.c     start and planned stop
 * handlers.c  authentication and handlers of the paths
 * relay.c     a request from admission to its answer
 * send.c      choice of an upstream
 * attempt.c   one HTTP exchange with an upstream
 * stream.c    forwarding of events to the caller
 * decide.c    what to do after an attempt
 * ticket.c    resume tickets
 * codec.c     parsing of bodies and events
 * cancel.c    cancelling work at upstreams that is no longer needed
 * demand.c    reports of requests per item
 * metrics.c   counters
 */
#ifndef BK_ENTRY_ENTRY_H
#define BK_ENTRY_ENTRY_H

#include "bk/base/counters.h"
#include "bk/base/latency.h"
#include "bk/claim/claim.h"
#include "bk/daemon/daemon.h"
#include "bk/entry/ticket.h"
#include "bk/route/route.h"

/* Settings of bk-entry: the sections [daemon], [platform] and [entry] of its
 * file. */
typedef struct BkEntryConf {
    BkDaemonConf daemon;
    char *listen;
    uint64_t max_body;         /* bytes of a request's body */
    uint64_t max_header;       /* bytes of a request's head */
    uint64_t max_answer_bytes; /* bytes of an answer that is not streamed */
    int64_t max_connections;
    uint64_t stream_buffer; /* bytes buffered for a slow caller */
    /* bytes of delivered text kept so that another copy can continue a
       stream */
    uint64_t max_kept_text_bytes;
    /* until the first byte of the answer, unless the caller sets another */
    BkMs default_first_byte_timeout;
    BkMs max_first_byte_timeout; /* the longest that a caller may set */
    BkMs stream_idle;            /* longest pause in an upstream's stream */
    BkMs max_blocked_time;       /* longest time that a caller does not read */
    BkMs max_run_time; /* longest time for which a non-repeatable call runs */
    /* how long a stream is kept at its upstream after its caller has
       disconnected */
    BkMs resume_grace;
    BkMs resume_within; /* longest search for a copy to continue a stream */
    /* estimates for admission: time from a free slot to the first byte, and
       time of one request on a free slot */
    BkMs first_byte_estimate;
    BkMs service_time_estimate;
    BkMs report_lag; /* age of the upstreams' reports when they arrive */
    /* share of the mean load by which a copy may be above the mean and still
       be chosen for its prefix */
    double affinity_slack;
    /* from this many requests in progress on, only callers below their fair
       share are admitted */
    int64_t fair_share_threshold;
    int64_t max_attempts_without_progress; /* at upstreams, for one request */
    /* share of a retry that each request adds to the budget, such as 0.1 */
    double retries_per_request;
    BkMs max_claim_wait;  /* longest wait for a claim to be written */
    BkMs claim_retention; /* how long claims and outcomes are kept */
} BkEntryConf;

/* The specs of all settings: those of every daemon and those of bk-entry. The
 * result is freed with free(). */
BkSettingSpec *BkEntry_Specs(int *count);

/* Checks the constraints between settings. ERRORS: BK_ECONFIG. */
BkStatus BkEntry_CheckConf(const BkEntryConf *conf);

typedef struct BkEntryCounters {
    BkLatency first_byte;
    BkLatency between_tokens; /* from one event to the next */
    BkCounter *events;        /* events forwarded */
    BkCounter *retries;
    BkCounter *resumes;
    BkCounter *open_streams; /* to callers, open now */
    BkCounter *in_flight;
    BkCounter *claims;
    BkCounter *replays; /* answers that repeat a recorded outcome */
    BkCounter *cancels;
} BkEntryCounters;

BkEntryCounters BkEntryCounters_Get(void);

/* Counts a request that has been answered or whose caller has disconnected;
 * BK_OK: answered completely. */
void BkEntryCounters_NoteOutcome(BkStatus status);

typedef struct BkRelay BkRelay;
typedef struct BkCancel BkCancel;
typedef struct BkEntryDemand BkEntryDemand;

typedef struct BkEntry {
    BkEntryConf conf;
    BkDaemon *daemon;
    BkHttpServer *server;
    BkClaimBatcher *claims;
    BkClaimSweep *claim_sweep;
    BkRoute route;
    BkFairShare *fair_share; /* NULL before the first bundle */
    BkRetryBucket retry_budget;
    BkEntryCounters counters;
    BkEntryDemand *demand;
    unsigned char ticket_key[BK_TICKET_KEY_BYTES];
    BkRelay *relays; /* all requests in progress */
    int relay_count;
    BkCancel *cancels; /* scheduled */
    BkTimer *stop_timer;
    bool quiesced;
} BkEntry;

/* Handles a caller's request for any path. */
void BkEntry_Handle(BkHttpReq *req, void *arg);

/* Answers with a JSON error (see BkError_Encode) and, unless request_id is
 * NULL, with this X-Request-Id. */
void BkEntry_ReplyError(BkHttpReq *req, const char *request_id,
                        BkStatus status, const char *message,
                        BkMs retry_after);

/* Writes the id of the request: the caller's X-Request-Id with a random
 * suffix, or a random id if there is none. ERRORS: BK_EINVAL. */
BkStatus BkEntry_MakeRequestId(const BkHttpReq *req, char *id, size_t size);

/* Schedules a cancel of a request at an upstream, to be sent after this time
 * (0: now) unless it is removed before. */
void BkCancel_Schedule(BkEntry *entry, const char *request_id,
                       const char *addr, BkMs after);

/* Removes the scheduled cancels of a request. */
void BkCancel_Unschedule(BkEntry *entry, const char *request_id);

/* Removes only the request's cancels at this upstream, which is about to get
 * the request again. */
void BkCancel_UnscheduleAt(BkEntry *entry, const char *request_id,
                           const char *addr);

void BkCancel_UnscheduleAll(BkEntry *entry);

/* Notifies the entry daemon whose HTTP port for operators has this address
 * that this daemon has resumed one of its streams. */
void BkCancel_NotifyResumed(BkEntry *entry, const char *ops_address,
                            const char *request_id);

/* Handles such a notification; false if the request is for another path. */
bool BkCancel_HandleResumed(BkEntry *entry, BkHttpReq *req);

/* Counts requests per item and reports them to the planner every few seconds
 * (BkDaemon_SendDemand). */
BkEntryDemand *BkEntryDemand_Create(BkDaemon *daemon);
void BkEntryDemand_Destroy(BkEntryDemand *demand);
void BkEntryDemand_NoteRequest(BkEntryDemand *demand, const char *item);

/* Adds the time that a request for the item was at an upstream. */
void BkEntryDemand_AddBusyTime(BkEntryDemand *demand, const char *item,
                               BkMs busy);

#endif
