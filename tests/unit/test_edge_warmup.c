/* Tests a host beside a server that warms up: by its entry, by its responses,
 * after it refused connections, and when its failure domain returns to service.
 */
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define REQUESTS 12
#define APPLY_MS 400 /* of the rig's hosts */
/* One request in 8 s for a host that assumes 1,000 hosts. */
#define LIMIT ",\"coldStartS\":3.0,\"coldPerS\":125.0"
/* No request at all during a test. */
#define TINY_LIMIT ",\"coldStartS\":60.0,\"coldPerS\":0.001"
#define START_MS 4000 /* hosts know each other by then */
/* At least of a host that assumes 1,000 hosts, with LIMIT. */
#define ESTIMATE_INTERVAL_US (8 * TGW_US_PER_S)
#define NO_LIMIT ",\"coldStartS\":0.0,\"coldPerS\":0.0"

static struct edge_rig rig;

static void start(const char *service_fields)
{
	edge_rig_start(&rig);
	rig.service_fields = service_fields;
	edge_rig_make_ready(&rig);
}

static void setup(void)
{
	start(LIMIT);
}

static void teardown(void)
{
	edge_rig_stop(&rig);
}

static void put_server(int index, const char *failure_domain, int warmup_ms)
{
	static int sequence = 10;
	const struct backend_standin *standin = &rig.server_standins[index];
	char *key = xasprintf("servers/%s", standin->id);
	char *text = xasprintf(
		"{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"%s\","
		"\"slots\":4,\"state\":\"ready\",\"sequence\":%d,"
		"\"born\":%lld,\"coldRemainingMs\":%d}",
		standin->address, failure_domain, ++sequence,
		(long long)standin->born_ms, warmup_ms);

	kv_standin_put(&rig.store, key, text);
	free(key);
	free(text);
}

/* @return how many of the requests the first server gets */
static unsigned int send_requests(int status)
{
	unsigned int before = rig.server_standins[0].arrivals;
	char line[32];

	snprintf(line, sizeof(line), "HTTP/1.1 %d ", status);
	for (int i = 0; i < REQUESTS; i++) {
		char *received =
			edge_rig_request(&rig, "GET", "safe", "ok", "", "");

		ck_assert_msg(!strncmp(received, line, strlen(line)),
			      "expected %d, received: %.300s", status,
			      received);
		free(received);
	}
	return rig.server_standins[0].arrivals - before;
}

START_TEST(a_server_whose_entry_says_so_gets_few_requests)
{
	put_server(0, "east", 3000);
	edge_rig_run(&rig, APPLY_MS);
	ck_assert_uint_le(send_requests(200), 1);
	put_server(0, "east", 0);
	edge_rig_run(&rig, APPLY_MS);
	ck_assert_uint_gt(send_requests(200), 1);
}
END_TEST

START_TEST(a_server_whose_response_says_so_gets_few_requests)
{
	rig.server_standins[0].extra_fields = "Tamarackgw-Cold-Ms: 2900\r\n";
	ck_assert_uint_le(send_requests(200), 2);
}
END_TEST

/* Guards against a burst: an entry may have been written before the server
 * became slow again, and arrive after its response. */
START_TEST(an_old_entry_does_not_end_what_a_response_says)
{
	rig.server_standins[0].extra_fields = "Tamarackgw-Cold-Ms: 2900\r\n";
	send_requests(200);
	rig.server_standins[0].extra_fields = "";
	put_server(0, "east", 0);
	edge_rig_run(&rig, APPLY_MS);
	ck_assert_uint_le(send_requests(200), 1);
}
END_TEST

/* It may have started again under the same id, before its entry tells. */
START_TEST(a_server_that_refused_connections_gets_few_requests)
{
	backend_standin_crash(&rig.server_standins[0]);
	send_requests(200);
	backend_standin_restart_in_place(&rig.server_standins[0], "worker-0");
	edge_rig_run(&rig, APPLY_MS);
	ck_assert_uint_le(send_requests(200), 1);
}
END_TEST

START_TEST(a_domain_that_returns_to_service_gets_few_requests)
{
	put_server(1, "west", 0);
	kv_standin_put(&rig.store, "op/evacuate/east", "{}");
	edge_rig_run(&rig, APPLY_MS);
	ck_assert_uint_eq(send_requests(200), 0);
	kv_standin_put(&rig.store, "op/evacuate/east", NULL);
	edge_rig_run(&rig, APPLY_MS);
	ck_assert_uint_le(send_requests(200), 1);
}
END_TEST

START_TEST(beyond_the_limit_of_all_servers_requests_are_refused_as_not_run)
{
	unsigned int before;
	char *received;

	put_server(0, "east", 3000);
	put_server(1, "east", 3000);
	edge_rig_run(&rig, APPLY_MS);
	before = edge_rig_runs(&rig);
	for (int i = 0; i < 2; i++)
		free(edge_rig_request(&rig, "GET", "unsafe", "ok", "", ""));
	received = edge_rig_request(&rig, "GET", "unsafe", "ok", "", "");
	ck_assert_msg(!strncmp(received, "HTTP/1.1 503 ", 13), "%.300s",
		      received);
	ck_assert(strstr(received, "Retry-After: "));
	ck_assert_uint_le(edge_rig_runs(&rig) - before, 2);
	free(received);
}
END_TEST

/* Two servers, of which the free one lies in a region that the route does not
 * allow. */
static const char config_of_north[] =
	"{\"version\":2,\"routes\":[{\"name\":\"safe\","
	"\"host\":\"a.example\",\"pathPrefix\":\"/safe/\","
	"\"kind\":\"safe\",\"timeoutMs\":1000,\"service\":\"app\","
	"\"maxAttempts\":2,\"public\":true,"
	"\"allowedRegions\":[\"north\"]}],"
	"\"services\":[{\"name\":\"app\"" TINY_LIMIT "}],\"tenants\":[]}";

START_TEST(retry_after_is_the_time_of_a_server_that_the_route_allows)
{
	char *received;
	const char *field;
	unsigned int others = rig.server_standins[1].arrivals;

	ck_assert(region_map_parse(&rig.hosts[0].edge.regions,
				   "east:north,west:south"));
	kv_standin_put(&rig.store, "op/config", config_of_north);
	put_server(0, "east", 60000);
	put_server(1, "west", 0);
	edge_rig_run(&rig, APPLY_MS);
	free(edge_rig_request(&rig, "GET", "safe", "ok", "", ""));
	received = edge_rig_request(&rig, "GET", "safe", "ok", "", "");
	ck_assert_msg(!strncmp(received, "HTTP/1.1 503 ", 13), "%.300s",
		      received);
	field = strstr(received, "Retry-After: ");
	ck_assert_ptr_nonnull(field);
	ck_assert_msg(strtod(strchr(field, ' '), NULL) >= 1, "%.60s", field);
	ck_assert_uint_eq(rig.server_standins[1].arrivals, others);
	free(received);
}
END_TEST

static const struct warmup *warmup_of(size_t host, int server)
{
	const struct backend *backend = backend_table_find(
		&rig.hosts[host].edge.backends, rig.server_standins[server].id);

	ck_assert_ptr_nonnull(backend);
	return &backend->warmup;
}

/* @return whether the host divides the limit among hosts that it knows */
static bool relies_on_list(size_t host)
{
	int64_t interval_us = warmup_of(host, 0)->interval_us;

	return interval_us &&
	       (interval_us < ESTIMATE_INTERVAL_US || interval_us == INT64_MAX);
}

/* Guards against a share that is too large: the number of hosts that share
 * budgets is a default that a fleet may exceed. */
START_TEST(a_host_without_peers_assumes_a_thousand_hosts)
{
	put_server(0, "east", 3000);
	edge_rig_run(&rig, APPLY_MS);
	ck_assert_int_ge(warmup_of(0, 0)->interval_us, ESTIMATE_INTERVAL_US);
}
END_TEST

/* Guards against a share of a part of the fleet: hosts that wait for the store
 * list each other one by one when it returns. */
START_TEST(a_host_does_not_rely_on_its_first_list_of_hosts)
{
	edge_rig_start_fleet(&rig, 1);
	rig.store.silent = true;
	rig.service_fields = LIMIT;
	edge_rig_configure(&rig, 1, 1000, "key-1");
	put_server(0, "east", 60000);
	for (int i = 1; i < EDGE_RIG_HOSTS_MAX; i++) {
		edge_rig_run(&rig, START_MS / 2 + 330 * i);
		edge_rig_add_host(&rig);
	}
	rig.store.silent = false;
	for (int i = 0; i < START_MS; i++) {
		edge_rig_run(&rig, 1);
		for (size_t host = 0; host < rig.host_count; host++) {
			size_t known = edge_peers_count(&rig.hosts[host].edge);

			if (known == rig.host_count ||
			    !backend_table_find(&rig.hosts[host].edge.backends,
						rig.server_standins[0].id))
				continue;
			ck_assert_msg(!relies_on_list(host),
				      "host %zu knows %zu hosts", host, known);
		}
	}
	/* Lists follow the store's return within some seconds. */
	edge_rig_run(&rig, START_MS);
	for (size_t host = 0; host < rig.host_count; host++)
		ck_assert(relies_on_list(host));
	teardown();
}
END_TEST

START_TEST(without_a_limit_a_server_that_warms_up_is_used_as_any_other)
{
	start(NO_LIMIT);
	put_server(0, "east", 3000);
	edge_rig_run(&rig, APPLY_MS);
	ck_assert_uint_gt(send_requests(200), 1);
	teardown();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_warmup");
	TCase *tcase = tcase_create("limit");
	TCase *fleet = tcase_create("fleet");
	TCase *off = tcase_create("no limit");

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, a_server_whose_entry_says_so_gets_few_requests);
	tcase_add_test(tcase,
		       a_server_whose_response_says_so_gets_few_requests);
	tcase_add_test(tcase, an_old_entry_does_not_end_what_a_response_says);
	tcase_add_test(tcase,
		       a_server_that_refused_connections_gets_few_requests);
	tcase_add_test(tcase,
		       a_domain_that_returns_to_service_gets_few_requests);
	tcase_add_test(
		tcase,
		beyond_the_limit_of_all_servers_requests_are_refused_as_not_run);
	tcase_add_test(
		tcase,
		retry_after_is_the_time_of_a_server_that_the_route_allows);
	tcase_add_test(tcase, a_host_without_peers_assumes_a_thousand_hosts);
	tcase_add_test(
		off,
		without_a_limit_a_server_that_warms_up_is_used_as_any_other);
	tcase_set_timeout(fleet, 60);
	tcase_add_test(fleet, a_host_does_not_rely_on_its_first_list_of_hosts);
	suite_add_tcase(suite, tcase);
	suite_add_tcase(suite, fleet);
	suite_add_tcase(suite, off);
	return unit_main(suite);
}
