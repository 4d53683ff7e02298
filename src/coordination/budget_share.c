#include "coordination/budget_share.h"

#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "base/xalloc.h"

static int64_t min_tokens(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t max_tokens(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

int64_t holder_allotment_used(const struct holder_allotment *share)
{
	return share->settled_tokens + share->open_tokens +
	       share->withheld_tokens;
}

int64_t holder_allotment_ceiling(const struct holder_allotment *share)
{
	const struct holder_line *line = share->line;
	int64_t ceiling = share->usable_tokens;

	if (line->witness[0])
		ceiling = max_tokens(share->ledger_ceiling_tokens,
				     share->witnessed_tokens);
	if (line->is_changing_witness)
		ceiling = min_tokens(ceiling, share->transition_ceiling_tokens);
	return ceiling;
}

int64_t holder_allotment_left(const struct holder_allotment *share)
{
	if (share->line->is_closed)
		return 0;
	return min_tokens(share->usable_tokens,
			  holder_allotment_ceiling(share)) -
	       holder_allotment_used(share);
}

int64_t holder_allotment_waiting(const struct holder_allotment *share)
{
	int64_t tokens = 0;

	for (const struct budget_waiter *waiter = share->waiters; waiter;
	     waiter = waiter->next)
		tokens += waiter->bound_tokens;
	return tokens;
}

int64_t holder_allotment_headroom(const struct holder_allotment *share)
{
	const struct tgw_budget_agent *agent = share->line->bucket->agent;
	const struct tgw_budget_settings *settings = &agent->env.settings;
	/* A reserve allotment has no demand of its own, and is all that the
	 * domain can spend if its first holder dies during an outage. */
	if (budget_store_is_unreachable(agent) &&
	    !budget_bucket_is_first(share->line->bucket))
		return share->usable_tokens - holder_allotment_used(share);
	/* The other half of the permitted loss is left for open reservations,
	 * whose bounds exceed their cost. */
	int64_t cover_us = budget_store_is_unreachable(agent)
				   ? settings->outage_loss_us
				   : settings->death_loss_us / 2;

	return (int64_t)(demand_forecast_per_s(&share->demand,
					       budget_now_us(agent)) *
			 (double)cover_us / (double)TGW_US_PER_S);
}

void holder_allotment_touch(struct holder_allotment *share)
{
	struct budget_bucket *bucket = share->line->bucket;

	share->is_touched = true;
	share->touched_us = budget_now_us(bucket->agent);
	bucket->ceiling_due_us = share->touched_us;
	budget_bucket_touch(bucket);
}

struct holder_allotment *holder_line_find_allotment(
	const struct holder_line *line, const char *budget)
{
	for (size_t i = 0; line && i < line->share_count; i++)
		if (!strcmp(line->shares[i]->budget, budget))
			return line->shares[i];
	return NULL;
}

struct holder_allotment *holder_line_obtain_allotment(struct holder_line *line,
						      const char *budget)
{
	struct holder_allotment *share =
		holder_line_find_allotment(line, budget);

	if (share)
		return share;
	share = xcalloc(1, sizeof(*share));
	text_copy(share->budget, TGW_NAME_SIZE, budget);
	share->line = line;
	line->shares =
		xrealloc(line->shares, (line->share_count + 1) * sizeof(share));
	line->shares[line->share_count++] = share;
	return share;
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

/* Moves waiting reservations, demand and credit to the next line. */
static void move_waiters(struct holder_line *from, struct holder_line *to)
{
	for (size_t i = 0; i < from->share_count; i++) {
		struct holder_allotment *old = from->shares[i];
		struct holder_allotment *share =
			holder_line_obtain_allotment(to, old->budget);

		share->demand = old->demand;
		share->waiters = old->waiters;
		old->waiters = NULL;
		share->credit_tokens = old->credit_tokens;
		old->credit_tokens = 0;
		holder_allotment_touch(share);
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
	for (size_t i = 0; i < line->share_count; i++) {
		while (line->shares[i]->waiters) {
			struct budget_waiter *waiter = line->shares[i]->waiters;

			line->shares[i]->waiters = waiter->next;
			free(waiter);
		}
		free(line->shares[i]);
	}
	free(line->shares);
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

	for (size_t i = 0; i < line->share_count; i++)
		tokens += line->shares[i]->open_tokens;
	return tokens;
}
