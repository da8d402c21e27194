/*
 * engine - the parts of fake-engine: instances and runs
 *
 * All functions are called with the lock of fake.h held.
 */
#ifndef BK_TESTS_ENGINE_H
#define BK_TESTS_ENGINE_H

#include "fake.h"

enum {
    ENGINE_NAME = 200,
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
    char name[ENGINE_NAME];
    char model[ENGINE_NAME];
    char version[ENGINE_NAME];
    json_int_t bytes;
    InstanceState state;
    BkMs loaded_at; /* without a weight store */
} Instance;

/* one execution of a request */
typedef struct Run {
    char request[ENGINE_NAME];
    char instance[ENGINE_NAME];
    int attempt;
    uint32_t hash; /* of model and prompt */
    int from;      /* tokens that another copy made */
    int total;
    bool begun;
    bool ended;
    bool cancelled;
    int64_t begun_us;
    BkMs ended_at;
    int readers;
} Run;

/* The ready instance of a model (or of this name), or NULL. */
const Instance *BkInstance_Find(const char *model, const char *name);
void BkInstance_Load(const BkFakeReq *req, BkFakeReply *reply);
void BkInstance_Unload(const BkFakeReq *req, BkFakeReply *reply);
void BkInstance_SetFence(const BkFakeReq *req, BkFakeReply *reply);
void BkInstance_State(BkFakeReply *reply);
void BkInstance_Tick(void);

/* Begins, or queues, a run and journals it. NULL: refused, reply is set. */
Run *BkRun_Create(const BkFakeReq *req, const Instance *instance,
                  const char *item, const char *prompt, BkFakeReply *reply);
Run *BkRun_Find(const char *request);
int BkRun_Tokens(const Run *run); /* made by now, those before from included */
int64_t BkRun_WaitUs(const Run *run, int token); /* until it may be there */
void BkRun_AppendToken(const Run *run, int token, BkBuf *out);
void BkRun_Cancel(Run *run);
void BkRun_Count(int *running, int *waiting);
bool BkRun_Uses(const char *instance);
void BkRun_Tick(void);

#endif
