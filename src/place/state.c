#include "state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    SWAP_TRIES = 60
};

static PlaceCopy *
add_copy(PlaceState *state, int item, int up)
{
    if (state->count == state->cap) {
        state->cap = state->cap == 0 ? 256 : 2 * state->cap;
        state->copies =
            BkMem_Grow(state->copies, (size_t)state->cap, sizeof(PlaceCopy));
    }
    int index = state->count++;
    PlaceCopy *copy = &state->copies[index];
    *copy = (PlaceCopy){.up = up, .item = item, .entry = NONE};
    copy->next_on_up = state->ups[up].first;
    state->ups[up].first = index;
    copy->next_of_item = NONE;
    if (item != NONE) {
        copy->next_of_item = state->items[item].first;
        state->items[item].first = index;
    }
    return copy;
}

/* the engine's instance of this name; lists mostly have the same order, so
 * the search starts where the last one ended */
static const BkInst *
find_instance(const BkUpView *seen, const char *name, int *hint)
{
    for (int i = 0; i < seen->inst_count; i++) {
        int at = (*hint + i) % seen->inst_count;
        if (strcmp(seen->insts[at].name, name) == 0) {
            *hint = at + 1;
            return &seen->insts[at];
        }
    }
    return NULL;
}

static void
take_entry(PlaceState *state, int up, int index, int *hint)
{
    const BkEntry *entry = &state->in->ledgers[up]->entries[index];
    const BkBundle *bundle = state->in->bundle;
    int item = BkBundle_FindItem(bundle, BkStr_FromC(entry->item));
    PlaceCopy *copy = add_copy(state, item, up);
    const BkInst *inst =
        find_instance(&state->in->view->ups[up], entry->inst, hint);

    copy->entry = index;
    copy->bytes = entry->bytes;
    copy->going = entry->state == BK_ENTRY_UNLOAD_ORDERED;
    copy->loaded = entry->state == BK_ENTRY_LOADED && !entry->unsettled;
    copy->ready =
        inst != NULL && inst->state == BK_INST_READY && state->ups[up].usable;
    copy->current = item != NONE &&
                    strcmp(entry->version, bundle->items[item].version) == 0;
    if (copy->going) {
        state->ups[up].pending += entry->bytes;
    }
}

static void
take_upstream(PlaceState *state, int up)
{
    const BkPlaceInput *in = state->in;
    const BkUpView *seen = &in->view->ups[up];
    const BkLedger *ledger = in->ledgers[up];
    PlaceUp *place = &state->ups[up];
    int hint = 0;

    place->first = NONE;
    if (ledger == NULL) {
        return;
    }
    bool stays = !seen->leaving && !seen->left && !in->drained[up];
    place->alive = stays && seen->seen != BK_MS_NEVER &&
                   in->now - seen->seen <= in->stale_after;
    place->usable =
        stays && BkView_Usable(in->view, up, in->now, in->stale_after);
    place->room = BkLedger_Free(ledger);
    place->slots = in->bundle->upstreams[up].slots;
    for (int i = 0; i < ledger->count; i++) {
        take_entry(state, up, i, &hint);
    }
}

/* an adapter beside an old version of its base only is as an old copy */
static void
check_bases(PlaceState *state)
{
    for (int i = 0; i < state->count; i++) {
        PlaceCopy *copy = &state->copies[i];
        if (copy->item == NONE || !copy->current) {
            continue;
        }
        int base = place_item(state, copy->item)->base;
        if (base != NONE && place_find(state, base, copy->up, true) == NONE) {
            copy->current = false;
        }
    }
}

static void
count_copies(PlaceState *state)
{
    for (int i = 0; i < state->count; i++) {
        const PlaceCopy *copy = &state->copies[i];
        if (copy->item == NONE || copy->going) {
            continue;
        }
        PlaceItem *item = &state->items[copy->item];
        item->have += copy->current && state->ups[copy->up].alive;
        item->coming += copy->current && state->ups[copy->up].usable;
        item->ready += copy->ready;
        item->ready_current += copy->ready && copy->current;
    }
}

static void
init_items(PlaceState *state)
{
    const BkBundle *bundle = state->in->bundle;

    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *spec = &bundle->items[i];
        PlaceItem *item = &state->items[i];
        const BkDemand *demand = &state->in->demand[i];
        item->first = NONE;
        if (spec->kind != BK_ITEM_SERVICE) {
            item->least =
                spec->copies > item->least ? spec->copies : item->least;
            item->demand = demand->rate * demand->work;
        }
        /* an adapter's copies need as many copies of its base */
        if (spec->base != NONE) {
            PlaceItem *base = &state->items[spec->base];
            base->least =
                spec->copies > base->least ? spec->copies : base->least;
        }
    }
}

void
place_state_init(PlaceState *state, const BkPlaceConf *conf,
                 const BkPlaceInput *input, BkMove *moves, int max)
{
    *state = (PlaceState){.conf = conf, .in = input};
    state->up_count = input->bundle->upstream_count;
    state->item_count = input->bundle->item_count;
    state->ups = BkMem_New((size_t)state->up_count, sizeof(PlaceUp));
    state->items = BkMem_New((size_t)state->item_count, sizeof(PlaceItem));
    state->moves = moves;
    state->spare_worth = HUGE_VAL;
    state->swap_tries = SWAP_TRIES;
    state->max = max;
    state->loads_left = conf->loads_at_once - input->loads_in_progress;
    if (state->loads_left > conf->loads_per_second) {
        state->loads_left = conf->loads_per_second;
    }
    init_items(state);
    for (int up = 0; up < state->up_count; up++) {
        take_upstream(state, up);
    }
    check_bases(state);
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
place_lacks(const PlaceItem *item)
{
    bool lost = item->least > 0 && item->ready == 0 && item->coming == 0;

    return lost || item->have < item->least;
}

int
place_find(const PlaceState *state, int item, int up, bool current)
{
    int at = state->items[item].first;

    for (; at != NONE; at = state->copies[at].next_of_item) {
        const PlaceCopy *copy = &state->copies[at];
        if (copy->up == up && !copy->going && (copy->current || !current)) {
            return at;
        }
    }
    return NONE;
}

bool
place_in_domain(const PlaceState *state, int item, const char *domain, int but)
{
    int at = state->items[item].first;

    for (; at != NONE; at = state->copies[at].next_of_item) {
        const PlaceCopy *copy = &state->copies[at];
        if (at != but && copy->current && !copy->going &&
            state->ups[copy->up].alive &&
            strcmp(place_domain(state, copy->up), domain) == 0) {
            return true;
        }
    }
    return false;
}

static bool
base_is_ready(const PlaceState *state, int base, int up)
{
    int at = place_find(state, base, up, true);

    return at != NONE && state->copies[at].ready;
}

bool
place_accepts(const PlaceState *state, int item, int up)
{
    int base = place_item(state, item)->base;

    if (!state->ups[up].usable || place_find(state, item, up, true) != NONE) {
        return false;
    }
    return base == NONE || base_is_ready(state, base, up);
}

/* whether something beside it may need this copy as its base */
static bool
carries_adapter(const PlaceState *state, const PlaceCopy *copy)
{
    int at = state->ups[copy->up].first;
    bool only = true;

    /* another ready copy of the base would carry them as well */
    for (int i = at; i != NONE; i = state->copies[i].next_on_up) {
        const PlaceCopy *other = &state->copies[i];
        only &= other == copy || other->item != copy->item || other->going ||
                !other->ready;
    }
    for (; at != NONE; at = state->copies[at].next_on_up) {
        const PlaceCopy *other = &state->copies[at];
        /* what is not in force any more may be an adapter of anything */
        bool unknown = other->item == NONE && other->bytes < copy->bytes;
        bool needs = other->item != NONE && copy->item != NONE &&
                     place_item(state, other->item)->base == copy->item;
        if (other != copy && (unknown || (needs && only))) {
            return true;
        }
    }
    return false;
}

/* whether the item would be left in one domain though it stands in two */
static bool
narrows_domains(const PlaceState *state, int index)
{
    const PlaceCopy *copy = &state->copies[index];
    const char *domain = place_domain(state, copy->up);
    const char *other = NULL;
    int at = state->items[copy->item].first;

    if (place_in_domain(state, copy->item, domain, index)) {
        return false;
    }
    for (; at != NONE; at = state->copies[at].next_of_item) {
        const PlaceCopy *rest = &state->copies[at];
        if (at == index || !rest->current || rest->going ||
            !state->ups[rest->up].alive) {
            continue;
        }
        const char *found = place_domain(state, rest->up);
        if (other != NULL && strcmp(other, found) != 0) {
            return false;
        }
        other = found;
    }
    return true;
}

static bool
level_allows(const PlaceState *state, int index, PlaceLevel level)
{
    const PlaceCopy *copy = &state->copies[index];
    const PlaceItem *item = &state->items[copy->item];

    if (copy->ready && item->ready <= 1) {
        return false;
    }
    /* what would be left are old versions, which may be pinned */
    if (copy->ready && copy->current && item->ready_current <= 1) {
        return false;
    }
    if (level == LEVEL_RESCUE) {
        return true;
    }
    if (copy->current) {
        return item->demand <= state->spare_worth * item->ready &&
               item->ready_current > item->least &&
               (item->least < 2 || !narrows_domains(state, index));
    }
    int enough = level == LEVEL_SURPLUS ? item->least : 1;
    return item->ready_current >= enough || level == LEVEL_SPARE;
}

bool
place_can_unload(const PlaceState *state, int index, PlaceLevel level)
{
    const PlaceCopy *copy = &state->copies[index];

    if (!copy->loaded || copy->going || !state->ups[copy->up].usable ||
        carries_adapter(state, copy)) {
        return false;
    }
    return copy->item == NONE || level_allows(state, index, level);
}

bool
place_plan_load(PlaceState *state, int item, int up, const char *why)
{
    uint64_t bytes = place_item(state, item)->bytes;

    if (state->move_count == state->max || state->loads_left <= 0 ||
        state->ups[up].room < bytes) {
        return false;
    }
    state->moves[state->move_count++] = (BkMove){
        .kind = BK_MOVE_LOAD, .upstream = up, .item = item, .why = why};
    state->loads_left--;
    state->ups[up].room -= bytes;
    PlaceCopy *copy = add_copy(state, item, up);
    copy->bytes = bytes;
    copy->current = true;
    state->items[item].have++;
    state->items[item].coming++;
    return true;
}

bool
place_plan_unload(PlaceState *state, int index, const char *why)
{
    PlaceCopy *copy = &state->copies[index];

    if (state->move_count == state->max) {
        return false;
    }
    const BkLedger *ledger = state->in->ledgers[copy->up];
    const char *inst = ledger->entries[copy->entry].inst;
    state->moves[state->move_count++] =
        (BkMove){.kind = BK_MOVE_UNLOAD,
                 .upstream = copy->up,
                 .item = copy->item,
                 .inst = BkStr_Dup(BkStr_FromC(inst)),
                 .why = why};
    copy->going = true;
    state->ups[copy->up].pending += copy->bytes;
    if (copy->item != NONE) {
        PlaceItem *item = &state->items[copy->item];
        item->have -= copy->current && state->ups[copy->up].alive;
        item->coming -= copy->current && state->ups[copy->up].usable;
        item->ready -= copy->ready;
        item->ready_current -= copy->ready && copy->current;
    }
    return true;
}
