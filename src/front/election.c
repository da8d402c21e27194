#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "links.h"
#include "peers.h"
#include "planner.h"
#include "sync.h"

/* Carries out the actions of BkLease_NextAction on the store's table
   "planner": its row "term" names the holder, its row "beat" is written at
   each renewal. */

enum {
    CALL_TIMEOUT = 800, /* ms; of a call to the store that answers in time */
    /* ms; the holder stops relying on the lease this long before it lapses,
       and earlier still by the longest time that an order may be in transit,
       which is a setting */
    HOLD_MARGIN = 300,
    RENEWALS_PER_LEASE = 4,
    /* a daemon reads the rows after lease_duration / GOSSIP_TIMEOUTS_PER_LEASE
       without a message from the planner */
    GOSSIP_TIMEOUTS_PER_LEASE = 3,
    /* daemons that may become the planner as soon as a term has ended */
    ELECTION_CANDIDATES = 8,
    /* ms after the lease of a silent planner until all others may, too */
    BACKUP_DELAY = 1500
};

/* Within so many lease durations after the start, a daemon reads the rows for
   the first time. */
static const double first_read_leases = 1.3;

static const char table[] = "planner";

/* Rows of other writers may be between these two; the table lists "beat"
   first. */
static const char beat_key[] = "beat";
static const char term_key[] = "term";

void
FrElection_Init(FrPlanner *planner)
{
    const FrConf *conf = &planner->front->conf;
    BkLeaseConf lease = {
        .lease_duration = conf->lease_duration,
        .valid_for =
            conf->lease_duration - conf->max_order_transit - HOLD_MARGIN,
        .renew_period = conf->lease_duration / RENEWALS_PER_LEASE,
        .gossip_timeout = conf->lease_duration / GOSSIP_TIMEOUTS_PER_LEASE};

    /* a renewal that is answered later is of no use */
    planner->patience = FrPatience_Make(CALL_TIMEOUT, lease.valid_for);
    planner->lease =
        BkLease_Make(&lease, conf->name, BkRng_Next(&planner->front->rng));
    planner->lease.epoch = planner->front->wall_started_at;
    /* Many daemons may start at once: the others are to hear of the planner
       before they read the rows themselves. */
    planner->lease.next_action_at =
        BkClock_Now() +
        (BkMs)(BkRng_Unit(&planner->front->rng) * first_read_leases *
               (double)conf->lease_duration);
}

static uint64_t
get_uint(const json_t *root, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(root, name));
}

static BkMs
begin_call(FrPlanner *planner)
{
    return FrPatience_Begin(&planner->patience, BkClock_Now());
}

static void
end_call(FrPlanner *planner, const char *call, const BkStoreReply *reply)
{
    BkMs now = BkClock_Now();
    bool answered = reply->status == BK_OK || reply->status == BK_ECONFLICT;

    BkLog_Event(answered ? BK_LOG_DEBUG : BK_LOG_INFO, "planner", NULL,
                "lease call", "s:s, s:s, s:I, s:I", "call", call, "result",
                BkStatus_Info(reply->status)->text, "took_ms",
                (json_int_t)(now - planner->patience.called_at), "timeout_ms",
                (json_int_t)planner->patience.timeout);
    FrPatience_End(&planner->patience, answered, now);
}

static void
decode_beat(FrPlanner *planner, const BkStoreRow *row)
{
    json_t *beat = json_loadb(row->value.ptr, row->value.len, 0, NULL);

    planner->rows.beat_version = row->version;
    planner->rows.beat_era = get_uint(beat, "era");
    planner->released_term = json_is_true(json_object_get(beat, "released"))
                                 ? get_uint(beat, "term")
                                 : 0;
    json_decref(beat);
}

/* row: NULL if there is none */
static void
apply_rows(FrPlanner *planner, const BkStoreRow *row)
{
    BkLeaseRows *rows = &planner->rows;
    json_t *term = NULL;

    if (row != NULL) {
        term = json_loadb(row->value.ptr, row->value.len, 0, NULL);
        rows->term_version = row->version;
    }
    const char *holder = json_string_value(json_object_get(term, "holder"));
    rows->term = get_uint(term, "term");
    rows->epoch = get_uint(term, "epoch");
    rows->holder = holder == NULL ? "" : holder;
    rows->term_era = get_uint(term, "era");
    rows->resigned =
        planner->released_term != 0 && planner->released_term == rows->term;
    BkLease_OnRowsRead(&planner->lease, rows, BkClock_Now());
    rows->holder = "";
    json_decref(term);
}

static void on_rows_read(const BkStoreReply *reply, void *arg);

static void
read_rows(FrPlanner *planner, const char *first_key)
{
    BkStore_ReadRows(planner->front->store, table, BkStr_FromC(first_key),
                     (BkStoreTimeouts){.total = begin_call(planner)},
                     on_rows_read, planner);
}

static void
on_rows_read(const BkStoreReply *reply, void *arg)
{
    FrPlanner *planner = arg;
    BkLeaseRows *rows = &planner->rows;
    const BkStoreRow *term_row = NULL;

    end_call(planner, "read", reply);
    if (reply->status != BK_OK ||
        (rows->era != 0 && rows->era != reply->era)) {
        BkLease_OnFailed(&planner->lease, BkClock_Now());
        return;
    }
    rows->era = reply->era;
    for (int i = 0; i < reply->count; i++) {
        const BkStoreRow *row = &reply->rows[i];
        if (BkStr_Equal(row->key, BkStr_FromC(term_key))) {
            term_row = row;
        }
        else if (BkStr_Equal(row->key, BkStr_FromC(beat_key))) {
            decode_beat(planner, row);
        }
    }
    if (reply->has_more &&
        BkStr_Compare(reply->next_key, BkStr_FromC(term_key)) < 0) {
        read_rows(planner, term_key);
        return;
    }
    apply_rows(planner, term_row);
}

static char *
encode_heartbeat(const FrPlanner *planner, uint64_t term, bool released)
{
    json_t *root =
        json_pack("{s:I, s:I, s:b, s:I}", "term", (json_int_t)term, "beat",
                  (json_int_t)planner->heartbeat_count, "released", released,
                  "era", (json_int_t)planner->lease.era);
    char *text = json_dumps(root, JSON_COMPACT);

    json_decref(root);
    return text;
}

static void
on_claim_result(const BkStoreReply *reply, void *arg)
{
    FrPlanner *planner = arg;
    BkLease *lease = &planner->lease;

    end_call(planner, "claim", reply);
    if (BkLease_NoteEra(lease, reply->era, BkClock_Now())) {
        return;
    }
    switch (reply->status) {
    case BK_OK:
        BkLease_OnClaimed(lease, reply->version, reply->version);
        break;
    case BK_ECONFLICT:
        BkLease_OnConflict(lease, BkClock_Now());
        break;
    default:
        BkLease_OnFailed(lease, BkClock_Now());
        break;
    }
}

static void
claim_lease(FrPlanner *planner)
{
    const BkLease *lease = &planner->lease;
    uint64_t next_term = lease->claimed_term;
    json_t *root =
        json_pack("{s:I, s:s, s:I, s:I}", "term", (json_int_t)next_term,
                  "holder", lease->own_name, "epoch", (json_int_t)lease->epoch,
                  "era", (json_int_t)lease->era);
    char *term = json_dumps(root, JSON_COMPACT);
    char *beat = encode_heartbeat(planner, next_term, false);
    BkStoreOp ops[] = {{.key = term_key,
                        .version = lease->term_version,
                        .check_version = true,
                        .put = true,
                        .value = BkStr_FromC(term)},
                       {.key = beat_key,
                        .version = lease->beat_version,
                        .check_version = true,
                        .put = true,
                        .value = BkStr_FromC(beat)}};

    BkStore_Commit(planner->front->store, table, ops, 2, begin_call(planner),
                   on_claim_result, planner);
    json_decref(root);
    free(term);
    free(beat);
}

static void
on_renewal_result(const BkStoreReply *reply, void *arg)
{
    FrPlanner *planner = arg;
    BkLease *lease = &planner->lease;
    BkMs now = BkClock_Now();

    end_call(planner, "renewal", reply);
    FrSync_NoteStoreResult(
        planner->front->sync,
        reply->status == BK_OK || reply->status == BK_ECONFLICT, now);
    if (BkLease_NoteEra(lease, reply->era, now)) {
        return;
    }
    switch (reply->status) {
    case BK_OK:
        if (now < lease->action_started_at + lease->conf.valid_for) {
            lease->beat_version = reply->version;
            BkLease_OnRenewed(lease);
        }
        else {
            BkLease_OnFailed(lease, now); /* answered too late to rely on */
        }
        break;
    case BK_ECONFLICT:
        BkLease_OnConflict(lease, now);
        break;
    default:
        BkLease_OnFailed(lease, now);
        break;
    }
}

static void
write_heartbeat(FrPlanner *planner, bool released, BkStoreFn fn)
{
    const BkLease *lease = &planner->lease;
    char *beat = encode_heartbeat(planner, lease->term, released);
    BkStoreOp ops[] = {
        {.key = term_key,
         .version = lease->term_version,
         .check_version = true},
        {.key = beat_key, .put = true, .value = BkStr_FromC(beat)}};

    planner->heartbeat_count++;
    BkStore_Commit(planner->front->store, table, ops, 2, begin_call(planner),
                   fn, planner);
    free(beat);
}

static void
on_release_result(const BkStoreReply *reply, void *arg)
{
    BkLog_Event(BK_LOG_NOTICE, "planner", NULL, "lease given up", "s:s",
                "result", BkStatus_Info(reply->status)->text);
}

void
FrElection_Release(FrPlanner *planner)
{
    if (planner->lease.phase != BK_LEASE_HOLDER) {
        return;
    }
    write_heartbeat(planner, true, on_release_result);
    BkLease_Resign(&planner->lease, BkClock_Now());
}

/* In a large fleet, only the first few daemons look for a planner that is
   silent; the others do if none of these has become the planner. */
static bool
is_backup(const FrPlanner *planner, BkMs now)
{
    const FrPeers *peers = planner->front->peers;
    BkMs silent_since = planner->front->started_at;

    if (planner->lease.phase == BK_LEASE_HOLDER ||
        FrPeers_CountReaderCandidates(peers, now) < ELECTION_CANDIDATES) {
        return false;
    }
    if (peers->planner_heard_at > silent_since) {
        silent_since = peers->planner_heard_at;
    }
    return now - silent_since <
           planner->lease.conf.lease_duration + BACKUP_DELAY;
}

void
FrElection_Step(FrPlanner *planner, BkMs now)
{
    const FrFront *front = planner->front;
    /* a planner has to reach the engines */
    bool unable = planner->lease.phase != BK_LEASE_HOLDER &&
                  FrLinks_AreEnginesLost(front->links, 0) &&
                  FrPeers_AnyReachesStore(front->peers, now);

    if (planner->lease_released || unable || is_backup(planner, now)) {
        return;
    }
    switch (BkLease_NextAction(&planner->lease, now)) {
    case BK_LEASE_READ:
        planner->rows = (BkLeaseRows){.holder = ""};
        planner->released_term = 0;
        read_rows(planner, beat_key);
        break;
    case BK_LEASE_CLAIM:
        claim_lease(planner);
        break;
    case BK_LEASE_RENEW:
        write_heartbeat(planner, false, on_renewal_result);
        break;
    case BK_LEASE_NONE:
        break;
    }
}
