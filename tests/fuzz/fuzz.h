/*
 * fuzz - the entry point that libFuzzer calls with each input
 */
#ifndef BK_TESTS_FUZZ_H
#define BK_TESTS_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* the name is set by libFuzzer */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
