/*
 * signals - what upstreams ask for in their responses
 *
 * An upstream in need says in its responses how many requests it takes, or
 * that it wants none for a while; one that leaves says so too. The fields are
 * read by the platform adapter. What follows from them is decided in bk/throttle
 * and, for the requests of all daemons together, by the upstream's coordinator
 * (admission.h). That it leaves is passed on to the other daemons by gossip;
 * a hold-off binds this daemon alone.
 */
#ifndef BK_FRONT_SIGNALS_H
#define BK_FRONT_SIGNALS_H

#include "bk/front/adapter.h"
#include "front.h"

/* The head of a response came from the upstream that the request was sent to,
 * whether it is passed on or not. A value that cannot be used is logged, and
 * changes nothing. */
void FrSignals_Note(FrRequest *request, const BkResponseFields *fields,
                    BkMs now);

/* The upstream said this of itself. ends_limit: a response without a limit ends
 * one. request_id: for the log; NULL: a call of the planner. */
void FrSignals_Apply(FrFront *front, BkUp *up, const BkSignals *signals,
                     bool ends_limit, const char *request_id, BkMs now);

/* Whether the service's upstreams fall over when they refuse many requests. */
bool FrSignals_IsBrittle(const FrFront *front, uint32_t service);

/* The upstream named this rate limit, in requests a second, at seen_at;
 * negative: none. source: who read it, for the log. */
void FrSignals_NoteRateLimit(BkUp *up, double rate, BkMs seen_at,
                             const char *source, BkMs now);

#endif
