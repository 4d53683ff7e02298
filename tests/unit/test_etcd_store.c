/* Tests the status that a store call returns for each way in which its HTTP
 * exchange can end, and the reports of a watch. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/etcd_store.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define TIMEOUT_US (1 * TGW_US_PER_S)
#define LARGE_BYTES (1024 * 1024)
#define KEY_B64 "dGd3L2s="   /* tgw/k */
#define VALUE_B64 "aGVsbG8=" /* hello */

/* A sender that ends each exchange at once, in the way that the test case
 * specifies. Exchanges of watches stay open. */
struct scripted_sender {
	struct http_sender sender;
	enum http_outcome outcome;
	int32_t status;
	const char *body;
	char url[256];
	char request[4096];
	struct http_handler handler;
	int cancels;
};

static struct http_exchange *scripted_start(struct http_sender *sender,
					    const struct http_request *request,
					    struct http_handler handler)
{
	struct scripted_sender *script = (struct scripted_sender *)sender;

	snprintf(script->url, sizeof(script->url), "%s", request->url);
	snprintf(script->request, sizeof(script->request), "%.*s",
		 (int)request->body_size, (const char *)request->body);
	script->handler = handler;
	if (strstr(request->url, "/v3/watch"))
		return (struct http_exchange *)script;
	if (script->status)
		handler.started(handler.arg, script->status,
				"application/json");
	if (script->body)
		handler.data(handler.arg, script->body, strlen(script->body));
	handler.ended(handler.arg, script->outcome, "");
	return NULL;
}

static void scripted_resume(struct http_sender *sender,
			    struct http_exchange *exchange)
{
}

static void scripted_cancel(struct http_sender *sender,
			    struct http_exchange *exchange)
{
	((struct scripted_sender *)sender)->cancels++;
}

static const struct http_sender_ops scripted_ops = {
	.start = scripted_start,
	.resume = scripted_resume,
	.cancel = scripted_cancel,
};

static void post_inline(struct executor *executor, void (*run)(void *arg),
			void *arg)
{
	run(arg);
}

static const struct executor_ops inline_ops = {.post = post_inline};
static struct executor inline_executor = {.ops = &inline_ops};

struct recorded_result {
	int calls;
	enum tgw_status status;
	size_t count;
	int64_t version;
	char value[64];
};

static void record_result(void *arg, const struct tgw_store_result *result)
{
	struct recorded_result *recorded = arg;

	recorded->calls++;
	recorded->status = result->status;
	recorded->count = result->entry_count;
	if (!result->entry_count)
		return;
	recorded->version = result->entries[0].version;
	if (result->entries[0].value)
		snprintf(recorded->value, sizeof(recorded->value), "%.*s",
			 (int)result->entries[0].value_size,
			 (const char *)result->entries[0].value);
}

enum operation { GET, SWAP };

static const struct exchange_case {
	const char *name;
	enum operation operation;
	enum http_outcome outcome;
	int32_t http_status;
	const char *body;
	enum tgw_status status;
	size_t count;
	int64_t version;
	const char *value;
} cases[] = {
	{"a key is read", GET, HTTP_COMPLETE, 200,
	 "{\"kvs\":[{\"key\":\"" KEY_B64 "\",\"value\":\"" VALUE_B64
	 "\",\"mod_revision\":\"7\"}]}",
	 TGW_OK, 1, 7, "hello"},
	{"an absent key is read", GET, HTTP_COMPLETE, 200, "{}", TGW_OK, 1,
	 TGW_STORE_ABSENT, ""},
	{"an empty value is left out of the response", GET, HTTP_COMPLETE, 200,
	 "{\"kvs\":[{\"key\":\"" KEY_B64 "\",\"mod_revision\":\"3\"}]}", TGW_OK,
	 1, 3, ""},
	{"a damaged value is rejected", GET, HTTP_COMPLETE, 200,
	 "{\"kvs\":[{\"key\":\"" KEY_B64 "\",\"value\":\"*\","
	 "\"mod_revision\":\"3\"}]}",
	 TGW_CORRUPT, 0, 0, ""},
	{"a response that is not JSON", GET, HTTP_COMPLETE, 200, "<html>",
	 TGW_CORRUPT, 0, 0, ""},
	{"a read that did not connect", GET, HTTP_NOT_CONNECTED, 0, NULL,
	 TGW_UNAVAILABLE, 0, 0, ""},
	{"a read whose connection broke", GET, HTTP_BROKEN, 200, "{\"kv",
	 TGW_UNAVAILABLE, 0, 0, ""},
	{"a read of an overloaded store", GET, HTTP_COMPLETE, 503, "",
	 TGW_UNAVAILABLE, 0, 0, ""},
	{"a swap succeeds", SWAP, HTTP_COMPLETE, 200,
	 "{\"header\":{\"revision\":\"9\"},\"succeeded\":true}", TGW_OK, 1, 9,
	 ""},
	{"a swap loses to another", SWAP, HTTP_COMPLETE, 200,
	 "{\"header\":{\"revision\":\"9\"},\"responses\":[{\"response_range\":"
	 "{\"kvs\":[{\"key\":\"" KEY_B64 "\",\"value\":\"" VALUE_B64
	 "\",\"mod_revision\":\"8\"}]}}]}",
	 TGW_CONFLICT, 1, 8, "hello"},
	{"a swap loses to a deletion", SWAP, HTTP_COMPLETE, 200,
	 "{\"responses\":[{\"response_range\":{}}]}", TGW_CONFLICT, 1,
	 TGW_STORE_ABSENT, ""},
	{"a swap that did not connect had no effect", SWAP, HTTP_NOT_CONNECTED,
	 0, NULL, TGW_UNAVAILABLE, 0, 0, ""},
	{"a swap whose response was lost", SWAP, HTTP_BROKEN, 0, NULL,
	 TGW_UNKNOWN, 0, 0, ""},
	{"a swap whose response came too late", SWAP, HTTP_TIMED_OUT, 0, NULL,
	 TGW_UNKNOWN, 0, 0, ""},
	{"a swap whose response was truncated", SWAP, HTTP_BROKEN, 200,
	 "{\"succeeded\":true", TGW_UNKNOWN, 0, 0, ""},
	{"a swap whose complete response is not JSON", SWAP, HTTP_COMPLETE, 200,
	 "{\"succeeded\":tr", TGW_UNKNOWN, 0, 0, ""},
	{"a swap at a failing store", SWAP, HTTP_COMPLETE, 500, "", TGW_UNKNOWN,
	 0, 0, ""},
	{"a swap refused by a rate limit", SWAP, HTTP_COMPLETE, 429, "",
	 TGW_UNAVAILABLE, 0, 0, ""},
	{"a failed compare without the current value", SWAP, HTTP_COMPLETE, 200,
	 "{}", TGW_UNKNOWN, 0, 0, ""},
};

START_TEST(each_end_of_an_exchange_has_its_status)
{
	const struct exchange_case *test_case = &cases[_i];
	struct scripted_sender script = {
		.sender = {&scripted_ops},
		.outcome = test_case->outcome,
		.status = test_case->http_status,
		.body = test_case->body,
	};
	struct etcd_store *etcd = etcd_store_new(
		&script.sender, &inline_executor, "http://s", TIMEOUT_US);
	struct tgw_store *store = etcd_store_store(etcd);
	struct recorded_result recorded = {0};
	struct tgw_store_callback callback = {record_result, &recorded};

	if (test_case->operation == GET)
		tgw_store_get(store, "tgw/k", callback);
	else
		tgw_store_swap(store, "tgw/k", 5, "v", 1, callback);
	ck_assert_msg(recorded.calls == 1, "%s: calls", test_case->name);
	ck_assert_msg(recorded.status == test_case->status, "%s: status %s",
		      test_case->name, tgw_status_name(recorded.status));
	if (test_case->count)
		ck_assert_msg(recorded.count == test_case->count &&
				      recorded.version == test_case->version &&
				      !strcmp(recorded.value, test_case->value),
			      "%s: entry", test_case->name);
	etcd_store_free(etcd);
}
END_TEST

START_TEST(a_swap_compares_the_version)
{
	struct scripted_sender script = {.sender = {&scripted_ops}};
	struct etcd_store *etcd = etcd_store_new(
		&script.sender, &inline_executor, "http://s", TIMEOUT_US);
	struct recorded_result recorded = {0};
	struct tgw_store_callback callback = {record_result, &recorded};

	tgw_store_swap(etcd_store_store(etcd), "tgw/k", 5, "hello", 5,
		       callback);
	ck_assert_str_eq(script.url, "http://s/v3/kv/txn");
	ck_assert_ptr_nonnull(strstr(script.request, "\"mod_revision\":\"5\""));
	ck_assert_ptr_nonnull(strstr(script.request, VALUE_B64));
	etcd_store_free(etcd);
}
END_TEST

struct watched {
	int gaps;
	int changed;
	int64_t version;
};

static void record_change(void *arg, const struct tgw_store_entry *entry)
{
	struct watched *watched = arg;

	watched->changed++;
	watched->version = entry->version;
}

static void record_gap(void *arg)
{
	((struct watched *)arg)->gaps++;
}

static void deliver(struct scripted_sender *script, const char *text)
{
	script->handler.data(script->handler.arg, text, strlen(text));
}

START_TEST(a_watch_reports_changes_and_gaps)
{
	struct scripted_sender script = {.sender = {&scripted_ops}};
	struct etcd_store *etcd = etcd_store_new(
		&script.sender, &inline_executor, "http://s", TIMEOUT_US);
	struct tgw_store *store = etcd_store_store(etcd);
	struct watched watched = {0};
	struct tgw_store_watcher watcher = {
		.changed = record_change,
		.lost = record_gap,
		.arg = &watched,
	};
	uint64_t handle = tgw_store_watch(store, "tgw/", watcher);

	etcd_store_tick(etcd, 0);
	script.handler.started(script.handler.arg, 200, "");
	deliver(&script, "{\"result\":{\"created\":true}}\n");
	ck_assert_int_eq(watched.gaps, 1);
	/* An event in two pieces, the second of which also contains a
	 * deletion. */
	deliver(&script,
		"{\"result\":{\"events\":[{\"kv\":{\"key\":\"" KEY_B64);
	ck_assert_int_eq(watched.changed, 0);
	deliver(&script,
		"\",\"value\":\"" VALUE_B64 "\",\"mod_revision\":\"4\"}}]}}\n"
		"{\"result\":{\"events\":[{\"type\":\"DELETE\",\"kv\":{\"key\":"
		"\"" KEY_B64 "\"}}]}}\n");
	ck_assert_int_eq(watched.changed, 2);
	ck_assert_int_eq(watched.version, TGW_STORE_ABSENT);
	/* After a break the watch is reopened, and reports that changes may
	 * have been missed. */
	script.handler.ended(script.handler.arg, HTTP_BROKEN, "");
	etcd_store_tick(etcd, 5 * TGW_US_PER_S);
	script.handler.started(script.handler.arg, 200, "");
	deliver(&script, "{\"result\":{\"created\":true}}\n");
	ck_assert_int_eq(watched.gaps, 2);
	tgw_store_unwatch(store, handle);
	ck_assert_int_eq(script.cancels, 1);
	deliver(&script,
		"{\"result\":{\"events\":[{\"type\":\"DELETE\",\"kv\":{"
		"\"key\":\"" KEY_B64 "\"}}]}}\n");
	ck_assert_int_eq(watched.changed, 2);
	script.handler.ended(script.handler.arg, HTTP_CANCELLED, "");
	etcd_store_free(etcd);
}
END_TEST

/* A change in an unreadable line is not lost silently: the watcher lists the
 * keys again. */
START_TEST(a_line_that_cannot_be_read_is_reported_as_a_gap)
{
	struct scripted_sender script = {.sender = {&scripted_ops}};
	struct etcd_store *etcd = etcd_store_new(
		&script.sender, &inline_executor, "http://s", TIMEOUT_US);
	struct watched watched = {0};
	struct tgw_store_watcher watcher = {
		.changed = record_change,
		.lost = record_gap,
		.arg = &watched,
	};
	char *large = calloc(1, LARGE_BYTES + 1);

	memset(large, 'x', LARGE_BYTES);
	tgw_store_watch(etcd_store_store(etcd), "tgw/", watcher);
	etcd_store_tick(etcd, 0);
	script.handler.started(script.handler.arg, 200, "");
	deliver(&script, "{\"result\":{\"events\":[\n");
	ck_assert_int_eq(watched.gaps, 1);
	deliver(&script, "{\"result\":{\"events\":[");
	for (int i = 0; i < 6; i++)
		deliver(&script, large);
	ck_assert_int_eq(watched.gaps, 2);
	deliver(&script, "]}}\n\n");
	ck_assert_int_eq(watched.gaps, 2);
	deliver(&script,
		"{\"result\":{\"events\":[{\"type\":\"DELETE\",\"kv\":{"
		"\"key\":\"" KEY_B64 "\"}}]}}\n");
	ck_assert_int_eq(watched.changed, 1);
	script.handler.ended(script.handler.arg, HTTP_BROKEN, "");
	free(large);
	etcd_store_free(etcd);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("etcd_store");
	TCase *tcase = tcase_create("contract");

	tcase_add_loop_test(tcase, each_end_of_an_exchange_has_its_status, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tcase, a_swap_compares_the_version);
	tcase_add_test(tcase, a_watch_reports_changes_and_gaps);
	tcase_add_test(tcase, a_line_that_cannot_be_read_is_reported_as_a_gap);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
