/**
 * @file random.h
 * Seeded random numbers, so that each decision can be replayed.
 */
#ifndef TAMARACKGW_RANDOM_H
#define TAMARACKGW_RANDOM_H

#include <stdint.h>

#define TGW_RANDOM_BLOCK_WORDS 64

/** A deterministic stream of random numbers. */
struct tgw_random {
	uint64_t seed;
	uint64_t block_number;
	uint32_t next_word;
	uint64_t words[TGW_RANDOM_BLOCK_WORDS];
};

void tgw_random_init(struct tgw_random *random, uint64_t seed);

uint64_t tgw_random_u64(struct tgw_random *random);

/** @return a number in [0, bound); bound must not be 0 */
uint64_t tgw_random_below(struct tgw_random *random, uint64_t bound);

/** @return a number in [0, 1) */
double tgw_random_unit(struct tgw_random *random);

/** @return an incarnation number from the system's entropy source, never 0 */
uint64_t tgw_random_incarnation(void);

#endif
