#include "emu.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static uint32_t
model_key(const Emu *emu, const EmuRequest *request)
{
    return emu->models[request->model].key;
}

void
EmuEngine_Init(Emu *emu, int index)
{
    EmuEngine *engine = &emu->engines[index];

    *engine = (EmuEngine){.slowdown = 1};
}

void
EmuEngine_Destroy(EmuEngine *engine)
{
    free(engine->running);
}

void
EmuEngine_AddRequest(Emu *emu, EmuEngine *engine, EmuRequest *request)
{
    if (engine->running_count == engine->running_cap) {
        engine->running_cap =
            engine->running_cap == 0 ? 64 : engine->running_cap * 2;
        engine->running =
            BkMem_Grow(engine->running, (size_t)engine->running_cap,
                       sizeof(EmuRequest *));
    }
    request->unprocessed = request->prompt;
    request->generated = 0;
    request->last_event_at = 0;
    request->longest_pause = 0;
    engine->running[engine->running_count++] = request;
}

static double
context_tokens(const EmuRequest *request)
{
    return request->prompt - request->unprocessed + request->generated;
}

/* When the contexts outgrow the KV memory, preempts requests that have started
   prefill, the newest first and never the oldest. Their prompt and generated
   tokens have to be prefilled again. */
static void
preempt_requests(Emu *emu, EmuEngine *engine)
{
    double used = 0;

    for (int i = 0; i < engine->running_count; i++) {
        used += context_tokens(engine->running[i]);
    }
    for (int i = engine->running_count - 1;
         i > 0 && used > emu->pattern.site.kv_tokens; i--) {
        EmuRequest *request = engine->running[i];
        if (request->unprocessed < request->prompt) {
            used -= context_tokens(request);
            request->unprocessed = request->prompt + request->generated;
            emu->preemptions++;
        }
    }
}

/* Each step processes one chunk of prompts, in order of arrival, and generates
   one token for each request whose prompt is processed. */
static void
start_step(Emu *emu, EmuEngine *engine)
{
    const EmuSite *site = &emu->pattern.site;
    double chunk = site->chunk;
    double ms = site->step_ms;
    int batch = 0;

    preempt_requests(emu, engine);
    for (int i = 0; i < engine->running_count; i++) {
        EmuRequest *request = engine->running[i];
        if (batch >= (int)site->slots) {
            break;
        }
        if (request->unprocessed > 0) {
            double tokens = fmin(request->unprocessed, chunk);
            chunk -= tokens;
            ms += tokens / site->prompt_per_ms;
        }
        batch++;
        ms += site->step_ms_per_run +
              site->context_ms_per_k * context_tokens(request) / 1000;
    }
    engine->step_end = emu->now + ms * engine->slowdown;
}

static void
remove_request(EmuEngine *engine, int index)
{
    engine->running_count--;
    memmove(&engine->running[index], &engine->running[index + 1],
            (size_t)(engine->running_count - index) * sizeof(EmuRequest *));
}

static void
record_event(Emu *emu, EmuRequest *request)
{
    double received_at = emu->now + emu->pattern.site.path_ms;

    if (request->first_token_at == 0) {
        request->first_token_at = received_at;
        EmuDaemons_NoteFirstToken(emu, request);
    }
    else if (request->last_event_at > 0 &&
             received_at - request->last_event_at > request->longest_pause) {
        request->longest_pause = received_at - request->last_event_at;
    }
    request->last_event_at = received_at;
}

/* Whether the newest token completes an event; the first token is an event of
   its own. */
static bool
completes_event(const EmuSite *site, const EmuRequest *request)
{
    return request->generated == 1 || request->generated >= request->output ||
           fmod(request->generated, site->stride) == 0;
}

static void
finish_step(Emu *emu, EmuEngine *engine)
{
    const EmuSite *site = &emu->pattern.site;
    double chunk = site->chunk;
    int batch = 0;

    engine->step_end = 0;
    for (int i = 0; i < engine->running_count && batch < (int)site->slots;) {
        EmuRequest *request = engine->running[i];
        batch++;
        if (request->unprocessed > 0) {
            double tokens = fmin(request->unprocessed, chunk);
            chunk -= tokens;
            request->unprocessed -= tokens;
            if (request->unprocessed > 0) {
                i++;
                continue;
            }
        }
        request->generated++;
        if (completes_event(site, request)) {
            record_event(emu, request);
        }
        if (request->generated >= request->output) {
            remove_request(engine, i);
            request->outcome =
                request->first_token_at - request->arrived_at <=
                            request->kind->objective_ms &&
                        request->longest_pause <= request->kind->pause_ms
                    ? EMU_ON_TIME
                    : EMU_LATE;
            EmuDaemons_NoteFinished(emu, request);
            continue;
        }
        i++;
    }
}

/* Moves or adds the key to the end of the list; a full list loses its first
   key. */
static void
cache_model(uint32_t *keys, int *count, uint32_t key, int max_count)
{
    int n = 0;

    for (int i = 0; i < *count; i++) {
        if (keys[i] != key) {
            keys[n++] = keys[i];
        }
    }
    if (n >= max_count && n > 0) {
        memmove(keys, keys + 1, (size_t)(--n) * sizeof(*keys));
    }
    if (max_count > 0) {
        keys[n++] = key;
    }
    *count = n;
}

static bool
contains_key(const uint32_t *keys, int count, uint32_t key)
{
    for (int i = 0; i < count; i++) {
        if (keys[i] == key) {
            return true;
        }
    }
    return false;
}

void
EmuEngine_StartLoad(Emu *emu, EmuEngine *engine, uint32_t model)
{
    const EmuSite *site = &emu->pattern.site;
    double ms = contains_key(engine->cached_in_memory,
                             engine->cached_in_memory_count, model)
                    ? site->load_memory_ms
                : contains_key(engine->cached_on_disk,
                               engine->cached_on_disk_count, model)
                    ? site->load_disk_ms
                    : site->load_store_ms;

    engine->loading = model;
    engine->reserved_for = 0;
    engine->load_end = emu->now + ms;
    emu->loads++;
}

void
EmuEngine_StartUnload(Emu *emu, EmuEngine *engine, uint32_t model)
{
    engine->unloading = model;
    BkUp_CloseModel(engine->up, model, INT64_MAX);
    emu->unloads++;
}

static void
finish_load(Emu *emu, EmuEngine *engine)
{
    const EmuSite *site = &emu->pattern.site;
    uint32_t model = engine->loading;

    engine->loading = 0;
    engine->held[engine->held_count++] = model;
    cache_model(engine->cached_in_memory, &engine->cached_in_memory_count,
                model, (int)(site->memory_mb / site->weights_mb));
    cache_model(engine->cached_on_disk, &engine->cached_on_disk_count, model,
                (int)(site->disk_mb / site->weights_mb));
    BkUp_SetModelLoaded(engine->up, model, true);
}

static bool
is_model_in_use(const Emu *emu, const EmuEngine *engine, uint32_t model)
{
    for (int i = 0; i < engine->running_count; i++) {
        if (model_key(emu, engine->running[i]) == model) {
            return true;
        }
    }
    return false;
}

static void
finish_unload(EmuEngine *engine)
{
    int n = 0;

    for (int i = 0; i < engine->held_count; i++) {
        if (engine->held[i] != engine->unloading) {
            engine->held[n++] = engine->held[i];
        }
    }
    engine->held_count = n;
    engine->up->closed_model = 0;
    engine->unloading = 0;
}

void
EmuEngine_Crash(Emu *emu, EmuEngine *engine, double duration)
{
    engine->down = true;
    engine->restart_at = emu->now + duration;
    engine->up->state = BK_UP_GONE;
    while (engine->running_count > 0) {
        EmuRequest *request = engine->running[--engine->running_count];
        request->outcome = EMU_FAILED;
        EmuDaemons_NoteFinished(emu, request);
    }
    engine->step_end = 0;
    engine->held_count = 0;
    engine->cached_in_memory_count = 0;
    engine->loading = 0;
    engine->unloading = 0;
    engine->reserved_for = 0;
    engine->up->model_count = 0;
    engine->up->closed_model = 0;
}

void
EmuEngine_Tick(Emu *emu, EmuEngine *engine)
{
    if (engine->down) {
        if (emu->now < engine->restart_at) {
            return;
        }
        engine->down = false;
        engine->up->state = BK_UP_LISTED;
    }
    if (emu->now >= engine->slowdown_until) {
        engine->slowdown = 1;
    }
    if (engine->loading != 0 && emu->now >= engine->load_end) {
        finish_load(emu, engine);
    }
    if (engine->unloading != 0 &&
        !is_model_in_use(emu, engine, engine->unloading)) {
        finish_unload(engine);
    }
    if (engine->step_end > 0 && emu->now >= engine->step_end) {
        finish_step(emu, engine);
    }
    if (engine->step_end == 0 && engine->running_count > 0) {
        start_step(emu, engine);
    }
}
