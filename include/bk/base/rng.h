/*
 * rng - a small seeded random number generator for jitter and random choices,
 * not for secrets
 */
#ifndef BK_BASE_RNG_H
#define BK_BASE_RNG_H

#include <stdint.h>

typedef struct BkRng {
    uint64_t state;
} BkRng;

BkRng BkRng_Make(uint64_t seed);
uint64_t BkRng_Next(BkRng *rng);

/* Uniform in [0, n); n must be at least 1. */
uint32_t BkRng_Below(BkRng *rng, uint32_t n);

/* Uniform in [0, 1). */
double BkRng_Unit(BkRng *rng);

#endif
