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
typedef struct BkLoadedModel {
    char *name;
    char **adapters; /* their names, without the model's name */
    int adapter_count;
} BkLoadedModel;

typedef struct BkUpReport {
    char *id;
    char *address; /* "ip:port" */
    char *service;
    char *domain; /* failure domain */
    /* version of its own software, not of the weights; NULL: not reported */
    char *software;
    int slots;       /* requests that it can run at the same time */
    bool draining;   /* finishes its requests and accepts no new ones */
    BkMs removal_in; /* time until it is removed; BK_MS_NEVER: not reported */
    BkMs cold_for;   /* remaining time in which it is slow after its start */
    uint64_t started_at; /* start time, in ms since 1970; 0: not reported */
    BkLoadedModel *models;
    int model_count;
    char **cached_in_memory; /* models with weights cached in host memory */
    int cached_in_memory_count;
    char **cached_on_disk; /* models with weights cached on the local disk */
    int cached_on_disk_count;
} BkUpReport;

void BkUpReport_Destroy(BkUpReport *report);

#endif
