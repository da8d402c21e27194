/*
 * engine - the instances and runs of fake-engine
 *
 * The lock of fake.h must be held when these functions are called.
 */
#ifndef BK_TESTS_ENGINE_H
#define BK_TESTS_ENGINE_H

#include "fake.h"

enum {
    ENGINE_NAME_SIZE = 200,
    US_PER_MS = 1000
};

typedef struct EngineConf {
    const char *name;
    const char *weights; /* "ip:port" of the weight store, or NULL */
    bool service;
    bool checks_fences;
    int64_t memory;
    int64_t slots;
    int64_t token_ms;
    int64_t first_ms;
    int64_t load_ms;
} EngineConf;

extern EngineConf engine;

typedef enum InstanceState {
    INSTANCE_LOADING,
    INSTANCE_READY,
    INSTANCE_UNLOADING
} InstanceState;

typedef struct Instance {
    char name[ENGINE_NAME_SIZE];
    char model[ENGINE_NAME_SIZE];
    char version[ENGINE_NAME_SIZE];
    json_int_t bytes;
    InstanceState state;
    BkMs load_end; /* when its load ends if there is no weight store */
} Instance;

/* one execution of a request, waiting, running or ended */
typedef struct Run {
    char request[ENGINE_NAME_SIZE];
    char instance[ENGINE_NAME_SIZE];
    int attempt;
    uint32_t hash; /* of model and prompt */
    int offset;    /* number of tokens that another copy has generated */
    int total;
    bool started;
    bool ended;
    bool cancelled;
    int64_t started_us;
    BkMs ended_at;
    int readers;
} Run;

/* A ready instance of a model, with this name unless it is ""; or NULL. */
const Instance *BkInstance_Find(const char *model, const char *name);
void BkInstance_Load(const BkFakeReq *req, BkFakeReply *reply);
void BkInstance_Unload(const BkFakeReq *req, BkFakeReply *reply);
void BkInstance_SetFence(const BkFakeReq *req, BkFakeReply *reply);
void BkInstance_State(BkFakeReply *reply);
void BkInstance_Tick(void);

/* Starts or queues a run, and journals it. Returns NULL if it is refused;
 * reply is set then. */
Run *BkRun_Create(const BkFakeReq *req, const Instance *instance,
                  const char *item, const char *prompt, BkFakeReply *reply);
Run *BkRun_Find(const char *request);
/* The number of tokens that exist by now, including those of another copy. */
int BkRun_Tokens(const Run *run);
/* Microseconds after which a token may be generated. */
int64_t BkRun_WaitUs(const Run *run, int token);
void BkRun_AppendToken(const Run *run, int token, BkBuf *out);
void BkRun_Cancel(Run *run);
void BkRun_Count(int *running, int *waiting);
bool BkRun_Uses(const char *instance);
void BkRun_Tick(void);

#endif
