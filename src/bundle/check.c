#include "check.h"

#include <string.h>

#define GIB ((double)(UINT64_C(1) << 30))

/* accelerator memory that one engine needs for a copy, with its base */
static uint64_t
need_of(const BkBundle *bundle, const BkItem *item)
{
    return item->base < 0 ? item->bytes
                          : item->bytes + bundle->items[item->base].bytes;
}

static int
count_holders(const BkBundle *bundle, uint64_t need)
{
    int holders = 0;

    for (int i = 0; i < bundle->upstream_count; i++) {
        const BkUpstream *upstream = &bundle->upstreams[i];
        holders +=
            upstream->kind == BK_UPSTREAM_ENGINE && upstream->memory >= need;
    }
    return holders;
}

static BkStatus
check_sizes(const BkBundle *bundle, const BkBundleOrigin *origin)
{
    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *item = &bundle->items[i];
        if (item->kind == BK_ITEM_SERVICE) {
            continue;
        }
        uint64_t need = need_of(bundle, item);
        int holders = count_holders(bundle, need);
        if (holders == 0) {
            return BkRawBundle_Fail(
                origin->raw, origin->items[i], BK_RAW_BYTES,
                "no engine has the %.2f GiB that one copy%s takes",
                (double)need / GIB, item->base < 0 ? "" : " and its base");
        }
        if (item->copies > holders) {
            return BkRawBundle_Fail(
                origin->raw, origin->items[i], BK_RAW_COPIES,
                "more copies than the %d engines that have "
                "the memory for one",
                holders);
        }
    }
    return BK_OK;
}

static BkStatus
check_total(const BkBundle *bundle, const BkBundleOrigin *origin)
{
    double memory = 0;
    double need = 0;
    const BkRawSection *largest = NULL;
    double most = 0;

    for (int i = 0; i < bundle->upstream_count; i++) {
        memory += (double)bundle->upstreams[i].memory;
    }
    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *item = &bundle->items[i];
        double bytes = (double)item->bytes * item->copies;
        need += bytes;
        if (bytes > most) {
            most = bytes;
            largest = origin->items[i];
        }
    }
    if (need <= memory) {
        return BK_OK;
    }
    return BkRawBundle_Fail(origin->raw, largest, BK_RAW_BYTES,
                            "the least copies of all items take %.2f GiB, all "
                            "engines have %.2f GiB; this item takes the most",
                            need / GIB, memory / GIB);
}

static BkStatus
check_served(const BkBundle *bundle, const BkBundleOrigin *origin)
{
    for (int i = 0; i < bundle->item_count; i++) {
        bool served = bundle->items[i].kind != BK_ITEM_SERVICE;
        for (int u = 0; u < bundle->upstream_count && !served; u++) {
            const BkUpstream *upstream = &bundle->upstreams[u];
            for (int s = 0; s < upstream->serves_count; s++) {
                served |= upstream->serves[s] == i;
            }
        }
        if (!served) {
            return BkRawBundle_FailSection(origin->raw, origin->items[i],
                                           "no [upstream] serves it");
        }
    }
    return BK_OK;
}

static BkStatus
check_addresses(const BkBundle *bundle, const BkBundleOrigin *origin)
{
    for (int i = 0; i < bundle->upstream_count; i++) {
        for (int j = 0; j < i; j++) {
            if (strcmp(bundle->upstreams[i].addr, bundle->upstreams[j].addr) ==
                0) {
                return BkRawBundle_Fail(origin->raw, origin->upstreams[i],
                                        BK_RAW_ADDR,
                                        "is also that of [upstream %s]",
                                        bundle->upstreams[j].name);
            }
            if (bundle->upstreams[i].key == bundle->upstreams[j].key) {
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
            if (memcmp(bundle->callers[i].token, bundle->callers[j].token,
                       BK_DIGEST_BYTES) == 0) {
                return BkRawBundle_Fail(
                    origin->raw, origin->callers[i], BK_RAW_TOKEN,
                    "is also that of [caller %s]", bundle->callers[j].name);
            }
        }
    }
    return BK_OK;
}

BkStatus
BkBundleCheck_Whole(const BkBundle *bundle, const BkBundleOrigin *origin)
{
    BkStatus status = BK_OK;

    if (bundle->item_count == 0) {
        return BkErr_Set(BK_EBUNDLE,
                         "%s: has no [model], [adapter] or [service]",
                         origin->raw->where);
    }
    status = check_addresses(bundle, origin);
    if (status == BK_OK) {
        status = check_tokens(bundle, origin);
    }
    if (status == BK_OK) {
        status = check_served(bundle, origin);
    }
    if (status == BK_OK) {
        status = check_sizes(bundle, origin);
    }
    return status == BK_OK ? check_total(bundle, origin) : status;
}
