/*
 * overview - state of the whole installation, from the platform's rows and
 * from the daemons
 */
#ifndef BK_CTL_OVERVIEW_H
#define BK_CTL_OVERVIEW_H

#include "change.h"
#include "rows.h"

/* An upstream as reported by a daemon. */
typedef struct BkCtlUpstream {
    char *name;
    char *domain;
    bool is_service; /* else an engine; a service has no instances */
    bool usable;
    bool leaving;
    bool excluded;       /* by the VM list or by a drain */
    int ready_instances; /* model instances that are ready */
    BkMs seen_age;       /* since it was last observed; -1: never */
    int running;
    int waiting;
} BkCtlUpstream;

/* A daemon in the settings; without a response, only addr is set. */
typedef struct BkDaemonState {
    char *addr;
    bool responded;
    char *name;
    char *role;
    char *reason;             /* why it is not ready */
    uint64_t active_version;  /* bundle version that it uses */
    uint64_t highest_version; /* highest bundle version that it knows */
    bool current;             /* active_version is known to be up to date */
    bool ready;
    BkCtlUpstream *upstreams;
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
    BK_CTL_ERROR_SIZE = 256 /* buffer size for an error message */
};

typedef struct BkCtlOverview {
    /* BK_OK: in_force to audit were all read; else those that were not read
       are zeroed */
    BkStatus platform_status;
    char platform_error[BK_CTL_ERROR_SIZE]; /* if it is not BK_OK */
    BkInForceRow in_force;
    BkProgressRow progress;
    BkTermRow term;
    BkDrainList drains;
    BkAuditList audit; /* the latest entries */
    BkDaemonList daemons;
    /* latest report on each upstream, sorted by name; owned by daemons */
    BkCtlUpstream **upstreams;
    int upstream_count;
} BkCtlOverview;

/* Sends GET /ops/status to all daemons and decodes the responses. */
void BkCtl_FetchDaemonStates(BkCtl *ctl, BkDaemonList *daemons);

/* Counts the daemons that use this bundle version or a later one. */
int BkDaemonList_CountActive(const BkDaemonList *daemons, uint64_t version);

/* The highest bundle version that a daemon uses; 0: none. */
uint64_t BkDaemonList_HighestActive(const BkDaemonList *daemons);
void BkDaemonList_Clear(BkDaemonList *daemons);

/* Reads the platform's rows and the status of all daemons, and at most
 * audit_count of the latest audit entries. */
void BkCtl_ReadOverview(BkCtl *ctl, int audit_count, BkCtlOverview *overview);
void BkCtlOverview_Clear(BkCtlOverview *overview);

/* The drain row of an upstream; NULL if it is not drained. */
const BkDrainRow *BkCtlOverview_FindDrain(const BkCtlOverview *overview,
                                          const char *name);

/* "usable", "leaving", "gone" (excluded, by the VM list or by a drain), "not
 * seen" or "not usable". */
const char *BkCtlUpstream_State(const BkCtlUpstream *upstream);

/* Reads the latest audit entries, at most max of them. */
BkStatus BkCtl_ListLastAudit(BkCtl *ctl, int max, BkAuditList *list);

#endif
