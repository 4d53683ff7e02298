#include "coordination/budget_choice.h"

#include <string.h>

static bool is_among(const char *name, struct budget_peer *const *peers,
		     size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (!strcmp(peers[i]->name, name))
			return true;
	return false;
}

static struct budget_peer *find_in_other_domain(
	const struct budget_bucket *bucket, uint64_t offset,
	struct budget_peer *const *refused, size_t refused_count)
{
	struct tgw_budget_agent *agent = bucket->agent;
	const struct tgw_host_view *view = agent->view;

	for (size_t i = 0; i < view->host_count; i++) {
		const char *domain =
			view->hosts[(offset + i) % view->host_count]
				.failure_domain;
		const struct tgw_host *first;

		if (strcmp(domain, agent->domain) &&
		    tgw_host_view_rank(view, domain,
				       ledger_bucket_hash(bucket->index),
				       &first, 1) &&
		    !is_among(first->name, refused, refused_count))
			return budget_peer_obtain(agent, first->name);
	}
	return NULL;
}

struct budget_peer *budget_choose_holder(const struct budget_bucket *bucket,
					 uint64_t offset,
					 struct budget_peer *const *refused,
					 size_t refused_count)
{
	for (size_t i = 0; i < bucket->rank_count; i++)
		if (!is_among(bucket->ranked[i]->name, refused, refused_count))
			return bucket->ranked[i];
	return find_in_other_domain(bucket, offset, refused, refused_count);
}
