/* Tests that hosts learn of servers' loads from each other, by their relay and
 * across failure domains, on a network that loses messages, and that messages
 * of odd content change nothing. */
#include "coordination/load_exchange.h"

#include <stdio.h>
#include <string.h>

#include "base/text.h"
#include "fakes/fake_net.h"
#include "state/load_message.h"
#include "unit/unit_main.h"

#define DOMAINS 2
#define HOSTS_OF_DOMAIN 4
#define HOSTS (DOMAINS * HOSTS_OF_DOMAIN)
#define SERVERS 200
#define TICK_US (100 * TGW_US_PER_MS)

static struct fake_world world;
static struct fake_net net;
static struct peer_host hosts[HOSTS];
static struct fake_net_end ends[HOSTS];
static struct backend_table tables[HOSTS];
static struct load_exchange exchanges[HOSTS];

static void receive(void *arg, const struct tgw_peer_message *message)
{
	load_exchange_on_message(arg, message);
}

static void put_servers(struct backend_table *table)
{
	for (int i = 0; i < SERVERS; i++) {
		struct backend_entry entry = {.slots = 12, .born_ms = 1};

		snprintf(entry.id, sizeof(entry.id), "server-%d", i);
		snprintf(entry.address, sizeof(entry.address), "127.0.0.1:%d",
			 i + 1);
		backend_table_put(table, &entry);
	}
}

/* The first host of each domain is its relay. */
static void start_host(size_t index)
{
	size_t relay = index - index % HOSTS_OF_DOMAIN;

	memset(&tables[index], 0, sizeof(tables[index]));
	put_servers(&tables[index]);
	load_exchange_init(&exchanges[index], &ends[index].peer, &world.clock,
			   &tables[index], hosts[index].failure_domain);
	load_exchange_set_relay(&exchanges[index], hosts[relay].name,
				relay == index);
	load_exchange_set_hosts(&exchanges[index], hosts, HOSTS);
}

static void setup(void)
{
	fake_world_init(&world, 1);
	fake_net_init(&net, &world);
	net.latency_us = TGW_US_PER_MS;
	for (size_t i = 0; i < HOSTS; i++) {
		snprintf(hosts[i].name, sizeof(hosts[i].name), "host-%zu", i);
		snprintf(hosts[i].failure_domain,
			 sizeof(hosts[i].failure_domain), "domain-%zu",
			 i / HOSTS_OF_DOMAIN);
		/* Larger hosts rank first. */
		hosts[i].memory_mb = i % HOSTS_OF_DOMAIN ? 100 : 500;
		fake_net_add(&net, &ends[i], hosts[i].name, i + 1, receive,
			     &exchanges[i]);
	}
	for (size_t i = 0; i < HOSTS; i++)
		start_host(i);
}

static void teardown(void)
{
	for (size_t i = 0; i < HOSTS; i++)
		while (tables[i].first)
			backend_table_remove(&tables[i],
					     tables[i].first->entry.id);
	fake_world_clear(&world);
}

static void play_ms(int64_t ms)
{
	int64_t until_us = world.now_us + ms * TGW_US_PER_MS;

	while (world.now_us < until_us) {
		for (size_t i = 0; i < HOSTS; i++)
			load_exchange_tick(&exchanges[i]);
		fake_world_advance(&world, TICK_US);
	}
}

static struct backend *find(size_t host, int server)
{
	char id[TGW_NAME_SIZE];

	snprintf(id, sizeof(id), "server-%d", server);
	return backend_table_find(&tables[host], id);
}

static void report(size_t host, int server, uint32_t running,
		   uint32_t work_percent)
{
	struct backend_load load = {
		.slots = 12, .running = running, .work_percent = work_percent};

	backend_report(find(host, server), &load, world.now_us);
}

START_TEST(a_report_reaches_the_hosts_of_all_domains)
{
	/* Hosts that know a server that reports its speed ask for more. */
	for (size_t i = 0; i < HOSTS; i++)
		report(i, (int)i, 1, 100);
	play_ms(1000);
	report(1, 77, 9, 170);
	play_ms(1500);
	for (size_t i = 0; i < HOSTS; i++) {
		ck_assert_uint_eq(find(i, 77)->reported.running, 9);
		ck_assert_uint_eq(
			server_speed_usual_percent(&find(i, 77)->speed), 170);
	}
}
END_TEST

START_TEST(an_older_report_does_not_replace_a_later_one)
{
	report(1, 7, 9, 100);
	fake_world_advance(&world, 10 * TGW_US_PER_MS);
	report(2, 7, 3, 100);
	play_ms(2000);
	for (size_t i = 0; i < HOSTS_OF_DOMAIN; i++)
		ck_assert_uint_eq(find(i, 7)->reported.running, i == 3 ? 0 : 3);
}
END_TEST

START_TEST(lost_messages_only_delay_what_is_known)
{
	net.loss_per_1000 = 300;
	net.duplicate_per_1000 = 200;
	net.jitter_us = 50 * TGW_US_PER_MS;
	for (int round = 0; round < 20; round++) {
		for (size_t i = 0; i < HOSTS; i++)
			report(i, 5, (uint32_t)round, 100);
		play_ms(400);
	}
	for (size_t i = 0; i < HOSTS; i++)
		ck_assert_uint_eq(find(i, 5)->reported.running, 19);
}
END_TEST

/* Guards against traffic in fleets whose servers report no speed. */
START_TEST(hosts_without_rated_servers_send_nothing)
{
	for (size_t i = 0; i < HOSTS; i++)
		report(i, 3, 5, 0);
	play_ms(3000);
	ck_assert_uint_eq(net.messages, 0);
}
END_TEST

START_TEST(a_host_that_is_gone_is_told_nothing_more)
{
	uint64_t before;

	for (size_t i = 0; i < HOSTS; i++)
		report(i, (int)i, 1, 100);
	play_ms(1000);
	for (size_t i = 0; i < HOSTS; i++)
		if (i % HOSTS_OF_DOMAIN)
			load_exchange_set_relay(&exchanges[i], "", false);
	play_ms(4000);
	for (size_t i = 0; i < HOSTS; i++)
		load_exchange_set_hosts(&exchanges[i], hosts, 0);
	before = net.messages;
	report(0, 9, 1, 100);
	play_ms(1000);
	ck_assert_uint_eq(net.messages, before);
}
END_TEST

/* Each host hears of each of the servers once a second: with 200 servers at
 * most 8 KB a second for a host on average. */
START_TEST(the_traffic_of_a_host_is_bounded)
{
	uint64_t before = 0;

	for (int round = 0; round < 20; round++) {
		if (round == 5)
			before = net.bytes;
		for (int server = 0; server < SERVERS / 5; server++)
			report((size_t)server % HOSTS,
			       server + round % 5 * SERVERS / 5, 6, 100);
		play_ms(200);
	}
	ck_assert_uint_le((net.bytes - before) / 3 / HOSTS, 8192);
}
END_TEST

START_TEST(an_odd_message_changes_nothing)
{
	static const char *const payloads[] = {
		"",
		"\xc1",
		"\x92\x01\x90x",
		"\x92\x02\x90",
		"\x92\x01\x94\x01\x02\x03\x04",
		"\x92\x01\xa1x",
		"\x92\x01\x95\x01\x02\x03\x04\xff",
		"\x92\x01\x95\x01\x02\x03\x04\xce\xff\xff\xff\xff"};
	struct tgw_peer_message message = {
		.from_host = "host-1",
		.topic = TGW_PEER_LOADS,
		.payload = (const uint8_t *)payloads[_i],
		.payload_size = strlen(payloads[_i]),
	};

	load_exchange_on_message(&exchanges[0], &message);
	ck_assert_uint_eq(exchanges[0].reports_received, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("load_exchange");
	TCase *tcase = tcase_create("hosts");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, a_report_reaches_the_hosts_of_all_domains);
	tcase_add_test(tcase, an_older_report_does_not_replace_a_later_one);
	tcase_add_test(tcase, lost_messages_only_delay_what_is_known);
	tcase_add_test(tcase, hosts_without_rated_servers_send_nothing);
	tcase_add_test(tcase, a_host_that_is_gone_is_told_nothing_more);
	tcase_add_test(tcase, the_traffic_of_a_host_is_bounded);
	tcase_add_loop_test(tcase, an_odd_message_changes_nothing, 0, 8);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
