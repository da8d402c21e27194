/*
 * check - constraints that span several sections of a bundle
 */
#ifndef BK_BUNDLE_CHECK_H
#define BK_BUNDLE_CHECK_H

#include "bk/bundle/bundle.h"
#include "raw.h"

/* The section that defines each item, upstream and caller, for error
 * messages; indexed like the arrays of the bundle. */
typedef struct BkBundleOrigin {
    const BkRawBundle *raw;
    const BkRawSection **items;
    const BkRawSection **upstreams;
    const BkRawSection **callers;
} BkBundleOrigin;

/*
 * Rejects a bundle without items, an item larger than the memory of every
 * engine, minimum copies that do not fit, a service that no upstream runs,
 * an address or token used twice, and upstream names with the same hash.
 * ERRORS: BK_EBUNDLE.
 */
BkStatus BkBundleCheck_Run(const BkBundle *bundle,
                           const BkBundleOrigin *origin);

#endif
