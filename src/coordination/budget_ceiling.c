/* The holder's side of witnessing: chooses witnesses and raises ceilings. */
#include <string.h>

#include "base/short_name.h"
#include "coordination/budget_allotment.h"
#include "coordination/budget_witness.h"

/* A RAISE without a reply is sent again after the minimum interval, which then
 * grows up to the maximum. */
#define RAISE_RETRY_MIN_US BUDGET_MS(100)
#define RAISE_RETRY_MAX_US BUDGET_S(2)
/* Ceilings that no request waits for are raised together, at this interval. */
#define RAISE_INTERVAL_US BUDGET_MS(500)
/* If the witness does not reply within this time, the ceiling is raised in the
 * ledger instead. */
#define RAISE_BYPASS_US BUDGET_MS(250)
/* The ceiling of an allotment that was idle for this long may be lowered. */
#define LOWER_AFTER_IDLE_US BUDGET_S(1)
/* Delay before an unneeded ceiling in the ledger is removed. */
#define CEILING_REMOVAL_DELAY_US BUDGET_S(10)

static const struct tgw_host *find_candidate(const struct budget_bucket *bucket)
{
	const struct tgw_budget_agent *agent = bucket->agent;

	for (size_t i = 0; i < bucket->rank_count; i++)
		if (bucket->ranked[i] != agent->self)
			return tgw_host_view_find(agent->view,
						  bucket->ranked[i]->name);
	return NULL;
}

/* Until it is known whether a write that changes the witness has taken effect,
 * the acknowledgements of neither witness count: the ceiling is the lowest of
 * those in the writes that may take effect. */
static void begin_witness_change(struct holder_line *line)
{
	if (!line->is_changing_witness)
		for (size_t i = 0; i < line->allotment_count; i++)
			line->allotments[i]->transition_ceiling_tokens =
				LEDGER_TOKENS_MAX;
	line->is_changing_witness = true;
}

bool budget_witness_choose(struct budget_bucket *bucket,
			   struct ledger_line *line)
{
	const struct tgw_host *candidate = find_candidate(bucket);

	if (line->witness[0] &&
	    budget_peer_state(bucket->agent, line->witness,
			      line->witness_incarnation) == TGW_HOST_ALIVE)
		return false;
	if (!candidate && line->epoch && !line->witness[0])
		return false;
	if (candidate && !candidate->incarnation)
		candidate = NULL;
	if (!candidate && line->epoch && !line->witness[0])
		return false;
	memset(line->witness, 0, sizeof(line->witness));
	line->witness_incarnation = 0;
	if (candidate) {
		short_name_copy(line->witness, candidate->name);
		line->witness_incarnation = candidate->incarnation;
	}
	line->epoch++;
	begin_witness_change(bucket->line);
	return true;
}

bool budget_witness_needs_change(const struct budget_bucket *bucket)
{
	const struct holder_line *line = bucket->line;
	const struct tgw_host *candidate;

	if (!line || !line->is_in_ledger)
		return false;
	if (line->witness[0])
		return budget_peer_state(bucket->agent, line->witness,
					 line->witness_incarnation) !=
		       TGW_HOST_ALIVE;
	candidate = find_candidate(bucket);
	return candidate && candidate->incarnation;
}

/* @return used and waiting tokens plus headroom, at most the usable tokens */
static int64_t desired_ceiling(const struct holder_allotment *allotment)
{
	int64_t desired = holder_allotment_used(allotment) +
			  holder_allotment_waiting(allotment) +
			  holder_allotment_headroom(allotment);

	return desired > allotment->usable_tokens ? allotment->usable_tokens
						  : desired;
}

static void set_desired_ceiling(struct holder_allotment *allotment,
				int64_t desired)
{
	allotment->ceiling_desired_tokens = desired;
	allotment->ceiling_is_dirty = true;
}

/* Ends the check, and schedules a write if the ledger's ceiling is higher than
 * desired. */
static void end_check(struct holder_allotment *allotment, int64_t desired)
{
	struct budget_bucket *bucket = allotment->line->bucket;

	allotment->needs_ceiling_check = false;
	if (allotment->ledger_ceiling_tokens > desired)
		budget_bucket_schedule(bucket,
				       budget_now_us(bucket->agent) +
					       CEILING_REMOVAL_DELAY_US);
}

/* @return whether a request waits for a raise that was not sent yet */
static bool check_ceiling(struct holder_allotment *allotment)
{
	int64_t now_us = budget_now_us(allotment->line->bucket->agent);
	int64_t desired = desired_ceiling(allotment);
	int64_t ceiling = holder_allotment_ceiling(allotment);
	int64_t headroom = holder_allotment_headroom(allotment);
	bool is_idle = now_us - allotment->last_change_us >=
		       LOWER_AFTER_IDLE_US;

	if (allotment->waiters && desired > ceiling) {
		if (allotment->ceiling_is_dirty &&
		    desired <= allotment->ceiling_sent_tokens)
			return false;
		set_desired_ceiling(allotment, desired);
		return true;
	}
	if (allotment->ceiling_is_dirty)
		return false;
	if (desired > ceiling &&
	    ceiling - holder_allotment_used(allotment) < headroom / 2)
		set_desired_ceiling(allotment, desired);
	/* If this host dies, unused tokens below the ceiling are written off.
	 * As long as the witness does not cover the used tokens, so are those
	 * below the ledger's ceiling. */
	else if (is_idle && (allotment->witnessed_tokens > desired ||
			     allotment->witnessed_tokens <
				     holder_allotment_used(allotment)))
		set_desired_ceiling(allotment, desired);
	else if (is_idle && !allotment->waiters)
		end_check(allotment, desired);
	return false;
}

static bool check_ceilings(struct holder_line *line, bool *any_pending)
{
	bool is_urgent = false;

	for (size_t i = 0; i < line->allotment_count; i++) {
		struct holder_allotment *allotment = line->allotments[i];

		if (allotment->needs_ceiling_check)
			is_urgent |= check_ceiling(allotment);
		*any_pending |= allotment->needs_ceiling_check ||
				allotment->ceiling_is_dirty;
	}
	return is_urgent;
}

static bool has_dirty_ceiling(const struct holder_line *line)
{
	for (size_t i = 0; i < line->allotment_count; i++)
		if (line->allotments[i]->ceiling_is_dirty)
			return true;
	return false;
}

static void send_raise(struct holder_line *line)
{
	struct tgw_budget_agent *agent = line->bucket->agent;
	int64_t now_us = budget_now_us(agent);
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_RAISE,
		.bucket = line->bucket->index,
		.line = line->id,
		.epoch = line->epoch,
		.sequence = ++line->raise_sequence,
	};

	for (size_t i = 0; i < line->allotment_count; i++) {
		struct holder_allotment *allotment = line->allotments[i];
		struct budget_message_item *item;

		if (!allotment->ceiling_is_dirty)
			continue;
		/* More may have been granted since the desired ceiling was
		 * set. */
		if (allotment->ceiling_desired_tokens <
		    holder_allotment_used(allotment))
			allotment->ceiling_desired_tokens =
				holder_allotment_used(allotment);
		allotment->ceiling_sent_tokens =
			allotment->ceiling_desired_tokens;
		allotment->ceiling_sequence = line->raise_sequence;
		/* The witness may apply a lower ceiling from now on. */
		if (allotment->witnessed_tokens >
		    allotment->ceiling_sent_tokens)
			allotment->witnessed_tokens =
				allotment->ceiling_sent_tokens;
		item = budget_message_add(&message);
		short_name_copy(item->budget, allotment->budget);
		item->tokens = allotment->ceiling_sent_tokens;
		item->other = (int64_t)demand_forecast_per_s(&allotment->demand,
							     now_us);
	}
	line->raise_sent_us = now_us;
	if (!line->raise_first_sent_us)
		line->raise_first_sent_us = now_us;
	budget_send(agent, line->witness, &message);
	budget_message_clear(&message);
}

static bool is_unacknowledged(const struct holder_line *line)
{
	return line->raise_acked != line->raise_sequence;
}

/* The retry interval equals the time from the first to the last RAISE without
 * a reply, within the minimum and the maximum. */
static int64_t retry_interval_us(const struct holder_line *line)
{
	int64_t waited_us = line->raise_sent_us - line->raise_first_sent_us;

	if (waited_us < RAISE_RETRY_MIN_US)
		return RAISE_RETRY_MIN_US;
	return waited_us < RAISE_RETRY_MAX_US ? waited_us : RAISE_RETRY_MAX_US;
}

/* Schedules a write of the ceiling to the ledger when the witness refuses or
 * does not reply. */
static void bypass_witness(struct budget_bucket *bucket)
{
	const struct holder_line *line = bucket->line;
	int64_t now_us = budget_now_us(bucket->agent);

	if (is_unacknowledged(line) && !bucket->failures &&
	    (line->raise_refused ||
	     now_us - line->raise_first_sent_us > RAISE_BYPASS_US))
		budget_bucket_schedule(bucket, now_us + RAISE_RETRY_MIN_US);
}

void budget_witness_raise(struct budget_bucket *bucket)
{
	struct holder_line *line = bucket->line;
	int64_t now_us = budget_now_us(bucket->agent);
	int64_t interval_us;
	bool is_urgent;
	bool any_pending = false;

	bucket->ceiling_due_us = BUDGET_NEVER_US;
	if (!line || !line->is_in_ledger || !line->witness[0] ||
	    line->is_changing_witness)
		return;
	bypass_witness(bucket);
	is_urgent = check_ceilings(line, &any_pending);
	if (!any_pending && !line->must_notify_witness)
		return;
	interval_us = is_unacknowledged(line) ? retry_interval_us(line)
					      : RAISE_INTERVAL_US;
	bucket->ceiling_due_us = now_us + interval_us;
	if ((has_dirty_ceiling(line) || line->must_notify_witness) &&
	    (is_urgent || now_us - line->raise_sent_us >= interval_us))
		send_raise(line);
}

void budget_witness_on_raised(struct tgw_budget_agent *agent,
			      struct budget_peer *from,
			      uint64_t from_incarnation,
			      const struct budget_message *message)
{
	struct budget_bucket *bucket =
		budget_bucket_obtain(agent, message->bucket);
	struct holder_line *line = bucket->line;

	if (!line || line->id != message->line ||
	    line->epoch != message->epoch || line->is_changing_witness ||
	    line->raise_sequence != message->sequence ||
	    line->witness_incarnation != from_incarnation ||
	    strcmp(line->witness, from->name))
		return;
	if (message->code) {
		line->raise_refused = true;
		budget_bucket_schedule(bucket, budget_now_us(agent));
		return;
	}
	line->raise_acked = line->raise_sequence;
	line->must_notify_witness = false;
	line->raise_first_sent_us = 0;
	for (size_t i = 0; i < line->allotment_count; i++) {
		struct holder_allotment *allotment = line->allotments[i];

		if (!allotment->ceiling_is_dirty ||
		    allotment->ceiling_sequence != message->sequence)
			continue;
		allotment->witnessed_tokens = allotment->ceiling_sent_tokens;
		allotment->ceiling_is_dirty =
			allotment->ceiling_desired_tokens !=
			allotment->ceiling_sent_tokens;
	}
	bucket->ceiling_due_us = budget_now_us(agent);
	budget_bucket_queue(bucket);
}
