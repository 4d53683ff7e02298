#include "state/quarantine_permits.h"

#include <string.h>

const struct quarantine_permit *quarantine_permits_find(
	const struct quarantine_permits *permits,
	const struct tgw_fingerprint *fingerprint)
{
	for (size_t i = 0; i < permits->count; i++)
		if (!memcmp(&permits->permits[i].fingerprint, fingerprint,
			    sizeof(*fingerprint)))
			return &permits->permits[i];
	return NULL;
}

bool quarantine_permits_server_is_free(const struct quarantine_permits *permits,
				       const char *server)
{
	for (size_t i = 0; i < permits->count; i++)
		if (!strcmp(permits->permits[i].server, server))
			return false;
	return true;
}

bool quarantine_permits_add(struct quarantine_permits *permits,
			    const struct quarantine_permit *permit)
{
	if (permits->count == QUARANTINE_PERMITS_MAX)
		return false;
	permits->permits[permits->count++] = *permit;
	return true;
}

static struct quarantine_permit *find_same(
	struct quarantine_permits *permits,
	const struct quarantine_permit *sought)
{
	for (size_t i = 0; i < permits->count; i++) {
		struct quarantine_permit *permit = &permits->permits[i];

		if (permit->query_id == sought->query_id &&
		    permit->incarnation == sought->incarnation &&
		    !strcmp(permit->host, sought->host))
			return permit;
	}
	return NULL;
}

void quarantine_permits_refresh(struct quarantine_permits *permits,
				const struct quarantine_permit *permit)
{
	struct quarantine_permit *existing = find_same(permits, permit);

	if (existing)
		existing->last_received_us = permit->last_received_us;
	else
		quarantine_permits_add(permits, permit);
}

void quarantine_permits_release(struct quarantine_permits *permits,
				const struct quarantine_permit *permit)
{
	struct quarantine_permit *existing = find_same(permits, permit);

	if (existing)
		*existing = permits->permits[--permits->count];
}

static bool has_ended(const struct quarantine_permit *permit,
		      const struct tgw_host_view *view, int64_t since_us)
{
	const struct tgw_host *host = tgw_host_view_find(view, permit->host);

	if (!host || host->state == TGW_HOST_GONE)
		return true;
	if (host->incarnation && host->incarnation != permit->incarnation)
		return true;
	return host->state == TGW_HOST_ALIVE &&
	       permit->last_received_us < since_us;
}

void quarantine_permits_expire(struct quarantine_permits *permits,
			       const struct tgw_host_view *view,
			       int64_t since_us)
{
	size_t kept = 0;

	for (size_t i = 0; i < permits->count; i++)
		if (!has_ended(&permits->permits[i], view, since_us))
			permits->permits[kept++] = permits->permits[i];
	permits->count = kept;
}
