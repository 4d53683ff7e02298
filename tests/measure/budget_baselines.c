#include "measure/budget_baselines.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define PARTITIONED_HOSTS 2

/* The settlement of a reservation. */
struct settlement {
	int64_t at_us;
	size_t account;
	int64_t refund_tokens;
};

/* The pending settlements in a binary heap by time. */
struct settlements {
	size_t count;
	size_t capacity;
	struct settlement *items;
};

static void swap(struct settlements *settlements, size_t a, size_t b)
{
	struct settlement settlement = settlements->items[a];

	settlements->items[a] = settlements->items[b];
	settlements->items[b] = settlement;
}

static void push(struct settlements *settlements, struct settlement settlement)
{
	size_t at = settlements->count++;

	if (settlements->count > settlements->capacity) {
		settlements->capacity = settlements->capacity * 2 + 64;
		settlements->items =
			xrealloc(settlements->items,
				 settlements->capacity * sizeof(settlement));
	}
	settlements->items[at] = settlement;
	while (at && settlements->items[(at - 1) / 2].at_us >
			     settlements->items[at].at_us) {
		swap(settlements, at, (at - 1) / 2);
		at = (at - 1) / 2;
	}
}

static void pop(struct settlements *settlements)
{
	size_t at = 0;

	settlements->items[0] = settlements->items[--settlements->count];
	for (;;) {
		size_t earliest = at;

		for (size_t child = 2 * at + 1; child <= 2 * at + 2; child++)
			if (child < settlements->count &&
			    settlements->items[child].at_us <
				    settlements->items[earliest].at_us)
				earliest = child;
		if (earliest == at)
			return;
		swap(settlements, at, earliest);
		at = earliest;
	}
}

static bool is_reachable(enum baseline_kind kind,
			 const struct baseline_faults *faults, size_t host,
			 int64_t at_us)
{
	if (kind != BASELINE_STORE_WRITE || at_us < faults->from_us ||
	    at_us >= faults->to_us)
		return true;
	if (faults->store_is_unreachable)
		return false;
	return !faults->first_hosts_are_partitioned ||
	       host >= PARTITIONED_HOSTS;
}

void baseline_run(enum baseline_kind kind, const struct arrivals *arrivals,
		  uint32_t budgets, const int64_t *paid_tokens,
		  const struct baseline_faults *faults, uint32_t *served)
{
	size_t accounts_per_budget =
		kind == BASELINE_FIXED_SPLIT ? faults->hosts : 1;
	int64_t *free_tokens =
		xcalloc(budgets * accounts_per_budget, sizeof(free_tokens[0]));
	bool *is_granted = xcalloc(arrivals->count + 1, sizeof(bool));
	struct settlements settlements = {0};

	memset(served, 0, budgets * sizeof(served[0]));
	for (size_t i = 0; i < budgets * accounts_per_budget; i++)
		free_tokens[i] = paid_tokens[i / accounts_per_budget] /
				 (int64_t)accounts_per_budget;
	for (size_t i = 0; i < arrivals->count; i++) {
		const struct arrival *arrival = &arrivals->items[i];
		size_t host = arrival->host_choice % faults->hosts;
		size_t account = arrival->budget * accounts_per_budget +
				 host % accounts_per_budget;

		while (settlements.count &&
		       settlements.items[0].at_us <= arrival->at_us) {
			free_tokens[settlements.items[0].account] +=
				settlements.items[0].refund_tokens;
			pop(&settlements);
		}
		if (is_granted[arrival->number]) {
			served[arrival->budget]++;
			continue;
		}
		if (free_tokens[account] < arrival->bound_tokens ||
		    !is_reachable(kind, faults, host, arrival->at_us))
			continue;
		is_granted[arrival->number] = true;
		served[arrival->budget]++;
		free_tokens[account] -= arrival->bound_tokens;
		push(&settlements,
		     (struct settlement){
			     arrival->at_us + arrival->run_us, account,
			     arrival->bound_tokens - arrival->cost_tokens});
	}
	free(settlements.items);
	free(is_granted);
	free(free_tokens);
}
