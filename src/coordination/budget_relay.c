#include "coordination/budget_relay.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/short_name.h"
#include "coordination/budget_relay_private.h"
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
/* A host that is not known to reach the store is asked again after this. */
#define PROBE_INTERVAL_US (1 * TGW_US_PER_S)
/* A host that others use, or may use, calls the store if its last call is older
 * than this. */
#define BELIEF_MAX_AGE_US (2 * TGW_US_PER_S)
/* A host leaves the pools once others have been its relay for this time. */
#define LEAVE_AFTER_US (5 * TGW_US_PER_S)
/* Minimum time between two messages to all that this host has lost the store,
 * or reaches it again. */
#define TELL_INTERVAL_US (100 * TGW_US_PER_MS)
/* Until the hosts are known, a starting host waits this long for them before it
 * uses the store by itself. */
#define DISCOVERY_US (4 * TGW_US_PER_S)
/* What a silent host holds counts no longer after this. */
#define HELD_TIMEOUT_US (5 * TGW_US_PER_S)
/* A link to a process that was replaced is freed after this. */
#define REPLACED_TIMEOUT_US (600 * TGW_US_PER_S)
/* A stopping host waits this long until its relay has received its tokens. */
#define HAND_OVER_US (600 * TGW_US_PER_MS)

void budget_relay_init(struct budget_relay *relay, struct team_budget *budgets,
		       uint64_t incarnation)
{
	const struct team_budget_settings *settings = &budgets->settings;

	memset(relay, 0, sizeof(*relay));
	relay->budgets = budgets;
	relay->peer = settings->peer;
	relay->incarnation = incarnation;
	short_name_copy(relay->host, settings->host);
	short_name_copy(relay->failure_domain, settings->failure_domain);
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

static void fill_candidate(struct budget_relay *relay,
			   struct budget_relay_candidate *candidate,
			   const char *host)
{
	const struct budget_relay_candidate *known =
		budget_relay_find_candidate(relay, host);

	memset(candidate, 0, sizeof(*candidate));
	if (known)
		*candidate = *known;
	short_name_copy(candidate->host, host);
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
		short_name_copy(current, relay->current->host);
	for (size_t i = 0; i < ranked_count; i++) {
		fill_candidate(relay, &candidates[i], ranked[i]->name);
		candidates[i].is_elsewhere = i >= own_count;
	}
	memcpy(relay->candidates, candidates,
	       ranked_count * sizeof(candidates[0]));
	relay->candidate_count = ranked_count;
	relay->hosts_known = true;
	budget_lending_set_hosts(relay, hosts, count);
	relay->current = *current ? budget_relay_find_candidate(relay, current)
				  : NULL;
	budget_relay_choose(relay, "the list of hosts changed");
}

bool budget_relay_uses_store(const struct budget_relay *relay)
{
	if (!relay->peer)
		return true;
	if (!relay->hosts_known)
		return budget_relay_now_us(relay) -
			       relay->budgets->started_us >=
		       DISCOVERY_US;
	return !relay->current || relay->current->is_self;
}

static void suspect(const struct budget_relay *relay,
		    struct budget_relay_candidate *candidate, int64_t for_us)
{
	candidate->asked_us = 0;
	candidate->suspect_for_us = for_us;
	candidate->suspect_until_us = budget_relay_now_us(relay) + for_us;
}

/* The time doubles also if it has answered meanwhile, but not for long. */
static void suspect_silent(const struct budget_relay *relay,
			   struct budget_relay_candidate *candidate)
{
	int64_t for_us = candidate->suspect_for_us * 2;

	if (budget_relay_now_us(relay) - candidate->suspect_until_us >=
		    SUSPECT_MAX_US ||
	    for_us < SUSPECT_MIN_US)
		for_us = SUSPECT_MIN_US;
	if (for_us > SUSPECT_MAX_US)
		for_us = SUSPECT_MAX_US;
	suspect(relay, candidate, for_us);
}

/* Messages. */

static void note_told(const struct budget_relay *relay,
		      struct budget_relay_candidate *candidate,
		      const struct transfer_link *link)
{
	candidate->store_unreachable = link->store_unreachable;
	candidate->told_us = budget_relay_now_us(relay);
}

static void on_report(struct budget_relay *relay, struct transfer_link *link,
		      int64_t heard_before_us)
{
	relay->reported_to_us = budget_relay_now_us(relay);
	/* Its own relay may have lost the store. */
	if (relay->reported_to_us - heard_before_us >= BELIEF_MAX_AGE_US)
		relay->check_us = relay->reported_to_us;
	budget_transfer_serve(relay, link);
	budget_transfer_reply(relay, link, true);
	team_budget_wake(relay->budgets);
}

/* Two hosts that use each other would get no tokens from the store. The one
 * whose name is first turns to another one, which may be itself. */
static void end_mutual_use(struct budget_relay *relay,
			   struct budget_relay_candidate *candidate,
			   const struct transfer_link *link)
{
	if (candidate != relay->current ||
	    !budget_transfer_is_used_by(relay, link) ||
	    budget_relay_now_us(relay) - relay->chosen_us < SILENCE_US ||
	    strcmp(relay->host, candidate->host) > 0)
		return;
	suspect_silent(relay, candidate);
	budget_relay_choose(relay, "the relay uses this host");
}

void budget_relay_on_message(struct budget_relay *relay,
			     const struct tgw_peer_message *message)
{
	struct budget_relay_candidate *candidate;
	struct transfer_link *link =
		budget_transfer_find(relay, message->from_host);
	int64_t heard_before_us = link ? link->heard_us : 0;
	bool to_relay;

	link = budget_transfer_receive(relay, message, &to_relay);
	if (!link)
		return;
	candidate = budget_relay_find_candidate(relay, message->from_host);
	if (candidate)
		note_told(relay, candidate, link);
	if (to_relay)
		on_report(relay, link, heard_before_us);
	else
		budget_lending_on_reply(relay, link);
	if (!candidate)
		return;
	if (to_relay && !link->borrows)
		end_mutual_use(relay, candidate, link);
	else if (!to_relay)
		candidate->asked_us = 0;
	if (!to_relay && link->leaving)
		suspect(relay, candidate, LEAVING_US);
	budget_relay_choose(relay, link->leaving ? "the relay stops"
				   : link->store_unreachable
					   ? "the relay has lost the store"
					   : "another host ranks higher");
	if (!to_relay)
		team_budget_notify_changed(relay->budgets);
}

/* @return whether this host could be used instead of the relay */
static bool would_replace(const struct budget_relay *relay)
{
	for (size_t i = 0; i < relay->candidate_count; i++) {
		const struct budget_relay_candidate *candidate =
			&relay->candidates[i];

		if (candidate->is_self)
			return true;
		if (candidate == relay->current &&
		    budget_relay_candidate_reaches_store(relay, candidate))
			return false;
	}
	return false;
}

bool budget_relay_reaches_store(const struct budget_relay *relay)
{
	const struct store_belief *belief = &relay->budgets->store_belief;
	bool is_relay = relay->current && relay->current->is_self;

	return store_belief_reaches(belief, budget_relay_now_us(relay)) &&
	       (is_relay || belief->known_us >= relay->doubted_us);
}

bool budget_relay_needs_belief(const struct budget_relay *relay)
{
	const struct store_belief *belief = &relay->budgets->store_belief;
	int64_t max_age_us = BELIEF_MAX_AGE_US;
	bool is_asked;

	if (!relay->peer || !relay->current)
		return false;
	is_asked = relay->reported_to_us &&
		   budget_relay_now_us(relay) - relay->reported_to_us <
			   BELIEF_MAX_AGE_US;
	if (!relay->current->is_self && would_replace(relay))
		max_age_us = PROBE_INTERVAL_US;
	else if (!relay->current->is_self && !is_asked)
		return false;
	return belief->known_us < relay->doubted_us ||
	       belief->known_us < relay->check_us ||
	       budget_relay_now_us(relay) - belief->known_us >= max_age_us;
}

bool budget_relay_is_settled(const struct budget_relay *relay)
{
	return relay->member_since_us &&
	       budget_relay_now_us(relay) - relay->member_since_us >=
		       LEAVE_AFTER_US;
}

bool budget_relay_lost_store(const struct budget_relay *relay)
{
	const struct budget_relay_candidate *current = relay->current;

	return current && !current->is_self && current->told_us &&
	       current->store_unreachable;
}

static void tell_others(struct budget_relay *relay)
{
	int64_t now = budget_relay_now_us(relay);

	if (relay->told_others_us &&
	    now - relay->told_others_us < TELL_INTERVAL_US)
		return;
	relay->told_others_us = now;
	for (struct transfer_link *link = relay->links; link; link = link->next)
		if (!link->ended && now - link->heard_us < BELIEF_MAX_AGE_US)
			budget_transfer_reply(relay, link, true);
}

void budget_relay_on_store_change(struct budget_relay *relay)
{
	if (!relay->peer || !relay->hosts_known)
		return;
	tell_others(relay);
	budget_relay_choose(relay,
			    relay->budgets->store_belief.unreachable
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
	int64_t now = budget_relay_now_us(relay);

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

static void probe(struct budget_relay *relay,
		  struct budget_relay_candidate *candidate)
{
	int64_t now = budget_relay_now_us(relay);

	if (now - candidate->probed_us < PROBE_INTERVAL_US)
		return;
	if (candidate->probed_us && candidate->told_us < candidate->probed_us)
		suspect_silent(relay, candidate);
	if (!budget_relay_answers(relay, candidate)) {
		candidate->probed_us = 0;
		return;
	}
	candidate->probed_us = now;
	budget_transfer_probe(relay, candidate->host);
}

/* Asks the hosts that would be better than the current one if they reached the
 * store. */
static void probe_candidates(struct budget_relay *relay)
{
	const struct budget_relay_candidate *current = relay->current;
	int64_t now = budget_relay_now_us(relay);

	for (size_t i = 0; i < relay->candidate_count; i++) {
		struct budget_relay_candidate *candidate =
			&relay->candidates[i];

		if (candidate == current &&
		    budget_relay_candidate_reaches_store(relay, current))
			return;
		if (candidate == current || candidate->is_self ||
		    !budget_relay_answers(relay, candidate))
			continue;
		if (!candidate->told_us ||
		    !budget_relay_candidate_reaches_store(relay, candidate) ||
		    now - candidate->told_us >= PROBE_INTERVAL_US)
			probe(relay, candidate);
	}
}

static void forget_silent(struct budget_relay *relay)
{
	int64_t now = budget_relay_now_us(relay);

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
	int64_t now = budget_relay_now_us(relay);
	struct budget_relay_candidate *candidate;

	if (!relay->peer || !relay->hosts_known)
		return INT64_MAX;
	forget_silent(relay);
	budget_relay_choose(relay, "another host has been better for a while");
	probe_candidates(relay);
	if (budget_relay_uses_store(relay))
		return INT64_MAX;
	candidate = budget_relay_current(relay);
	if (candidate->asked_us && now - candidate->asked_us >= SILENCE_US) {
		suspect_silent(relay, candidate);
		budget_relay_choose(relay, "the relay does not answer");
		if (budget_relay_uses_store(relay))
			return INT64_MAX;
		candidate = budget_relay_current(relay);
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
	int64_t now = budget_relay_now_us(relay);

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
