#include "coordination/budget_relay.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/text.h"
#include "coordination/budget_transfer.h"
#include "coordination/team_budget_caps.h"
#include "coordination/team_budget_key.h"

/* Interval of reports to the relay. */
#define REPORT_INTERVAL_US (500 * TGW_US_PER_MS)
/* Minimum time between two reports of lacking tokens. */
#define REQUEST_INTERVAL_US (20 * TGW_US_PER_MS)
/* A report without a reply is sent again after this. */
#define RESEND_US (50 * TGW_US_PER_MS)
/* Without any reply, the next host is asked after this: within the time that a
 * request waits for tokens. */
#define SILENCE_US (150 * TGW_US_PER_MS)
/* A host that did not reply is not asked again for this time, which doubles up
 * to the maximum. */
#define SUSPECT_MIN_US (1 * TGW_US_PER_S)
#define SUSPECT_MAX_US (16 * TGW_US_PER_S)
/* A host that stops gets no reports for this time. */
#define LEAVING_US (20 * TGW_US_PER_S)
/* A host that does not reach the store is asked again after this. */
#define PROBE_INTERVAL_US (1 * TGW_US_PER_S)
/* Until the hosts are known, a starting host waits this long for them before it
 * uses the store by itself. */
#define DISCOVERY_US (4 * TGW_US_PER_S)
/* What a silent host holds counts no longer after this. */
#define HELD_TIMEOUT_US (5 * TGW_US_PER_S)
/* A link to a process that was replaced is freed after this. */
#define REPLACED_TIMEOUT_US (600 * TGW_US_PER_S)
/* A stopping host waits this long until its relay has received its tokens. */
#define HAND_OVER_US (600 * TGW_US_PER_MS)

static int64_t now_of(const struct budget_relay *relay)
{
	return team_budget_now_us(relay->budgets);
}

void budget_relay_init(struct budget_relay *relay, struct team_budget *budgets,
		       uint64_t incarnation)
{
	const struct team_budget_settings *settings = &budgets->settings;

	memset(relay, 0, sizeof(*relay));
	relay->budgets = budgets;
	relay->peer = settings->peer;
	relay->incarnation = incarnation;
	text_copy(relay->host, sizeof(relay->host), settings->host);
	text_copy(relay->failure_domain, sizeof(relay->failure_domain),
		  settings->failure_domain);
}

void budget_relay_clear(struct budget_relay *relay)
{
	while (relay->links) {
		struct transfer_link *link = relay->links;

		relay->links = link->next;
		transfer_link_free(link);
	}
}

/* The choice of the relay. */

static void report_change(const struct budget_relay *relay, const char *reason)
{
	const struct team_budget_events *events = &relay->budgets->events;

	if (events->relay_changed)
		events->relay_changed(
			events->arg, relay->current ? relay->current->host : "",
			reason);
}

static bool answers(const struct budget_relay *relay,
		    const struct budget_relay_candidate *candidate)
{
	return candidate->is_self ||
	       now_of(relay) >= candidate->suspect_until_us;
}

static bool reaches_store(const struct budget_relay *relay,
			  const struct budget_relay_candidate *candidate)
{
	if (candidate->is_self)
		return !relay->budgets->store_unreachable;
	return !candidate->store_unreachable;
}

/* While nobody reaches the store, the hosts of the failure domain share what
 * they hold. */
static const struct budget_relay_candidate *best_candidate(
	const struct budget_relay *relay)
{
	const struct budget_relay_candidate *first = NULL;

	for (size_t i = 0; i < relay->candidate_count; i++) {
		const struct budget_relay_candidate *candidate =
			&relay->candidates[i];

		if (!answers(relay, candidate))
			continue;
		if (reaches_store(relay, candidate))
			return candidate;
		if (!first && !candidate->is_elsewhere)
			first = candidate;
	}
	return first;
}

static struct budget_relay_candidate *find_candidate(struct budget_relay *relay,
						     const char *host)
{
	for (size_t i = 0; i < relay->candidate_count; i++)
		if (!strcmp(relay->candidates[i].host, host))
			return &relay->candidates[i];
	return NULL;
}

/* @return the candidate that is in use, to be changed */
static struct budget_relay_candidate *current_of(struct budget_relay *relay)
{
	return find_candidate(relay, relay->current->host);
}

/* What the host holds as a relay is for the new one. */
static void become_member(struct budget_relay *relay)
{
	relay->member_since_us = now_of(relay);
	team_budget_caps_request(relay->budgets);
}

static void choose(struct budget_relay *relay, const char *reason)
{
	const struct budget_relay_candidate *previous = relay->current;

	relay->current = best_candidate(relay);
	if (relay->current == previous)
		return;
	relay->budgets->counters.relay_changes++;
	relay->chosen_us = now_of(relay);
	/* A report that it got when it was the relay before tells nothing. */
	if (relay->current)
		current_of(relay)->asked_us = 0;
	report_change(relay, reason);
	if (budget_relay_uses_store(relay))
		relay->member_since_us = 0;
	else if (!relay->member_since_us)
		become_member(relay);
	relay->requested = true;
	team_budget_wake(relay->budgets);
}

static void fill_candidate(struct budget_relay *relay,
			   struct budget_relay_candidate *candidate,
			   const char *host)
{
	const struct budget_relay_candidate *known =
		find_candidate(relay, host);

	memset(candidate, 0, sizeof(*candidate));
	if (known)
		*candidate = *known;
	text_copy(candidate->host, sizeof(candidate->host), host);
	candidate->is_self = !strcmp(host, relay->host);
}

/* Names the first relay of each other failure domain, once. Each domain begins
 * at another one, so that not all ask the same. */
static size_t rank_others(const struct budget_relay *relay,
			  const struct peer_host *hosts, size_t count,
			  const struct peer_host **others)
{
	uint64_t hash =
		XXH64(relay->failure_domain, strlen(relay->failure_domain), 0);
	size_t start = count ? hash % count : 0;
	size_t found = 0;

	for (size_t i = 0; i < count && found < BUDGET_RELAY_OTHERS; i++) {
		const char *domain = hosts[(start + i) % count].failure_domain;

		if (!strcmp(domain, relay->failure_domain) ||
		    (found && !strcmp(domain, others[0]->failure_domain)))
			continue;
		found +=
			peer_host_rank(hosts, count, domain, &others[found], 1);
	}
	return found;
}

void budget_relay_set_hosts(struct budget_relay *relay,
			    const struct peer_host *hosts, size_t count)
{
	const struct peer_host
		*ranked[BUDGET_RELAY_CANDIDATES + BUDGET_RELAY_OTHERS];
	struct budget_relay_candidate
		candidates[BUDGET_RELAY_CANDIDATES + BUDGET_RELAY_OTHERS];
	size_t own_count = peer_host_rank(hosts, count, relay->failure_domain,
					  ranked, BUDGET_RELAY_CANDIDATES);
	size_t ranked_count = own_count + rank_others(relay, hosts, count,
						      &ranked[own_count]);
	char current[TGW_NAME_SIZE] = "";

	if (relay->current)
		text_copy(current, sizeof(current), relay->current->host);
	for (size_t i = 0; i < ranked_count; i++) {
		fill_candidate(relay, &candidates[i], ranked[i]->name);
		candidates[i].is_elsewhere = i >= own_count;
	}
	memcpy(relay->candidates, candidates,
	       ranked_count * sizeof(candidates[0]));
	relay->candidate_count = ranked_count;
	relay->hosts_known = true;
	budget_lending_set_hosts(relay, hosts, count);
	relay->current = *current ? find_candidate(relay, current) : NULL;
	choose(relay, "the list of hosts changed");
}

bool budget_relay_uses_store(const struct budget_relay *relay)
{
	if (!relay->peer)
		return true;
	if (!relay->hosts_known)
		return now_of(relay) - relay->budgets->started_us >=
		       DISCOVERY_US;
	return !relay->current || relay->current->is_self;
}

static void suspect(struct budget_relay *relay,
		    struct budget_relay_candidate *candidate, int64_t for_us,
		    const char *reason)
{
	candidate->asked_us = 0;
	candidate->suspect_for_us = for_us;
	candidate->suspect_until_us = now_of(relay) + for_us;
	choose(relay, reason);
}

static void suspect_silent(struct budget_relay *relay,
			   struct budget_relay_candidate *candidate)
{
	int64_t for_us = candidate->suspect_for_us * 2;

	if (for_us < SUSPECT_MIN_US)
		for_us = SUSPECT_MIN_US;
	if (for_us > SUSPECT_MAX_US)
		for_us = SUSPECT_MAX_US;
	suspect(relay, candidate, for_us, "the relay does not answer");
}

/* Messages. */

void budget_relay_on_message(struct budget_relay *relay,
			     const struct tgw_peer_message *message)
{
	struct budget_relay_candidate *candidate;
	struct transfer_link *link;
	bool to_relay;

	link = budget_transfer_receive(relay, message, &to_relay);
	if (!link)
		return;
	candidate = find_candidate(relay, message->from_host);
	if (candidate)
		candidate->store_unreachable = link->store_unreachable;
	if (to_relay) {
		if (link->store_unreachable)
			choose(relay, "the relay has lost the store");
		budget_transfer_serve(relay, link);
		budget_transfer_reply(relay, link, true);
		team_budget_wake(relay->budgets);
		return;
	}
	budget_lending_on_reply(relay, link);
	if (!candidate)
		return;
	candidate->asked_us = 0;
	if (link->leaving) {
		suspect(relay, candidate, LEAVING_US, "the relay stops");
	} else {
		candidate->suspect_for_us = 0;
		candidate->suspect_until_us = 0;
		choose(relay, "the relay answers");
	}
	team_budget_notify_changed(relay->budgets);
}

bool budget_relay_may_be_self(const struct budget_relay *relay)
{
	if (budget_relay_uses_store(relay))
		return false;
	for (size_t i = 0; i < relay->candidate_count; i++)
		if (relay->candidates[i].is_self)
			return true;
	return false;
}

void budget_relay_on_store_change(struct budget_relay *relay)
{
	if (relay->hosts_known)
		choose(relay, relay->budgets->store_unreachable
				      ? "this host has lost the store"
				      : "this host reaches the store again");
}

void budget_relay_request(struct budget_relay *relay)
{
	relay->requested = true;
	team_budget_wake(relay->budgets);
}

void budget_relay_serve(struct budget_relay *relay)
{
	for (struct transfer_link *link = relay->links; link;
	     link = link->next) {
		if (link->ended)
			continue;
		budget_transfer_serve(relay, link);
		budget_transfer_reply(relay, link, false);
	}
}

static void report(struct budget_relay *relay,
		   struct budget_relay_candidate *candidate)
{
	int64_t now = now_of(relay);

	relay->requested = false;
	candidate->sent_us = now;
	if (!candidate->asked_us)
		candidate->asked_us = now;
	budget_transfer_report(relay, candidate->host,
			       relay->hand_over_since_us != 0);
}

static int64_t report_due_us(const struct budget_relay *relay,
			     const struct budget_relay_candidate *candidate)
{
	if (relay->requested)
		return candidate->sent_us + REQUEST_INTERVAL_US;
	if (candidate->asked_us)
		return candidate->sent_us + RESEND_US;
	return candidate->sent_us + REPORT_INTERVAL_US;
}

/* Asks the hosts that had lost the store whether they reach it again, those
 * only that would then be better than the current one. */
static void probe_candidates(struct budget_relay *relay)
{
	const struct budget_relay_candidate *current = relay->current;
	int64_t now = now_of(relay);

	for (size_t i = 0; i < relay->candidate_count; i++) {
		struct budget_relay_candidate *candidate =
			&relay->candidates[i];

		if (candidate == current) {
			if (reaches_store(relay, current))
				return;
			continue;
		}
		if (candidate->is_self || !candidate->store_unreachable ||
		    now - candidate->probed_us < PROBE_INTERVAL_US)
			continue;
		candidate->probed_us = now;
		budget_transfer_probe(relay, candidate->host);
	}
}

static void forget_silent(struct budget_relay *relay)
{
	int64_t now = now_of(relay);

	for (struct transfer_link *link = relay->links; link;
	     link = link->next) {
		if (link->ended || now - link->heard_us < HELD_TIMEOUT_US)
			continue;
		budget_transfer_release_held(relay, link);
		if (now - link->heard_us >= REPLACED_TIMEOUT_US &&
		    budget_transfer_find(relay, link->host) != link)
			transfer_link_end(link);
	}
}

int64_t budget_relay_tick(struct budget_relay *relay)
{
	int64_t now = now_of(relay);
	struct budget_relay_candidate *candidate;

	if (!relay->peer || !relay->hosts_known)
		return INT64_MAX;
	forget_silent(relay);
	choose(relay, "an earlier relay is tried again");
	probe_candidates(relay);
	if (budget_relay_uses_store(relay))
		return INT64_MAX;
	candidate = current_of(relay);
	if (candidate->asked_us && now - candidate->asked_us >= SILENCE_US) {
		suspect_silent(relay, candidate);
		if (budget_relay_uses_store(relay))
			return INT64_MAX;
		candidate = current_of(relay);
	}
	if (now >= report_due_us(relay, candidate))
		report(relay, candidate);
	return report_due_us(relay, candidate);
}

static bool holds_any(const struct budget_relay *relay)
{
	const struct team_budget *budgets = relay->budgets;

	for (uint32_t i = 0; i < budgets->key_count; i++)
		for (const struct team_account *account =
			     budgets->keys[i].accounts;
		     account; account = account->next)
			if (team_account_held(account))
				return true;
	return false;
}

bool budget_relay_hand_over(struct budget_relay *relay)
{
	int64_t now = now_of(relay);

	if (budget_relay_uses_store(relay))
		return true;
	if (!relay->hand_over_since_us) {
		relay->hand_over_since_us = now;
		budget_relay_request(relay);
	}
	if (now - relay->hand_over_since_us >= HAND_OVER_US)
		return true;
	return !relay->requested && !holds_any(relay) &&
	       !budget_transfer_is_unacknowledged(relay, relay->current->host);
}
