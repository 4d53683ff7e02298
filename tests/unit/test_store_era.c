/* Tests what hosts make of a store that returns from an earlier copy: what was
 * written since is gone, and revisions are given out again. */
#include <string.h>

#include "fakes/edge_rig.h"
#include "platform_version.h"
#include "unit/unit_main.h"

#define HOSTS 2
#define FILLERS 200
#define WAIT_MS 1500
/* Hosts don't watch the store before they know each other. */
#define DISCOVERY_MS 2500
#define CALL_TIMEOUT_MS 300

static struct edge_rig rig;

static int64_t version_in_force(size_t host)
{
	return route_follower_set(rig.hosts[host].edge.route_follower)->version;
}

static void check_in_force(int64_t version)
{
	for (size_t i = 0; i < rig.host_count; i++)
		ck_assert_int_eq(version_in_force(i), version);
}

static void raise_revision(void)
{
	for (int i = 0; i < FILLERS; i++)
		kv_standin_put(&rig.store, "op/other", "x");
}

/* A copy at version 1, then version 2 in force at a high revision. */
static void start_with_a_copy(size_t host_count)
{
	edge_rig_start_fleet(&rig, host_count);
	rig.store.era = 1;
	edge_rig_make_ready(&rig);
	edge_rig_run(&rig, DISCOVERY_MS);
	kv_standin_copy(&rig.store);
	raise_revision();
	edge_rig_configure(&rig, 2, 1000000, "key-1");
	edge_rig_run(&rig, WAIT_MS);
	check_in_force(2);
}

START_TEST(a_change_after_a_return_is_in_force)
{
	start_with_a_copy(HOSTS);
	kv_standin_return(&rig.store);
	edge_rig_run(&rig, WAIT_MS);
	check_in_force(2);
	edge_rig_configure(&rig, 3, 1000000, "key-1");
	edge_rig_run(&rig, WAIT_MS);
	check_in_force(3);
	edge_rig_stop(&rig);
}
END_TEST

START_TEST(a_change_below_a_revision_that_was_passed_again_is_not_missed)
{
	start_with_a_copy(HOSTS);
	kv_standin_return(&rig.store);
	edge_rig_configure(&rig, 3, 1000000, "key-1");
	raise_revision();
	raise_revision();
	edge_rig_run(&rig, WAIT_MS);
	check_in_force(3);
	edge_rig_stop(&rig);
}
END_TEST

START_TEST(returns_in_a_row_are_followed)
{
	start_with_a_copy(HOSTS);
	for (int version = 3; version < 6; version++) {
		kv_standin_return(&rig.store);
		edge_rig_run(&rig, 50);
		kv_standin_return(&rig.store);
		edge_rig_configure(&rig, version, 1000000, "key-1");
		raise_revision();
		edge_rig_run(&rig, WAIT_MS);
		check_in_force(version);
	}
	edge_rig_stop(&rig);
}
END_TEST

/* ---- calls ---- */

struct outcome {
	bool done;
	enum tgw_status status;
	int64_t version;
	char value[16];
};

static uv_loop_t loop;
static struct kv_standin server;
static struct platform_store client;

static void record(void *arg, const struct tgw_store_result *result)
{
	struct outcome *outcome = arg;

	outcome->done = true;
	outcome->status = result->status;
	if (!result->entry_count)
		return;
	outcome->version = result->entries[0].version;
	if (result->entries[0].value)
		snprintf(outcome->value, sizeof(outcome->value), "%.*s",
			 (int)result->entries[0].value_size,
			 (const char *)result->entries[0].value);
}

static struct outcome wait_for(struct outcome *outcome)
{
	while (!outcome->done)
		uv_run(&loop, UV_RUN_ONCE);
	return *outcome;
}

static struct outcome get(const char *key)
{
	struct outcome outcome = {0};

	tgw_store_get(&client.store, key,
		      (struct tgw_store_callback){record, &outcome});
	return wait_for(&outcome);
}

static struct outcome swap(const char *key, int64_t expected, const char *value)
{
	struct outcome outcome = {0};

	tgw_store_swap(&client.store, key, expected, value, strlen(value),
		       (struct tgw_store_callback){record, &outcome});
	return wait_for(&outcome);
}

static void setup_client(void)
{
	struct platform_store_settings settings = {
		.call_timeout_ms = CALL_TIMEOUT_MS,
	};

	memset(&server, 0, sizeof(server));
	uv_loop_init(&loop);
	kv_standin_start(&server, &loop);
	server.era = 2;
	platform_store_init(&client, &loop, &settings);
	platform_http_client_set_address(&client.client, server.address);
}

static void close_handle(uv_handle_t *handle, void *arg)
{
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void teardown_client(void)
{
	platform_store_close(&client);
	kv_standin_stop(&server);
	for (int i = 0; i < 10; i++)
		uv_run(&loop, UV_RUN_NOWAIT);
	uv_walk(&loop, close_handle, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

START_TEST(a_write_that_rests_on_an_earlier_era_takes_no_effect)
{
	struct outcome first;
	struct outcome second;

	kv_standin_copy(&server);
	first = swap("k", TGW_STORE_ABSENT, "ours");
	ck_assert_int_eq(first.status, TGW_OK);
	kv_standin_return(&server);
	kv_standin_put(&server, "k", "theirs");
	ck_assert_str_eq(get("k").value, "theirs");
	second = swap("k", first.version, "later");
	ck_assert_int_eq(second.status, TGW_CONFLICT);
	ck_assert_str_eq(second.value, "theirs");
	ck_assert_int_gt(second.version, first.version);
	ck_assert_str_eq(get("k").value, "theirs");
	ck_assert_int_eq(swap("k", second.version, "later").status, TGW_OK);
}
END_TEST

/* The host hears of the return from the answer to the write only. */
START_TEST(a_write_that_meets_a_return_has_an_unknown_outcome)
{
	struct outcome first;

	kv_standin_copy(&server);
	first = swap("k", TGW_STORE_ABSENT, "ours");
	kv_standin_return(&server);
	kv_standin_put(&server, "k", "theirs");
	ck_assert_int_eq(swap("k", first.version, "later").status, TGW_UNKNOWN);
}
END_TEST

static const struct {
	int64_t era; /* 0: the answer does not tell it */
	const char *text;
} bad_eras[] = {
	{0, NULL}, {1, NULL}, {2, ""},	  {2, "x"},
	{2, "-3"}, {2, "3x"}, {2, "3 4"}, {2, "99999999999999999999"},
};

START_TEST(an_answer_whose_era_falls_or_cannot_be_read_is_not_used)
{
	struct outcome first = swap("k", TGW_STORE_ABSENT, "ours");

	server.era = bad_eras[_i].era;
	server.era_text = bad_eras[_i].text;
	ck_assert_int_eq(get("k").status, TGW_UNAVAILABLE);
	ck_assert_int_eq(swap("k", first.version, "next").status, TGW_UNKNOWN);
	server.era = 2;
	server.era_text = NULL;
	ck_assert_str_eq(get("k").value, "next");
}
END_TEST

START_TEST(a_store_that_never_tells_its_era_has_its_plain_revisions)
{
	struct outcome first;

	server.era = 0;
	first = swap("k", TGW_STORE_ABSENT, "ours");
	ck_assert_int_eq(first.version, server.revision);
	ck_assert_int_eq(swap("k", first.version, "next").status, TGW_OK);
	ck_assert_int_eq(get("k").version, server.revision);
}
END_TEST

static void format_copy(char *text, size_t size, int code, const char *body)
{
	snprintf(text, size,
		 "HTTP/1.1 %d Copy\r\nStore-Era: 2\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 code, strlen(body), body);
}

/* The revision is that of the earlier write. */
static const struct {
	int code;
	const char *body_format;
} copies[] = {
	{200, "{\"revision\":%lld}"},
	{200, "{\"key\":\"k\",\"revision\":%lld,\"value\":\"b2xk\"}"},
	{412, "{\"items\":[{\"key\":\"k\",\"revision\":%lld,"
	      "\"value\":\"b2xk\"}]}"},
};

START_TEST(a_copy_of_an_earlier_answer_does_not_tell_how_a_write_ended)
{
	struct outcome first = swap("k", TGW_STORE_ABSENT, "ours");
	char body[128];
	char copy[256];

	get("k");
	snprintf(body, sizeof(body), copies[_i].body_format,
		 (long long)platform_version_revision(first.version));
	format_copy(copy, sizeof(copy), copies[_i].code, body);
	server.stray_bytes = copy;
	ck_assert_int_eq(swap("k", first.version, "next").status, TGW_UNKNOWN);
	server.stray_bytes = NULL;
	ck_assert_str_eq(get("k").value, "next");
}
END_TEST

/* Nothing that the write was conditional on has changed. */
START_TEST(a_conflict_without_a_change_does_not_tell_how_a_write_ended)
{
	char copy[256];

	format_copy(copy, sizeof(copy), 412, "{\"items\":[]}");
	server.stray_bytes = copy;
	ck_assert_int_eq(swap("k", TGW_STORE_ABSENT, "ours").status,
			 TGW_UNKNOWN);
	server.stray_bytes = NULL;
	ck_assert_str_eq(get("k").value, "ours");
}
END_TEST

START_TEST(a_store_that_gives_out_revisions_again_without_an_era_is_written)
{
	server.era = 0;
	kv_standin_copy(&server);
	for (int i = 0; i < 5; i++)
		kv_standin_put(&server, "filler", "x");
	swap("high", TGW_STORE_ABSENT, "ours");
	kv_standin_return(&server);
	server.era = 0;
	ck_assert_int_eq(swap("k", TGW_STORE_ABSENT, "ours").status,
			 TGW_UNKNOWN);
	ck_assert_int_eq(swap("k", get("k").version, "next").status, TGW_OK);
}
END_TEST

START_TEST(an_answer_for_another_key_is_not_used)
{
	char copy[256];

	swap("k", TGW_STORE_ABSENT, "ours");
	swap("other", TGW_STORE_ABSENT, "theirs");
	format_copy(copy, sizeof(copy), 200,
		    "{\"key\":\"other\",\"revision\":3,\"value\":\"b2xk\"}");
	server.stray_bytes = copy;
	ck_assert_int_eq(get("k").status, TGW_UNAVAILABLE);
	server.stray_bytes = NULL;
	ck_assert_str_eq(get("k").value, "ours");
}
END_TEST

static Suite *store_era_suite(void)
{
	Suite *suite = suite_create("store_era");
	TCase *hosts = tcase_create("hosts");
	TCase *calls = tcase_create("calls");

	tcase_set_timeout(hosts, 30);
	tcase_add_test(hosts, a_change_after_a_return_is_in_force);
	tcase_add_test(
		hosts,
		a_change_below_a_revision_that_was_passed_again_is_not_missed);
	tcase_add_test(hosts, returns_in_a_row_are_followed);
	suite_add_tcase(suite, hosts);
	tcase_add_checked_fixture(calls, setup_client, teardown_client);
	tcase_add_test(calls,
		       a_write_that_rests_on_an_earlier_era_takes_no_effect);
	tcase_add_test(calls,
		       a_write_that_meets_a_return_has_an_unknown_outcome);
	tcase_add_loop_test(
		calls, an_answer_whose_era_falls_or_cannot_be_read_is_not_used,
		0, sizeof(bad_eras) / sizeof(bad_eras[0]));
	tcase_add_test(
		calls,
		a_store_that_never_tells_its_era_has_its_plain_revisions);
	tcase_add_loop_test(
		calls,
		a_copy_of_an_earlier_answer_does_not_tell_how_a_write_ended, 0,
		sizeof(copies) / sizeof(copies[0]));
	tcase_add_test(
		calls,
		a_conflict_without_a_change_does_not_tell_how_a_write_ended);
	tcase_add_test(
		calls,
		a_store_that_gives_out_revisions_again_without_an_era_is_written);
	tcase_add_test(calls, an_answer_for_another_key_is_not_used);
	suite_add_tcase(suite, calls);
	return suite;
}

int main(void)
{
	return unit_main(store_era_suite());
}
