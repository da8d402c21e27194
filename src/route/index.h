/*
 * index - item to upstreams with a ready copy
 *
 * Kept beside the view; an upstream is looked at again when its instance
 * list has changed.
 */
#ifndef BK_ROUTE_INDEX_H
#define BK_ROUTE_INDEX_H

#include "bk/route/route.h"

typedef struct IndexCopy {
    int up;
    bool wanted; /* has the version in force */
} IndexCopy;

typedef struct IndexList {
    IndexCopy *copies;
    int count;
    int cap;
} IndexList;

/* What passes between this daemon and an upstream, smoothed. */
typedef struct IndexFlow {
    double rate; /* own requests a second, as of rate_at */
    BkMs rate_at;
    double use; /* reported requests for each slot, as of use_at */
    BkMs use_at;
    double took; /* seconds that an own request took, smoothed; 0: none */
} IndexFlow;

/* Only after route_copies with the present view. */
IndexFlow *route_flow(const BkRoute *route, int up);

/* NULL as long as nothing was routed in this view. */
IndexFlow *route_known_flow(const BkRoute *route, const BkView *view, int up);

/* The copies of an item; the index follows the view's generation. */
const IndexList *route_copies(BkRoute *route, const BkView *view, int item);

#endif
