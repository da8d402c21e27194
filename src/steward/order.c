#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/steward/steward.h"

enum {
    MAX_ANSWER_BYTES = 16 * 1024,
    URL_BYTES = 128,
    LABEL_BYTES = 64,
    RETRY_MS = 500,
    HTTP_STALE_FENCE = 409,
    HTTP_NO_MEMORY = 507
};

static void
count_order(const char *kind, const BkHttpResult *result)
{
    char labels[LABEL_BYTES];
    const char *outcome = result->status == BK_OK         ? "answered"
                          : result->status == BK_ECONNECT ? "not sent"
                                                          : "no answer";

    if (result->status == BK_OK && result->http_status >= 300) {
        outcome = "refused";
    }
    snprintf(labels, sizeof(labels), "kind=\"%s\",result=\"%s\"", kind,
             outcome);
    BkCounter_Add(
        BkCounter_Get("bk_steward_orders_total", labels, "orders to engines"),
        1);
}

/* Whether the order is certainly no longer in flight. */
static bool
is_answered_or_unsent(const BkHttpResult *result)
{
    return result->status == BK_OK || result->status == BK_ECONNECT;
}

static void
record_load_answer(BkEngine *engine)
{
    int index = BkLedger_Find(engine->ledger, BkStr_FromC(engine->order_inst));

    if (index < 0) {
        return;
    }
    const BkLedgerEntry *entry = &engine->ledger->entries[index];
    int last = entry->load_order_count - 1;
    if (last >= 0 && entry->load_orders[last].fence == engine->order_fence) {
        BkLedger_RecordLoadAnswer(engine->ledger, index);
        engine->row_outdated = true;
    }
}

static void
log_order_result(const BkEngine *engine, const char *kind,
                 const BkHttpResult *result)
{
    bool accepted = result->status == BK_OK && result->http_status < 300;

    BK_LOG(accepted ? BK_LOG_INFO : BK_LOG_WARNING, "planner", NULL,
           "%s order, instance \"%s\", to engine %s: %s, HTTP status %d", kind,
           engine->order_inst == NULL ? "" : engine->order_inst, engine->name,
           BkStatus_Info(result->status)->name, result->http_status);
}

static void
on_order_result(const BkHttpResult *result, BkStr body, void *arg)
{
    BkEngine *engine = arg;
    BkSteward *steward = engine->steward;
    BkMs now = BkClock_Now();
    bool not_in_flight = is_answered_or_unsent(result);
    bool is_fence = engine->order_inst == NULL;
    const char *kind = is_fence                ? "fence"
                       : engine->order_is_load ? "load"
                                               : "unload";

    (void)body;
    engine->op = BK_ENGINE_IDLE;
    count_order(kind, result);
    log_order_result(engine, kind, result);
    if (engine->order_is_load && not_in_flight) {
        BkInFlight_NoteAnswered(steward, engine->order_fence);
    }
    else if (engine->order_is_load) {
        BkInFlight_NoteClosed(steward, engine->order_fence, now);
    }
    if (engine->op_generation == steward->generation) {
        if (engine->order_is_load && not_in_flight) {
            record_load_answer(engine);
        }
        if (is_fence && result->status == BK_OK &&
            result->http_status == 200) {
            engine->seen_fence = engine->order_fence;
        }
        if (result->http_status == HTTP_STALE_FENCE) {
            /* The engine has seen a higher fence, perhaps of a planner in a
               higher term: renew the lease at once, which fails if this
               planner has lost it. */
            steward->lease.next_action_at = now;
        }
        engine->poll_now = true;
        engine->retry_at = not_in_flight ? 0 : now + RETRY_MS;
    }
    free(engine->order_inst);
    engine->order_inst = NULL;
    BkEngine_Step(engine, now);
}

static void
send_order(BkEngine *engine, const char *path, json_t *body)
{
    BkSteward *steward = engine->steward;
    char url[URL_BYTES];
    const char *headers[] = {"Content-Type: application/json", NULL};
    char *text = json_dumps(body, JSON_COMPACT);
    BkHttpCallSpec spec = {.method = "POST",
                           .url = url,
                           .headers = headers,
                           .body = BkStr_FromC(text),
                           .timeout = steward->conf->order_timeout,
                           .new_connection = true};

    snprintf(url, sizeof(url), "http://%s/admin/%s",
             BkEngine_Upstream(engine)->addr, path);
    BkHttpClient_Fetch(steward->daemon->http, &spec, MAX_ANSWER_BYTES,
                       on_order_result, engine);
    free(text);
    json_decref(body);
}

static void
set_order_in_progress(BkEngine *engine, BkLedgerEntry *entry, uint64_t fence,
                      BkMs now)
{
    entry->ordered_at = now;
    engine->order_inst = BkStr_Dup(BkStr_FromC(entry->inst));
    engine->order_fence = fence;
}

static const char *
base_item_name(const BkBundle *bundle, const char *item)
{
    int index = BkBundle_FindItem(bundle, BkStr_FromC(item));

    if (index < 0 || bundle->items[index].base < 0) {
        return NULL;
    }
    return bundle->items[bundle->items[index].base].name;
}

static void
send_load(BkEngine *engine, BkLedgerEntry *entry, BkMs now)
{
    BkSteward *steward = engine->steward;
    uint64_t fence = engine->pending_load_fence;

    set_order_in_progress(engine, entry, fence, now);
    engine->order_is_load = true;
    free(engine->pending_load);
    engine->pending_load = NULL;
    BkInFlight_Add(steward, fence, engine->name);
    send_order(engine, "load",
               json_pack("{s:s, s:s, s:s, s:s*, s:I, s:I}", "instance",
                         entry->inst, "model", entry->item, "version",
                         entry->version, "base",
                         base_item_name(steward->daemon->bundle, entry->item),
                         "bytes", (json_int_t)entry->bytes, "fence",
                         (json_int_t)fence));
}

static void
send_unload(BkEngine *engine, BkLedgerEntry *entry, BkMs now)
{
    uint64_t fence = BkSteward_NextFence(engine->steward);

    set_order_in_progress(engine, entry, fence, now);
    engine->order_is_load = false;
    send_order(engine, "unload",
               json_pack("{s:s, s:I}", "instance", entry->inst, "fence",
                         (json_int_t)fence));
}

/* Makes the engine refuse orders with lower fences: those of earlier planners,
 * and earlier ones of this planner that were not answered and may still
 * arrive. */
static void
send_fence_order(BkEngine *engine, BkMs now)
{
    engine->next_fence_order_at = now + engine->steward->conf->resend_after;
    engine->order_fence = BkSteward_NextFence(engine->steward);
    engine->order_is_load = false;
    send_order(engine, "fence",
               json_pack("{s:I}", "fence", (json_int_t)engine->order_fence));
}

/* Needed at the start of a term, after a restart of the engine, and whenever
 * the engine would otherwise still accept an unsettled load order. */
static bool
needs_fence_order(const BkEngine *engine, BkMs now)
{
    const BkLedger *ledger = engine->ledger;

    if (!BkEngine_Upstream(engine)->checks_fencing ||
        now < engine->next_fence_order_at) {
        return false;
    }
    if (BkFence_Term(engine->seen_fence) < engine->steward->lease.term) {
        return true;
    }
    for (int i = 0; i < ledger->count; i++) {
        const BkLedgerEntry *entry = &ledger->entries[i];
        for (int k = 0; k < entry->load_order_count; k++) {
            if (entry->load_orders[k].fence >= engine->seen_fence) {
                return true;
            }
        }
    }
    return false;
}

static BkLedgerEntry *
find_due_unload(BkEngine *engine, BkMs now)
{
    BkMs resend_after = engine->steward->conf->resend_after;

    for (int i = 0; i < engine->ledger->count; i++) {
        BkLedgerEntry *entry = &engine->ledger->entries[i];
        bool due =
            entry->ordered_at == 0 || now - entry->ordered_at >= resend_after;
        if (entry->state == BK_LEDGER_UNLOAD_ORDERED && due) {
            return entry;
        }
    }
    return NULL;
}

bool
BkOrder_SendDue(BkEngine *engine, BkMs now)
{
    BkLedgerEntry *unload = find_due_unload(engine, now);

    if (engine->pending_load == NULL && needs_fence_order(engine, now)) {
        send_fence_order(engine, now);
        return true;
    }
    if (engine->pending_load != NULL) {
        int index =
            BkLedger_Find(engine->ledger, BkStr_FromC(engine->pending_load));
        if (index >= 0) {
            send_load(engine, &engine->ledger->entries[index], now);
            return true;
        }
        free(engine->pending_load);
        engine->pending_load = NULL;
    }
    if (unload != NULL) {
        send_unload(engine, unload, now);
        return true;
    }
    return false;
}

static bool
is_in_state(const BkUpView *up_view, const char *inst)
{
    for (int i = 0; i < up_view->inst_count; i++) {
        if (strcmp(up_view->insts[i].name, inst) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_version_in_bundle(const BkBundle *bundle, const BkLedgerEntry *entry)
{
    int item = BkBundle_FindItem(bundle, BkStr_FromC(entry->item));

    return item >= 0 &&
           strcmp(bundle->items[item].version, entry->version) == 0;
}

void
BkOrder_PrepareResend(BkEngine *engine, BkMs now)
{
    BkSteward *steward = engine->steward;
    const BkDaemon *daemon = steward->daemon;
    const BkUpView *up_view = &daemon->view->ups[engine->up_index];

    for (int i = 0; i < engine->ledger->count && engine->pending_load == NULL;
         i++) {
        BkLedgerEntry *entry = &engine->ledger->entries[i];
        bool due = entry->ordered_at == 0 ||
                   now - entry->ordered_at >= steward->conf->resend_after;
        if (entry->state != BK_LEDGER_LOAD_ORDERED || !due ||
            is_in_state(up_view, entry->inst) ||
            !is_version_in_bundle(daemon->bundle, entry)) {
            continue;
        }
        uint64_t fence = BkSteward_NextFence(steward);
        if (BkLedger_RecordResend(engine->ledger, i,
                                  steward->conf->daemon.name, daemon->epoch,
                                  fence) == BK_OK) {
            engine->pending_load = BkStr_Dup(BkStr_FromC(entry->inst));
            engine->pending_load_fence = fence;
            engine->row_outdated = true;
        }
    }
}
