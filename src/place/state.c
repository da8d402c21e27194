#include "state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    MAX_RELOCATION_TRIES = 60 /* per decision */
};

static PlaceCopy *
add_copy(PlaceState *state, int item, int up)
{
    if (state->copy_count == state->copy_cap) {
        state->copy_cap = state->copy_cap == 0 ? 256 : 2 * state->copy_cap;
        state->copies = BkMem_Grow(state->copies, (size_t)state->copy_cap,
                                   sizeof(PlaceCopy));
    }
    int index = state->copy_count++;
    PlaceCopy *copy = &state->copies[index];
    *copy = (PlaceCopy){.up = up, .item = item, .entry = NONE};
    copy->next_on_up = state->ups[up].first_copy;
    state->ups[up].first_copy = index;
    copy->next_of_item = NONE;
    if (item != NONE) {
        copy->next_of_item = state->items[item].first_copy;
        state->items[item].first_copy = index;
    }
    return copy;
}

/* Finds the engine's instance by name. The ledger and the engine mostly list
 * them in the same order, so the search starts after the last one found. */
static const BkInst *
find_instance(const BkUpView *up_view, const char *name, int *hint)
{
    for (int step = 0; step < up_view->inst_count; step++) {
        int index = (*hint + step) % up_view->inst_count;
        if (strcmp(up_view->insts[index].name, name) == 0) {
            *hint = index + 1;
            return &up_view->insts[index];
        }
    }
    return NULL;
}

static void
add_entry(PlaceState *state, int up, int index, int *hint)
{
    const BkLedgerEntry *entry = &state->input->ledgers[up]->entries[index];
    const BkBundle *bundle = state->input->bundle;
    int item = BkBundle_FindItem(bundle, BkStr_FromC(entry->item));
    PlaceCopy *copy = add_copy(state, item, up);
    const BkInst *inst =
        find_instance(&state->input->view->ups[up], entry->inst, hint);

    copy->entry = index;
    copy->bytes = entry->bytes;
    copy->unloading = entry->state == BK_LEDGER_UNLOAD_ORDERED;
    copy->loaded = entry->state == BK_LEDGER_LOADED && !entry->unsettled;
    copy->ready =
        inst != NULL && inst->state == BK_INST_READY && state->ups[up].usable;
    copy->current = item != NONE &&
                    strcmp(entry->version, bundle->items[item].version) == 0;
    if (copy->unloading) {
        state->ups[up].freeing_bytes += entry->bytes;
    }
}

static void
add_upstream(PlaceState *state, int up)
{
    const BkPlaceInput *input = state->input;
    const BkUpView *up_view = &input->view->ups[up];
    const BkLedger *ledger = input->ledgers[up];
    PlaceUp *upstream = &state->ups[up];
    int hint = 0;

    upstream->first_copy = NONE;
    if (ledger == NULL) {
        return;
    }
    bool in_service =
        !up_view->leaving && !up_view->excluded && !input->excluded[up];
    upstream->alive = in_service && up_view->seen_at != BK_MS_NEVER &&
                      input->now - up_view->seen_at <= input->stale_after;
    upstream->usable =
        in_service &&
        BkView_IsUsable(input->view, up, input->now, input->stale_after);
    upstream->free_bytes = BkLedger_UnreservedBytes(ledger);
    upstream->slots = input->bundle->upstreams[up].slots;
    for (int i = 0; i < ledger->count; i++) {
        add_entry(state, up, i, &hint);
    }
}

/* an adapter that has only an old version of its base beside it counts as an
 * old copy */
static void
mark_outdated_adapters(PlaceState *state)
{
    for (int i = 0; i < state->copy_count; i++) {
        PlaceCopy *copy = &state->copies[i];
        if (copy->item == NONE || !copy->current) {
            continue;
        }
        int base = place_item(state, copy->item)->base;
        if (base != NONE &&
            place_find_copy(state, base, copy->up, true) == NONE) {
            copy->current = false;
        }
    }
}

static void
count_copies(PlaceState *state)
{
    for (int i = 0; i < state->copy_count; i++) {
        const PlaceCopy *copy = &state->copies[i];
        if (copy->item == NONE || copy->unloading) {
            continue;
        }
        PlaceItem *item_state = &state->items[copy->item];
        item_state->current_copies +=
            copy->current && state->ups[copy->up].alive;
        item_state->usable_copies +=
            copy->current && state->ups[copy->up].usable;
        item_state->ready_copies += copy->ready;
        item_state->ready_current_copies += copy->ready && copy->current;
    }
}

static void
init_items(PlaceState *state)
{
    const BkBundle *bundle = state->input->bundle;

    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *spec = &bundle->items[i];
        PlaceItem *item_state = &state->items[i];
        const BkDemand *demand = &state->input->demand[i];
        item_state->first_copy = NONE;
        if (spec->kind != BK_ITEM_SERVICE) {
            item_state->min_copies = spec->min_copies > item_state->min_copies
                                         ? spec->min_copies
                                         : item_state->min_copies;
            item_state->demand_slots = demand->rate * demand->slot_seconds;
        }
        /* each copy of an adapter needs a copy of its base */
        if (spec->base != NONE) {
            PlaceItem *base_state = &state->items[spec->base];
            base_state->min_copies = spec->min_copies > base_state->min_copies
                                         ? spec->min_copies
                                         : base_state->min_copies;
        }
    }
}

void
place_state_init(PlaceState *state, const BkPlaceConf *conf,
                 const BkPlaceInput *input, BkPlaceMove *moves, int max_moves)
{
    *state = (PlaceState){.conf = conf, .input = input};
    state->up_count = input->bundle->upstream_count;
    state->item_count = input->bundle->item_count;
    state->ups = BkMem_New((size_t)state->up_count, sizeof(PlaceUp));
    state->items = BkMem_New((size_t)state->item_count, sizeof(PlaceItem));
    state->moves = moves;
    state->max_victim_slots = HUGE_VAL;
    state->relocation_tries_left = MAX_RELOCATION_TRIES;
    state->max_moves = max_moves;
    state->loads_left = conf->loads_at_once - input->loads_in_progress;
    if (state->loads_left > conf->loads_per_second) {
        state->loads_left = conf->loads_per_second;
    }
    init_items(state);
    for (int up = 0; up < state->up_count; up++) {
        add_upstream(state, up);
    }
    mark_outdated_adapters(state);
    count_copies(state);
}

void
place_state_destroy(PlaceState *state)
{
    free(state->ups);
    free(state->items);
    free(state->copies);
}

bool
place_needs_copy(const PlaceItem *item_state)
{
    bool unreachable = item_state->min_copies > 0 &&
                       item_state->ready_copies == 0 &&
                       item_state->usable_copies == 0;

    return unreachable || item_state->current_copies < item_state->min_copies;
}

int
place_find_copy(const PlaceState *state, int item, int up, bool current)
{
    int i = state->items[item].first_copy;

    for (; i != NONE; i = state->copies[i].next_of_item) {
        const PlaceCopy *copy = &state->copies[i];
        if (copy->up == up && !copy->unloading &&
            (copy->current || !current)) {
            return i;
        }
    }
    return NONE;
}

bool
place_has_copy_in_domain(const PlaceState *state, int item, const char *domain,
                         int except)
{
    int i = state->items[item].first_copy;

    for (; i != NONE; i = state->copies[i].next_of_item) {
        const PlaceCopy *copy = &state->copies[i];
        if (i != except && copy->current && !copy->unloading &&
            state->ups[copy->up].alive &&
            strcmp(place_domain(state, copy->up), domain) == 0) {
            return true;
        }
    }
    return false;
}

static bool
has_ready_base(const PlaceState *state, int base, int up)
{
    int base_index = place_find_copy(state, base, up, true);

    return base_index != NONE && state->copies[base_index].ready;
}

bool
place_can_load(const PlaceState *state, int item, int up)
{
    int base = place_item(state, item)->base;

    if (!state->ups[up].usable ||
        place_find_copy(state, item, up, true) != NONE) {
        return false;
    }
    return base == NONE || has_ready_base(state, base, up);
}

/* whether an adapter on the same upstream may need this copy as its base */
static bool
may_be_base(const PlaceState *state, const PlaceCopy *copy)
{
    int j = state->ups[copy->up].first_copy;
    bool is_only = true;

    /* the adapters could use another ready copy of the item as their base */
    for (int i = j; i != NONE; i = state->copies[i].next_on_up) {
        const PlaceCopy *other = &state->copies[i];
        is_only &= other == copy || other->item != copy->item ||
                   other->unloading || !other->ready;
    }
    for (; j != NONE; j = state->copies[j].next_on_up) {
        const PlaceCopy *other = &state->copies[j];
        /* an item no longer in force may be an adapter of any base */
        bool may_be_adapter =
            other->item == NONE && other->bytes < copy->bytes;
        bool depends = other->item != NONE && copy->item != NONE &&
                       place_item(state, other->item)->base == copy->item;
        if (other != copy && (may_be_adapter || (depends && is_only))) {
            return true;
        }
    }
    return false;
}

/* whether the copy is needed to keep current copies in two domains: it is the
 * only one in its domain, and the others are in fewer than two domains */
static bool
is_needed_for_two_domains(const PlaceState *state, int index)
{
    const PlaceCopy *copy = &state->copies[index];
    const char *domain = place_domain(state, copy->up);
    const char *other_domain = NULL;
    int i = state->items[copy->item].first_copy;

    if (place_has_copy_in_domain(state, copy->item, domain, index)) {
        return false;
    }
    for (; i != NONE; i = state->copies[i].next_of_item) {
        const PlaceCopy *remaining = &state->copies[i];
        if (i == index || !remaining->current || remaining->unloading ||
            !state->ups[remaining->up].alive) {
            continue;
        }
        const char *found_domain = place_domain(state, remaining->up);
        if (other_domain != NULL && strcmp(other_domain, found_domain) != 0) {
            return false;
        }
        other_domain = found_domain;
    }
    return true;
}

static bool
level_allows(const PlaceState *state, int index, PlaceEvictLevel level)
{
    const PlaceCopy *copy = &state->copies[index];
    const PlaceItem *item_state = &state->items[copy->item];

    if (copy->ready && item_state->ready_copies <= 1) {
        return false;
    }
    /* the remaining ready copies would be of old versions, which may be pinned
     * (see bk/ledger/ledger.h) */
    if (copy->ready && copy->current &&
        item_state->ready_current_copies <= 1) {
        return false;
    }
    if (level == EVICT_ALL_BUT_LAST) {
        return true;
    }
    if (copy->current) {
        return item_state->demand_slots <=
                   state->max_victim_slots * item_state->ready_copies &&
               item_state->ready_current_copies > item_state->min_copies &&
               (item_state->min_copies < 2 ||
                !is_needed_for_two_domains(state, index));
    }
    int min_ready = level == EVICT_SURPLUS ? item_state->min_copies : 1;
    return item_state->ready_current_copies >= min_ready || level == EVICT_OLD;
}

bool
place_can_unload(const PlaceState *state, int index, PlaceEvictLevel level)
{
    const PlaceCopy *copy = &state->copies[index];

    if (!copy->loaded || copy->unloading || !state->ups[copy->up].usable ||
        may_be_base(state, copy)) {
        return false;
    }
    return copy->item == NONE || level_allows(state, index, level);
}

bool
place_plan_load(PlaceState *state, int item, int up, const char *why)
{
    uint64_t bytes = place_item(state, item)->bytes;

    if (state->move_count == state->max_moves || state->loads_left <= 0 ||
        state->ups[up].free_bytes < bytes) {
        return false;
    }
    state->moves[state->move_count++] = (BkPlaceMove){
        .kind = BK_PLACE_MOVE_LOAD, .upstream = up, .item = item, .why = why};
    state->loads_left--;
    state->ups[up].free_bytes -= bytes;
    PlaceCopy *copy = add_copy(state, item, up);
    copy->bytes = bytes;
    copy->current = true;
    state->items[item].current_copies++;
    state->items[item].usable_copies++;
    return true;
}

bool
place_plan_unload(PlaceState *state, int index, const char *why)
{
    PlaceCopy *copy = &state->copies[index];

    if (state->move_count == state->max_moves) {
        return false;
    }
    const BkLedger *ledger = state->input->ledgers[copy->up];
    const char *inst = ledger->entries[copy->entry].inst;
    state->moves[state->move_count++] =
        (BkPlaceMove){.kind = BK_PLACE_MOVE_UNLOAD,
                      .upstream = copy->up,
                      .item = copy->item,
                      .inst = BkStr_Dup(BkStr_FromC(inst)),
                      .why = why};
    copy->unloading = true;
    state->ups[copy->up].freeing_bytes += copy->bytes;
    if (copy->item != NONE) {
        PlaceItem *item_state = &state->items[copy->item];
        item_state->current_copies -=
            copy->current && state->ups[copy->up].alive;
        item_state->usable_copies -=
            copy->current && state->ups[copy->up].usable;
        item_state->ready_copies -= copy->ready;
        item_state->ready_current_copies -= copy->ready && copy->current;
    }
    return true;
}
