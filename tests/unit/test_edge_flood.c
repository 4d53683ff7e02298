/* Tests one edge host that is flooded by callers whose requests are all
 * refused: a new configuration and a readiness check are counted in requests
 * that the host handles meanwhile, each of which takes a fixed time. */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/edge_clock.h"
#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define CALLERS 200
#define REQUEST_TAKES_US (2 * TGW_US_PER_MS)
/* Of all callers' requests, at most so many may come before the host's own
 * work: half of one from each caller. */
#define MAX_REQUESTS_BEFORE (CALLERS / 2)
#define SETTLE_ITERATIONS 60
#define MAX_ITERATIONS 2000

static const char request[] =
	"GET /no-such-route/ HTTP/1.1\r\nHost: a.example\r\n\r\n";

static struct edge_rig rig;
static struct edge *edge;
static int callers[CALLERS];
static struct call_dialect slow_dialect;
static const struct call_dialect *real_dialect;

static void read_slowly(const struct http_head *head, struct request_info *info)
{
	int64_t until_us = edge_now_us() + REQUEST_TAKES_US;

	real_dialect->read_request(head, info);
	while (edge_now_us() < until_us)
		;
}

static int connect_to(const char *address)
{
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
	ck_assert_int_eq(send(fd, text, strlen(text), 0),
			 (ssize_t)strlen(text));
}

/* @return the number of bytes that had arrived */
static ssize_t receive(int fd, char *bytes, size_t size)
{
	ssize_t received = recv(fd, bytes, size, MSG_DONTWAIT);

	ck_assert(received > 0 || (received < 0 && errno == EAGAIN));
	return received > 0 ? received : 0;
}

/* One iteration of the loop; each caller that was refused tries again. */
static void run_once(void)
{
	char bytes[4096];

	uv_run(&rig.loop, UV_RUN_NOWAIT);
	for (int i = 0; i < CALLERS; i++)
		if (receive(callers[i], bytes, sizeof(bytes)))
			send_text(callers[i], request);
}

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	edge = &rig.hosts[0].edge;
	real_dialect = edge->sources.dialect;
	slow_dialect = *real_dialect;
	slow_dialect.read_request = read_slowly;
	edge->sources.dialect = &slow_dialect;
	for (int i = 0; i < CALLERS; i++) {
		callers[i] = connect_to(rig.hosts[0].settings.caller_address);
		send_text(callers[i], request);
	}
	for (int i = 0; i < SETTLE_ITERATIONS; i++)
		run_once();
	ck_assert_uint_eq(edge->conn_count, CALLERS);
}

static void teardown(void)
{
	for (int i = 0; i < CALLERS; i++)
		close(callers[i]);
	edge_rig_stop(&rig);
}

static int64_t version(void)
{
	return route_follower_set(edge->route_follower)->version;
}

START_TEST(a_flooded_host_applies_a_new_configuration)
{
	uint64_t before = edge->counters.requests;

	edge_rig_configure(&rig, 2, 1000000, "key-1");
	for (int i = 0; i < MAX_ITERATIONS && version() != 2; i++)
		run_once();
	ck_assert_int_eq(version(), 2);
	ck_assert_uint_le(edge->counters.requests - before,
			  MAX_REQUESTS_BEFORE);
}
END_TEST

START_TEST(a_flooded_host_answers_readiness_checks)
{
	uint64_t before = edge->counters.requests;
	int checker = connect_to(rig.hosts[0].settings.ready_address);
	char answer[4096];
	ssize_t size = 0;

	send_text(checker, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
	for (int i = 0; i < MAX_ITERATIONS && !size; i++) {
		run_once();
		size = receive(checker, answer, sizeof(answer));
	}
	ck_assert_int_gt(size, 0);
	ck_assert_uint_le(edge->counters.requests - before,
			  MAX_REQUESTS_BEFORE);
	close(checker);
}
END_TEST

/* Many callers connect at once and send a request. */
START_TEST(new_connections_do_not_delay_the_own_work)
{
	uint64_t before = edge->counters.requests;
	uint32_t connections = edge->conn_count;
	int more[CALLERS];

	for (int i = 0; i < CALLERS; i++) {
		more[i] = connect_to(rig.hosts[0].settings.caller_address);
		send_text(more[i], request);
	}
	run_once();
	ck_assert_uint_le(edge->counters.requests - before,
			  MAX_REQUESTS_BEFORE);
	ck_assert_uint_le(edge->conn_count - connections, MAX_REQUESTS_BEFORE);
	for (int i = 0;
	     i < MAX_ITERATIONS && edge->conn_count < connections + CALLERS;
	     i++)
		run_once();
	ck_assert_uint_eq(edge->conn_count, connections + CALLERS);
	for (int i = 0; i < CALLERS; i++)
		close(more[i]);
}
END_TEST

/* Each caller is served in its turn. */
START_TEST(a_flood_starves_no_caller)
{
	bool answered[CALLERS] = {false};
	uint64_t before = edge->counters.requests;
	char bytes[4096];
	int left = CALLERS;

	while (left && edge->counters.requests - before < 3 * CALLERS) {
		uv_run(&rig.loop, UV_RUN_NOWAIT);
		for (int i = 0; i < CALLERS; i++) {
			if (!receive(callers[i], bytes, sizeof(bytes)))
				continue;
			send_text(callers[i], request);
			left -= !answered[i];
			answered[i] = true;
		}
	}
	ck_assert_int_eq(left, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_flood");
	TCase *tcase = tcase_create("core");

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, a_flooded_host_applies_a_new_configuration);
	tcase_add_test(tcase, a_flooded_host_answers_readiness_checks);
	tcase_add_test(tcase, new_connections_do_not_delay_the_own_work);
	tcase_add_test(tcase, a_flood_starves_no_caller);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
