/*
 * report - an upstream's report about itself
 *
 * Upstreams of the users' platform write their reports to the store, under
 * their ids, so a report lags behind the upstream's current state. The
 * platform adapter decodes it; fleet.h applies it.
 */
#ifndef BK_FLEET_REPORT_H
#define BK_FLEET_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/str.h"

/* A model that is loaded on an engine and ready for requests. */
typedef struct BkHeldModel {
    char *name;
    char **adapters; /* their names, without the model's name */
    int adapter_count;
} BkHeldModel;

typedef struct BkUpReport {
    char *id;
    char *address; /* "ip:port" */
    char *service;
    char *domain;   /* failure domain */
    int slots;      /* requests that it can run at the same time */
    bool draining;  /* finishes its requests and accepts no new ones */
    BkMs leaves_in; /* time until it is removed; BK_MS_NEVER: not reported */
    BkMs cold_for;  /* remaining time in which it is slow after its start */
    uint64_t born;  /* start time, in ms since 1970; 0: not reported */
    BkHeldModel *models;
    int model_count;
    char **in_memory; /* models with weights cached in host memory */
    int in_memory_count;
    char **on_disk; /* models with weights cached on the local disk */
    int on_disk_count;
} BkUpReport;

void BkUpReport_Destroy(BkUpReport *report);

#endif
