#include "fakes/fake_store.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define DEFAULT_LATENCY_US INT64_C(3000)
#define OUTAGE_TIMEOUT_US (INT64_C(200) * TGW_US_PER_MS)
/* A call of a watch takes this long when nothing changes. */
#define WATCH_CALL_US (INT64_C(500) * TGW_US_PER_MS)
#define PAUSED_RETRY_US (INT64_C(50) * TGW_US_PER_MS)

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

struct fake_store_watch {
	struct fake_store_watch *next;
	uint64_t handle;
	char *prefix;
	struct tgw_store_watcher watcher;
	bool missed; /* changes since the last list */
};

struct watch_event {
	struct fake_store *client;
	uint64_t client_generation;
	uint64_t handle;
	bool lost;     /* changes may have been missed; key is empty */
	bool confirms; /* no more changes up to the revision; key is empty */
	int64_t revision;
	struct fake_store_key key;
};

static bool has_prefix(const char *text, const char *prefix)
{
	return !strncmp(text, prefix, strlen(prefix));
}

static bool is_unreachable(const struct fake_store *client)
{
	return client->partitioned || client->server->outage;
}

static struct fake_store_key copy_key(const struct fake_store_key *key)
{
	struct fake_store_key copy = *key;

	copy.name = xstrdup(key->name);
	copy.value = key->value ? xmemdup(key->value, key->value_size) : NULL;
	return copy;
}

static void clear_key(struct fake_store_key *key)
{
	free(key->name);
	free(key->value);
}

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

static struct fake_store_watch *find_watch(struct fake_store *client,
					   uint64_t handle)
{
	struct fake_store_watch *watch = client->watches;

	while (watch && watch->handle != handle)
		watch = watch->next;
	return watch;
}

static void free_watch_event(void *arg)
{
	struct watch_event *event = arg;

	clear_key(&event->key);
	free(event);
}

static void deliver_watch_event(void *arg)
{
	struct watch_event *event = arg;
	struct fake_store *client = event->client;
	struct fake_store_watch *watch;
	struct tgw_store_entry entry = {
		.key = event->key.name,
		.value = event->key.value,
		.value_size = event->key.value_size,
		.version = event->key.value ? event->key.version
					    : TGW_STORE_ABSENT,
		.deleted_version = event->key.value ? 0 : event->key.version,
	};

	if (client->generation == event->client_generation && client->paused) {
		fake_world_after_or_release(client->server->world,
					    PAUSED_RETRY_US,
					    deliver_watch_event,
					    free_watch_event, event);
		return;
	}
	watch = find_watch(client, event->handle);
	if (client->generation == event->client_generation && watch) {
		watch->missed |= event->lost || is_unreachable(client);
		if (event->lost)
			watch->watcher.lost(watch->watcher.arg);
		else if (event->confirms && !watch->missed)
			watch->watcher.confirmed(watch->watcher.arg,
						 event->revision);
		else if (event->confirms && is_unreachable(client))
			watch->watcher.unreachable(watch->watcher.arg);
		else if (!event->confirms && !is_unreachable(client))
			watch->watcher.changed(watch->watcher.arg, &entry);
	}
	free_watch_event(event);
}

static void send_watch_event(struct fake_store *client,
			     const struct fake_store_watch *watch, bool lost,
			     const struct fake_store_key *key)
{
	struct watch_event *event = xcalloc(1, sizeof(*event));

	event->client = client;
	event->client_generation = client->generation;
	event->handle = watch->handle;
	event->lost = lost;
	if (key)
		event->key = copy_key(key);
	fake_world_after_or_release(client->server->world,
				    client->server->latency_us,
				    deliver_watch_event, free_watch_event,
				    event);
}

/* A watch that is interested makes one call after the other. */
static void confirm(void *arg)
{
	struct watch_event *call = arg;
	struct fake_store *client = call->client;
	const struct fake_store_watch *watch = find_watch(client, call->handle);
	struct watch_event *event;

	if (client->generation != call->client_generation || !watch) {
		free_watch_event(call);
		return;
	}
	event = xcalloc(1, sizeof(*event));
	*event = *call;
	event->confirms = true;
	event->revision = client->server->revision;
	if (client->watch_broken || client->paused)
		free_watch_event(event);
	else
		fake_world_after_or_release(client->server->world,
					    client->server->latency_us,
					    deliver_watch_event,
					    free_watch_event, event);
	client->server->watch_calls++;
	fake_world_after_or_release(
		client->server->world,
		watch->watcher.idle_us ? watch->watcher.idle_us : WATCH_CALL_US,
		confirm, free_watch_event, call);
}

static void start_confirming(struct fake_store *client,
			     const struct fake_store_watch *watch)
{
	struct watch_event *call = xcalloc(1, sizeof(*call));

	call->client = client;
	call->client_generation = client->generation;
	call->handle = watch->handle;
	fake_world_after_or_release(client->server->world, 0, confirm,
				    free_watch_event, call);
}

/* Reports what was written after the revision. */
static void report_later(struct fake_store *client,
			 const struct fake_store_watch *watch)
{
	const struct fake_store_server *server = client->server;

	for (size_t i = 0; i < server->key_count; i++)
		if (has_prefix(server->keys[i].name, watch->prefix) &&
		    server->keys[i].version > watch->watcher.after_revision)
			send_watch_event(client, watch, false,
					 &server->keys[i]);
}

static void notify_watchers(struct fake_store_server *server,
			    const struct fake_store_key *key)
{
	struct fake_store *client;
	struct fake_store_watch *watch;

	for (client = server->clients; client; client = client->next) {
		if (client->watch_broken || is_unreachable(client))
			continue;
		for (watch = client->watches; watch; watch = watch->next)
			if (has_prefix(key->name, watch->prefix))
				send_watch_event(client, watch, false, key);
	}
}

static void write_key(struct fake_store_server *server,
		      struct fake_store_key *key, const void *value,
		      size_t value_size)
{
	free(key->value);
	key->value = value ? xmemdup(value, value_size) : NULL;
	key->value_size = value ? value_size : 0;
	key->version = ++server->revision;
	notify_watchers(server, key);
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
	operation->found[operation->found_count++] = copy_key(key);
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
	     has_prefix(server->keys[i].name, operation->key);
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
		clear_key(&operation->found[i]);
	free(operation->found);
	free(operation->key);
	free(operation->value);
	free(operation);
}

/* Watches of a listed prefix go on after the list. */
static void start_watches(const struct operation *operation)
{
	if (operation->kind != OPERATION_LIST || operation->status != TGW_OK)
		return;
	for (struct fake_store_watch *watch = operation->client->watches; watch;
	     watch = watch->next)
		if (!strcmp(watch->prefix, operation->key))
			watch->missed = false;
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
					    PAUSED_RETRY_US, deliver_response,
					    free_operation, operation);
		return;
	}
	start_watches(operation);
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
		clear_key(&operation->found[i]);
	operation->found_count = 0;
}

/* Runs the operation at the server, unless a fault keeps it from arriving. */
static void run_operation(void *arg)
{
	struct operation *operation = arg;
	struct fake_store *client = operation->client;
	struct fake_store_server *server = client->server;

	if (is_unreachable(client)) {
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

static uint64_t fake_watch(struct tgw_store *store, const char *prefix,
			   struct tgw_store_watcher watcher)
{
	struct fake_store *client = (struct fake_store *)store;
	struct fake_store_watch *watch = xcalloc(1, sizeof(*watch));

	watch->handle = ++client->next_handle;
	watch->prefix = xstrdup(prefix);
	watch->watcher = watcher;
	watch->next = client->watches;
	client->watches = watch;
	if (watcher.after_revision)
		report_later(client, watch);
	if (watcher.confirmed)
		start_confirming(client, watch);
	return watch->handle;
}

static void fake_unwatch(struct tgw_store *store, uint64_t handle)
{
	struct fake_store *client = (struct fake_store *)store;
	struct fake_store_watch **link = &client->watches;

	while (*link && (*link)->handle != handle)
		link = &(*link)->next;
	if (*link) {
		struct fake_store_watch *watch = *link;

		*link = watch->next;
		free(watch->prefix);
		free(watch);
	}
}

static const struct tgw_store_ops fake_store_ops = {
	.get = fake_get,
	.list = fake_list,
	.swap = fake_swap,
	.watch = fake_watch,
	.unwatch = fake_unwatch,
};

void fake_store_server_init(struct fake_store_server *server,
			    struct fake_world *world)
{
	memset(server, 0, sizeof(*server));
	server->world = world;
	server->latency_us = DEFAULT_LATENCY_US;
}

void fake_store_server_clear(struct fake_store_server *server)
{
	for (size_t i = 0; i < server->key_count; i++)
		clear_key(&server->keys[i]);
	free(server->keys);
	server->keys = NULL;
	server->key_count = 0;
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
		fake_unwatch(&store->store, store->watches->handle);
	store->generation++;
	store->paused = false;
	store->watch_broken = false;
}

static void notify_lost(struct fake_store *store)
{
	struct fake_store_watch *watch;

	for (watch = store->watches; watch; watch = watch->next)
		send_watch_event(store, watch, true, NULL);
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
	bool was_unreachable = is_unreachable(store);

	store->partitioned = partitioned;
	if (partitioned)
		notify_unreachable(store);
	if (was_unreachable && !is_unreachable(store)) {
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
