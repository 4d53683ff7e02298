/* Tests how hosts see each other's states under faults, at several fleet
 * sizes. */
#include "tamarackgw/membership.h"

#include <stdio.h>
#include <string.h>

#include "fakes/config_fleet.h"
#include "state/heartbeat.h"
#include "unit/unit_main.h"

#define DOMAINS 4
#define SETTLE_US (20 * TGW_US_PER_S)

static struct config_fleet fleet;

static void build_with(size_t per_domain, int64_t silent_after_us)
{
	config_fleet_init(&fleet, 11, false);
	if (silent_after_us)
		fleet.membership_env.silent_after_us = silent_after_us;
	fleet.net.jitter_us = 2000;
	for (size_t i = 0; i < per_domain * DOMAINS; i++) {
		char name[TGW_NAME_SIZE];
		char domain[TGW_NAME_SIZE];

		snprintf(name, sizeof(name), "h%03zu", i);
		snprintf(domain, sizeof(domain), "d%zu", i % DOMAINS);
		config_fleet_add(&fleet, name, domain);
	}
	fake_world_advance(&fleet.world, SETTLE_US);
}

static void build(size_t per_domain)
{
	build_with(per_domain, 0);
}

static void teardown(void)
{
	config_fleet_clear(&fleet);
}

/* @return the number of running hosts that see a host in a state */
static size_t count_seeing(const char *name, enum tgw_host_state state)
{
	size_t count = 0;

	for (size_t i = 0; i < fleet.host_count; i++)
		count += fleet.hosts[i]->up &&
			 strcmp(fleet.hosts[i]->end.name, name) != 0 &&
			 fleet_host_sees(fleet.hosts[i], name) == state;
	return count;
}

static uint64_t sum_became_silent(void)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < fleet.host_count; i++)
		if (fleet.hosts[i]->up)
			sum += tgw_membership_counters(
				       fleet.hosts[i]->membership)
				       ->became_silent;
	return sum;
}

static void check_all_alive(void)
{
	for (size_t i = 0; i < fleet.host_count; i++)
		ck_assert_uint_eq(count_seeing(fleet.hosts[i]->end.name,
					       TGW_HOST_ALIVE),
				  fleet.host_count - 1);
}

static const size_t sizes[] = {1, 2, 12};

START_TEST(no_host_is_silent_in_a_healthy_fleet)
{
	build(sizes[_i]);
	check_all_alive();
	fleet.net.loss_per_1000 = 10;
	fleet.net.duplicate_per_1000 = 10;
	fake_world_advance(&fleet.world, 1800 * TGW_US_PER_S);
	ck_assert_uint_eq(sum_became_silent(), 0);
	check_all_alive();
}
END_TEST

/* A configured silence limit that is long enough for a domain of two hosts is
 * too short for one of twelve, in which a heartbeat takes more rounds to reach
 * all hosts. */
START_TEST(a_short_silence_limit_is_raised_in_a_large_domain)
{
	build_with(12, 2 * TGW_US_PER_S);
	fleet.net.loss_per_1000 = 10;
	fake_world_advance(&fleet.world, 600 * TGW_US_PER_S);
	ck_assert_uint_eq(sum_became_silent(), 0);
}
END_TEST

START_TEST(a_dead_host_is_silent_and_gone_once_unlisted)
{
	size_t others;

	build(sizes[_i]);
	others = fleet.host_count - 1;
	fleet_host_kill(fleet.hosts[0]);
	fake_world_advance(&fleet.world, 15 * TGW_US_PER_S);
	for (size_t i = 1; i < fleet.host_count; i++)
		if (!strcmp(fleet.hosts[i]->domain, "d0"))
			ck_assert_int_eq(fleet_host_sees(fleet.hosts[i],
							 "h000"),
					 TGW_HOST_SILENT);
	fake_world_advance(&fleet.world, 45 * TGW_US_PER_S);
	ck_assert_uint_eq(count_seeing("h000", TGW_HOST_SILENT), others);
	/* The list may be outdated for long, so a host that is still listed
	 * stays silent and is not gone. */
	fake_world_advance(&fleet.world, 600 * TGW_US_PER_S);
	ck_assert_uint_eq(count_seeing("h000", TGW_HOST_SILENT), others);
	config_fleet_set_listed(&fleet, "h000", false, false);
	fake_world_advance(&fleet.world, 50 * TGW_US_PER_S);
	ck_assert_uint_eq(count_seeing("h000", TGW_HOST_GONE), 0);
	fake_world_advance(&fleet.world, 20 * TGW_US_PER_S);
	ck_assert_uint_eq(count_seeing("h000", TGW_HOST_GONE), others);
}
END_TEST

START_TEST(a_host_whose_listing_is_odd_counts_as_listed)
{
	size_t others;

	build(2);
	others = fleet.host_count - 1;
	for (size_t i = 0; i < fleet.listed_count; i++)
		fleet.listed[i].has_name_only =
			!strcmp(fleet.listed[i].name, "h000");
	config_fleet_set_listed(&fleet, "new", true, false);
	fleet.listed[fleet.listed_count - 1].has_name_only = true;
	fleet_host_kill(fleet.hosts[0]);
	fake_world_advance(&fleet.world, 600 * TGW_US_PER_S);
	ck_assert_uint_eq(count_seeing("h000", TGW_HOST_SILENT), others);
	ck_assert_ptr_null(tgw_host_view_find(
		tgw_membership_view(fleet.hosts[1]->membership), "new"));
}
END_TEST

/* Heartbeats count more than the list, which may be wrong. */
START_TEST(an_alive_host_that_is_not_listed_stays_alive)
{
	build(3);
	config_fleet_set_listed(&fleet, "h001", false, false);
	fake_world_advance(&fleet.world, 600 * TGW_US_PER_S);
	ck_assert_uint_eq(count_seeing("h001", TGW_HOST_ALIVE),
			  fleet.host_count - 1);
	ck_assert_uint_eq(sum_became_silent(), 0);
}
END_TEST

START_TEST(a_restarted_host_is_alive_at_once_in_its_new_incarnation)
{
	build(3);
	fleet_host_kill(fleet.hosts[2]);
	fake_world_advance(&fleet.world, 2 * TGW_US_PER_S);
	fleet_host_start(fleet.hosts[2]);
	fake_world_advance(&fleet.world, 2 * TGW_US_PER_S);
	for (size_t i = 0; i < fleet.host_count; i++) {
		const struct tgw_host_view *view =
			tgw_membership_view(fleet.hosts[i]->membership);
		const struct tgw_host *seen = tgw_host_view_find(view, "h002");

		ck_assert_int_eq(seen->state, TGW_HOST_ALIVE);
		ck_assert_uint_eq(seen->incarnation,
				  fleet.hosts[2]->incarnation);
	}
}
END_TEST

/* The other hosts see a paused host as silent. When it resumes, it does not
 * count its own pause as their silence. */
START_TEST(a_resumed_host_sees_no_host_as_silent)
{
	struct fleet_host *host;

	build(3);
	host = fleet.hosts[0];
	fleet_host_set_paused(host, true);
	fake_world_advance(&fleet.world, 120 * TGW_US_PER_S);
	ck_assert_uint_eq(count_seeing("h000", TGW_HOST_SILENT),
			  fleet.host_count - 1);
	fleet_host_set_paused(host, false);
	fake_world_advance(&fleet.world, 10 * TGW_US_PER_S);
	ck_assert_uint_eq(
		tgw_membership_counters(host->membership)->became_silent, 0);
	ck_assert_uint_eq(count_seeing("h000", TGW_HOST_ALIVE),
			  fleet.host_count - 1);
}
END_TEST

static const struct {
	bool receives_nothing;
	bool sends_nothing;
} partitions[] = {{true, false}, {false, true}};

/* One-way partitions: a host that receives nothing, or whose messages nobody
 * receives, is silent to all others, which stay alive to each other. */
START_TEST(a_host_with_a_one_way_partition_is_silent)
{
	build(3);
	fleet.hosts[0]->end.receives_nothing = partitions[_i].receives_nothing;
	fleet.hosts[0]->end.sends_nothing = partitions[_i].sends_nothing;
	fake_world_advance(&fleet.world, 90 * TGW_US_PER_S);
	ck_assert_uint_eq(count_seeing("h000", TGW_HOST_SILENT),
			  fleet.host_count - 1);
	ck_assert_uint_eq(count_seeing("h005", TGW_HOST_ALIVE),
			  partitions[_i].receives_nothing
				  ? fleet.host_count - 2
				  : fleet.host_count - 1);
	fleet.hosts[0]->end.receives_nothing = false;
	fleet.hosts[0]->end.sends_nothing = false;
	fake_world_advance(&fleet.world, 60 * TGW_US_PER_S);
	check_all_alive();
}
END_TEST

START_TEST(a_partitioned_domain_recovers)
{
	build(sizes[_i]);
	for (size_t i = 0; i < fleet.host_count; i++)
		if (!strcmp(fleet.hosts[i]->domain, "d3"))
			fleet.hosts[i]->end.group = 1;
	fake_world_advance(&fleet.world, 3600 * TGW_US_PER_S);
	for (size_t i = 0; i < fleet.host_count; i++) {
		struct fleet_host *host = fleet.hosts[i];

		for (size_t j = 0; j < fleet.host_count; j++)
			ck_assert_int_eq(
				fleet_host_sees(host, fleet.hosts[j]->end.name),
				host->end.group == fleet.hosts[j]->end.group
					? TGW_HOST_ALIVE
					: TGW_HOST_SILENT);
	}
	for (size_t i = 0; i < fleet.host_count; i++)
		fleet.hosts[i]->end.group = 0;
	fake_world_advance(&fleet.world, 60 * TGW_US_PER_S);
	check_all_alive();
}
END_TEST

/* Each time a host becomes silent again, it has to send heartbeats for longer
 * before it counts as alive. */
START_TEST(a_flapping_host_does_not_flap_in_the_views)
{
	size_t silences;

	build(3);
	for (int i = 0; i < 20; i++) {
		fleet.hosts[0]->end.sends_nothing = true;
		fake_world_advance(&fleet.world, 15 * TGW_US_PER_S);
		fleet.hosts[0]->end.sends_nothing = false;
		fake_world_advance(&fleet.world, 15 * TGW_US_PER_S);
	}
	silences = (size_t)tgw_membership_counters(fleet.hosts[4]->membership)
			   ->became_silent;
	ck_assert_uint_ge(silences, 1);
	ck_assert_uint_le(silences, 5);
	fake_world_advance(&fleet.world, 90 * TGW_US_PER_S);
	check_all_alive();
}
END_TEST

START_TEST(a_leaving_host_is_seen_as_leaving_within_seconds)
{
	build(2);
	tgw_membership_set_self(fleet.hosts[0]->membership, true, 0);
	fake_world_advance(&fleet.world, 3 * TGW_US_PER_S);
	for (size_t i = 1; i < fleet.host_count; i++)
		if (!strcmp(fleet.hosts[i]->domain, "d0"))
			ck_assert_int_eq(fleet_host_sees(fleet.hosts[i],
							 "h000"),
					 TGW_HOST_LEAVING);
	config_fleet_set_listed(&fleet, "h001", true, true);
	config_fleet_send_list(&fleet);
	ck_assert_uint_eq(count_seeing("h001", TGW_HOST_LEAVING),
			  fleet.host_count - 1);
}
END_TEST

/* Messages from a host that is not listed are ignored. Otherwise, forged high
 * beats of another host would make its true beats look outdated. */
START_TEST(an_unknown_host_is_ignored)
{
	struct heartbeat heartbeat = {.beat = 1, .entry_count = 1};
	struct tgw_peer_message message = {
		.from_host = "stranger",
		.from_incarnation = 5,
		.topic = TGW_PEER_MEMBERSHIP,
	};
	msgpack_sbuffer payload;

	build(2);
	heartbeat.entries[0].name_hash = heartbeat_name_hash("h001");
	heartbeat.entries[0].beat = 2000000;
	heartbeat.entries[0].incarnation_tag =
		heartbeat_incarnation_tag(fleet.hosts[1]->incarnation);
	msgpack_sbuffer_init(&payload);
	for (uint32_t ahead = 1; ahead < 4; ahead++) {
		heartbeat.entries[0].beat = ahead * 1000000;
		msgpack_sbuffer_clear(&payload);
		heartbeat_encode(&heartbeat, &payload);
		message.payload = (const uint8_t *)payload.data;
		message.payload_size = payload.size;
		for (size_t i = 0; i < fleet.host_count; i++)
			tgw_membership_on_message(fleet.hosts[i]->membership,
						  &message);
	}
	fake_world_advance(&fleet.world, 60 * TGW_US_PER_S);
	check_all_alive();
	ck_assert_uint_eq(sum_became_silent(), 0);
	msgpack_sbuffer_destroy(&payload);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("membership");
	TCase *tcase = tcase_create("faults");
	int size_count = (int)(sizeof(sizes) / sizeof(sizes[0]));

	tcase_add_checked_fixture(tcase, NULL, teardown);
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, no_host_is_silent_in_a_healthy_fleet, 0,
			    size_count);
	tcase_add_test(tcase,
		       a_short_silence_limit_is_raised_in_a_large_domain);
	tcase_add_loop_test(tcase, a_dead_host_is_silent_and_gone_once_unlisted,
			    0, size_count);
	tcase_add_test(tcase, a_host_whose_listing_is_odd_counts_as_listed);
	tcase_add_test(tcase, an_alive_host_that_is_not_listed_stays_alive);
	tcase_add_test(
		tcase,
		a_restarted_host_is_alive_at_once_in_its_new_incarnation);
	tcase_add_test(tcase, a_resumed_host_sees_no_host_as_silent);
	tcase_add_loop_test(tcase, a_host_with_a_one_way_partition_is_silent, 0,
			    2);
	tcase_add_loop_test(tcase, a_partitioned_domain_recovers, 0,
			    size_count);
	tcase_add_test(tcase, a_flapping_host_does_not_flap_in_the_views);
	tcase_add_test(tcase, a_leaving_host_is_seen_as_leaving_within_seconds);
	tcase_add_test(tcase, an_unknown_host_is_ignored);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
