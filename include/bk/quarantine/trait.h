/*
 * trait - something that requests have in common and that may crash upstreams
 *
 * Pure, like the other files of this slice: well.h remembers the runs that
 * went well, tally.h counts the crashes that speak against a trait, and
 * verdict.h holds the traits whose requests are refused.
 * docs/design/quarantine.md says why so.
 */
#ifndef BK_QUARANTINE_TRAIT_H
#define BK_QUARANTINE_TRAIT_H

#include <stdbool.h>
#include <stdint.h>

typedef enum BkTraitKind {
    BK_TRAIT_PART,   /* a part of the prompt that is not the request's own */
    BK_TRAIT_REQUEST /* what a caller repeats when it sends the request again */
} BkTraitKind;

enum {
    BK_TRAIT_KINDS = 2
};

typedef struct BkTrait {
    uint64_t id;
    uint32_t service; /* BkStr_NameHash of its name */
    BkTraitKind kind;
} BkTrait;

bool BkTrait_Equal(const BkTrait *a, const BkTrait *b);
uint64_t BkTrait_Hash(const BkTrait *trait);

/* The kind's name in logs. */
const char *BkTrait_KindName(BkTraitKind kind);

#endif
