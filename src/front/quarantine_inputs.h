/*
 * quarantine_inputs - logs the inputs of the quarantine at level debug
 *
 * From these lines and those of FrQuarantineLog_Crash, bk-replay plays a
 * daemon's decisions again. "now" is the monotonic clock in ms; members that
 * end in _ms are durations, or ages at that time.
 */
#ifndef BK_FRONT_QUARANTINE_INPUTS_H
#define BK_FRONT_QUARANTINE_INPUTS_H

#include "quarantine.h"

void FrQuarantineInputs_Begin(const FrQuarantine *quarantine, BkMs now);

/* The time to object may have ended for traits, or the wait of a claim. The line
 * holds how much is counted, which must be the same when it is played again. */
void FrQuarantineInputs_Due(const FrQuarantine *quarantine, BkMs now);

/* It is looked at what part of the requests verdicts refuse. */
void FrQuarantineInputs_Shares(const FrQuarantine *quarantine, BkMs now);

/* event: what happened to a request with these traits, all of one service,
 * which was sent at sent_at. */
void FrQuarantineInputs_Traits(const char *event, const BkTrait *traits,
                               int count, BkMs sent_at, BkMs now);

/* event: what was told of the verdict, or done to it */
void FrQuarantineInputs_Verdict(const char *event, const BkVerdict *verdict,
                                const char *source, BkMs now);

#endif
