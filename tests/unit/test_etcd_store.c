/* What each way a call can end means to the owner of the call. */
#include <stdio.h>
#include <string.h>

#include "protocol/etcd_store.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define TIMEOUT_US (1 * TGW_US_PER_S)
#define KEY_B64 "dGd3L2s="   /* tgw/k */
#define VALUE_B64 "aGVsbG8=" /* hello */

/* A sender that ends each exchange as the case says, at once. */
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

static void scripted_nothing(struct http_sender *sender,
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
	.resume = scripted_nothing,
	.cancel = scripted_cancel,
};

static void post_at_once(struct executor *executor, void (*run)(void *arg),
			 void *arg)
{
	run(arg);
}

static const struct executor_ops at_once_ops = {.post = post_at_once};
static struct executor at_once = {.ops = &at_once_ops};

struct seen {
	int calls;
	enum tgw_status status;
	size_t count;
	int64_t version;
	char value[64];
};

static void note_result(void *arg, const struct tgw_store_result *result)
{
	struct seen *seen = arg;

	seen->calls++;
	seen->status = result->status;
	seen->count = result->entry_count;
	if (!result->entry_count)
		return;
	seen->version = result->entries[0].version;
	if (result->entries[0].value)
		snprintf(seen->value, sizeof(seen->value), "%.*s",
			 (int)result->entries[0].value_size,
			 (const char *)result->entries[0].value);
}

enum operation { GET, SWAP };

static const struct fault_case {
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
	{"an empty value is left out of the answer", GET, HTTP_COMPLETE, 200,
	 "{\"kvs\":[{\"key\":\"" KEY_B64 "\",\"mod_revision\":\"3\"}]}", TGW_OK,
	 1, 3, ""},
	{"a damaged value is not taken", GET, HTTP_COMPLETE, 200,
	 "{\"kvs\":[{\"key\":\"" KEY_B64 "\",\"value\":\"*\","
	 "\"mod_revision\":\"3\"}]}",
	 TGW_CORRUPT, 0, 0, ""},
	{"an answer that is no JSON", GET, HTTP_COMPLETE, 200, "<html>",
	 TGW_CORRUPT, 0, 0, ""},
	{"a read that found nobody", GET, HTTP_NOT_CONNECTED, 0, NULL,
	 TGW_UNAVAILABLE, 0, 0, ""},
	{"a read that broke", GET, HTTP_BROKEN, 200, "{\"kv", TGW_UNAVAILABLE,
	 0, 0, ""},
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
	{"a swap that found nobody had no effect", SWAP, HTTP_NOT_CONNECTED, 0,
	 NULL, TGW_UNAVAILABLE, 0, 0, ""},
	{"a swap whose answer was lost", SWAP, HTTP_BROKEN, 0, NULL,
	 TGW_UNKNOWN, 0, 0, ""},
	{"a swap whose answer came too late", SWAP, HTTP_TIMED_OUT, 0, NULL,
	 TGW_UNKNOWN, 0, 0, ""},
	{"a swap whose answer was cut", SWAP, HTTP_BROKEN, 200,
	 "{\"succeeded\":true", TGW_UNKNOWN, 0, 0, ""},
	{"a swap whose whole answer is no JSON", SWAP, HTTP_COMPLETE, 200,
	 "{\"succeeded\":tr", TGW_UNKNOWN, 0, 0, ""},
	{"a swap answered by a failing store", SWAP, HTTP_COMPLETE, 500, "",
	 TGW_UNKNOWN, 0, 0, ""},
	{"a swap turned away by a rate limit", SWAP, HTTP_COMPLETE, 429, "",
	 TGW_UNAVAILABLE, 0, 0, ""},
	{"a failed compare without the current value", SWAP, HTTP_COMPLETE, 200,
	 "{}", TGW_UNKNOWN, 0, 0, ""},
};

START_TEST(each_ending_means_what_it_is)
{
	const struct fault_case *fault = &cases[_i];
	struct scripted_sender script = {
		.sender = {&scripted_ops},
		.outcome = fault->outcome,
		.status = fault->http_status,
		.body = fault->body,
	};
	struct etcd_store *etcd = etcd_store_new(&script.sender, &at_once,
						 "http://s", TIMEOUT_US);
	struct tgw_store *store = etcd_store_store(etcd);
	struct seen seen = {0};
	struct tgw_store_callback callback = {note_result, &seen};

	if (fault->operation == GET)
		tgw_store_get(store, "tgw/k", callback);
	else
		tgw_store_swap(store, "tgw/k", 5, "v", 1, callback);
	ck_assert_msg(seen.calls == 1, "%s: calls", fault->name);
	ck_assert_msg(seen.status == fault->status, "%s: status %s",
		      fault->name, tgw_status_name(seen.status));
	if (fault->count)
		ck_assert_msg(seen.count == fault->count &&
				      seen.version == fault->version &&
				      !strcmp(seen.value, fault->value),
			      "%s: entry", fault->name);
	etcd_store_free(etcd);
}
END_TEST

START_TEST(a_swap_compares_the_version)
{
	struct scripted_sender script = {.sender = {&scripted_ops}};
	struct etcd_store *etcd = etcd_store_new(&script.sender, &at_once,
						 "http://s", TIMEOUT_US);
	struct seen seen = {0};
	struct tgw_store_callback callback = {note_result, &seen};

	tgw_store_swap(etcd_store_store(etcd), "tgw/k", 5, "hello", 5,
		       callback);
	ck_assert_str_eq(script.url, "http://s/v3/kv/txn");
	ck_assert_ptr_nonnull(strstr(script.request, "\"mod_revision\":\"5\""));
	ck_assert_ptr_nonnull(strstr(script.request, VALUE_B64));
	etcd_store_free(etcd);
}
END_TEST

struct watched {
	int lost;
	int changed;
	int64_t version;
};

static void note_changed(void *arg, const struct tgw_store_entry *entry)
{
	struct watched *watched = arg;

	watched->changed++;
	watched->version = entry->version;
}

static void note_lost(void *arg)
{
	((struct watched *)arg)->lost++;
}

static void answer(struct scripted_sender *script, const char *text)
{
	script->handler.data(script->handler.arg, text, strlen(text));
}

START_TEST(a_watch_tells_of_changes_and_gaps)
{
	struct scripted_sender script = {.sender = {&scripted_ops}};
	struct etcd_store *etcd = etcd_store_new(&script.sender, &at_once,
						 "http://s", TIMEOUT_US);
	struct tgw_store *store = etcd_store_store(etcd);
	struct watched watched = {0};
	struct tgw_store_watcher watcher = {
		.changed = note_changed,
		.lost = note_lost,
		.arg = &watched,
	};
	uint64_t handle = tgw_store_watch(store, "tgw/", watcher);

	etcd_store_tick(etcd, 0);
	script.handler.started(script.handler.arg, 200, "");
	answer(&script, "{\"result\":{\"created\":true}}\n");
	ck_assert_int_eq(watched.lost, 1);
	/* One event in two pieces, and a deletion in the same piece. */
	answer(&script, "{\"result\":{\"events\":[{\"kv\":{\"key\":\"" KEY_B64);
	ck_assert_int_eq(watched.changed, 0);
	answer(&script,
	       "\",\"value\":\"" VALUE_B64 "\",\"mod_revision\":\"4\"}}]}}\n"
	       "{\"result\":{\"events\":[{\"type\":\"DELETE\",\"kv\":{\"key\":"
	       "\"" KEY_B64 "\"}}]}}\n");
	ck_assert_int_eq(watched.changed, 2);
	ck_assert_int_eq(watched.version, TGW_STORE_ABSENT);
	/* A break opens it again, and the owner reads anew. */
	script.handler.ended(script.handler.arg, HTTP_BROKEN, "");
	etcd_store_tick(etcd, 5 * TGW_US_PER_S);
	script.handler.started(script.handler.arg, 200, "");
	answer(&script, "{\"result\":{\"created\":true}}\n");
	ck_assert_int_eq(watched.lost, 2);
	tgw_store_unwatch(store, handle);
	ck_assert_int_eq(script.cancels, 1);
	answer(&script, "{\"result\":{\"events\":[{\"type\":\"DELETE\",\"kv\":{"
			"\"key\":\"" KEY_B64 "\"}}]}}\n");
	ck_assert_int_eq(watched.changed, 2);
	script.handler.ended(script.handler.arg, HTTP_WAS_CANCELLED, "");
	etcd_store_free(etcd);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("etcd_store");
	TCase *tcase = tcase_create("contract");

	tcase_add_loop_test(tcase, each_ending_means_what_it_is, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tcase, a_swap_compares_the_version);
	tcase_add_test(tcase, a_watch_tells_of_changes_and_gaps);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
