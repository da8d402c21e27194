/*
 * plan_inputs - logs what the planner decides from, at level debug
 *
 * A round of planning is logged if it makes moves, and once a second else. Its
 * models and engines come first, a few a line, and then the moves. bk-replay
 * plays them again. "now" is the monotonic clock in ms.
 */
#ifndef BK_FRONT_PLAN_INPUTS_H
#define BK_FRONT_PLAN_INPUTS_H

#include "planner.h"

/* A round of planning for one service. */
typedef struct FrPlanRound {
    const BkSiteService *service;
    const BkPlanInput *input;
    FrEngine *const *engines; /* by index in input->engines */
    const BkPlanMove *moves;
    int move_count;
} FrPlanRound;

void FrPlanInputs_Log(FrPlanner *planner, const FrPlanRound *round, BkMs now);

#endif
