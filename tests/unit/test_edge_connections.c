/* Tests that requests are not sent on connections that their server has ended
 * or used for something else, and what happens to requests when the entries
 * of servers change. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/xalloc.h"
#include "edge/call_private.h"
#include "fakes/edge_rig.h"
#include "transport/server_conn.h"
#include "unit/unit_main.h"

#define WAIT_MS 3000
#define FIELDS "Host: a.example\r\nAuthorization: Token key-1\r\n"
#define GET(path) "GET " path " HTTP/1.1\r\n" FIELDS "\r\n"

static struct edge_rig rig;
static struct edge *edge;
static int caller;
static char received[4096];

static void connect_caller(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	const char *port = strchr(rig.hosts[0].settings.caller_address, ':');

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)strtol(port + 1, NULL, 10));
	caller = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert(
		!connect(caller, (struct sockaddr *)&address, sizeof(address)));
	edge_rig_run(&rig, 20);
}

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	edge = &rig.hosts[0].edge;
	connect_caller();
}

static void teardown(void)
{
	close(caller);
	edge_rig_run(&rig, 20);
	edge_rig_stop(&rig);
}

static void send_text(const char *text)
{
	ssize_t size = (ssize_t)strlen(text);

	ck_assert_int_eq(send(caller, text, (size_t)size, MSG_NOSIGNAL), size);
}

/* Receives into `received` until it ends with the text. */
static void expect_end(const char *text)
{
	size_t size = 0;

	for (int i = 0; i < WAIT_MS; i++) {
		ssize_t more;

		edge_rig_run(&rig, 1);
		more = recv(caller, received + size,
			    sizeof(received) - 1 - size, MSG_DONTWAIT);
		if (more == 0)
			break;
		if (more > 0)
			size += (size_t)more;
		received[size] = '\0';
		if (size >= strlen(text) &&
		    !strcmp(received + size - strlen(text), text))
			return;
	}
	ck_abort_msg("received: %.500s", received);
}

static void expect_done(void)
{
	expect_end("\r\n\r\ndone");
	ck_assert(!strncmp(received, "HTTP/1.1 200 ", 13));
}

/* Leaves an idle connection to each server in the host's pools. */
static void fill_pools(void)
{
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		while (!rig.server_standins[i].conns) {
			send_text(GET("/safe/ok"));
			expect_done();
		}
	edge_rig_run(&rig, 20);
}

/* Both lie unread in the host's sockets when its loop runs again. */
START_TEST(a_request_is_not_sent_on_a_connection_that_its_server_has_closed)
{
	fill_pools();
	send_text(GET("/unsafe/ok"));
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		server_conn_abort(rig.server_standins[i].conns);
	expect_done();
}
END_TEST

START_TEST(a_late_copy_of_a_response_does_not_answer_the_next_request)
{
	static char copy[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
			     "Tamarackgw-Response-Stamp: late\r\n\r\nstale";
	uv_buf_t part = uv_buf_init(copy, sizeof(copy) - 1);

	fill_pools();
	send_text(GET("/unsafe/ok"));
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		uv_try_write((uv_stream_t *)&rig.server_standins[i].conns->tcp,
			     &part, 1);
	expect_done();
}
END_TEST

START_TEST(no_call_goes_to_the_store_at_its_earlier_address)
{
	static struct kv_standin moved;
	unsigned int calls;

	kv_standin_start(&moved, &rig.loop);
	platform_http_client_set_address(&rig.hosts[0].platform.client,
					 moved.address);
	/* Calls that wait at the earlier address end within this time. */
	edge_rig_run(&rig, 1000);
	calls = rig.store.calls;
	edge_rig_run(&rig, 1000);
	ck_assert_uint_eq(rig.store.calls, calls);
	ck_assert_uint_gt(moved.calls, 0);
	kv_standin_stop(&moved);
}
END_TEST

static const enum server_change {
	ENTRY_REMOVED,
	ENTRY_RETURNS,
	ADDRESS_CHANGES,
	INSTANCE_CHANGES,
	SERVER_DRAINS,
} server_changes[] = {ENTRY_REMOVED, ENTRY_RETURNS, ADDRESS_CHANGES,
		      INSTANCE_CHANGES, SERVER_DRAINS};

static void change_entry(struct backend_standin *server,
			 enum server_change change)
{
	char *key = xasprintf("servers/%s", server->id);
	int64_t born_ms = server->born_ms;

	if (change == SERVER_DRAINS) {
		edge_rig_register_entry(&rig, server->id, server->address,
					"draining", 2, born_ms);
	} else if (change == ADDRESS_CHANGES) {
		edge_rig_register_entry(&rig, server->id, "127.0.0.1:1",
					"ready", 2, born_ms);
	} else if (change == INSTANCE_CHANGES) {
		edge_rig_register_entry(&rig, server->id, server->address,
					"ready", 2, born_ms + 1);
	} else {
		kv_standin_put(&rig.store, key, NULL);
		edge_rig_run(&rig, 300);
	}
	if (change == ENTRY_RETURNS)
		edge_rig_register_entry(&rig, server->id, server->address,
					"ready", 2, born_ms);
	edge_rig_run(&rig, 300);
	free(key);
}

static struct backend_standin *wait_for_server(void)
{
	for (int i = 0; i < WAIT_MS; i++) {
		for (int server = 0; server < EDGE_RIG_SERVERS; server++)
			if (rig.server_standins[server].waiting)
				return &rig.server_standins[server];
		edge_rig_run(&rig, 1);
	}
	ck_abort_msg("no server received the request");
}

START_TEST(a_change_of_its_servers_entry_does_not_end_a_request)
{
	struct backend_standin *server;

	fill_pools();
	send_text(GET("/long-unsafe/hold"));
	server = wait_for_server();
	change_entry(server, server_changes[_i]);
	backend_standin_release(server);
	expect_done();
	ck_assert_uint_eq(edge->call_count, 0);
}
END_TEST

START_TEST(a_change_of_its_servers_entry_before_a_crash_gets_an_answer)
{
	struct backend_standin *server;

	fill_pools();
	send_text(GET("/long-unsafe/hold"));
	server = wait_for_server();
	change_entry(server, server_changes[_i]);
	backend_standin_crash(server);
	expect_end("}\n");
	ck_assert(!strncmp(received, "HTTP/1.1 502 ", 13));
	ck_assert_uint_eq(edge->call_count, 0);
}
END_TEST

/* The key of the team goes while its request waits for an allotment, whose
 * write is answered only at the second attempt. */
START_TEST(a_request_that_waits_for_tokens_is_answered_beside_a_change)
{
	rig.store.lose_answers = 2;
	send_text("GET /long-safe/ok HTTP/1.1\r\n" FIELDS
		  "Tamarackgw-Token-Count: 20000,40\r\n\r\n");
	edge_rig_run(&rig, 20);
	ck_assert_uint_eq(edge->call_count, 1);
	edge_rig_configure(&rig, 2, 1000000, "key-2");
	for (int i = 0; i < 1000 && edge->call_count; i++)
		edge_rig_run(&rig, 1);
	ck_assert_uint_eq(edge->call_count, 0);
	edge_rig_run(&rig, 20);
	ck_assert_int_gt(
		recv(caller, received, sizeof(received) - 1, MSG_DONTWAIT), 0);
	ck_assert(!strncmp(received, "HTTP/1.1 200 ", 13) ||
		  !strncmp(received, "HTTP/1.1 503 ", 13));
}
END_TEST

/* Nobody waits for the rest of its response, but it must still be read. */
START_TEST(a_request_that_runs_once_ends_after_its_slow_caller_has_left)
{
	send_text(GET("/long-unsafe/stream-large"));
	edge_rig_run(&rig, 500);
	ck_assert_ptr_nonnull(edge->calls);
	ck_assert(edge->calls->current->paused);
	close(caller);
	edge_rig_run(&rig, 1500);
	ck_assert_uint_eq(edge->call_count, 0);
	ck_assert_uint_eq(edge->counters.answered, 1);
	connect_caller();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_connections");
	TCase *tcase = tcase_create("connections");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 20);
	tcase_add_test(
		tcase,
		a_request_is_not_sent_on_a_connection_that_its_server_has_closed);
	tcase_add_test(
		tcase,
		a_late_copy_of_a_response_does_not_answer_the_next_request);
	tcase_add_test(tcase, no_call_goes_to_the_store_at_its_earlier_address);
	tcase_add_loop_test(
		tcase, a_change_of_its_servers_entry_does_not_end_a_request, 0,
		sizeof(server_changes) / sizeof(server_changes[0]));
	tcase_add_loop_test(
		tcase,
		a_change_of_its_servers_entry_before_a_crash_gets_an_answer, 0,
		sizeof(server_changes) / sizeof(server_changes[0]));
	tcase_add_test(
		tcase,
		a_request_that_waits_for_tokens_is_answered_beside_a_change);
	tcase_add_test(
		tcase,
		a_request_that_runs_once_ends_after_its_slow_caller_has_left);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
