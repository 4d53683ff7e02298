/* Tests what a host knows of its network link and does about it, by a play of
 * two hosts with small links. A balancer sends all requests of one large team
 * to the first ready host, and learns of its readiness late. */
#include "state/link_load.h"

#include <string.h>

#include "state/host_load.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define TICK_US (100 * TGW_US_PER_MS)
#define TICKS_PER_S 10
#define LINK_MBPS 20
#define LINK_BYTES_PER_TICK (LINK_MBPS * 1000 * 1000 / 8 / TICKS_PER_S)
#define REQUEST_BYTES 4500
/* A fifth more than one link carries. */
#define REQUESTS_PER_TICK (LINK_BYTES_PER_TICK * 6 / 5 / REQUEST_BYTES)
#define BALANCER_LATE_TICKS 20
#define HOSTS 2
#define PLAY_TICKS (30 * TICKS_PER_S)
/* Callers give up on what waits longer for the link. */
#define MAX_QUEUE_TICKS 10

struct play_host {
	struct link_load link;
	struct host_load load;
	struct link_bytes bytes;
	uint64_t queued_bytes;
	bool was_overloaded[PLAY_TICKS];
};

static struct play_host hosts[HOSTS];

static void carry(struct play_host *host)
{
	uint64_t carried = host->queued_bytes < LINK_BYTES_PER_TICK
				   ? host->queued_bytes
				   : LINK_BYTES_PER_TICK;

	host->queued_bytes -= carried;
	host->bytes.received_bytes += carried;
}

static void decide(struct play_host *host, int tick)
{
	struct host_load_view view = {.now_us = (tick + 1) * TICK_US};

	link_load_update(&host->link, &host->bytes, view.now_us);
	view.link_percent = link_load_percent(&host->link);
	host_load_update(&host->load, &view);
	host->was_overloaded[tick] = host->load.overloaded;
}

static struct play_host *choose_host(int tick)
{
	for (int i = 0; i < HOSTS; i++)
		if (tick < BALANCER_LATE_TICKS ||
		    !hosts[i].was_overloaded[tick - BALANCER_LATE_TICKS])
			return &hosts[i];
	return &hosts[0];
}

/* @return the requests that waited too long for a link */
static int play(int64_t known_link_mbps)
{
	int late = 0;

	memset(hosts, 0, sizeof(hosts));
	for (int i = 0; i < HOSTS; i++) {
		link_load_init(&hosts[i].link, known_link_mbps);
		host_load_init(&hosts[i].load);
	}
	for (int tick = 0; tick < PLAY_TICKS; tick++) {
		struct play_host *host = choose_host(tick);

		if (host->queued_bytes > MAX_QUEUE_TICKS * LINK_BYTES_PER_TICK)
			late += REQUESTS_PER_TICK;
		else
			host->queued_bytes +=
				(uint64_t)REQUESTS_PER_TICK * REQUEST_BYTES;
		for (int i = 0; i < HOSTS; i++) {
			carry(&hosts[i]);
			decide(&hosts[i], tick);
		}
	}
	return late;
}

START_TEST(a_team_larger_than_one_link_is_served_by_two_hosts)
{
	ck_assert_int_eq(play(LINK_MBPS), 0);
	ck_assert_uint_gt(hosts[1].bytes.received_bytes,
			  hosts[0].bytes.received_bytes / 2);
}
END_TEST

/* The play shows a full link: without a known capacity, requests are lost. */
START_TEST(a_host_that_does_not_know_its_link_is_flooded)
{
	ck_assert_int_gt(play(0), 0);
	ck_assert_uint_eq(hosts[1].bytes.received_bytes, 0);
}
END_TEST

static uint32_t percent_after(uint64_t received_per_tick,
			      uint64_t sent_per_tick, int ticks)
{
	struct link_bytes bytes = {0};
	struct link_load link;

	link_load_init(&link, LINK_MBPS);
	for (int i = 1; i <= ticks; i++) {
		link_load_update(&link, &bytes, i * TICK_US);
		bytes.received_bytes += received_per_tick;
		bytes.sent_bytes += sent_per_tick;
	}
	return link_load_percent(&link);
}

START_TEST(the_busier_direction_counts)
{
	uint64_t half = LINK_BYTES_PER_TICK / 2;

	ck_assert_uint_eq(percent_after(0, 0, 30), 0);
	ck_assert_uint_ge(percent_after(half, 0, 30), 48);
	ck_assert_uint_le(percent_after(half, half, 30), 50);
	ck_assert_uint_ge(percent_after(0, 3 * half, 30), 145);
}
END_TEST

/* A single large response is no reason to send callers elsewhere. */
START_TEST(one_full_moment_is_no_overload)
{
	ck_assert_uint_le(percent_after(LINK_BYTES_PER_TICK, 0, 2), 25);
	ck_assert_uint_ge(percent_after(LINK_BYTES_PER_TICK, 0, 10), 75);
}
END_TEST

/* All at once would overload the next host. */
START_TEST(a_full_link_ends_some_connections)
{
	struct host_load load;
	struct host_load_view view = {.now_us = TICK_US, .link_percent = 75};
	int ended = 0;

	host_load_init(&load);
	host_load_update(&load, &view);
	ck_assert(load.overloaded);
	for (int i = 0; i < 100; i++)
		ended += host_load_ends_connection(&load);
	ck_assert_int_eq(ended, 25);
	view.link_percent = 74;
	host_load_update(&load, &view);
	ck_assert(load.overloaded);
	ck_assert(!host_load_ends_connection(&load));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("link_load");
	TCase *tcase = tcase_create("core");

	tcase_add_test(tcase,
		       a_team_larger_than_one_link_is_served_by_two_hosts);
	tcase_add_test(tcase, a_host_that_does_not_know_its_link_is_flooded);
	tcase_add_test(tcase, the_busier_direction_counts);
	tcase_add_test(tcase, one_full_moment_is_no_overload);
	tcase_add_test(tcase, a_full_link_ends_some_connections);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
