/* Tests the platform's store client beside keys and items that another writer
 * made: what stands beside them is read, and a list that lacks keys is never
 * reported as whole. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/xalloc.h"
#include "edge/edge_clock.h"
#include "fakes/loop_listener.h"
#include "platform_store.h"
#include "tamarackgw/clock.h"
#include "transport/server_conn.h"
#include "unit/unit_main.h"

#define WAIT_MS 1000
#define CALLS_MAX 8
#define DEEP 100000
/* The JSON parser's own limit is 2,048. */
#define ALMOST_TOO_DEEP 2040
#define EVENTS 3000
/* Four times the events take four times as long, or 16 times if the time grows
 * with their square. */
#define MORE_EVENTS (4 * EVENTS)
#define MAX_TIMES_LONGER 8
#define TRIES 3

#define ITEM(key) \
	"{\"key\":\"servers/" key "\",\"revision\":5,\"value\":\"eA==\"}"
#define ODD_KEY "b\\r\\nX: 1 &%#\\u00e9"

static uv_loop_t loop;
static uv_tcp_t listener;
static char address[32];
static struct platform_store store;
static struct buffer answers[CALLS_MAX]; /**< by call; none: no answer */
static char targets[CALLS_MAX][512];
static unsigned int calls;
static enum tgw_status status;
static char seen[256]; /**< keys and the sizes of their values */
static unsigned int changes;
static bool listed;

static const struct server_limits limits = {
	.head_bytes = 65536,
	.body_bytes = 65536,
	.head_ms = 10000,
	.idle_ms = 60000,
	.stall_ms = 10000,
};

static void on_request(struct server_conn *conn)
{
	unsigned int call = calls++;
	struct buffer fields = {0};

	if (call >= CALLS_MAX)
		return;
	snprintf(targets[call], sizeof(targets[call]), "%s",
		 conn->request.target.data);
	if (!answers[call].size)
		return;
	buffer_add_text(&fields, "Content-Type: application/json\r\n");
	server_conn_send_head(conn, 200, &fields, (int64_t)answers[call].size,
			      false);
	server_conn_send_body(conn, answers[call].data, answers[call].size);
	server_conn_finish(conn);
	buffer_free(&fields);
}

static void ignore(struct server_conn *conn)
{
}

static const struct server_conn_events events = {
	.request = on_request,
	.disconnected = ignore,
	.drained = ignore,
	.closed = ignore,
};

static void on_connection(uv_stream_t *stream, int error)
{
	server_conn_accept(stream, &limits, &events, stream->data);
}

static void setup(void)
{
	struct platform_store_settings settings = {
		.call_timeout_ms = 300,
		.watch_wait_ms = 5000,
		.watch_pause_ms = 1,
	};

	uv_loop_init(&loop);
	loop_listener_start(&listener, &loop, on_connection, NULL, address,
			    sizeof(address));
	platform_store_init(&store, &loop, &settings);
	platform_http_client_set_address(&store.client, address);
}

static void close_handle(uv_handle_t *handle, void *arg)
{
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void teardown(void)
{
	platform_store_close(&store);
	/* Time for the server's connections to end. */
	for (int i = 0; i < 10; i++) {
		uv_run(&loop, UV_RUN_NOWAIT);
		usleep(1000);
	}
	uv_walk(&loop, close_handle, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
	for (int i = 0; i < CALLS_MAX; i++)
		buffer_free(&answers[i]);
}

static void note(const struct tgw_store_entry *entry)
{
	size_t used = strlen(seen);

	changes++;
	snprintf(seen + used, sizeof(seen) - used, "%s=%d ", entry->key + 8,
		 entry->value ? (int)entry->value_size : -1);
}

static void on_list(void *arg, const struct tgw_store_result *result)
{
	listed = true;
	status = result->status;
	for (size_t i = 0; i < result->entry_count; i++)
		note(&result->entries[i]);
}

static void run_until(const bool *flag, unsigned int change_count)
{
	int64_t until_us = edge_now_us() + WAIT_MS * TGW_US_PER_MS;

	while (!*flag && changes < change_count && edge_now_us() < until_us) {
		uv_run(&loop, UV_RUN_NOWAIT);
		usleep(500);
	}
}

static void list(void)
{
	tgw_store_list(&store.store, "servers/",
		       (struct tgw_store_callback){on_list, NULL});
	run_until(&listed, 1000);
}

static void add_page(unsigned int call, const char *items, bool has_more)
{
	buffer_add_format(&answers[call],
			  "{\"storeRevision\":9,\"items\":[%s],\"hasMore\":%s}",
			  items, has_more ? "true" : "false");
}

START_TEST(the_next_page_begins_after_any_key)
{
	add_page(0, ITEM("a") "," ITEM(ODD_KEY), true);
	add_page(1, ITEM("c"), false);
	list();
	ck_assert_int_eq(status, TGW_OK);
	ck_assert_str_eq(seen, "a=1 b\r\nX: 1 &%#\xc3\xa9=1 c=1 ");
	ck_assert_str_eq(targets[1],
			 "/kv-range?pathPrefix=servers/&after=servers/"
			 "b%0D%0AX%3A%201%20%26%25%23%C3%A9");
}
END_TEST

/* An item whose value can't be decoded. */
#define BAD(key) "{\"key\":\"servers/" key "\",\"revision\":5,\"value\":\"?\"}"

START_TEST(pages_of_odd_items_alone_do_not_end_a_list)
{
	add_page(0, BAD("a") "," BAD("b"), true);
	add_page(1, BAD("c") "," BAD("d"), true);
	add_page(2, ITEM("e"), false);
	list();
	ck_assert_int_eq(status, TGW_OK);
	ck_assert_str_eq(seen, "a=0 b=0 c=0 d=0 e=1 ");
	ck_assert_uint_eq(calls, 3);
}
END_TEST

START_TEST(a_list_that_cannot_go_on_fails)
{
	add_page(0, "", true);
	list();
	ck_assert_int_eq(status, TGW_UNAVAILABLE);
	ck_assert_uint_eq(calls, 1);
}
END_TEST

START_TEST(a_page_that_repeats_itself_fails)
{
	for (int i = 0; i < CALLS_MAX; i++)
		add_page((unsigned int)i, ITEM("a"), true);
	list();
	ck_assert_int_eq(status, TGW_UNAVAILABLE);
	ck_assert_uint_eq(calls, 2);
}
END_TEST

static char *nested(int depth)
{
	struct buffer text = {0};

	buffer_add_text(&text, "{\"key\":\"servers/odd\",\"revision\":5,"
			       "\"value\":\"eA==\",\"more\":");
	for (int i = 0; i < depth; i++)
		buffer_add_text(&text, "[");
	for (int i = 0; i < depth; i++)
		buffer_add_text(&text, "]");
	buffer_add_text(&text, "}");
	return text.data;
}

static const struct {
	const char *item;
	const char *expected;
} odd_items[] = {
	{"{\"key\":\"servers/odd\",\"revision\":99999999999999999999}", ""},
	{"{\"key\":\"servers/odd\",\"revision\":9223372036854775808}", ""},
	{"{\"key\":\"servers/odd\",\"revision\":9223372036854775807,"
	 "\"value\":\"eA==\"}",
	 ""},
	{"{\"key\":\"servers/odd\",\"revision\":-1,\"value\":\"eA==\"}", ""},
	{"{\"key\":\"servers/odd\",\"revision\":1e400}", ""},
	{"{\"key\":\"servers/odd\",\"revision\":-0,\"value\":\"eA==\"}",
	 "odd=-1 "},
	{"{\"key\":\"servers/odd\",\"revision\":5}", "odd=0 "},
	{"{\"key\":\"servers/odd\",\"revision\":5,\"value\":7}", "odd=0 "},
	{"{\"key\":\"servers/odd\",\"revision\":5,\"value\":\"eA\"}",
	 "odd=0 "}, /* without padding */
	{"{\"key\":\"servers/odd\",\"revision\":5,\"value\":\"\"}", "odd=0 "},
	{"{\"key\":\"servers/odd\",\"key\":\"servers/odd2\",\"revision\":5,"
	 "\"value\":\"eA==\"}",
	 "odd2=1 "},
	{"{\"key\":\"\",\"revision\":5,\"value\":\"eA==\"}", ""},
	{"{\"key\":\"ops/x\",\"revision\":5,\"value\":\"eA==\"}", ""},
	{"{\"key\":\"servers/\\u0000\",\"revision\":5}", ""},
	{"{\"key\":\"servers/\xff\",\"revision\":5}", ""},
	{"{\"key\":\"servers/\\\",[{\",\"revision\":1e400}", ""},
	{"{\"key\":7}", ""},
	{"7", ""},
	{"[{}]", ""},
	{"{\"items\":[1e400]}", ""},
};

/* @param names what the answer calls its items */
static void add_odd_page(unsigned int call, const char *names, const char *odd)
{
	buffer_add_format(&answers[call],
			  "{\"storeRevision\":9,\"%s\":[%s,%s,%s],"
			  "\"hasMore\":false}",
			  names, ITEM("a"), odd, ITEM("z"));
}

static void expect_seen(const char *between)
{
	char expected[256];

	snprintf(expected, sizeof(expected), "a=1 %sz=1 ", between);
	ck_assert_str_eq(seen, expected);
}

START_TEST(items_beside_an_odd_one_are_listed)
{
	add_odd_page(0, "items", odd_items[_i].item);
	list();
	ck_assert_int_eq(status, TGW_OK);
	expect_seen(odd_items[_i].expected);
}
END_TEST

static void on_changed(void *arg, const struct tgw_store_entry *entry)
{
	note(entry);
}

static void on_lost(void *arg)
{
	if (!listed)
		list();
}

static void watch(void)
{
	bool never = false;
	uint64_t handle;
	struct tgw_store_watcher watcher = {
		.changed = on_changed,
		.lost = on_lost,
		.after_revision = 1,
	};

	handle = tgw_store_watch(&store.store, "servers/", watcher);
	run_until(&never, 1);
	tgw_store_unwatch(&store.store, handle);
}

START_TEST(events_beside_an_odd_one_are_reported)
{
	add_odd_page(0, "events", odd_items[_i].item);
	watch();
	expect_seen(odd_items[_i].expected);
}
END_TEST

static const int depths[] = {ALMOST_TOO_DEEP, DEEP};

START_TEST(items_beside_a_deeply_nested_one_are_listed)
{
	char *odd = nested(depths[_i]);

	add_odd_page(0, "items", odd);
	list();
	ck_assert_int_eq(status, TGW_OK);
	expect_seen(depths[_i] == DEEP ? "" : "odd=1 ");
	free(odd);
}
END_TEST

static void add_events(int count)
{
	calls = 0;
	changes = 0;
	buffer_clear(&answers[0]);
	buffer_add_text(&answers[0], "{\"storeRevision\":9,\"events\":[");
	for (int i = 0; i < count; i++)
		buffer_add_format(&answers[0],
				  "{\"key\":\"servers/%d\",\"revision\":5,"
				  "\"value\":\"?\"},",
				  i);
	buffer_add_text(&answers[0], ITEM("z") "]}");
}

/* @return the shortest processor time of some tries */
static clock_t events_time(int count)
{
	clock_t shortest = 0;

	for (int i = 0; i < TRIES; i++) {
		clock_t started;
		clock_t taken;

		add_events(count);
		started = clock();
		watch();
		taken = clock() - started;
		ck_assert_uint_eq(changes, (unsigned int)count + 1);
		if (!i || taken < shortest)
			shortest = taken;
	}
	return shortest;
}

START_TEST(the_time_for_events_does_not_grow_by_the_square_of_them)
{
	ck_assert_int_le(events_time(MORE_EVENTS),
			 MAX_TIMES_LONGER * events_time(EVENTS));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("platform_odd_items");
	TCase *tcase = tcase_create("items");
	int count = sizeof(odd_items) / sizeof(odd_items[0]);

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, the_next_page_begins_after_any_key);
	tcase_add_test(tcase, pages_of_odd_items_alone_do_not_end_a_list);
	tcase_add_test(tcase, a_list_that_cannot_go_on_fails);
	tcase_add_test(tcase, a_page_that_repeats_itself_fails);
	tcase_add_loop_test(tcase, items_beside_an_odd_one_are_listed, 0,
			    count);
	tcase_add_loop_test(tcase, events_beside_an_odd_one_are_reported, 0,
			    count);
	tcase_add_loop_test(tcase, items_beside_a_deeply_nested_one_are_listed,
			    0, 2);
	tcase_add_test(tcase,
		       the_time_for_events_does_not_grow_by_the_square_of_them);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
