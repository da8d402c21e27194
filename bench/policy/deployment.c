#include "sim.h"

#include <stdio.h>
#include <stdlib.h>

#define GIB (UINT64_C(1) << 30)
#define MIB (UINT64_C(1) << 20)

enum {
    ENGINE_SLOTS = 16,
    SERVICE_SLOTS = 32,
    CALLERS = 4,
    ADAPTER_MIB = 160,
    MODEL_STEP_MIB = 512,
    MIN_COPIES = 2 /* one remains when a failure domain is lost */
};

/* The two deployments differ only in numbers. Their memory holds two copies of
 * every item and about a third more. */
const Deployment deployments[] = {
    {.name = "varanda",
     .domains = 4,
     .engines = 12,
     .services = 4,
     .models = 120,
     .adapters = 80,
     .memory_gib = 80,
     .client_latency = 3,
     .hop_latency = 1,
     .place = {.attainment_weight = 1,
               .move_weight = 5,
               .horizon = 60 * BK_MS_PER_S,
               .rise_smoothing = 0.5,
               .fall_smoothing = 0.02,
               .loads_per_second = 2,
               .loads_at_once = 7,
               .target_use = 0.75}},
    {.name = "kadonneet",
     .domains = 3,
     .engines = 18,
     .services = 3,
     .models = 130,
     .adapters = 110,
     .memory_gib = 60,
     .client_latency = 1,
     .hop_latency = 2,
     .place = {.attainment_weight = 1,
               .move_weight = 100,
               .horizon = 120 * BK_MS_PER_S,
               .rise_smoothing = 0.3,
               .fall_smoothing = 0.005,
               .loads_per_second = 2,
               .loads_at_once = 17,
               .target_use = 0.8}},
};

const int deployment_count = sizeof(deployments) / sizeof(deployments[0]);

double
deployment_capacity(const Deployment *dep)
{
    return dep->engines * ENGINE_SLOTS / mean_slot_seconds();
}

static void
add_upstreams(const Deployment *dep, BkBuf *text)
{
    for (int i = 0; i < dep->engines; i++) {
        BkBuf_Printf(text,
                     "[upstream engine-%02d]\nkind = engine\n"
                     "addr = 10.0.0.%d:9000\ndomain = d%d\nslots = %d\n"
                     "memory = %dGiB\nfencing = checked\n",
                     i, i + 1, i % dep->domains, ENGINE_SLOTS,
                     dep->memory_gib);
    }
    for (int i = 0; i < dep->services; i++) {
        BkBuf_Printf(text,
                     "[upstream service-%02d]\nkind = service\n"
                     "addr = 10.0.1.%d:9000\ndomain = d%d\nslots = %d\n"
                     "serves = watering\n",
                     i, i + 1, i % dep->domains, SERVICE_SLOTS);
    }
}

/* A roll changes the version of three items in ten. */
static int
item_version(int index, int version)
{
    return index % 10 < 3 ? version : 1;
}

static void
add_items(const Deployment *dep, int version, BkBuf *text)
{
    for (int i = 0; i < dep->models; i++) {
        BkBuf_Printf(text,
                     "[model model-%03d]\nversion = %d\nbytes = %dMiB\n"
                     "copies = %d\n",
                     i, item_version(i, version),
                     MODEL_STEP_MIB * (3 + i * 7 % 6), MIN_COPIES);
    }
    for (int i = 0; i < dep->adapters; i++) {
        BkBuf_Printf(text,
                     "[adapter tune-%03d]\nversion = %d\nbytes = %dMiB\n"
                     "base = model-%03d\ncopies = %d\n",
                     i, item_version(i + 1, version), ADAPTER_MIB,
                     i * 5 % (dep->models / 3), MIN_COPIES);
    }
    BkBuf_Printf(text, "[service watering]\nrepeatable = no\n");
}

BkBundle *
bundle_create(const Deployment *dep, int version)
{
    BkBuf text = BkBuf_Make(0);
    BkStatus status;

    BkBuf_Printf(&text, "[bundle]\nname = %s\n", dep->name);
    add_upstreams(dep, &text);
    add_items(dep, version, &text);
    for (int i = 0; i < CALLERS; i++) {
        BkBuf_Printf(&text,
                     "[caller caller-%d]\nshare = %d\nallow = *\n"
                     "token = %064x\n",
                     i, i + 1, i + 1);
    }
    BkBundle *bundle = BkBundle_Parse(dep->name, BkBuf_Str(&text), &status);
    BkBuf_Destroy(&text);
    if (bundle == NULL) {
        fprintf(stderr, "%s\n", BkErr_Last());
        abort();
    }
    return bundle;
}
