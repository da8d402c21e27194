#include "index.h"

#include <stdlib.h>
#include <string.h>

/* what an upstream's entries were made from, and for which items */
typedef struct IndexUp {
    int inst_count;
    uint32_t digest;
    int *items;
    int count;
    IndexFlow flow;
} IndexUp;

struct BkRouteIndex {
    const BkView *view;
    unsigned char bundle[BK_DIGEST_BYTES];
    uint64_t generation;
    IndexList *items;
    int item_count;
    IndexUp *ups;
    int up_count;
};

static void
destroy_index(BkRouteIndex *index)
{
    if (index == NULL) {
        return;
    }
    for (int i = 0; i < index->item_count; i++) {
        free(index->items[i].copies);
    }
    for (int i = 0; i < index->up_count; i++) {
        free(index->ups[i].items);
    }
    free(index->items);
    free(index->ups);
    free(index);
}

static void
remove_copy(IndexList *list, int up)
{
    for (int i = 0; i < list->count; i++) {
        if (list->copies[i].up == up) {
            list->copies[i] = list->copies[--list->count];
            return;
        }
    }
}

static void
add_copy(BkRouteIndex *index, int item, int up, bool wanted)
{
    IndexList *list = &index->items[item];
    IndexUp *entry = &index->ups[up];

    for (int i = 0; i < list->count; i++) {
        if (list->copies[i].up == up) {
            list->copies[i].wanted |= wanted;
            return;
        }
    }
    if (list->count == list->cap) {
        list->cap = list->cap == 0 ? 4 : 2 * list->cap;
        list->copies =
            BkMem_Grow(list->copies, (size_t)list->cap, sizeof(IndexCopy));
    }
    list->copies[list->count++] = (IndexCopy){up, wanted};
    entry->items =
        BkMem_Grow(entry->items, (size_t)entry->count + 1, sizeof(int));
    entry->items[entry->count++] = item;
}

static void
add_instances(BkRouteIndex *index, const BkView *view, int up)
{
    const BkUpView *seen = &view->ups[up];

    for (int i = 0; i < seen->inst_count; i++) {
        const BkInst *inst = &seen->insts[i];
        if (inst->state != BK_INST_READY) {
            continue;
        }
        int item = BkBundle_FindItem(view->bundle, BkStr_FromC(inst->item));
        if (item >= 0) {
            const char *version = view->bundle->items[item].version;
            bool wanted = strcmp(inst->version, version) == 0;
            add_copy(index, item, up, wanted);
        }
    }
}

static void
refresh_upstream(BkRouteIndex *index, const BkView *view, int up)
{
    const BkUpstream *spec = &view->bundle->upstreams[up];
    const BkUpView *seen = &view->ups[up];
    IndexUp *entry = &index->ups[up];

    for (int i = 0; i < entry->count; i++) {
        remove_copy(&index->items[entry->items[i]], up);
    }
    entry->count = 0;
    entry->inst_count = seen->inst_count;
    entry->digest = seen->insts_digest;
    if (spec->kind == BK_UPSTREAM_SERVICE) {
        for (int i = 0; i < spec->serves_count; i++) {
            add_copy(index, spec->serves[i], up, true);
        }
        return;
    }
    add_instances(index, view, up);
}

static bool
index_fits(const BkRouteIndex *index, const BkView *view)
{
    return index != NULL && index->view == view &&
           index->up_count == view->count &&
           memcmp(index->bundle, view->bundle->digest, BK_DIGEST_BYTES) == 0;
}

static BkRouteIndex *
create_index(const BkView *view)
{
    BkRouteIndex *index = BkMem_New(1, sizeof(*index));

    index->view = view;
    index->generation = view->generation;
    memcpy(index->bundle, view->bundle->digest, BK_DIGEST_BYTES);
    index->item_count = view->bundle->item_count;
    index->items = BkMem_New((size_t)index->item_count, sizeof(IndexList));
    index->up_count = view->count;
    index->ups = BkMem_New((size_t)index->up_count, sizeof(IndexUp));
    for (int up = 0; up < view->count; up++) {
        refresh_upstream(index, view, up);
    }
    return index;
}

/* looks again at the upstreams whose list has changed */
static void
follow_view(BkRouteIndex *index, const BkView *view)
{
    index->generation = view->generation;
    for (int up = 0; up < view->count; up++) {
        const BkUpView *seen = &view->ups[up];
        const IndexUp *entry = &index->ups[up];
        if (entry->inst_count != seen->inst_count ||
            entry->digest != seen->insts_digest) {
            refresh_upstream(index, view, up);
        }
    }
}

const IndexList *
route_copies(BkRoute *route, const BkView *view, int item)
{
    if (!index_fits(route->index, view)) {
        destroy_index(route->index);
        route->index = create_index(view);
    }
    if (route->index->generation != view->generation) {
        follow_view(route->index, view);
    }
    return &route->index->items[item];
}

IndexFlow *
route_flow(const BkRoute *route, int up)
{
    return &route->index->ups[up].flow;
}

IndexFlow *
route_known_flow(const BkRoute *route, const BkView *view, int up)
{
    return index_fits(route->index, view) ? route_flow(route, up) : NULL;
}

void
BkRoute_Destroy(BkRoute *route)
{
    destroy_index(route->index);
    route->index = NULL;
}
