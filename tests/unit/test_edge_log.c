/* Tests the limit on a host's log lines, and which lines are dropped first
 * above it. */
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "edge/edge_clock.h"
#include "fakes/edge_rig.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

/* Five requests per second stay below this limit. Under load the rate is many
 * times higher and exceeds it. */
#define LINES_PER_S 12
#define LOW_RATE_REQUESTS 10
#define LEDGER_JOIN_MS 4000
#define LOW_RATE_PAUSE_MS 200
/* One request in this many is refused. */
#define REQUESTS_PER_REFUSAL 10

static struct edge_rig rig;
static int saved_output;
static int log_fd;

static void setup(void)
{
	char name[] = "/tmp/edge-log-XXXXXX";

	saved_output = dup(STDOUT_FILENO);
	log_fd = mkstemp(name);
	ck_assert_int_ge(log_fd, 0);
	unlink(name);
	dup2(log_fd, STDOUT_FILENO);
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	rig.hosts[0].edge.log.lines_per_s = LINES_PER_S;
	/* Log lines are counted per second: the lines of the start must not
	 * count in the first second of the test. */
	edge_rig_run(&rig, 1000);
}

static void teardown(void)
{
	edge_rig_stop(&rig);
	dup2(saved_output, STDOUT_FILENO);
	close(saved_output);
	close(log_fd);
}

static off_t log_end(void)
{
	return lseek(log_fd, 0, SEEK_END);
}

/* @return the log from this offset on, to be released with free() */
static char *log_since(off_t start)
{
	size_t size = (size_t)(log_end() - start);
	char *text = calloc(1, size + 1);

	ck_assert_int_eq(pread(log_fd, text, size, start), (ssize_t)size);
	return text;
}

static int64_t count(const char *text, const char *what)
{
	int64_t found = 0;

	while ((text = strstr(text, what))) {
		found++;
		text += strlen(what);
	}
	return found;
}

/* @return the sum of a field over all lines that report dropped lines */
static int64_t dropped_lines(const char *text, const char *field)
{
	int64_t sum = 0;

	while ((text = strstr(text, "event=dropped"))) {
		sum += strtoll(strstr(text, field) + strlen(field), NULL, 10);
		text += strlen("event=dropped");
	}
	return sum;
}

static void request(int number)
{
	const char *line = number % REQUESTS_PER_REFUSAL
				   ? "GET /open/ok HTTP/1.1\r\n"
				   : "GET /none/ HTTP/1.1\r\n";
	char text[256];

	snprintf(text, sizeof(text),
		 "%sHost: a.example\r\nConnection: close\r\n\r\n", line);
	free(edge_rig_exchange(&rig, text));
}

START_TEST(every_request_is_logged_at_a_low_rate)
{
	off_t start = log_end();
	char *text;

	for (int i = 1; i <= LOW_RATE_REQUESTS; i++) {
		request(i);
		edge_rig_run(&rig, LOW_RATE_PAUSE_MS);
	}
	text = log_since(start);
	ck_assert_int_eq(count(text, "event=answered"), LOW_RATE_REQUESTS - 1);
	ck_assert_int_eq(count(text, "event=refused"), 1);
	ck_assert_int_eq(count(text, "event=dropped"), 0);
	free(text);
}
END_TEST

/* Sends each request as soon as the previous one is answered, at far more than
 * ten times the low rate. The log must stay within its limit, keep refusals in
 * preference to served requests, and count the dropped lines. */
START_TEST(under_load_the_log_stays_within_its_limit)
{
	const int requests = 300;
	const int refusals = requests / REQUESTS_PER_REFUSAL;
	off_t start;
	int64_t started_us;
	int64_t seconds;
	int64_t lines;
	char *text;

	/* Writes of the ledger are notices, too: the host makes its first ones
	 * before the count starts, and none without a team's requests. */
	edge_rig_run(&rig, LEDGER_JOIN_MS);
	start = log_end();
	started_us = edge_now_us();
	for (int i = 1; i <= requests; i++)
		request(i);
	seconds = (edge_now_us() - started_us) / TGW_US_PER_S + 2;
	/* The first line of a new second makes the log report what it
	 * dropped. */
	edge_rig_run(&rig, 1100);
	request(1);
	text = log_since(start);
	lines = count(text, "\n") - count(text, "event=dropped");
	ck_assert_int_gt(dropped_lines(text, "details="), 0);
	ck_assert_int_le(lines, LINES_PER_S * (seconds + 1));
	ck_assert_int_eq(count(text, "event=answered") +
				 dropped_lines(text, "details="),
			 requests - refusals + 1);
	ck_assert_int_eq(count(text, "event=refused") +
				 dropped_lines(text, "notices="),
			 refusals);
	ck_assert_int_le(count(text, "event=answered"),
			 LINES_PER_S / 2 * (seconds + 1));
	ck_assert_int_gt(count(text, "event=refused") * requests,
			 count(text, "event=answered") * refusals);
	free(text);
}
END_TEST

START_TEST(a_name_with_a_line_end_adds_no_line)
{
	off_t start = log_end();
	char *text;

	kv_standin_put(&rig.store, "servers/odd",
		       "{\"service\":\"a\\nts=1 part=host\",\"address\":"
		       "\"127.0.0.1:9\",\"zone\":\"\\u001b[2J\",\"slots\":4,"
		       "\"state\":\"ready\",\"sequence\":1,\"born\":1}");
	edge_rig_run(&rig, LOW_RATE_PAUSE_MS);
	text = log_since(start);
	ck_assert_int_eq(count(text, "event=joined server=odd"), 1);
	ck_assert_int_eq(count(text, "\nts=1 "), 0);
	ck_assert_int_eq(count(text, "\x1b"), 0);
	free(text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_log");
	TCase *tcase = tcase_create("limit");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, a_name_with_a_line_end_adds_no_line);
	tcase_add_test(tcase, every_request_is_logged_at_a_low_rate);
	tcase_add_test(tcase, under_load_the_log_stays_within_its_limit);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
