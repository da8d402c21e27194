/*
 * emu - engines, callers and a load, emulated in one process
 *
 * Requests are drawn from a pattern (load.c), wait, are refused or sent by
 * the product's own decisions (serve.c: pick, wait, work, plan), and are run
 * by emulated engines (engine.c): batches, prompts read in chunks between the
 * tokens of running streams, memory for contexts with preemption, weights
 * that are loaded from a store, a disk or memory. Time is virtual, in ms, and
 * everything is drawn from the seed: the same seed gives the same bytes.
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
    EMU_NAME = 32
};

/* one kind of engine, with the figures that its makers publish */
typedef struct EmuSite {
    double engines;
    double slots;
    double kv_tokens;        /* contexts that fit in memory */
    double step_ms;          /* a step of the batch, at least */
    double step_ms_per_run;  /* more for each stream in it */
    double context_ms_per_k; /* more for each 1000 tokens of contexts */
    double prompt_per_ms;    /* tokens of prompts read in a ms */
    double chunk;            /* tokens of prompts read in one step, at most */
    double stride;           /* tokens in an event of a stream */
    double room_mb;          /* for weights */
    double memory_mb;        /* for weights kept at hand */
    double disk_mb;
    double loads_per_second; /* of the weight store */
    double path_ms;          /* between the serving side and an engine */
    double seconds;          /* how long the load lasts */
    double models;
    double busy;       /* of them asked for by most kinds */
    double skew;       /* the share of the n-th is n to the minus skew */
    double weights_mb; /* of a model */
    double load_store_ms;
    double load_disk_ms;
    double load_memory_ms;
} EmuSite;

typedef struct EmuKind {
    char name[EMU_NAME];
    double rate;   /* requests a second */
    double prompt; /* mean tokens */
    double output;
    double spread; /* of both: standard deviation over mean */
    double objective_ms;
    double pause_ms; /* between events, at most, to be on time */
    double deadline_ms;
    double priority; /* 0 is the most urgent */
    double worth;
    double late_worth;
    double retries; /* after a refusal */
    double rare;    /* 1: asks for those that are not busy */
} EmuKind;

typedef enum EmuTrouble {
    EMU_BURST, /* x times as many requests of a kind, or of all */
    EMU_SHIFT, /* count models take the places of busy ones */
    EMU_CRASH, /* count engines end and start again, empty but for the disk */
    EMU_SLOW   /* count engines take x times as long for a step */
} EmuTrouble;

typedef struct EmuEvent {
    EmuTrouble trouble;
    char kind[EMU_NAME]; /* "": all */
    double at;           /* seconds */
    double lasts;
    double x;
    double count;
} EmuEvent;

typedef struct EmuPattern {
    EmuSite site;
    EmuKind kinds[EMU_MAX_KINDS];
    int kind_count;
    EmuEvent events[EMU_MAX_EVENTS];
    int event_count;
} EmuPattern;

typedef enum EmuEnd {
    EMU_WAITING,
    EMU_SENT,
    EMU_ON_TIME,
    EMU_LATE,
    EMU_REFUSED,
    EMU_FAILED
} EmuEnd;

typedef struct EmuRequest {
    const EmuKind *kind;
    int model;
    double at;    /* first asked */
    double since; /* asked again */
    double prompt;
    double output;
    EmuEnd end;
    int returns;  /* after refusals */
    double first; /* first token at the caller; 0: not yet */
    /* at the engine */
    int engine;
    double unread; /* tokens of the prompt */
    double made;   /* tokens of the answer */
    double event_at;
    double longest_pause;
    bool counted; /* its prompt counts as unread at the serving side */
    struct EmuRequest *next; /* in a list of the holder's */
} EmuRequest;

typedef struct EmuEngine {
    bool down;
    double up_at;
    double slow; /* factor on steps */
    double slow_until;
    EmuRequest **runs; /* in the order of their arrival */
    int run_count;
    int run_cap;
    double step_ends; /* 0: idle */
    /* weights; as the serving side knows them */
    uint32_t held[BK_UP_MAX_MODELS];
    int held_count;
    uint32_t loading;
    uint32_t unloading;
    uint32_t meant_for;
    double meant_until;
    double change_ends;
    uint32_t memory[BK_UP_MAX_CACHED]; /* the one used last comes last */
    int memory_count;
    uint32_t disk[BK_UP_MAX_CACHED];
    int disk_count;
    BkUp *up;
} EmuEngine;

typedef struct Emu {
    EmuPattern pattern;
    BkRng rng;
    double now;
    EmuRequest *requests; /* by time of arrival */
    int request_count;
    int next_arrival;
    EmuRequest *returning; /* refused, come again at since */
    EmuEngine *engines;
    int engine_count;
    /* the serving side */
    BkFleet fleet;
    EmuRequest *waiting; /* in the order of the queue */
    BkPlanModel *models;
    BkWork *work;
    BkPace *paces;
    double *load_times; /* of loads from the store, the newest last */
    int load_count;
    double planned;
    double rounded;
    int loads;
    int unloads;
    int preempted;
} Emu;

/* ERRORS: BK_ECONFIG naming file and line; BK_EIO. */
BkStatus EmuPattern_Load(const char *path, EmuPattern *pattern);

Emu *Emu_Create(const EmuPattern *pattern, uint64_t seed);
void Emu_Destroy(Emu *emu);
void Emu_Run(Emu *emu);

/* load.c: all requests, with models and sizes */
void EmuLoad_Draw(Emu *emu);

/* engine.c */
void EmuEngine_Create(Emu *emu, int number);
void EmuEngine_Destroy(EmuEngine *engine);
void EmuEngine_Start(Emu *emu, EmuEngine *engine, EmuRequest *request);
void EmuEngine_Tick(Emu *emu, EmuEngine *engine);
void EmuEngine_Crash(Emu *emu, EmuEngine *engine, double lasts);
void EmuEngine_Load(Emu *emu, EmuEngine *engine, uint32_t model);
void EmuEngine_Unload(Emu *emu, EmuEngine *engine, uint32_t model);

/* serve.c */
void EmuServe_Begin(Emu *emu);
void EmuServe_Tick(Emu *emu);
void EmuServe_TakeRequest(Emu *emu, EmuRequest *request);
void EmuServe_NoteFirst(Emu *emu, EmuRequest *request);
void EmuServe_NoteEnd(Emu *emu, EmuRequest *request);
void EmuServe_End(Emu *emu);

#endif
