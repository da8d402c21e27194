/*
 * quarantine - a daemon's quarantine, played again from its inputs
 *
 * The inputs are those that bk-front logs at level debug. Each is passed to
 * bk/quarantine in the same way as by src/front/quarantine.c; the decisions
 * that follow are put into a list, as texts.
 */
#ifndef BK_REPLAY_QUARANTINE_H
#define BK_REPLAY_QUARANTINE_H

#include <jansson.h>

#include "bk/base/str.h"
#include "bk/quarantine/share.h"
#include "bk/quarantine/tally.h"
#include "bk/quarantine/trial.h"
#include "bk/quarantine/verdict.h"
#include "bk/quarantine/well.h"

enum {
    RP_MAX_DECISIONS = 128, /* that follow from one input */
    RP_DECISION_BYTES = 96
};

typedef struct RpDecision {
    char text[RP_DECISION_BYTES];
    BkTrait trait;
    BkMs at;
    bool convicts; /* it, or the decision that follows, is a verdict */
    BkBuf cause;   /* what was counted against the trait */
} RpDecision;

typedef struct RpQuarantine {
    bool on_time;     /* as in RpQuarantine_Init */
    uint32_t own_key; /* of the daemon */
    bool begun;       /* the daemon's begin was applied */
    /* at a decision, less or more was counted than the daemon did */
    bool counts_differ;
    int recorded_crashes; /* that the daemon counted then */
    BkWell well;
    BkTally tally;
    BkVerdicts verdicts;
    BkTrials trials;
    BkShare share;
    RpDecision decisions[RP_MAX_DECISIONS];
    int decision_count;
    int decisions_left_out;
} RpQuarantine;

/* Makes it empty, as at the start of a daemon. on_time: decisions are taken at
 * the time that the rules set, and not when the daemon came to it. */
void RpQuarantine_Init(RpQuarantine *quarantine, bool on_time);
void RpQuarantine_Destroy(RpQuarantine *quarantine);

/* Applies a line of the log. Returns 1 if it is an input, 0 if it is none, and
 * -1 if members are missing or not understood. Decisions are added to the
 * list. */
int RpQuarantine_Apply(RpQuarantine *quarantine, const json_t *line);

/* Whether the line is an input, which RpQuarantine_Apply would apply. */
bool RpQuarantine_IsInput(const json_t *line);

/* Whether the oldest decision of the list should have been logged before this
 * input. */
bool RpQuarantine_IsOverdue(const RpQuarantine *quarantine,
                            const json_t *line);

/* Whether the line is the input with which a daemon begins. */
bool RpQuarantine_IsBegin(const json_t *line);

/* Reads a decision that the daemon has logged. Returns false if the line is
 * none. */
bool RpQuarantine_ReadDecision(const json_t *line, char *text);

/* Removes the oldest decision of the list. */
void RpQuarantine_DropDecision(RpQuarantine *quarantine);

/* Appends what is counted against all traits now. */
void RpQuarantine_Print(const RpQuarantine *quarantine, BkBuf *out);

#endif
