/*
 * entry - state of the program bk-entry
 *
 * One job a file: settings.c the settings, entry.c start and planned stop,
 * handlers.c what is served at which path, relay.c a request's life, send.c
 * the choice of an upstream, attempt.c one exchange with an upstream, stream.c events to the caller,
 * decide.c what follows an attempt, cancel.c upstream work nobody wants any
 * more, demand.c requests per item, metrics.c counters.
 */
#ifndef BK_ENTRY_ENTRY_H
#define BK_ENTRY_ENTRY_H

#include "bk/base/counters.h"
#include "bk/base/latency.h"
#include "bk/claim/claim.h"
#include "bk/daemon/daemon.h"
#include "bk/entry/ticket.h"
#include "bk/route/route.h"

/* Settings of bk-entry; [daemon], [platform] and [entry] of its file. */
typedef struct BkEntryConf {
    BkDaemonConf daemon;
    char *listen;
    uint64_t max_body;
    uint64_t max_header;
    uint64_t max_answer; /* of a whole answer */
    int64_t max_connections;
    uint64_t stream_buffer;
    uint64_t resume_text; /* delivered text kept for another copy */
    BkMs deadline;        /* for the first byte, unless the caller says */
    BkMs max_deadline;
    BkMs stream_idle;     /* longest silence of an upstream's stream */
    BkMs reader_patience; /* a caller may not read for this long */
    BkMs answer_limit;    /* longest run of a non-repeatable call */
    BkMs resume_grace;    /* upstream work outlives its caller by this */
    BkMs resume_within;   /* longest search for a copy in mid-stream */
    BkMs first_byte;      /* estimates for admission */
    BkMs service_time;
    BkMs report_lag; /* how late the reports of upstreams are */
    double affinity_slack;
    int64_t most_in_flight;
    int64_t attempts;
    double retry_share; /* retries a request brings */
    BkMs claim_patience;
    BkMs claim_retention;
} BkEntryConf;

/* All specs, the daemon's and its own; freed by free(). */
BkSettingSpec *BkEntry_Specs(int *count);

/* Combinations that no single key shows. ERRORS: BK_ECONFIG. */
BkStatus BkEntry_CheckConf(const BkEntryConf *conf);

typedef struct BkEntryCounters {
    BkLatency first_byte;
    BkLatency between_tokens;
    BkCounter *tokens;
    BkCounter *retries;
    BkCounter *resumes;
    BkCounter *streams; /* open now */
    BkCounter *in_flight;
    BkCounter *claims;
    BkCounter *replays;
    BkCounter *cancels;
} BkEntryCounters;

BkEntryCounters BkEntryCounters_Get(void);

/* One request has been answered, or its caller has gone (BK_OK: whole). */
void BkEntryCounters_NoteOutcome(BkStatus status);

typedef struct BkRelay BkRelay;
typedef struct BkCancel BkCancel;
typedef struct BkEntryDemand BkEntryDemand;

typedef struct BkEntry {
    BkEntryConf conf;
    BkDaemon *daemon;
    BkHttpServer *server;
    BkClaimBatcher *book;
    BkClaimSweep *sweep;
    BkRoute route;
    BkFairShare *fair; /* NULL before the first bundle */
    BkRetryBudget budget;
    BkEntryCounters counters;
    BkEntryDemand *demand;
    unsigned char ticket_key[BK_TICKET_KEY_BYTES];
    BkRelay *relays; /* all in progress */
    int relay_count;
    BkCancel *cancels; /* waiting for their grace to pass */
    BkTimer *stop_timer;
    bool quiesced;
} BkEntry;

/* Serves a caller's request, whatever its path. */
void BkEntry_Handle(BkHttpReq *req, void *arg);

/* A typed error with X-Request-Id; request may be NULL. */
void BkEntry_ReplyError(BkHttpReq *req, const char *request, BkStatus status,
                        const char *message, BkMs retry_after);

/* The request id of the header, or a new one. ERRORS: BK_EINVAL. */
BkStatus BkEntry_RequestId(const BkHttpReq *req, char *id, size_t size);

/* Cancels a stream at an upstream after the grace, unless BkCancel_Drop is
 * called for its request before. */
void BkCancel_Schedule(BkEntry *entry, const char *request, const char *addr,
                       BkMs after);
void BkCancel_Drop(BkEntry *entry, const char *request);
/* Of this upstream only, which is about to get the request again. */
void BkCancel_DropAt(BkEntry *entry, const char *request, const char *addr);
void BkCancel_DropAll(BkEntry *entry);

/* Tells the entry with this operators' port that a stream goes on here. */
void BkCancel_TellResumed(BkEntry *entry, const char *ops,
                          const char *request);

/* Takes that word; false if the path is another one. */
bool BkCancel_TakeResumed(BkEntry *entry, BkHttpReq *req);

/* Requests per item, told to the stewards every few seconds. */
BkEntryDemand *BkEntryDemand_Create(BkDaemon *daemon);
void BkEntryDemand_Destroy(BkEntryDemand *demand);
void BkEntryDemand_NoteRequest(BkEntryDemand *demand, const char *item);
void BkEntryDemand_NoteBusy(BkEntryDemand *demand, const char *item,
                            BkMs busy);

#endif
