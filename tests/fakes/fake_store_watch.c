#include "fakes/fake_store_watch.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

struct watch_event {
	struct fake_store *client;
	uint64_t client_generation;
	uint64_t handle;
	bool lost;     /* changes may have been missed; key is empty */
	bool confirms; /* no more changes up to the revision; key is empty */
	int64_t revision;
	struct fake_store_key key;
};

bool fake_store_has_prefix(const char *text, const char *prefix)
{
	return !strncmp(text, prefix, strlen(prefix));
}

bool fake_store_is_unreachable(const struct fake_store *client)
{
	return client->partitioned || client->server->outage;
}

struct fake_store_key fake_store_copy_key(const struct fake_store_key *key)
{
	struct fake_store_key copy = *key;

	copy.name = xstrdup(key->name);
	copy.value = key->value ? xmemdup(key->value, key->value_size) : NULL;
	return copy;
}

void fake_store_clear_key(struct fake_store_key *key)
{
	free(key->name);
	free(key->value);
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

	fake_store_clear_key(&event->key);
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
					    FAKE_STORE_PAUSED_RETRY_US,
					    deliver_watch_event,
					    free_watch_event, event);
		return;
	}
	watch = find_watch(client, event->handle);
	if (client->generation == event->client_generation && watch) {
		watch->missed |= event->lost ||
				 fake_store_is_unreachable(client);
		if (event->lost)
			watch->watcher.lost(watch->watcher.arg);
		else if (event->confirms && !watch->missed)
			watch->watcher.confirmed(watch->watcher.arg,
						 event->revision);
		else if (event->confirms && fake_store_is_unreachable(client))
			watch->watcher.unreachable(watch->watcher.arg);
		else if (!event->confirms && !watch->missed)
			watch->watcher.changed(watch->watcher.arg, &entry);
	}
	free_watch_event(event);
}

void fake_store_send_event(struct fake_store *client,
			   const struct fake_store_watch *watch, bool lost,
			   const struct fake_store_key *key)
{
	struct watch_event *event = xcalloc(1, sizeof(*event));

	event->client = client;
	event->client_generation = client->generation;
	event->handle = watch->handle;
	event->lost = lost;
	if (key)
		event->key = fake_store_copy_key(key);
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
	fake_world_after_or_release(client->server->world,
				    watch->watcher.idle_us
					    ? watch->watcher.idle_us
					    : FAKE_STORE_WATCH_CALL_US,
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
		if (fake_store_has_prefix(server->keys[i].name,
					  watch->prefix) &&
		    server->keys[i].version > watch->watcher.after_revision)
			fake_store_send_event(client, watch, false,
					      &server->keys[i]);
}

void fake_store_notify_watchers(struct fake_store_server *server,
				const struct fake_store_key *key)
{
	struct fake_store *client;
	struct fake_store_watch *watch;

	for (client = server->clients; client; client = client->next) {
		if (client->watch_broken || fake_store_is_unreachable(client))
			continue;
		for (watch = client->watches; watch; watch = watch->next)
			if (fake_store_has_prefix(key->name, watch->prefix))
				fake_store_send_event(client, watch, false,
						      key);
	}
}

void fake_store_start_watches(struct fake_store *client, const char *prefix,
			      int64_t revision)
{
	for (struct fake_store_watch *watch = client->watches; watch;
	     watch = watch->next) {
		if (!watch->missed || strcmp(watch->prefix, prefix) != 0)
			continue;
		watch->missed = false;
		watch->watcher.after_revision = revision;
		report_later(client, watch);
	}
}

uint64_t fake_store_watch(struct tgw_store *store, const char *prefix,
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

void fake_store_unwatch(struct tgw_store *store, uint64_t handle)
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
