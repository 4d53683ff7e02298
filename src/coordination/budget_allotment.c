#include "coordination/budget_allotment.h"

#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"

static int64_t min_tokens(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t max_tokens(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

int64_t holder_allotment_used(const struct holder_allotment *allotment)
{
	return allotment->settled_tokens + allotment->open_tokens +
	       allotment->withheld_tokens;
}

int64_t holder_allotment_ceiling(const struct holder_allotment *allotment)
{
	const struct holder_line *line = allotment->line;
	int64_t ceiling = allotment->usable_tokens;

	if (line->witness[0])
		ceiling = max_tokens(allotment->ledger_ceiling_tokens,
				     allotment->witnessed_tokens);
	if (line->is_changing_witness)
		ceiling = min_tokens(ceiling,
				     allotment->transition_ceiling_tokens);
	return ceiling;
}

int64_t holder_allotment_left(const struct holder_allotment *allotment)
{
	if (allotment->line->is_closed)
		return 0;
	return min_tokens(allotment->usable_tokens,
			  holder_allotment_ceiling(allotment)) -
	       holder_allotment_used(allotment);
}

int64_t holder_allotment_waiting(const struct holder_allotment *allotment)
{
	int64_t tokens = 0;

	for (const struct budget_waiter *waiter = allotment->waiters; waiter;
	     waiter = waiter->next)
		tokens += waiter->bound_tokens;
	return tokens;
}

int64_t holder_allotment_headroom(const struct holder_allotment *allotment)
{
	const struct tgw_budget_agent *agent = allotment->line->bucket->agent;
	const struct tgw_budget_settings *settings = &agent->env.settings;
	/* A reserve allotment has no demand of its own, and is all that the
	 * domain can spend if its first holder dies during an outage. */
	if (budget_store_is_unreachable(agent) &&
	    !budget_bucket_is_first(allotment->line->bucket))
		return allotment->usable_tokens -
		       holder_allotment_used(allotment);
	/* The other half of the permitted loss is left for open reservations,
	 * whose bounds exceed their cost. */
	int64_t cover_us = budget_store_is_unreachable(agent)
				   ? settings->outage_loss_us
				   : settings->death_loss_us / 2;

	return (int64_t)(demand_forecast_per_s(&allotment->demand,
					       budget_now_us(agent)) *
			 (double)cover_us / (double)TGW_US_PER_S);
}

void holder_allotment_schedule_check(struct holder_allotment *allotment)
{
	struct budget_bucket *bucket = allotment->line->bucket;

	allotment->needs_ceiling_check = true;
	allotment->last_change_us = budget_now_us(bucket->agent);
	bucket->ceiling_due_us = allotment->last_change_us;
	budget_bucket_queue(bucket);
}

struct holder_allotment *holder_line_find_allotment(
	const struct holder_line *line, const char *budget)
{
	for (size_t i = 0; line && i < line->allotment_count; i++)
		if (!strcmp(line->allotments[i]->budget, budget))
			return line->allotments[i];
	return NULL;
}

struct holder_allotment *holder_line_obtain_allotment(struct holder_line *line,
						      const char *budget)
{
	struct holder_allotment *allotment =
		holder_line_find_allotment(line, budget);

	if (allotment)
		return allotment;
	allotment = xcalloc(1, sizeof(*allotment));
	short_name_copy(allotment->budget, budget);
	allotment->line = line;
	line->allotments = xrealloc(line->allotments, (line->allotment_count +
						       1) * sizeof(allotment));
	line->allotments[line->allotment_count++] = allotment;
	return allotment;
}

struct holder_line *holder_line_obtain(struct budget_bucket *bucket)
{
	struct holder_line *line = bucket->line;

	if (line)
		return line;
	line = xcalloc(1, sizeof(*line));
	line->bucket = bucket;
	line->id = tgw_random_u64(&bucket->agent->random) ^
		   bucket->agent->incarnation;
	bucket->line = line;
	return line;
}

/* Moves the waiting requests, the demand forecast and the credit to the next
 * line. */
static void move_waiters(struct holder_line *from, struct holder_line *to)
{
	for (size_t i = 0; i < from->allotment_count; i++) {
		struct holder_allotment *old = from->allotments[i];
		struct holder_allotment *allotment =
			holder_line_obtain_allotment(to, old->budget);

		allotment->demand = old->demand;
		allotment->waiters = old->waiters;
		old->waiters = NULL;
		allotment->credit_tokens = old->credit_tokens;
		old->credit_tokens = 0;
		holder_allotment_schedule_check(allotment);
	}
}

void holder_line_set_closed(struct holder_line *line)
{
	struct budget_bucket *bucket = line->bucket;

	line->is_closed = true;
	line->closed_us = budget_now_us(bucket->agent);
	line->next = bucket->closed_lines;
	bucket->closed_lines = line;
	bucket->line = NULL;
	if (!bucket->agent->is_draining)
		move_waiters(line, holder_line_obtain(bucket));
}

static void free_line(struct holder_line *line)
{
	for (size_t i = 0; i < line->allotment_count; i++) {
		while (line->allotments[i]->waiters) {
			struct budget_waiter *waiter =
				line->allotments[i]->waiters;

			line->allotments[i]->waiters = waiter->next;
			free(waiter);
		}
		free(line->allotments[i]);
	}
	free(line->allotments);
	free(line);
}

void holder_line_sweep(struct budget_bucket *bucket)
{
	struct holder_line **link = &bucket->closed_lines;

	while (*link) {
		struct holder_line *line = *link;

		if (line->is_folded && !line->reference_count) {
			*link = line->next;
			free_line(line);
		} else {
			link = &line->next;
		}
	}
}

void holder_line_free_all(struct budget_bucket *bucket)
{
	if (bucket->line)
		free_line(bucket->line);
	while (bucket->closed_lines) {
		struct holder_line *line = bucket->closed_lines;

		bucket->closed_lines = line->next;
		free_line(line);
	}
	bucket->line = NULL;
}

int64_t holder_line_open_tokens(const struct holder_line *line)
{
	int64_t tokens = 0;

	for (size_t i = 0; i < line->allotment_count; i++)
		tokens += line->allotments[i]->open_tokens;
	return tokens;
}
