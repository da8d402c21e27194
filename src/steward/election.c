#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/steward/steward.h"

/* Carries out the actions that the lease returns, on the table "planner". */

enum {
    PAGE_ROWS = 500
};

static void
put_planner_row(BkTxn *txn, const char *key, json_t *data)
{
    char *text = json_dumps(data, JSON_COMPACT);

    BkTxn_Put(txn, BK_STR("planner"), BkStr_FromC(key), BkStr_FromC(text));
    free(text);
    json_decref(data);
}

static void
put_beat_row(BkTxn *txn, uint64_t term, const char *holder,
             uint64_t renewal_number)
{
    put_planner_row(txn, "beat",
                    json_pack("{s:I, s:s, s:I}", "term", (json_int_t)term,
                              "holder", holder, "beat",
                              (json_int_t)renewal_number));
}

static uint64_t
get_uint(const json_t *root, const char *name)
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
decode_beat(BkSteward *steward, const BkPlatRow *row)
{
    json_t *beat = json_loadb(row->data.ptr, row->data.len, 0, NULL);

    steward->rows.beat_version = row->version;
    steward->released_term =
        beat != NULL && get_text(beat, "holder")[0] == '\0'
            ? get_uint(beat, "term")
            : 0;
    json_decref(beat);
}

/* row: NULL if there is none */
static void
apply_rows(BkSteward *steward, const BkPlatRow *row)
{
    BkLeaseRows *rows = &steward->rows;
    json_t *term = NULL;

    if (row != NULL) {
        term = json_loadb(row->data.ptr, row->data.len, 0, NULL);
        rows->term_version = row->version;
    }
    rows->term = get_uint(term, "term");
    rows->epoch = get_uint(term, "epoch");
    rows->holder = get_text(term, "holder");
    rows->resigned =
        steward->released_term != 0 && steward->released_term == rows->term;
    steward->claim_reason = rows->term == 0 ? "there was no planner yet"
                            : rows->resigned
                                ? "the planner gave its term up"
                                : "the planner's lease had lapsed";
    BkLease_OnRowsRead(&steward->lease, rows, BkClock_Now());
    rows->holder = "";
    json_decref(term);
}

static void on_rows_read(const BkPlatReply *reply, void *arg);

static void
read_page(BkSteward *steward, BkStr after_key)
{
    BkPlat_ListRows(steward->daemon->plat, BK_STR("planner"), BK_STR(""),
                    after_key, PAGE_ROWS, on_rows_read, steward);
}

static void
on_rows_read(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;
    const BkPlatRow *term_row = NULL;

    if (reply->status != BK_OK) {
        BkLease_OnFailed(&steward->lease, BkClock_Now());
        return;
    }
    for (int i = 0; i < reply->count; i++) {
        const BkPlatRow *row = &reply->rows[i];
        if (BkStr_Equal(row->key, BK_STR("term"))) {
            term_row = row;
        }
        else if (BkStr_Equal(row->key, BK_STR("beat"))) {
            decode_beat(steward, row);
        }
        else if (BkStr_Equal(row->key, BK_STR("progress"))) {
            BkProgress_ApplyRow(steward, row->data);
        }
    }
    /* "term" is the last one of the rows that are needed */
    if (reply->has_more &&
        BkStr_Compare(reply->last_key, BK_STR("term")) < 0) {
        read_page(steward, reply->last_key);
        return;
    }
    apply_rows(steward, term_row);
}

static void
read_rows(BkSteward *steward)
{
    steward->rows = (BkLeaseRows){.holder = ""};
    steward->released_term = 0;
    read_page(steward, BK_STR(""));
}

static void
on_claim_result(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;
    BkLease *lease = &steward->lease;
    BkMs now = BkClock_Now();
    uint64_t term_version = 0;
    uint64_t beat_version = 0;
    bool planner_row_changed = false;

    for (int i = 0; i < reply->count; i++) {
        const BkPlatRow *row = &reply->rows[i];
        planner_row_changed |= BkStr_Equal(row->table, BK_STR("planner"));
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
    else if (reply->status == BK_ECONFLICT && planner_row_changed) {
        BkLease_OnConflict(lease, now);
    }
    else {
        BkLease_OnFailed(lease, now);
    }
}

/* The claim includes an entry in the audit trail, whose number is read
 * first. */
static void
on_audit_number_read(const BkPlatReply *number_reply, void *arg)
{
    BkSteward *steward = arg;
    const BkLease *lease = &steward->lease;
    const char *own_name = steward->conf->daemon.name;
    BkAuditEntry entry = {"takeover", own_name, steward->claim_reason,
                          steward->daemon->inforce.active_version};

    if (number_reply->status != BK_OK &&
        number_reply->status != BK_ENOTFOUND) {
        BkLease_OnFailed(&steward->lease, BkClock_Now());
        return;
    }
    BkTxn *txn = BkSteward_CreateTxn(steward);
    BkTxn_Check(txn, BK_STR("planner"), BK_STR("beat"), lease->beat_version);
    put_planner_row(txn, "term",
                    json_pack("{s:I, s:s, s:I}", "term",
                              (json_int_t)lease->claimed_term, "holder",
                              own_name, "epoch", (json_int_t)lease->epoch));
    put_beat_row(txn, lease->claimed_term, own_name, 0);
    BkAudit_Add(txn, own_name, &entry, number_reply);
    BkPlat_Commit(steward->daemon->plat, txn, on_claim_result, steward);
    BkTxn_Destroy(txn);
}

static void
start_claim(BkSteward *steward)
{
    BkPlat_ReadRow(steward->daemon->plat, BK_STR("audit-next"), BK_STR("next"),
                   on_audit_number_read, steward);
}

static void
on_renewal_result(const BkPlatReply *reply, void *arg)
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
    put_beat_row(txn, steward->lease.term, steward->conf->daemon.name,
                 steward->renewal_count);
    BkPlat_Commit(steward->daemon->plat, txn, on_renewal_result, steward);
    BkTxn_Destroy(txn);
}

static void
on_release_result(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;

    BK_LOG(BK_LOG_NOTICE, "planner", NULL,
           "gave up the lease of term %llu; result of recording that in the "
           "platform: %s",
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
    put_beat_row(txn, steward->lease.term, "", steward->renewal_count + 1);
    BkPlat_Commit(steward->daemon->plat, txn, on_release_result, steward);
    BkTxn_Destroy(txn);
}

/* Sets what gossip sends to peers, who learn from it that the planner is
 * alive. */
static void
update_gossip(BkSteward *steward, BkMs now)
{
    BkDaemon *daemon = steward->daemon;

    if (!BkLease_Valid(&steward->lease, now) || steward->releasing) {
        return;
    }
    daemon->planner_term = steward->lease.term;
    /* when the last renewal that succeeded began */
    daemon->planner_seen_at =
        steward->lease.valid_until - steward->lease.conf.valid_for;
    steward->last_planner_seen_at = daemon->planner_seen_at;
    snprintf(daemon->planner_name, sizeof(daemon->planner_name), "%s",
             steward->conf->daemon.name);
}

static void
apply_phase(BkSteward *steward, BkMs now)
{
    bool is_holder = steward->lease.phase == BK_LEASE_HOLDER;

    if (!is_holder) {
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
        BK_LOG(BK_LOG_NOTICE, "planner", NULL, "became planner in term %llu",
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
    bool may_claim = daemon->bundle != NULL && !daemon->stopping;
    bool is_holder = steward->lease.phase == BK_LEASE_HOLDER;

    steward->lease.epoch = may_claim || is_holder ? daemon->epoch : 0;
    apply_phase(steward, now);
    update_gossip(steward, now);
    if (steward->releasing || steward->released) {
        return;
    }
    switch (BkLease_NextAction(&steward->lease, now)) {
    case BK_LEASE_READ:
        read_rows(steward);
        break;
    case BK_LEASE_CLAIM:
        start_claim(steward);
        break;
    case BK_LEASE_RENEW:
        renew(steward);
        break;
    case BK_LEASE_NONE:
        break;
    }
}
