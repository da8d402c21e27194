/*
 * world - what the policy bench runs: a script in virtual time
 *
 * A loop over a scripted trace with a short queue formula per replica. The
 * decisions are the daemons' own functions (place, route, fair shares, retry
 * budget, ledger, view); nothing else of a cluster is modelled. The formula
 * and its limits are in docs/design/bench.md.
 */
#ifndef BK_BENCH_WORLD_H
#define BK_BENCH_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/ledger/ledger.h"
#include "bk/place/place.h"
#include "bk/route/route.h"
#include "bk/view/view.h"

#define TICK ((BkMs)5)
#define FIRST_TOKEN_LIMIT ((BkMs)520)
#define TOKEN_LIMIT ((BkMs)44)
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
    BkMs client_way; /* one way between callers and entries */
    BkMs hop_way;    /* one way between failure domains */
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
    SCENARIOS
} ScenarioKind;

typedef struct Scenario {
    ScenarioKind kind;
    const char *name;
    int seconds;
    double use; /* offered work as a share of all slots */
    BkMs report_lag;
    BkMs fault_from; /* replica or domain lost, platform out, roll */
    BkMs fault_until;
} Scenario;

/* What runs: the product's own, or one part of it replaced by a baseline. */
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
    double weight[MAX_ITEMS]; /* share of the usual traffic */
    double rate;              /* requests a second of the usual traffic */
} Trace;

typedef enum ReqState {
    REQ_OPEN,
    REQ_ON_TIME,
    REQ_LATE,
    REQ_REFUSED,
    REQ_UNKNOWN, /* its replica died while a call ran that is not repeatable */
    REQ_FAILED   /* given up on after attempts */
} ReqState;

typedef struct Req {
    ReqState state;
    BkMs first; /* token at the caller; BK_MS_NEVER: not yet */
    BkMs per_token;
    BkMs started; /* in its slot */
    bool gap;     /* resumed elsewhere after its first token */
    int runs;     /* starts at an upstream */
    int answers;
    BkRouteQuery query;
} Req;

typedef struct Running {
    int req;
    BkMs finish;
} Running;

typedef struct Waiting {
    int req;
    BkMs from;
} Waiting;

typedef struct Held {
    char *name; /* instance */
    int item;
    char *version;
    uint64_t bytes;
    BkInstState state;
    BkMs changes; /* when it is ready, or gone */
} Held;

enum {
    PREFIX_SLOTS = 1024, /* prompt prefixes that an engine keeps */
    HISTORY = 64,        /* load samples, one each SAMPLE */
    MAX_HELD = 256
};

#define SAMPLE ((BkMs)100)

typedef struct Load {
    int running;
    int waiting;
} Load;

/* A replica, engine or service. */
typedef struct Replica {
    bool dead;
    bool service;
    uint32_t boot;
    int slots;
    uint64_t memory;
    Running running[MAX_SLOTS];
    int running_count;
    Waiting *queue; /* ring */
    int queue_head;
    int queue_count;
    int queue_cap;
    uint64_t prefixes[PREFIX_SLOTS];
    Held held[MAX_HELD];
    int held_count;
    int in_change;    /* of held: loading or unloading */
    BkMs quiet_until; /* no running request finishes before */
    uint64_t list_version;
    Load history[HISTORY];
} Replica;

typedef struct Entry {
    BkView *view;
    BkRoute route;
    BkRetryBudget budget;
    BkFairShare *fair;
    uint64_t known_list[MAX_UPS];
    BkMs claims_at; /* window of the last batch of claims */
    double asked[MAX_ITEMS];
} Entry;

typedef struct Planner {
    BkView *view;
    BkLedger *ledgers[MAX_UPS];
    BkDemand demand[MAX_ITEMS];
    uint64_t known_list[MAX_UPS];
    double load_tokens;
    int loading;
} Planner;

typedef struct Score {
    int64_t offered;
    int64_t on_time;
    int64_t admitted; /* answered to the end */
    int64_t first_in_time;
    int64_t tokens_in_time;
    int64_t refused;
    int64_t late;
    int64_t unknown;
    int64_t failed;
    int64_t lost;
    int64_t doubled;
    int64_t moves;
    int64_t overcommits;
    int64_t unreachable; /* item-seconds */
    int64_t platform_reads;
    int64_t platform_writes;
    int64_t control_bytes;
} Score;

typedef struct World {
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
} World;

/* deployment.c */
extern const Deployment deployments[];
extern const int deployment_count;
BkBundle *bundle_make(const Deployment *dep, int version);
double capacity_of(const Deployment *dep); /* requests a second */

/* trace.c */
extern const Scenario scenarios[SCENARIOS];
Trace trace_make(const Deployment *dep, const BkBundle *bundle,
                 const Scenario *scenario, uint64_t seed);
void trace_free(Trace *trace);

/* replica.c */
double mean_work(void); /* seconds of a slot that a request takes */
void replica_init(Replica *replica, const BkUpstream *upstream);
void replica_free(Replica *replica);
void replica_advance(World *w, int up);
void replica_accept(World *w, int up, int req, BkMs at);
void replica_kill(World *w, int up);
void replica_revive(World *w, int up);
bool replica_has(const World *w, int up, int item);
Held *replica_hold(World *w, int up, const char *name, int item,
                   const BkBundle *bundle);
void replica_drop(World *w, int up, const char *name);
Load replica_report(const World *w, int up);
void replica_state(const World *w, int up, const BkBundle *bundle, BkBuf *out);
uint64_t replica_used(const Replica *replica);

/* entry.c */
void entry_init(World *w, int index);
void entry_free(Entry *entry);
void entry_arrive(World *w, int req);
void entry_done(World *w, int up, int req, BkMs at);
void entry_cut(World *w, int up, int req);
void entry_observe(World *w, int index, int up);
void observe(World *w, BkView *view, uint64_t *known, int up, BkMs age);

/* planner.c */
void planner_init(World *w);
void planner_free(World *w);
void planner_observe(World *w, int up);
void planner_decide(World *w);

/* run.c */
Score world_run(const Deployment *dep, const Scenario *scenario,
                const Policy *policy, const Trace *trace);

/* report.c */
typedef struct Bounds {
    int64_t lost;
    int64_t doubled;
    int64_t overcommits;
    int64_t unreachable;
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

/* Judges the results of one scenario; results[0] is the product's own.
 * Returns the number of bounds that are broken. */
int results_judge(const Bounds *bounds, const Result *results, int count);

#endif
