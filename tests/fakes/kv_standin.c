#include "fakes/kv_standin.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/loop_listener.h"
#include "transport/server_conn.h"

#define TEXT_SIZE 256

static const struct server_limits limits = {
	.head_bytes = 64 * 1024,
	.body_bytes = 4 * 1024 * 1024,
	.head_ms = 10000,
	.idle_ms = 60000,
	.stall_ms = 10000,
};

/* A watch request that waits for changes. */
struct kv_standin_watch {
	struct kv_standin *store;
	struct server_conn *conn;
	char prefix[TEXT_SIZE];
	int64_t after; /* reports changes of later revisions */
	uv_timer_t timer;
	struct kv_standin_watch *next;
};

static void answer(struct server_conn *conn, int status, json_t *body)
{
	const struct kv_standin_view *view = conn->owner;
	const struct kv_standin *store = view->store;
	struct buffer fields = {0};
	char *text = body ? json_dumps(body, JSON_COMPACT) : xstrdup("{}");

	buffer_add_text(&fields, "Content-Type: application/json\r\n");
	if (store->era_text)
		buffer_add_format(&fields, "Store-Era: %s\r\n",
				  store->era_text);
	else if (store->era)
		buffer_add_format(&fields, "Store-Era: %lld\r\n",
				  (long long)store->era);
	server_conn_send_head(conn, status, &fields, (int64_t)strlen(text),
			      false);
	server_conn_send_body(conn, text, strlen(text));
	server_conn_finish(conn);
	buffer_free(&fields);
	free(text);
	json_decref(body);
}

static struct kv_standin_item *find(struct kv_standin *store, const char *key)
{
	for (struct kv_standin_item *item = store->items; item;
	     item = item->next)
		if (!strcmp(item->key, key))
			return item;
	return NULL;
}

static json_t *describe(const struct kv_standin_view *view,
			const struct kv_standin_item *item)
{
	json_t *object = json_object();
	char *replaced = NULL;

	if (item->value && view->replace)
		replaced = view->replace(view->arg, item->key, item->value);

	json_object_set_new(object, "key", json_string(item->key));
	json_object_set_new(object, "revision", json_integer(item->revision));
	if (item->value)
		json_object_set_new(object, "value",
				    json_string(replaced ? replaced
							 : item->value));
	else
		json_object_set_new(object, "tombstone", json_true());
	free(replaced);
	return object;
}

static void query_text(const struct server_conn *conn, const char *name,
		       char *text)
{
	const char *at = strchr(conn->request.target.data, '?');
	size_t size = strlen(name);

	*text = '\0';
	while (at) {
		at++;
		if (!strncmp(at, name, size) && at[size] == '=') {
			size_t length = strcspn(at + size + 1, "&");

			snprintf(text, TEXT_SIZE, "%.*s", (int)length,
				 at + size + 1);
			return;
		}
		at = strchr(at, '&');
	}
}

static json_t *list(const struct kv_standin_view *view, const char *prefix,
		    int64_t after, bool removed, const char *name)
{
	const struct kv_standin *store = view->store;
	json_t *body = json_object();
	json_t *items = json_array();

	for (const struct kv_standin_item *item = store->items; item;
	     item = item->next)
		if (!strncmp(item->key, prefix, strlen(prefix)) &&
		    item->revision > after && (item->value || removed))
			json_array_append_new(items, describe(view, item));
	json_object_set_new(body, name, items);
	json_object_set_new(body, "storeRevision",
			    json_integer(store->revision));
	return body;
}

static void on_watch_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void end_watch(struct kv_standin_watch *watch)
{
	struct kv_standin_watch **at = &watch->store->watches;

	while (*at != watch)
		at = &(*at)->next;
	*at = watch->next;
	uv_close((uv_handle_t *)&watch->timer, on_watch_closed);
}

static void answer_watch(struct kv_standin_watch *watch)
{
	struct server_conn *conn = watch->conn;
	const struct kv_standin_view *view = conn->owner;
	json_t *body = list(view, watch->prefix, watch->after, true, "events");

	conn->call = NULL;
	end_watch(watch);
	if (view->silent)
		json_decref(body);
	else
		answer(conn, 200, body);
}

static void on_watch_timeout(uv_timer_t *timer)
{
	answer_watch(timer->data);
}

static bool has_changes(const struct kv_standin_watch *watch)
{
	for (const struct kv_standin_item *item = watch->store->items; item;
	     item = item->next)
		if (item->revision > watch->after &&
		    !strncmp(item->key, watch->prefix, strlen(watch->prefix)))
			return true;
	return false;
}

static void on_cut(uv_timer_t *timer)
{
	struct kv_standin_watch *watch = timer->data;
	struct server_conn *conn = watch->conn;

	watch->store->cuts++;
	end_watch(watch);
	server_conn_abort(conn);
}

static void start_watch(struct kv_standin *store, struct server_conn *conn)
{
	struct kv_standin_watch *watch = xcalloc(1, sizeof(*watch));
	char text[TEXT_SIZE];
	int64_t wait_ms;

	watch->store = store;
	watch->conn = conn;
	query_text(conn, "pathPrefix", watch->prefix);
	query_text(conn, "after", text);
	watch->after = strtoll(text, NULL, 10);
	if (store->revision - watch->after > store->max_watch_lag)
		store->max_watch_lag = store->revision - watch->after;
	query_text(conn, "waitMs", text);
	uv_timer_init(store->loop, &watch->timer);
	watch->timer.data = watch;
	wait_ms = strtoll(text, NULL, 10);
	if (store->cut_watches_ms && store->cut_watches_ms < wait_ms)
		uv_timer_start(&watch->timer, on_cut,
			       (uint64_t)store->cut_watches_ms, 0);
	else
		uv_timer_start(&watch->timer, on_watch_timeout,
			       (uint64_t)wait_ms, 0);
	watch->next = store->watches;
	store->watches = watch;
	conn->call = watch;
	if (has_changes(watch))
		answer_watch(watch);
}

static void notify_watches(struct kv_standin *store, const char *key)
{
	struct kv_standin_watch *watch = store->watches;

	while (watch) {
		struct kv_standin_watch *next = watch->next;

		if (!strncmp(key, watch->prefix, strlen(watch->prefix)))
			answer_watch(watch);
		watch = next;
	}
}

static void set(struct kv_standin *store, const char *key, const char *value)
{
	struct kv_standin_item *item = find(store, key);

	if (!item) {
		item = xcalloc(1, sizeof(*item));
		item->key = xstrdup(key);
		item->next = store->items;
		store->items = item;
	}
	free(item->value);
	item->value = value ? xstrdup(value) : NULL;
	item->revision = ++store->revision;
	notify_watches(store, key);
}

void kv_standin_put(struct kv_standin *store, const char *key,
		    const char *value)
{
	size_t size = value ? strlen(value) : 0;
	size_t length =
		sodium_base64_encoded_len(size, sodium_base64_VARIANT_ORIGINAL);
	char *text = xmalloc(length);

	sodium_bin2base64(text, length, (const uint8_t *)value, size,
			  sodium_base64_VARIANT_ORIGINAL);
	set(store, key, value ? text : NULL);
	free(text);
}

static void free_items(struct kv_standin_item *items)
{
	while (items) {
		struct kv_standin_item *item = items;

		items = item->next;
		free(item->key);
		free(item->value);
		free(item);
	}
}

static struct kv_standin_item *copy_items(const struct kv_standin_item *items)
{
	struct kv_standin_item *copy = NULL;

	for (; items; items = items->next) {
		struct kv_standin_item *item = xcalloc(1, sizeof(*item));

		item->key = xstrdup(items->key);
		item->value = items->value ? xstrdup(items->value) : NULL;
		item->revision = items->revision;
		item->next = copy;
		copy = item;
	}
	return copy;
}

void kv_standin_copy(struct kv_standin *store)
{
	free_items(store->copy.items);
	store->copy.items = copy_items(store->items);
	store->copy.revision = store->revision;
}

static void cut_watches(struct kv_standin *store)
{
	while (store->watches) {
		struct server_conn *conn = store->watches->conn;

		conn->call = NULL;
		end_watch(store->watches);
		server_conn_abort(conn);
	}
}

void kv_standin_return(struct kv_standin *store)
{
	cut_watches(store);
	free_items(store->items);
	store->items = copy_items(store->copy.items);
	store->revision = store->copy.revision;
	store->era++;
}

/* Writes the key's value once more, which gives it a new revision. */
static void race_write(struct kv_standin *store, const char *key)
{
	struct kv_standin_item *item = find(store, key);

	if (!store->race_writes || !item || !item->value ||
	    store->conflict_count == KV_STANDIN_CONFLICTS_MAX)
		return;
	store->race_writes--;
	store->conflicted_ms[store->conflict_count++] = uv_now(store->loop);
	item->revision = ++store->revision;
}

static void write_transaction(struct kv_standin *store,
			      struct server_conn *conn)
{
	json_t *body = json_loadb(conn->request.body.data,
				  conn->request.body.size, 0, NULL);
	json_t *items = json_array();
	const json_t *row;
	size_t i;
	bool revisions_match = true;
	const struct kv_standin_view *view = conn->owner;

	json_array_foreach(json_object_get(body, "expectedRevision"), i, row)
	{
		const char *key =
			json_string_value(json_object_get(row, "key"));
		struct kv_standin_item *item = find(store, key);
		int64_t revision;

		race_write(store, key);
		revision = item && item->value ? item->revision : 0;

		if (revision !=
		    json_integer_value(json_object_get(row, "revision")))
			revisions_match = false;
		if (item && item->value)
			json_array_append_new(items, describe(view, item));
	}
	if (revisions_match) {
		json_array_foreach(json_object_get(body, "writes"), i, row)
			set(store,
			    json_string_value(json_object_get(row, "key")),
			    json_string_value(json_object_get(row, "value")));
	}
	if (revisions_match && store->lose_answers) {
		store->lose_answers--;
		json_decref(items);
	} else if (revisions_match) {
		answer(conn, 200,
		       json_pack("{s:I}", "revision",
				 (json_int_t)store->revision));
		json_decref(items);
	} else {
		answer(conn, 412, json_pack("{s:o}", "items", items));
	}
	json_decref(body);
}

static void write_stray_bytes(const struct kv_standin *store,
			      struct server_conn *conn)
{
	uv_buf_t bytes;

	if (!store->stray_bytes)
		return;
	bytes = uv_buf_init((char *)store->stray_bytes,
			    (unsigned int)strlen(store->stray_bytes));
	uv_try_write((uv_stream_t *)&conn->tcp, &bytes, 1);
}

static void on_request(struct server_conn *conn)
{
	struct kv_standin_view *view = conn->owner;
	struct kv_standin *store = view->store;
	const char *target = conn->request.target.data;
	struct kv_standin_item *item;
	char text[TEXT_SIZE];

	store->calls++;
	if (store->silent || view->silent)
		return;
	if (strncmp(target, "/kv-watch", 9) != 0)
		write_stray_bytes(store, conn);
	if (store->refuse_status || view->refuse_status) {
		answer(conn,
		       view->refuse_status ? view->refuse_status
					   : store->refuse_status,
		       NULL);
	} else if (!strncmp(target, "/kv-key", 7)) {
		query_text(conn, "key", text);
		item = find(store, text);
		if (item && item->value)
			answer(conn, 200, describe(view, item));
		else
			answer(conn, 404, NULL);
	} else if (!strncmp(target, "/kv-range", 9)) {
		query_text(conn, "pathPrefix", text);
		answer(conn, 200, list(view, text, 0, false, "items"));
	} else if (!strncmp(target, "/kv-watch", 9)) {
		query_text(conn, "after", text);
		if (strtoll(text, NULL, 10) < store->oldest)
			answer(conn, 410, NULL);
		else
			start_watch(store, conn);
	} else {
		write_transaction(store, conn);
	}
}

static void on_disconnected(struct server_conn *conn)
{
	if (conn->call)
		end_watch(conn->call);
	conn->call = NULL;
}

static void ignore(struct server_conn *conn)
{
}

static const struct server_conn_events events = {
	.request = on_request,
	.disconnected = on_disconnected,
	.drained = ignore,
	.closed = ignore,
};

static void on_connection(uv_stream_t *listener, int status)
{
	if (status >= 0)
		server_conn_accept(listener, &limits, &events, listener->data);
}

void kv_standin_start(struct kv_standin *store, uv_loop_t *loop)
{
	memset(store, 0, sizeof(*store));
	store->loop = loop;
	store->revision = 1;
	kv_standin_add_view(store, &store->main_view);
	memmove(store->address, store->main_view.address,
		sizeof(store->address));
}

void kv_standin_add_view(struct kv_standin *store, struct kv_standin_view *view)
{
	view->store = store;
	loop_listener_start(&view->listener, store->loop, on_connection, view,
			    view->address, sizeof(view->address));
}

void kv_standin_stop(struct kv_standin *store)
{
	uv_close((uv_handle_t *)&store->main_view.listener, NULL);
	free_items(store->items);
	free_items(store->copy.items);
	store->items = NULL;
	store->copy.items = NULL;
}
