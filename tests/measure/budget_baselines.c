#include "measure/budget_baselines.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define CUT_OFF_HOSTS 2

/* A reservation that ends. */
struct ending {
	int64_t at_us;
	size_t account;
	int64_t back_tokens;
};

/* Endings by time, in a binary heap. */
struct endings {
	size_t count;
	size_t capacity;
	struct ending *items;
};

static void swap(struct endings *endings, size_t a, size_t b)
{
	struct ending ending = endings->items[a];

	endings->items[a] = endings->items[b];
	endings->items[b] = ending;
}

static void push(struct endings *endings, struct ending ending)
{
	size_t at = endings->count++;

	if (endings->count > endings->capacity) {
		endings->capacity = endings->capacity * 2 + 64;
		endings->items = xrealloc(endings->items,
					  endings->capacity * sizeof(ending));
	}
	endings->items[at] = ending;
	while (at &&
	       endings->items[(at - 1) / 2].at_us > endings->items[at].at_us) {
		swap(endings, at, (at - 1) / 2);
		at = (at - 1) / 2;
	}
}

static void pop(struct endings *endings)
{
	size_t at = 0;

	endings->items[0] = endings->items[--endings->count];
	for (;;) {
		size_t least = at;

		for (size_t child = 2 * at + 1; child <= 2 * at + 2; child++)
			if (child < endings->count &&
			    endings->items[child].at_us <
				    endings->items[least].at_us)
				least = child;
		if (least == at)
			return;
		swap(endings, at, least);
		at = least;
	}
}

static bool is_reachable(enum baseline_kind kind,
			 const struct baseline_faults *faults, size_t host,
			 int64_t at_us)
{
	if (kind != BASELINE_STORE_WRITE || at_us < faults->from_us ||
	    at_us >= faults->to_us)
		return true;
	if (faults->store_is_out)
		return false;
	return !faults->first_is_cut_off || host >= CUT_OFF_HOSTS;
}

void baseline_run(enum baseline_kind kind, const struct arrivals *arrivals,
		  uint32_t budgets, const int64_t *paid_tokens,
		  const struct baseline_faults *faults, uint32_t *served)
{
	size_t parts = kind == BASELINE_FIXED_SPLIT ? faults->hosts : 1;
	int64_t *left = xcalloc(budgets * parts, sizeof(left[0]));
	bool *is_known = xcalloc(arrivals->count + 1, sizeof(bool));
	struct endings endings = {0};

	memset(served, 0, budgets * sizeof(served[0]));
	for (size_t i = 0; i < budgets * parts; i++)
		left[i] = paid_tokens[i / parts] / (int64_t)parts;
	for (size_t i = 0; i < arrivals->count; i++) {
		const struct arrival *arrival = &arrivals->items[i];
		size_t host = arrival->place % faults->hosts;
		size_t account = arrival->budget * parts + host % parts;

		while (endings.count &&
		       endings.items[0].at_us <= arrival->at_us) {
			left[endings.items[0].account] +=
				endings.items[0].back_tokens;
			pop(&endings);
		}
		if (is_known[arrival->number]) {
			served[arrival->budget]++;
			continue;
		}
		if (left[account] < arrival->bound_tokens ||
		    !is_reachable(kind, faults, host, arrival->at_us))
			continue;
		is_known[arrival->number] = true;
		served[arrival->budget]++;
		left[account] -= arrival->bound_tokens;
		push(&endings,
		     (struct ending){arrival->at_us + arrival->run_us, account,
				     arrival->bound_tokens -
					     arrival->cost_tokens});
	}
	free(endings.items);
	free(is_known);
	free(left);
}
