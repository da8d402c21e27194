/*
 * start - from when on a planner that has just begun its term may plan
 *
 * Pure. The demand of the other daemons is not known at once. In the very
 * first term the engines are also still being listed: one that is not listed
 * yet may hold a model that no listed engine holds. Engines that are added
 * later hold up nothing: after a loss of engines, those that come back must be
 * used at once.
 */
#ifndef BK_PLAN_START_H
#define BK_PLAN_START_H

#include <stdbool.h>

#include "bk/base/clock.h"

typedef struct BkPlanStart {
    BkMs term_began_at;
    bool is_first_term;   /* no term was ever before it */
    BkMs engine_added_at; /* last time; 0: never */
    bool has_planned;     /* in this term */
} BkPlanStart;

/* Once a round was planned in the term, nothing holds up the further ones. */
bool BkPlanStart_MayPlan(const BkPlanStart *start, BkMs now);

#endif
