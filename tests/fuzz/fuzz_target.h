/**
 * @file fuzz_target.h
 * Entry point of a libFuzzer target; see tools/fuzz.sh.
 */
#ifndef FUZZ_FUZZ_TARGET_H
#define FUZZ_FUZZ_TARGET_H

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
