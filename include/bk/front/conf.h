/*
 * conf - settings of bk-front
 *
 * The platform renders the file from platform/bk-front.ini.in at each start.
 */
#ifndef BK_FRONT_CONF_H
#define BK_FRONT_CONF_H

#include "bk/base/settings.h"

typedef struct FrConf {
    char *name;
    char *domain; /* failure domain */
    char *log_level;
    char *callers_address; /* "ip:port" for callers */
    char *ops_address;     /* "ip:port" for readiness and metrics */
    char *ready_path;      /* readiness path, requested by the load balancer */
    char *metrics_path;    /* requested by monitoring */
    char *peers_address;   /* "ip:port", UDP, for other daemons */
    char *seeds;           /* addresses of some VMs, separated by commas */
    char *store_address;   /* "ip:port" of the table service */
    BkMs lease_duration;   /* duration of the planner's lease */
    bool fenced; /* engines refuse orders with an old fencing number */
    /* longest time that an order can still be in transit after the process
       that sent it was paused; the daemon stops relying on the lease this much
       earlier */
    BkMs max_order_transit;
    /* the limit of loads from the weight store may be exceeded by this factor
       within load_window */
    double load_overshoot;
    BkMs load_window;
    /* budget of retries, of all daemons together: see bk/budget/budget.h */
    double retry_ratio; /* retries for each request */
    double retry_slack; /* further retries in a window */
    BkMs retry_window;
    bool first_start; /* no stream began before this process started */
    BkMs stop_grace;  /* from SIGTERM to SIGKILL */
    /* most events logged a second, of severity info or less severe; further
       ones are dropped */
    int64_t log_lines;
    int64_t max_descriptors; /* file descriptors that the process may have */
    double memory_mb;        /* megabytes that the process may use */
    /* routing: see bk/pick/pick.h */
    int64_t prefill_window; /* most unprocessed prompt tokens on one engine */
    int64_t tokens_per_run; /* tokens that a running request counts as */
    int64_t affinity_slack; /* extra backlog accepted for a cached prefix */
    /* tokens added to the backlog of an upstream in another failure domain */
    int64_t cross_domain_cost;
    /* plain service: an upstream with this many requests for each of its
       slots is full */
    double max_load_ratio;
    /* how long requests with a trait that crashes upstreams are refused before
       one is tried: see bk/quarantine/verdict.h */
    BkMs quarantine_probation;
    BkMs quarantine_term;
    /* how long this daemon remembers at which software version a stream
       began; longer than a stream may last */
    BkMs stream_memory;
} FrConf;

/* Reads the settings in the file at path into out, which is to be destroyed
 * after an error too. ERRORS: BK_ECONFIG; the message names file, line and
 * key. */
BkStatus FrConf_Load(const char *path, FrConf *out);
void FrConf_Destroy(FrConf *conf);

#endif
