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
    ledger->memory = upstream->memory;
    ledger->next = 1;
    return ledger;
}

static void
free_send(BkSend *send)
{
    free(send->sender);
    *send = (BkSend){0};
}

static void
free_entry(BkEntry *entry)
{
    free(entry->inst);
    free(entry->item);
    free(entry->version);
    for (int i = 0; i < entry->send_count; i++) {
        free_send(&entry->sends[i]);
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

BkEntry *
BkLedger_AddEntry(BkLedger *ledger)
{
    ledger->entries = BkMem_Grow(ledger->entries, (size_t)ledger->count + 1,
                                 sizeof(BkEntry));
    BkEntry *entry = &ledger->entries[ledger->count++];
    *entry = (BkEntry){0};
    return entry;
}

static void
remove_entry(BkLedger *ledger, int index)
{
    free_entry(&ledger->entries[index]);
    ledger->count--;
    memmove(&ledger->entries[index], &ledger->entries[index + 1],
            (size_t)(ledger->count - index) * sizeof(BkEntry));
}

void
BkLedger_AddSend(BkEntry *entry, BkStr sender, uint64_t epoch, uint64_t fence)
{
    entry->sends[entry->send_count++] =
        (BkSend){BkStr_Dup(sender), epoch, fence, BK_MS_NEVER};
    entry->unsettled = true;
}

static void
remove_send(BkEntry *entry, int index)
{
    free_send(&entry->sends[index]);
    entry->send_count--;
    memmove(&entry->sends[index], &entry->sends[index + 1],
            (size_t)(entry->send_count - index) * sizeof(BkSend));
    entry->unsettled = entry->send_count > 0;
}

uint64_t
BkLedger_Reserved(const BkLedger *ledger)
{
    uint64_t sum = 0;

    for (int i = 0; i < ledger->count; i++) {
        sum += ledger->entries[i].bytes;
    }
    return sum;
}

uint64_t
BkLedger_Free(const BkLedger *ledger)
{
    uint64_t reserved = BkLedger_Reserved(ledger);

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
take_name(BkLedger *ledger)
{
    BkBuf name = BkBuf_Make(0);

    BkBuf_Printf(&name, "%s.%llu", ledger->upstream,
                 (unsigned long long)ledger->next++);
    return name.ptr;
}

int
BkLedger_Reserve(BkLedger *ledger, const BkItem *item, const char *sender,
                 uint64_t epoch, uint64_t fence)
{
    if (item->bytes > BkLedger_Free(ledger)) {
        BkErr_Set(BK_EMEMORY, "%s: %llu bytes for %s, %llu are free",
                  ledger->upstream, (unsigned long long)item->bytes,
                  item->name, (unsigned long long)BkLedger_Free(ledger));
        return -1;
    }
    BkEntry *entry = BkLedger_AddEntry(ledger);
    entry->inst = take_name(ledger);
    entry->item = BkStr_Dup(BkStr_FromC(item->name));
    entry->version = BkStr_Dup(BkStr_FromC(item->version));
    entry->bytes = item->bytes;
    entry->state = BK_ENTRY_LOAD_ORDERED;
    BkLedger_AddSend(entry, BkStr_FromC(sender), epoch, fence);
    return ledger->count - 1;
}

BkStatus
BkLedger_Resend(BkLedger *ledger, int entry, const char *sender,
                uint64_t epoch, uint64_t fence)
{
    BkEntry *e = &ledger->entries[entry];

    if (e->state == BK_ENTRY_UNLOAD_ORDERED) {
        return BkErr_Set(BK_EINVAL, "%s is being unloaded", e->inst);
    }
    if (e->send_count == BK_LEDGER_MAX_SENDS) {
        return BkErr_Set(BK_ETRYAGAIN, "%s: %d load orders are unsettled",
                         e->inst, e->send_count);
    }
    BkLedger_AddSend(e, BkStr_FromC(sender), epoch, fence);
    return BK_OK;
}

void
BkLedger_LoadAnswered(BkLedger *ledger, int entry)
{
    BkEntry *e = &ledger->entries[entry];

    if (e->send_count > 0) {
        remove_send(e, e->send_count - 1);
    }
}

BkStatus
BkLedger_OrderUnload(BkLedger *ledger, int entry, uint64_t fence)
{
    BkEntry *e = &ledger->entries[entry];

    (void)fence; /* an unload that lands late finds the name gone */
    if (e->unsettled) {
        return BkErr_Set(BK_ETRYAGAIN, "a load order of %s may still land",
                         e->inst);
    }
    e->state = BK_ENTRY_UNLOAD_ORDERED;
    return BK_OK;
}

static const BkInst *
find_shown(const BkUpView *seen, const char *inst)
{
    for (int i = 0; i < seen->inst_count; i++) {
        if (strcmp(seen->insts[i].name, inst) == 0) {
            return &seen->insts[i];
        }
    }
    return NULL;
}

/* what the entry becomes; *drop if its memory is proven free */
static BkEntryState
judge_entry(const BkEntry *entry, const BkInst *shown, bool *drop)
{
    *drop = shown == NULL && !entry->unsettled;
    if (entry->state == BK_ENTRY_UNLOAD_ORDERED) {
        return BK_ENTRY_UNLOAD_ORDERED;
    }
    if (shown == NULL || shown->state == BK_INST_LOADING) {
        return BK_ENTRY_LOAD_ORDERED;
    }
    return shown->state == BK_INST_READY ? BK_ENTRY_LOADED : entry->state;
}

/* a name that was given away before this row existed is not given again */
static void
skip_name(BkLedger *ledger, const char *inst)
{
    size_t len = strlen(ledger->upstream);
    uint64_t number;

    if (strncmp(inst, ledger->upstream, len) != 0 || inst[len] != '.') {
        return;
    }
    if (BkStr_ToU64(BkStr_FromC(inst + len + 1), &number) == BK_OK &&
        number >= ledger->next) {
        ledger->next = number + 1;
    }
}

static void
adopt_inst(BkLedger *ledger, const BkInst *shown)
{
    BkEntry *entry = BkLedger_AddEntry(ledger);

    entry->inst = BkStr_Dup(BkStr_FromC(shown->name));
    entry->item = BkStr_Dup(BkStr_FromC(shown->item));
    entry->version = BkStr_Dup(BkStr_FromC(shown->version));
    entry->bytes = shown->bytes;
    entry->state = shown->state == BK_INST_UNLOADING ? BK_ENTRY_UNLOAD_ORDERED
                                                     : BK_ENTRY_LOADED;
    skip_name(ledger, shown->name);
}

bool
BkLedger_TakeState(BkLedger *ledger, const BkUpView *seen)
{
    bool changed = false;

    for (int i = ledger->count - 1; i >= 0; i--) {
        BkEntry *entry = &ledger->entries[i];
        bool drop;
        BkEntryState state =
            judge_entry(entry, find_shown(seen, entry->inst), &drop);
        if (drop) {
            remove_entry(ledger, i);
            changed = true;
        }
        else if (state != entry->state) {
            entry->state = state;
            changed = true;
        }
    }
    for (int i = 0; i < seen->inst_count; i++) {
        if (BkLedger_Find(ledger, BkStr_FromC(seen->insts[i].name)) < 0) {
            adopt_inst(ledger, &seen->insts[i]);
            changed = true;
        }
    }
    return changed;
}

static bool
is_settled(BkSend *send, const BkSenderProof *proof, BkMs asked, BkMs now)
{
    BkMs since = now;

    switch (proof->judge(send, &since, proof->arg)) {
    case BK_PROOF_QUIET:
        return true;
    case BK_PROOF_CLOSED:
        if (send->closed_at == BK_MS_NEVER && since <= asked) {
            send->closed_at = now;
        }
        return send->closed_at != BK_MS_NEVER &&
               now - send->closed_at >= proof->flight_after;
    case BK_PROOF_NONE:
        break;
    }
    send->closed_at = BK_MS_NEVER;
    return false;
}

int
BkLedger_Settle(BkLedger *ledger, bool fencing, uint64_t engine_fence,
                const BkSenderProof *proof, BkMs asked, BkMs now)
{
    int settled = 0;

    for (int i = 0; i < ledger->count; i++) {
        BkEntry *entry = &ledger->entries[i];
        for (int k = entry->send_count - 1; k >= 0; k--) {
            BkSend *send = &entry->sends[k];
            bool fenced = fencing && engine_fence > send->fence;
            if (fenced || is_settled(send, proof, asked, now)) {
                remove_send(entry, k);
                settled++;
            }
        }
    }
    return settled;
}
