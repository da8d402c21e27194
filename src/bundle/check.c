#include "check.h"

#include <string.h>

#define GIB ((double)(UINT64_C(1) << 30))

/* bytes of accelerator memory for one copy, including its base model */
static uint64_t
memory_needed(const BkBundle *bundle, const BkItem *item)
{
    return item->base < 0 ? item->bytes
                          : item->bytes + bundle->items[item->base].bytes;
}

static int
count_capable_engines(const BkBundle *bundle, uint64_t needed)
{
    int capable_engines = 0;

    for (int i = 0; i < bundle->upstream_count; i++) {
        const BkUpstream *upstream = &bundle->upstreams[i];
        capable_engines += upstream->kind == BK_UPSTREAM_ENGINE &&
                           upstream->memory_bytes >= needed;
    }
    return capable_engines;
}

static BkStatus
check_copies_fit(const BkBundle *bundle, const BkBundleOrigin *origin)
{
    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *item = &bundle->items[i];
        if (item->kind == BK_ITEM_SERVICE) {
            continue;
        }
        uint64_t needed = memory_needed(bundle, item);
        int capable_engines = count_capable_engines(bundle, needed);
        if (capable_engines == 0) {
            return BkRawBundle_Fail(
                origin->raw, origin->items[i], BK_RAW_KEY_BYTES,
                "no engine has the %.2f GiB that one copy%s needs",
                (double)needed / GIB, item->base < 0 ? "" : " and its base");
        }
        if (item->min_copies > capable_engines) {
            return BkRawBundle_Fail(
                origin->raw, origin->items[i], BK_RAW_KEY_COPIES,
                "more copies than the %d engines with enough memory for one",
                capable_engines);
        }
    }
    return BK_OK;
}

static BkStatus
check_total_memory(const BkBundle *bundle, const BkBundleOrigin *origin)
{
    double memory = 0;
    double needed = 0;
    const BkRawSection *largest = NULL;
    double largest_bytes = 0;

    for (int i = 0; i < bundle->upstream_count; i++) {
        memory += (double)bundle->upstreams[i].memory_bytes;
    }
    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *item = &bundle->items[i];
        double bytes = (double)item->bytes * item->min_copies;
        needed += bytes;
        if (bytes > largest_bytes) {
            largest_bytes = bytes;
            largest = origin->items[i];
        }
    }
    if (needed <= memory) {
        return BK_OK;
    }
    return BkRawBundle_Fail(origin->raw, largest, BK_RAW_KEY_BYTES,
                            "the minimum copies of all items need %.2f GiB, "
                            "all engines together have %.2f GiB; this item "
                            "needs the most",
                            needed / GIB, memory / GIB);
}

static BkStatus
check_served(const BkBundle *bundle, const BkBundleOrigin *origin)
{
    for (int i = 0; i < bundle->item_count; i++) {
        bool is_served = bundle->items[i].kind != BK_ITEM_SERVICE;
        for (int u = 0; u < bundle->upstream_count && !is_served; u++) {
            const BkUpstream *upstream = &bundle->upstreams[u];
            for (int s = 0; s < upstream->service_count; s++) {
                is_served |= upstream->services[s] == i;
            }
        }
        if (!is_served) {
            return BkRawBundle_FailSection(origin->raw, origin->items[i],
                                           "no [upstream] serves it");
        }
    }
    return BK_OK;
}

static BkStatus
check_unique_upstreams(const BkBundle *bundle, const BkBundleOrigin *origin)
{
    for (int i = 0; i < bundle->upstream_count; i++) {
        for (int j = 0; j < i; j++) {
            if (strcmp(bundle->upstreams[i].addr, bundle->upstreams[j].addr) ==
                0) {
                return BkRawBundle_Fail(origin->raw, origin->upstreams[i],
                                        BK_RAW_KEY_ADDR,
                                        "already used by [upstream %s]",
                                        bundle->upstreams[j].name);
            }
            if (bundle->upstreams[i].name_hash ==
                bundle->upstreams[j].name_hash) {
                return BkRawBundle_FailSection(
                    origin->raw, origin->upstreams[i],
                    "has the same hash as [upstream %s]; rename one",
                    bundle->upstreams[j].name);
            }
        }
    }
    return BK_OK;
}

static BkStatus
check_tokens(const BkBundle *bundle, const BkBundleOrigin *origin)
{
    for (int i = 0; i < bundle->caller_count; i++) {
        for (int j = 0; j < i; j++) {
            if (memcmp(bundle->callers[i].token_hash,
                       bundle->callers[j].token_hash, BK_DIGEST_BYTES) == 0) {
                return BkRawBundle_Fail(
                    origin->raw, origin->callers[i], BK_RAW_KEY_TOKEN,
                    "already used by [caller %s]", bundle->callers[j].name);
            }
        }
    }
    return BK_OK;
}

BkStatus
BkBundleCheck_Run(const BkBundle *bundle, const BkBundleOrigin *origin)
{
    BkStatus status = BK_OK;

    if (bundle->item_count == 0) {
        return BkErr_Set(BK_EBUNDLE,
                         "%s: has no [model], [adapter] or [service]",
                         origin->raw->source_name);
    }
    status = check_unique_upstreams(bundle, origin);
    if (status == BK_OK) {
        status = check_tokens(bundle, origin);
    }
    if (status == BK_OK) {
        status = check_served(bundle, origin);
    }
    if (status == BK_OK) {
        status = check_copies_fit(bundle, origin);
    }
    return status == BK_OK ? check_total_memory(bundle, origin) : status;
}
