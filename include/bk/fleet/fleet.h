/*
 * fleet - one daemon's state of the upstreams of the users' platform
 *
 * The users' platform is the one that bk-front runs on, not the platform of
 * bk/platform/platform.h.
 *
 * Pure state, without I/O. It is updated from the upstreams' reports in the
 * store, from messages of other daemons and from the upstreams' own responses.
 * An upstream is one run of a process: the same id with a different start time
 * is a new upstream, and the state of the previous one is discarded.
 *
 * An upstream that is said to be leaving is marked so at once, regardless of
 * the source, and later reports do not clear the mark, even if its report was
 * removed in between. An upstream whose report is removed is marked gone at
 * once while the store works. Around an outage of the store it gets a grace
 * period to report again, and in that time is used only if no other upstream
 * can serve the request.
 */
#ifndef BK_FLEET_FLEET_H
#define BK_FLEET_FLEET_H

#include <netinet/in.h>

#include "bk/base/clock.h"
#include "bk/fleet/report.h"
#include "bk/origin/origin.h"
#include "bk/room/room.h"
#include "bk/throttle/throttle.h"

enum {
    BK_UP_MAX_MODELS = 16,
    BK_UP_MAX_ADAPTERS = 64,
    BK_UP_MAX_CACHED = 32,
    /* the store removes the row of an upstream after three intervals of
       silence, of a bit more than a second each */
    BK_FLEET_WITHHOLD_MS = 5000,
    /* from marking an upstream gone to freeing it */
    BK_FLEET_FORGET_MS = 30000
};

typedef enum BkUpState {
    BK_UP_LISTED,  /* its report is in the store */
    BK_UP_MISSING, /* its report expired around an outage of the store */
    BK_UP_LEAVING, /* draining: gets no new requests */
    /* removed, replaced, or without a usable address: gets no requests */
    BK_UP_GONE
} BkUpState;

/* An adapter that is loaded; both fields are keys of names
   (BkStr_NameHash). */
typedef struct BkUpAdapter {
    uint32_t model;
    uint32_t adapter;
} BkUpAdapter;

/* Connections to the upstream, owned by bk-front. */
struct FrUpConnPool;

/* The last adapter for which an upstream that was known to hold it refused a
   request. */
typedef struct BkUpLack {
    uint32_t model;
    uint32_t adapter; /* 0: none */
    BkMs at;          /* of the last refusal */
    BkMs pause;       /* doubles when it lacks the adapter again */
    BkMs until;       /* until then, no request for the adapter goes there */
} BkUpLack;

typedef struct BkUp {
    char *id;
    uint32_t key; /* BkStr_NameHash of the id */
    char *address;
    struct sockaddr_in sockaddr;
    char *service;
    uint32_t service_key;
    char *domain;
    char *software;        /* version of its software; "": not reported */
    uint32_t software_key; /* BkStr_NameHash of the above */
    uint64_t started_at;   /* start time, in ms since 1970; 0: not reported */
    BkUpState state;
    BkMs state_since;
    bool announced_leaving; /* it was BK_UP_LEAVING at any time */
    bool removed;           /* its report was removed, as of row_version */
    /* how long it may stay BK_UP_MISSING before it is gone */
    BkMs missing_grace;
    uint64_t row_version; /* of its last report or removal in the store */
    bool in_list;         /* seen in the list that is being read */
    /* gone, and its row came back with an older copy of the store: until then,
       only a further change of the row shows that it runs */
    bool withheld;
    BkMs withheld_until;
    int slots;       /* requests that it can run at the same time */
    BkMs cold_until; /* until then, it is slow because it has just started */
    bool order_count_known; /* a poll of the engine has read order_count */
    uint64_t order_count;   /* number of orders accepted since its start */
    uint32_t models[BK_UP_MAX_MODELS]; /* loaded; keys of names */
    int model_count;
    uint32_t closed_model; /* model that is about to be unloaded; 0: none */
    BkMs closed_until;     /* until then, reports of that model are ignored */
    BkMs no_order_until;   /* until then, it accepts no further order */
    BkUpAdapter adapters[BK_UP_MAX_ADAPTERS];
    int adapter_count;
    BkUpLack lack;
    /* models with weights cached in host memory, and on the local disk */
    uint32_t cached_in_memory[BK_UP_MAX_CACHED];
    int cached_in_memory_count;
    uint32_t cached_on_disk[BK_UP_MAX_CACHED];
    int cached_on_disk_count;

    /* Load, caused by this daemon (own) and by all others: requests in
       progress, and prompt tokens of those not yet answered. That of the
       others is derived from the two below (src/front/loads.c). */
    int own_running;
    int64_t own_prompt_tokens;
    int peer_running;
    int64_t peer_prompt_tokens;
    /* load of the others as they told this daemon as the upstream's
       coordinator, the daemon that counts its total load
       (src/front/admission.h) */
    int counted_running;
    int64_t counted_prompt_tokens;
    /* until then, this daemon was asked lately as the coordinator */
    BkMs coordinated_until;
    BkMs coordinated_since; /* since when it has been, without a break */
    /* load of the others as the coordinator counted it */
    int told_running;
    int64_t told_prompt_tokens;
    BkMs told_at;     /* when it was counted; 0: never */
    bool load_unsent; /* own load changed since the coordinator was told */
    /* until then it counts as full: the coordinator reported it so */
    BkMs full_until;
    /* what it asked for in its responses; its hold-off holds for this daemon */
    BkThrottle throttle;
    /* as its coordinator, if its service is brittle */
    BkRoom room;
    BkMs throttled_until; /* until then, its rate limit admits no request */

    /* health, as derived from its responses */
    int failures;          /* consecutive; simultaneous ones count once */
    BkMs failed_at;        /* when the last one was counted */
    BkMs avoid_until;      /* end of the backoff after failures */
    BkMs last_response_at; /* last response byte; BK_MS_NEVER: none yet */
    /* unused; smoothed time to first byte minus the expected one */
    double first_byte_excess_ms;

    bool is_daemon; /* not an upstream: see BkUp_CreateDaemon */
    struct FrUpConnPool *pool;
    int refs; /* one held by the fleet, and one per request there */
} BkUp;

typedef struct BkFleet {
    BkUp **ups; /* sorted by id */
    int count;
    int cap;
    /* replaced by another process with the same id, and still with requests
       or connections */
    BkUp **replaced;
    int replaced_count;
    /* store version of the last change of a report that was applied */
    uint64_t version;
    /* incremented when anything that routing uses changes */
    uint64_t generation;
    bool list_complete; /* a complete list was read at least once */
    BkMs watched_since; /* when the first one was */
    /* end of the grace period of a store outage */
    BkMs store_outage_grace_until;
} BkFleet;

void BkFleet_Destroy(BkFleet *fleet);

/*
 * Applies an upstream's report, written to the store at version, and adds or
 * replaces the upstream if the report is of a new process. Returns the
 * upstream, never NULL. A report that is not newer than the last one, or that
 * is of a process that started earlier, changes nothing.
 */
BkUp *BkFleet_ApplyReport(BkFleet *fleet, const BkUpReport *report,
                          uint64_t version, BkMs now);

/* The report of this id was removed from the store, or cannot be decoded. */
void BkFleet_ApplyRemoval(BkFleet *fleet, BkStr id, uint64_t version,
                          BkMs now);

/* Another daemon says that the report of the upstream with this key was
 * removed by this version. */
void BkFleet_ApplyToldRemoval(BkFleet *fleet, uint32_t key, uint64_t version,
                              BkMs now);

/* Start and end of reading the complete list of reports, as of version:
 * upstreams without a report between the two calls count as removed. */
void BkFleet_BeginList(BkFleet *fleet);
void BkFleet_EndList(BkFleet *fleet, uint64_t version, BkMs now);

/* The store came back from an older copy: the versions of its rows start anew,
 * and rows that were written since are missing until they are written again.
 * Upstreams that are gone may have a row again; see withheld above. */
void BkFleet_BeginEra(BkFleet *fleet, BkMs now);

/* Whether the rows of any upstreams are withheld. If so, the complete list is
 * to be read again BK_FLEET_WITHHOLD_MS after BkFleet_BeginEra. */
bool BkFleet_HasWithheld(const BkFleet *fleet);

/* The store is unreachable, or was until now. Starts or extends the grace
 * period, in which an upstream whose report disappears is not gone at once. */
void BkFleet_NoteStoreOutage(BkFleet *fleet, BkMs now);

/* The upstream itself or another daemon says that it is leaving. */
void BkFleet_MarkLeaving(BkFleet *fleet, BkUp *up, BkMs now);

/* Another process responded at its address. */
void BkFleet_MarkGone(BkFleet *fleet, BkUp *up, BkMs now);

/* Marks upstreams gone whose grace period has expired, and frees those that
 * have been gone for long enough and have no requests. */
void BkFleet_Sweep(BkFleet *fleet, BkMs now);

/* Find an upstream by its id or by the key of the id; NULL if unknown. */
BkUp *BkFleet_Find(const BkFleet *fleet, BkStr id);
BkUp *BkFleet_FindByKey(const BkFleet *fleet, uint32_t key);

/* The software versions of the upstreams that serve the service now or did in
 * the last memory ms, which is at most BK_FLEET_FORGET_MS. */
BkOriginView BkFleet_ViewSoftware(const BkFleet *fleet, uint32_t service,
                                  BkMs memory, BkMs now);

/* Whether new requests may be sent there. */
bool BkUp_IsOpen(const BkUp *up);

/* The state's name in logs and for operators. */
const char *BkUp_StateName(BkUpState state);

bool BkUp_HasModel(const BkUp *up, uint32_t model);
bool BkUp_HasAdapter(const BkUp *up, uint32_t model, uint32_t adapter);

/* Sends no new requests for the model to this upstream; reports that still
 * list the model are ignored until the given time. */
void BkUp_CloseModel(BkUp *up, uint32_t model, BkMs until);

/* Replaces the loaded models, adapters and cached weights by those that a poll
 * of the engine returned; order_count is the number of orders that the engine
 * had accepted by then. Returns false and changes nothing if it is known to
 * have accepted more since. */
bool BkUp_ApplyPolledState(BkUp *up, const BkUpReport *polled,
                           uint64_t order_count, BkMs now);

/* The model or adapter is now known to be loaded, or not to be. */
void BkUp_SetModelLoaded(BkUp *up, uint32_t model, bool loaded);
void BkUp_SetAdapterLoaded(BkUp *up, uint32_t model, uint32_t adapter,
                           bool loaded);

/* It refused a request for want of an adapter that it was known to hold. The
 * adapter counts as not loaded, for a while even if the planner says that it
 * is: an engine that is at fault may say so and refuse. */
void BkUp_NoteAdapterLacked(BkUp *up, uint32_t model, uint32_t adapter,
                            BkMs now);

/* Whether it has refused a request for want of this adapter since that time.
 */
bool BkUp_LackedAdapterSince(const BkUp *up, uint32_t model, uint32_t adapter,
                             BkMs since);

/* Whether requests for the adapter can be sent there. */
bool BkUp_OffersAdapter(const BkUp *up, uint32_t model, uint32_t adapter,
                        BkMs now);

/* Another daemon, to which requests are sent like to an upstream; not part of
 * a fleet. */
BkUp *BkUp_CreateDaemon(const char *name, const char *address,
                        const char *domain);

BkUp *BkUp_Ref(BkUp *up);
void BkUp_Unref(BkUp *up);

#endif
