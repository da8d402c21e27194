/*
 * report - what an upstream of the users' platform says about itself
 *
 * It stands in the store, under the upstream's id, and is a little late. The
 * adapter decodes it; see fleet.h for what becomes of it.
 */
#ifndef BK_FLEET_REPORT_H
#define BK_FLEET_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/str.h"

/* A model that an engine holds ready. */
typedef struct BkHeldModel {
    char *name;
    char **adapters; /* names without the model's */
    int adapter_count;
} BkHeldModel;

typedef struct BkUpReport {
    char *id;
    char *address; /* "ip:port" */
    char *service;
    char *domain; /* failure domain */
    int slots;
    bool draining;
    BkMs leaves_in; /* until it is taken away; BK_MS_NEVER: not told */
    BkMs cold_for;  /* slow after its start for so long */
    uint64_t born;  /* start, in ms since 1970; 0: not told */
    BkHeldModel *models;
    int model_count;
    char **in_memory; /* weights at hand in memory */
    int in_memory_count;
    char **on_disk;
    int on_disk_count;
} BkUpReport;

void BkUpReport_Destroy(BkUpReport *report);

#endif
