/*
 * plan - decides which models the engines of one service load and unload; used
 * by bk-front (bk/place/place.h is the counterpart for bk-steward)
 *
 * Pure functions. An engine carries out one order at a time, and no order is
 * given that could overcommit the engine's memory, even in the worst case.
 * Weights that an engine has in host memory or on its disk are preferred to
 * those in the weight store.
 *
 * Decides by the work of each engine: a copy is placed where it relieves
 * overloaded engines, at the least loss. That answers demand that moves to
 * other models and engines that are lost, while most engines have little to
 * do. The last copy of a model that no request waits for may be unloaded if
 * its weights stay in host memory or on a disk, from where it can be reloaded
 * quickly on a request. A model without a copy competes with overloaded ones
 * by the work that waits for it, so that a few requests for rare models do not
 * take all engines' time for loads from many requests for busy ones.
 */
#ifndef BK_PLAN_PLAN_H
#define BK_PLAN_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/fleet/fleet.h"

enum {
    BK_PLAN_MAX_MOVES = 16
};

/* Work, and the values that it is compared with, are in tokens a second. */
typedef struct BkPlanConf {
    /* replace a copy only if that gains at least this many times what is
       lost */
    double min_gain_ratio;
    double idle_work;       /* a model with less work is idle */
    double work_per_engine; /* that one engine should serve */
    /* an engine is overloaded above work_per_engine, or above this multiple
       of the mean work of all engines if that is more */
    double overload_factor;
    /* minimum work that a new copy must take over to be worth a load */
    double min_relief_work;
    /* what unloading the last copy of a model costs, in addition to
       min_gain_ratio times its expected work (the higher of work and
       steady_work), if an engine has the weights cached in host memory or on
       disk; the last copy of a model that is cached nowhere stays loaded */
    double last_copy_value;
    /* value of the first copy of a model that no request waits for, if its
       weights are only in the store: the unload that makes room for it may
       cost at most this, divided by min_gain_ratio */
    double missing_copy_value;
    /* share of the open engines that may load a first copy from the weight
       store at one time, at least one: such an engine carries out no other
       order meanwhile, and overloaded models need it too */
    double first_copy_share;
    /* a load that takes this long or longer is judged by steady_work only; for
       a shorter one, a recent rise of the work counts in part */
    BkMs steady_load_time;
    BkMs horizon; /* how long demand usually stays the same */
} BkPlanConf;

typedef struct BkPlanModel {
    uint32_t key;
    double weights_mb;
    BkMs weight_store_load_time; /* time to load it from the weight store */
    BkMs disk_load_time;         /* from the engine's local disk */
    BkMs memory_load_time;       /* from the engine's host memory */
    double work;                 /* requested tokens a second */
    double steady_work;          /* the same, averaged over a longer time */
    int waiting_requests; /* requests waiting because no engine holds it */
} BkPlanModel;

typedef struct BkPlanEngine {
    uint32_t key;
    bool open; /* may serve callers */
    /* has an order in progress or of unknown outcome, so it gets no other */
    bool has_order;
    double capacity_mb; /* memory for weights, including adapters */
    double adapters_mb; /* used by adapters */
    uint32_t held[BK_UP_MAX_MODELS];
    int held_count;
    uint32_t loading;      /* 0: none; counts as a copy and uses memory */
    uint32_t unloading;    /* 0: none; uses memory, but is no copy */
    bool loads_from_store; /* while loading: from the weight store */
    uint32_t reserved_for; /* 0: none; memory is reserved for this model */
    uint32_t cached_in_memory[BK_UP_MAX_CACHED];
    int cached_in_memory_count;
    uint32_t cached_on_disk[BK_UP_MAX_CACHED];
    int cached_on_disk_count;
} BkPlanEngine;

typedef enum BkPlanMoveKind {
    BK_PLAN_LOAD,
    BK_PLAN_UNLOAD
} BkPlanMoveKind;

typedef struct BkPlanMove {
    BkPlanMoveKind kind;
    int engine; /* index in BkPlanInput.engines */
    int model;  /* index in BkPlanInput.models */
    /* of an unload: index of the model to load into the freed memory; unused
       for a load */
    int next_model;
    bool from_weight_store;
    const char *why; /* static string */
} BkPlanMove;

typedef struct BkPlanInput {
    const BkPlanModel *models;
    int model_count;
    const BkPlanEngine *engines;
    int engine_count;
    /* loads from the weight store that its rate limit allows now */
    int allowed_store_loads;
} BkPlanInput;

extern const BkPlanConf bk_plan_defaults;

/* Decides the moves to make now; returns how many. */
int BkPlan_Decide(const BkPlanConf *conf, const BkPlanInput *input,
                  BkPlanMove *moves, int max);

#endif
