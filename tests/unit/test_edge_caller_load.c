/* Tests one edge host with few descriptors, or a small link, and many callers
 * that keep their connections: who is closed, who is served, and who is sent to
 * other hosts. */
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/edge_callers.h"
#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define DESCRIPTORS 128
/* Callers may have 56 connections; from 28 on, idle ones are closed. */
#define MAX_CALLERS 56
#define KEEP_IDLE 28
#define CALLERS 200
#define SETTLE_MS 250
/* A connection waits so long for its caller to close it. */
#define LINGER_MS 1000
/* An overload ends after a calm second. */
#define RECOVERY_MS 1300
#define WAIT_MS 3000

static const char request[] =
	"GET /open/ok HTTP/1.1\r\nHost: a.example\r\n\r\n";
static const char waits[] =
	"GET /open/wait HTTP/1.1\r\nHost: a.example\r\n\r\n";
static const char large[] =
	"GET /open/large HTTP/1.1\r\nHost: a.example\r\n\r\n";

static struct edge_rig rig;
static struct edge *edge;
static int callers[CALLERS];

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	edge = &rig.hosts[0].edge;
	connection_room_init(&edge->room, DESCRIPTORS);
	for (int i = 0; i < CALLERS; i++)
		callers[i] = -1;
}

static void teardown(void)
{
	for (int i = 0; i < CALLERS; i++)
		if (callers[i] >= 0)
			close(callers[i]);
	edge_rig_run(&rig, 20);
	edge_rig_stop(&rig);
}

static int connect_caller(void)
{
	const char *address = rig.hosts[0].settings.caller_address;
	struct sockaddr_in to = {.sin_family = AF_INET};
	int port = (int)strtol(strchr(address, ':') + 1, NULL, 10);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	to.sin_port = htons((uint16_t)port);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

static void send_text(int fd, const char *text)
{
	ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 (ssize_t)strlen(text));
}

/* Waits for a response. @return whether one came before the connection ended */
static bool is_answered(int fd, char *response, size_t size)
{
	for (int i = 0; i < WAIT_MS; i++) {
		ssize_t received;

		edge_rig_run(&rig, 1);
		received = recv(fd, response, size - 1, MSG_DONTWAIT);
		if (received < 0 && errno == EAGAIN)
			continue;
		if (received <= 0)
			return false;
		response[received] = '\0';
		return !strncmp(response, "HTTP/1.1 200 ", 13);
	}
	return false;
}

static bool is_closed(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void connect_and_ask(int index)
{
	char response[4096];

	callers[index] = connect_caller();
	send_text(callers[index], request);
	ck_assert_msg(is_answered(callers[index], response, sizeof(response)),
		      "caller %d is not answered", index);
}

START_TEST(callers_are_served_although_others_keep_their_connections)
{
	for (int i = 0; i < CALLERS; i++) {
		connect_and_ask(i);
		ck_assert_uint_le(edge->conn_count, MAX_CALLERS);
	}
	edge_rig_run(&rig, LINGER_MS + SETTLE_MS);
	ck_assert_uint_le(edge->conn_count, KEEP_IDLE);
}
END_TEST

START_TEST(the_connections_that_were_used_least_recently_are_closed_first)
{
	char response[4096];

	for (int i = 0; i < KEEP_IDLE; i++)
		connect_and_ask(i);
	send_text(callers[0], request);
	ck_assert(is_answered(callers[0], response, sizeof(response)));
	for (int i = KEEP_IDLE; i < KEEP_IDLE + 5; i++)
		connect_and_ask(i);
	edge_rig_run(&rig, SETTLE_MS);
	ck_assert(!is_closed(callers[0]));
	for (int i = 1; i <= 5; i++)
		ck_assert_msg(is_closed(callers[i]), "caller %d", i);
	for (int i = 6; i < KEEP_IDLE + 5; i++)
		ck_assert_msg(!is_closed(callers[i]), "caller %d", i);
}
END_TEST

/* Their requests wait at a server, for the longest time. */
START_TEST(a_connection_with_an_open_request_is_not_closed)
{
	char response[4096];

	callers[0] = connect_caller();
	send_text(callers[0], waits);
	for (int i = 1; i < KEEP_IDLE + 10; i++)
		connect_and_ask(i);
	edge_rig_run(&rig, SETTLE_MS);
	ck_assert(!is_closed(callers[0]));
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		backend_standin_release(&rig.server_standins[i]);
	ck_assert(is_answered(callers[0], response, sizeof(response)));
}
END_TEST

/* The requests lie unread in the host's sockets when it decides to close the
 * connections. */
START_TEST(a_request_that_has_arrived_is_served_before_the_close)
{
	char response[4096];

	for (int i = 0; i < KEEP_IDLE; i++)
		connect_and_ask(i);
	connection_room_init(&edge->room, DESCRIPTORS / 8);
	for (int i = 0; i < KEEP_IDLE; i++)
		send_text(callers[i], request);
	usleep(1000 * 150);
	for (int i = 0; i < KEEP_IDLE; i++)
		ck_assert_msg(is_answered(callers[i], response,
					  sizeof(response)),
			      "caller %d", i);
}
END_TEST

START_TEST(a_host_with_many_open_requests_sends_callers_elsewhere)
{
	char response[4096];

	for (int i = 0; i < MAX_CALLERS * 3 / 4; i++) {
		callers[i] = connect_caller();
		send_text(callers[i], waits);
	}
	edge_rig_run(&rig, SETTLE_MS);
	ck_assert(edge->load.overloaded);
	callers[CALLERS - 1] = connect_caller();
	send_text(callers[CALLERS - 1], request);
	ck_assert(
		is_answered(callers[CALLERS - 1], response, sizeof(response)));
	ck_assert_ptr_nonnull(strstr(response, "Connection: close\r\n"));
}
END_TEST

/* More connections than callers may have wait to be accepted, not longer than
 * until others have ended. */
START_TEST(a_connection_beyond_the_maximum_is_served_after_others_end)
{
	char response[4096];

	for (int i = 0; i < MAX_CALLERS + 10; i++) {
		callers[i] = connect_caller();
		send_text(callers[i], waits);
		edge_rig_run(&rig, 1);
	}
	edge_rig_run(&rig, 20);
	ck_assert_uint_eq(edge->conn_count, MAX_CALLERS);
	callers[CALLERS - 1] = connect_caller();
	send_text(callers[CALLERS - 1], request);
	for (int i = 0; i < MAX_CALLERS + 10; i++) {
		close(callers[i]);
		callers[i] = -1;
	}
	ck_assert(
		is_answered(callers[CALLERS - 1], response, sizeof(response)));
}
END_TEST

/* Idle connections fill the host, which closes them and is ready again. */
START_TEST(a_host_is_ready_again_after_idle_connections_filled_it)
{
	for (int i = 0; i < MAX_CALLERS * 3 / 4; i++)
		callers[i] = connect_caller();
	edge_rig_run(&rig, SETTLE_MS);
	ck_assert_uint_eq(edge->conn_count, KEEP_IDLE);
	edge_rig_run(&rig, RECOVERY_MS);
	ck_assert(!edge->load.overloaded);
}
END_TEST

/* Callers read large responses through a host with a small link. */
START_TEST(a_host_with_a_full_link_sends_callers_elsewhere)
{
	char response[4096];
	bool ended = false;

	link_load_init(&edge->link_load, 1);
	for (int i = 0; i < 10; i++) {
		callers[i] = connect_caller();
		send_text(callers[i], large);
		edge_rig_run(&rig, 50);
	}
	ck_assert(edge->load.overloaded);
	for (int i = 10; i < 14; i++) {
		callers[i] = connect_caller();
		send_text(callers[i], request);
		ck_assert(is_answered(callers[i], response, sizeof(response)));
		ended |= strstr(response, "Connection: close\r\n") != NULL;
	}
	ck_assert(ended);
	edge_rig_run(&rig, 2 * RECOVERY_MS);
	ck_assert(!edge->load.overloaded);
}
END_TEST

static void set_idle_limit(int64_t idle_ms)
{
	struct server_limits limits = edge->limits;

	limits.idle_ms = idle_ms;
	edge_callers_set_limits(edge, &limits);
}

/* The tick sees each connection before the next one comes. */
static void fill_slowly(int count)
{
	for (int i = 0; i < count; i++) {
		connect_and_ask(i);
		edge_rig_run(&rig, 120);
	}
}

START_TEST(connections_that_were_kept_as_announced_are_closed_first)
{
	set_idle_limit(15000);
	fill_slowly(KEEP_IDLE);
	edge_rig_run(&rig, 2500);
	connect_and_ask(KEEP_IDLE);
	edge_rig_run(&rig, SETTLE_MS);
	ck_assert(!is_closed(callers[0]));
	ck_assert(is_closed(callers[KEEP_IDLE - 1]));
	ck_assert_uint_eq(edge->conn_count, KEEP_IDLE);
}
END_TEST

START_TEST(a_host_with_many_connections_announces_a_shorter_time)
{
	char response[4096];

	set_idle_limit(15000);
	callers[0] = connect_caller();
	send_text(callers[0], request);
	ck_assert(is_answered(callers[0], response, sizeof(response)));
	ck_assert_ptr_nonnull(strstr(response, "Keep-Alive: timeout=15\r\n"));
	connection_room_init(&edge->room, DESCRIPTORS / 16);
	edge_rig_run(&rig, 120);
	send_text(callers[0], request);
	ck_assert(is_answered(callers[0], response, sizeof(response)));
	ck_assert_ptr_nonnull(strstr(response, "Keep-Alive: timeout=1\r\n"));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_caller_load");
	TCase *tcase = tcase_create("core");

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(
		tcase,
		callers_are_served_although_others_keep_their_connections);
	tcase_add_test(
		tcase,
		the_connections_that_were_used_least_recently_are_closed_first);
	tcase_add_test(tcase, a_connection_with_an_open_request_is_not_closed);
	tcase_add_test(tcase,
		       a_request_that_has_arrived_is_served_before_the_close);
	tcase_add_test(tcase,
		       a_host_with_many_open_requests_sends_callers_elsewhere);
	tcase_add_test(
		tcase,
		a_connection_beyond_the_maximum_is_served_after_others_end);
	tcase_add_test(tcase,
		       a_host_is_ready_again_after_idle_connections_filled_it);
	tcase_add_test(tcase, a_host_with_a_full_link_sends_callers_elsewhere);
	tcase_add_test(
		tcase,
		connections_that_were_kept_as_announced_are_closed_first);
	tcase_add_test(tcase,
		       a_host_with_many_connections_announces_a_shorter_time);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
