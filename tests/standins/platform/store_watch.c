#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "base/xalloc.h"
#include "standins/platform/base64.h"
#include "standins/platform/platform.h"

#define LIVENESS_CHECK_NS (200 * 1000 * 1000)

/** One open watch; the thread of its connection writes the stream. */
struct watch {
	struct platform *platform;
	int socket;
	struct kv_range range;
	int64_t next_revision;
	bool created; /* the line that reports its creation was added */
	struct buffer pending;
};

static void add_line(struct watch *watch, json_t *result)
{
	json_t *line = json_pack("{s:o}", "result", result);
	char *text = json_dumps(line, JSON_COMPACT);

	buffer_add_text(&watch->pending, text);
	buffer_add_text(&watch->pending, "\n");
	free(text);
	json_decref(line);
}

static json_t *new_result(const struct watch *watch)
{
	return json_pack(
		"{s:{s:o}}", "header", "revision",
		store_api_number_text(kv_revision(watch->platform->kv)));
}

static json_t *event_of(const struct kv_entry *change)
{
	json_t *event =
		json_pack("{s:o}", "kv", store_api_entry(change, false));

	if (!change->value)
		json_object_set_new(event, "type", json_string("DELETE"));
	return event;
}

/* Adds a line with the changes that this watch has not sent yet. */
static void collect(struct watch *watch)
{
	const struct kv *kv = watch->platform->kv;
	const struct kv_entry *change =
		kv_change_from(kv, watch->next_revision);
	json_t *events = json_array();
	json_t *result;

	for (; change; change = kv_change_after(kv, change))
		if (kv_range_has(&watch->range, change->key, change->key_size))
			json_array_append_new(events, event_of(change));
	watch->next_revision = kv_revision(kv) + 1;
	if (json_array_size(events)) {
		result = new_result(watch);
		json_object_set(result, "events", events);
		add_line(watch, result);
	}
	json_decref(events);
}

static void start(struct watch *watch)
{
	json_t *result = new_result(watch);
	int64_t oldest = kv_oldest_change(watch->platform->kv);

	json_object_set_new(result, "created", json_true());
	watch->created = true;
	if (watch->next_revision >= oldest) {
		add_line(watch, result);
		return;
	}
	json_object_set_new(result, "canceled", json_true());
	json_object_set_new(result, "compact_revision",
			    store_api_number_text(oldest));
	add_line(watch, result);
	watch->next_revision = kv_revision(watch->platform->kv) + 1;
}

static bool is_closed(const struct watch *watch)
{
	char byte;

	return !recv(watch->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

static void wait_for_change(struct platform *platform)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += LIVENESS_CHECK_NS;
	if (until.tv_nsec >= 1000000000) {
		until.tv_nsec -= 1000000000;
		until.tv_sec++;
	}
	pthread_cond_timedwait(&platform->changed, &platform->lock, &until);
}

static ssize_t read_watch(void *arg, uint64_t position, char *target,
			  size_t size)
{
	struct watch *watch = arg;
	struct platform *platform = watch->platform;
	ssize_t written = MHD_CONTENT_READER_END_WITH_ERROR;

	pthread_mutex_lock(&platform->lock);
	while (!platform->outage) {
		if (!watch->created)
			start(watch);
		if (!watch->pending.size)
			collect(watch);
		if (watch->pending.size)
			break;
		if (is_closed(watch))
			goto out;
		wait_for_change(platform);
		kv_lease_expire(platform->kv, standin_now_us(), false);
	}
	if (platform->outage)
		goto out;
	if (size > watch->pending.size)
		size = watch->pending.size;
	memcpy(target, watch->pending.data, size);
	buffer_consume(&watch->pending, size);
	platform->bytes_out += (int64_t)size;
	written = (ssize_t)size;
out:
	pthread_mutex_unlock(&platform->lock);
	return written;
}

static void release_watch(void *arg)
{
	struct watch *watch = arg;

	pthread_mutex_lock(&watch->platform->lock);
	watch->platform->watches_waiting--;
	pthread_mutex_unlock(&watch->platform->lock);
	store_api_range_free(&watch->range);
	buffer_free(&watch->pending);
	free(watch);
}

enum MHD_Result store_watch_serve(struct platform *platform,
				  struct standin_call *call,
				  const json_t *request)
{
	const json_t *create = json_object_get(request, "create_request");
	int64_t start_revision = store_api_number(create, "start_revision");
	struct watch *watch = xcalloc(1, sizeof(*watch));
	bool outage;

	if (!store_api_range(create, &watch->range)) {
		store_api_range_free(&watch->range);
		free(watch);
		return standin_reply_error(call, 400, "malformed request");
	}
	watch->platform = platform;
	watch->socket =
		MHD_get_connection_info(call->connection,
					MHD_CONNECTION_INFO_CONNECTION_FD)
			->connect_fd;
	pthread_mutex_lock(&platform->lock);
	platform->calls[CALL_WATCH]++;
	platform->bytes_in += (int64_t)call->body.size;
	outage = platform->outage;
	if (!outage)
		platform->watches_waiting++;
	watch->next_revision = start_revision ? start_revision
					      : kv_revision(platform->kv) + 1;
	pthread_mutex_unlock(&platform->lock);
	if (outage) {
		store_api_range_free(&watch->range);
		free(watch);
		return MHD_NO;
	}
	return standin_reply_stream(call, "application/json", read_watch, watch,
				    release_watch);
}
