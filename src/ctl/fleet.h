/*
 * fleet - what the platform's rows and the daemons say of the whole service
 */
#ifndef BK_CTL_FLEET_H
#define BK_CTL_FLEET_H

#include "change.h"
#include "rows.h"

/* An upstream as a daemon sees it. */
typedef struct BkSeenUpstream {
    char *name;
    char *domain;
    bool service; /* has no instances */
    bool usable;
    bool leaving;
    bool left;
    int ready;    /* instances */
    BkMs seen_ms; /* age of what was seen; -1: never */
    int running;
    int waiting;
} BkSeenUpstream;

/* A daemon of the settings; all but addr only if it answered. */
typedef struct BkDaemonState {
    char *addr;
    bool answered;
    char *name;
    char *role;
    char *reason;     /* why it is not ready */
    uint64_t acting;  /* version it acts on */
    uint64_t highest; /* version it heard of */
    bool current;
    bool ready;
    BkSeenUpstream *upstreams;
    int upstream_count;
} BkDaemonState;

typedef struct BkDaemonList {
    BkDaemonState *list;
    int count;
} BkDaemonList;

typedef struct BkDrainList {
    BkDrainRow *list;
    int count;
} BkDrainList;

enum {
    BK_CTL_WHY = 256 /* bytes of a reason */
};

typedef struct BkFleet {
    BkStatus platform;    /* BK_OK: the rows below are all that it has; else
                          those that are not zero were read */
    char why[BK_CTL_WHY]; /* what failed if it is not BK_OK */
    BkInForceRow in_force;
    BkProgressRow progress;
    BkTermRow term;
    BkDrainList drains;
    BkAuditList audit; /* the last entries */
    BkDaemonList daemons;
    BkSeenUpstream **upstreams; /* freshest word on each, sorted by name */
    int upstream_count;
} BkFleet;

/* Asks GET /ops/status of all daemons. */
void BkCtl_AskStatus(BkCtl *ctl, BkDaemonList *daemons);
int BkDaemonList_CountActing(const BkDaemonList *daemons, uint64_t version);
uint64_t BkDaemonList_HighestActing(const BkDaemonList *daemons);
void BkDaemonList_Clear(BkDaemonList *daemons);

/* Asks everybody; with the last audit entries if audit is above 0. */
void BkCtl_LookAround(BkCtl *ctl, int audit, BkFleet *fleet);
void BkFleet_Clear(BkFleet *fleet);

/* The drain of an upstream; NULL if it is not drained. */
const BkDrainRow *BkFleet_FindDrain(const BkFleet *fleet, const char *name);

/* "usable", "leaving", "gone", "not seen" or "not usable". */
const char *BkSeenUpstream_State(const BkSeenUpstream *upstream);

/* The last most audit entries. */
BkStatus BkCtl_ListLastAudit(BkCtl *ctl, int most, BkAuditList *list);

#endif
