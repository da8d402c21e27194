#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/steward/steward.h"

/*
 * Which load orders may still be in flight: the own ones that were not
 * answered, and what session rows and the list of VMs say of others.
 */

enum {
    READ_SENDERS_MS = 1000,
    RETRY_MS = 1000,
    POLL_MS = 1000 /* longest poll of an upstream */
};

void
BkInFlight_Add(BkSteward *steward, uint64_t fence, const char *engine)
{
    steward->in_flight =
        BkMem_Grow(steward->in_flight, (size_t)steward->in_flight_count + 1,
                   sizeof(BkInFlightLoad));
    steward->in_flight[steward->in_flight_count++] =
        (BkInFlightLoad){.fence = fence,
                         .engine = BkStr_Dup(BkStr_FromC(engine)),
                         .engine_alive_at = BK_MS_NEVER};
}

static BkInFlightLoad *
find_own(const BkSteward *steward, uint64_t fence)
{
    for (int i = 0; i < steward->in_flight_count; i++) {
        if (steward->in_flight[i].fence == fence) {
            return &steward->in_flight[i];
        }
    }
    return NULL;
}

static void
remove_own(BkSteward *steward, BkInFlightLoad *own)
{
    free(own->engine);
    *own = steward->in_flight[--steward->in_flight_count];
}

void
BkInFlight_NoteAnswered(BkSteward *steward, uint64_t fence)
{
    BkInFlightLoad *own = find_own(steward, fence);

    if (own != NULL) {
        remove_own(steward, own);
    }
}

void
BkInFlight_NoteClosed(BkSteward *steward, uint64_t fence, BkMs now)
{
    BkInFlightLoad *own = find_own(steward, fence);

    if (own != NULL) {
        own->closed = true;
        own->closed_at = now;
    }
}

static bool
is_listed(const BkLedger *ledger, uint64_t fence)
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
        BkInFlightLoad *own = &steward->in_flight[i];
        if (own->closed && strcmp(own->engine, engine->name) == 0 &&
            !is_listed(engine->ledger, own->fence)) {
            remove_own(steward, own);
        }
    }
}

static BkSender *
find_sender(BkSteward *steward, const char *name)
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

static BkProofKind
judge_own(const BkSteward *steward, const BkLoadOrder *send, BkMs *since)
{
    if (send->epoch != steward->daemon->epoch) {
        /* an earlier start of this daemon: its port is ours now */
        *since = 0;
        return BK_PROOF_CLOSED;
    }
    const BkInFlightLoad *own = find_own(steward, send->fence);
    if (own == NULL) {
        return BK_PROOF_NOT_IN_FLIGHT;
    }
    *since = own->closed_at;
    return own->closed ? BK_PROOF_CLOSED : BK_PROOF_NONE;
}

BkProofKind
BkInFlight_GetProof(const BkLoadOrder *send, BkMs *since, void *arg)
{
    BkSteward *steward = arg;

    if (strcmp(send->sender, steward->conf->daemon.name) == 0) {
        return judge_own(steward, send, since);
    }
    const BkSender *sender = find_sender(steward, send->sender);
    BkMs gone = BkDaemon_VmGoneSince(steward->daemon, send->sender);
    if (sender->epoch_first_read_at != BK_MS_NEVER) {
        if (sender->epoch == send->epoch &&
            sender->idle_term >= BkFence_Term(send->fence)) {
            return BK_PROOF_NOT_IN_FLIGHT;
        }
        if (sender->epoch > send->epoch) {
            *since = sender->epoch_first_read_at;
            return BK_PROOF_CLOSED;
        }
    }
    if (gone != BK_MS_NEVER &&
        BkClock_Now() - gone >= steward->conf->max_vm_list_lag) {
        *since = gone + steward->conf->max_vm_list_lag;
        return BK_PROOF_CLOSED;
    }
    return BK_PROOF_NONE;
}

static void
take_sender(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;

    if (reply->status != BK_OK) {
        return;
    }
    const BkRow *row = &reply->rows[0];
    json_t *root = json_loadb(row->data.ptr, row->data.len, 0, NULL);
    uint64_t epoch =
        (uint64_t)json_integer_value(json_object_get(root, "epoch"));
    char *name = BkStr_Dup(row->key);
    BkSender *sender = find_sender(steward, name);
    if (sender->epoch_first_read_at == BK_MS_NEVER || sender->epoch != epoch) {
        sender->epoch_first_read_at = BkClock_Now();
    }
    sender->epoch = epoch;
    sender->idle_term =
        (uint64_t)json_integer_value(json_object_get(root, "quiet_term"));
    free(name);
    json_decref(root);
}

/* reads the rows of those who have orders in doubt; returns the orders */
static int
read_senders(BkSteward *steward)
{
    int doubt = 0;
    uint64_t read = 0; /* bit of each sender asked about in this pass */

    for (int i = 0; i < steward->engine_count; i++) {
        const BkLedger *ledger = steward->engines[i]->ledger;
        for (int e = 0; ledger != NULL && e < ledger->count; e++) {
            const BkLedgerEntry *entry = &ledger->entries[e];
            for (int k = 0; k < entry->load_order_count; k++) {
                const char *name = entry->load_orders[k].sender;
                BkSender *sender = find_sender(steward, name);
                uint64_t bit = UINT64_C(1)
                               << ((sender - steward->senders) % 64);
                doubt++;
                if ((read & bit) == 0 &&
                    strcmp(name, steward->conf->daemon.name) != 0) {
                    BkPlat_Read(steward->daemon->plat, BK_STR("session"),
                                BkStr_FromC(name), take_sender, steward);
                }
                read |= bit;
            }
        }
    }
    return doubt;
}

/* a lost order of a term that is over: settled as the planner would */
static void
settle_own(BkSteward *steward, BkMs now)
{
    const BkDaemon *daemon = steward->daemon;

    for (int i = steward->in_flight_count - 1; i >= 0; i--) {
        BkInFlightLoad *own = &steward->in_flight[i];
        int up = daemon->bundle == NULL
                     ? -1
                     : BkBundle_FindUpstream(daemon->bundle,
                                             BkStr_FromC(own->engine));
        if (!own->closed || up < 0) {
            continue;
        }
        BkMs seen = daemon->view->ups[up].seen_at;
        if (own->engine_alive_at == BK_MS_NEVER && seen != BK_MS_NEVER &&
            seen > own->closed_at + POLL_MS) {
            own->engine_alive_at = now;
        }
        if (own->engine_alive_at != BK_MS_NEVER &&
            now - own->engine_alive_at >= steward->conf->max_delivery_time) {
            remove_own(steward, own);
        }
    }
}

static void
take_quiet(const BkPlatReply *reply, void *arg)
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
write_quiet(const BkPlatReply *reply, void *arg)
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
    BkPlat_Commit(steward->daemon->plat, txn, take_quiet, steward);
    BkTxn_Destroy(txn);
    BkBuf_Destroy(&data);
}

/* of terms that are over for good: nothing of them is in flight */
static void
tell_quiet(BkSteward *steward, BkMs now)
{
    if (steward->lease.phase != BK_LEASE_FOLLOWER || steward->reporting_idle ||
        steward->last_held_term <= steward->reported_idle_term ||
        steward->in_flight_count > 0 || now < steward->next_idle_report_at) {
        return;
    }
    steward->reporting_idle = true;
    BkPlat_Read(steward->daemon->plat, BK_STR("session"),
                BkStr_FromC(steward->conf->daemon.name), write_quiet, steward);
}

void
BkInFlight_Step(BkSteward *steward, BkMs now)
{
    if (steward->planning && now >= steward->next_sender_read_at) {
        steward->next_sender_read_at = now + READ_SENDERS_MS;
        BkCounter_Set(BkCounter_Get("bk_steward_doubt", NULL,
                                    "load orders that may still land"),
                      read_senders(steward));
    }
    if (!steward->planning) {
        settle_own(steward, now);
        tell_quiet(steward, now);
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
