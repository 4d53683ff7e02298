#include "state/transfer_link.h"

#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "tamarackgw/clock.h"

/* A lender that had nothing left is not asked for the team for this time, which
 * doubles up to the maximum. */
#define NONE_LENT_MIN_US (500 * TGW_US_PER_MS)
#define NONE_LENT_MAX_US (8 * TGW_US_PER_S)

struct transfer_link *transfer_link_new(const char *host, uint64_t incarnation)
{
	struct transfer_link *link = xcalloc(1, sizeof(*link));

	short_name_copy(link->host, host);
	link->incarnation = incarnation;
	return link;
}

static void free_totals(struct transfer_link *link)
{
	while (link->totals) {
		struct transfer_totals *totals = link->totals;

		link->totals = totals->next;
		free(totals);
	}
}

void transfer_link_free(struct transfer_link *link)
{
	free_totals(link);
	free(link);
}

void transfer_link_end(struct transfer_link *link)
{
	free_totals(link);
	link->ended = true;
}

struct transfer_totals *transfer_link_totals(struct transfer_link *link,
					     const char *team)
{
	struct transfer_totals **at = &link->totals;

	while (*at && strcmp((*at)->team, team))
		at = &(*at)->next;
	if (!*at) {
		*at = xcalloc(1, sizeof(**at));
		short_name_copy((*at)->team, team);
	}
	return *at;
}

int64_t transfer_totals_take(struct transfer_totals *totals,
			     const struct transfer_entry *entry)
{
	int64_t tokens = entry->given_tokens - totals->taken_tokens;

	if (tokens <= 0)
		return 0;
	totals->taken_tokens = entry->given_tokens;
	return tokens;
}

/* @return by how much the total has risen */
static int64_t raise_to(int64_t *total, int64_t value)
{
	int64_t risen = value - *total;

	if (risen <= 0)
		return 0;
	*total = value;
	return risen;
}

struct team_account_usage transfer_totals_collect(
	struct transfer_totals *totals, const struct transfer_entry *entry)
{
	struct team_account_usage *in = &totals->in;
	struct team_account_usage usage = {
		.settled_tokens =
			raise_to(&in->settled_tokens, entry->settled_tokens),
		.demanded_tokens =
			raise_to(&in->demanded_tokens, entry->demanded_tokens),
		.requests = raise_to(&in->requests, entry->requests),
	};

	return usage;
}

void transfer_totals_acknowledge(struct transfer_totals *totals,
				 const struct transfer_entry *entry)
{
	if (entry->taken_tokens <= totals->given_tokens)
		raise_to(&totals->acknowledged_tokens, entry->taken_tokens);
}

int64_t transfer_totals_revoke(struct transfer_totals *totals,
			       const struct transfer_entry *entry)
{
	int64_t tokens = totals->given_tokens - entry->taken_tokens;

	if (tokens <= 0)
		return 0;
	totals->given_tokens = entry->taken_tokens;
	return tokens;
}

void transfer_totals_end_loan(struct transfer_totals *totals,
			      const struct transfer_entry *entry,
			      int64_t now_us)
{
	totals->loan_asked_us = 0;
	totals->lender_known = true;
	totals->lender_held_tokens = entry->held_tokens;
	if (!entry->none_available) {
		totals->none_lent_for_us = 0;
		return;
	}
	totals->none_lent_for_us *= 2;
	if (totals->none_lent_for_us < NONE_LENT_MIN_US)
		totals->none_lent_for_us = NONE_LENT_MIN_US;
	if (totals->none_lent_for_us > NONE_LENT_MAX_US)
		totals->none_lent_for_us = NONE_LENT_MAX_US;
	totals->none_lent_until_us = now_us + totals->none_lent_for_us;
}

bool transfer_totals_is_unacknowledged(const struct transfer_totals *totals)
{
	return totals->acknowledged_tokens < totals->given_tokens;
}
