#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/steward/steward.h"

/* carries out what the lease asks for, against the table "planner" */

enum {
    MAX_ROWS = 16
};

static void
put_row(BkTxn *txn, const char *key, json_t *data)
{
    char *text = json_dumps(data, JSON_COMPACT);

    BkTxn_Put(txn, BK_STR("planner"), BkStr_FromC(key), BkStr_FromC(text));
    free(text);
    json_decref(data);
}

static void
put_beat(BkTxn *txn, uint64_t term, const char *holder, uint64_t beat)
{
    put_row(txn, "beat",
            json_pack("{s:I, s:s, s:I}", "term", (json_int_t)term, "holder",
                      holder, "beat", (json_int_t)beat));
}

static uint64_t
get_number(const json_t *root, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(root, name));
}

static const char *
get_text(const json_t *root, const char *name)
{
    const char *text = json_string_value(json_object_get(root, name));

    return text == NULL ? "" : text;
}

static void
take_rows(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;
    BkLeaseRows rows = {.holder = ""};
    json_t *term = NULL;
    json_t *beat = NULL;

    if (reply->status != BK_OK) {
        BkLease_OnFailed(&steward->lease, BkClock_Now());
        return;
    }
    for (int i = 0; i < reply->count; i++) {
        const BkRow *row = &reply->rows[i];
        if (BkStr_Equal(row->key, BK_STR("term"))) {
            term = json_loadb(row->data.ptr, row->data.len, 0, NULL);
            rows.term_version = row->version;
        }
        else if (BkStr_Equal(row->key, BK_STR("beat"))) {
            beat = json_loadb(row->data.ptr, row->data.len, 0, NULL);
            rows.beat_version = row->version;
        }
        else if (BkStr_Equal(row->key, BK_STR("progress"))) {
            BkProgress_ApplyRow(steward, row->data);
        }
    }
    rows.term = get_number(term, "term");
    rows.epoch = get_number(term, "epoch");
    rows.holder = get_text(term, "holder");
    rows.released = beat != NULL && get_text(beat, "holder")[0] == '\0' &&
                    get_number(beat, "term") == rows.term;
    steward->claim_reason = rows.term == 0  ? "there was no planner yet"
                            : rows.released ? "the planner gave its term up"
                                            : "the planner's lease had lapsed";
    BkLease_OnRowsRead(&steward->lease, &rows, BkClock_Now());
    json_decref(term);
    json_decref(beat);
}

static void
read_rows(BkSteward *steward)
{
    BkPlat_List(steward->daemon->plat, BK_STR("planner"), BK_STR(""),
                BK_STR(""), MAX_ROWS, take_rows, steward);
}

static void
take_claim(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;
    BkLease *lease = &steward->lease;
    BkMs now = BkClock_Now();
    uint64_t term_version = 0;
    uint64_t beat_version = 0;
    bool lost = false;

    for (int i = 0; i < reply->count; i++) {
        const BkRow *row = &reply->rows[i];
        lost |= BkStr_Equal(row->table, BK_STR("planner"));
        if (BkStr_Equal(row->key, BK_STR("term"))) {
            term_version = row->version;
        }
        else if (BkStr_Equal(row->key, BK_STR("beat"))) {
            beat_version = row->version;
        }
    }
    if (reply->status == BK_OK) {
        BkLease_OnClaimed(lease, term_version, beat_version);
    }
    else if (reply->status == BK_ECONFLICT && lost) {
        BkLease_OnConflict(lease, now);
    }
    else {
        BkLease_OnFailed(lease, now);
    }
}

static void
send_claim(const BkPlatReply *next, void *arg)
{
    BkSteward *steward = arg;
    const BkLease *lease = &steward->lease;
    const char *me = steward->conf->daemon.name;
    BkAuditEntry entry = {"takeover", me, steward->claim_reason,
                          steward->daemon->inforce.active_version};

    if (next->status != BK_OK && next->status != BK_ENOTFOUND) {
        BkLease_OnFailed(&steward->lease, BkClock_Now());
        return;
    }
    BkTxn *txn = BkSteward_CreateTxn(steward);
    BkTxn_Check(txn, BK_STR("planner"), BK_STR("beat"), lease->beat_version);
    put_row(txn, "term",
            json_pack("{s:I, s:s, s:I}", "term", (json_int_t)lease->term + 1,
                      "holder", me, "epoch", (json_int_t)lease->epoch));
    put_beat(txn, lease->term + 1, me, 0);
    BkAudit_Add(txn, me, &entry, next);
    BkPlat_Commit(steward->daemon->plat, txn, take_claim, steward);
    BkTxn_Destroy(txn);
}

static void
claim(BkSteward *steward)
{
    BkPlat_Read(steward->daemon->plat, BK_STR("audit-next"), BK_STR("next"),
                send_claim, steward);
}

static void
take_renewal(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;

    if (reply->status == BK_OK) {
        BkLease_OnRenewed(&steward->lease);
    }
    else if (reply->status != BK_ECONFLICT ||
             !BkSteward_HandleTermConflict(steward, reply)) {
        BkLease_OnFailed(&steward->lease, BkClock_Now());
    }
}

static void
renew(BkSteward *steward)
{
    BkTxn *txn = BkSteward_CreateTxn(steward);

    steward->renewal_count++;
    put_beat(txn, steward->lease.term, steward->conf->daemon.name,
             steward->renewal_count);
    BkPlat_Commit(steward->daemon->plat, txn, take_renewal, steward);
    BkTxn_Destroy(txn);
}

static void
take_release(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;

    BK_LOG(BK_LOG_NOTICE, "planner", NULL, "term %llu given up: %s",
           (unsigned long long)steward->last_held_term,
           BkStatus_Info(reply->status)->name);
    steward->releasing = false;
    steward->released = true;
    BkLease_Resign(&steward->lease, BkClock_Now());
    BkSteward_StopPlanning(steward);
}

void
BkElection_Release(BkSteward *steward)
{
    BkTxn *txn = BkSteward_CreateTxn(steward);

    steward->releasing = true;
    put_beat(txn, steward->lease.term, "", steward->renewal_count + 1);
    BkPlat_Commit(steward->daemon->plat, txn, take_release, steward);
    BkTxn_Destroy(txn);
}

/* peers learn by gossip that the planner is alive */
static void
tell_peers(BkSteward *steward, BkMs now)
{
    BkDaemon *daemon = steward->daemon;

    if (!BkLease_Valid(&steward->lease, now) || steward->releasing) {
        return;
    }
    daemon->term = steward->lease.term;
    daemon->planner_at =
        steward->lease.valid_until - steward->lease.conf.valid_for;
    steward->last_planner_at = daemon->planner_at;
    snprintf(daemon->planner, sizeof(daemon->planner), "%s",
             steward->conf->daemon.name);
}

static void
follow_phase(BkSteward *steward, BkMs now)
{
    bool holds = steward->lease.phase == BK_LEASE_HOLDER;

    if (!holds) {
        BkSteward_StopPlanning(steward);
        return;
    }
    if (steward->last_held_term != steward->lease.term) {
        steward->last_held_term = steward->lease.term;
        steward->renewal_count = 0;
        steward->order_count = 0;
        BkCounter_Add(BkCounter_Get("bk_steward_takeovers_total", NULL,
                                    "terms that this steward began"),
                      1);
        BK_LOG(BK_LOG_NOTICE, "planner", NULL, "term %llu begins here",
               (unsigned long long)steward->lease.term);
    }
    if (!steward->planning && !steward->taking_over &&
        !steward->daemon->stopping && BkLease_Valid(&steward->lease, now)) {
        BkTakeover_Start(steward);
    }
}

void
BkElection_Step(BkSteward *steward, BkMs now)
{
    const BkDaemon *daemon = steward->daemon;
    bool may = daemon->bundle != NULL && !daemon->stopping;
    bool holds = steward->lease.phase == BK_LEASE_HOLDER;

    steward->lease.epoch = may || holds ? daemon->epoch : 0;
    follow_phase(steward, now);
    tell_peers(steward, now);
    if (steward->releasing || steward->released) {
        return;
    }
    switch (BkLease_NextAction(&steward->lease, now)) {
    case BK_LEASE_READ:
        read_rows(steward);
        break;
    case BK_LEASE_CLAIM:
        claim(steward);
        break;
    case BK_LEASE_RENEW:
        renew(steward);
        break;
    case BK_LEASE_NONE:
        break;
    }
}
