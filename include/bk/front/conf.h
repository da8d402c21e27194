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
    char *callers;      /* "ip:port" for callers */
    char *ops;          /* "ip:port" for readiness and metrics */
    char *ready_path;   /* asked for by the balancer */
    char *metrics_path; /* asked for by monitoring */
    char *peers;        /* "ip:port", UDP, for other daemons */
    char *seeds;        /* addresses of some VMs, by commas */
    char *store;        /* "ip:port" of the table service */
    BkMs lease;
    bool fenced;      /* engines refuse orders with an old fencing number */
    BkMs fence_slack; /* orders count again so long after a freeze */
    double load_overshoot;
    BkMs load_window;
    double retry_ratio;
    int64_t retry_slack;
    BkMs retry_window;
    BkMs grace;        /* from SIGTERM to SIGKILL */
    int64_t log_lines; /* a second, of severity info and below */
    int64_t descriptors;
    /* routing */
    int64_t pick_window;
    int64_t pick_per_run;
    int64_t pick_affinity;
    int64_t pick_far;
    double pick_full;
} FrConf;

/* ERRORS: BK_ECONFIG with file, line and key as the message. */
BkStatus FrConf_Load(const char *path, FrConf *out);
void FrConf_Destroy(FrConf *conf);

#endif
