/*
 * origins - at which software version streams began, shared between daemons
 *
 * A daemon that passes on the first event of a stream that may be resumed
 * remembers the version of the upstream (bk/origin/origin.h). While the
 * service has upstreams of several versions, or the daemon cannot rule it out,
 * it also tells two other daemons, the stream's homes. A daemon at which a
 * caller takes the stream up asks them, if it does not know the version
 * itself, and sends the request only to upstreams of that version. It refuses
 * the request as not run if nobody knows the version, unless the service has
 * had only one.
 */
#ifndef BK_FRONT_ORIGINS_H
#define BK_FRONT_ORIGINS_H

#include "peers.h"

/* A request that waits for answers to its question. */
typedef struct FrOriginAsk {
    FrRequest *request;
    uint32_t number;
    uint32_t answered; /* bit for each place that has answered */
    BkOriginEvidence evidence;
    struct FrOriginAsk *prev;
    struct FrOriginAsk *next;
} FrOriginAsk;

FrOrigins *FrOrigins_Create(FrFront *front);
void FrOrigins_Destroy(FrOrigins *origins);

/* The first event of the request's stream is passed on to the caller: binds
 * the request to the version of its upstream. */
void FrOrigins_NoteBegin(FrOrigins *origins, FrRequest *request, BkMs now);

/* Finds the version of the stream that the request takes up, which may take a
 * few round trips; then dispatches the request, or refuses it. */
void FrOrigins_Resolve(FrOrigins *origins, FrRequest *request, BkMs now);

/* The request no longer waits for answers. */
void FrOrigins_Cancel(FrOrigins *origins, FrRequest *request);

/* Tells the homes of streams that began at this daemon, once their service may
 * have several versions. To be called regularly. */
void FrOrigins_Step(FrOrigins *origins, BkMs now);

/* Handle messages of other daemons. */
void FrOrigins_HandleTold(FrOrigins *origins, const bkp_origins *message,
                          BkMs now);
void FrOrigins_HandleAsk(FrOrigins *origins, const bkp_origin_ask *ask,
                         BkMs now);
void FrOrigins_HandleAnswer(FrOrigins *origins,
                            const bkp_origin_answer *answer, BkMs now);

#endif
