#include "state/budget_pool.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/short_name.h"
#include "base/xalloc.h"

/* Width of the part of a host id that differs between its processes. */
#define PROCESS_BITS 32

void budget_pool_clear(struct budget_pool *pool)
{
	free(pool->budgets);
	free(pool->hosts);
	memset(pool, 0, sizeof(*pool));
}

static void *copy_array(const void *array, size_t count, size_t size)
{
	return count ? xmemdup(array, count * size) : NULL;
}

void budget_pool_copy(struct budget_pool *copy, const struct budget_pool *pool)
{
	copy->key_count = pool->key_count;
	copy->budget_count = pool->budget_count;
	copy->budgets = copy_array(pool->budgets, pool->budget_count,
				   sizeof(pool->budgets[0]));
	copy->host_count = pool->host_count;
	copy->hosts = copy_array(pool->hosts, pool->host_count,
				 sizeof(pool->hosts[0]));
}

/* @return the index of the first budget whose name is not less */
static size_t lower_bound(const struct budget_pool *pool, const char *name)
{
	size_t low = 0;
	size_t high = pool->budget_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (strcmp(pool->budgets[middle].name, name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool is_at(const struct budget_pool *pool, size_t at, const char *name)
{
	return at < pool->budget_count && !strcmp(pool->budgets[at].name, name);
}

struct pooled_budget *budget_pool_find(const struct budget_pool *pool,
				       const char *name)
{
	size_t at = lower_bound(pool, name);

	return is_at(pool, at, name) ? &pool->budgets[at] : NULL;
}

static struct pooled_budget *obtain_budget(struct budget_pool *pool,
					   const char *name)
{
	size_t at = lower_bound(pool, name);
	struct pooled_budget *budget;

	if (is_at(pool, at, name))
		return &pool->budgets[at];
	pool->budgets = xrealloc(pool->budgets, (pool->budget_count +
						 1) * sizeof(pool->budgets[0]));
	budget = &pool->budgets[at];
	memmove(budget + 1, budget,
		(pool->budget_count - at) * sizeof(*budget));
	pool->budget_count++;
	memset(budget, 0, sizeof(*budget));
	short_name_copy(budget->name, name);
	return budget;
}

static bool is_valid_amount(int64_t tokens)
{
	return tokens >= 0 && tokens <= LEDGER_TOKENS_MAX;
}

struct pooled_budget *budget_pool_raise_paid_in(struct budget_pool *pool,
						const char *name,
						int64_t total_tokens)
{
	struct pooled_budget *budget;

	if (!*name || strlen(name) >= TGW_NAME_SIZE ||
	    !is_valid_amount(total_tokens))
		return NULL;
	budget = obtain_budget(pool, name);
	if (budget->paid_in_tokens < total_tokens)
		budget->paid_in_tokens = total_tokens;
	return budget;
}

int64_t pooled_budget_free_tokens(const struct pooled_budget *budget)
{
	return budget->paid_in_tokens - budget->taken_tokens;
}

uint64_t budget_pool_host_id(const char *host, uint32_t process)
{
	uint64_t name_hash = XXH32(host, strlen(host), 0);

	return name_hash << PROCESS_BITS | process;
}

static struct pool_host *find_host(const struct budget_pool *pool, uint64_t id)
{
	for (size_t i = 0; i < pool->host_count; i++)
		if (pool->hosts[i].id == id)
			return &pool->hosts[i];
	return NULL;
}

const struct pool_host *budget_pool_find_host(const struct budget_pool *pool,
					      uint64_t id)
{
	return find_host(pool, id);
}

static void remove_at(struct budget_pool *pool, size_t at)
{
	pool->host_count--;
	memmove(&pool->hosts[at], &pool->hosts[at + 1],
		(pool->host_count - at) * sizeof(pool->hosts[0]));
}

/* The tokens were taken, so a budget never gets more than was taken from it; a
 * record that says otherwise is wrong. */
static int64_t return_tokens(struct pooled_budget *budget, int64_t tokens)
{
	int64_t unsettled = budget->taken_tokens - budget->settled_tokens;

	if (tokens > unsettled)
		return 0;
	budget->taken_tokens -= tokens;
	return tokens;
}

static int64_t return_unspent(struct budget_pool *pool,
			      const struct cap_record *record, int64_t dead_us)
{
	int64_t returned = 0;

	for (size_t i = 0; i < pool->budget_count; i++) {
		struct pooled_budget *budget = &pool->budgets[i];
		const struct spending_cap *cap =
			cap_record_find(record, budget->name);

		if (cap)
			returned += return_tokens(
				budget, spending_cap_unspent(cap, dead_us));
	}
	return returned;
}

int64_t budget_pool_replace_earlier(struct budget_pool *pool, uint64_t id,
				    const struct cap_record *record,
				    int64_t dead_us)
{
	int64_t returned = 0;

	for (size_t i = pool->host_count; i > 0; i--) {
		uint64_t other = pool->hosts[i - 1].id;

		if (other == id || other >> PROCESS_BITS != id >> PROCESS_BITS)
			continue;
		if (record && record->host_id == other)
			returned += return_unspent(pool, record, dead_us);
		remove_at(pool, i - 1);
	}
	return returned;
}

void budget_pool_record_write(struct budget_pool *pool, uint64_t id,
			      uint64_t sequence)
{
	struct pool_host *host;

	budget_pool_replace_earlier(pool, id, NULL, 0);
	host = find_host(pool, id);
	if (!host) {
		pool->hosts = xrealloc(pool->hosts,
				       (pool->host_count + 1) * sizeof(*host));
		host = &pool->hosts[pool->host_count++];
		memset(host, 0, sizeof(*host));
		host->id = id;
	}
	host->sequence = sequence;
}

void budget_pool_remove_host(struct budget_pool *pool, uint64_t id)
{
	const struct pool_host *host = find_host(pool, id);

	if (host)
		remove_at(pool, (size_t)(host - pool->hosts));
}

enum tgw_status budget_pool_check(const struct budget_pool *pool,
				  struct tgw_error *error)
{
	for (size_t i = 0; i < pool->budget_count; i++) {
		const struct pooled_budget *budget = &pool->budgets[i];

		if (!is_valid_amount(budget->paid_in_tokens) ||
		    !is_valid_amount(budget->taken_tokens) ||
		    !is_valid_amount(budget->settled_tokens) ||
		    !is_valid_amount(budget->demanded_tokens) ||
		    !is_valid_amount(budget->requested_tokens) ||
		    pooled_budget_free_tokens(budget) < 0)
			return tgw_error_set(
				error, TGW_CORRUPT,
				"budget '%s' has amounts out of range, or %lld "
				"of %lld paid-in tokens taken; restore the "
				"ledger's key",
				budget->name, (long long)budget->taken_tokens,
				(long long)budget->paid_in_tokens);
	}
	return TGW_OK;
}

static void add_settled(struct budget_pool *pool,
			const struct ledger_bucket *bucket,
			const struct ledger_line *line)
{
	for (size_t i = 0; i < line->allotment_count; i++) {
		const struct ledger_allotment *allotment = &line->allotments[i];
		const char *name =
			bucket->budgets[allotment->budget_index].name;

		budget_pool_find(pool, name)->settled_tokens +=
			allotment->settled_tokens;
	}
}

void budget_pool_from_ledger(struct budget_pool *pool,
			     const struct ledger_bucket *bucket)
{
	memset(pool, 0, sizeof(*pool));
	pool->key_count = 1;
	for (size_t i = 0; i < bucket->budget_count; i++) {
		const struct ledger_budget *from = &bucket->budgets[i];
		struct pooled_budget *budget = obtain_budget(pool, from->name);

		budget->paid_in_tokens = from->paid_in_tokens;
		budget->taken_tokens =
			from->paid_in_tokens -
			ledger_bucket_free_tokens(bucket, (uint32_t)i);
		budget->settled_tokens = from->folded_tokens;
	}
	for (size_t i = 0; i < bucket->line_count; i++)
		add_settled(pool, bucket, &bucket->lines[i]);
}
