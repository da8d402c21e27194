#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/ledger/ledger.h"
#include "script.h"

enum {
    MAX_REPORTED = 8,
    MAX_DELIVERY_MS = 100
};

typedef struct Fixture {
    BkLedger *ledger;
    char closed_sender[64]; /* its connection is closed */
    BkMs closed_known_at;
    char idle_sender[64]; /* it reports nothing in flight */
} Fixture;

static uint64_t
parse_number(const char *word)
{
    return strtoull(word, NULL, 10);
}

static BkInFlightState
get_in_flight_state(const BkLoadOrder *order, BkMs *closed_known_at, void *arg)
{
    Fixture *fixture = arg;

    if (strcmp(order->sender, fixture->idle_sender) == 0) {
        return BK_IN_FLIGHT_NO;
    }
    if (strcmp(order->sender, fixture->closed_sender) == 0) {
        *closed_known_at = fixture->closed_known_at;
        return BK_IN_FLIGHT_CLOSED;
    }
    return BK_IN_FLIGHT_MAYBE;
}

static void
print_status(BkBuf *out, BkStatus status)
{
    BkBuf_Printf(out, "%s%s%s\n", BkStatus_Info(status)->name,
                 status == BK_OK ? "" : ": ",
                 status == BK_OK ? "" : BkErr_Last());
}

static void
print_ledger(const BkLedger *ledger, BkBuf *out)
{
    static const char *const states[] = {"load", "loaded", "unload"};

    BkBuf_Printf(out, "reserved %llu free %llu next %llu\n",
                 (unsigned long long)BkLedger_ReservedBytes(ledger),
                 (unsigned long long)BkLedger_UnreservedBytes(ledger),
                 (unsigned long long)ledger->next_inst_number);
    for (int i = 0; i < ledger->count; i++) {
        const BkLedgerEntry *entry = &ledger->entries[i];
        BkBuf_Printf(out, "  %s %s/%s %s", entry->inst, entry->item,
                     entry->version, states[entry->state]);
        for (int k = 0; k < entry->load_order_count; k++) {
            BkBuf_Printf(out, " %s@%llu:%llu", entry->load_orders[k].sender,
                         (unsigned long long)entry->load_orders[k].epoch,
                         (unsigned long long)entry->load_orders[k].fence);
        }
        BkBuf_Printf(out, "\n");
    }
}

/* state INSTANCE=STATE[=ITEM]..., such as e.1=ready=m: the engine reports
 * these instances */
static void
update_from_state(BkLedger *ledger, char **words, int count, BkBuf *out)
{
    BkInst insts[MAX_REPORTED] = {0};
    BkUpView view = {.insts = insts};

    for (int i = 1; i < count; i++) {
        BkInst *inst = &insts[view.inst_count++];
        char *remaining = words[i];
        inst->name = strsep(&remaining, "=");
        const char *state = strsep(&remaining, "=");
        inst->state = strcmp(state, "ready") == 0     ? BK_INST_READY
                      : strcmp(state, "loading") == 0 ? BK_INST_LOADING
                                                      : BK_INST_UNLOADING;
        inst->item = remaining == NULL ? "m" : remaining;
        inst->version = "1";
        inst->bytes = 3;
    }
    BkBuf_Printf(out, "%s\n",
                 BkLedger_ApplyState(ledger, &view) ? "changed" : "same");
}

static void
run_settle(Fixture *fixture, char **words, BkBuf *out)
{
    BkInFlightSource source = {get_in_flight_state, fixture, MAX_DELIVERY_MS};
    int settled = BkLedger_Settle(
        fixture->ledger, strcmp(words[1], "checked") == 0,
        parse_number(words[2]), &source, (BkMs)parse_number(words[3]),
        (BkMs)parse_number(words[4]));

    BkBuf_Printf(out, "settled %d\n", settled);
}

static void
write_and_reread(BkLedger *ledger, BkBuf *out)
{
    BkBuf text = BkBuf_Make(0);

    BkLedger_Encode(ledger, &text);
    BkBuf_Printf(out, "%s\n", BkBuf_C(&text));
    print_status(out, BkLedger_Decode(ledger, BkBuf_Str(&text), 7));
    BkBuf_Destroy(&text);
}

static void
run_order(BkLedger *ledger, char **words, BkBuf *out)
{
    int index = BkLedger_Find(ledger, BkStr_FromC(words[1]));

    ck_assert_int_ge(index, 0);
    if (strcmp(words[0], "resend") == 0) {
        print_status(out, BkLedger_RecordResend(ledger, index, words[2],
                                                parse_number(words[3]),
                                                parse_number(words[4])));
    }
    else if (strcmp(words[0], "answered") == 0) {
        BkLedger_RecordLoadAnswer(ledger, index);
        print_status(out, BK_OK);
    }
    else {
        print_status(out, BkLedger_RecordUnload(ledger, index, 0));
    }
}

static void
run_reserve(BkLedger *ledger, char **words, BkBuf *out)
{
    BkItem item = {.name = words[1], .version = "1", .bytes = 3};
    int index =
        BkLedger_Reserve(ledger, &item, words[2], parse_number(words[3]),
                         parse_number(words[4]));

    BkBuf_Printf(out, "%s\n",
                 index < 0 ? BkErr_Last() : ledger->entries[index].inst);
}

/* Script verbs; every load takes 3 bytes of the 10 of engine e:
 *   new, show
 *   reserve ITEM SENDER EPOCH FENCE
 *   resend INSTANCE SENDER EPOCH FENCE
 *   answered INSTANCE   its last load order was answered
 *   unload INSTANCE
 *   state ...           see update_from_state
 *   closed SENDER MS    its connection is known to be closed since MS
 *   idle SENDER         it reports that none of its orders is in flight
 *   settle checked|ignored FENCE REQUESTED_AT NOW
 *   reread              encodes the row and decodes it again
 *   decode JSON         decodes a row */
static void
run_ledger(char **words, int count, BkBuf *out, void *arg)
{
    Fixture *fixture = arg;
    BkUpstream upstream = {.name = "e", .memory_bytes = 10};

    if (strcmp(words[0], "new") == 0) {
        BkLedger_Destroy(fixture->ledger);
        *fixture = (Fixture){.ledger = BkLedger_Create(&upstream)};
    }
    else if (strcmp(words[0], "show") == 0) {
        print_ledger(fixture->ledger, out);
    }
    else if (strcmp(words[0], "reserve") == 0) {
        run_reserve(fixture->ledger, words, out);
    }
    else if (strcmp(words[0], "state") == 0) {
        update_from_state(fixture->ledger, words, count, out);
    }
    else if (strcmp(words[0], "closed") == 0) {
        strcpy(fixture->closed_sender, words[1]);
        fixture->closed_known_at = (BkMs)parse_number(words[2]);
    }
    else if (strcmp(words[0], "idle") == 0) {
        strcpy(fixture->idle_sender, words[1]);
    }
    else if (strcmp(words[0], "settle") == 0) {
        run_settle(fixture, words, out);
    }
    else if (strcmp(words[0], "reread") == 0) {
        write_and_reread(fixture->ledger, out);
    }
    else if (strcmp(words[0], "decode") == 0) {
        print_status(
            out, BkLedger_Decode(fixture->ledger, BkStr_FromC(words[1]), 9));
    }
    else {
        run_order(fixture->ledger, words, out);
    }
}

START_TEST(test_script)
{
    Fixture fixture = {0};

    BkScript_Run("ledger", run_ledger, &fixture);
    BkLedger_Destroy(fixture.ledger);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("ledger", tests, count);
}
