/* The witness's side of witnessing. */
#include "coordination/budget_witness.h"

#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "coordination/budget_allotment.h"

/* A witness closes the line of a holder that was silent for this long; it
 * closes the line of a gone holder at once. */
#define CLOSE_SILENT_AFTER_US BUDGET_S(10)
/* Interval of the scans for open lines of gone holders. */
#define GONE_SCAN_INTERVAL_US BUDGET_S(10)
/* Reserve allotments are collected for this long before a write. */
#define RESERVE_BATCH_US BUDGET_S(10)

static struct witness_line *find_record(const struct budget_bucket *bucket,
					uint64_t line_id)
{
	struct witness_line *record = bucket->witnessed;

	while (record && record->line_id != line_id)
		record = record->next;
	return record;
}

static struct witness_line *add_record(struct budget_bucket *bucket,
				       uint64_t line_id, const char *holder,
				       uint64_t holder_incarnation,
				       uint64_t epoch)
{
	struct witness_line *record = xcalloc(1, sizeof(*record));

	record->line_id = line_id;
	short_name_copy(record->holder, holder);
	record->holder_incarnation = holder_incarnation;
	record->epoch = epoch;
	record->next = bucket->witnessed;
	bucket->witnessed = record;
	return record;
}

static void delete_record(struct budget_bucket *bucket,
			  struct witness_line *record)
{
	struct witness_line **link = &bucket->witnessed;

	while (*link != record)
		link = &(*link)->next;
	*link = record->next;
	free(record->allotments);
	free(record);
}

static struct witness_allotment *find_allotment(
	const struct witness_line *record, const char *budget)
{
	for (size_t i = 0; i < record->allotment_count; i++)
		if (!strcmp(record->allotments[i].budget, budget))
			return &record->allotments[i];
	return NULL;
}

static struct witness_allotment *obtain_allotment(struct witness_line *record,
						  const char *budget)
{
	struct witness_allotment *allotment = find_allotment(record, budget);

	if (allotment)
		return allotment;
	record->allotments =
		xrealloc(record->allotments,
			 (record->allotment_count + 1) * sizeof(*allotment));
	allotment = &record->allotments[record->allotment_count++];
	memset(allotment, 0, sizeof(*allotment));
	short_name_copy(allotment->budget, budget);
	return allotment;
}

static void send_raised(struct tgw_budget_agent *agent,
			const struct budget_peer *to,
			const struct budget_message *message, bool refused)
{
	struct budget_message reply = {
		.kind = BUDGET_MESSAGE_RAISED,
		.bucket = message->bucket,
		.line = message->line,
		.epoch = message->epoch,
		.sequence = message->sequence,
		.code = refused,
	};

	budget_send(agent, to->name, &reply);
}

static void record_ceilings(struct witness_line *record,
			    const struct budget_message *message)
{
	record->sequence = message->sequence;
	for (size_t i = 0; i < message->item_count; i++) {
		struct witness_allotment *allotment =
			obtain_allotment(record, message->items[i].budget);

		allotment->ceiling_tokens = message->items[i].tokens;
		allotment->demand_tokens_per_s = message->items[i].other;
	}
}

void budget_witness_on_raise(struct tgw_budget_agent *agent,
			     struct budget_peer *from,
			     uint64_t from_incarnation,
			     const struct budget_message *message)
{
	struct budget_bucket *bucket =
		budget_bucket_obtain(agent, message->bucket);
	struct witness_line *record = find_record(bucket, message->line);

	if (agent->is_draining)
		return;
	/* Only the ledger makes this host a witness, so the ledger is read
	 * first: the line may have been closed after the message was sent. */
	if (!record || record->epoch < message->epoch) {
		budget_bucket_schedule(bucket, budget_now_us(agent));
		return;
	}
	if (record->holder_incarnation != from_incarnation ||
	    message->epoch < record->epoch)
		return;
	if (record->is_closing) {
		send_raised(agent, from, message, true);
		return;
	}
	if (message->sequence < record->sequence)
		return;
	if (message->sequence > record->sequence)
		record_ceilings(record, message);
	send_raised(agent, from, message, false);
}

/* @return whether the ledger names this process as the open line's witness */
static bool is_witnessed_here(const struct budget_bucket *bucket,
			      const struct ledger_line *line)
{
	return line->state == LEDGER_LINE_OPEN &&
	       line->witness_incarnation == bucket->agent->incarnation &&
	       !strcmp(line->witness, bucket->agent->name);
}

static bool is_presumed_dead(const struct budget_bucket *bucket,
			     const struct witness_line *record)
{
	const struct tgw_budget_agent *agent = bucket->agent;
	enum tgw_host_state state = budget_peer_state(
		agent, record->holder, record->holder_incarnation);

	if (state == TGW_HOST_GONE)
		return true;
	return state == TGW_HOST_SILENT && record->silent_since_us &&
	       budget_now_us(agent) - record->silent_since_us >=
		       CLOSE_SILENT_AFTER_US;
}

static void raise_to_recorded_ceilings(const struct ledger_bucket *draft,
				       struct ledger_line *line,
				       const struct witness_line *record)
{
	for (size_t i = 0; i < line->allotment_count; i++) {
		struct ledger_allotment *allotment = &line->allotments[i];
		const struct witness_allotment *witnessed = find_allotment(
			record, draft->budgets[allotment->budget_index].name);

		if (witnessed &&
		    witnessed->ceiling_tokens > allotment->ceiling_tokens)
			allotment->ceiling_tokens = witnessed->ceiling_tokens;
	}
}

static bool close_witnessed(struct budget_bucket *bucket, int64_t wall_us)
{
	bool changed = false;

	for (struct witness_line *record = bucket->witnessed; record;
	     record = record->next) {
		struct ledger_line *line = ledger_bucket_find_line(
			&bucket->draft, record->line_id);
		bool must_close = is_presumed_dead(bucket, record) && line &&
				  is_witnessed_here(bucket, line) &&
				  line->epoch == record->epoch;

		if (!must_close) {
			if (!bucket->write_unresolved)
				record->is_closing = false;
			continue;
		}
		record->is_closing = true;
		raise_to_recorded_ceilings(&bucket->draft, line, record);
		ledger_line_close(line, LEDGER_CLOSE_BY_WITNESS, wall_us);
		changed = true;
	}
	return changed;
}

/* No live process knows what such a line has spent, so it is charged all of its
 * allotments. */
static bool is_unwitnessed_and_gone(const struct budget_bucket *bucket,
				    const struct ledger_line *line)
{
	const struct tgw_budget_agent *agent = bucket->agent;

	if (line->state != LEDGER_LINE_OPEN ||
	    budget_peer_state(agent, line->host, line->incarnation) !=
		    TGW_HOST_GONE)
		return false;
	return !line->witness[0] ||
	       budget_peer_state(agent, line->witness,
				 line->witness_incarnation) == TGW_HOST_GONE;
}

bool budget_witness_plan_closings(struct budget_bucket *bucket, int64_t wall_us)
{
	bool changed = close_witnessed(bucket, wall_us);

	if (!budget_bucket_is_first(bucket))
		return changed;
	for (size_t i = 0; i < bucket->draft.line_count; i++) {
		struct ledger_line *line = &bucket->draft.lines[i];

		if (!is_unwitnessed_and_gone(bucket, line))
			continue;
		ledger_line_close(line, LEDGER_CLOSE_AT_ALLOTTED, wall_us);
		changed = true;
	}
	return changed;
}

static bool is_outdated(struct budget_bucket *bucket,
			const struct witness_line *record)
{
	const struct ledger_line *line =
		ledger_bucket_find_line(&bucket->ledger, record->line_id);

	return !line || line->state == LEDGER_LINE_CLOSED ||
	       line->epoch > record->epoch;
}

void budget_witness_adopt(struct budget_bucket *bucket)
{
	struct witness_line *record = bucket->witnessed;

	while (record) {
		struct witness_line *next = record->next;

		if (is_outdated(bucket, record)) {
			if (record->is_closing)
				bucket->agent->counters.write_offs++;
			delete_record(bucket, record);
		}
		record = next;
	}
	for (size_t i = 0; i < bucket->ledger.line_count; i++) {
		const struct ledger_line *line = &bucket->ledger.lines[i];

		if (is_witnessed_here(bucket, line) &&
		    !find_record(bucket, line->id))
			add_record(bucket, line->id, line->host,
				   line->incarnation, line->epoch);
	}
}

/* Adds a reserve allotment of each budget in demand, so that this second-ranked
 * host can grant if the first one dies while the store is unreachable. */
static void obtain_reserve(struct budget_bucket *bucket,
			   const struct witness_line *record)
{
	struct tgw_budget_agent *agent = bucket->agent;

	for (size_t i = 0; i < record->allotment_count; i++) {
		const struct witness_allotment *allotment =
			&record->allotments[i];
		struct holder_line *line;

		if (!allotment->demand_tokens_per_s ||
		    holder_line_find_allotment(bucket->line, allotment->budget))
			continue;
		line = holder_line_obtain(bucket);
		holder_line_obtain_allotment(line, allotment->budget);
		budget_bucket_schedule(bucket,
				       budget_now_us(agent) + RESERVE_BATCH_US);
	}
}

/* Makes the line's witness read the ledger: a holder that died early may not
 * have notified it of the line. */
static void notify_witness(struct budget_bucket *bucket,
			   const struct ledger_line *line)
{
	struct tgw_budget_agent *agent = bucket->agent;
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_RECALL,
		.bucket = bucket->index,
	};

	if (!strcmp(line->witness, agent->name))
		return;
	budget_send(agent, line->witness, &message);
	budget_bucket_schedule(bucket,
			       budget_now_us(agent) + GONE_SCAN_INTERVAL_US);
}

static void scan_gone_holders(struct budget_bucket *bucket)
{
	const struct tgw_budget_agent *agent = bucket->agent;
	int64_t now_us = budget_now_us(agent);

	if (now_us < bucket->gone_scan_due_us || bucket->failures ||
	    !budget_bucket_is_first(bucket))
		return;
	bucket->gone_scan_due_us = now_us + GONE_SCAN_INTERVAL_US;
	for (size_t i = 0; i < bucket->ledger.line_count; i++) {
		const struct ledger_line *line = &bucket->ledger.lines[i];

		if (is_unwitnessed_and_gone(bucket, line))
			budget_bucket_schedule(bucket, now_us);
		else if (line->state == LEDGER_LINE_OPEN &&
			 budget_peer_state(agent, line->host,
					   line->incarnation) == TGW_HOST_GONE)
			notify_witness(bucket, line);
	}
}

void budget_witness_watch(struct budget_bucket *bucket)
{
	struct tgw_budget_agent *agent = bucket->agent;
	int64_t now_us = budget_now_us(agent);

	for (struct witness_line *record = bucket->witnessed; record;
	     record = record->next) {
		enum tgw_host_state state = budget_peer_state(
			agent, record->holder, record->holder_incarnation);

		if (state == TGW_HOST_ALIVE || state == TGW_HOST_LEAVING)
			record->silent_since_us = 0;
		else if (!record->silent_since_us)
			record->silent_since_us = now_us;
		if (is_presumed_dead(bucket, record) && !bucket->failures)
			budget_bucket_schedule(bucket, now_us);
		else if (!agent->is_draining)
			obtain_reserve(bucket, record);
	}
	scan_gone_holders(bucket);
}

void budget_witness_free_all(struct budget_bucket *bucket)
{
	while (bucket->witnessed)
		delete_record(bucket, bucket->witnessed);
}
