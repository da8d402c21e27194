/*
 * request - functions shared by the files that handle a request
 *
 * arrival.c creates the object for a caller's request, attempt.c sends it to
 * upstreams, response.c handles their responses, and request.c ends it.
 */
#ifndef BK_FRONT_REQUEST_H
#define BK_FRONT_REQUEST_H

#include "front.h"

/* Ends the request: logs and counts its outcome, cancels the current attempt
 * if there is one, and lets the reap timer free it. The response to the caller
 * is sent by the calling function. code: its status; 0: the caller
 * disconnected. */
void FrRequest_Finish(FrRequest *request, int code);

/* Returns the caller's connection, on which the end of the response is to be
 * sent, and unlinks it from the request: the caller may start its next request
 * as soon as the end is sent. NULL if the caller disconnected. */
FrCallerConn *FrRequest_DetachCaller(FrRequest *request);

/* Cancels the current attempt, if any, and ignores its result. */
void FrRequest_AbortAttempt(FrRequest *request);

/* Whether the route allows another run besides the current attempt. */
bool FrRequest_MayReplaceAttempt(const FrRequest *request);

/* Sends the request to the upstream, or to another daemon, and adds it to the
 * load there. */
void FrRequest_SendTo(FrRequest *request, BkUp *up, BkMs now);

/* The attempt failed: starts another one if that is allowed, else ends the
 * request. may_have_run: the upstream may have run the request; avoid: count
 * this as a failure of the upstream, so that it is avoided for a while. */
void FrRequest_FailAttempt(FrRequest *request, bool may_have_run, bool avoid,
                           const char *why);

/* Whether the status of a response promises that the request has not run. */
bool FrRequest_PromisesNotRun(int code);

/* A response is complete: resets the failures of the upstream. */
void FrRequest_ClearUpFailures(BkUp *up);

/* The coordinator of its upstream (admission.h) has answered. granted: whether
 * the request may be sent there; also true if no answer came in time and the
 * upstream has no rate limit. delay: if not granted because of that limit, ms
 * until it may admit a request; 0: the upstream is full. */
void FrRequest_OnAskAnswer(FrRequest *request, bool granted, BkMs delay,
                           BkMs now);

/* By what upstreams of the service (key of its name) are chosen. */
BkPickConf FrRequest_MakePickConf(const FrFront *front, uint32_t service);

/* Whether the upstream is known to be no engine. */
bool FrRequest_IsForService(const FrFront *front, const BkUp *up);

/* Whether the upstream is too full for a prompt of this many tokens. */
bool FrRequest_IsUpFull(const FrFront *front, const BkUp *up, int64_t prompt);

/* Decides whether the request keeps waiting or is refused; ahead: number of
 * requests for the same service and model ahead of it in the queue. */
BkWaitDecision FrRequest_DecideWait(FrRequest *request, int ahead, BkMs now);

/* Ends a request that would wait too long. */
void FrRequest_RefuseWait(FrRequest *request, BkMs retry_after);

/* Starts the timer, for the deadline or for the time to try another upstream,
 * whichever is earlier. */
void FrRequest_ArmTimer(FrRequest *request, BkMs now);
void FrRequest_OnTimer(void *arg);

#endif
