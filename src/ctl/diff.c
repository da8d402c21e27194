#include "diff.h"

#include <string.h>

static const char *
base_name(const BkBundle *bundle, const BkItem *item)
{
    return item->base < 0 ? "" : bundle->items[item->base].name;
}

static bool
same_item(const BkBundle *bundle, const BkItem *item, const BkBundle *prev,
          const BkItem *old)
{
    return item->kind == old->kind && item->bytes == old->bytes &&
           item->min_copies == old->min_copies &&
           item->repeatable == old->repeatable &&
           strcmp(item->version, old->version) == 0 &&
           strcmp(base_name(bundle, item), base_name(prev, old)) == 0;
}

BkBundleDiff
BkBundleDiff_Make(const BkBundle *bundle, const BkBundle *prev)
{
    BkBundleDiff diff = {0};
    int kept = 0;

    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *item = &bundle->items[i];
        int prev_index = BkBundle_FindItem(prev, BkStr_FromC(item->name));
        if (prev_index < 0) {
            diff.items_added++;
            continue;
        }
        kept++;
        diff.items_changed +=
            !same_item(bundle, item, prev, &prev->items[prev_index]);
    }
    diff.items_removed = prev->item_count - kept;
    kept = 0;
    for (int i = 0; i < bundle->upstream_count; i++) {
        BkStr name = BkStr_FromC(bundle->upstreams[i].name);
        kept += BkBundle_FindUpstream(prev, name) >= 0;
    }
    diff.upstreams_added = bundle->upstream_count - kept;
    diff.upstreams_removed = prev->upstream_count - kept;
    return diff;
}

void
BkBundleDiff_Print(const BkBundleDiff *diff, FILE *out)
{
    fprintf(out,
            "items +%d -%d, %d changed; upstreams +%d -%d; can be rolled "
            "without interruption\n",
            diff->items_added, diff->items_removed, diff->items_changed,
            diff->upstreams_added, diff->upstreams_removed);
}

json_t *
BkBundleDiff_Json(const BkBundleDiff *diff)
{
    return json_pack("{s:i, s:i, s:i, s:i, s:i}", "items_added",
                     diff->items_added, "items_removed", diff->items_removed,
                     "items_changed", diff->items_changed, "upstreams_added",
                     diff->upstreams_added, "upstreams_removed",
                     diff->upstreams_removed);
}
