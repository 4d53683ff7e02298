/* Tests the messages by which hosts move tokens to each other, the totals of a
 * pair of processes, and the order in which hosts are chosen as relays. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "state/peer_host.h"
#include "state/peer_key.h"
#include "state/team_account_transfer.h"
#include "state/transfer_link.h"
#include "state/transfer_message.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

/* A message with the least room for its header must fit into a datagram. */
#define PAYLOAD_MAX_BYTES 1250

static void fill_entry(struct transfer_entry *entry, int number)
{
	memset(entry, 0, sizeof(*entry));
	snprintf(entry->team, sizeof(entry->team), "team%03d", number);
	entry->given_tokens = INT64_C(1) << 33;
	entry->settled_tokens = INT64_C(1) << 33;
	entry->demanded_tokens = INT64_C(1) << 33;
	entry->requests = 1000000;
	entry->taken_tokens = INT64_C(1) << 33;
	entry->needed_tokens = 100000;
	entry->wanted_tokens = 200000;
	entry->rank = 2;
	entry->held_tokens = 300000;
	entry->none_available = number % 2;
	entry->free_tokens = INT64_C(1) << 33;
	entry->remaining_tokens = -5;
	entry->view_age_ms = 250;
}

static void fill_message(struct transfer_message *message)
{
	memset(message, 0, sizeof(*message));
	message->to_incarnation = UINT64_MAX;
	message->sequence = UINT64_C(1) << 40;
	message->is_report = true;
	message->store_unreachable = true;
	message->entry_count = TRANSFER_ENTRIES_MAX;
	for (int i = 0; i < TRANSFER_ENTRIES_MAX; i++)
		fill_entry(&message->entries[i], i);
}

START_TEST(a_message_is_decoded_as_it_was_encoded)
{
	struct transfer_message message;
	struct transfer_message decoded;
	struct buffer bytes = {0};

	fill_message(&message);
	transfer_message_encode(&message, &bytes);
	ck_assert_uint_le(bytes.size, PAYLOAD_MAX_BYTES);
	ck_assert_int_eq(transfer_message_decode(&decoded, bytes.data,
						 bytes.size, NULL),
			 TGW_OK);
	ck_assert_mem_eq(&decoded, &message, sizeof(message));
	buffer_free(&bytes);
}
END_TEST

START_TEST(a_damaged_message_is_refused_or_in_range)
{
	struct transfer_message message;
	struct transfer_message decoded;
	struct buffer bytes = {0};

	fill_message(&message);
	transfer_message_encode(&message, &bytes);
	for (size_t size = 0; size < bytes.size; size++)
		ck_assert_int_ne(transfer_message_decode(&decoded, bytes.data,
							 size, NULL),
				 TGW_OK);
	for (size_t i = 0; i < bytes.size; i++) {
		bytes.data[i] = (char)(bytes.data[i] ^ 0x80);
		if (transfer_message_decode(&decoded, bytes.data, bytes.size,
					    NULL) == TGW_OK)
			ck_assert_int_ge(decoded.entries[0].given_tokens, 0);
		bytes.data[i] = (char)(bytes.data[i] ^ 0x80);
	}
	buffer_free(&bytes);
}
END_TEST

START_TEST(what_was_given_is_taken_once)
{
	struct transfer_link *link = transfer_link_new("host-1", 7);
	struct transfer_totals *totals = transfer_link_totals(link, "acme");
	struct transfer_entry first = {.given_tokens = 100};
	struct transfer_entry second = {.given_tokens = 250};

	ck_assert_int_eq(transfer_totals_take(totals, &second), 250);
	ck_assert_int_eq(transfer_totals_take(totals, &first), 0);
	ck_assert_int_eq(transfer_totals_take(totals, &second), 0);
	ck_assert_ptr_eq(transfer_link_totals(link, "acme"), totals);
	ck_assert_ptr_ne(transfer_link_totals(link, "zenith"), totals);
	transfer_link_free(link);
}
END_TEST

START_TEST(usage_is_collected_once)
{
	struct transfer_totals totals = {0};
	struct transfer_entry entry = {
		.settled_tokens = 30, .demanded_tokens = 90, .requests = 3};
	struct team_account_usage usage;

	usage = transfer_totals_collect(&totals, &entry);
	ck_assert_int_eq(usage.settled_tokens, 30);
	ck_assert_int_eq(usage.demanded_tokens, 90);
	ck_assert_int_eq(usage.requests, 3);
	usage = transfer_totals_collect(&totals, &entry);
	ck_assert_int_eq(usage.settled_tokens, 0);
	ck_assert_int_eq(usage.requests, 0);
}
END_TEST

START_TEST(what_a_stopping_process_did_not_take_was_never_given)
{
	struct transfer_totals totals = {.given_tokens = 500};
	struct transfer_entry entry = {.taken_tokens = 200};

	ck_assert_int_eq(transfer_totals_revoke(&totals, &entry), 300);
	ck_assert_int_eq(totals.given_tokens, 200);
	ck_assert_int_eq(transfer_totals_revoke(&totals, &entry), 0);
}
END_TEST

static void set_host(struct peer_host *host, const char *name,
		     const char *domain, int64_t memory_mb)
{
	memset(host, 0, sizeof(*host));
	text_copy(host->name, sizeof(host->name), name);
	text_copy(host->failure_domain, sizeof(host->failure_domain), domain);
	text_copy(host->address, sizeof(host->address), "10.0.0.1:7000");
	host->memory_mb = memory_mb;
}

START_TEST(larger_hosts_of_the_domain_relay_and_all_hosts_agree)
{
	struct peer_host hosts[5];
	struct peer_host reversed[5];
	const struct peer_host *ranked[3];
	const struct peer_host *again[3];

	set_host(&hosts[0], "small-1", "a", 160);
	set_host(&hosts[1], "small-2", "a", 160);
	set_host(&hosts[2], "large", "a", 512);
	set_host(&hosts[3], "elsewhere", "b", 4096);
	set_host(&hosts[4], "small-3", "a", 160);
	for (size_t i = 0; i < 5; i++)
		reversed[i] = hosts[4 - i];
	ck_assert_uint_eq(peer_host_rank(hosts, 5, "a", ranked, 3), 3);
	ck_assert_uint_eq(peer_host_rank(reversed, 5, "a", again, 3), 3);
	ck_assert_str_eq(ranked[0]->name, "large");
	for (size_t i = 0; i < 3; i++)
		ck_assert_str_eq(ranked[i]->name, again[i]->name);
	ck_assert_uint_eq(peer_host_rank(hosts, 5, "b", ranked, 3), 1);
	ck_assert_uint_eq(peer_host_rank(hosts, 5, "c", ranked, 3), 0);
}
END_TEST

START_TEST(a_damaged_record_is_refused)
{
	struct peer_host host;
	struct peer_host decoded;
	struct peer_key key = {{1, 2, 3}};
	struct peer_key decoded_key;
	struct buffer bytes = {0};
	struct buffer key_bytes = {0};

	set_host(&host, "host-1", "a", 160);
	peer_host_encode(&host, &bytes);
	peer_key_encode(&key, &key_bytes);
	ck_assert_int_eq(peer_host_decode(&decoded, bytes.data, bytes.size,
					  NULL),
			 TGW_OK);
	ck_assert_mem_eq(&decoded, &host, sizeof(host));
	ck_assert_int_eq(peer_key_decode(&decoded_key, key_bytes.data,
					 key_bytes.size, NULL),
			 TGW_OK);
	ck_assert_mem_eq(&decoded_key, &key, sizeof(key));
	for (size_t i = 0; i < bytes.size; i++) {
		bytes.data[i]++;
		ck_assert_int_ne(peer_host_decode(&decoded, bytes.data,
						  bytes.size, NULL),
				 TGW_OK);
		bytes.data[i]--;
	}
	for (size_t i = 0; i < key_bytes.size; i++) {
		key_bytes.data[i]++;
		ck_assert_int_ne(peer_key_decode(&decoded_key, key_bytes.data,
						 key_bytes.size, NULL),
				 TGW_OK);
		key_bytes.data[i]--;
	}
	buffer_free(&bytes);
	buffer_free(&key_bytes);
}
END_TEST

/* A host that wrote pools has a relay now: what the pool knows already is not
 * reported again, neither the tokens nor the requests. */
START_TEST(a_new_relay_learns_the_mean_cost_of_requests)
{
	struct team_account *earlier = team_account_new("acme");
	struct team_account *relay = team_account_new("acme");
	struct team_account_target target = {0};
	struct team_account_usage usage = {0};
	struct pooled_budget budget = {.name = "acme"};

	for (int i = 0; i < 10; i++)
		team_account_record_demand(earlier, 1000, 0, TGW_US_PER_S);
	team_account_propose(earlier, &target, &budget);
	team_account_confirm(earlier, 1, TGW_US_PER_S);
	team_account_record_demand(earlier, 1000, 0, 2 * TGW_US_PER_S);
	team_account_forward(earlier, &usage);
	team_account_collect(relay, &usage, true, 2 * TGW_US_PER_S);
	ck_assert_int_eq(team_account_mean_cost(relay), 1000);
	free(earlier);
	free(relay);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("transfer");
	TCase *tcase = tcase_create("core");

	tcase_add_test(tcase, a_message_is_decoded_as_it_was_encoded);
	tcase_add_test(tcase, a_damaged_message_is_refused_or_in_range);
	tcase_add_test(tcase, what_was_given_is_taken_once);
	tcase_add_test(tcase, usage_is_collected_once);
	tcase_add_test(tcase,
		       what_a_stopping_process_did_not_take_was_never_given);
	tcase_add_test(tcase,
		       larger_hosts_of_the_domain_relay_and_all_hosts_agree);
	tcase_add_test(tcase, a_damaged_record_is_refused);
	tcase_add_test(tcase, a_new_relay_learns_the_mean_cost_of_requests);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
