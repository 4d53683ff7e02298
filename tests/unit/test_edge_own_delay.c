/* Tests that a host whose own link is full holds no silence and no connection
 * timeout against a server, and sends nothing a second time because of them.
 * Without this, such a host avoids healthy servers, and its retries take up
 * more of the link. Refused connections count as ever, and so does everything
 * on a calm link. */
#include <string.h>

#include "edge/call_private.h"
#include "fakes/edge_rig.h"
#include "unit/deaf_server.h"
#include "unit/unit_main.h"

#define LINK_MBPS 10
#define LOAD_INTERVAL_MS 10
#define FULL_BYTES_PER_INTERVAL (LINK_MBPS * 1000 * 1000 / 8 / 100)
#define WAIT_MS 5000
#define AMPLE_CREDIT 1000000
/* A request of 1 s waits for a third of that before its server is silent. */
#define SILENT_MS 500
/* The same, of 10 s. */
#define LONG_SILENT_MS 1800
/* Longer than a third of 1 s. */
#define LATE_MS 400

static struct edge_rig rig;
static struct edge *edge;
static struct edge_rig_caller caller;
static uv_timer_t load_timer;
static int64_t last_load_us;

static void setup(void)
{
	struct retry_budget *budget;

	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	memset(&caller, 0, sizeof(caller));
	memset(&load_timer, 0, sizeof(load_timer));
	edge = &rig.hosts[0].edge;
	link_load_init(&edge->link_load, LINK_MBPS);
	budget = edge_retry_budget(edge, "app");
	budget->limits.max_thousandths = AMPLE_CREDIT;
	budget->credit_thousandths = AMPLE_CREDIT;
}

static void teardown(void)
{
	edge_rig_close_caller(&caller);
	while (!caller.released)
		edge_rig_run(&rig, 1);
	buffer_free(&caller.received);
	edge_rig_stop(&rig);
}

static void add_load(uv_timer_t *timer)
{
	int64_t now_us = edge_now_us();

	edge->link_bytes.received_bytes +=
		(uint64_t)((now_us - last_load_us) * FULL_BYTES_PER_INTERVAL /
			   (LOAD_INTERVAL_MS * TGW_US_PER_MS));
	last_load_us = now_us;
}

/* Runs the loop until the host has found its delay to be its own, or not. */
static void wait_for_delay(bool active)
{
	for (int i = 0; i < WAIT_MS / 5 && edge->own_delay.active != active;
	     i++)
		edge_rig_run(&rig, 5);
	ck_assert_int_eq(edge->own_delay.active, active);
}

static void fill_link(void)
{
	uv_timer_init(&rig.loop, &load_timer);
	last_load_us = edge_now_us();
	uv_timer_start(&load_timer, add_load, 0, LOAD_INTERVAL_MS);
	wait_for_delay(true);
}

static void empty_link(void)
{
	uv_timer_stop(&load_timer);
}

static void send_request(const char *path)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "GET %s HTTP/1.1\r\nHost: a.example\r\n"
		 "Authorization: Token key-1\r\n"
		 "Tamarackgw-Request-Id: request-1\r\n"
		 "Connection: close\r\n\r\n",
		 path);
	edge_rig_call(&rig, &caller, text);
}

static void expect_status(const char *status)
{
	for (int i = 0; i < WAIT_MS / 5 && !caller.closed; i++)
		edge_rig_run(&rig, 5);
	ck_assert(caller.closed);
	buffer_add(&caller.received, "", 1);
	ck_assert_msg(!strncmp(caller.received.data + strlen("HTTP/1.1 "),
			       status, strlen(status)),
		      "expected %s, received: %.60s", status,
		      caller.received.data);
}

static unsigned int arrivals(void)
{
	return rig.server_standins[0].arrivals +
	       rig.server_standins[1].arrivals;
}

/* @return the servers with a recorded failure */
static unsigned int failed_servers(void)
{
	unsigned int count = 0;

	for (const struct backend *backend = edge->backends.first; backend;
	     backend = backend->next)
		count += backend->failure_rate > 0 || backend->avoid_until_us;
	return count;
}

static void release_all(void)
{
	backend_standin_release(&rig.server_standins[0]);
	backend_standin_release(&rig.server_standins[1]);
}

START_TEST(a_silence_while_the_link_is_full_is_not_held_against_the_server)
{
	fill_link();
	send_request("/safe/wait");
	edge_rig_run(&rig, SILENT_MS);
	ck_assert_uint_eq(edge->counters.own_delay_silences, 1);
	ck_assert_uint_eq(edge->counters.silences, 0);
	ck_assert_uint_eq(edge->counters.retries, 0);
	ck_assert_uint_eq(arrivals(), 1);
	release_all();
	expect_status("200");
	ck_assert_uint_eq(failed_servers(), 0);
}
END_TEST

START_TEST(a_silence_on_a_calm_link_is_held_against_the_server)
{
	send_request("/safe/wait");
	edge_rig_run(&rig, SILENT_MS);
	ck_assert_uint_eq(edge->counters.own_delay_silences, 0);
	ck_assert_uint_eq(edge->counters.silences, 1);
	ck_assert_uint_eq(edge->counters.retries, 1);
	ck_assert_uint_eq(arrivals(), 2);
	ck_assert_uint_eq(failed_servers(), 1);
	release_all();
	expect_status("200");
}
END_TEST

START_TEST(a_silence_counts_again_once_the_link_is_calm)
{
	fill_link();
	send_request("/long-safe/wait");
	edge_rig_run(&rig, LONG_SILENT_MS);
	ck_assert_uint_eq(edge->counters.own_delay_silences, 1);
	ck_assert_uint_eq(arrivals(), 1);
	empty_link();
	wait_for_delay(false);
	edge_rig_run(&rig, SILENT_MS);
	ck_assert_uint_eq(edge->counters.silences, 1);
	ck_assert_uint_eq(arrivals(), 2);
	release_all();
	expect_status("200");
}
END_TEST

/* The lag is known without the capacity of the link. */
START_TEST(a_silence_while_the_loop_is_late_is_not_held_against_the_server)
{
	link_load_init(&edge->link_load, 0);
	send_request("/safe/wait");
	edge_rig_run(&rig, 100);
	ck_assert_uint_eq(arrivals(), 1);
	usleep(LATE_MS * 1000);
	edge_rig_run(&rig, 100);
	ck_assert(edge->own_delay.active);
	ck_assert_uint_eq(edge->counters.own_delay_silences, 1);
	ck_assert_uint_eq(edge->counters.silences, 0);
	ck_assert_uint_eq(arrivals(), 1);
	release_all();
	expect_status("200");
	ck_assert_uint_eq(failed_servers(), 0);
}
END_TEST

/* Also for a request that must not be repeated, whose silence has no other
 * effect. */
START_TEST(the_deadline_holds_while_the_link_is_full)
{
	fill_link();
	send_request(_i ? "/unsafe/wait" : "/safe/wait");
	expect_status("504");
	ck_assert_uint_eq(edge->counters.own_delay_silences, 1);
	ck_assert_uint_eq(arrivals(), 1);
	ck_assert_uint_eq(failed_servers(), 0);
}
END_TEST

START_TEST(a_refused_connection_counts_while_the_link_is_full)
{
	backend_standin_crash(&rig.server_standins[0]);
	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 300);
	fill_link();
	send_request("/safe/ok");
	expect_status("503");
	ck_assert_uint_eq(edge->counters.failed_attempts[BACKEND_UNREACHABLE],
			  1);
	ck_assert_uint_eq(edge->counters.own_delay_connects, 0);
	ck_assert_uint_eq(failed_servers(), 1);
}
END_TEST

START_TEST(a_reset_counts_while_the_link_is_full)
{
	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 300);
	fill_link();
	send_request("/unsafe/break");
	expect_status("502");
	ck_assert_uint_eq(edge->counters.failed_attempts[BACKEND_BROKEN], 1);
	ck_assert_uint_eq(failed_servers(), 1);
}
END_TEST

/* Drains all servers but one that accepts no connection. */
static int leave_deaf_server(void)
{
	char address[32];
	int fd = start_deaf_server(address, sizeof(address));

	edge_rig_register_server(&rig, 0, "draining", 2);
	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_register_entry(&rig, "deaf", address, "ready", 1, 1);
	edge_rig_run(&rig, 300);
	return fd;
}

/* The request may go to another server, since it has not been sent; until there
 * is one, it waits for the connection. */
START_TEST(a_connection_timeout_while_the_link_is_full_is_not_held_against_it)
{
	int fd = leave_deaf_server();

	fill_link();
	send_request("/long-unsafe/ok");
	edge_rig_run(&rig, 1000);
	ck_assert(!caller.closed);
	ck_assert_uint_eq(edge->counters.own_delay_connects, 1);
	edge_rig_register_server(&rig, 1, "ready", 3);
	expect_status("200");
	ck_assert_uint_eq(edge->counters.own_delay_connects, 1);
	ck_assert_uint_eq(edge->counters.failed_attempts[BACKEND_UNREACHABLE],
			  0);
	ck_assert_uint_eq(failed_servers(), 0);
	ck_assert_uint_eq(edge->counters.retries, 0);
	ck_assert_uint_eq(arrivals(), 1);
	stop_deaf_server(fd);
}
END_TEST

/* The kernel sends a lost SYN again only after 1 s, when the link may have been
 * calm for longer than the host waits before silences count. */
START_TEST(a_connection_that_the_host_delayed_does_not_count_later)
{
	int fd = leave_deaf_server();

	fill_link();
	send_request("/long-safe/ok");
	edge_rig_run(&rig, 400);
	ck_assert_uint_eq(edge->counters.own_delay_connects, 1);
	empty_link();
	wait_for_delay(false);
	edge_rig_run(&rig, 600);
	ck_assert(!caller.closed);
	ck_assert_uint_eq(failed_servers(), 0);
	stop_deaf_server(fd);
}
END_TEST

START_TEST(a_connection_timeout_on_a_calm_link_is_held_against_the_server)
{
	int fd = leave_deaf_server();

	send_request("/long-safe/ok");
	expect_status("503");
	ck_assert_uint_eq(edge->counters.own_delay_connects, 0);
	ck_assert_uint_eq(edge->counters.failed_attempts[BACKEND_UNREACHABLE],
			  1);
	ck_assert_uint_eq(failed_servers(), 1);
	stop_deaf_server(fd);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_own_delay");
	TCase *tcase = tcase_create("delay");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 30);
	tcase_add_test(
		tcase,
		a_silence_while_the_link_is_full_is_not_held_against_the_server);
	tcase_add_test(tcase,
		       a_silence_on_a_calm_link_is_held_against_the_server);
	tcase_add_test(tcase, a_silence_counts_again_once_the_link_is_calm);
	tcase_add_test(
		tcase,
		a_silence_while_the_loop_is_late_is_not_held_against_the_server);
	tcase_add_loop_test(tcase, the_deadline_holds_while_the_link_is_full, 0,
			    2);
	tcase_add_test(tcase,
		       a_refused_connection_counts_while_the_link_is_full);
	tcase_add_test(tcase, a_reset_counts_while_the_link_is_full);
	tcase_add_test(
		tcase,
		a_connection_timeout_while_the_link_is_full_is_not_held_against_it);
	tcase_add_test(tcase,
		       a_connection_that_the_host_delayed_does_not_count_later);
	tcase_add_test(
		tcase,
		a_connection_timeout_on_a_calm_link_is_held_against_the_server);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
