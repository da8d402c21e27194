/*
 * pick - which upstream gets a request, or that it waits
 *
 * Pure. An engine reads prompts in turn with the tokens of running requests,
 * so unread prompts there delay both the first token of the next request and
 * the next token of every running one. A request goes to the engine with the
 * least to do before it, and none goes to an engine whose unread prompts
 * fill its window: it waits here, where the order can still be changed.
 * Requests whose prompts share a part go to the same engine while it is not
 * much fuller than the others, since a part that it keeps is not read again.
 */
#ifndef BK_PICK_PICK_H
#define BK_PICK_PICK_H

#include "bk/fleet/fleet.h"
#include "bk/site/site.h"

enum {
    BK_PICK_MAX_TRIED = 8
};

typedef struct BkPickConf {
    int64_t window;   /* tokens of unread prompts on one engine */
    int64_t per_run;  /* a running request counts as so many tokens */
    int64_t affinity; /* tokens more to do that a shared part is worth */
    int64_t far;      /* tokens that another failure domain costs */
    double full;      /* of a plain service's slots: over this it waits */
} BkPickConf;

typedef struct BkPickQuery {
    const BkSiteEngine *engine;        /* NULL: a plain service */
    uint32_t service;                  /* keys, see BkStr_Key */
    uint32_t model;                    /* 0: none asked for */
    uint32_t adapter;                  /* 0: none */
    int64_t prompt;                    /* tokens */
    uint64_t shared;                   /* hash of the shared parts; 0: none */
    const char *domain;                /* of this daemon */
    uint32_t tried[BK_PICK_MAX_TRIED]; /* keys of upstreams */
    int tried_count;
} BkPickQuery;

typedef enum BkPickVerdict {
    BK_PICK_SEND,
    BK_PICK_ADAPTER,   /* up holds the model but not yet the adapter */
    BK_PICK_FULL,      /* those that could serve it are full */
    BK_PICK_ALL_TRIED, /* those that could serve it were tried */
    BK_PICK_NOT_HELD,  /* upstreams are there, none holds the model */
    BK_PICK_NOBODY     /* no upstream of the service is usable */
} BkPickVerdict;

typedef struct BkPickChoice {
    BkPickVerdict verdict;
    BkUp *up; /* of SEND and ADAPTER */
} BkPickChoice;

BkPickChoice BkPick_Choose(const BkPickConf *conf, const BkFleet *fleet,
                           const BkPickQuery *query, BkMs now);

/* Whether the engine has no place for one more prompt of so many tokens. */
bool BkPick_IsEngineFull(const BkPickConf *conf, const BkUp *up,
                         int64_t prompt);

/* What stands between a request and its first token there, in tokens. */
int64_t BkPick_Backlog(const BkPickConf *conf, const BkUp *up);

#endif
