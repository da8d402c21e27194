#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#include "bk/bundle/bundle.h"

int
BkBundle_FindItem(const BkBundle *bundle, BkStr name)
{
    int low = 0;
    int high = bundle->item_count;

    while (low < high) {
        int middle = low + (high - low) / 2;
        BkStr at = BkStr_FromC(bundle->items[middle].name);
        int order = BkStr_Compare(name, at);
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

int
BkBundle_FindUpstream(const BkBundle *bundle, BkStr name)
{
    int low = 0;
    int high = bundle->upstream_count;

    while (low < high) {
        int middle = low + (high - low) / 2;
        BkStr at = BkStr_FromC(bundle->upstreams[middle].name);
        int order = BkStr_Compare(name, at);
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

int
BkBundle_FindUpstreamKey(const BkBundle *bundle, uint32_t key)
{
    int low = 0;
    int high = bundle->upstream_count;

    while (low < high) {
        int middle = low + (high - low) / 2;
        int index = bundle->upstreams_by_key[middle];
        uint32_t at = bundle->upstreams[index].key;
        if (key == at) {
            return index;
        }
        if (key < at) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return -1;
}

int
BkBundle_FindCaller(const BkBundle *bundle, BkStr token)
{
    unsigned char digest[BK_DIGEST_BYTES];

    crypto_generichash(digest, sizeof(digest),
                       (const unsigned char *)token.ptr, token.len, NULL, 0);
    for (int i = 0; i < bundle->caller_count; i++) {
        if (memcmp(bundle->callers[i].token, digest, sizeof(digest)) == 0) {
            return i;
        }
    }
    return -1;
}

bool
BkBundle_Allows(const BkBundle *bundle, int caller, int item)
{
    const BkCallerSpec *spec = &bundle->callers[caller];

    if (spec->all) {
        return true;
    }
    for (int i = 0; i < spec->allow_count; i++) {
        if (spec->allow[i] == item) {
            return true;
        }
    }
    return false;
}

uint32_t
BkBundle_Key(BkStr name)
{
    return XXH32(name.ptr, name.len, 0);
}

void
BkDigest_Hex(const unsigned char *digest, char *hex)
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
