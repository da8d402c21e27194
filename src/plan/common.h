/*
 * common - what an engine holds and can load
 */
#ifndef BK_SRC_PLAN_COMMON_H
#define BK_SRC_PLAN_COMMON_H

#include "bk/plan/plan.h"

/* Index of the model; -1 if it is not configured, or the key is 0. */
int BkPlan_FindModel(const BkPlanInput *input, uint32_t key);

bool BkPlan_Contains(const uint32_t *keys, int count, uint32_t key);

/* The engine holds, loads or unloads the model. */
bool BkPlan_IsOn(const BkPlanEngine *engine, uint32_t key);

/* Whether the engine can be given a move: it is open, has no order in progress
 * and reserves no memory for a model. */
bool BkPlan_AcceptsMove(const BkPlanEngine *engine);

/* Index of the model that an earlier round reserved memory for on the engine,
 * if it can be loaded now; otherwise -1. store_loads_left: loads from the
 * weight store that are still allowed. */
int BkPlan_FindReservedLoad(const BkPlanInput *input,
                            const BkPlanEngine *engine, int store_loads_left,
                            bool *from_store);

/* Megabytes in use or about to be, by weights and adapters. */
double BkPlan_UsedMb(const BkPlanInput *input, const BkPlanEngine *engine);

/* Time to load the model on the engine, by the location of its weights. Sets
 * *from_store to whether they are only in the weight store. */
BkMs BkPlan_LoadTime(const BkPlanEngine *engine, const BkPlanModel *model,
                     bool *from_store);

#endif
