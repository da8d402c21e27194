#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "bk/ledger/ledger.h"

#include "script.h"

/*
 * Breadth-first over everything that two stewards, one engine with room for
 * one copy, and the network between them can do, with the real functions of
 * the ledger. A term may be taken over at any time, as if leases did not
 * exist. Orders land late, twice or never; answers get lost; stewards pause
 * between their write and their send, and restart. Whatever happens, the
 * engine holds one copy at most.
 */

enum {
    STEWARDS = 2,
    MAX_ENTRIES = 2,
    MAX_SENDS = 2,
    MAX_MSGS = 3,
    MAX_INSTS = 2,  /* that are ever named */
    MAX_ORDERS = 2, /* load orders of one term */
    FENCES_PER_TERM = 4
};

typedef enum Mode {
    MODE_IDLE,
    MODE_PAUSED,   /* the order is written and checked, not yet sent */
    MODE_AWAITING, /* an answer */
    MODE_SHOWN     /* a state is on its way */
} Mode;

typedef struct Send {
    uint8_t sender, epoch, fence;
} Send;

typedef struct Entry {
    uint8_t inst, state, send_count;
    Send sends[MAX_SENDS];
} Entry;

typedef struct Message {
    uint8_t used, sender, epoch, inst, fence;
    uint8_t landed; /* its answer may come */
    uint8_t orphan; /* nobody awaits the answer */
} Message;

typedef struct Steward {
    uint8_t plans, term, last_term, epoch, quiet_term, orders, mode;
    uint8_t inst, fence;              /* of the order being given */
    uint8_t shown_insts, shown_fence; /* of the state on its way */
} Steward;

typedef struct State {
    uint8_t term, next, count;
    uint8_t insts; /* held by the engine, a bit each */
    uint8_t fence; /* highest the engine has seen */
    uint8_t boot;
    uint8_t unloads; /* ordered at some time; may land from then on */
    Entry entries[MAX_ENTRIES];
    Steward stewards[STEWARDS];
    Message msgs[MAX_MSGS];
} State;

typedef enum Guard {
    GUARD_ALL,
    GUARD_NO_PIN,    /* whoever takes over takes old orders for settled */
    GUARD_NO_FLIGHT, /* a closed connection is taken for nothing in flight */
    GUARD_NO_QUIET   /* quiet is said with orders under way */
} Guard;

typedef struct Bounds {
    bool checked; /* the engine checks fencing */
    int terms;
    int epochs; /* starts of each steward */
    int boots;  /* of the engine */
} Bounds;

typedef struct Search {
    Bounds bounds;
    Guard guard;
    State *states;
    size_t count;
    size_t cap;
    uint32_t *table; /* index + 1 by hash */
    size_t table_size;
    bool broken;
} Search;

static void
find_table_slot(const Search *search, const State *state, size_t *slot)
{
    size_t at = XXH64(state, sizeof(*state), 0) & (search->table_size - 1);

    while (search->table[at] != 0 &&
           memcmp(&search->states[search->table[at] - 1], state,
                  sizeof(*state)) != 0) {
        at = (at + 1) & (search->table_size - 1);
    }
    *slot = at;
}

static void
grow(Search *search)
{
    search->cap = search->cap == 0 ? 1 << 16 : search->cap * 2;
    search->states = BkMem_Grow(search->states, search->cap, sizeof(State));
    free(search->table);
    search->table_size = search->cap * 2;
    search->table = BkMem_New(search->table_size, sizeof(uint32_t));
    for (size_t i = 0; i < search->count; i++) {
        size_t slot;
        find_table_slot(search, &search->states[i], &slot);
        search->table[slot] = (uint32_t)i + 1;
    }
}

static int
order_msgs(const void *a, const void *b)
{
    return memcmp(b, a, sizeof(Message));
}

static void
add_state(Search *search, const State *next)
{
    State state = *next;
    size_t slot;

    qsort(state.msgs, MAX_MSGS, sizeof(Message), order_msgs);
    if (search->count == search->cap) {
        grow(search);
    }
    find_table_slot(search, &state, &slot);
    if (search->table[slot] != 0) {
        return;
    }
    search->broken |= __builtin_popcount(state.insts) > 1;
    search->states[search->count++] = state;
    search->table[slot] = (uint32_t)search->count;
}

/* to and from the real ledger */

static const char *const names[] = {"a", "b"};
static const BkUpstream engine = {.name = "e", .memory = 1};
static const BkItem item = {.name = "m", .version = "1", .bytes = 1};

static BkLedger *
open_ledger(const State *state)
{
    BkLedger *ledger = BkLedger_Create(&engine);
    char inst[16];

    ledger->next = state->next;
    ledger->entries = BkMem_New(MAX_ENTRIES + 1, sizeof(BkEntry));
    for (int i = 0; i < state->count; i++) {
        const Entry *from = &state->entries[i];
        BkEntry *to = &ledger->entries[ledger->count++];
        snprintf(inst, sizeof(inst), "e.%d", from->inst);
        to->inst = BkStr_Dup(BkStr_FromC(inst));
        to->item = BkStr_Dup(BK_STR("m"));
        to->version = BkStr_Dup(BK_STR("1"));
        to->bytes = 1;
        to->state = (BkEntryState)from->state;
        to->send_count = from->send_count;
        to->unsettled = from->send_count > 0;
        for (int k = 0; k < from->send_count; k++) {
            to->sends[k] = (BkSend){
                BkStr_Dup(BkStr_FromC(names[from->sends[k].sender])),
                from->sends[k].epoch, from->sends[k].fence, BK_MS_NEVER};
        }
    }
    return ledger;
}

static void
close_ledger(BkLedger *ledger, State *state)
{
    ck_assert_int_le(ledger->count, MAX_ENTRIES);
    memset(state->entries, 0, sizeof(state->entries));
    state->next = (uint8_t)ledger->next;
    state->count = (uint8_t)ledger->count;
    for (int i = 0; i < ledger->count; i++) {
        const BkEntry *from = &ledger->entries[i];
        Entry *to = &state->entries[i];
        to->inst = (uint8_t)atoi(from->inst + 2);
        to->state = (uint8_t)from->state;
        to->send_count = (uint8_t)from->send_count;
        for (int k = 0; k < from->send_count; k++) {
            to->sends[k] = (Send){from->sends[k].sender[0] == 'b',
                                  (uint8_t)from->sends[k].epoch,
                                  (uint8_t)from->sends[k].fence};
        }
    }
    BkLedger_Destroy(ledger);
}

/* what is in flight */

static bool
in_flight(const State *state, int sender, int epoch, int fence)
{
    for (int i = 0; i < MAX_MSGS; i++) {
        const Message *msg = &state->msgs[i];
        if (msg->used && msg->sender == sender && msg->epoch == epoch &&
            (fence == 0 || msg->fence == fence)) {
            return true;
        }
    }
    return false;
}

typedef struct Judge {
    const State *state;
    int who;
    Guard guard;
} Judge;

static BkProofKind
judge(const BkSend *send, BkMs *since, void *arg)
{
    const Judge *bench = arg;
    int sender = send->sender[0] == 'b';
    const Steward *steward = &bench->state->stewards[sender];
    bool flying =
        in_flight(bench->state, sender, (int)send->epoch, (int)send->fence);

    *since = 0;
    if (bench->guard == GUARD_NO_PIN) {
        return BK_PROOF_QUIET;
    }
    if (send->epoch < steward->epoch) {
        /* flight_after is long enough: what it left is gone by then */
        bool over = !flying || bench->guard == GUARD_NO_FLIGHT;
        return over ? BK_PROOF_CLOSED : BK_PROOF_NONE;
    }
    if (sender == bench->who) {
        return flying ? BK_PROOF_NONE : BK_PROOF_QUIET;
    }
    return steward->quiet_term >= send->fence / FENCES_PER_TERM
               ? BK_PROOF_QUIET
               : BK_PROOF_NONE;
}

/* what a steward can do */

static uint8_t
next_fence(State *state, int who)
{
    Steward *steward = &state->stewards[who];

    return (uint8_t)(steward->term * FENCES_PER_TERM + ++steward->orders);
}

static void
take_over(Search *search, State state, int who)
{
    Steward *steward = &state.stewards[who];

    if (state.term == search->bounds.terms || steward->plans ||
        steward->mode != MODE_IDLE) {
        return;
    }
    state.term++;
    steward->plans = 1;
    steward->term = state.term;
    steward->last_term = state.term;
    steward->orders = 0;
    add_state(search, &state);
}

static void
write_load(Search *search, State state, int who, BkLedger *ledger, int entry,
           uint8_t fence)
{
    Steward *steward = &state.stewards[who];

    steward->inst = (uint8_t)atoi(ledger->entries[entry].inst + 2);
    steward->fence = fence;
    steward->mode = MODE_PAUSED;
    close_ledger(ledger, &state);
    add_state(search, &state);
}

static void
order_load(Search *search, State state, int who)
{
    Steward *steward = &state.stewards[who];

    if (steward->orders == MAX_ORDERS) {
        return;
    }
    uint8_t fence = next_fence(&state, who);
    for (int i = 0; i < state.count; i++) {
        if (state.entries[i].state == BK_ENTRY_LOAD_ORDERED &&
            state.entries[i].send_count < MAX_SENDS) {
            BkLedger *ledger = open_ledger(&state);
            BkLedger_Resend(ledger, i, names[who], steward->epoch, fence);
            write_load(search, state, who, ledger, i, fence);
        }
    }
    if (state.next > MAX_INSTS) {
        return;
    }
    BkLedger *ledger = open_ledger(&state);
    int entry =
        BkLedger_Reserve(ledger, &item, names[who], steward->epoch, fence);
    if (entry >= 0) {
        write_load(search, state, who, ledger, entry, fence);
    }
    else {
        BkLedger_Destroy(ledger);
    }
}

static void
order_unload(Search *search, State state)
{
    for (int i = 0; i < state.count; i++) {
        State next = state;
        BkLedger *ledger = open_ledger(&state);
        BkStatus status = BkLedger_OrderUnload(ledger, i, 0);
        close_ledger(ledger, &next);
        if (status == BK_OK) {
            next.unloads |= (uint8_t)(1 << next.entries[i].inst);
            add_state(search, &next);
        }
    }
}

static void
take_state(Search *search, State state, int who)
{
    Steward *steward = &state.stewards[who];
    BkInst insts[MAX_INSTS + 1] = {0};
    char inst_names[MAX_INSTS + 1][16];
    BkUpView seen = {.insts = insts};
    Judge bench = {&state, who, search->guard};
    BkSenderProof proof = {judge, &bench, 0};
    BkLedger *ledger = open_ledger(&state);

    for (int i = 1; i <= MAX_INSTS; i++) {
        if ((steward->shown_insts & (1 << i)) != 0) {
            snprintf(inst_names[i], sizeof(inst_names[i]), "e.%d", i);
            insts[seen.inst_count++] =
                (BkInst){inst_names[i], "m", "1", 1, BK_INST_READY};
        }
    }
    BkLedger_TakeState(ledger, &seen);
    BkLedger_Settle(ledger, search->bounds.checked, steward->shown_fence,
                    &proof, 0, 1);
    steward->mode = MODE_IDLE;
    steward->shown_insts = 0;
    steward->shown_fence = 0;
    close_ledger(ledger, &state);
    add_state(search, &state);
}

static void
ask_state(Search *search, State state, int who)
{
    Steward *steward = &state.stewards[who];

    steward->mode = MODE_SHOWN;
    steward->shown_insts = state.insts;
    steward->shown_fence = state.fence;
    add_state(search, &state);
}

static void
raise_fence(Search *search, State state, int who)
{
    uint8_t fence = (uint8_t)(state.stewards[who].term * FENCES_PER_TERM);

    if (search->bounds.checked && fence > state.fence) {
        state.fence = fence;
        add_state(search, &state);
    }
}

static void
send_order(Search *search, State state, int who)
{
    Steward *steward = &state.stewards[who];

    for (int i = 0; i < MAX_MSGS; i++) {
        if (state.msgs[i].used) {
            continue;
        }
        state.msgs[i] = (Message){
            1, (uint8_t)who, steward->epoch, steward->inst, steward->fence, 0,
            0};
        steward->mode = MODE_AWAITING;
        steward->inst = 0;
        add_state(search, &state);
        return;
    }
}

static void
forget_term(State *state, int who)
{
    Steward *steward = &state->stewards[who];

    steward->plans = 0;
    steward->term = 0;
    steward->orders = 0;
    steward->inst = 0;
    steward->fence = 0;
    steward->shown_insts = 0;
    steward->shown_fence = 0;
    steward->mode = MODE_IDLE;
}

static void
restart(Search *search, State state, int who)
{
    Steward *steward = &state.stewards[who];

    if (steward->epoch == search->bounds.epochs) {
        return;
    }
    forget_term(&state, who);
    steward->epoch++;
    steward->quiet_term = 0;
    steward->last_term = 0;
    for (int i = 0; i < MAX_MSGS; i++) {
        if (state.msgs[i].used && state.msgs[i].sender == who) {
            state.msgs[i].orphan = 1;
        }
    }
    add_state(search, &state);
}

static void
say_quiet(Search *search, State state, int who)
{
    Steward *steward = &state.stewards[who];
    bool flying = in_flight(&state, who, steward->epoch, 0);

    if (steward->plans || steward->mode != MODE_IDLE ||
        (flying && search->guard != GUARD_NO_QUIET)) {
        return;
    }
    steward->quiet_term = steward->last_term;
    add_state(search, &state);
}

static void
step_steward(Search *search, const State *state, int who)
{
    const Steward *steward = &state->stewards[who];

    restart(search, *state, who);
    take_over(search, *state, who);
    say_quiet(search, *state, who);
    if (steward->mode == MODE_PAUSED) {
        send_order(search, *state, who);
    }
    if (steward->plans && steward->term < state->term &&
        steward->mode != MODE_AWAITING) {
        State deposed = *state;
        forget_term(&deposed, who);
        add_state(search, &deposed);
    }
    /* a write of a deposed planner fails, so it changes nothing */
    if (!steward->plans || steward->term != state->term) {
        return;
    }
    if (steward->mode == MODE_IDLE) {
        order_load(search, *state, who);
        order_unload(search, *state);
        raise_fence(search, *state, who);
        ask_state(search, *state, who);
    }
    else if (steward->mode == MODE_SHOWN) {
        take_state(search, *state, who);
    }
}

/* what the network and the engine can do */

static void
deliver_answer(Search *search, State state, int index)
{
    Message msg = state.msgs[index];
    Steward *steward = &state.stewards[msg.sender];

    state.msgs[index] = (Message){0};
    steward->mode = MODE_IDLE;
    steward->fence = 0;
    if (steward->plans && steward->term == state.term) {
        BkLedger *ledger = open_ledger(&state);
        for (int i = 0; i < ledger->count; i++) {
            BkEntry *entry = &ledger->entries[i];
            int last = entry->send_count - 1;
            if (last >= 0 && entry->sends[last].fence == msg.fence) {
                BkLedger_LoadAnswered(ledger, i);
            }
        }
        close_ledger(ledger, &state);
    }
    add_state(search, &state);
}

static void
land(Search *search, State state, int index)
{
    Message *msg = &state.msgs[index];

    msg->landed = 1;
    if (!search->bounds.checked || msg->fence >= state.fence) {
        state.insts |= (uint8_t)(1 << msg->inst);
        if (search->bounds.checked) {
            state.fence = msg->fence;
        }
    }
    add_state(search, &state);
}

static void
step_message(Search *search, const State *state, int index)
{
    const Message *msg = &state->msgs[index];
    State next = *state;

    /* a doubled one lands again, until its answer is taken */
    land(search, *state, index);
    if (!msg->orphan) {
        if (msg->landed) {
            deliver_answer(search, *state, index);
        }
        next.msgs[index].orphan = 1;
        next.stewards[msg->sender].mode = MODE_IDLE;
        next.stewards[msg->sender].fence = 0;
        add_state(search, &next);
        return;
    }
    next.msgs[index] = (Message){0};
    add_state(search, &next);
}

static void
step_engine(Search *search, const State *state)
{
    for (int i = 1; i <= MAX_INSTS; i++) {
        State next = *state;
        next.insts &= (uint8_t) ~(1 << i);
        if ((state->unloads & (1 << i)) != 0 && next.insts != state->insts) {
            add_state(search, &next);
        }
    }
    /* one that checks fencing keeps its fence (docs/design/memory.md) */
    if (state->boot < search->bounds.boots) {
        State next = *state;
        next.boot++;
        next.insts = 0;
        add_state(search, &next);
    }
}

static void
explore(Search *search)
{
    State first = {.next = 1, .boot = 1};

    first.stewards[0].epoch = 1;
    first.stewards[1].epoch = 1;
    add_state(search, &first);
    for (size_t i = 0; i < search->count && !search->broken; i++) {
        State state = search->states[i];
        for (int who = 0; who < STEWARDS; who++) {
            step_steward(search, &state, who);
        }
        for (int m = 0; m < MAX_MSGS; m++) {
            if (state.msgs[m].used) {
                step_message(search, &state, m);
            }
        }
        step_engine(search, &state);
    }
}

static bool
holds(Bounds bounds, Guard guard)
{
    Search search = {.bounds = bounds, .guard = guard};

    explore(&search);
    printf("fencing %s, %d terms, %d starts, %d boots, guard %d: "
           "%zu states, %s\n",
           bounds.checked ? "checked" : "ignored", bounds.terms, bounds.epochs,
           bounds.boots, guard, search.count,
           search.broken ? "overcommitted" : "holds");
    free(search.states);
    free(search.table);
    return !search.broken;
}

START_TEST(test_ignored)
{
    ck_assert(holds((Bounds){false, 2, 2, 2}, GUARD_ALL));
    ck_assert(holds((Bounds){false, 3, 1, 1}, GUARD_ALL));
}
END_TEST

START_TEST(test_checked)
{
    ck_assert(holds((Bounds){true, 2, 2, 1}, GUARD_ALL));
}
END_TEST

/* without each guard the search finds the fault */
START_TEST(test_guards)
{
    Bounds bounds = {false, 2, 2, 2};

    ck_assert(!holds(bounds, GUARD_NO_PIN));
    ck_assert(!holds(bounds, GUARD_NO_FLIGHT));
    ck_assert(!holds(bounds, GUARD_NO_QUIET));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_ignored, test_checked, test_guards};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_MainWithin("ledger_model", tests, count, 0);
}
