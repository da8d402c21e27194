#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "entry.h"

static const char *const state_names[] = {"load", "loaded", "unload"};

enum {
    STATE_COUNT = sizeof(state_names) / sizeof(state_names[0])
};

static json_t *
encode_entry(const BkLedgerEntry *entry)
{
    json_t *load_orders = json_array();

    for (int i = 0; i < entry->load_order_count; i++) {
        const BkLoadOrder *order = &entry->load_orders[i];
        json_array_append_new(load_orders,
                              json_pack("{s:s, s:I, s:I}", "by", order->sender,
                                        "epoch", (json_int_t)order->epoch,
                                        "fence", (json_int_t)order->fence));
    }
    return json_pack("{s:s, s:s, s:s, s:I, s:s, s:o}", "inst", entry->inst,
                     "item", entry->item, "version", entry->version, "bytes",
                     (json_int_t)entry->bytes, "state",
                     state_names[entry->state], "sends", load_orders);
}

void
BkLedger_Encode(const BkLedger *ledger, BkBuf *out)
{
    json_t *entries = json_array();

    for (int i = 0; i < ledger->count; i++) {
        json_array_append_new(entries, encode_entry(&ledger->entries[i]));
    }
    json_t *root = json_pack(
        "{s:I, s:I, s:o}", "memory", (json_int_t)ledger->memory, "next",
        (json_int_t)ledger->next_inst_number, "entries", entries);
    char *text = json_dumps(root, JSON_COMPACT);
    BkBuf_Append(out, BkStr_FromC(text));
    free(text);
    json_decref(root);
}

static int
parse_state(const char *name)
{
    for (int i = 0; i < STATE_COUNT; i++) {
        if (strcmp(state_names[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

static bool
decode_load_order(json_t *json, BkLedgerEntry *entry)
{
    const char *sender;
    json_int_t epoch;
    json_int_t fence;

    if (entry->load_order_count == BK_LEDGER_MAX_LOAD_ORDERS ||
        json_unpack(json, "{s:s, s:I, s:I}", "by", &sender, "epoch", &epoch,
                    "fence", &fence) != 0 ||
        epoch < 0 || fence < 0) {
        return false;
    }
    BkLedger_AddLoadOrder(entry, BkStr_FromC(sender), (uint64_t)epoch,
                          (uint64_t)fence);
    return true;
}

static bool
decode_entry(json_t *json, BkLedger *ledger)
{
    const char *inst;
    const char *item;
    const char *version;
    const char *state;
    json_int_t bytes;
    json_t *load_orders;
    json_t *order;
    size_t i;

    if (json_unpack(json, "{s:s, s:s, s:s, s:I, s:s, s:o}", "inst", &inst,
                    "item", &item, "version", &version, "bytes", &bytes,
                    "state", &state, "sends", &load_orders) != 0 ||
        bytes < 0 || parse_state(state) < 0 || !json_is_array(load_orders) ||
        BkLedger_Find(ledger, BkStr_FromC(inst)) >= 0) {
        return false;
    }
    BkLedgerEntry *entry = BkLedger_AddEntry(ledger);
    entry->inst = BkStr_Dup(BkStr_FromC(inst));
    entry->item = BkStr_Dup(BkStr_FromC(item));
    entry->version = BkStr_Dup(BkStr_FromC(version));
    entry->bytes = (uint64_t)bytes;
    entry->state = (BkLedgerEntryState)parse_state(state);
    json_array_foreach(load_orders, i, order)
    {
        if (!decode_load_order(order, entry)) {
            return false;
        }
    }
    return !(entry->unsettled && entry->state == BK_LEDGER_UNLOAD_ORDERED);
}

static bool
decode_entries(json_t *entries, BkLedger *ledger)
{
    json_t *entry;
    size_t i;

    if (!json_is_array(entries)) {
        return false;
    }
    json_array_foreach(entries, i, entry)
    {
        if (!decode_entry(entry, ledger)) {
            return false;
        }
    }
    return true;
}

BkStatus
BkLedger_Decode(BkLedger *ledger, BkStr json, uint64_t version)
{
    BkLedger decoded = {0};
    json_int_t memory = 0;
    json_int_t next_inst_number = 0;
    json_t *entries;
    json_t *root = json_loadb(json.ptr, json.len, 0, NULL);
    bool valid =
        root != NULL &&
        json_unpack(root, "{s:I, s:I, s:o}", "memory", &memory, "next",
                    &next_inst_number, "entries", &entries) == 0 &&
        memory >= 0 && next_inst_number > 0 &&
        decode_entries(entries, &decoded);

    json_decref(root);
    if (!valid) {
        BkLedger_DropEntries(&decoded);
        return BkErr_Set(BK_EDECODE, "the ledger row of %s is malformed",
                         ledger->upstream);
    }
    BkLedger_DropEntries(ledger);
    ledger->entries = decoded.entries;
    ledger->count = decoded.count;
    ledger->memory = (uint64_t)memory;
    ledger->next_inst_number = (uint64_t)next_inst_number;
    ledger->row_version = version;
    return BK_OK;
}
