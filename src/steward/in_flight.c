#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/steward/steward.h"

/*
 * Determines which load orders may still reach their engine. Of its own orders
 * a steward knows which were not answered. Of the orders of another steward it
 * learns from that steward's session row and from the list of VMs.
 */

enum {
    SENDER_READ_PERIOD_MS = 1000,
    RETRY_MS = 1000,
    /* must not be less than POLL_TIMEOUT_MS in src/daemon/watch.c */
    WATCH_POLL_TIMEOUT_MS = 1000
};

void
BkInFlight_Add(BkSteward *steward, uint64_t fence, const char *engine_name)
{
    steward->in_flight =
        BkMem_Grow(steward->in_flight, (size_t)steward->in_flight_count + 1,
                   sizeof(BkInFlightLoad));
    steward->in_flight[steward->in_flight_count++] =
        (BkInFlightLoad){.fence = fence,
                         .engine = BkStr_Dup(BkStr_FromC(engine_name)),
                         .engine_alive_at = BK_MS_NEVER};
}

static BkInFlightLoad *
find_in_flight(const BkSteward *steward, uint64_t fence)
{
    for (int i = 0; i < steward->in_flight_count; i++) {
        if (steward->in_flight[i].fence == fence) {
            return &steward->in_flight[i];
        }
    }
    return NULL;
}

static void
remove_in_flight(BkSteward *steward, BkInFlightLoad *load)
{
    free(load->engine);
    *load = steward->in_flight[--steward->in_flight_count];
}

void
BkInFlight_NoteAnswered(BkSteward *steward, uint64_t fence)
{
    BkInFlightLoad *load = find_in_flight(steward, fence);

    if (load != NULL) {
        remove_in_flight(steward, load);
    }
}

void
BkInFlight_NoteClosed(BkSteward *steward, uint64_t fence, BkMs now)
{
    BkInFlightLoad *load = find_in_flight(steward, fence);

    if (load != NULL) {
        load->closed = true;
        load->closed_at = now;
    }
}

static bool
lists_load_order(const BkLedger *ledger, uint64_t fence)
{
    for (int i = 0; i < ledger->count; i++) {
        const BkLedgerEntry *entry = &ledger->entries[i];
        for (int k = 0; k < entry->load_order_count; k++) {
            if (entry->load_orders[k].fence == fence) {
                return true;
            }
        }
    }
    return false;
}

void
BkInFlight_RemoveSettled(BkSteward *steward, const BkEngine *engine)
{
    for (int i = steward->in_flight_count - 1; i >= 0; i--) {
        BkInFlightLoad *load = &steward->in_flight[i];
        if (load->closed && strcmp(load->engine, engine->name) == 0 &&
            !lists_load_order(engine->ledger, load->fence)) {
            remove_in_flight(steward, load);
        }
    }
}

static BkSender *
find_or_add_sender(BkSteward *steward, const char *name)
{
    for (int i = 0; i < steward->sender_count; i++) {
        if (strcmp(steward->senders[i].name, name) == 0) {
            return &steward->senders[i];
        }
    }
    steward->senders = BkMem_Grow(
        steward->senders, (size_t)steward->sender_count + 1, sizeof(BkSender));
    BkSender *sender = &steward->senders[steward->sender_count++];
    *sender = (BkSender){.name = BkStr_Dup(BkStr_FromC(name)),
                         .epoch_first_read_at = BK_MS_NEVER};
    return sender;
}

static BkInFlightState
get_own_order_state(const BkSteward *steward, const BkLoadOrder *order,
                    BkMs *closed_known_at)
{
    if (order->epoch != steward->daemon->epoch) {
        /* Sent by an earlier start of this daemon. That process has ended,
           since this one could bind its port. */
        *closed_known_at = 0;
        return BK_IN_FLIGHT_CLOSED;
    }
    const BkInFlightLoad *load = find_in_flight(steward, order->fence);
    if (load == NULL) {
        return BK_IN_FLIGHT_NO;
    }
    *closed_known_at = load->closed_at;
    return load->closed ? BK_IN_FLIGHT_CLOSED : BK_IN_FLIGHT_MAYBE;
}

BkInFlightState
BkInFlight_GetState(const BkLoadOrder *order, BkMs *closed_known_at, void *arg)
{
    BkSteward *steward = arg;

    if (strcmp(order->sender, steward->conf->daemon.name) == 0) {
        return get_own_order_state(steward, order, closed_known_at);
    }
    const BkSender *sender = find_or_add_sender(steward, order->sender);
    BkMs gone_since = BkDaemon_VmGoneSince(steward->daemon, order->sender);
    if (sender->epoch_first_read_at != BK_MS_NEVER) {
        if (sender->epoch == order->epoch &&
            sender->idle_term >= BkFence_Term(order->fence)) {
            return BK_IN_FLIGHT_NO;
        }
        if (sender->epoch > order->epoch) {
            *closed_known_at = sender->epoch_first_read_at;
            return BK_IN_FLIGHT_CLOSED;
        }
    }
    if (gone_since != BK_MS_NEVER &&
        BkClock_Now() - gone_since >= steward->conf->max_vm_list_lag) {
        *closed_known_at = gone_since + steward->conf->max_vm_list_lag;
        return BK_IN_FLIGHT_CLOSED;
    }
    return BK_IN_FLIGHT_MAYBE;
}

static void
on_sender_session_read(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;

    if (reply->status != BK_OK) {
        return;
    }
    const BkPlatRow *row = &reply->rows[0];
    json_t *root = json_loadb(row->data.ptr, row->data.len, 0, NULL);
    uint64_t epoch =
        (uint64_t)json_integer_value(json_object_get(root, "epoch"));
    char *name = BkStr_Dup(row->key);
    BkSender *sender = find_or_add_sender(steward, name);
    if (sender->epoch_first_read_at == BK_MS_NEVER || sender->epoch != epoch) {
        sender->epoch_first_read_at = BkClock_Now();
    }
    sender->epoch = epoch;
    sender->idle_term =
        (uint64_t)json_integer_value(json_object_get(root, "quiet_term"));
    free(name);
    json_decref(root);
}

/* Reads the session rows of the stewards that sent unsettled orders. Returns
 * the number of these orders. */
static int
read_sender_rows(BkSteward *steward)
{
    int unsettled_count = 0;
    /* a bit per sender (its index modulo 64) seen so far; of senders with the
       same bit, only the first one's row is read (none if that is this
       daemon), and another one's only once the first has no unsettled order */
    uint64_t seen_bits = 0;

    for (int i = 0; i < steward->engine_count; i++) {
        const BkLedger *ledger = steward->engines[i]->ledger;
        for (int e = 0; ledger != NULL && e < ledger->count; e++) {
            const BkLedgerEntry *entry = &ledger->entries[e];
            for (int k = 0; k < entry->load_order_count; k++) {
                const char *name = entry->load_orders[k].sender;
                BkSender *sender = find_or_add_sender(steward, name);
                uint64_t bit = UINT64_C(1)
                               << ((sender - steward->senders) % 64);
                unsettled_count++;
                if ((seen_bits & bit) == 0 &&
                    strcmp(name, steward->conf->daemon.name) != 0) {
                    BkPlat_ReadRow(steward->daemon->plat, BK_STR("session"),
                                   BkStr_FromC(name), on_sender_session_read,
                                   steward);
                }
                seen_bits |= bit;
            }
        }
    }
    return unsettled_count;
}

/* Only the planner settles orders in the ledgers. A steward that is not the
 * planner removes from its own list the orders whose connection was closed
 * without an answer, by the same rule: when the longest delivery time has
 * passed since the engine was first known to have answered after that. */
static void
expire_closed_orders(BkSteward *steward, BkMs now)
{
    const BkDaemon *daemon = steward->daemon;

    for (int i = steward->in_flight_count - 1; i >= 0; i--) {
        BkInFlightLoad *load = &steward->in_flight[i];
        int up_index = daemon->bundle == NULL
                           ? -1
                           : BkBundle_FindUpstream(daemon->bundle,
                                                   BkStr_FromC(load->engine));
        if (!load->closed || up_index < 0) {
            continue;
        }
        BkMs seen_at = daemon->view->ups[up_index].seen_at;
        /* an observation later than this comes from a poll that began after
           the close */
        if (load->engine_alive_at == BK_MS_NEVER && seen_at != BK_MS_NEVER &&
            seen_at > load->closed_at + WATCH_POLL_TIMEOUT_MS) {
            load->engine_alive_at = now;
        }
        if (load->engine_alive_at != BK_MS_NEVER &&
            now - load->engine_alive_at >= steward->conf->max_delivery_time) {
            remove_in_flight(steward, load);
        }
    }
}

static void
on_idle_report_result(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;

    steward->reporting_idle = false;
    if (reply->status == BK_OK) {
        steward->reported_idle_term = steward->last_held_term;
    }
    else {
        steward->next_idle_report_at = BkClock_Now() + RETRY_MS;
    }
}

static void
on_own_session_read(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;
    BkStr key = BkStr_FromC(steward->conf->daemon.name);
    BkBuf data = BkBuf_Make(0);
    uint64_t epoch = 0;

    if (reply->status == BK_OK) {
        json_t *root = json_loadb(reply->rows[0].data.ptr,
                                  reply->rows[0].data.len, 0, NULL);
        epoch = (uint64_t)json_integer_value(json_object_get(root, "epoch"));
        json_decref(root);
    }
    if (epoch != steward->daemon->epoch) {
        steward->reporting_idle = false;
        steward->next_idle_report_at = BkClock_Now() + RETRY_MS;
        return;
    }
    BkTxn *txn = BkTxn_Create();
    BkBuf_Printf(&data, "{\"epoch\":%llu,\"quiet_term\":%llu}",
                 (unsigned long long)epoch,
                 (unsigned long long)steward->last_held_term);
    BkTxn_Check(txn, BK_STR("session"), key, reply->rows[0].version);
    BkTxn_Put(txn, BK_STR("session"), key, BkBuf_Str(&data));
    BkPlat_Commit(steward->daemon->plat, txn, on_idle_report_result, steward);
    BkTxn_Destroy(txn);
    BkBuf_Destroy(&data);
}

/* Once this steward no longer holds the lease and none of its orders is in
 * flight, writes that to its session row. */
static void
report_idle(BkSteward *steward, BkMs now)
{
    if (steward->lease.phase != BK_LEASE_FOLLOWER || steward->reporting_idle ||
        steward->last_held_term <= steward->reported_idle_term ||
        steward->in_flight_count > 0 || now < steward->next_idle_report_at) {
        return;
    }
    steward->reporting_idle = true;
    BkPlat_ReadRow(steward->daemon->plat, BK_STR("session"),
                   BkStr_FromC(steward->conf->daemon.name),
                   on_own_session_read, steward);
}

void
BkInFlight_Step(BkSteward *steward, BkMs now)
{
    if (steward->planning && now >= steward->next_sender_read_at) {
        steward->next_sender_read_at = now + SENDER_READ_PERIOD_MS;
        BkCounter_Set(BkCounter_Get("bk_steward_doubt", NULL,
                                    "load orders that may still land"),
                      read_sender_rows(steward));
    }
    if (!steward->planning) {
        expire_closed_orders(steward, now);
        report_idle(steward, now);
    }
}

void
BkInFlight_Destroy(BkSteward *steward)
{
    for (int i = 0; i < steward->in_flight_count; i++) {
        free(steward->in_flight[i].engine);
    }
    for (int i = 0; i < steward->sender_count; i++) {
        free(steward->senders[i].name);
    }
    free(steward->in_flight);
    free(steward->senders);
}
