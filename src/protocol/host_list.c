#include "protocol/host_list.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/xalloc.h"

#define HTTP_STATUS_OK 200
#define LIST_MAX_BYTES (4u * 1024 * 1024)

struct host_list_poller {
	struct http_sender *sender;
	struct executor *executor;
	char *url;
	int64_t interval_us;
	int64_t timeout_us;
	int64_t next_us;
	void (*on_snapshot)(void *arg,
			    const struct host_list_snapshot *snapshot);
	void *arg;
	bool busy;
	/* Filled in by the sender's thread while busy. */
	int32_t http_status;
	enum http_outcome outcome;
	bool too_large;
	struct buffer body;
};

static bool copy_text(const json_t *object, const char *name, char *text,
		      size_t size)
{
	const char *value = json_string_value(json_object_get(object, name));

	if (!value || !*value || strlen(value) >= size)
		return false;
	memcpy(text, value, strlen(value) + 1);
	return true;
}

/* Reads a host. If it lacks a field, only its name is known, by which it still
 * counts as listed.
 * @return false without a name */
static bool parse_host(const json_t *object, struct tgw_listed_host *host)
{
	struct tgw_listed_host whole;

	memset(host, 0, sizeof(*host));
	if (!copy_text(object, "name", host->name, sizeof(host->name)))
		return false;
	whole = *host;
	host->has_name_only = true;
	whole.leaving = json_is_true(json_object_get(object, "leaving"));
	if (copy_text(object, "failure_domain", whole.failure_domain,
		      sizeof(whole.failure_domain)) &&
	    copy_text(object, "peer_url", whole.peer_url,
		      sizeof(whole.peer_url)) &&
	    copy_text(object, "caller_url", whole.caller_url,
		      sizeof(whole.caller_url)))
		*host = whole;
	return true;
}

static bool parse_server(const json_t *object, struct listed_server *server)
{
	memset(server, 0, sizeof(*server));
	server->leaving = json_is_true(json_object_get(object, "leaving"));
	return copy_text(object, "name", server->name, sizeof(server->name));
}

static bool parse_list(struct host_list_snapshot *snapshot, const json_t *root)
{
	const json_t *hosts = json_object_get(root, "hosts");
	const json_t *servers = json_object_get(root, "servers");

	if (!json_is_array(hosts))
		return false;
	snapshot->hosts =
		xcalloc(json_array_size(hosts), sizeof(snapshot->hosts[0]));
	snapshot->servers =
		xcalloc(json_array_size(servers), sizeof(snapshot->servers[0]));
	for (size_t i = 0; i < json_array_size(hosts); i++)
		if (parse_host(json_array_get(hosts, i),
			       &snapshot->hosts[snapshot->host_count]))
			snapshot->host_count++;
	for (size_t i = 0; i < json_array_size(servers); i++)
		if (parse_server(json_array_get(servers, i),
				 &snapshot->servers[snapshot->server_count]))
			snapshot->server_count++;
	return true;
}

enum tgw_status host_list_decode(struct host_list_snapshot *snapshot,
				 const char *text, size_t size,
				 struct tgw_error *error)
{
	json_t *root = json_loadb(text, size, 0, NULL);
	enum tgw_status status = TGW_OK;

	memset(snapshot, 0, sizeof(*snapshot));
	if (!parse_list(snapshot, root)) {
		host_list_snapshot_clear(snapshot);
		status = tgw_error_set(error, TGW_CORRUPT,
				       "the platform's host list is malformed; "
				       "check [platform] list_url");
	}
	json_decref(root);
	return status;
}

void host_list_snapshot_clear(struct host_list_snapshot *snapshot)
{
	free(snapshot->hosts);
	free(snapshot->servers);
	memset(snapshot, 0, sizeof(*snapshot));
}

static void list_started(void *arg, int32_t status, const char *content_type)
{
	((struct host_list_poller *)arg)->http_status = status;
}

static bool list_data(void *arg, const void *data, size_t size)
{
	struct host_list_poller *poller = arg;

	if (poller->body.size + size > LIST_MAX_BYTES)
		poller->too_large = true;
	if (!poller->too_large)
		buffer_add(&poller->body, data, size);
	return true;
}

static void finish_poll(void *arg)
{
	struct host_list_poller *poller = arg;
	struct host_list_snapshot snapshot;

	poller->busy = false;
	if (poller->outcome != HTTP_COMPLETE ||
	    poller->http_status != HTTP_STATUS_OK || poller->too_large ||
	    !poller->body.data)
		return;
	if (host_list_decode(&snapshot, poller->body.data, poller->body.size,
			     NULL) != TGW_OK)
		return;
	poller->on_snapshot(poller->arg, &snapshot);
	host_list_snapshot_clear(&snapshot);
}

static void list_ended(void *arg, enum http_outcome outcome,
		       const char *message)
{
	struct host_list_poller *poller = arg;

	poller->outcome = outcome;
	executor_post(poller->executor, finish_poll, poller);
}

static void start_poll(struct host_list_poller *poller)
{
	struct http_request request = {
		.method = "GET",
		.url = poller->url,
		.connect_timeout_us = poller->timeout_us,
		.total_timeout_us = poller->timeout_us,
	};
	struct http_handler handler = {
		.started = list_started,
		.data = list_data,
		.ended = list_ended,
		.arg = poller,
	};

	poller->busy = true;
	poller->http_status = 0;
	buffer_clear(&poller->body);
	poller->too_large = false;
	http_start(poller->sender, &request, handler);
}

struct host_list_poller *host_list_poller_new(
	struct http_sender *sender, struct executor *executor, const char *url,
	int64_t interval_us, int64_t timeout_us,
	void (*on_snapshot)(void *arg,
			    const struct host_list_snapshot *snapshot),
	void *arg)
{
	struct host_list_poller *poller = xcalloc(1, sizeof(*poller));

	poller->sender = sender;
	poller->executor = executor;
	poller->url = xasprintf("%s/hosts", url);
	poller->interval_us = interval_us;
	poller->timeout_us = timeout_us;
	poller->on_snapshot = on_snapshot;
	poller->arg = arg;
	return poller;
}

void host_list_poller_free(struct host_list_poller *poller)
{
	if (!poller)
		return;
	buffer_free(&poller->body);
	free(poller->url);
	free(poller);
}

int64_t host_list_poller_tick(struct host_list_poller *poller, int64_t now_us)
{
	if (!poller->busy && poller->next_us <= now_us) {
		poller->next_us = now_us + poller->interval_us;
		start_poll(poller);
	}
	return poller->busy ? now_us + poller->interval_us : poller->next_us;
}
