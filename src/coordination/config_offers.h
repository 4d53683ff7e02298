/**
 * @file config_offers.h
 * Manifests that other hosts offer while the store does not answer. A single
 * host is not trusted: two hosts have to offer the same bytes, or all other
 * hosts if there are fewer than two.
 */
#ifndef COORDINATION_CONFIG_OFFERS_H
#define COORDINATION_CONFIG_OFFERS_H

#include <stddef.h>
#include <stdint.h>

#include "state/config_shard.h"
#include "tamarackgw/host_view.h"

#define CONFIG_OFFERS_MAX 8

/** Number of hosts that have to offer the same manifest. */
#define CONFIG_OFFERS_QUORUM 2

struct config_offer {
	char host[TGW_NAME_SIZE];
	uint64_t generation;
	uint8_t digest[CONFIG_DIGEST_BYTES];
	uint8_t *value;
	size_t value_size;
};

struct config_offers {
	size_t count;
	struct config_offer offers[CONFIG_OFFERS_MAX];
};

/** Adds an offer, which replaces an earlier one of the same host. When there
 * are CONFIG_OFFERS_MAX offers, an offer of another host is ignored. */
void config_offers_add(struct config_offers *offers, const char *host,
		       uint64_t generation, const void *value,
		       size_t value_size);

/**
 * @param above_generation offers up to this generation are ignored
 * @param other_hosts number of other hosts that could make an offer
 * @return the newest offer that enough hosts made, or NULL
 */
const struct config_offer *config_offers_best(
	const struct config_offers *offers, uint64_t above_generation,
	size_t other_hosts);

void config_offers_clear(struct config_offers *offers);

#endif
