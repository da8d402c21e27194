/*
 * load - estimates the load of an upstream
 *
 * Combines the reports of the upstream, which arrive late, with what is known
 * of own requests, those that this daemon sent.
 */
#ifndef BK_ROUTE_LOAD_H
#define BK_ROUTE_LOAD_H

#include "bk/route/route.h"

/* A number to compare upstreams by: the higher, the more loaded. */
double route_load_score(const BkView *view, int up);

/* A conservative estimate of how long a request that is sent now waits for a
 * slot. It includes the requests that all daemons have probably sent since the
 * report, and a margin for their random variation; so it is longer than the
 * expected wait. */
BkMs route_conservative_wait(const BkRoute *route, const BkView *view, int up,
                             BkMs now);

/* Updates the smoothed utilization, on which the margin depends. Call it for
 * each copy that is considered, before estimating its wait. */
void route_update_utilization(BkRoute *route, const BkView *view, int up,
                              BkMs now);

/* Updates the smoothed rate of own requests for one that was routed to the
 * upstream. */
void route_update_send_rate(BkRoute *route, int up, BkMs now);

/* The number of slots of the upstream, at least 1. */
int route_slot_count(const BkView *view, int up);

#endif
