/*
 * Measures the processor time of one choice of an upstream by bk-front, for
 * growing fleets, with a part of the engines in a hold-off and a part out of
 * their rate limit. Not part of make bench, since times differ from run to run.
 */
#include <stdio.h>

#include "bk/base/log.h"
#include "bk/pick/pick.h"
#include "cpu_time.h"

enum {
    MODELS = 471,
    MODELS_PER_ENGINE = 3,
    ROUNDS = 200000,
    NOW = 1000 /* ms */
};

static uint32_t
key_of(const char *kind, int number)
{
    char name[32];

    snprintf(name, sizeof(name), "%s%d", kind, number);
    return BkStr_NameHash(BkStr_FromC(name));
}

/* Adds an engine of the service "llm" to the fleet. */
static BkUp *
add_engine(BkFleet *fleet, int number)
{
    char id[32];
    BkUpReport report = {.address = BkStr_Dup(BK_STR("10.0.0.1:80")),
                         .service = BkStr_Dup(BK_STR("llm")),
                         .domain = BkStr_Dup(BK_STR("d")),
                         .slots = 12};

    snprintf(id, sizeof(id), "e%04d", number);
    report.id = BkStr_Dup(BkStr_FromC(id));
    BkUp *up = BkFleet_ApplyReport(fleet, &report, (uint64_t)number + 1, 0);
    for (int i = 0; i < MODELS_PER_ENGINE; i++) {
        BkUp_SetModelLoaded(
            up, key_of("m", (number * MODELS_PER_ENGINE + i) % MODELS), true);
    }
    BkUpReport_Destroy(&report);
    return up;
}

/* Returns the seconds of one choice. */
static double
time_pick(const BkFleet *fleet)
{
    static uint32_t models[MODELS];
    BkSiteEngine engine = {0};
    BkPickConf conf = {.prefill_window = 2600, .tokens_per_run = 60};
    BkPickQuery query = {.engine = &engine,
                         .service = BkStr_NameHash(BK_STR("llm")),
                         .prompt_tokens = 1000,
                         .prefix_hash = 7,
                         .domain = "d"};

    for (int i = 0; i < MODELS; i++) {
        models[i] = key_of("m", i);
    }
    double start = cpu_seconds();
    for (int i = 0; i < ROUNDS; i++) {
        query.model = models[i % MODELS];
        BkPick_Choose(&conf, fleet, &query, NOW);
    }
    return (cpu_seconds() - start) / ROUNDS;
}

int
main(void)
{
    const int sizes[] = {64, 256, 1024};

    BkLog_Init("bench-pick-cost", BK_LOG_WARNING);
    for (int i = 0; i < 3; i++) {
        for (int held = 0; held < 2; held++) {
            BkFleet fleet = {0};
            for (int n = 0; n < sizes[i]; n++) {
                BkUp *up = add_engine(&fleet, n);
                if (held && n % 2 == 0) {
                    BkThrottle_NoteHoldOff(&up->throttle, NOW, 0, NOW);
                }
                if (held && n % 4 == 1) {
                    up->throttled_until = NOW + 1;
                }
            }
            printf("{\"engines\":%d,\"models\":%d,\"held_off\":%s,"
                   "\"pick_us\":%.2f}\n",
                   sizes[i], MODELS, held ? "true" : "false",
                   time_pick(&fleet) * 1e6);
            BkFleet_Destroy(&fleet);
        }
    }
    return 0;
}
