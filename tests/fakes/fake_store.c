#include "fakes/fake_store.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/fake_store_watch.h"

#define DEFAULT_LATENCY_US INT64_C(3000)
#define OUTAGE_TIMEOUT_US (INT64_C(200) * TGW_US_PER_MS)

enum operation_kind { OPERATION_GET, OPERATION_LIST, OPERATION_SWAP };

struct operation {
	struct operation *next;
	struct fake_store *client;
	uint64_t client_generation;
	enum operation_kind kind;
	char *key;
	int64_t expected_version;
	uint8_t *value;
	size_t value_size;
	struct tgw_store_callback callback;
	/* Filled in when the request reaches the server. */
	enum tgw_status status;
	struct fake_store_key *found;
	size_t found_count;
	int64_t revision; /* of a list */
};

static size_t lower_bound(const struct fake_store_server *server,
			  const char *name)
{
	size_t low = 0;
	size_t high = server->key_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (strcmp(server->keys[middle].name, name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Also finds a deleted key. */
static struct fake_store_key *find_key(const struct fake_store_server *server,
				       const char *name)
{
	size_t at = lower_bound(server, name);

	if (at == server->key_count || strcmp(server->keys[at].name, name))
		return NULL;
	return &server->keys[at];
}

const struct fake_store_key *fake_store_server_find(
	const struct fake_store_server *server, const char *name)
{
	const struct fake_store_key *key = find_key(server, name);

	return key && key->value ? key : NULL;
}

static struct fake_store_key *find_or_add_key(struct fake_store_server *server,
					      const char *name)
{
	size_t at = lower_bound(server, name);

	if (at < server->key_count && !strcmp(server->keys[at].name, name))
		return &server->keys[at];
	server->keys = xrealloc(server->keys, (server->key_count + 1) *
						      sizeof(server->keys[0]));
	memmove(&server->keys[at + 1], &server->keys[at],
		(server->key_count - at) * sizeof(server->keys[0]));
	server->key_count++;
	memset(&server->keys[at], 0, sizeof(server->keys[at]));
	server->keys[at].name = xstrdup(name);
	return &server->keys[at];
}

static void write_key(struct fake_store_server *server,
		      struct fake_store_key *key, const void *value,
		      size_t value_size)
{
	free(key->value);
	key->value = value ? xmemdup(value, value_size) : NULL;
	key->value_size = value ? value_size : 0;
	key->version = ++server->revision;
	fake_store_notify_watchers(server, key);
}

int64_t fake_store_server_put(struct fake_store_server *server,
			      const char *name, const void *value,
			      size_t value_size)
{
	struct fake_store_key *key = find_or_add_key(server, name);

	write_key(server, key, value, value_size);
	return key->version;
}

static void add_found(struct operation *operation,
		      const struct fake_store_key *key)
{
	operation->found =
		xrealloc(operation->found, (operation->found_count + 1) *
						   sizeof(operation->found[0]));
	operation->found[operation->found_count++] = fake_store_copy_key(key);
}

static void add_found_or_absent(struct operation *operation)
{
	const struct fake_store_key *key = fake_store_server_find(
		operation->client->server, operation->key);
	struct fake_store_key absent = {.name = operation->key};

	add_found(operation, key ? key : &absent);
}

static void run_list(struct operation *operation)
{
	const struct fake_store_server *server = operation->client->server;

	operation->revision = server->revision;

	for (size_t i = lower_bound(server, operation->key);
	     i < server->key_count &&
	     fake_store_has_prefix(server->keys[i].name, operation->key);
	     i++)
		if (server->keys[i].value)
			add_found(operation, &server->keys[i]);
}

static void run_swap(struct operation *operation)
{
	struct fake_store_server *server = operation->client->server;
	const struct fake_store_key *current =
		fake_store_server_find(server, operation->key);
	int64_t version = current ? current->version : TGW_STORE_ABSENT;
	struct fake_store_key written = {.name = operation->key};
	struct fake_store_key *key;

	server->writes++;
	if (version != operation->expected_version) {
		server->conflicts++;
		operation->status = TGW_CONFLICT;
		add_found_or_absent(operation);
		return;
	}
	key = find_or_add_key(server, operation->key);
	write_key(server, key, operation->value, operation->value_size);
	written.version = operation->value ? key->version : TGW_STORE_ABSENT;
	add_found(operation, &written);
}

static void free_operation(void *arg)
{
	struct operation *operation = arg;
	struct operation **link = &operation->client->operations;

	while (*link && *link != operation)
		link = &(*link)->next;
	if (*link)
		*link = operation->next;
	for (size_t i = 0; i < operation->found_count; i++)
		fake_store_clear_key(&operation->found[i]);
	free(operation->found);
	free(operation->key);
	free(operation->value);
	free(operation);
}

static void deliver_response(void *arg)
{
	struct operation *operation = arg;
	struct fake_store *client = operation->client;
	struct tgw_store_result result = {.status = operation->status};
	struct tgw_store_entry *entries = NULL;

	if (client->generation != operation->client_generation) {
		free_operation(operation);
		return;
	}
	if (client->paused) {
		fake_world_after_or_release(client->server->world,
					    FAKE_STORE_PAUSED_RETRY_US,
					    deliver_response, free_operation,
					    operation);
		return;
	}
	if (operation->kind == OPERATION_LIST && operation->status == TGW_OK)
		fake_store_start_watches(client, operation->key,
					 operation->revision);
	entries = xcalloc(operation->found_count, sizeof(entries[0]));
	for (size_t i = 0; i < operation->found_count; i++) {
		entries[i].key = operation->found[i].name;
		entries[i].value = operation->found[i].value;
		entries[i].value_size = operation->found[i].value_size;
		entries[i].version = operation->found[i].version;
	}
	result.entries = entries;
	result.entry_count = operation->found_count;
	result.message = tgw_status_name(operation->status);
	result.revision = operation->revision;
	operation->callback.done(operation->callback.arg, &result);
	free(entries);
	free_operation(operation);
}

static int64_t transfer_us(const struct fake_store *client, size_t bytes)
{
	if (!client->link_bytes_per_s)
		return 0;
	return (int64_t)bytes * TGW_US_PER_S / client->link_bytes_per_s;
}

static int64_t response_delay_us(const struct operation *operation)
{
	size_t bytes = 0;

	for (size_t i = 0; i < operation->found_count; i++)
		bytes += operation->found[i].value_size;
	return operation->client->server->latency_us / 2 +
	       transfer_us(operation->client, bytes);
}

static void schedule_response(struct operation *operation,
			      enum tgw_status status, int64_t delay_us)
{
	operation->status = status;
	fake_world_after_or_release(operation->client->server->world, delay_us,
				    deliver_response, free_operation,
				    operation);
}

static void clear_found(struct operation *operation)
{
	for (size_t i = 0; i < operation->found_count; i++)
		fake_store_clear_key(&operation->found[i]);
	operation->found_count = 0;
}

/* Runs the operation at the server, unless a fault keeps it from arriving. */
static void run_operation(void *arg)
{
	struct operation *operation = arg;
	struct fake_store *client = operation->client;
	struct fake_store_server *server = client->server;

	if (fake_store_is_unreachable(client) ||
	    (operation->kind == OPERATION_LIST && client->refuses_lists)) {
		schedule_response(operation,
				  operation->kind == OPERATION_SWAP
					  ? TGW_UNKNOWN
					  : TGW_UNAVAILABLE,
				  OUTAGE_TIMEOUT_US);
		return;
	}
	if (operation->kind == OPERATION_SWAP && client->lose_requests) {
		client->lose_requests--;
		schedule_response(operation, TGW_UNKNOWN, OUTAGE_TIMEOUT_US);
		return;
	}
	operation->status = TGW_OK;
	switch (operation->kind) {
	case OPERATION_GET:
		server->reads++;
		add_found_or_absent(operation);
		break;
	case OPERATION_LIST:
		server->reads++;
		run_list(operation);
		break;
	case OPERATION_SWAP:
		run_swap(operation);
		if (client->lose_answers) {
			client->lose_answers--;
			clear_found(operation);
			schedule_response(operation, TGW_UNKNOWN,
					  OUTAGE_TIMEOUT_US);
			return;
		}
		break;
	}
	schedule_response(operation, operation->status,
			  response_delay_us(operation));
}

static struct operation *start_operation(struct tgw_store *store,
					 enum operation_kind kind,
					 const char *key, size_t value_size,
					 struct tgw_store_callback callback)
{
	struct operation *operation = xcalloc(1, sizeof(*operation));

	operation->client = (struct fake_store *)store;
	operation->next = operation->client->operations;
	operation->client->operations = operation;
	operation->client_generation = operation->client->generation;
	operation->kind = kind;
	operation->key = xstrdup(key);
	operation->callback = callback;
	fake_world_after_or_release(operation->client->server->world,
				    operation->client->server->latency_us / 2 +
					    transfer_us(operation->client,
							value_size),
				    run_operation, free_operation, operation);
	return operation;
}

static void fake_get(struct tgw_store *store, const char *key,
		     struct tgw_store_callback callback)
{
	start_operation(store, OPERATION_GET, key, 0, callback);
}

static void fake_list(struct tgw_store *store, const char *prefix,
		      struct tgw_store_callback callback)
{
	start_operation(store, OPERATION_LIST, prefix, 0, callback);
}

static void fake_swap(struct tgw_store *store, const char *key,
		      int64_t expected_version, const void *value,
		      size_t value_size, struct tgw_store_callback callback)
{
	struct operation *operation = start_operation(
		store, OPERATION_SWAP, key, value_size, callback);

	operation->expected_version = expected_version;
	operation->value = value ? xmemdup(value, value_size) : NULL;
	operation->value_size = value_size;
}

static const struct tgw_store_ops fake_store_ops = {
	.get = fake_get,
	.list = fake_list,
	.swap = fake_swap,
	.watch = fake_store_watch,
	.unwatch = fake_store_unwatch,
};

void fake_store_server_init(struct fake_store_server *server,
			    struct fake_world *world)
{
	memset(server, 0, sizeof(*server));
	server->world = world;
	server->latency_us = DEFAULT_LATENCY_US;
}

static void notify_lost(struct fake_store *store)
{
	struct fake_store_watch *watch;

	for (watch = store->watches; watch; watch = watch->next)
		fake_store_send_event(store, watch, true, NULL);
}

static void clear_keys(struct fake_store_key **keys, size_t *count)
{
	for (size_t i = 0; i < *count; i++)
		fake_store_clear_key(&(*keys)[i]);
	free(*keys);
	*keys = NULL;
	*count = 0;
}

void fake_store_server_clear(struct fake_store_server *server)
{
	clear_keys(&server->keys, &server->key_count);
	clear_keys(&server->copied, &server->copied_count);
}

static struct fake_store_key *copy_keys(const struct fake_store_key *keys,
					size_t count)
{
	struct fake_store_key *copy = xcalloc(count + 1, sizeof(*copy));

	for (size_t i = 0; i < count; i++)
		copy[i] = fake_store_copy_key(&keys[i]);
	return copy;
}

void fake_store_server_copy(struct fake_store_server *server)
{
	clear_keys(&server->copied, &server->copied_count);
	server->copied = copy_keys(server->keys, server->key_count);
	server->copied_count = server->key_count;
	server->copied_revision = server->revision;
}

/* @return the same revision in another history */
static int64_t move_version(int64_t version, int64_t history)
{
	int64_t mask = (INT64_C(1) << TGW_STORE_REVISION_BITS) - 1;

	return history << TGW_STORE_REVISION_BITS | (version & mask);
}

void fake_store_server_return(struct fake_store_server *server)
{
	int64_t history = tgw_store_history(server->revision) + 1;

	clear_keys(&server->keys, &server->key_count);
	server->keys = copy_keys(server->copied, server->copied_count);
	server->key_count = server->copied_count;
	server->revision = move_version(server->copied_revision, history);
	for (size_t i = 0; i < server->key_count; i++)
		server->keys[i].version =
			move_version(server->keys[i].version, history);
	for (struct fake_store *client = server->clients; client;
	     client = client->next)
		if (!fake_store_is_unreachable(client))
			notify_lost(client);
}

void fake_store_init(struct fake_store *store, struct fake_store_server *server)
{
	memset(store, 0, sizeof(*store));
	store->store.ops = &fake_store_ops;
	store->server = server;
	store->next = server->clients;
	server->clients = store;
}

void fake_store_end_operations(struct fake_store *store)
{
	const struct tgw_store_result result = {
		.status = TGW_UNAVAILABLE,
		.message = "the store client was closed",
	};
	struct operation *operation = store->operations;

	store->operations = NULL;
	store->generation++;
	while (operation) {
		struct operation *next = operation->next;

		operation->callback.done(operation->callback.arg, &result);
		operation = next;
	}
}

void fake_store_reset(struct fake_store *store)
{
	while (store->watches)
		fake_store_unwatch(&store->store, store->watches->handle);
	store->generation++;
	store->paused = false;
	store->watch_broken = false;
}

static void notify_unreachable(struct fake_store *store)
{
	struct fake_store_watch *watch;

	for (watch = store->watches; watch; watch = watch->next)
		if (watch->watcher.unreachable)
			watch->watcher.unreachable(watch->watcher.arg);
}

void fake_store_set_partitioned(struct fake_store *store, bool partitioned)
{
	bool was_unreachable = fake_store_is_unreachable(store);

	store->partitioned = partitioned;
	if (partitioned)
		notify_unreachable(store);
	if (was_unreachable && !fake_store_is_unreachable(store)) {
		notify_lost(store);
	}
}

void fake_store_server_set_outage(struct fake_store_server *server, bool outage)
{
	struct fake_store *client;
	bool had_outage = server->outage;

	server->outage = outage;
	for (client = server->clients; client && outage; client = client->next)
		notify_unreachable(client);
	if (!had_outage || outage)
		return;
	for (client = server->clients; client; client = client->next)
		if (!client->partitioned) {
			notify_lost(client);
		}
}
