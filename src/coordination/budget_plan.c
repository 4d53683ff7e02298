#include "coordination/budget_plan.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "coordination/budget_allotment.h"
#include "coordination/budget_claims.h"
#include "coordination/budget_recall.h"
#include "coordination/budget_witness.h"
#include "state/allotment_policy.h"

/* A closed line with open reservations is reconciled after this time. */
#define RECONCILE_AFTER_US BUDGET_S(600)
/* The second-ranked host holds a reserve for the first holder's demand divided
 * by this. */
#define RESERVE_DIVISOR 6.0
/* A return of at most the allotment divided by this waits for the next regular
 * write. */
#define MINOR_CHANGE_DIVISOR 8

/* A planned write, and whether and when its changes are to be written. */
struct plan {
	struct budget_bucket *bucket;
	bool write_now;	  /**< write them now */
	bool write_later; /**< write them once the flush interval is over */
};

static int64_t wall_us(const struct budget_bucket *bucket)
{
	return tgw_clock_wall_us(bucket->agent->env.clock);
}

/* Reconciles the lines of this host that were written off: the tokens that were
 * not spent are returned. */
static void plan_reconciliation(struct plan *plan)
{
	struct budget_bucket *bucket = plan->bucket;
	int64_t now_us = budget_now_us(bucket->agent);

	for (struct holder_line *own_line = bucket->closed_lines; own_line;
	     own_line = own_line->next) {
		struct ledger_line *line;

		if (own_line->is_folded ||
		    (holder_line_open_tokens(own_line) &&
		     now_us - own_line->closed_us < RECONCILE_AFTER_US))
			continue;
		line = ledger_bucket_find_line(&bucket->draft, own_line->id);
		if (!line || line->state != LEDGER_LINE_CLOSED)
			continue;
		for (size_t i = 0; i < line->allotment_count; i++) {
			struct ledger_allotment *recorded =
				&line->allotments[i];
			const struct holder_allotment *held =
				holder_line_find_allotment(
					own_line,
					bucket->draft
						.budgets[recorded->budget_index]
						.name);
			/* Withheld tokens need not be charged: no claim is
			 * possible once the line is folded. */
			int64_t used =
				held ? held->settled_tokens + held->open_tokens
				     : 0;
			int64_t taken = ledger_allotment_debit(line, recorded);

			recorded->allotted_tokens = used < taken ? used : taken;
			recorded->refund_count = 0;
		}
		ledger_bucket_fold_line(&bucket->draft, own_line->id);
		plan->write_now = true;
	}
}

/* Fills in the inputs that come from the other lines. */
static void sum_other_lines(const struct ledger_bucket *draft, uint64_t own_id,
			    uint32_t index, struct allotment_inputs *inputs)
{
	for (size_t i = 0; i < draft->line_count; i++) {
		const struct ledger_line *line = &draft->lines[i];
		const struct ledger_allotment *allotment =
			ledger_line_find_allotment(line, index);

		if (!allotment || line->id == own_id ||
		    line->state != LEDGER_LINE_OPEN)
			continue;
		inputs->others_count++;
		inputs->others_demand_per_s +=
			(double)allotment->demand_tokens_per_s;
		inputs->recalled_tokens += allotment->requested_tokens;
		if (allotment->allotted_tokens > allotment->settled_tokens)
			inputs->others_left_tokens +=
				allotment->allotted_tokens -
				allotment->settled_tokens;
	}
}

static uint32_t count_domains(const struct tgw_host_view *view)
{
	uint32_t count = 0;

	for (size_t i = 0; i < view->host_count; i++) {
		size_t earlier = 0;

		while (earlier < i &&
		       strcmp(view->hosts[earlier].failure_domain,
			      view->hosts[i].failure_domain))
			earlier++;
		if (earlier == i)
			count++;
	}
	return count;
}

static int64_t decide_allotment(const struct holder_allotment *allotment,
				uint32_t index, double demand_per_s,
				double ride_out_s)
{
	const struct budget_bucket *bucket = allotment->line->bucket;
	struct allotment_inputs inputs = {
		.free_tokens = ledger_bucket_free_tokens(&bucket->draft, index),
		.allotted_tokens = allotment->confirmed_tokens,
		.used_tokens = holder_allotment_used(allotment),
		.needed_tokens = holder_allotment_waiting(allotment),
		.recalled_tokens = allotment->recalled_tokens,
		.demand_per_s = demand_per_s,
		.ride_out_s = ride_out_s,
	};
	uint32_t domains = count_domains(bucket->agent->view);

	sum_other_lines(&bucket->draft, allotment->line->id, index, &inputs);
	inputs.domains = domains;
	if (domains > inputs.others_count + 1)
		inputs.absent_domains = domains - inputs.others_count - 1;
	if (bucket->agent->is_draining)
		return inputs.used_tokens;
	return allotment_policy_decide(&inputs);
}

/* Demand of the domain's first holder, which this host is the witness for. It
 * determines the size of the reserve. */
static double first_holder_demand(const struct budget_bucket *bucket,
				  const char *budget)
{
	const struct witness_line *witnessed = bucket->witnessed;

	for (; witnessed; witnessed = witnessed->next)
		for (size_t i = 0; i < witnessed->allotment_count; i++)
			if (!strcmp(witnessed->allotments[i].budget, budget))
				return (double)witnessed->allotments[i]
					.demand_tokens_per_s;
	return 0;
}

static int64_t target_allotment(const struct holder_allotment *allotment,
				uint32_t index)
{
	const struct tgw_budget_agent *agent = allotment->line->bucket->agent;
	double ride_out_s =
		(double)agent->env.settings.ride_out_us / (double)TGW_US_PER_S;
	double own_demand =
		demand_forecast_per_s(&allotment->demand, budget_now_us(agent));
	double reserve_demand = first_holder_demand(allotment->line->bucket,
						    allotment->budget) /
				RESERVE_DIVISOR;

	return decide_allotment(allotment, index,
				own_demand > reserve_demand ? own_demand
							    : reserve_demand,
				ride_out_s);
}

/* Whether a changed allotment is worth a write of its own. */
static bool is_worth_write(const struct holder_allotment *held, int64_t before,
			   int64_t after)
{
	int64_t used = holder_allotment_used(held);
	int64_t left = held->usable_tokens - used;

	if (before == after)
		return false;
	if (held->recalled_tokens || !before)
		return true;
	if (after > before)
		return holder_allotment_waiting(held) > left ||
		       left < held->refill_base_tokens / REFILL_DIVISOR;
	return before - after > before / MINOR_CHANGE_DIVISOR;
}

/* The ledger records a ceiling only where the witness does not cover the tokens
 * in use. */
static int64_t plan_ceiling(const struct holder_allotment *held,
			    const struct ledger_line *line)
{
	int64_t needed =
		holder_allotment_used(held) + holder_allotment_waiting(held);

	if (line->witness[0] && !held->line->is_changing_witness &&
	    held->witnessed_tokens >= needed)
		return 0;
	return needed + holder_allotment_headroom(held);
}

static void plan_allotment(struct plan *plan, struct ledger_line *line,
			   struct holder_allotment *held, uint32_t index)
{
	struct budget_bucket *bucket = plan->bucket;
	struct ledger_allotment *allotment =
		ledger_line_obtain_allotment(line, index);
	int64_t allotted = target_allotment(held, index);
	int64_t ceiling = plan_ceiling(held, line);
	int64_t wanted =
		held->must_record_wanted ? holder_allotment_waiting(held) : 0;

	if (ceiling > allotted)
		ceiling = allotted;
	if (!ceiling &&
	    allotment->ceiling_tokens > holder_allotment_used(held) +
						holder_allotment_headroom(held))
		plan->write_now = true;
	/* A lower ceiling takes effect before the write that carries it is
	 * sent. */
	if (ceiling < held->ledger_ceiling_tokens)
		held->ledger_ceiling_tokens = ceiling;
	if (held->line->is_changing_witness &&
	    ceiling < held->transition_ceiling_tokens)
		held->transition_ceiling_tokens = ceiling;
	if (is_worth_write(held, allotment->allotted_tokens, allotted))
		plan->write_now = true;
	if (wanted != allotment->requested_tokens ||
	    (held->waiters && ceiling > holder_allotment_ceiling(held) &&
	     line->witness[0]))
		plan->write_now = true;
	if (allotment->settled_tokens != held->settled_tokens ||
	    allotted != allotment->allotted_tokens)
		plan->write_later = true;
	held->recalled_tokens = 0;
	allotment->allotted_tokens = allotted;
	allotment->settled_tokens = held->settled_tokens;
	allotment->ceiling_tokens = ceiling;
	allotment->requested_tokens = wanted;
	allotment->demand_tokens_per_s = (int64_t)demand_forecast_per_s(
		&held->demand, budget_now_us(bucket->agent));
}

/* Excludes the tokens that the write returns from further grants. */
static void exclude_returns(struct budget_bucket *bucket,
			    const struct ledger_line *line)
{
	for (size_t i = 0; i < line->allotment_count; i++) {
		const struct ledger_allotment *allotment = &line->allotments[i];
		struct holder_allotment *held = holder_line_find_allotment(
			bucket->line,
			bucket->draft.budgets[allotment->budget_index].name);

		if (held && held->usable_tokens > allotment->allotted_tokens)
			held->usable_tokens = allotment->allotted_tokens;
	}
}

static bool needs_line(const struct budget_bucket *bucket)
{
	const struct holder_line *line = bucket->line;

	if (!line || line->is_in_ledger || bucket->agent->is_draining)
		return false;
	for (size_t i = 0; i < line->allotment_count; i++)
		if (ledger_bucket_find_budget(&bucket->draft,
					      line->allotments[i]->budget) >= 0)
			return true;
	return false;
}

static struct ledger_line *obtain_line(struct plan *plan)
{
	struct budget_bucket *bucket = plan->bucket;
	struct tgw_budget_agent *agent = bucket->agent;
	struct ledger_line *line =
		ledger_bucket_find_line(&bucket->draft, bucket->line->id);

	if (line)
		return line;
	if (!needs_line(bucket))
		return NULL;
	line = ledger_bucket_add_line(&bucket->draft, bucket->line->id);
	short_name_copy(line->host, agent->name);
	short_name_copy(line->domain, agent->domain);
	line->incarnation = agent->incarnation;
	plan->write_now = true;
	return line;
}

/* The last write of a planned stop: the line is charged what it has settled,
 * less its credit, and is folded. */
static void plan_final_return(struct plan *plan, struct ledger_line *line)
{
	struct budget_bucket *bucket = plan->bucket;
	struct holder_line *own_line = bucket->line;

	for (size_t i = 0; i < own_line->allotment_count; i++)
		own_line->allotments[i]->usable_tokens = 0;
	for (size_t i = 0; i < line->allotment_count; i++) {
		struct ledger_allotment *allotment = &line->allotments[i];
		const struct holder_allotment *held =
			holder_line_find_allotment(
				own_line,
				bucket->draft.budgets[allotment->budget_index]
					.name);

		allotment->allotted_tokens = allotment->settled_tokens;
		if (held)
			allotment->allotted_tokens -= held->credit_tokens;
	}
	ledger_bucket_fold_line(&bucket->draft, own_line->id);
	plan->write_now = true;
}

/* Adds an allotment of each budget in the bucket, so that one write serves the
 * whole bucket and the first request for a budget usually finds tokens. */
static void obtain_allotments(struct budget_bucket *bucket)
{
	for (size_t i = 0; i < bucket->draft.budget_count; i++)
		holder_line_obtain_allotment(bucket->line,
					     bucket->draft.budgets[i].name);
}

static void plan_own_line(struct plan *plan)
{
	struct budget_bucket *bucket = plan->bucket;
	struct holder_line *own_line = bucket->line;
	struct ledger_line *line;

	if (!own_line)
		return;
	line = obtain_line(plan);
	if (!line || line->state != LEDGER_LINE_OPEN)
		return;
	if (!bucket->agent->is_draining)
		obtain_allotments(bucket);
	if (budget_witness_choose(bucket, line))
		plan->write_now = true;
	for (size_t i = 0; i < own_line->allotment_count; i++) {
		int found = ledger_bucket_find_budget(
			&bucket->draft, own_line->allotments[i]->budget);

		if (found >= 0)
			plan_allotment(plan, line, own_line->allotments[i],
				       (uint32_t)found);
	}
	line->sequence = ++own_line->sequence;
	exclude_returns(bucket, line);
	if (bucket->agent->is_draining && !holder_line_open_tokens(own_line))
		plan_final_return(plan, line);
}

bool budget_plan_write(struct budget_bucket *bucket)
{
	struct plan plan = {.bucket = bucket};
	int64_t flush_us = bucket->agent->env.settings.flush_interval_us;
	struct tgw_error error;
	bool is_valid;

	if (budget_witness_plan_closings(bucket, wall_us(bucket)))
		plan.write_now = true;
	plan_reconciliation(&plan);
	if (budget_claims_plan(bucket))
		plan.write_now = true;
	ledger_bucket_trim(&bucket->draft);
	plan_own_line(&plan);
	is_valid = ledger_bucket_check(&bucket->draft, &error) == TGW_OK;
	assert(is_valid);
	if (!is_valid)
		return false;
	if (plan.write_later &&
	    budget_now_us(bucket->agent) - bucket->written_us >= flush_us)
		plan.write_now = true;
	return plan.write_now;
}

static void adopt_allotment(struct budget_bucket *bucket,
			    struct holder_allotment *held,
			    const struct ledger_allotment *allotment)
{
	int64_t before = held->confirmed_tokens;
	int64_t ledger_ceiling_tokens;

	held->confirmed_tokens = allotment ? allotment->allotted_tokens : 0;
	if (held->confirmed_tokens != before)
		held->refill_base_tokens =
			held->confirmed_tokens - holder_allotment_used(held);
	ledger_ceiling_tokens = allotment ? allotment->ceiling_tokens : 0;
	if (!bucket->write_unresolved ||
	    held->ledger_ceiling_tokens > ledger_ceiling_tokens)
		held->ledger_ceiling_tokens = ledger_ceiling_tokens;
	if (!bucket->write_unresolved ||
	    held->usable_tokens > held->confirmed_tokens)
		held->usable_tokens = held->confirmed_tokens;
}

static void adopt_line(struct budget_bucket *bucket,
		       struct holder_line *own_line,
		       const struct ledger_line *line)
{
	own_line->is_in_ledger = true;
	if (own_line->epoch != line->epoch) {
		own_line->epoch = line->epoch;
		own_line->raise_sequence = 0;
		own_line->raise_acked = 0;
		own_line->raise_first_sent_us = 0;
		own_line->must_notify_witness = true;
		for (size_t i = 0; i < own_line->allotment_count; i++) {
			own_line->allotments[i]->witnessed_tokens = 0;
			own_line->allotments[i]->ceiling_is_dirty = false;
			holder_allotment_schedule_check(
				own_line->allotments[i]);
		}
	}
	short_name_copy(own_line->witness, line->witness);
	own_line->witness_incarnation = line->witness_incarnation;
	own_line->raise_refused = false;
	if (!bucket->write_unresolved)
		own_line->is_changing_witness = false;
	for (size_t i = 0; i < own_line->allotment_count; i++) {
		int found = ledger_bucket_find_budget(
			&bucket->ledger, own_line->allotments[i]->budget);
		const struct ledger_allotment *allotment = NULL;

		if (found >= 0)
			allotment = ledger_line_find_allotment(line,
							       (uint32_t)found);
		adopt_allotment(bucket, own_line->allotments[i], allotment);
	}
}

static void adopt_own_line(struct budget_bucket *bucket)
{
	struct holder_line *own_line = bucket->line;
	const struct ledger_line *line;

	if (!own_line)
		return;
	line = ledger_bucket_find_line(&bucket->ledger, own_line->id);
	if (line && line->state == LEDGER_LINE_OPEN)
		adopt_line(bucket, own_line, line);
	else if (line || own_line->is_in_ledger)
		holder_line_set_closed(own_line);
}

void budget_plan_adopt(struct budget_bucket *bucket)
{
	adopt_own_line(bucket);
	for (struct holder_line *own_line = bucket->closed_lines; own_line;
	     own_line = own_line->next)
		if (!ledger_bucket_find_line(&bucket->ledger, own_line->id))
			own_line->is_folded = true;
	holder_line_sweep(bucket);
	budget_witness_adopt(bucket);
	budget_claims_adopt(bucket);
}

bool budget_plan_is_active(const struct budget_bucket *bucket)
{
	return bucket->line || bucket->closed_lines || bucket->witnessed ||
	       bucket->claims;
}
