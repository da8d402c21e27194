#include "emu.h"

#include <stdlib.h>

enum {
    SETTLE_MS = 8000 /* after the last arrival, for requests to finish */
};

Emu *
Emu_Create(const EmuPattern *pattern, uint64_t seed)
{
    Emu *emu = BkMem_New(1, sizeof(*emu));

    emu->pattern = *pattern;
    emu->rng = BkRng_Make(seed);
    emu->engine_count = (int)pattern->site.engines;
    emu->engines = BkMem_New((size_t)emu->engine_count, sizeof(EmuEngine));
    for (int i = 0; i < emu->engine_count; i++) {
        EmuEngine_Init(emu, i);
    }
    EmuDaemons_Init(emu);
    EmuWorkload_Generate(emu);
    return emu;
}

void
Emu_Destroy(Emu *emu)
{
    if (emu == NULL) {
        return;
    }
    EmuDaemons_Destroy(emu);
    for (int i = 0; i < emu->engine_count; i++) {
        EmuEngine_Destroy(&emu->engines[i]);
    }
    free(emu->engines);
    free(emu->requests);
    free(emu);
}

static void
apply_fault(Emu *emu, const EmuEvent *event)
{
    for (int remaining = (int)event->count; remaining > 0; remaining--) {
        EmuEngine *engine =
            &emu->engines[BkRng_Below(&emu->rng, (uint32_t)emu->engine_count)];
        if (event->type == EMU_CRASH && !engine->down) {
            EmuEngine_Crash(emu, engine, event->lasts * 1000);
        }
        else if (event->type == EMU_SLOW) {
            engine->slowdown = event->x;
            engine->slowdown_until = emu->now + event->lasts * 1000;
        }
    }
}

/* Starts the crashes and slowdowns that are due. Bursts and shifts took effect
   when the requests were generated. */
static void
start_faults(Emu *emu)
{
    for (int i = 0; i < emu->pattern.event_count; i++) {
        const EmuEvent *event = &emu->pattern.events[i];
        if ((int64_t)(event->at * 1000) == (int64_t)emu->now &&
            (event->type == EMU_CRASH || event->type == EMU_SLOW)) {
            apply_fault(emu, event);
        }
    }
}

void
Emu_Run(Emu *emu)
{
    double end = emu->pattern.site.seconds * 1000 + SETTLE_MS;

    for (emu->now = 0; emu->now < end; emu->now++) {
        start_faults(emu);
        while (emu->next_arrival < emu->request_count &&
               emu->requests[emu->next_arrival].arrived_at <= emu->now) {
            EmuDaemons_AddRequest(emu, &emu->requests[emu->next_arrival++]);
        }
        EmuDaemons_Tick(emu);
        for (int i = 0; i < emu->engine_count; i++) {
            EmuEngine_Tick(emu, &emu->engines[i]);
        }
    }
}
