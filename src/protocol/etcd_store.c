#include "protocol/etcd_store.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/xalloc.h"
#include "protocol/etcd_json.h"
#include "protocol/etcd_watch.h"

#define HTTP_STATUS_OK 200
#define HTTP_STATUS_TOO_MANY 429
#define HTTP_STATUS_SERVER_ERROR 500
/* Bounds the largest list that is read at once, with its Base64 and JSON
 * overhead. */
#define RESPONSE_MAX_BYTES (64u * 1024 * 1024)

enum call_kind { CALL_GET, CALL_LIST, CALL_SWAP };

struct etcd_store {
	struct tgw_store store; /* first member */
	struct http_sender *sender;
	struct executor *executor;
	char *url;
	int64_t timeout_us;
	struct etcd_watch_set *watches;
	struct etcd_store_counters counters;
};

/* One call in flight. The sender's thread fills it in until the exchange
 * ends. */
struct call {
	struct etcd_store *etcd;
	enum call_kind kind;
	bool is_delete;
	char *key;
	struct tgw_store_callback callback;
	int32_t http_status;
	bool too_large;
	enum http_outcome outcome;
	struct buffer body;
};

static void call_started(void *arg, int32_t status, const char *content_type)
{
	struct call *call = arg;

	call->http_status = status;
}

static bool call_data(void *arg, const void *data, size_t size)
{
	struct call *call = arg;

	if (call->body.size + size > RESPONSE_MAX_BYTES)
		call->too_large = true;
	if (!call->too_large)
		buffer_add(&call->body, data, size);
	return true;
}

static enum tgw_status exchange_status(const struct call *call)
{
	bool may_have_written = call->kind == CALL_SWAP;

	if (call->outcome == HTTP_NOT_CONNECTED)
		return TGW_UNAVAILABLE;
	if (call->outcome != HTTP_COMPLETE)
		return may_have_written ? TGW_UNKNOWN : TGW_UNAVAILABLE;
	if (call->http_status == HTTP_STATUS_TOO_MANY)
		return TGW_UNAVAILABLE;
	if (call->http_status >= HTTP_STATUS_SERVER_ERROR)
		return may_have_written ? TGW_UNKNOWN : TGW_UNAVAILABLE;
	if (call->http_status != HTTP_STATUS_OK)
		return TGW_INVALID;
	return TGW_OK;
}

static enum tgw_status parse_range(const struct call *call, const json_t *root,
				   struct etcd_entries *entries)
{
	if (!etcd_json_read_kvs(json_object_get(root, "kvs"), entries))
		return TGW_CORRUPT;
	if (call->kind == CALL_GET && !entries->count)
		etcd_entries_add_key(entries, call->key, TGW_STORE_ABSENT);
	return TGW_OK;
}

static enum tgw_status parse_swap(const struct call *call, const json_t *root,
				  struct etcd_entries *entries)
{
	const json_t *first =
		json_array_get(json_object_get(root, "responses"), 0);
	const json_t *revision =
		json_object_get(json_object_get(root, "header"), "revision");
	const json_t *range;

	if (json_is_true(json_object_get(root, "succeeded"))) {
		etcd_entries_add_key(entries, call->key,
				     call->is_delete
					     ? TGW_STORE_ABSENT
					     : etcd_json_number(revision));
		return TGW_OK;
	}
	range = json_object_get(first, "response_range");
	if (!json_is_object(range))
		return TGW_UNKNOWN;
	if (!etcd_json_read_kvs(json_object_get(range, "kvs"), entries))
		return TGW_UNKNOWN;
	if (!entries->count)
		etcd_entries_add_key(entries, call->key, TGW_STORE_ABSENT);
	return TGW_CONFLICT;
}

static enum tgw_status parse_response(const struct call *call,
				      struct etcd_entries *entries)
{
	json_t *root = json_loadb(call->body.data ? call->body.data : "",
				  call->body.size, 0, NULL);
	enum tgw_status status;

	if (!root || call->too_large)
		status = call->kind == CALL_SWAP ? TGW_UNKNOWN : TGW_CORRUPT;
	else if (call->kind == CALL_SWAP)
		status = parse_swap(call, root, entries);
	else
		status = parse_range(call, root, entries);
	json_decref(root);
	return status;
}

/* Runs on the executor's thread. */
static void finish_call(void *arg)
{
	struct call *call = arg;
	struct etcd_entries entries = {0};
	struct tgw_store_result result = {.status = exchange_status(call)};

	if (result.status == TGW_OK)
		result.status = parse_response(call, &entries);
	if (result.status != TGW_OK && result.status != TGW_CONFLICT)
		call->etcd->counters.failures++;
	call->etcd->counters.bytes_received += call->body.size;
	result.entries = entries.entries;
	result.entry_count = entries.count;
	result.message = tgw_status_name(result.status);
	call->callback.done(call->callback.arg, &result);
	etcd_entries_free(&entries);
	buffer_free(&call->body);
	free(call->key);
	free(call);
}

static void call_ended(void *arg, enum http_outcome outcome,
		       const char *message)
{
	struct call *call = arg;

	call->outcome = outcome;
	executor_post(call->etcd->executor, finish_call, call);
}

static void start_call(struct etcd_store *etcd, enum call_kind kind,
		       const char *path, const char *key, char *body,
		       bool is_delete, struct tgw_store_callback callback)
{
	struct call *call = xcalloc(1, sizeof(*call));
	char *url = xasprintf("%s%s", etcd->url, path);
	struct http_request request = {
		.method = "POST",
		.url = url,
		.header_count = 1,
		.headers = {{"Content-Type", "application/json"}},
		.body = body,
		.body_size = strlen(body),
		.connect_timeout_us = etcd->timeout_us,
		.total_timeout_us = etcd->timeout_us,
		.may_resend = kind != CALL_SWAP,
	};
	struct http_handler handler = {
		.started = call_started,
		.data = call_data,
		.ended = call_ended,
		.arg = call,
	};

	call->etcd = etcd;
	call->kind = kind;
	call->is_delete = is_delete;
	call->key = xstrdup(key);
	call->callback = callback;
	etcd->counters.bytes_sent += request.body_size;
	if (kind == CALL_SWAP)
		etcd->counters.writes++;
	else
		etcd->counters.reads++;
	http_start(etcd->sender, &request, handler);
	free(url);
	free(body);
}

static void etcd_get(struct tgw_store *store, const char *key,
		     struct tgw_store_callback callback)
{
	start_call((struct etcd_store *)store, CALL_GET, "/v3/kv/range", key,
		   etcd_json_range(key, false), false, callback);
}

static void etcd_list(struct tgw_store *store, const char *prefix,
		      struct tgw_store_callback callback)
{
	start_call((struct etcd_store *)store, CALL_LIST, "/v3/kv/range",
		   prefix, etcd_json_range(prefix, true), false, callback);
}

static void etcd_swap(struct tgw_store *store, const char *key,
		      int64_t expected_version, const void *value,
		      size_t value_size, struct tgw_store_callback callback)
{
	start_call((struct etcd_store *)store, CALL_SWAP, "/v3/kv/txn", key,
		   etcd_json_swap(key, expected_version, value, value_size),
		   !value, callback);
}

static uint64_t etcd_watch(struct tgw_store *store, const char *prefix,
			   struct tgw_store_watcher watcher)
{
	struct etcd_store *etcd = (struct etcd_store *)store;

	return etcd_watch_set_add(etcd->watches, prefix, watcher);
}

static void etcd_unwatch(struct tgw_store *store, uint64_t handle)
{
	etcd_watch_set_remove(((struct etcd_store *)store)->watches, handle);
}

static const struct tgw_store_ops etcd_store_ops = {
	.get = etcd_get,
	.list = etcd_list,
	.swap = etcd_swap,
	.watch = etcd_watch,
	.unwatch = etcd_unwatch,
};

struct etcd_store *etcd_store_new(struct http_sender *sender,
				  struct executor *executor, const char *url,
				  int64_t timeout_us)
{
	struct etcd_store *store = xcalloc(1, sizeof(*store));

	store->store.ops = &etcd_store_ops;
	store->sender = sender;
	store->executor = executor;
	store->url = xstrdup(url);
	store->timeout_us = timeout_us;
	store->watches = etcd_watch_set_new(sender, executor, url, timeout_us);
	return store;
}

void etcd_store_free(struct etcd_store *store)
{
	if (!store)
		return;
	etcd_watch_set_free(store->watches);
	free(store->url);
	free(store);
}

struct tgw_store *etcd_store_store(struct etcd_store *store)
{
	return &store->store;
}

int64_t etcd_store_tick(struct etcd_store *store, int64_t now_us)
{
	return etcd_watch_set_tick(store->watches, now_us);
}

const struct etcd_store_counters *etcd_store_counters(
	const struct etcd_store *store)
{
	struct etcd_store *writable = (struct etcd_store *)store;

	writable->counters.watches_opened =
		etcd_watch_set_opened(store->watches);
	return &store->counters;
}
