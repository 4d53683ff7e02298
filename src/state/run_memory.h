/**
 * @file run_memory.h
 * What is known of the availability of runs of backend servers, apart from the
 * servers' entries: an entry may vanish and come back, or become known after
 * another host's notice.
 */
#ifndef STATE_RUN_MEMORY_H
#define STATE_RUN_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

#include "state/server_availability.h"

/** The oldest of more runs than this is forgotten. */
#define RUN_MEMORY_RUNS_MAX 1024

struct remembered_run {
	bool used;
	uint64_t key; /**< see run_memory_key() */
	struct server_availability availability;
	/** Of a draining entry that was removed; 0: none was. */
	int64_t drained_sequence;
};

/** Empty when zeroed. */
struct run_memory {
	struct remembered_run runs[RUN_MEMORY_RUNS_MAX];
	uint32_t next; /**< is overwritten next */
};

/** @return a hash of what identifies one run of a server */
uint64_t run_memory_key(const char *server, const char *address,
			int64_t born_ms);

/** @return what is known of the run; NULL for nothing */
const struct remembered_run *run_memory_find(const struct run_memory *memory,
					     uint64_t key);

/** @return what is known of the run, to be changed by the caller */
struct remembered_run *run_memory_obtain(struct run_memory *memory,
					 uint64_t key);

#endif
