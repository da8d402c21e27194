#include <sodium.h>
#include <string.h>

#include "bk/bundle/bundle.h"

/* Compares target with the element at index, like strcmp. */
typedef int (*CompareFn)(const BkBundle *bundle, int index,
                         const void *target);

/* Returns the index in 0..count-1 of the element that equals target, or -1.
 * The elements are sorted. */
static int
binary_search(const BkBundle *bundle, int count, CompareFn compare,
              const void *target)
{
    int low = 0;
    int high = count;

    while (low < high) {
        int middle = low + (high - low) / 2;
        int order = compare(bundle, middle, target);
        if (order == 0) {
            return middle;
        }
        if (order < 0) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return -1;
}

static int
compare_item(const BkBundle *bundle, int index, const void *target)
{
    const BkStr *name = target;

    return BkStr_Compare(*name, BkStr_FromC(bundle->items[index].name));
}

static int
compare_upstream(const BkBundle *bundle, int index, const void *target)
{
    const BkStr *name = target;

    return BkStr_Compare(*name, BkStr_FromC(bundle->upstreams[index].name));
}

static int
compare_name_hash(const BkBundle *bundle, int index, const void *target)
{
    uint32_t name_hash = *(const uint32_t *)target;
    uint32_t other_hash =
        bundle->upstreams[bundle->upstreams_by_hash[index]].name_hash;

    return (name_hash > other_hash) - (name_hash < other_hash);
}

int
BkBundle_FindItem(const BkBundle *bundle, BkStr name)
{
    return binary_search(bundle, bundle->item_count, compare_item, &name);
}

int
BkBundle_FindUpstream(const BkBundle *bundle, BkStr name)
{
    return binary_search(bundle, bundle->upstream_count, compare_upstream,
                         &name);
}

int
BkBundle_FindUpstreamByHash(const BkBundle *bundle, uint32_t name_hash)
{
    int index = binary_search(bundle, bundle->upstream_count,
                              compare_name_hash, &name_hash);

    return index < 0 ? -1 : bundle->upstreams_by_hash[index];
}

int
BkBundle_FindCaller(const BkBundle *bundle, BkStr token)
{
    unsigned char digest[BK_DIGEST_BYTES];

    crypto_generichash(digest, sizeof(digest),
                       (const unsigned char *)token.ptr, token.len, NULL, 0);
    for (int i = 0; i < bundle->caller_count; i++) {
        if (memcmp(bundle->callers[i].token_hash, digest, sizeof(digest)) ==
            0) {
            return i;
        }
    }
    return -1;
}

bool
BkBundle_Allows(const BkBundle *bundle, int caller, int item)
{
    const BkCallerSpec *spec = &bundle->callers[caller];

    if (spec->allow_all) {
        return true;
    }
    for (int i = 0; i < spec->allowed_item_count; i++) {
        if (spec->allowed_items[i] == item) {
            return true;
        }
    }
    return false;
}

uint32_t
BkBundle_NameHash(BkStr name)
{
    return BkStr_NameHash(name);
}

void
BkDigest_ToHex(const unsigned char *digest, char *hex)
{
    sodium_bin2hex(hex, BK_DIGEST_BYTES * 2 + 1, digest, BK_DIGEST_BYTES);
}

BkStatus
BkDigest_Parse(BkStr hex, unsigned char *digest)
{
    size_t len = 0;

    if (hex.len != BK_DIGEST_BYTES * 2 ||
        sodium_hex2bin(digest, BK_DIGEST_BYTES, hex.ptr, hex.len, NULL, &len,
                       NULL) != 0 ||
        len != BK_DIGEST_BYTES) {
        return BkErr_Set(BK_EINVAL, "is not %d hex digits",
                         BK_DIGEST_BYTES * 2);
    }
    return BK_OK;
}
