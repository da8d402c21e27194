#include "admission.h"
#include "budget_inputs.h"
#include "links.h"
#include "memory.h"
#include "origins.h"
#include "peers.h"
#include "planner.h"
#include "quarantine.h"
#include "stop.h"

#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"

enum {
    SWEEP_PERIOD = 200 /* ms */
};

static void
free_dead(void *arg)
{
    FrFront *front = arg;

    FrCallerConns_EndRequestsOfDead(front);
    FrUpConn_FreeDead(front);
    while (front->dead_requests != NULL) {
        FrRequest *request = front->dead_requests;
        front->dead_requests = request->next;
        FrRequest_Free(request);
    }
    while (front->dead_caller_conns != NULL) {
        FrCallerConn *conn = front->dead_caller_conns;
        front->dead_caller_conns = conn->next;
        FrCallerConn_Free(conn);
    }
}

void
FrFront_ScheduleReap(FrFront *front)
{
    if (!BkTimer_Running(front->reap_timer)) {
        BkTimer_Start(front->reap_timer, 0);
    }
}

static FrServiceBudget *
find_or_add_budget(FrFront *front, uint32_t service)
{
    int i = 0;

    while (i < front->budget_count && front->budgets[i].service != service) {
        i++;
    }
    if (i == front->budget_count) {
        /* when the table is full, further services share its last row */
        if (i == FR_MAX_SERVICES) {
            return &front->budgets[FR_MAX_SERVICES - 1];
        }
        front->budgets[i].service = service;
        front->budget_count++;
    }
    return &front->budgets[i];
}

int
FrFront_CountDaemons(const FrFront *front)
{
    return FrPeers_AreListed(front->peers) ? FrPeers_Count(front->peers) : 0;
}

static BkBudgetConf
make_budget_conf(const FrFront *front)
{
    return (BkBudgetConf){.ratio = front->conf.retry_ratio,
                          .slack = front->conf.retry_slack,
                          .window = front->conf.retry_window,
                          .started_at = front->started_at,
                          .usable_share = BK_BUDGET_USABLE_SHARE};
}

void
FrFront_CountRequest(FrFront *front, uint32_t service, BkMs now)
{
    BkBudgetConf conf = make_budget_conf(front);
    FrServiceBudget *budget = find_or_add_budget(front, service);

    FrBudgetInputs_Request(front, budget, &conf, now);
    BkBudget_CountRequest(&budget->budget, &conf, now);
}

bool
FrFront_TakeRetry(FrFront *front, FrRequest *request, BkMs now)
{
    BkBudgetConf conf = make_budget_conf(front);
    FrServiceBudget *budget =
        find_or_add_budget(front, request->query.service);
    int daemons = FrFront_CountDaemons(front);
    BkBudgetState state =
        BkBudget_Inspect(&budget->budget, &conf, daemons, now);

    FrBudgetInputs_Flush(front, budget);
    request->retry_open =
        BkBudget_TakeRetry(&budget->budget, &conf, daemons, now);
    request->retry_taken_at = now;
    BkLog_Event(request->retry_open ? BK_LOG_INFO : BK_LOG_DEBUG, "budget",
                request->id, "retry",
                "s:I, s:i, s:s, s:b, s:i, s:f, s:f, s:i, s:i, s:I", "now",
                (json_int_t)now, "row", (int)(budget - front->budgets),
                "service", request->service, "granted", request->retry_open,
                "arrivals", request->arrival_count, "earned", state.earned,
                "bucket", state.bucket, "late", state.late, "daemons", daemons,
                "up_ms", (json_int_t)(now - front->started_at));
    return request->retry_open;
}

void
FrFront_EndRetry(FrFront *front, FrRequest *request, BkMs now)
{
    BkBudgetConf conf = make_budget_conf(front);

    if (request->retry_open) {
        FrServiceBudget *budget =
            find_or_add_budget(front, request->query.service);
        request->retry_open = false;
        FrBudgetInputs_EndRetry(front, budget, request, now);
        BkBudget_EndRetry(&budget->budget, &conf, request->retry_taken_at,
                          now);
    }
}

bool
FrFront_IsFirstStart(const FrFront *front)
{
    return front->conf.first_start && front->first_start_known;
}

bool
FrFront_IsReady(const FrFront *front)
{
    return !front->stopping && front->site != NULL &&
           front->fleet.list_complete;
}

static void
close_idle_connections(FrFront *front, BkMs now)
{
    for (int i = 0; i < front->fleet.count; i++) {
        BkUp *up = front->fleet.ups[i];
        FrUpConnPool_CloseIdle(up, now, !BkUp_IsOpen(up));
    }
    for (int i = 0; i < front->fleet.replaced_count; i++) {
        FrUpConnPool_CloseIdle(front->fleet.replaced[i], now, true);
    }
    FrPeers_CloseIdle(front->peers, now);
}

static void
on_sweep_timer(void *arg)
{
    FrFront *front = arg;
    BkMs now = BkClock_Now();

    FrCallerConns_Sweep(front, now);
    FrMemory_Step(front, now);
    /* frees the pools of upstreams that the fleet may free then */
    close_idle_connections(front, now);
    BkFleet_Sweep(&front->fleet, now);
    FrStop_Step(front, now);
    BkLog_Flush();
    BkTimer_Start(front->sweep_timer, SWEEP_PERIOD);
}

static void
on_reload(void *arg)
{
    FrFront *front = arg;
    FrConf conf;

    if (FrConf_Load(front->conf_path, &conf) != BK_OK) {
        BkLog_Event(BK_LOG_ERR, "front", NULL, "reload failed", "s:s", "why",
                    BkErr_Last());
        FrConf_Destroy(&conf);
        return;
    }
    bk_log_threshold = (BkLogLevel)BkLog_ParseLevel(conf.log_level);
    BkLog_Event(BK_LOG_NOTICE, "front", NULL, "reload", "s:s", "log_level",
                conf.log_level);
    FrConf_Destroy(&conf);
}

FrFront *
FrFront_Create(const FrConf *conf, const char *conf_path)
{
    FrFront *front = BkMem_New(1, sizeof(*front));

    front->conf = *conf;
    front->conf_path = conf_path;
    front->callers_listener.fd = -1;
    front->peers_listener.fd = -1;
    front->wall_started_at = (uint64_t)BkClock_Wall();
    front->started_at = BkClock_Now();
    front->rng = BkRng_Make(front->wall_started_at ^
                            BkStr_NameHash(BkStr_FromC(conf->name)));
    BkBudgetConf budget_conf = make_budget_conf(front);
    FrBudgetInputs_Begin(front, &budget_conf);
    front->metrics = FrMetrics_Register();
    front->loop = BkLoop_Create();
    front->http = BkHttpClient_Create(front->loop);
    front->store = BkStore_Create(front->http, conf->store_address);
    front->queue_timer = BkTimer_Create(front->loop, FrQueue_RunPass, front);
    front->sweep_timer = BkTimer_Create(front->loop, on_sweep_timer, front);
    front->reap_timer = BkTimer_Create(front->loop, free_dead, front);
    if (BkLoop_OnTerminate(front->loop, FrStop_Begin, front) != BK_OK ||
        BkLoop_OnReload(front->loop, on_reload, front) != BK_OK ||
        FrOps_Listen(front) != BK_OK || FrCallerConns_Listen(front) != BK_OK) {
        FrFront_Destroy(front);
        return NULL;
    }
    front->peers = FrPeers_Create(front);
    if (front->peers == NULL) {
        FrFront_Destroy(front);
        return NULL;
    }
    front->admission = FrAdmission_Create(front);
    front->links = FrLinks_Create(front);
    front->origins = FrOrigins_Create(front);
    front->planner = FrPlanner_Create(front);
    front->quarantine = FrQuarantine_Create(front);
    front->sync = FrSync_Create(front);
    BkTimer_Start(front->sweep_timer, SWEEP_PERIOD);
    return front;
}

void
FrFront_Run(FrFront *front)
{
    BkLog_Event(BK_LOG_NOTICE, "front", NULL, "start", "s:s, s:s, s:I",
                "version", BK_VERSION, "callers", front->conf.callers_address,
                "born", (json_int_t)front->wall_started_at);
    BkLoop_Run(front->loop);
    BkLog_Event(BK_LOG_NOTICE, "front", NULL, "end", "s:i, s:I", "requests",
                front->request_count, "after_ms",
                (json_int_t)(BkClock_Now() - front->stop_requested_at));
}

void
FrFront_Destroy(FrFront *front)
{
    FrCallerConns_StopListening(front);
    while (front->caller_conns != NULL) {
        FrCallerConn_Close(front->caller_conns);
    }
    free_dead(front);
    for (int i = 0; i < front->fleet.count; i++) {
        FrUpConnPool_Destroy(front->fleet.ups[i]);
    }
    for (int i = 0; i < front->fleet.replaced_count; i++) {
        FrUpConnPool_Destroy(front->fleet.replaced[i]);
    }
    free_dead(front);
    FrSync_Destroy(front->sync);
    FrPlanner_Destroy(front->planner);
    FrPeers_Destroy(front->peers);
    FrAdmission_Destroy(front->admission);
    FrLinks_Destroy(front->links);
    FrOrigins_Destroy(front->origins);
    FrQuarantine_Destroy(front->quarantine);
    BkFleet_Destroy(&front->fleet);
    BkHttpServer_Destroy(front->ops_server);
    BkHttpClient_Destroy(front->http);
    BkStore_Destroy(front->store);
    BkSite_Destroy(front->site);
    FrExpected_Destroy(front);
    FrQueuePace_Destroy(front);
    BkTimer_Destroy(front->queue_timer);
    BkTimer_Destroy(front->sweep_timer);
    BkTimer_Destroy(front->reap_timer);
    BkLoop_Destroy(front->loop);
    free(front);
}
