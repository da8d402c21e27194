/*
 * relay - what the files about one request share
 *
 * arrival.c makes a relay of a caller's request, attempt.c sends it to
 * upstreams, answer.c takes what they say, relay.c ends it.
 */
#ifndef BK_FRONT_RELAY_H
#define BK_FRONT_RELAY_H

#include "front.h"

/* The caller has all that it will get. */
void FrRelay_Finish(FrRelay *relay, int code);

/* For the last words: after them the caller may already have sent its next
 * request. NULL if it went away. */
FrCaller *FrRelay_DetachCaller(FrRelay *relay);

/* Ends what is under way without a look at what it brought. */
void FrRelay_AbortAttempt(FrRelay *relay);

/* The attempt is over without an answer to pass on: another one, or the end.
 * ran: it may have run. blame: the upstream is avoided for a while. */
void FrRelay_EndAttempt(FrRelay *relay, bool ran, bool blame, const char *why);

/* The upstream answers; what it did before is forgiven. */
void FrRelay_ClearBlame(BkUp *up);

/* The keeper of its upstream says whether it may be sent there. */
void FrRelay_TakeGrant(FrRelay *relay, bool granted, BkMs now);

/* Whether the engine has no place for a prompt of so many tokens. */
bool FrRelay_IsEngineFull(const FrFront *front, const BkUp *up,
                          int64_t prompt);

/* Whether one that waits has a prospect, with so many before it. */
BkWaitDecision FrRelay_Judge(FrRelay *relay, int before, BkMs now);

/* Ends it for want of a prospect. */
void FrRelay_GiveUpWaiting(FrRelay *relay, BkMs retry_after);

/* Until the deadline, or the time to try another upstream. */
void FrRelay_ArmTimer(FrRelay *relay, BkMs now);
void FrRelay_TimeIsUp(void *arg);

#endif
