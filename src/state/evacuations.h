/**
 * @file evacuations.h
 * The failure domains that operators have evacuated: their servers get no new
 * requests until the evacuation is taken back.
 *
 * News of a domain may arrive late or repeated, by a watch and by lists. The
 * latest version of its key in the store counts, also if that is a deletion.
 */
#ifndef STATE_EVACUATIONS_H
#define STATE_EVACUATIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/host_view.h"

/** Domains that are remembered. Those whose evacuation has ended make room for
 * others. */
#define EVACUATIONS_MAX 64

struct evacuation {
	char failure_domain[TGW_NAME_SIZE];
	int64_t version; /**< of the last news */
	bool active;
};

/** No domain is evacuated when zeroed. */
struct evacuations {
	struct evacuation items[EVACUATIONS_MAX];
	size_t count;
};

/** What news of one domain led to. */
enum evacuations_result {
	EVACUATIONS_UNCHANGED, /**< known, or older than what is known */
	EVACUATIONS_CHANGED,
	EVACUATIONS_FULL, /**< too many domains are evacuated */
};

/** Records whether a domain is evacuated.
 * @param version of its key, or of the deletion; 0 if that is unknown: then the
 * news are taken to be the latest */
enum evacuations_result evacuations_set(struct evacuations *evacuations,
					const char *failure_domain, bool active,
					int64_t version);

/** @return whether the domain is evacuated */
bool evacuations_has(const struct evacuations *evacuations,
		     const char *failure_domain);

/** @return the number of evacuated domains */
size_t evacuations_count(const struct evacuations *evacuations);

#endif
