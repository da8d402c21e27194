#include "emu.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static uint32_t
key_of(const Emu *emu, const EmuRequest *request)
{
    return emu->models[request->model].key;
}

void
EmuEngine_Create(Emu *emu, int number)
{
    EmuEngine *engine = &emu->engines[number];

    *engine = (EmuEngine){.slow = 1};
}

void
EmuEngine_Destroy(EmuEngine *engine)
{
    free(engine->runs);
}

void
EmuEngine_Start(Emu *emu, EmuEngine *engine, EmuRequest *request)
{
    if (engine->run_count == engine->run_cap) {
        engine->run_cap = engine->run_cap == 0 ? 64 : engine->run_cap * 2;
        engine->runs = BkMem_Grow(engine->runs, (size_t)engine->run_cap,
                                  sizeof(EmuRequest *));
    }
    request->unread = request->prompt;
    request->made = 0;
    request->event_at = 0;
    request->longest_pause = 0;
    engine->runs[engine->run_count++] = request;
}

static double
context_of(const EmuRequest *run)
{
    return run->prompt - run->unread + run->made;
}

/* The newest runs give their memory up when contexts outgrow it, and are read
   anew. */
static void
make_room(Emu *emu, EmuEngine *engine)
{
    double used = 0;

    for (int i = 0; i < engine->run_count; i++) {
        used += context_of(engine->runs[i]);
    }
    for (int i = engine->run_count - 1;
         i > 0 && used > emu->pattern.site.kv_tokens; i--) {
        EmuRequest *run = engine->runs[i];
        if (run->unread < run->prompt) {
            used -= context_of(run);
            run->unread = run->prompt + run->made;
            emu->preempted++;
        }
    }
}

/* Prompts are read in the order of arrival, a chunk in each step; running
   streams get a token each. */
static void
begin_step(Emu *emu, EmuEngine *engine)
{
    const EmuSite *site = &emu->pattern.site;
    double chunk = site->chunk;
    double ms = site->step_ms;
    int batch = 0;

    make_room(emu, engine);
    for (int i = 0; i < engine->run_count; i++) {
        EmuRequest *run = engine->runs[i];
        if (batch >= (int)site->slots) {
            break;
        }
        if (run->unread > 0) {
            double reads = fmin(run->unread, chunk);
            chunk -= reads;
            ms += reads / site->prompt_per_ms;
        }
        batch++;
        ms += site->step_ms_per_run +
              site->context_ms_per_k * context_of(run) / 1000;
    }
    engine->step_ends = emu->now + ms * engine->slow;
}

static void
drop_run(EmuEngine *engine, int at)
{
    engine->run_count--;
    memmove(&engine->runs[at], &engine->runs[at + 1],
            (size_t)(engine->run_count - at) * sizeof(EmuRequest *));
}

static void
note_event(Emu *emu, EmuRequest *run)
{
    double at = emu->now + emu->pattern.site.path_ms;

    if (run->first == 0) {
        run->first = at;
        EmuServe_NoteFirst(emu, run);
    }
    else if (run->event_at > 0 && at - run->event_at > run->longest_pause) {
        run->longest_pause = at - run->event_at;
    }
    run->event_at = at;
}

/* the first token is an event of its own */
static bool
makes_event(const EmuSite *site, const EmuRequest *run)
{
    return run->made == 1 || run->made >= run->output ||
           fmod(run->made, site->stride) == 0;
}

static void
end_step(Emu *emu, EmuEngine *engine)
{
    const EmuSite *site = &emu->pattern.site;
    double chunk = site->chunk;
    int batch = 0;

    engine->step_ends = 0;
    for (int i = 0; i < engine->run_count && batch < (int)site->slots;) {
        EmuRequest *run = engine->runs[i];
        batch++;
        if (run->unread > 0) {
            double reads = fmin(run->unread, chunk);
            chunk -= reads;
            run->unread -= reads;
            if (run->unread > 0) {
                i++;
                continue;
            }
        }
        run->made++;
        if (makes_event(site, run)) {
            note_event(emu, run);
        }
        if (run->made >= run->output) {
            drop_run(engine, i);
            run->end = run->first - run->at <= run->kind->objective_ms &&
                               run->longest_pause <= run->kind->pause_ms
                           ? EMU_ON_TIME
                           : EMU_LATE;
            EmuServe_NoteEnd(emu, run);
            continue;
        }
        i++;
    }
}

/* moves the key to the end of the list, and drops those that no longer fit */
static void
keep_copy(uint32_t *keys, int *count, uint32_t key, int most)
{
    int n = 0;

    for (int i = 0; i < *count; i++) {
        if (keys[i] != key) {
            keys[n++] = keys[i];
        }
    }
    if (n >= most && n > 0) {
        memmove(keys, keys + 1, (size_t)(--n) * sizeof(*keys));
    }
    if (most > 0) {
        keys[n++] = key;
    }
    *count = n;
}

static bool
is_at_hand(const uint32_t *keys, int count, uint32_t key)
{
    for (int i = 0; i < count; i++) {
        if (keys[i] == key) {
            return true;
        }
    }
    return false;
}

void
EmuEngine_Load(Emu *emu, EmuEngine *engine, uint32_t model)
{
    const EmuSite *site = &emu->pattern.site;
    double ms = is_at_hand(engine->memory, engine->memory_count, model)
                    ? site->load_memory_ms
                : is_at_hand(engine->disk, engine->disk_count, model)
                    ? site->load_disk_ms
                    : site->load_store_ms;

    engine->loading = model;
    engine->meant_for = 0;
    engine->change_ends = emu->now + ms;
    emu->loads++;
}

void
EmuEngine_Unload(Emu *emu, EmuEngine *engine, uint32_t model)
{
    engine->unloading = model;
    BkUp_CloseModel(engine->up, model, INT64_MAX);
    emu->unloads++;
}

static void
end_load(Emu *emu, EmuEngine *engine)
{
    const EmuSite *site = &emu->pattern.site;
    uint32_t model = engine->loading;

    engine->loading = 0;
    engine->held[engine->held_count++] = model;
    keep_copy(engine->memory, &engine->memory_count, model,
              (int)(site->memory_mb / site->weights_mb));
    keep_copy(engine->disk, &engine->disk_count, model,
              (int)(site->disk_mb / site->weights_mb));
    BkUp_SetModelLoaded(engine->up, model, true);
}

static bool
runs_model(const Emu *emu, const EmuEngine *engine, uint32_t model)
{
    for (int i = 0; i < engine->run_count; i++) {
        if (key_of(emu, engine->runs[i]) == model) {
            return true;
        }
    }
    return false;
}

static void
end_unload(EmuEngine *engine)
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
EmuEngine_Crash(Emu *emu, EmuEngine *engine, double lasts)
{
    engine->down = true;
    engine->up_at = emu->now + lasts;
    engine->up->state = BK_UP_GONE;
    while (engine->run_count > 0) {
        EmuRequest *run = engine->runs[--engine->run_count];
        run->end = EMU_FAILED;
        EmuServe_NoteEnd(emu, run);
    }
    engine->step_ends = 0;
    engine->held_count = 0;
    engine->memory_count = 0;
    engine->loading = 0;
    engine->unloading = 0;
    engine->meant_for = 0;
    engine->up->model_count = 0;
    engine->up->closed_model = 0;
}

void
EmuEngine_Tick(Emu *emu, EmuEngine *engine)
{
    if (engine->down) {
        if (emu->now < engine->up_at) {
            return;
        }
        engine->down = false;
        engine->up->state = BK_UP_LISTED;
    }
    if (emu->now >= engine->slow_until) {
        engine->slow = 1;
    }
    if (engine->loading != 0 && emu->now >= engine->change_ends) {
        end_load(emu, engine);
    }
    if (engine->unloading != 0 &&
        !runs_model(emu, engine, engine->unloading)) {
        end_unload(engine);
    }
    if (engine->step_ends > 0 && emu->now >= engine->step_ends) {
        end_step(emu, engine);
    }
    if (engine->step_ends == 0 && engine->run_count > 0) {
        begin_step(emu, engine);
    }
}
