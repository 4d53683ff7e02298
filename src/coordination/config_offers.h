/**
 * @file config_offers.h
 * Manifests that other hosts offered while the store is out. One host alone
 * is not believed: two have to offer the same bytes, or all there are.
 */
#ifndef COORDINATION_CONFIG_OFFERS_H
#define COORDINATION_CONFIG_OFFERS_H

#include <stddef.h>
#include <stdint.h>

#include "state/config_shard.h"
#include "tamarackgw/host_view.h"

#define CONFIG_OFFERS_MAX 8

/** Hosts that have to offer the same manifest. */
#define CONFIG_VOUCHERS_NEEDED 2

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

/** Keeps an offer; a host's later one replaces its earlier. */
void config_offers_add(struct config_offers *offers, const char *host,
		       uint64_t generation, const void *value,
		       size_t value_size);

/**
 * @param other_hosts hosts that could offer anything at all
 * @return the newest offer above a generation that is vouched for, or NULL
 */
const struct config_offer *config_offers_best(
	const struct config_offers *offers, uint64_t above_generation,
	size_t other_hosts);

void config_offers_clear(struct config_offers *offers);

#endif
