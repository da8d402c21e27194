#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/log.h"
#include "bk/steward/steward.h"

/*
 * Writes the row planner/progress, which shows how far the configuration in
 * force has been loaded.
 */

enum {
    MAX_LISTED = 50 /* entries in each list of the row */
};

typedef struct ReadyCopies {
    int copies;        /* upstreams with the wanted version ready */
    int last_upstream; /* upstream counted last: each upstream counts once */
} ReadyCopies;

static void
count_ready_on(const BkDaemon *daemon, int up_index, ReadyCopies *ready)
{
    const BkUpView *up_view = &daemon->view->ups[up_index];

    for (int i = 0; i < up_view->inst_count; i++) {
        const BkInst *inst = &up_view->insts[i];
        int item = BkBundle_FindItem(daemon->bundle, BkStr_FromC(inst->item));
        if (item < 0 || inst->state != BK_INST_READY ||
            ready[item].last_upstream == up_index ||
            strcmp(inst->version, daemon->bundle->items[item].version) != 0) {
            continue;
        }
        ready[item].copies++;
        ready[item].last_upstream = up_index;
    }
}

/* Counts the copies of each item in one pass over the loaded instances, since
 * checking each item on each upstream would be a large part of the planner's
 * work. The caller frees the result. */
static ReadyCopies *
count_ready(const BkDaemon *daemon)
{
    BkMs now = BkClock_Now();
    int items = daemon->bundle->item_count;
    ReadyCopies *ready = BkMem_New((size_t)items, sizeof(*ready));

    for (int i = 0; i < items; i++) {
        ready[i].last_upstream = -1;
    }
    for (int up_index = 0; up_index < daemon->view->count; up_index++) {
        if (BkView_IsUsable(daemon->view, up_index, now,
                            daemon->conf->stale_after)) {
            count_ready_on(daemon, up_index, ready);
        }
    }
    return ready;
}

static json_t *
list_missing(const BkDaemon *daemon, bool *rolled_out)
{
    ReadyCopies *ready = count_ready(daemon);
    json_t *missing = json_array();

    *rolled_out = true;
    for (int i = 0; i < daemon->bundle->item_count; i++) {
        const BkItem *item = &daemon->bundle->items[i];
        if (item->kind == BK_ITEM_SERVICE ||
            ready[i].copies >= item->min_copies) {
            continue;
        }
        *rolled_out = false;
        if (json_array_size(missing) < MAX_LISTED) {
            json_array_append_new(missing, json_string(item->name));
        }
    }
    free(ready);
    return missing;
}

static json_t *
list_unsettled(const BkSteward *steward)
{
    json_t *unsettled = json_array();

    for (int i = 0; i < steward->engine_count; i++) {
        const BkEngine *engine = steward->engines[i];
        for (int e = 0; engine->ledger != NULL && e < engine->ledger->count;
             e++) {
            const BkLedgerEntry *entry = &engine->ledger->entries[e];
            /* not listed: loads that await their answer or are to be sent */
            bool awaiting_answer =
                entry->load_order_count == 1 &&
                engine->order_fence == entry->load_orders[0].fence &&
                engine->op == BK_ENGINE_ORDER;
            bool pending = engine->pending_load != NULL &&
                           strcmp(engine->pending_load, entry->inst) == 0;
            if (entry->unsettled && !awaiting_answer && !pending &&
                json_array_size(unsettled) < MAX_LISTED) {
                json_array_append_new(unsettled,
                                      json_pack("{s:s, s:s}", "upstream",
                                                engine->name, "instance",
                                                entry->inst));
            }
        }
    }
    return unsettled;
}

static char *
format_progress(const BkSteward *steward, bool *rolled_out)
{
    const BkDaemon *daemon = steward->daemon;
    json_t *missing = list_missing(daemon, rolled_out);
    json_t *root = json_pack("{s:I, s:b, s:o, s:o, s:I}", "version",
                             (json_int_t)daemon->inforce.active_version,
                             "rolled", *rolled_out, "missing", missing,
                             "doubt", list_unsettled(steward), "moves",
                             (json_int_t)steward->move_count);
    char *text = json_dumps(root, JSON_COMPACT);

    json_decref(root);
    return text;
}

void
BkProgress_ApplyRow(BkSteward *steward, BkStr data)
{
    json_t *root = json_loadb(data.ptr, data.len, 0, NULL);

    if (root == NULL || steward->planning) {
        json_decref(root);
        return;
    }
    steward->move_count = json_integer_value(json_object_get(root, "moves"));
    steward->rolled_version =
        json_is_true(json_object_get(root, "rolled"))
            ? (uint64_t)json_integer_value(json_object_get(root, "version"))
            : 0;
    json_decref(root);
}

static void
on_commit_result(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;

    steward->writing_progress = false;
    if (reply->status == BK_OK) {
        free(steward->written_progress);
        steward->written_progress = steward->new_progress;
        steward->rolled_version = steward->new_rolled_version;
    }
    else {
        free(steward->new_progress);
        if (reply->status == BK_ECONFLICT) {
            BkSteward_HandleTermConflict(steward, reply);
        }
    }
    steward->new_progress = NULL;
}

static void
commit_progress(BkSteward *steward, const BkPlatReply *number_reply)
{
    char subject[32];
    BkTxn *txn = BkSteward_CreateTxn(steward);

    if (number_reply != NULL) {
        snprintf(subject, sizeof(subject), "version %llu",
                 (unsigned long long)steward->new_rolled_version);
        BkAuditEntry entry = {"rolled", subject, "every copy is ready",
                              steward->new_rolled_version};
        BkAudit_Add(txn, steward->conf->daemon.name, &entry, number_reply);
    }
    BkTxn_Put(txn, BK_STR("planner"), BK_STR("progress"),
              BkStr_FromC(steward->new_progress));
    BkPlat_Commit(steward->daemon->plat, txn, on_commit_result, steward);
    BkTxn_Destroy(txn);
}

static void
on_audit_number_read(const BkPlatReply *reply, void *arg)
{
    BkSteward *steward = arg;

    if ((reply->status != BK_OK && reply->status != BK_ENOTFOUND) ||
        !steward->planning) {
        steward->writing_progress = false;
        free(steward->new_progress);
        steward->new_progress = NULL;
        return;
    }
    commit_progress(steward, reply);
}

void
BkProgress_Step(BkSteward *steward)
{
    bool rolled_out;

    if (steward->writing_progress) {
        return;
    }
    char *text = format_progress(steward, &rolled_out);
    if (steward->written_progress != NULL &&
        strcmp(steward->written_progress, text) == 0) {
        free(text);
        return;
    }
    uint64_t version = steward->daemon->inforce.active_version;
    bool add_audit_entry = rolled_out && steward->rolled_version != version;
    steward->writing_progress = true;
    steward->new_progress = text;
    steward->new_rolled_version =
        rolled_out ? version : steward->rolled_version;
    if (add_audit_entry) {
        BK_LOG(BK_LOG_NOTICE, "planner", NULL,
               "configuration version %llu is rolled out",
               (unsigned long long)version);
        BkPlat_ReadRow(steward->daemon->plat, BK_STR("audit-next"),
                       BK_STR("next"), on_audit_number_read, steward);
        return;
    }
    commit_progress(steward, NULL);
}

void
BkProgress_AddStatus(json_t *status, BkSteward *steward)
{
    bool rolled_out;
    bool is_planner = BkSteward_MaySendOrders(steward);

    json_object_set_new(status, "planning", json_boolean(is_planner));
    json_object_set_new(status, "own_term",
                        json_integer((json_int_t)steward->last_held_term));
    json_object_set_new(status, "unanswered",
                        json_integer(steward->in_flight_count));
    if (is_planner) {
        char *text = format_progress(steward, &rolled_out);
        json_object_set_new(status, "progress", json_loads(text, 0, NULL));
        free(text);
    }
}
