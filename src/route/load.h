/*
 * load - how full an upstream is, from late reports and own knowledge
 */
#ifndef BK_ROUTE_LOAD_H
#define BK_ROUTE_LOAD_H

#include "bk/route/route.h"

/* To compare upstreams: higher is fuller. */
double route_fullness(const BkView *view, int up);

/* The wait for a slot that a request sent now should be prepared for: what
 * all daemons are likely to have sent since the report counts, and a margin
 * for its chance. Longer than the expected wait. */
BkMs route_safe_wait(const BkRoute *route, const BkView *view, int up,
                     BkMs now);

/* To be called for each copy that is considered, before the above. */
void route_note_use(BkRoute *route, const BkView *view, int up, BkMs now);

/* A request was routed there. */
void route_note_send(BkRoute *route, int up, BkMs now);

/* At least 1. */
int route_slots(const BkView *view, int up);

#endif
