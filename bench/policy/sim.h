/*
 * sim - simulation of a deployment for the policy benchmark
 *
 * Replays a generated trace of requests in virtual time. Each replica is
 * modelled by a simple queue formula; the formula and its limits are in
 * docs/design/bench.md. The decisions are made by the daemons' own functions
 * (place, route, fair shares, retry budget, ledger, view). Nothing else of a
 * cluster is modelled.
 *
 * The parameter up is the index of an upstream and of its replica; item is an
 * index in the bundle; req_index is an index in the trace and in reqs.
 */
#ifndef BK_BENCH_SIM_H
#define BK_BENCH_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/ledger/ledger.h"
#include "bk/place/place.h"
#include "bk/route/route.h"
#include "bk/view/view.h"

#define TICK ((BkMs)5) /* step of virtual time */
/* latency targets: time to the first token, and between tokens */
#define FIRST_TOKEN_LIMIT ((BkMs)520)
#define TOKEN_INTERVAL_LIMIT ((BkMs)44)
/* upstreams observed longer ago are not used */
#define STALE_AFTER (3 * BK_MS_PER_S)

enum {
    ENTRIES = 8,
    DAEMONS = 16, /* an entry and a steward on each VM */
    MAX_UPS = 32,
    MAX_ITEMS = 256,
    MAX_SLOTS = 64,
    MAX_MOVES = 16
};

typedef struct Deployment {
    const char *name;
    int domains;
    int engines;
    int services;
    int models;
    int adapters;
    int memory_gib;
    BkMs client_latency; /* one way between callers and entries */
    BkMs hop_latency; /* one way between entries and replicas, taken to be in
                         different failure domains */
    BkPlaceConf place;
} Deployment;

typedef enum ScenarioKind {
    STEADY,
    BURSTS,
    TENFOLD,
    REPLICA_LOST,
    DOMAIN_LOST,
    ROLL,
    PLATFORM_OUT,
    REPORTS_LAG,
    OVERLOAD,
    SCENARIO_COUNT
} ScenarioKind;

typedef struct Scenario {
    ScenarioKind kind;
    const char *name;
    int seconds;
    double offered_load; /* offered work as a share of all slots */
    BkMs report_lag;
    /* start and end of a loss of replicas or an outage of the platform; start
       of a roll */
    BkMs fault_from;
    BkMs fault_until;
} Scenario;

/* The product's own policy, or one with a part replaced by a baseline. */
typedef struct Policy {
    const char *name;
    BkPlacePolicy place;
    BkRoutePolicy route;
    bool admit_all;
} Policy;

typedef struct Arrival {
    BkMs at;
    uint64_t prefix;
    int item;
    int tokens;
    int entry;
    int caller;
} Arrival;

typedef struct Trace {
    Arrival *arrivals;
    int count;
    double weight[MAX_ITEMS]; /* request rate of the item as a share of rate */
    /* mean requests per second for models and adapters, without bursts */
    double rate;
} Trace;

typedef enum ReqState {
    REQ_OPEN, /* not finished */
    REQ_ON_TIME,
    REQ_LATE,
    REQ_REFUSED,
    REQ_UNKNOWN, /* not repeatable; its replica crashed before it answered */
    REQ_FAILED   /* no attempt succeeded */
} ReqState;

typedef struct Req {
    ReqState state;
    /* when the caller receives the first token; BK_MS_NEVER: not known */
    BkMs first_token_at;
    BkMs token_interval;
    BkMs started_at;  /* when it got its slot */
    bool interrupted; /* resumed on another replica after its first token */
    int run_count;    /* how often it started to run */
    int answer_count;
    BkRouteQuery query;
} Req;

typedef struct Running {
    int req_index;
    BkMs finish_at;
} Running;

typedef struct Waiting {
    int req_index;
    BkMs arrived_at;
} Waiting;

/* An item that is loaded on a replica, or being loaded or unloaded. */
typedef struct Instance {
    char *name;
    int item;
    char *version;
    uint64_t bytes;
    BkInstState state;
    BkMs state_end; /* when a load or unload in progress finishes */
} Instance;

enum {
    PREFIX_CACHE_SIZE = 1024, /* prompt prefixes that an engine caches */
    HISTORY_SIZE = 64,        /* load samples kept */
    MAX_INSTANCES = 256
};

#define SAMPLE_PERIOD ((BkMs)100) /* between load samples */

/* Numbers of requests on a replica. */
typedef struct LoadSample {
    int running;
    int waiting;
} LoadSample;

/* The process of an upstream: an engine or a service. */
typedef struct Replica {
    bool crashed;
    bool is_service;
    uint32_t boot;
    int slots;
    uint64_t memory;
    Running running[MAX_SLOTS];
    int running_count;
    Waiting *queue; /* ring buffer */
    int queue_head;
    int queue_count;
    int queue_cap;
    uint64_t prefixes[PREFIX_CACHE_SIZE];
    Instance instances[MAX_INSTANCES];
    int instance_count;
    int changing_count; /* instances that are loading or unloading */
    /* no running request finishes before this time */
    BkMs earliest_finish;
    uint64_t instances_version; /* incremented when the instances change */
    LoadSample history[HISTORY_SIZE];
} Replica;

typedef struct Entry {
    BkView *view;
    BkRoute route;
    BkRetryBucket budget;
    BkFairShare *fair_share;
    /* instances_version of each replica when its instances were last read */
    uint64_t known_versions[MAX_UPS];
    /* number of the window of the last batch of claims */
    BkMs last_claim_window;
    double request_counts[MAX_ITEMS]; /* per item, since the last planning */
} Entry;

typedef struct Planner {
    BkView *view;
    BkLedger *ledgers[MAX_UPS];
    BkDemand demand[MAX_ITEMS];
    uint64_t known_versions[MAX_UPS]; /* as in Entry */
    double load_tokens;
    int loading_count; /* loads in progress on all replicas */
} Planner;

typedef struct Score {
    int64_t offered;
    int64_t on_time;
    int64_t completed; /* answered completely, whether on time or late */
    int64_t first_token_on_time; /* completed, first token within its limit */
    int64_t tokens_on_time;      /* completed, other tokens within theirs */
    int64_t refused;
    int64_t late;
    int64_t unknown;
    int64_t failed;
    int64_t lost;        /* neither answered nor refused */
    int64_t doubled;     /* answered twice, or not repeatable and run twice */
    int64_t moves;       /* loads and unloads that were ordered */
    int64_t overcommits; /* loads beyond the memory of a replica */
    int64_t unreachable_seconds; /* without a usable copy, summed over items */
    int64_t platform_reads;
    int64_t platform_writes;
    int64_t control_bytes;
} Score;

typedef struct Sim {
    const Deployment *dep;
    const Scenario *scenario;
    const Policy *policy;
    const Trace *trace;
    BkBundle *bundles[2]; /* before and after the roll */
    int item_of[MAX_ITEMS];
    Replica replicas[MAX_UPS];
    int up_count;
    Entry entries[ENTRIES];
    Planner planner;
    Req *reqs;
    BkMs now;
    bool platform_out;
    Score score;
} Sim;

/* deployment.c */
extern const Deployment deployments[];
extern const int deployment_count;
BkBundle *bundle_create(const Deployment *dep, int version);
double deployment_capacity(const Deployment *dep); /* requests per second */

/* trace.c */
extern const Scenario scenarios[SCENARIO_COUNT];
Trace trace_generate(const Deployment *dep, const BkBundle *bundle,
                     const Scenario *scenario, uint64_t seed);
void trace_free(Trace *trace);

/* replica.c */
double mean_slot_seconds(void); /* seconds that a request occupies a slot */
void replica_init(Replica *replica, const BkUpstream *upstream);
void replica_free(Replica *replica);
void replica_advance(Sim *sim, int up);
void replica_accept(Sim *sim, int up, int req_index, BkMs arrived_at);
void replica_crash(Sim *sim, int up);
void replica_restart(Sim *sim, int up);
bool replica_can_serve(const Sim *sim, int up, int item);
Instance *replica_load(Sim *sim, int up, const char *name, int item,
                       const BkBundle *bundle);
void replica_unload(Sim *sim, int up, const char *name);
LoadSample replica_reported_load(const Sim *sim, int up);
void replica_write_state(const Sim *sim, int up, const BkBundle *bundle,
                         BkBuf *out);
uint64_t replica_used_memory(const Replica *replica);

/* entry.c */
void entry_init(Sim *sim, int entry_index);
void entry_free(Entry *entry);
void entry_handle_arrival(Sim *sim, int req_index);
void entry_handle_answer(Sim *sim, int up, int req_index, BkMs finished_at);
void entry_handle_crash(Sim *sim, int up, int req_index);
void entry_observe(Sim *sim, int entry_index, int up);
void observe_upstream(Sim *sim, BkView *view, uint64_t *known_versions, int up,
                      BkMs age);

/* planner.c */
void planner_init(Sim *sim);
void planner_free(Sim *sim);
void planner_observe(Sim *sim, int up);
void planner_decide(Sim *sim);

/* run.c */
Score sim_run(const Deployment *dep, const Scenario *scenario,
              const Policy *policy, const Trace *trace);

/* report.c; the bounds are documented with their settings */
typedef struct Bounds {
    int64_t lost;
    int64_t doubled;
    int64_t overcommits;
    int64_t unreachable_seconds;
    double first_token_share;
    double token_share;
    double burst_factor;
    double move_share;
} Bounds;

typedef struct Result {
    const Deployment *dep;
    const Scenario *scenario;
    const Policy *policy;
    Score score;
} Result;

BkStatus bounds_load(const char *path, Bounds *bounds);
void result_print(const Result *result, uint64_t seed);

/* Checks the results of one scenario against the bounds; results[0] is that
 * of the product's own policy. Returns the number of broken bounds. */
int results_check(const Bounds *bounds, const Result *results, int count);

#endif
