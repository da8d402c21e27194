#include "bk/ledger/ledger.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry.h"

BkLedger *
BkLedger_Create(const BkUpstream *upstream)
{
    BkLedger *ledger = BkMem_New(1, sizeof(*ledger));

    ledger->upstream = BkStr_Dup(BkStr_FromC(upstream->name));
    ledger->memory = upstream->memory_bytes;
    ledger->next_inst_number = 1;
    return ledger;
}

static void
free_load_order(BkLoadOrder *order)
{
    free(order->sender);
    *order = (BkLoadOrder){0};
}

static void
free_entry(BkLedgerEntry *entry)
{
    free(entry->inst);
    free(entry->item);
    free(entry->version);
    for (int i = 0; i < entry->load_order_count; i++) {
        free_load_order(&entry->load_orders[i]);
    }
}

void
BkLedger_DropEntries(BkLedger *ledger)
{
    for (int i = 0; i < ledger->count; i++) {
        free_entry(&ledger->entries[i]);
    }
    free(ledger->entries);
    ledger->entries = NULL;
    ledger->count = 0;
}

void
BkLedger_Destroy(BkLedger *ledger)
{
    if (ledger == NULL) {
        return;
    }
    BkLedger_DropEntries(ledger);
    free(ledger->upstream);
    free(ledger);
}

BkLedgerEntry *
BkLedger_AddEntry(BkLedger *ledger)
{
    ledger->entries = BkMem_Grow(ledger->entries, (size_t)ledger->count + 1,
                                 sizeof(BkLedgerEntry));
    BkLedgerEntry *entry = &ledger->entries[ledger->count++];
    *entry = (BkLedgerEntry){0};
    return entry;
}

static void
remove_entry(BkLedger *ledger, int index)
{
    free_entry(&ledger->entries[index]);
    ledger->count--;
    memmove(&ledger->entries[index], &ledger->entries[index + 1],
            (size_t)(ledger->count - index) * sizeof(BkLedgerEntry));
}

void
BkLedger_AddLoadOrder(BkLedgerEntry *entry, BkStr sender, uint64_t epoch,
                      uint64_t fence)
{
    entry->load_orders[entry->load_order_count++] =
        (BkLoadOrder){BkStr_Dup(sender), epoch, fence, BK_MS_NEVER};
    entry->unsettled = true;
}

static void
remove_load_order(BkLedgerEntry *entry, int index)
{
    free_load_order(&entry->load_orders[index]);
    entry->load_order_count--;
    memmove(&entry->load_orders[index], &entry->load_orders[index + 1],
            (size_t)(entry->load_order_count - index) * sizeof(BkLoadOrder));
    entry->unsettled = entry->load_order_count > 0;
}

uint64_t
BkLedger_ReservedBytes(const BkLedger *ledger)
{
    uint64_t sum = 0;

    for (int i = 0; i < ledger->count; i++) {
        sum += ledger->entries[i].bytes;
    }
    return sum;
}

uint64_t
BkLedger_UnreservedBytes(const BkLedger *ledger)
{
    uint64_t reserved = BkLedger_ReservedBytes(ledger);

    return reserved < ledger->memory ? ledger->memory - reserved : 0;
}

int
BkLedger_Find(const BkLedger *ledger, BkStr inst)
{
    for (int i = 0; i < ledger->count; i++) {
        if (BkStr_Equal(BkStr_FromC(ledger->entries[i].inst), inst)) {
            return i;
        }
    }
    return -1;
}

static char *
make_inst_name(BkLedger *ledger)
{
    BkBuf name = BkBuf_Make(0);

    BkBuf_Printf(&name, "%s.%llu", ledger->upstream,
                 (unsigned long long)ledger->next_inst_number++);
    return name.ptr;
}

int
BkLedger_Reserve(BkLedger *ledger, const BkItem *item, const char *sender,
                 uint64_t epoch, uint64_t fence)
{
    if (item->bytes > BkLedger_UnreservedBytes(ledger)) {
        BkErr_Set(
            BK_EMEMORY,
            "%s: %llu bytes of accelerator memory needed for %s, %llu free",
            ledger->upstream, (unsigned long long)item->bytes, item->name,
            (unsigned long long)BkLedger_UnreservedBytes(ledger));
        return -1;
    }
    BkLedgerEntry *entry = BkLedger_AddEntry(ledger);
    entry->inst = make_inst_name(ledger);
    entry->item = BkStr_Dup(BkStr_FromC(item->name));
    entry->version = BkStr_Dup(BkStr_FromC(item->version));
    entry->bytes = item->bytes;
    entry->state = BK_LEDGER_LOAD_ORDERED;
    BkLedger_AddLoadOrder(entry, BkStr_FromC(sender), epoch, fence);
    return ledger->count - 1;
}

BkStatus
BkLedger_RecordResend(BkLedger *ledger, int index, const char *sender,
                      uint64_t epoch, uint64_t fence)
{
    BkLedgerEntry *entry = &ledger->entries[index];

    if (entry->state == BK_LEDGER_UNLOAD_ORDERED) {
        return BkErr_Set(BK_EINVAL, "%s is being unloaded", entry->inst);
    }
    if (entry->load_order_count == BK_LEDGER_MAX_LOAD_ORDERS) {
        return BkErr_Set(BK_ETRYAGAIN, "%s: %d load orders are unsettled",
                         entry->inst, entry->load_order_count);
    }
    BkLedger_AddLoadOrder(entry, BkStr_FromC(sender), epoch, fence);
    return BK_OK;
}

void
BkLedger_RecordLoadAnswer(BkLedger *ledger, int index)
{
    BkLedgerEntry *entry = &ledger->entries[index];

    if (entry->load_order_count > 0) {
        remove_load_order(entry, entry->load_order_count - 1);
    }
}

BkStatus
BkLedger_RecordUnload(BkLedger *ledger, int index, uint64_t fence)
{
    BkLedgerEntry *entry = &ledger->entries[index];

    /* The row keeps no fence for an unload, and none settles it: names are
     * never reused, so an unload that reaches the engine late finds no
     * instance of that name. */
    (void)fence;
    if (entry->unsettled) {
        return BkErr_Set(BK_ETRYAGAIN,
                         "%s: a load order may still reach the engine",
                         entry->inst);
    }
    entry->state = BK_LEDGER_UNLOAD_ORDERED;
    return BK_OK;
}

static const BkInst *
find_reported(const BkUpView *up_view, const char *inst)
{
    for (int i = 0; i < up_view->inst_count; i++) {
        if (strcmp(up_view->insts[i].name, inst) == 0) {
            return &up_view->insts[i];
        }
    }
    return NULL;
}

/* Returns the entry's next state, given what the engine reports of it (NULL:
 * nothing). Sets *removable if its memory is proven free. */
static BkLedgerEntryState
next_state(const BkLedgerEntry *entry, const BkInst *reported, bool *removable)
{
    *removable = reported == NULL && !entry->unsettled;
    if (entry->state == BK_LEDGER_UNLOAD_ORDERED) {
        return BK_LEDGER_UNLOAD_ORDERED;
    }
    if (reported == NULL || reported->state == BK_INST_LOADING) {
        return BK_LEDGER_LOAD_ORDERED;
    }
    return reported->state == BK_INST_READY ? BK_LEDGER_LOADED : entry->state;
}

/* An instance that the engine reports may have been named before this row
 * existed. Moves the counter past the number in its name, so that the name is
 * not used again. */
static void
skip_inst_name(BkLedger *ledger, const char *inst)
{
    size_t len = strlen(ledger->upstream);
    uint64_t number;

    if (strncmp(inst, ledger->upstream, len) != 0 || inst[len] != '.') {
        return;
    }
    if (BkStr_ToU64(BkStr_FromC(inst + len + 1), &number) == BK_OK &&
        number >= ledger->next_inst_number) {
        ledger->next_inst_number = number + 1;
    }
}

static void
add_reported(BkLedger *ledger, const BkInst *reported)
{
    BkLedgerEntry *entry = BkLedger_AddEntry(ledger);

    entry->inst = BkStr_Dup(BkStr_FromC(reported->name));
    entry->item = BkStr_Dup(BkStr_FromC(reported->item));
    entry->version = BkStr_Dup(BkStr_FromC(reported->version));
    entry->bytes = reported->bytes;
    entry->state = reported->state == BK_INST_UNLOADING
                       ? BK_LEDGER_UNLOAD_ORDERED
                       : BK_LEDGER_LOADED;
    skip_inst_name(ledger, reported->name);
}

bool
BkLedger_ApplyState(BkLedger *ledger, const BkUpView *up_view)
{
    bool changed = false;

    for (int i = ledger->count - 1; i >= 0; i--) {
        BkLedgerEntry *entry = &ledger->entries[i];
        bool removable;
        BkLedgerEntryState state =
            next_state(entry, find_reported(up_view, entry->inst), &removable);
        if (removable) {
            remove_entry(ledger, i);
            changed = true;
        }
        else if (state != entry->state) {
            entry->state = state;
            changed = true;
        }
    }
    for (int i = 0; i < up_view->inst_count; i++) {
        if (BkLedger_Find(ledger, BkStr_FromC(up_view->insts[i].name)) < 0) {
            add_reported(ledger, &up_view->insts[i]);
            changed = true;
        }
    }
    return changed;
}

/* Whether the load order can no longer take effect. For an order of a closed
 * connection, also notes when the engine first answered after the closing. */
static bool
check_settled(BkLoadOrder *order, const BkInFlightSource *source,
              BkMs requested_at, BkMs now)
{
    BkMs closed_known_at = now;

    switch (source->get_state(order, &closed_known_at, source->arg)) {
    case BK_IN_FLIGHT_NO:
        return true;
    case BK_IN_FLIGHT_CLOSED:
        if (order->answered_after_close_at == BK_MS_NEVER &&
            closed_known_at <= requested_at) {
            order->answered_after_close_at = now;
        }
        return order->answered_after_close_at != BK_MS_NEVER &&
               now - order->answered_after_close_at >=
                   source->max_delivery_time;
    case BK_IN_FLIGHT_MAYBE:
        break;
    }
    order->answered_after_close_at = BK_MS_NEVER;
    return false;
}

int
BkLedger_Settle(BkLedger *ledger, bool checks_fencing, uint64_t engine_fence,
                const BkInFlightSource *source, BkMs requested_at, BkMs now)
{
    int settled = 0;

    for (int i = 0; i < ledger->count; i++) {
        BkLedgerEntry *entry = &ledger->entries[i];
        for (int k = entry->load_order_count - 1; k >= 0; k--) {
            BkLoadOrder *order = &entry->load_orders[k];
            bool fenced = checks_fencing && engine_fence > order->fence;
            if (fenced || check_settled(order, source, requested_at, now)) {
                remove_load_order(entry, k);
                settled++;
            }
        }
    }
    return settled;
}
