/*
 * emu - emulates engines, callers and their traffic in one process
 *
 * Requests are generated from a pattern file (workload.c). The emulated
 * daemons queue, refuse or send them, with the decision functions of the
 * product (daemons.c: pick, wait, work, plan). The emulated engines run them
 * (engine.c), with batching, chunked prefill between the tokens of running
 * streams, KV memory with preemption, and weights that are loaded from a
 * store, a disk or host memory. Time is virtual, in ms, and all randomness
 * comes from the seed: the same seed gives the same output, byte for byte.
 */
#ifndef BENCH_EMU_H
#define BENCH_EMU_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bk/base/rng.h"
#include "bk/base/status.h"
#include "bk/fleet/fleet.h"
#include "bk/plan/plan.h"
#include "bk/plan/work.h"
#include "bk/wait/wait.h"

enum {
    EMU_MAX_KINDS = 8,
    EMU_MAX_EVENTS = 16,
    EMU_NAME_SIZE = 32
};

/* The engines, all of one kind with the figures that its vendor publishes,
 * the weight store and the models. */
typedef struct EmuSite {
    double engines;
    double slots;
    double kv_tokens;        /* tokens of all contexts that fit in KV memory */
    double step_ms;          /* shortest time of one step of the batch */
    double step_ms_per_run;  /* added for each request in the batch */
    double context_ms_per_k; /* added for each 1000 tokens of contexts */
    double prompt_per_ms;    /* prefill speed, in prompt tokens per ms */
    double chunk;            /* most prompt tokens processed in one step */
    double stride;           /* tokens in one event of a stream */
    double room_mb;          /* accelerator memory for weights */
    double memory_mb;        /* host memory for cached weights */
    double disk_mb;          /* local disk for cached weights */
    double loads_per_second; /* rate limit of the weight store */
    double path_ms;          /* network latency from an engine to the caller */
    double seconds;          /* how long requests arrive */
    double models;
    double busy; /* number of busy models, used by kinds that are not rare */
    double skew; /* the n-th busy model has weight n to the power -skew */
    double weights_mb;    /* size of one model */
    double load_store_ms; /* time to load a model, by where it is stored */
    double load_disk_ms;
    double load_memory_ms;
} EmuSite;

/* A kind of request. */
typedef struct EmuRequestKind {
    char name[EMU_NAME_SIZE];
    double rate;   /* requests per second */
    double prompt; /* mean tokens */
    double output;
    double spread; /* of both sizes: standard deviation divided by mean */
    double objective_ms; /* latest time of the first token to be on time */
    double pause_ms;     /* longest pause between events to be on time */
    double deadline_ms;
    double priority; /* 0 is the most urgent */
    double worth;    /* value of a response on time */
    double late_worth;
    double retries; /* most retries after a refusal */
    double rare;    /* 1: uses only the models that are not busy */
} EmuRequestKind;

typedef enum EmuEventType {
    EMU_BURST, /* x times as many requests of one kind or of all */
    EMU_SHIFT, /* count other models replace the busiest ones */
    EMU_CRASH, /* count engines crash and restart; only the disk is kept */
    EMU_SLOW   /* steps of count engines take x times as long */
} EmuEventType;

/* A planned burst, shift, crash or slowdown; not an event of a stream. */
typedef struct EmuEvent {
    EmuEventType type;
    char kind[EMU_NAME_SIZE]; /* "": all */
    double at;                /* start, in seconds */
    double lasts;             /* duration, in seconds */
    double x;                 /* factor of a burst or slowdown */
    double count;
} EmuEvent;

typedef struct EmuPattern {
    EmuSite site;
    EmuRequestKind kinds[EMU_MAX_KINDS];
    int kind_count;
    EmuEvent events[EMU_MAX_EVENTS];
    int event_count;
} EmuPattern;

typedef enum EmuOutcome {
    EMU_WAITING,
    EMU_SENT,
    EMU_ON_TIME,
    EMU_LATE,
    EMU_REFUSED,
    EMU_FAILED
} EmuOutcome;

typedef struct EmuRequest {
    const EmuRequestKind *kind;
    int model;
    double arrived_at; /* time of the first attempt */
    double attempt_at; /* start of the current attempt */
    double prompt;
    double output; /* tokens to generate */
    EmuOutcome outcome;
    int retry_count; /* retries so far, after refusals */
    /* when the caller received the first token; 0: not yet */
    double first_token_at;
    /* state at its engine */
    int engine;           /* -1: not sent */
    double unprocessed;   /* tokens that still need prefill */
    double generated;     /* output tokens so far */
    double last_event_at; /* when the caller received the last event */
    double longest_pause;
    /* whether its prompt is included in own_prompt_tokens of its upstream */
    bool prompt_counted;
    struct EmuRequest *next; /* in the list waiting or retrying */
} EmuRequest;

typedef struct EmuEngine {
    bool down;
    double restart_at;
    double slowdown; /* factor on the time of a step */
    double slowdown_until;
    EmuRequest **running; /* running requests, in order of arrival */
    int running_count;
    int running_cap;
    double step_end; /* 0: idle */
    /* Weights; the planner sees this state without delay. */
    uint32_t held[BK_UP_MAX_MODELS]; /* loaded models */
    int held_count;
    uint32_t loading;   /* 0: none */
    uint32_t unloading; /* 0: none */
    /* model that accelerator memory is reserved for; 0: none */
    uint32_t reserved_for;
    double reserved_until;
    double load_end; /* when the load in progress finishes */
    /* models with cached weights, the least recently loaded first */
    uint32_t cached_in_memory[BK_UP_MAX_CACHED];
    int cached_in_memory_count;
    uint32_t cached_on_disk[BK_UP_MAX_CACHED];
    int cached_on_disk_count;
    BkUp *up;
} EmuEngine;

typedef struct Emu {
    EmuPattern pattern;
    BkRng rng;
    double now;
    EmuRequest *requests; /* sorted by time of arrival */
    int request_count;
    int next_arrival;
    EmuRequest *retrying; /* refused, each retries at its attempt_at */
    EmuEngine *engines;
    int engine_count;
    /* state of the daemons */
    BkFleet fleet;
    EmuRequest *waiting; /* the queue, the next to send first */
    BkPlanModel *models;
    BkWork *work;
    BkPace *paces;
    /* start times of recent loads from the store, the newest last */
    double *store_load_times;
    int store_load_count;
    double last_plan_at;  /* when the last plan was made */
    double last_round_at; /* when the last round of work rates ended */
    int loads;
    int unloads;
    int preemptions;
} Emu;

/* ERRORS: BK_ECONFIG naming file and line; BK_EIO. */
BkStatus EmuPattern_Load(const char *path, EmuPattern *pattern);

Emu *Emu_Create(const EmuPattern *pattern, uint64_t seed);
void Emu_Destroy(Emu *emu);
void Emu_Run(Emu *emu);

/* workload.c: generates all requests, with their models and sizes */
void EmuWorkload_Generate(Emu *emu);

/* engine.c */
void EmuEngine_Init(Emu *emu, int index);
void EmuEngine_Destroy(EmuEngine *engine);
void EmuEngine_AddRequest(Emu *emu, EmuEngine *engine, EmuRequest *request);
void EmuEngine_Tick(Emu *emu, EmuEngine *engine);
void EmuEngine_Crash(Emu *emu, EmuEngine *engine, double duration);
void EmuEngine_StartLoad(Emu *emu, EmuEngine *engine, uint32_t model);
void EmuEngine_StartUnload(Emu *emu, EmuEngine *engine, uint32_t model);

/* daemons.c */
void EmuDaemons_Init(Emu *emu);
void EmuDaemons_Tick(Emu *emu);
void EmuDaemons_AddRequest(Emu *emu, EmuRequest *request);
void EmuDaemons_NoteFirstToken(Emu *emu, EmuRequest *request);
void EmuDaemons_NoteFinished(Emu *emu, EmuRequest *request);
void EmuDaemons_Destroy(Emu *emu);

#endif
