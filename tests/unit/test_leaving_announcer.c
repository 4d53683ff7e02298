/* Tests that the hosts of a failure domain are told of a leaving server. */
#include "coordination/leaving_announcer.h"

#include <string.h>

#include "base/text.h"
#include "unit/unit_main.h"

#define SENT_MAX 64

struct test_clock {
	struct tgw_clock clock;
	int64_t now_us;
};

static struct {
	char host[TGW_NAME_SIZE];
	struct leaving_notice notice;
} sent[SENT_MAX];
static size_t sent_count;

static int64_t read_clock(const struct tgw_clock *clock)
{
	return ((const struct test_clock *)clock)->now_us;
}

static enum tgw_status record_message(struct tgw_peer *peer, const char *host,
				      enum tgw_peer_topic topic,
				      const void *payload, size_t payload_size)
{
	ck_assert_uint_lt(sent_count, SENT_MAX);
	ck_assert_int_eq(topic, TGW_PEER_SERVERS);
	text_copy(sent[sent_count].host, sizeof(sent[sent_count].host), host);
	ck_assert_int_eq(leaving_notice_decode(&sent[sent_count].notice,
					       payload, payload_size, NULL),
			 TGW_OK);
	sent_count++;
	return TGW_OK;
}

static const struct tgw_clock_ops clock_ops = {.monotonic_us = read_clock};
static const struct tgw_peer_ops peer_ops = {.send = record_message};
static struct test_clock test_clock = {.clock = {&clock_ops}};
static struct tgw_peer peer = {&peer_ops};
static struct leaving_announcer announcer;

static const struct peer_host hosts[] = {
	{.name = "host-a", .failure_domain = "east"},
	{.name = "host-b", .failure_domain = "east"},
	{.name = "host-c", .failure_domain = "west"},
	{.name = "host-d", .failure_domain = "east"},
};

static const struct leaving_notice notice = {
	.server = "worker-1",
	.address = "10.0.0.1:80",
	.born_ms = 1234567890123,
};

static void setup(void)
{
	sent_count = 0;
	test_clock.now_us = 1000;
	leaving_announcer_init(&announcer, &peer, &test_clock.clock, "host-a",
			       "east");
}

static void tick(void)
{
	leaving_announcer_tick(&announcer, hosts,
			       sizeof(hosts) / sizeof(hosts[0]));
}

START_TEST(the_other_hosts_of_the_failure_domain_are_told_at_once)
{
	leaving_announcer_add(&announcer, &notice);
	tick();
	ck_assert_uint_eq(sent_count, 2);
	ck_assert_str_eq(sent[0].host, "host-b");
	ck_assert_str_eq(sent[1].host, "host-d");
	ck_assert_str_eq(sent[1].notice.server, notice.server);
	ck_assert_str_eq(sent[1].notice.address, notice.address);
	ck_assert_int_eq(sent[1].notice.born_ms, notice.born_ms);
}
END_TEST

START_TEST(a_notice_is_repeated_once)
{
	leaving_announcer_add(&announcer, &notice);
	for (int i = 0; i < 100; i++) {
		tick();
		test_clock.now_us += 100 * TGW_US_PER_MS;
	}
	ck_assert_uint_eq(sent_count, 4);
}
END_TEST

START_TEST(the_number_of_pending_notices_is_bounded)
{
	for (int i = 0; i < 3 * LEAVING_ANNOUNCER_NOTICES_MAX; i++)
		leaving_announcer_add(&announcer, &notice);
	tick();
	ck_assert_uint_eq(sent_count, 2 * LEAVING_ANNOUNCER_NOTICES_MAX);
}
END_TEST

START_TEST(a_host_without_others_sends_nothing)
{
	leaving_announcer_init(&announcer, NULL, &test_clock.clock, "host-a",
			       "east");
	leaving_announcer_add(&announcer, &notice);
	tick();
	ck_assert_uint_eq(sent_count, 0);
}
END_TEST

START_TEST(a_notice_that_names_no_run_is_refused)
{
	struct leaving_notice bad = notice;
	struct leaving_notice decoded;
	struct buffer bytes = {0};

	if (_i == 0)
		*bad.server = '\0';
	else if (_i == 1)
		*bad.address = '\0';
	else
		bad.born_ms = -1;
	leaving_notice_encode(&bad, &bytes);
	ck_assert_int_eq(leaving_notice_decode(&decoded, bytes.data, bytes.size,
					       NULL),
			 TGW_CORRUPT);
	for (size_t size = 0; size < bytes.size; size++)
		ck_assert_int_ne(leaving_notice_decode(&decoded, bytes.data,
						       size, NULL),
				 TGW_OK);
	buffer_free(&bytes);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("leaving_announcer");
	TCase *tcase = tcase_create("notices");

	tcase_add_checked_fixture(tcase, setup, NULL);
	tcase_add_test(tcase,
		       the_other_hosts_of_the_failure_domain_are_told_at_once);
	tcase_add_test(tcase, a_notice_is_repeated_once);
	tcase_add_test(tcase, the_number_of_pending_notices_is_bounded);
	tcase_add_test(tcase, a_host_without_others_sends_nothing);
	tcase_add_loop_test(tcase, a_notice_that_names_no_run_is_refused, 0, 3);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
