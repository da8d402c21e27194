/*
 * index - finds the upstreams with a ready copy of an item
 *
 * An item is a model or service of the bundle; a copy of it is an upstream
 * that can serve it: an engine with a ready instance of the model, or an
 * upstream of the service. The index is derived from the view. When the view
 * changes, only upstreams with a changed instance list are indexed again.
 */
#ifndef BK_ROUTE_INDEX_H
#define BK_ROUTE_INDEX_H

#include "bk/route/route.h"

typedef struct ItemCopy {
    int up;       /* index of the upstream in the view */
    bool current; /* is of the version in force */
} ItemCopy;

typedef struct CopyList {
    ItemCopy *copies;
    int count;
    int cap;
} CopyList;

/* Smoothed statistics of an upstream, as this daemon sees it. Own requests are
 * those that this daemon sent. */
typedef struct UpstreamStats {
    double send_rate; /* own requests sent per second, at send_rate_at */
    BkMs send_rate_at;
    double utilization; /* reported requests per slot, at utilization_at */
    BkMs utilization_at;
    double mean_duration; /* seconds that own requests take; 0: not known */
} UpstreamStats;

/* The statistics of an upstream. The index must exist and match the view: find
 * the copies of an item in this view first. */
UpstreamStats *route_stats(const BkRoute *route, int up);

/* The same, but NULL if no request was routed in this view yet. */
UpstreamStats *route_find_stats(const BkRoute *route, const BkView *view,
                                int up);

/* The copies of an item. Creates the index, or updates it if the generation
 * of the view has changed. */
const CopyList *route_find_copies(BkRoute *route, const BkView *view,
                                  int item);

#endif
