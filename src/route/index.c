#include "index.h"

#include <stdlib.h>
#include <string.h>

/* The indexed items of an upstream, and its statistics. The first two fields
   identify the instance list that was indexed. */
typedef struct UpstreamEntry {
    int inst_count;
    uint32_t insts_digest;
    int *items; /* indices of the items that it has a copy of */
    int item_count;
    UpstreamStats stats;
} UpstreamEntry;

struct BkRouteIndex {
    /* what was indexed: the view, its bundle and its generation */
    const BkView *view;
    unsigned char bundle_digest[BK_DIGEST_BYTES];
    uint64_t generation;
    CopyList *copy_lists; /* one for each item of the bundle */
    int item_count;
    UpstreamEntry *ups; /* one for each upstream of the view */
    int up_count;
};

static void
destroy_index(BkRouteIndex *index)
{
    if (index == NULL) {
        return;
    }
    for (int i = 0; i < index->item_count; i++) {
        free(index->copy_lists[i].copies);
    }
    for (int i = 0; i < index->up_count; i++) {
        free(index->ups[i].items);
    }
    free(index->copy_lists);
    free(index->ups);
    free(index);
}

static void
remove_copy(CopyList *list, int up)
{
    for (int i = 0; i < list->count; i++) {
        if (list->copies[i].up == up) {
            list->copies[i] = list->copies[--list->count];
            return;
        }
    }
}

static void
add_copy(BkRouteIndex *index, int item, int up, bool current)
{
    CopyList *list = &index->copy_lists[item];
    UpstreamEntry *entry = &index->ups[up];

    for (int i = 0; i < list->count; i++) {
        if (list->copies[i].up == up) {
            list->copies[i].current |= current;
            return;
        }
    }
    if (list->count == list->cap) {
        list->cap = list->cap == 0 ? 4 : 2 * list->cap;
        list->copies =
            BkMem_Grow(list->copies, (size_t)list->cap, sizeof(ItemCopy));
    }
    list->copies[list->count++] = (ItemCopy){up, current};
    entry->items =
        BkMem_Grow(entry->items, (size_t)entry->item_count + 1, sizeof(int));
    entry->items[entry->item_count++] = item;
}

static void
add_instances(BkRouteIndex *index, const BkView *view, int up)
{
    const BkUpView *up_view = &view->ups[up];

    for (int i = 0; i < up_view->inst_count; i++) {
        const BkInst *inst = &up_view->insts[i];
        if (inst->state != BK_INST_READY) {
            continue;
        }
        int item = BkBundle_FindItem(view->bundle, BkStr_FromC(inst->item));
        if (item >= 0) {
            const char *version = view->bundle->items[item].version;
            bool current = strcmp(inst->version, version) == 0;
            add_copy(index, item, up, current);
        }
    }
}

static void
refresh_upstream(BkRouteIndex *index, const BkView *view, int up)
{
    const BkUpstream *upstream = &view->bundle->upstreams[up];
    const BkUpView *up_view = &view->ups[up];
    UpstreamEntry *entry = &index->ups[up];

    for (int i = 0; i < entry->item_count; i++) {
        remove_copy(&index->copy_lists[entry->items[i]], up);
    }
    entry->item_count = 0;
    entry->inst_count = up_view->inst_count;
    entry->insts_digest = up_view->insts_digest;
    if (upstream->kind == BK_UPSTREAM_SERVICE) {
        for (int i = 0; i < upstream->service_count; i++) {
            add_copy(index, upstream->services[i], up, true);
        }
        return;
    }
    add_instances(index, view, up);
}

static bool
index_matches(const BkRouteIndex *index, const BkView *view)
{
    return index != NULL && index->view == view &&
           index->up_count == view->count &&
           memcmp(index->bundle_digest, view->bundle->digest,
                  BK_DIGEST_BYTES) == 0;
}

static BkRouteIndex *
create_index(const BkView *view)
{
    BkRouteIndex *index = BkMem_New(1, sizeof(*index));

    index->view = view;
    index->generation = view->generation;
    memcpy(index->bundle_digest, view->bundle->digest, BK_DIGEST_BYTES);
    index->item_count = view->bundle->item_count;
    index->copy_lists = BkMem_New((size_t)index->item_count, sizeof(CopyList));
    index->up_count = view->count;
    index->ups = BkMem_New((size_t)index->up_count, sizeof(UpstreamEntry));
    for (int up = 0; up < view->count; up++) {
        refresh_upstream(index, view, up);
    }
    return index;
}

/* Indexes again the upstreams with a changed instance list. */
static void
update_index(BkRouteIndex *index, const BkView *view)
{
    index->generation = view->generation;
    for (int up = 0; up < view->count; up++) {
        const BkUpView *up_view = &view->ups[up];
        const UpstreamEntry *entry = &index->ups[up];
        if (entry->inst_count != up_view->inst_count ||
            entry->insts_digest != up_view->insts_digest) {
            refresh_upstream(index, view, up);
        }
    }
}

const CopyList *
route_find_copies(BkRoute *route, const BkView *view, int item)
{
    if (!index_matches(route->index, view)) {
        destroy_index(route->index);
        route->index = create_index(view);
    }
    if (route->index->generation != view->generation) {
        update_index(route->index, view);
    }
    return &route->index->copy_lists[item];
}

UpstreamStats *
route_stats(const BkRoute *route, int up)
{
    return &route->index->ups[up].stats;
}

UpstreamStats *
route_find_stats(const BkRoute *route, const BkView *view, int up)
{
    return index_matches(route->index, view) ? route_stats(route, up) : NULL;
}

void
BkRoute_Destroy(BkRoute *route)
{
    destroy_index(route->index);
    route->index = NULL;
}
