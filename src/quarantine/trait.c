#include "bk/quarantine/trait.h"

#include <xxhash.h>

bool
BkTrait_Equal(const BkTrait *a, const BkTrait *b)
{
    return a->id == b->id && a->service == b->service && a->kind == b->kind;
}

uint64_t
BkTrait_Hash(const BkTrait *trait)
{
    return XXH64(&trait->id, sizeof(trait->id),
                 ((uint64_t)trait->service << 8) | (uint64_t)trait->kind);
}

const char *
BkTrait_KindName(BkTraitKind kind)
{
    switch (kind) {
    case BK_TRAIT_PART:
        return "part";
    case BK_TRAIT_REQUEST:
        return "request";
    }
    return "unknown";
}
