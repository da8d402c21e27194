/*
 * check - what must hold over a bundle as a whole
 */
#ifndef BK_BUNDLE_CHECK_H
#define BK_BUNDLE_CHECK_H

#include "bk/bundle/bundle.h"
#include "raw.h"

/* Which section each entry of a bundle came from, for messages. */
typedef struct BkBundleOrigin {
    const BkRawBundle *raw;
    const BkRawSection **items;
    const BkRawSection **upstreams;
    const BkRawSection **callers;
} BkBundleOrigin;

/*
 * Refuses an item that no engine can hold, least copies that do not fit, a
 * service that nobody serves, and an address or token used twice.
 * ERRORS: BK_EBUNDLE.
 */
BkStatus BkBundleCheck_Whole(const BkBundle *bundle,
                             const BkBundleOrigin *origin);

#endif
