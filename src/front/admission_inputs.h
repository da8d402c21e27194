/*
 * admission_inputs - logs what admissions follow from, at level debug
 *
 * From these lines, the events "room" and those of listed upstreams, bk-replay
 * plays a daemon's decisions as coordinator again. "now" is the monotonic clock
 * in ms; "born" tells apart processes with the same id.
 */
#ifndef BK_FRONT_ADMISSION_INPUTS_H
#define BK_FRONT_ADMISSION_INPUTS_H

#include "bk/admit/admit.h"
#include "front.h"

/* An ask was decided. prompt: tokens of the request's prompt; from: the daemon
 * that asks, request_id NULL; or NULL, and the own request's id. */
void FrAdmissionInputs_Decided(const FrFront *front, const BkUp *up,
                               const BkAdmitAsk *ask,
                               const BkAdmitAnswer *answer, int64_t prompt,
                               const char *from, const char *request_id,
                               BkMs now);

/* No answer to an ask came in time. */
void FrAdmissionInputs_Unanswered(const FrRequest *request, bool brittle,
                                  bool sent, BkMs now);

/* A rate limit is about to be noted; negative: none. */
void FrAdmissionInputs_Limit(const BkUp *up, double rate, BkMs seen_at,
                             BkMs now);

#endif
