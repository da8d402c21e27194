/*
 * memory - keeps the memory of connections and requests within the VM's
 *
 * Decisions are those of bk/memory/memory.h.
 */
#ifndef BK_FRONT_MEMORY_H
#define BK_FRONT_MEMORY_H

#include "bk/memory/memory.h"
#include "front.h"

/* Why requests are rejected and responses are broken off. */
extern const char fr_memory_reason[];

enum {
    FR_MEMORY_RETRY_AFTER = 1000 /* ms; for requests that are rejected */
};

/* Bytes. */
typedef struct FrMemoryUse {
    int64_t used;  /* by connections and requests, as far as it is counted */
    int64_t limit; /* of the process */
} FrMemoryUse;

FrMemoryUse FrMemory_GetUse(const FrFront *front);
BkMemoryLevel FrMemory_GetLevel(const FrFront *front);

/* Bytes of a response that may wait: for the caller to read, for the end of an
 * event, or for the upstream to go on before the response begins. */
size_t FrMemory_GetMaxUnsent(const FrFront *front);

/* Called periodically: ends connections while memory is short. */
void FrMemory_Step(FrFront *front, BkMs now);

/* The same, before a request is rejected. Returns whether it may be read. */
bool FrMemory_MakeRoom(FrFront *front);

#endif
