#include "tamarackgw/host_view.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/xalloc.h"

const struct tgw_host *tgw_host_view_find(const struct tgw_host_view *view,
					  const char *name)
{
	for (size_t i = 0; i < view->host_count; i++)
		if (!strcmp(view->hosts[i].name, name))
			return &view->hosts[i];
	return NULL;
}

static uint64_t rank_weight(const struct tgw_host *host, uint64_t key_hash)
{
	return XXH64(host->name, strlen(host->name), key_hash);
}

/* Ties are broken by name, so that all hosts compute the same ranking. */
static int ranks_before(const struct tgw_host *a, const struct tgw_host *b,
			uint64_t key_hash)
{
	uint64_t weight_a = rank_weight(a, key_hash);
	uint64_t weight_b = rank_weight(b, key_hash);

	if (weight_a != weight_b)
		return weight_a > weight_b;
	return strcmp(a->name, b->name) < 0;
}

size_t tgw_host_view_rank(const struct tgw_host_view *view,
			  const char *failure_domain, uint64_t key_hash,
			  const struct tgw_host **ranked, size_t capacity)
{
	size_t count = 0;

	for (size_t i = 0; i < view->host_count; i++) {
		const struct tgw_host *host = &view->hosts[i];
		size_t at;

		if (host->state != TGW_HOST_ALIVE ||
		    strcmp(host->failure_domain, failure_domain))
			continue;
		at = count;
		while (at > 0 && ranks_before(host, ranked[at - 1], key_hash))
			at--;
		if (at == capacity)
			continue;
		if (count < capacity)
			count++;
		memmove(&ranked[at + 1], &ranked[at],
			(count - 1 - at) * sizeof(ranked[0]));
		ranked[at] = host;
	}
	return count;
}

struct tgw_host_view *tgw_host_view_copy(const struct tgw_host_view *view)
{
	struct tgw_host_view *copy = xmemdup(view, sizeof(*view));

	copy->hosts =
		xmemdup(view->hosts, view->host_count * sizeof(view->hosts[0]));
	return copy;
}

void tgw_host_view_free(struct tgw_host_view *view)
{
	if (!view)
		return;
	free(view->hosts);
	free(view);
}
