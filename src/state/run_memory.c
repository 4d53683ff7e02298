#include "state/run_memory.h"

#include <stddef.h>
#include <string.h>
#include <xxhash.h>

uint64_t run_memory_key(const char *server, const char *address,
			int64_t born_ms)
{
	uint64_t seed = XXH64(address, strlen(address), (uint64_t)born_ms);

	return XXH64(server, strlen(server), seed);
}

static size_t find(const struct run_memory *memory, uint64_t key)
{
	size_t at = 0;

	while (at < RUN_MEMORY_RUNS_MAX &&
	       (!memory->runs[at].used || memory->runs[at].key != key))
		at++;
	return at;
}

const struct remembered_run *run_memory_find(const struct run_memory *memory,
					     uint64_t key)
{
	size_t at = find(memory, key);

	return at < RUN_MEMORY_RUNS_MAX ? &memory->runs[at] : NULL;
}

struct remembered_run *run_memory_obtain(struct run_memory *memory,
					 uint64_t key)
{
	size_t at = find(memory, key);

	if (at == RUN_MEMORY_RUNS_MAX) {
		at = memory->next;
		memory->next = (memory->next + 1) % RUN_MEMORY_RUNS_MAX;
		memory->runs[at] =
			(struct remembered_run){.used = true, .key = key};
	}
	return &memory->runs[at];
}
