/* whether a bundle can be placed at all, and rolled without a gap */
#include <stdlib.h>
#include <string.h>

#include "bk/place/place.h"

typedef struct Bin {
    uint64_t room;
    int *items;
    int count;
} Bin;

typedef struct Packing {
    const BkBundle *bundle;
    bool tight; /* into the fullest engine that has room, else the emptiest */
    Bin *bins;  /* per upstream; no room on services */
} Packing;

static Packing
create_packing(const BkBundle *bundle, bool tight)
{
    Packing packing = {bundle, tight, NULL};
    size_t places = (size_t)bundle->item_count;

    packing.bins = BkMem_New((size_t)bundle->upstream_count, sizeof(Bin));
    for (int up = 0; up < bundle->upstream_count; up++) {
        packing.bins[up].room = bundle->upstreams[up].memory;
        packing.bins[up].items = BkMem_New(places, sizeof(int));
    }
    return packing;
}

static void
destroy_packing(Packing *packing)
{
    for (int up = 0; up < packing->bundle->upstream_count; up++) {
        free(packing->bins[up].items);
    }
    free(packing->bins);
}

static bool
bin_holds(const Bin *bin, int item)
{
    for (int i = 0; i < bin->count; i++) {
        if (bin->items[i] == item) {
            return true;
        }
    }
    return false;
}

static bool
is_better(const Packing *packing, const Bin *bin, const Bin *best)
{
    if (best == NULL) {
        return true;
    }
    return packing->tight ? bin->room < best->room : bin->room > best->room;
}

static bool
pack_copy(Packing *packing, int item)
{
    const BkItem *spec = &packing->bundle->items[item];
    Bin *best = NULL;

    for (int up = 0; up < packing->bundle->upstream_count; up++) {
        Bin *bin = &packing->bins[up];
        bool base_there = spec->base < 0 || bin_holds(bin, spec->base);
        if (bin->room >= spec->bytes && base_there && !bin_holds(bin, item) &&
            is_better(packing, bin, best)) {
            best = bin;
        }
    }
    if (best == NULL) {
        return false;
    }
    best->room -= spec->bytes;
    best->items[best->count++] = item;
    return true;
}

static const BkBundle *sort_bundle; /* qsort has no argument for it */

/* models before adapters, the large ones first */
static int
compare_items(const void *a, const void *b)
{
    const BkItem *x = &sort_bundle->items[*(const int *)a];
    const BkItem *y = &sort_bundle->items[*(const int *)b];

    if (x->kind != y->kind) {
        return (int)x->kind - (int)y->kind;
    }
    if (x->bytes != y->bytes) {
        return x->bytes > y->bytes ? -1 : 1;
    }
    return *(const int *)a - *(const int *)b;
}

static int
least_copies(const BkBundle *bundle, int item)
{
    int copies = bundle->items[item].copies;

    for (int i = 0; i < bundle->item_count; i++) {
        if (bundle->items[i].base == item &&
            bundle->items[i].copies > copies) {
            copies = bundle->items[i].copies;
        }
    }
    return copies;
}

static BkStatus
pack_items(Packing *packing, const int *order)
{
    const BkBundle *bundle = packing->bundle;

    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *item = &bundle->items[order[i]];
        if (item->kind == BK_ITEM_SERVICE) {
            continue;
        }
        int copies = least_copies(bundle, order[i]);
        for (int n = 0; n < copies; n++) {
            if (!pack_copy(packing, order[i])) {
                return BkErr_Set(BK_EPLACEMENT,
                                 "%s: copy %d of %d finds no engine with room "
                                 "beside the other items",
                                 item->name, n + 1, copies);
            }
        }
    }
    return BK_OK;
}

static bool
item_changes(const BkBundle *prev, const BkItem *item)
{
    int old = BkBundle_FindItem(prev, BkStr_FromC(item->name));

    return old >= 0 && strcmp(prev->items[old].version, item->version) != 0;
}

/* the old copy stands beside everything else until the new one is ready, so
 * the largest changed item needs its room once more */
static BkStatus
check_roll(const Packing *packing, const BkBundle *prev)
{
    const BkBundle *bundle = packing->bundle;
    uint64_t most = 0;

    for (int up = 0; up < bundle->upstream_count; up++) {
        most = packing->bins[up].room > most ? packing->bins[up].room : most;
    }
    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *item = &bundle->items[i];
        if (item->kind != BK_ITEM_SERVICE && item->bytes > most &&
            item_changes(prev, item)) {
            return BkErr_Set(BK_EPLACEMENT,
                             "%s: no engine has room for version %s before "
                             "the old version goes: %llu bytes needed, %llu "
                             "free",
                             item->name, item->version,
                             (unsigned long long)item->bytes,
                             (unsigned long long)most);
        }
    }
    return BK_OK;
}

static BkStatus
try_packing(const BkBundle *bundle, const BkBundle *prev, const int *order,
            bool tight)
{
    Packing packing = create_packing(bundle, tight);
    BkStatus status = pack_items(&packing, order);

    if (status == BK_OK && prev != NULL) {
        status = check_roll(&packing, prev);
    }
    destroy_packing(&packing);
    return status;
}

BkStatus
BkPlace_Feasible(const BkBundle *bundle, const BkBundle *prev)
{
    int *order = BkMem_New((size_t)bundle->item_count, sizeof(int));

    for (int i = 0; i < bundle->item_count; i++) {
        order[i] = i;
    }
    sort_bundle = bundle;
    qsort(order, (size_t)bundle->item_count, sizeof(int), compare_items);
    BkStatus status = try_packing(bundle, prev, order, false);
    if (status != BK_OK) {
        status = try_packing(bundle, prev, order, true);
    }
    free(order);
    return status;
}
