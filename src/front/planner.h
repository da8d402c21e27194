/*
 * planner - decides which models and adapters each engine has loaded
 *
 * Every daemon runs this code; the one that holds the planner lease is the
 * planner, and only it sends load and unload orders to the engines.
 * election.c acquires and renews the lease, engines.c tracks the state of each
 * engine and sends the orders to it, adapters.c handles requested adapters,
 * demand.c collects the demand for each model, and planner.c decides.
 *
 * A planner does not inherit the state of the planner before it. It reads the
 * state of each engine before its first order to that engine. After a takeover
 * it assumes that the rate limit of the weight store (which serves model
 * weights to engines) is used up, unless it received the earlier planner's
 * list of recent loads.
 *
 * Plain "store" is the platform's store of configuration, reports and leases.
 */
#ifndef BK_FRONT_PLANNER_H
#define BK_FRONT_PLANNER_H

#include "bk/doubt/doubt.h"
#include "bk/lease/lease.h"
#include "bk/peer/gen/peer_xdr.h"
#include "bk/plan/plan.h"
#include "bk/plan/start.h"
#include "bk/plan/work.h"
#include "front.h"
#include "patience.h"

enum {
    FR_MAX_ADAPTER_REQUESTS = 32, /* pending at one engine */
    /* loads from the weight store within the window of its rate limit */
    FR_MAX_WEIGHT_LOADS = BKP_MAX_WEIGHT_LOADS,
    FR_MAX_MODEL_NAME = BKP_MAX_NAME /* bytes; of a model or adapter */
};

/* A load or unload order to an engine. */
typedef struct FrOrder {
    BkOrderKind kind;
    char model[FR_MAX_MODEL_NAME + 1];
    char adapter[FR_MAX_MODEL_NAME + 1]; /* "": the model itself */
    uint32_t model_key;
    uint32_t adapter_key;
    /* orders that the engine must have accepted before this one */
    uint64_t expected_order_count;
    bool from_weight_store; /* the weight store supplies the weights */
    BkMs first_sent_at;     /* time of the first try */
    int tries;
} FrOrder;

/* An adapter that requests are waiting for at an engine. */
typedef struct FrAdapterRequest {
    char model[FR_MAX_MODEL_NAME + 1];
    char adapter[FR_MAX_MODEL_NAME + 1];
    BkMs requested_at;
} FrAdapterRequest;

/* An adapter that occupies a slot on the engine, or may occupy one. Keys are
   hashes of names (BkStr_NameHash). */
typedef struct FrAdapterSlot {
    uint32_t model_key;
    uint32_t adapter_key;
    BkMs ordered_at;   /* 0: before this planner's term */
    BkMs last_used_at; /* when a request that uses it was last sent */
    bool announced;    /* that it is loaded was announced to the daemons */
} FrAdapterSlot;

/* An engine as the planner knows it; kept only during this daemon's term. */
typedef struct FrEngine {
    FrPlanner *planner;
    BkUp *up;
    /* the engine's own state was read in this term, and no order has made
       it uncertain */
    bool state_known;
    bool polling;
    BkMs next_poll_at;
    BkMs last_poll_at; /* when the last poll was sent */
    /* when a report in the store showed a finished load before any poll did */
    BkMs load_reported_at;
    /* what the engine says of itself in the responses that are being read */
    BkSignals signals;
    bool order_in_flight; /* an order was sent and not yet answered */
    /* no answer came, so the engine may or may not have accepted the order;
       it is sent again */
    bool order_unconfirmed;
    BkMs retry_at;
    FrOrder order; /* that is in flight or unconfirmed */
    /* a load from the weight store was ordered and given up without an answer,
       and may still begin */
    bool load_in_doubt;
    uint64_t doubtful_order_count; /* as in the order */
    BkMs doubt_until;
    BkMs wait_logged_at; /* when it was last logged that an order waits */
    /* models in the engine's memory according to its own state, even if they
       get no new requests */
    uint32_t held[BK_UP_MAX_MODELS];
    int held_count;
    /* held and slots have all that it holds; else nothing is loaded there */
    bool held_complete;
    uint32_t loading;   /* model; 0: none */
    uint32_t unloading; /* model; 0: none */
    BkMs change_due_at; /* when the load or unload should end */
    BkMs change_started_at;
    /* model for which another one was unloaded; 0: none */
    uint32_t reserved_for;
    BkMs reserved_until;
    FrAdapterRequest adapter_requests[FR_MAX_ADAPTER_REQUESTS];
    int adapter_request_count;
    FrAdapterSlot slots[BK_UP_MAX_ADAPTERS];
    int slot_count;
    /* fires when the next ordered adapter is expected to be loaded */
    BkTimer *slot_timer;
} FrEngine;

/* What one daemon told of its demand, sorted by model. */
typedef struct FrDemandSource {
    char *name;
    uint64_t started_at; /* of the daemon process, in ms since 1970 */
    BkMs received_at;
    bkp_demand *rows;
    u_int row_count;
    u_int row_cap;
} FrDemandSource;

/* Work asked of one model, in prompt-token equivalents per second. */
typedef struct FrModelWork {
    uint32_t model;
    BkWork work;
    int waiting; /* requests that wait for the model, as last counted */
} FrModelWork;

/* This daemon's demand for a model, and what it last told the planner. */
typedef struct FrOwnDemand {
    bkp_demand row;
    u_int told_requests;
    u_int told_waiting;
} FrOwnDemand;

struct FrPlanner {
    FrFront *front;
    BkTimer *timer;
    BkLease lease;
    BkLeaseRows rows;         /* as read so far; without the holder */
    uint64_t released_term;   /* by the row "beat" of these; 0: none */
    FrPatience patience;      /* with the calls of the lease */
    uint64_t heartbeat_count; /* written to the lease's row at each renewal */
    bool lease_released;      /* the daemon is stopping; no more claims */
    bool in_term; /* in a term of this daemon, from begin_term to end_term */
    uint64_t planned_term; /* while in_term: number of this term */
    BkPlanStart start;     /* while in_term */
    /* loads that this daemon ordered without an answer; kept beyond the
       engine's start and this daemon's term */
    BkDoubts doubts;
    BkMs store_ok_at; /* when the store was last known to answer this daemon */
    BkMs last_step_at;
    /* the process paused for so long that another daemon may have taken
       over; cleared when the lease is valid */
    bool stalled;
    FrEngine **engines;
    int engine_count;
    FrDemandSource *sources;
    int source_count;
    FrModelWork *model_work; /* sorted by model */
    int model_work_count;
    int model_work_cap;
    BkMs work_updated_at;
    BkMs last_plan_at;
    BkMs round_logged_at; /* when a round was logged as one a second is */
    /* when recent loads from the weight store began at the latest, also of
       those that an earlier planner listed in its messages; without those that
       FrEngine_HasPendingWeightLoad tells of */
    BkMs weight_load_times[FR_MAX_WEIGHT_LOADS];
    int weight_load_count;
    /* when weight_load_times was last received from another planner;
       BK_MS_NEVER: not since this daemon started */
    BkMs weight_loads_heard_at;
    /* this daemon's own demand, sent to the planner */
    FrOwnDemand *own_demands; /* sorted by model */
    int own_demand_count;
    int own_demand_cap;
    int next_told_again; /* where the search for rows to tell again begins */
    bkp_adapter_use own_adapter_uses[BKP_MAX_ADAPTER_USES];
    u_int own_adapter_use_count;
    BkMs demands_sent_at;
    BkCounter *order_counter;
    BkCounter *model_load_counter;
};

FrPlanner *FrPlanner_Create(FrFront *front);
void FrPlanner_Destroy(FrPlanner *planner);

/* Releases the lease because this daemon is stopping. */
void FrPlanner_Stop(FrPlanner *planner);

/* A load from the weight store may have begun at that time. */
void FrPlanner_RecordWeightLoad(FrPlanner *planner, BkMs at);

/* Sets the planner's fields of a message to all daemons. The message points
 * into weight_load_ages, which has room for BKP_MAX_WEIGHT_LOADS ages. Returns
 * false if this daemon is not the planner. */
bool FrPlanner_FillBeat(FrPlanner *planner, bkp_planner_beat *beat,
                        u_int *weight_load_ages, BkMs now);

/* Whether this daemon may send orders to engines now. */
bool FrPlanner_IsActive(const FrPlanner *planner, BkMs now);

/* Handles the fields that FrPlanner_FillBeat set in another planner's message.
 */
void FrPlanner_HandleBeat(FrPlanner *planner, const bkp_planner_beat *beat,
                          BkMs now);

/* Count a request for a model, and the use of an adapter at an upstream (in
 * demand.c). work: of the request, in prompt-token equivalents. */
void FrDemand_NoteRequest(FrPlanner *planner, uint32_t model_key,
                          int64_t work);
void FrDemand_NoteAdapterUse(FrPlanner *planner, const BkUp *up,
                             uint32_t model_key, uint32_t adapter_key);

/* Asks the planner to load an adapter on an engine that holds its model. */
void FrPlanner_RequestAdapter(FrFront *front, const BkUp *up,
                              const char *model, const char *adapter);

/* Handles a daemon's message about its demand (in demand.c). */
void FrDemand_Handle(FrPlanner *planner, const bkp_demands *demands, BkMs now);

/* As the planner: handles a daemon's request for an adapter at up. */
void FrPlanner_HandleAdapterRequest(FrPlanner *planner, uint32_t up_key,
                                    const char *model, const char *adapter,
                                    BkMs now);

/* Updates the fleet with changes that the planner announced. */
void FrPlanner_ApplyChanges(FrFront *front, const bkp_changes *changes);

/* Applies a change of an engine's models or adapters to this daemon's fleet,
 * and sends it to all other daemons. */
void FrPlanner_Announce(FrPlanner *planner, bkp_change_kind kind,
                        const BkUp *up, uint32_t model_key,
                        uint32_t adapter_key);

/* Announces in the same way that the model is expected to be ready at the
 * engine after eta. */
void FrPlanner_AnnounceExpected(FrPlanner *planner, const BkUp *up,
                                uint32_t model_key, BkMs eta);

/* election.c: the planner lease */

void FrElection_Init(FrPlanner *planner);

/* Starts the next read, claim or renewal of the lease if it is due. */
void FrElection_Step(FrPlanner *planner, BkMs now);

/* Gives up the lease, if held, and writes that to the store. */
void FrElection_Release(FrPlanner *planner);

/* demand.c: demand for models, from all daemons */

/* Sends this daemon's demand to the planner at regular intervals. */
void FrDemand_Send(FrPlanner *planner, BkMs now);

/* Forgets what daemons told this one in its earlier terms. */
void FrDemand_BeginTerm(FrPlanner *planner);

/* As the planner: updates the work rates from the demand received. */
void FrDemand_UpdateWork(FrPlanner *planner, BkMs now);

/* In prompt-token equivalents per second; zeros if the model is not known. */
BkWork FrDemand_GetWork(const FrPlanner *planner, uint32_t model_key);

/* Counts the requests that wait, for FrDemand_GetWaiting. */
void FrDemand_UpdateWaiting(FrPlanner *planner, BkMs now);

/* Requests that wait because no engine holds the model. */
int FrDemand_GetWaiting(const FrPlanner *planner, uint32_t model_key);
void FrDemand_Destroy(FrPlanner *planner);

/* engines.c: the engines' state, and orders to them */

/* Adds and removes engines so that the list matches the fleet. */
void FrEngines_Update(FrPlanner *planner);

/* Removes all engines with what is known of their state. */
void FrEngines_Clear(FrPlanner *planner);

/* By the key of the upstream; NULL if there is none. */
FrEngine *FrEngines_Find(const FrPlanner *planner, uint32_t up_key);

/* Sends an order again, polls the state, or sends the next adapter order,
 * whichever is due. */
void FrEngine_Step(FrEngine *engine, BkMs now);

/* Whether its state is known, and no order, load or unload is under way. */
bool FrEngine_IsIdle(const FrEngine *engine);

/* What must be free after the next order, for loads in doubt. */
BkDoubtRoom FrEngine_GetDoubtfulRoom(const FrEngine *engine, BkMs now);

/* Whether the loads in doubt would still fit after the order. An unload frees
 * nothing as long as what it unloads is in use. */
bool FrEngine_MayOrder(FrEngine *engine, const FrOrder *order, BkMs now);
void FrEngine_SendOrder(FrEngine *engine, const FrOrder *order, BkMs now);

/* Whether a load from the weight store was ordered there without an answer, so
 * that it may begin at any time. */
bool FrEngine_HasPendingWeightLoad(const FrEngine *engine);

/* The engine's part of the configuration; NULL if its service is gone from
 * it. */
const BkSiteEngine *FrEngine_FindSiteEngine(const FrEngine *engine);

/* adapters.c: requested adapters, and those in the engines' slots */

void FrAdapters_Request(FrEngine *engine, const char *model,
                        const char *adapter, BkMs now);
void FrAdapters_NoteUse(FrEngine *engine, uint32_t model_key,
                        uint32_t adapter_key, BkMs now);

/* Sends the next order for the requested adapters, if any. */
void FrAdapters_Step(FrEngine *engine, BkMs now);

/* Callback of slot_timer: announces to the daemons which ordered adapters are
 * expected to be loaded by now. arg is the engine. */
void FrAdapters_AnnounceReady(void *arg);

/* Megabytes of the models and adapters that the engine holds. */
double FrAdapters_TotalUsedMb(const FrEngine *engine,
                              const BkSiteEngine *site_engine);

/* Rebuilds the slots from what the engine says that it holds. up->adapters
 * would not do: it lacks adapters that get no new requests. Returns false if
 * there are more than can be counted. */
bool FrAdapters_UpdateSlots(FrEngine *engine, const BkUpReport *held);

/* The engine accepted an order for an adapter. already_done: it has carried
 * the order out; else it is still doing so. */
void FrAdapters_HandleAccepted(FrEngine *engine, const FrOrder *order,
                               bool already_done, BkMs now);

/* Removes the slots of a model that was unloaded. */
void FrAdapters_DropModel(FrEngine *engine, uint32_t model_key);

/* Memory of the engine that its adapters use, in MB. */
double FrAdapters_UsedMb(const FrEngine *engine,
                         const BkSiteEngine *site_engine);

#endif
