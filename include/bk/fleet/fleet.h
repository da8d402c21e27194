/*
 * fleet - the upstreams of the users' platform, as one daemon knows them
 *
 * Pure state. News comes from the upstreams' reports in the store, from other
 * daemons and from the upstreams' own answers. An upstream is one start of a
 * process: the same id with another birth is another upstream, and whatever
 * was known of the one before is void.
 *
 * That an upstream leaves is believed at once, whoever says so, and is never
 * taken back. That its report is missing is believed at once while the store
 * is well; after an outage of the store, upstreams get a grace to report
 * again, and meanwhile are used only where nothing else is left.
 */
#ifndef BK_FLEET_FLEET_H
#define BK_FLEET_FLEET_H

#include <netinet/in.h>

#include "bk/base/clock.h"
#include "bk/fleet/report.h"

enum {
    BK_UP_MAX_MODELS = 16,
    BK_UP_MAX_ADAPTERS = 64,
    BK_UP_MAX_AT_HAND = 32
};

typedef enum BkUpStanding {
    BK_UP_LISTED,  /* reports in the store */
    BK_UP_MISSING, /* its report lapsed while the store was away */
    BK_UP_LEAVING, /* said that it leaves */
    BK_UP_GONE     /* no request may go there */
} BkUpStanding;

/* An adapter is named by its model's key and its own. */
typedef struct BkUpAdapter {
    uint32_t model;
    uint32_t name;
} BkUpAdapter;

/* Connections to the upstream, kept by bk-front. */
struct FrPool;

typedef struct BkUp {
    char *id;
    uint32_t key; /* BkStr_Key of the id */
    char *address;
    struct sockaddr_in sockaddr;
    char *service;
    uint32_t service_key;
    char *domain;
    uint64_t born;
    BkUpStanding standing;
    BkMs standing_since;
    BkMs grace;           /* of a missing report, from then on */
    uint64_t row_version; /* of its report */
    bool listed;          /* found in the list that is being read */
    int slots;
    BkMs cold_until;
    bool has_orders;                   /* it was asked, see BkUp_TakeHeld */
    uint64_t orders;                   /* accepted since its start */
    uint32_t models[BK_UP_MAX_MODELS]; /* keys of names */
    int model_count;
    uint32_t closing;   /* model that is about to be unloaded; 0: none */
    BkMs closing_until; /* then reports are believed again */
    BkMs ordered_until; /* it carries an order out, and takes no other */
    BkUpAdapter adapters[BK_UP_MAX_ADAPTERS];
    int adapter_count;
    uint32_t in_memory[BK_UP_MAX_AT_HAND];
    int in_memory_count;
    uint32_t on_disk[BK_UP_MAX_AT_HAND];
    int on_disk_count;

    /* load: requests there, and tokens of prompts not yet answered */
    int own_running;
    int64_t own_prompt;
    int others_running;
    int64_t others_prompt;
    bool load_untold; /* own load changed since its keeper was told */
    BkMs full_until;  /* its keeper said that it is full */

    /* judged from its answers */
    int failures; /* in a row, without any success between */
    BkMs avoid_until;
    BkMs last_answer; /* a byte of an answer came; BK_MS_NEVER: not yet */
    double first_ms;  /* smoothed time to the first byte beyond expected */

    struct FrPool *pool;
    int refs; /* the fleet's own, and one for each request there */
} BkUp;

typedef struct BkFleet {
    BkUp **ups; /* sorted by id */
    int count;
    int cap;
    uint64_t version;     /* newest of the store that is taken in */
    uint64_t changes;     /* rises when anything that routing uses changes */
    bool known;           /* a whole list was read once */
    BkMs store_ill_until; /* outage, and the grace after it */
} BkFleet;

void BkFleet_Destroy(BkFleet *fleet);

/*
 * The upstream's report as of version; born_elsewhere is set if it replaces
 * an earlier start. Never NULL; reports older than the last one change
 * nothing.
 */
BkUp *BkFleet_TakeReport(BkFleet *fleet, const BkUpReport *report,
                         uint64_t version, BkMs now);

/* The report of this id was removed, or cannot be read. */
void BkFleet_TakeRemoval(BkFleet *fleet, BkStr id, uint64_t version, BkMs now);

/* Begins and ends the reading of a whole list, as of version: upstreams
 * without a report between the two count as removed. */
void BkFleet_BeginList(BkFleet *fleet);
void BkFleet_EndList(BkFleet *fleet, uint64_t version, BkMs now);

/* The store was seen away or coming back now; reports get grace. */
void BkFleet_NoteStoreIll(BkFleet *fleet, BkMs now);

/* An upstream said itself, or a daemon says, that it leaves. */
void BkFleet_MarkLeaving(BkFleet *fleet, BkUp *up, BkMs now);

/* Another process answers at its address. */
void BkFleet_MarkGone(BkFleet *fleet, BkUp *up, BkMs now);

/* Upstreams whose grace is over become gone; gone ones are forgotten. */
void BkFleet_Sweep(BkFleet *fleet, BkMs now);

/* NULL if unknown. */
BkUp *BkFleet_Find(const BkFleet *fleet, BkStr id);
BkUp *BkFleet_FindKey(const BkFleet *fleet, uint32_t key);

/* Whether new requests may go there at all. */
bool BkUp_IsOpen(const BkUp *up);

bool BkUp_HoldsModel(const BkUp *up, uint32_t model);
bool BkUp_HoldsAdapter(const BkUp *up, uint32_t model, uint32_t adapter);

/* The model gets no new requests, whatever reports say, until then. */
void BkUp_CloseModel(BkUp *up, uint32_t model, BkMs until);

/* The engine holds just these, as it told itself after so many orders; false
 * if more orders are known of: then nothing changes. */
bool BkUp_TakeHeld(BkUp *up, const BkUpReport *held, uint64_t orders,
                   BkMs now);

/* What was ordered there is done: the model or adapter is (not) held. */
void BkUp_SetModel(BkUp *up, uint32_t model, bool held);
void BkUp_SetAdapter(BkUp *up, uint32_t model, uint32_t adapter, bool held);

BkUp *BkUp_Ref(BkUp *up);
void BkUp_Unref(BkUp *up);

#endif
