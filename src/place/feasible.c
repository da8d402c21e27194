/* whether a bundle can be placed at all, and whether each changed item can
 * keep its old copy loaded until the new version is ready */
#include <stdlib.h>
#include <string.h>

#include "bk/place/place.h"

typedef struct Bin {
    uint64_t free_bytes;
    int *items;
    int count;
} Bin;

typedef struct Packing {
    const BkBundle *bundle;
    /* whether to pack into the engine with the least free memory that
       suffices, or into the one with the most */
    bool best_fit;
    Bin *bins; /* per upstream; services have no memory */
} Packing;

static Packing
create_packing(const BkBundle *bundle, bool best_fit)
{
    Packing packing = {bundle, best_fit, NULL};
    size_t max_items = (size_t)bundle->item_count;

    packing.bins = BkMem_New((size_t)bundle->upstream_count, sizeof(Bin));
    for (int up = 0; up < bundle->upstream_count; up++) {
        packing.bins[up].free_bytes = bundle->upstreams[up].memory_bytes;
        packing.bins[up].items = BkMem_New(max_items, sizeof(int));
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
    return packing->best_fit ? bin->free_bytes < best->free_bytes
                             : bin->free_bytes > best->free_bytes;
}

static bool
pack_copy(Packing *packing, int item)
{
    const BkItem *spec = &packing->bundle->items[item];
    Bin *best = NULL;

    for (int up = 0; up < packing->bundle->upstream_count; up++) {
        Bin *bin = &packing->bins[up];
        bool has_base = spec->base < 0 || bin_holds(bin, spec->base);
        if (bin->free_bytes >= spec->bytes && has_base &&
            !bin_holds(bin, item) && is_better(packing, bin, best)) {
            best = bin;
        }
    }
    if (best == NULL) {
        return false;
    }
    best->free_bytes -= spec->bytes;
    best->items[best->count++] = item;
    return true;
}

/* the bundle for compare_items, since qsort passes no argument */
static const BkBundle *sort_bundle;

/* models before adapters, larger items first */
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

/* The highest minimum of the item and its adapters, since each copy of an
 * adapter needs a copy of its base beside it. */
static int
get_min_copies_with_adapters(const BkBundle *bundle, int item)
{
    int copies = bundle->items[item].min_copies;

    for (int i = 0; i < bundle->item_count; i++) {
        if (bundle->items[i].base == item &&
            bundle->items[i].min_copies > copies) {
            copies = bundle->items[i].min_copies;
        }
    }
    return copies;
}

static BkStatus
pack_items(Packing *packing, const int *order)
{
    const BkBundle *bundle = packing->bundle;

    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *spec = &bundle->items[order[i]];
        if (spec->kind == BK_ITEM_SERVICE) {
            continue;
        }
        int copies = get_min_copies_with_adapters(bundle, order[i]);
        for (int n = 0; n < copies; n++) {
            if (!pack_copy(packing, order[i])) {
                return BkErr_Set(
                    BK_EPLACEMENT,
                    "%s: no engine has enough memory for copy %d of %d "
                    "beside the other items",
                    spec->name, n + 1, copies);
            }
        }
    }
    return BK_OK;
}

static bool
version_changes(const BkBundle *prev, const BkItem *spec)
{
    int old = BkBundle_FindItem(prev, BkStr_FromC(spec->name));

    return old >= 0 && strcmp(prev->items[old].version, spec->version) != 0;
}

/* The old copy stays loaded until the new one is ready, so the largest changed
 * item needs its memory twice. */
static BkStatus
check_roll(const Packing *packing, const BkBundle *prev)
{
    const BkBundle *bundle = packing->bundle;
    uint64_t max_free_bytes = 0;

    for (int up = 0; up < bundle->upstream_count; up++) {
        max_free_bytes = packing->bins[up].free_bytes > max_free_bytes
                             ? packing->bins[up].free_bytes
                             : max_free_bytes;
    }
    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *spec = &bundle->items[i];
        if (spec->kind != BK_ITEM_SERVICE && spec->bytes > max_free_bytes &&
            version_changes(prev, spec)) {
            return BkErr_Set(BK_EPLACEMENT,
                             "%s: no engine has room for version %s before "
                             "the old version goes: %llu bytes needed, %llu "
                             "free",
                             spec->name, spec->version,
                             (unsigned long long)spec->bytes,
                             (unsigned long long)max_free_bytes);
        }
    }
    return BK_OK;
}

static BkStatus
try_packing(const BkBundle *bundle, const BkBundle *prev, const int *order,
            bool best_fit)
{
    Packing packing = create_packing(bundle, best_fit);
    BkStatus status = pack_items(&packing, order);

    if (status == BK_OK && prev != NULL) {
        status = check_roll(&packing, prev);
    }
    destroy_packing(&packing);
    return status;
}

BkStatus
BkPlace_CheckFeasible(const BkBundle *bundle, const BkBundle *prev)
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
