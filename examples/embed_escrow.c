/*
 * Embeds the budget agent with a store that the embedding program provides;
 * here it is one key in memory. The only host is this program, so it needs no
 * peer channel, and every message to a peer is rejected.
 */
#include <inttypes.h>
#include <stdio.h>
#include <time.h>

#include "state/ledger_bucket.h"
#include "state/ledger_codec.h"
#include "tamarackgw/budget.h"

/* A store of one key. The result of a call is delivered by complete_call(),
 * never from inside the call: the store interface requires it. */
struct memory_store {
	struct tgw_store store; /* first member */
	char key[LEDGER_KEY_SIZE];
	struct buffer value;
	int64_t version;
	bool is_pending;
	enum tgw_status status;
	struct tgw_store_callback callback;
};

static void memory_get(struct tgw_store *store, const char *key,
		       struct tgw_store_callback callback)
{
	struct memory_store *memory = (struct memory_store *)store;

	memory->is_pending = true;
	memory->status = TGW_OK;
	memory->callback = callback;
}

static void memory_swap(struct tgw_store *store, const char *key,
			int64_t expected_version, const void *value,
			size_t value_size, struct tgw_store_callback callback)
{
	struct memory_store *memory = (struct memory_store *)store;

	memory_get(store, key, callback);
	if (memory->version != expected_version) {
		memory->status = TGW_CONFLICT;
		return;
	}
	buffer_clear(&memory->value);
	buffer_add(&memory->value, value, value_size);
	memory->version++;
}

static void complete_call(struct memory_store *memory)
{
	struct tgw_store_entry entry = {
		.key = memory->key,
		.value = (const uint8_t *)memory->value.data,
		.value_size = memory->value.size,
		.version = memory->version,
	};
	struct tgw_store_result result = {
		.status = memory->status,
		.entries = &entry,
		.entry_count = 1,
		.message = "",
	};

	if (!memory->is_pending)
		return;
	memory->is_pending = false;
	memory->callback.done(memory->callback.arg, &result);
}

static enum tgw_status reject_send(struct tgw_peer *peer, const char *to_host,
				   enum tgw_peer_topic topic,
				   const void *payload, size_t payload_size)
{
	return TGW_NOT_FOUND;
}

static int64_t now_us(const struct tgw_clock *clock)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * TGW_US_PER_S + now.tv_nsec / 1000;
}

static void print_answer(void *arg, const struct tgw_budget_answer *answer)
{
	printf("%s\n", answer->message);
	*(bool *)arg = true;
}

static void run_once(struct tgw_budget_agent *agent,
		     struct memory_store *memory)
{
	complete_call(memory);
	tgw_budget_tick(agent);
}

static void store_top_up(struct memory_store *memory, uint32_t bucket_count)
{
	struct ledger_bucket bucket = {0};
	bool applied;

	ledger_bucket_top_up(&bucket, "acme", "pay-1", 1000, 0, &applied, NULL);
	ledger_codec_encode(&bucket, &memory->value);
	ledger_bucket_key(memory->key, ledger_bucket_of("acme", bucket_count));
	memory->version = 1;
	ledger_bucket_clear(&bucket);
}

int main(void)
{
	static const struct tgw_clock_ops clock_ops = {now_us, now_us};
	static const struct tgw_store_ops store_ops = {.get = memory_get,
						       .swap = memory_swap};
	static const struct tgw_peer_ops peer_ops = {reject_send};
	struct tgw_clock clock = {&clock_ops};
	struct tgw_peer peer = {&peer_ops};
	struct memory_store memory = {.store = {&store_ops}};
	struct tgw_host self = {
		.name = "one", .failure_domain = "here", .incarnation = 1};
	struct tgw_host_view view = {.host_count = 1, .hosts = &self};
	struct tgw_budget_env env = {&clock, &memory.store, &peer, 1,
				     tgw_budget_settings_default()};
	struct tgw_budget_agent *agent = tgw_budget_agent_new(&env, &view);
	struct tgw_budget_request request = {.budget = "acme",
					     .bound_tokens = 400};
	bool done = false;

	store_top_up(&memory, env.settings.bucket_count);
	tgw_request_key_derive(&request.key, "team", "caller-key", 10);
	tgw_budget_reserve(agent, &request,
			   (struct tgw_budget_callback){print_answer, &done});
	while (!done)
		run_once(agent, &memory);
	tgw_budget_settle(agent, "acme", &request.key, 250, TGW_SETTLE_USAGE);
	tgw_budget_drain(agent);
	while (!tgw_budget_is_drained(agent))
		run_once(agent, &memory);
	printf("settled %" PRIu64 " request\n",
	       tgw_budget_agent_counters(agent)->settled_usage);
	tgw_budget_agent_free(agent);
	buffer_free(&memory.value);
	return 0;
}
