#include "coordination/budget_transfer.h"

#include <string.h>

#include "coordination/budget_transfer_private.h"
#include "coordination/team_budget_caps.h"
#include "coordination/team_budget_key.h"
#include "state/team_account_cap.h"
#include "state/team_account_transfer.h"

/* A host holds the demand of this time while the relay is asked for more. */
#define HOLD_S 0.5
/* It asks ahead of need when it holds less than this fraction of that, and
 * gives back what exceeds this multiple. */
#define REFILL_DIVISOR 2
#define SURPLUS_MULTIPLE 3
/* An entry is repeated in so many messages after a change. */
#define REPEATS 3
/* Minimum time before a reply that was not asked for repeats an entry. Messages
 * give rise to such replies: without it, hosts that have not received each
 * other's tokens answer each other's messages without an end. */
#define REPEAT_INTERVAL_US (50 * TGW_US_PER_MS)
/* A host that has reported is taken to use this one for this time. */
#define USED_FOR_US (1 * TGW_US_PER_S)
/* A loan is acknowledged in so many messages. */
#define LOAN_REPEATS 2
/* A host that sent no report for this time has chosen this one as its relay
 * anew. What it reports at first is from a time without a relay. */
#define REPORT_GAP_US (2 * TGW_US_PER_S)
#define FIRST_REPORT_US (1 * TGW_US_PER_S)

struct transfer_link *budget_transfer_find(const struct budget_relay *relay,
					   const char *host)
{
	struct transfer_link *newest = NULL;

	for (struct transfer_link *link = relay->links; link; link = link->next)
		if (!link->ended && !strcmp(link->host, host) &&
		    (!newest || link->heard_us > newest->heard_us))
			newest = link;
	return newest;
}

bool budget_transfer_is_used_by(const struct budget_relay *relay,
				const struct transfer_link *link)
{
	return link->reported_us &&
	       budget_transfer_now_us(relay) - link->reported_us < USED_FOR_US;
}

bool budget_transfer_is_unacknowledged(const struct budget_relay *relay,
				       const char *host)
{
	const struct transfer_link *link = budget_transfer_find(relay, host);
	const struct transfer_totals *totals = link ? link->totals : NULL;

	for (; totals; totals = totals->next)
		if (transfer_totals_is_unacknowledged(totals))
			return true;
	return false;
}

void budget_transfer_give(struct budget_relay *relay,
			  struct team_account *account,
			  struct transfer_totals *totals, int64_t tokens)
{
	team_account_give(account, tokens);
	relay->budgets->counters.given_tokens += (uint64_t)tokens;
	totals->given_tokens += tokens;
	totals->repeats = REPEATS;
}

/* Sending. */

/* @return whether the relay is in another failure domain */
static bool is_elsewhere(const struct budget_relay *relay)
{
	return relay->current && relay->current->is_elsewhere;
}

static void fill_entry(const struct budget_relay *relay,
		       const struct team_account *account,
		       const struct transfer_totals *totals, bool is_report,
		       struct transfer_entry *entry)
{
	int64_t now = budget_transfer_now_us(relay);
	int64_t target = team_account_reserve_target(account, HOLD_S, now);
	int64_t held = team_account_held(account);

	memset(entry, 0, sizeof(*entry));
	memcpy(entry->team, account->team, sizeof(entry->team));
	entry->given_tokens = totals->given_tokens;
	entry->taken_tokens = totals->taken_tokens;
	entry->settled_tokens = totals->out.settled_tokens;
	entry->demanded_tokens = totals->out.demanded_tokens;
	entry->requests = totals->out.requests;
	/* What is held in another failure domain is not its relay's. */
	entry->held_tokens = is_report && is_elsewhere(relay) ? 0 : held;
	entry->free_tokens = max_tokens(account->free_tokens, 0);
	entry->remaining_tokens = account->remaining_tokens;
	entry->view_age_ms =
		account->viewed_us ? (now - account->viewed_us) / TGW_US_PER_MS
				   : TRANSFER_NO_VIEW;
	entry->none_available = !is_report && totals->none_available;
	if (!is_report || relay->budgets->closing)
		return;
	entry->needed_tokens = account->needed_tokens;
	entry->rank = account->needed_rank > 0 ? account->needed_rank : 0;
	entry->wanted_tokens = entry->needed_tokens;
	if (held < target / REFILL_DIVISOR || entry->needed_tokens)
		entry->wanted_tokens += max_tokens(target - held, 0);
}

static void send(struct budget_relay *relay, const char *host,
		 struct transfer_message *message)
{
	struct buffer bytes = {0};

	message->sequence = ++relay->sequence;
	transfer_message_encode(message, &bytes);
	tgw_peer_send(relay->peer, host, TGW_PEER_TRANSFER, bytes.data,
		      bytes.size);
	buffer_free(&bytes);
	message->entry_count = 0;
}

/* @param link whose totals the entries have; NULL if the process at the other
 * end is not known */
static void init_message(const struct budget_relay *relay,
			 const struct transfer_link *link, bool is_report,
			 struct transfer_message *message)
{
	const struct team_budget *budgets = relay->budgets;

	memset(message, 0, sizeof(*message));
	message->to_incarnation = link ? link->incarnation : 0;
	message->is_report = is_report;
	message->leaving = budgets->closing;
	message->store_unreachable = !budget_relay_reaches_store(relay);
}

static struct transfer_entry *next_entry(struct budget_relay *relay,
					 const char *host,
					 struct transfer_message *message)
{
	if (message->entry_count == TRANSFER_ENTRIES_MAX)
		send(relay, host, message);
	return &message->entries[message->entry_count++];
}

/* Only a relay that has said since it was chosen that it reaches the store can
 * return what it does not need. */
static bool may_get_surplus(const struct budget_relay *relay,
			    const struct transfer_link *link)
{
	return !is_elsewhere(relay) && !link->store_unreachable &&
	       !budget_transfer_is_used_by(relay, link) &&
	       link->heard_us >= relay->chosen_us;
}

bool budget_transfer_may_return(const struct budget_relay *relay)
{
	const struct transfer_link *link;

	if (!relay->current || relay->current->is_self)
		return false;
	link = budget_transfer_find(relay, relay->current->host);
	return link && may_get_surplus(relay, link);
}

static void give_surplus(struct budget_relay *relay,
			 const struct transfer_link *link,
			 struct team_account *account,
			 struct transfer_totals *totals, bool hands_over)
{
	int64_t now = budget_transfer_now_us(relay);
	int64_t target =
		hands_over ? 0
			   : team_account_reserve_target(account, HOLD_S, now);
	int64_t available = team_account_available(account, now);

	if (!hands_over && !may_get_surplus(relay, link))
		return;
	if (available > target * SURPLUS_MULTIPLE)
		budget_transfer_give(relay, account, totals,
				     available - target);
}

/* Without a link, the process at the other end is not known yet: it gets
 * nothing, and what is needed is reported without totals. */
static bool fill_report_entry(struct budget_relay *relay,
			      struct transfer_link *link,
			      struct team_account *account, bool hands_over,
			      struct transfer_entry *entry)
{
	struct transfer_totals none = {0};
	struct transfer_totals *totals = &none;
	int64_t demanded;

	if (link) {
		totals = transfer_link_totals(link, account->team);
		demanded = totals->out.demanded_tokens +
			   totals->out.settled_tokens;
		/* What it has reported itself must not return to it. */
		if (!budget_transfer_is_used_by(relay, link))
			team_account_forward(account, &totals->out);
		if (totals->out.demanded_tokens + totals->out.settled_tokens !=
		    demanded)
			totals->repeats = REPEATS;
		give_surplus(relay, link, account, totals, hands_over);
	}
	fill_entry(relay, account, totals, true, entry);
	if (!totals->repeats && !entry->wanted_tokens &&
	    !transfer_totals_is_unacknowledged(totals))
		return false;
	if (totals->repeats)
		totals->repeats--;
	return true;
}

void budget_transfer_report(struct budget_relay *relay, const char *host,
			    bool hands_over)
{
	const struct team_budget *budgets = relay->budgets;
	struct transfer_link *link = budget_transfer_find(relay, host);
	struct transfer_message message;
	bool sent_any = false;

	init_message(relay, link, true, &message);
	for (uint32_t i = 0; i < budgets->key_count; i++) {
		for (struct team_account *account = budgets->keys[i].accounts;
		     account; account = account->next) {
			struct transfer_entry entry;

			if (!fill_report_entry(relay, link, account, hands_over,
					       &entry))
				continue;
			*next_entry(relay, host, &message) = entry;
			sent_any = true;
		}
	}
	if (message.entry_count || !sent_any)
		send(relay, host, &message);
}

void budget_transfer_probe(struct budget_relay *relay, const char *host)
{
	struct transfer_message message;

	init_message(relay, budget_transfer_find(relay, host), true, &message);
	message.is_loan = true;
	send(relay, host, &message);
}

void budget_transfer_borrow(struct budget_relay *relay, const char *host,
			    struct team_account *const *accounts, size_t count)
{
	struct transfer_link *link = budget_transfer_find(relay, host);
	struct transfer_message message;

	init_message(relay, link, true, &message);
	message.is_loan = true;
	for (size_t i = 0; i < count; i++) {
		const struct team_account *account = accounts[i];
		struct transfer_totals *totals =
			transfer_link_totals(link, account->team);
		struct transfer_entry *entry =
			next_entry(relay, host, &message);

		totals->loan_asked_us = budget_transfer_now_us(relay);
		fill_entry(relay, account, totals, true, entry);
		/* The lender does not count it as its own. */
		entry->held_tokens = 0;
		entry->needed_tokens = account->borrowed_for_tokens;
		entry->wanted_tokens =
			max_tokens(entry->wanted_tokens, entry->needed_tokens);
	}
	send(relay, host, &message);
}

/* @param asked the other host has just reported */
static bool reply_has_entry(const struct transfer_link *link,
			    const struct transfer_totals *totals, bool asked,
			    int64_t now)
{
	uint32_t repeats_of_change = link->borrows ? LOAN_REPEATS : REPEATS;

	if (!totals->repeats && !transfer_totals_is_unacknowledged(totals))
		return false;
	if (totals->repeats == repeats_of_change)
		return true;
	if (asked && (totals->repeats || !link->borrows))
		return true;
	return now - totals->replied_us >= REPEAT_INTERVAL_US;
}

void budget_transfer_reply(struct budget_relay *relay,
			   struct transfer_link *link, bool always)
{
	int64_t now = budget_transfer_now_us(relay);
	struct transfer_message message;
	bool sent_any = false;

	init_message(relay, link, false, &message);
	for (struct transfer_totals *totals = link->totals; totals;
	     totals = totals->next) {
		const struct team_account *account;

		if (!reply_has_entry(link, totals, always, now))
			continue;
		account =
			team_budget_find_account(relay->budgets, totals->team);
		if (!account)
			continue;
		totals->replied_us = now;
		if (totals->repeats)
			totals->repeats--;
		fill_entry(relay, account, totals, false,
			   next_entry(relay, link->host, &message));
		sent_any = true;
	}
	if (message.entry_count || (always && !sent_any))
		send(relay, link->host, &message);
}

/* Receiving. */

static struct transfer_link *find_process(const struct budget_relay *relay,
					  uint64_t incarnation)
{
	for (struct transfer_link *link = relay->links; link; link = link->next)
		if (link->incarnation == incarnation)
			return link;
	return NULL;
}

void budget_transfer_release_held(struct budget_relay *relay,
				  struct transfer_link *link)
{
	for (struct transfer_totals *totals = link->totals; totals;
	     totals = totals->next) {
		struct team_account *account =
			team_budget_find_account(relay->budgets, totals->team);

		if (account)
			account->held_by_peers_tokens -= totals->held_tokens;
		totals->held_tokens = 0;
		totals->needed_tokens = 0;
		totals->wanted_tokens = 0;
	}
}

static struct transfer_link *obtain_link(struct budget_relay *relay,
					 const struct tgw_peer_message *message)
{
	struct transfer_link *link =
		find_process(relay, message->from_incarnation);
	struct transfer_link *earlier;

	if (link)
		return link->ended ? NULL : link;
	earlier = budget_transfer_find(relay, message->from_host);
	if (earlier)
		budget_transfer_release_held(relay, earlier);
	link = transfer_link_new(message->from_host, message->from_incarnation);
	link->next = relay->links;
	relay->links = link;
	return link;
}

static void record_report(const struct budget_relay *relay,
			  struct transfer_link *link, bool is_loan)
{
	int64_t now = budget_transfer_now_us(relay);

	link->borrows = is_loan;
	if (is_loan)
		return;
	if (!link->reported_us || now - link->reported_us > REPORT_GAP_US)
		link->relay_since_us = now;
	link->reported_us = now;
}

static bool has_reported_before(const struct budget_relay *relay,
				const struct transfer_link *link)
{
	return budget_transfer_now_us(relay) - link->relay_since_us >
	       FIRST_REPORT_US;
}

/* The sender uses this host as its relay. */
static void apply_report(const struct budget_relay *relay,
			 struct team_account *account,
			 struct transfer_totals *totals,
			 const struct transfer_entry *entry)
{
	account->held_by_peers_tokens +=
		entry->held_tokens - totals->held_tokens;
	totals->held_tokens = entry->held_tokens;
	totals->needed_tokens = entry->needed_tokens;
	totals->wanted_tokens = entry->wanted_tokens;
	totals->rank = (int32_t)entry->rank;
	totals->needed_us = budget_transfer_now_us(relay);
	if (!totals->repeats)
		totals->repeats = 1;
}

/* The sender is the relay of this host, or a lender. */
static void apply_reply(const struct budget_relay *relay,
			struct team_account *account,
			struct transfer_totals *totals,
			const struct transfer_entry *entry)
{
	int64_t now = budget_transfer_now_us(relay);
	int64_t viewed_us = now - entry->view_age_ms * TGW_US_PER_MS;

	if (entry->view_age_ms != TRANSFER_NO_VIEW &&
	    viewed_us > account->viewed_us)
		team_account_view(account, entry->free_tokens,
				  entry->remaining_tokens, viewed_us);
	if (totals->loan_asked_us)
		transfer_totals_end_loan(totals, entry, now);
	else
		account->none_available_us = entry->none_available ? now : 0;
}

static void apply_entry(struct budget_relay *relay, struct transfer_link *link,
			const struct transfer_message *message,
			const struct transfer_entry *entry)
{
	struct team_account *account =
		team_budget_find_account(relay->budgets, entry->team);
	struct transfer_totals *totals;
	struct team_account_usage usage;
	int64_t taken;

	/* Until this host knows the team, what it is given stays
	 * unacknowledged, and is offered again. */
	if (!account)
		return;
	totals = transfer_link_totals(link, entry->team);
	/* A process that stops takes nothing more, and its messages say so. */
	if (message->to_incarnation && !relay->budgets->closing) {
		taken = transfer_totals_take(totals, entry);
		team_account_receive(account, taken);
		relay->budgets->counters.received_tokens += (uint64_t)taken;
		if (taken)
			totals->repeats = totals->loan_asked_us ? LOAN_REPEATS
								: REPEATS;
	}
	usage = transfer_totals_collect(totals, entry);
	team_account_collect(account, &usage, has_reported_before(relay, link),
			     budget_transfer_now_us(relay));
	transfer_totals_acknowledge(totals, entry);
	if (message->leaving)
		team_account_take_back(account,
				       transfer_totals_revoke(totals, entry));
	if (message->sequence <= totals->sequence)
		return;
	totals->sequence = message->sequence;
	if (message->is_report)
		apply_report(relay, account, totals, entry);
	else
		apply_reply(relay, account, totals, entry);
}

struct transfer_link *budget_transfer_receive(
	struct budget_relay *relay, const struct tgw_peer_message *message,
	bool *to_relay)
{
	struct transfer_message transfer;
	struct transfer_link *link;

	if (transfer_message_decode(&transfer, message->payload,
				    message->payload_size, NULL) != TGW_OK)
		return NULL;
	/* The message was for an earlier process of this host. */
	if (transfer.to_incarnation &&
	    transfer.to_incarnation != relay->incarnation)
		return NULL;
	link = obtain_link(relay, message);
	if (!link)
		return NULL;
	link->heard_us = budget_transfer_now_us(relay);
	if (transfer.sequence > link->sequence) {
		link->sequence = transfer.sequence;
		link->leaving = transfer.leaving;
		link->store_unreachable = transfer.store_unreachable;
	}
	/* A message without entries only asks for a reply. */
	if (transfer.is_report && transfer.entry_count)
		record_report(relay, link, transfer.is_loan);
	for (size_t i = 0; i < transfer.entry_count; i++)
		apply_entry(relay, link, &transfer, &transfer.entries[i]);
	*to_relay = transfer.is_report;
	return link;
}
