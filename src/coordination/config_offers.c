#include "coordination/config_offers.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

static struct config_offer *find_slot(struct config_offers *offers,
				      const char *host)
{
	for (size_t i = 0; i < offers->count; i++)
		if (!strcmp(offers->offers[i].host, host))
			return &offers->offers[i];
	if (offers->count == CONFIG_OFFERS_MAX)
		return NULL;
	return &offers->offers[offers->count++];
}

void config_offers_add(struct config_offers *offers, const char *host,
		       uint64_t generation, const void *value,
		       size_t value_size)
{
	struct config_offer *offer = find_slot(offers, host);

	if (!offer)
		return;
	free(offer->value);
	memset(offer, 0, sizeof(*offer));
	strncpy(offer->host, host, sizeof(offer->host) - 1);
	offer->generation = generation;
	offer->value = xmemdup(value, value_size);
	offer->value_size = value_size;
	config_digest(value, value_size, offer->digest);
}

static size_t count_matching(const struct config_offers *offers,
			     const struct config_offer *offer)
{
	size_t count = 0;

	for (size_t i = 0; i < offers->count; i++)
		count += !memcmp(offers->offers[i].digest, offer->digest,
				 sizeof(offer->digest));
	return count;
}

const struct config_offer *config_offers_best(
	const struct config_offers *offers, uint64_t above_generation,
	size_t other_hosts)
{
	const struct config_offer *best = NULL;
	size_t needed = CONFIG_OFFERS_QUORUM;

	if (other_hosts < needed)
		needed = other_hosts;
	for (size_t i = 0; i < offers->count; i++) {
		const struct config_offer *offer = &offers->offers[i];

		if (offer->generation <= above_generation ||
		    (best && offer->generation <= best->generation))
			continue;
		if (count_matching(offers, offer) >= needed)
			best = offer;
	}
	return best;
}

void config_offers_clear(struct config_offers *offers)
{
	for (size_t i = 0; i < offers->count; i++)
		free(offers->offers[i].value);
	memset(offers, 0, sizeof(*offers));
}
