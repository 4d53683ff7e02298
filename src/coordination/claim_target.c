#include "coordination/claim_target.h"

#include <string.h>
#include <xxhash.h>

#define WRITER_CANDIDATES 3

bool claim_target_is_dead(const struct tgw_host_view *view, const char *host,
			  uint64_t incarnation)
{
	const struct tgw_host *known = tgw_host_view_find(view, host);

	if (!known || known->state == TGW_HOST_GONE)
		return true;
	return known->incarnation && known->incarnation != incarnation;
}

/* Chooses the claim writer of a bucket among all live hosts by rendezvous
 * hashing. When a single writer batches all claims of a bucket, they do not
 * conflict in the store. */
static const char *choose_fleet_writer(const struct tgw_host_view *view,
				       uint32_t bucket)
{
	const struct tgw_host *writer = tgw_host_view_self(view);
	uint64_t max_weight = 0;

	for (size_t i = 0; i < view->host_count; i++) {
		const struct tgw_host *host = &view->hosts[i];
		uint64_t weight = XXH64(host->name, strlen(host->name), bucket);

		if (host->state != TGW_HOST_ALIVE || weight < max_weight)
			continue;
		writer = host;
		max_weight = weight;
	}
	return writer->name;
}

/* The first try goes to the bucket's writer among all hosts, the next to one of
 * the local failure domain, the next to this host itself, and so on in turn.
 * Any host may write, because the store decides. */
static const char *choose_writer(const struct tgw_host_view *view,
				 uint32_t bucket, uint32_t tries)
{
	const struct tgw_host *local = tgw_host_view_self(view);

	if (tries % WRITER_CANDIDATES == 0)
		return choose_fleet_writer(view, bucket);
	if (tries % WRITER_CANDIDATES == 1)
		tgw_host_view_rank(view, local->failure_domain, bucket, &local,
				   1);
	return local->name;
}

/* The issuer of a ticket decides as long as its process is alive; after that,
 * only the records in the store count. */
static enum claim_authority authority_of(const struct tgw_host_view *view,
					 const struct claim_run *run)
{
	if (!run->has_ticket)
		return run->is_record ? CLAIM_BY_RECORD : CLAIM_BY_STORE;
	if (claim_target_is_dead(view, run->ticket.host,
				 run->ticket.incarnation))
		return CLAIM_BY_RECORD;
	return CLAIM_BY_ISSUER;
}

const char *claim_target_choose(const struct tgw_host_view *view,
				uint32_t bucket, struct claim_run *run)
{
	run->message.authority = authority_of(view, run);
	if (run->message.authority == CLAIM_BY_ISSUER)
		return run->ticket.host;
	return choose_writer(view, bucket, run->sent_count);
}
