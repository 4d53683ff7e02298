#include "edge/edge_pages.h"

#include <string.h>

#include "edge/edge.h"
#include "edge/edge_metrics.h"
#include "state/request_fingerprint.h"

static const struct server_limits page_limits = {
	.head_bytes = 8 * 1024,
	.body_bytes = 1024,
	.head_ms = 2000,
	.idle_ms = 10000,
	.stall_ms = 2000,
};

/* A host that has not read the routes and the list of servers yet could only
 * refuse requests. */
static bool is_ready(const struct edge *edge)
{
	return !edge->stopping && !edge->load.overloaded &&
	       route_follower_set(edge->route_follower) &&
	       backend_follower_is_ready(edge->backend_follower);
}

static void add_quarantined(void *arg, const struct quarantine_item *item,
			    uint32_t incidents)
{
	struct buffer *text = arg;
	char fingerprint[REQUEST_FINGERPRINT_TEXT_SIZE];
	int64_t first_us = INT64_MAX;
	int64_t last_us = 0;

	for (size_t i = 0; i < item->crash_count; i++) {
		int64_t wall_us = item->crashes[i].wall_us;

		first_us = wall_us < first_us ? wall_us : first_us;
		last_us = wall_us > last_us ? wall_us : last_us;
	}
	request_fingerprint_to_text(&item->fingerprint, fingerprint);
	buffer_add_format(
		text,
		"%s fingerprint=%s team=%s part=%s crashes=%zu "
		"incidents=%u first_ts=%lld.%03lld last_ts=%lld.%03lld"
		" epoch=%llu\n",
		item->is_refused ? "refused" : "suspected", fingerprint,
		*item->team ? item->team : "-", *item->part ? item->part : "-",
		item->crash_count, incidents,
		(long long)(first_us / TGW_US_PER_S),
		(long long)(first_us / TGW_US_PER_MS % 1000),
		(long long)(last_us / TGW_US_PER_S),
		(long long)(last_us / TGW_US_PER_MS % 1000),
		(unsigned long long)item->epoch);
}

/* Tells which configuration is in force, and what of it is not as written. */
static void write_config_status(const struct edge *edge, struct buffer *text)
{
	const struct route_set *set = route_follower_set(edge->route_follower);
	const struct config_remarks *remarks;

	buffer_add_format(text, "config version=%lld not_as_written=%zu",
			  set ? (long long)set->version : -1,
			  set ? set->remarks.count : 0);
	if (edge->config_refusal)
		buffer_add_format(text, " newer_refused=\"%s\"",
				  edge->config_refusal);
	buffer_add_text(text, "\n");
	if (!set)
		return;
	remarks = &set->remarks;
	for (size_t i = 0; i < config_remarks_kept(remarks); i++)
		buffer_add_format(
			text,
			"config member=\"%s\" written=\"%s\" in_force=\"%s\"\n",
			remarks->kept[i].member, remarks->kept[i].written,
			remarks->kept[i].in_force);
}

/* The balancer does not read the body. */
static int write_ready(const struct edge *edge, struct buffer *text)
{
	const struct route_set *set = route_follower_set(edge->route_follower);

	if (edge->config_refusal || (set && set->remarks.count))
		write_config_status(edge, text);
	return is_ready(edge) ? 200 : 503;
}

static int write_metrics(const struct edge *edge, struct buffer *text)
{
	edge_metrics_write(edge, is_ready(edge), text);
	return 200;
}

static int write_quarantine(const struct edge *edge, struct buffer *text)
{
	request_quarantine_list(edge->quarantine, add_quarantined, text);
	return 200;
}

static int write_status(const struct edge *edge, struct buffer *text)
{
	write_config_status(edge, text);
	return 200;
}

static const struct page {
	const char *path;
	/** Appends the body. @return the status */
	int (*write)(const struct edge *edge, struct buffer *text);
	const char *fields;
} pages[] = {
	{"/ready", write_ready, ""},
	{"/metrics", write_metrics,
	 "Content-Type: text/plain; version=0.0.4\r\n"},
	{"/quarantine", write_quarantine, "Content-Type: text/plain\r\n"},
	{"/status", write_status, "Content-Type: text/plain\r\n"},
};

static const struct page *find_page(const char *path)
{
	for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++)
		if (!strcmp(pages[i].path, path))
			return &pages[i];
	return NULL;
}

static void on_request(struct server_conn *conn)
{
	const struct page *page = find_page(conn->request.target.data);
	struct buffer fields = {0};
	struct buffer body = {0};
	int status = 404;

	if (page) {
		status = page->write(conn->owner, &body);
		buffer_add_text(&fields, page->fields);
	}
	server_conn_send_head(conn, status, &fields, (int64_t)body.size, false);
	server_conn_send_body(conn, body.data, body.size);
	server_conn_finish(conn);
	buffer_free(&fields);
	buffer_free(&body);
}

static void ignore(struct server_conn *conn)
{
}

static void on_closed(struct server_conn *conn)
{
	struct edge *edge = conn->owner;

	if (conn->previous)
		conn->previous->next = conn->next;
	else
		edge->page_conns = conn->next;
	if (conn->next)
		conn->next->previous = conn->previous;
}

static const struct server_conn_events page_events = {
	.request = on_request,
	.disconnected = ignore,
	.drained = ignore,
	.closed = on_closed,
};

void edge_pages_on_connection(uv_stream_t *listener, int status)
{
	struct edge *edge = listener->data;
	struct server_conn *conn;

	if (status < 0)
		return;
	conn = server_conn_accept(listener, &page_limits, &page_events, edge);
	if (!conn)
		return;
	conn->next = edge->page_conns;
	if (conn->next)
		conn->next->previous = conn;
	edge->page_conns = conn;
}
