/*
 * diff - counts the differences between two bundles
 */
#ifndef BK_CTL_DIFF_H
#define BK_CTL_DIFF_H

#include <jansson.h>
#include <stdio.h>

#include "bk/bundle/bundle.h"

typedef struct BkBundleDiff {
    int items_added;
    int items_removed;
    int items_changed; /* in kind, version, size, base, copies, repeatable */
    int upstreams_added;
    int upstreams_removed;
} BkBundleDiff;

BkBundleDiff BkBundleDiff_Make(const BkBundle *bundle, const BkBundle *prev);

/* Prints one line, including the newline. It says that the bundle can be
 * rolled without interruption: BkPlace_CheckFeasible must have succeeded
 * before. */
void BkBundleDiff_Print(const BkBundleDiff *diff, FILE *out);
json_t *BkBundleDiff_Json(const BkBundleDiff *diff);

#endif
