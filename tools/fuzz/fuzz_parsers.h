/**
 * @file
 * Entry point of the fuzz target; libFuzzer requires its name.
 */
#ifndef FUZZ_PARSERS_H
#define FUZZ_PARSERS_H

#include <stddef.h>
#include <stdint.h>

/**
 * Runs one input.
 * @return 0
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
