#include "coordination/team_budget_caps.h"
#include "coordination/budget_transfer.h"
#include "state/team_account_cap.h"

/* Time between two writes of the caps. The larger of the two applies, the
 * second one multiplied by the number of hosts: the older a cap, the more of
 * the allotment it allows, but the writes of all hosts add up. */
#define INTERVAL_US (1000 * TGW_US_PER_MS)
#define INTERVAL_PER_HOST_US (45 * TGW_US_PER_MS)
/* A cap ends so long after the next one is due: time for that one, and for a
 * successor to start. */
#define PERIOD_MARGIN_US (2000 * TGW_US_PER_MS)
/* Minimum time between two writes when requests wait for a higher cap, as
 * above. */
#define MIN_INTERVAL_US (100 * TGW_US_PER_MS)
#define MIN_INTERVAL_PER_HOST_US (3 * TGW_US_PER_MS)

/* A host that holds this multiple of what a cap lets it spend at once, without
 * a cap, writes one. */
#define UNCAPPED_MULTIPLE 2
/* Only if that is more than this part of all that it holds. */
#define UNCAPPED_DIVISOR 4
/* Minimum time between a read of a key and one that returns tokens, multiplied
 * by the number of hosts. */
#define RETURN_PER_HOST_US (50 * TGW_US_PER_MS)

static void for_each_account(struct team_budget *budgets,
			     void (*run)(struct team_budget_key *key,
					 struct team_account *account,
					 void *arg),
			     void *arg)
{
	for (uint32_t i = 0; i < budgets->key_count; i++)
		for (struct team_account *account = budgets->keys[i].accounts;
		     account; account = account->next)
			run(&budgets->keys[i], account, arg);
}

static void note_call(struct team_budget *budgets, bool answered)
{
	const struct store_belief_evidence evidence = {
		.answered = answered,
		.source = STORE_BELIEF_BUDGETS,
		.began_us = budgets->cap_writer.called_us,
	};

	team_budget_note_store_call(budgets, &evidence);
}

static void on_read(void *arg)
{
	struct team_budget *budgets = arg;
	const struct cap_record *previous = &budgets->cap_writer.previous;

	note_call(budgets, true);
	budgets->recovers = previous->entry_count &&
			    previous->boot != CAP_RECORD_BOOT_UNKNOWN &&
			    previous->boot == budgets->settings.boot;

	for (uint32_t i = 0; i < budgets->key_count; i++)
		if (budgets->keys[i].scheduled)
			team_budget_key_set_due(&budgets->keys[i],
						budgets->keys[i].due_us);
}

/* A host with a relay hands on what it holds, or leaves the pools, which caps
 * would hinder. Until it does either, it may be the relay again, and what it
 * holds would be lost without caps. */
static bool keeps_caps(const struct team_budget *budgets)
{
	return team_budget_uses_store(budgets) ||
	       !(budget_transfer_may_return(&budgets->relay) ||
		 budget_relay_is_settled(&budgets->relay));
}

/* @return whether the key is read once a cap is recorded, to return what that
 * does not cover: it is lost with the process until then */
static bool returns_surplus(const struct team_budget_key *key)
{
	return key->joined &&
	       team_budget_now_us(key->budgets) - key->read_us >=
		       team_budget_key_interval_us(key, RETURN_PER_HOST_US);
}

static void end_write(struct team_budget_key *key, struct team_account *account,
		      void *arg)
{
	team_account_end_cap_write(account, *(const bool *)arg);
	if (team_account_exceeds_cap(account) && returns_surplus(key))
		team_budget_key_request_read(key);
}

static void on_ended(void *arg, bool took_effect)
{
	struct team_budget *budgets = arg;

	note_call(budgets, true);
	for_each_account(budgets, end_write, &took_effect);
	/* What no cap covers any more is handed on now. */
	if (took_effect && !keeps_caps(budgets))
		budget_relay_request(&budgets->relay);
	team_budget_notify_changed(budgets);
}

static void on_failed(void *arg, const char *call, enum tgw_status status,
		      const char *message)
{
	struct team_budget *budgets = arg;

	if (status == TGW_UNAVAILABLE || status == TGW_UNKNOWN)
		note_call(budgets, false);
	if (budgets->events.failed)
		budgets->events.failed(budgets->events.arg, call, status,
				       message);
}

void team_budget_caps_init(struct team_budget *budgets)
{
	struct cap_writer_events events = {
		.read = on_read,
		.ended = on_ended,
		.failed = on_failed,
		.arg = budgets,
	};

	cap_writer_init(&budgets->cap_writer, budgets->settings.host,
			budgets->store, budgets->clock, &events);
}

static int64_t longer_interval_us(const struct team_budget *budgets,
				  int64_t min_us, int64_t per_host_us)
{
	int64_t hosts_us = per_host_us * (1 + team_budget_other_hosts(budgets));

	return hosts_us > min_us ? hosts_us : min_us;
}

static int64_t interval_us(const struct team_budget *budgets)
{
	return longer_interval_us(budgets, INTERVAL_US, INTERVAL_PER_HOST_US);
}

static int64_t min_interval_us(const struct team_budget *budgets)
{
	return longer_interval_us(budgets, MIN_INTERVAL_US,
				  MIN_INTERVAL_PER_HOST_US);
}

static int64_t period_us(const struct team_budget *budgets)
{
	return interval_us(budgets) + PERIOD_MARGIN_US;
}

/* The demand of all accounts so far. */
struct demand {
	int64_t tokens;
	int64_t requests;
	double squares;
};

static void add_demand(struct team_budget_key *key,
		       struct team_account *account, void *arg)
{
	struct demand *demand = arg;

	demand->tokens += account->demanded_tokens;
	demand->requests += account->demanding_requests;
	demand->squares += account->demanded_squares;
}

static struct demand sum_demand(struct team_budget *budgets)
{
	struct demand demand = {0};

	for_each_account(budgets, add_demand, &demand);
	return demand;
}

/* A record of caps in the making. */
struct proposal {
	struct cap_record record;
	struct team_account_cap_inputs inputs;
};

static void propose(struct team_budget_key *key, struct team_account *account,
		    void *arg)
{
	struct proposal *proposal = arg;
	struct team_account_target target;

	if (!key->joined || !keeps_caps(key->budgets)) {
		team_account_propose_no_cap(account);
		return;
	}
	team_budget_key_decide(key, account, &target);
	proposal->inputs.returns_surplus = returns_surplus(key);
	if (team_account_propose_cap(account, &target, &proposal->inputs))
		cap_record_add(&proposal->record, account->team,
			       &account->proposed_cap);
}

static void write_record(struct team_budget *budgets, int64_t now_us)
{
	int64_t written_us = now_us / TGW_US_PER_MS * TGW_US_PER_MS;
	struct demand demand = sum_demand(budgets);
	struct proposal proposal = {
		.record = {.host_id = budgets->host_id,
			   .boot = budgets->settings.boot,
			   .written_us = written_us,
			   .period_us = period_us(budgets)},
		.inputs = {.written_us = written_us,
			   .period_us = period_us(budgets),
			   .interval_us = interval_us(budgets)},
	};

	if (demand.tokens) {
		proposal.inputs.mean_cost_tokens =
			(double)demand.tokens / (double)demand.requests;
		proposal.inputs.weighted_cost_tokens =
			demand.squares / (double)demand.tokens;
	}
	for_each_account(budgets, propose, &proposal);
	budgets->caps_requested = false;
	budgets->caps_written_us = written_us;
	budgets->caps_demanded_tokens = demand.tokens;
	budgets->counters.cap_writes++;
	cap_writer_write(&budgets->cap_writer, &proposal.record);
	cap_record_clear(&proposal.record);
}

static bool has_cap(const struct team_budget *budgets, int64_t now_us)
{
	for (uint32_t i = 0; i < budgets->key_count; i++)
		for (const struct team_account *account =
			     budgets->keys[i].accounts;
		     account; account = account->next)
			if (team_account_has_cap(account, now_us))
				return true;
	return false;
}

/* What other hosts returned here, or an account without a cap. */
static bool is_uncapped(const struct team_account *account, int64_t now_us)
{
	int64_t held = team_account_held(account);
	int64_t uncapped = account->uncovered_tokens;

	if (!account->demanded_tokens)
		return false;
	if (!team_account_has_cap(account, now_us))
		uncapped = held;
	return uncapped > UNCAPPED_MULTIPLE * account->ahead_tokens &&
	       uncapped * UNCAPPED_DIVISOR > held;
}

/* @return whether the host holds more than a cap would let it spend at once, of
 * which nothing would be returned */
static bool holds_uncapped(const struct team_budget *budgets, int64_t now_us)
{
	for (uint32_t i = 0; i < budgets->key_count; i++)
		for (const struct team_account *account =
			     budgets->keys[i].accounts;
		     account; account = account->next)
			if (budgets->keys[i].joined &&
			    is_uncapped(account, now_us))
				return true;
	return false;
}

/* Without demand nothing is spent, and the caps in force stay right. */
static bool is_due(struct team_budget *budgets, int64_t now_us)
{
	int64_t age_us = now_us - budgets->caps_written_us;

	if (budgets->closing || !cap_writer_is_idle(&budgets->cap_writer) ||
	    budgets->settings.boot == CAP_RECORD_BOOT_UNKNOWN ||
	    age_us < min_interval_us(budgets))
		return false;
	if (!keeps_caps(budgets))
		return has_cap(budgets, now_us) &&
		       !budgets->store_belief.unreachable;
	if (budgets->caps_requested || holds_uncapped(budgets, now_us))
		return true;
	return age_us >= interval_us(budgets) &&
	       sum_demand(budgets).tokens != budgets->caps_demanded_tokens;
}

void team_budget_caps_request(struct team_budget *budgets)
{
	const struct team_budget_events *events = &budgets->events;

	budgets->caps_requested = true;
	if (events->rescheduled)
		events->rescheduled(events->arg,
				    budgets->caps_written_us + MIN_INTERVAL_US);
}

void team_budget_caps_tick(struct team_budget *budgets)
{
	int64_t now_us = team_budget_now_us(budgets);

	if (is_due(budgets, now_us))
		write_record(budgets, now_us);
	cap_writer_tick(&budgets->cap_writer);
}
