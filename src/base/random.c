#include "tamarackgw/random.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

static void refill(struct tgw_random *random)
{
	unsigned char key[randombytes_SEEDBYTES] = {0};

	memcpy(key, &random->seed, sizeof(random->seed));
	memcpy(key + sizeof(random->seed), &random->block_number,
	       sizeof(random->block_number));
	randombytes_buf_deterministic(random->words, sizeof(random->words),
				      key);
	random->block_number++;
	random->next_word = 0;
}

void tgw_random_init(struct tgw_random *random, uint64_t seed)
{
	random->seed = seed;
	random->block_number = 0;
	refill(random);
}

uint64_t tgw_random_u64(struct tgw_random *random)
{
	if (random->next_word == TGW_RANDOM_BLOCK_WORDS)
		refill(random);
	return random->words[random->next_word++];
}

uint64_t tgw_random_below(struct tgw_random *random, uint64_t bound)
{
	assert(bound > 0);
	return tgw_random_u64(random) % bound;
}

double tgw_random_unit(struct tgw_random *random)
{
	return (double)(tgw_random_u64(random) >> 11) * 0x1p-53;
}

uint64_t tgw_random_incarnation(void)
{
	uint64_t incarnation = 0;

	while (!incarnation)
		randombytes_buf(&incarnation, sizeof(incarnation));
	return incarnation;
}
