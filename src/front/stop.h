/*
 * stop - ends the daemon after SIGTERM
 *
 * It is not ready from the signal on, and takes requests for a part of the
 * grace time, as bk/stop/stop.h says. Then it exits as soon as those have
 * ended, or shortly before the platform kills it.
 */
#ifndef BK_FRONT_STOP_H
#define BK_FRONT_STOP_H

#include "front.h"

enum {
    FR_STOP_RETRY_AFTER = 50 /* ms; Retry-After of requests refused by it */
};

extern const char fr_stop_reason[]; /* why they are */

/* SIGTERM was received; arg: the FrFront. */
void FrStop_Begin(void *arg);

/* Continues a stop; called periodically. */
void FrStop_Step(FrFront *front, BkMs now);

/* Whether new requests are refused and the listening sockets are closed. */
bool FrStop_RefusesRequests(const FrFront *front);

/* Ends a request that is not to be sent because the daemon stops, and returns
 * true; false if it may be sent. */
bool FrStop_MaybeRefuse(FrRequest *request, BkMs now);

#endif
