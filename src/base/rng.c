#include "bk/base/rng.h"

/* splitmix64: 64 bits of state, and every seed is suitable */
BkRng
BkRng_Make(uint64_t seed)
{
    return (BkRng){seed};
}

uint64_t
BkRng_Next(BkRng *rng)
{
    rng->state += 0x9e3779b97f4a7c15U;
    uint64_t z = rng->state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31);
}

uint32_t
BkRng_Below(BkRng *rng, uint32_t n)
{
    uint64_t high = BkRng_Next(rng) >> 32;

    return (uint32_t)((high * n) >> 32);
}

double
BkRng_Unit(BkRng *rng)
{
    return (double)(BkRng_Next(rng) >> 11) * 0x1.0p-53;
}
