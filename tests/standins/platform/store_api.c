#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "standins/platform/base64.h"
#include "standins/platform/platform.h"

/** One kind of request. */
struct operation {
	const char *path;
	enum platform_call kind;
	bool writes;
	/** Returns the response, or NULL when the request is malformed. Called
	 * with the lock held. */
	json_t *(*run)(struct platform *platform, const json_t *request);
};

json_t *store_api_number_text(int64_t number)
{
	return json_sprintf("%lld", (long long)number);
}

int64_t store_api_number(const json_t *object, const char *name)
{
	const json_t *value = json_object_get(object, name);

	if (json_is_string(value))
		return strtoll(json_string_value(value), NULL, 10);
	return json_integer_value(value);
}

/* Like the gateway of etcd, leaves out fields that are zero. */
static void set_number(json_t *object, const char *name, int64_t number)
{
	if (number)
		json_object_set_new(object, name,
				    store_api_number_text(number));
}

static json_t *new_answer(const struct platform *platform)
{
	return json_pack("{s:{s:o}}", "header", "revision",
			 store_api_number_text(kv_revision(platform->kv)));
}

json_t *store_api_entry(const struct kv_entry *entry, bool keys_only)
{
	json_t *value = json_pack("{s:o}", "key",
				  base64_encode(entry->key, entry->key_size));

	set_number(value, "create_revision", entry->create_revision);
	set_number(value, "mod_revision", entry->mod_revision);
	set_number(value, "version", entry->version);
	set_number(value, "lease", entry->lease);
	if (!keys_only && entry->value)
		json_object_set_new(value, "value",
				    base64_encode(entry->value,
						  entry->value_size));
	return value;
}

bool store_api_range(const json_t *request, struct kv_range *range)
{
	char *key;
	char *end;
	bool valid = base64_field(request, "key", &key, &range->key_size) &&
		     key;

	valid = base64_field(request, "range_end", &end, &range->end_size) &&
		valid;
	range->key = key;
	range->end = end;
	return valid;
}

void store_api_range_free(struct kv_range *range)
{
	free((char *)range->key);
	free((char *)range->end);
}

static json_t *run_range(struct platform *platform, const json_t *request)
{
	json_t *answer = NULL;
	json_t *found = json_array();
	struct kv_range range;
	int64_t limit = store_api_number(request, "limit");
	bool keys_only = json_is_true(json_object_get(request, "keys_only"));
	int64_t count = 0;
	int64_t i = 0;

	if (!store_api_range(request, &range))
		goto out;
	while ((i = kv_next(platform->kv, &range, i)) >= 0) {
		if (!limit || count < limit)
			json_array_append_new(
				found, store_api_entry(kv_at(platform->kv, i),
						       keys_only));
		count++;
		i++;
	}
	answer = new_answer(platform);
	if (count)
		json_object_set(answer, "kvs", found);
	if (limit && count > limit)
		json_object_set_new(answer, "more", json_true());
	set_number(answer, "count", count);
out:
	json_decref(found);
	store_api_range_free(&range);
	return answer;
}

static json_t *run_put(struct platform *platform, const json_t *request)
{
	char *key;
	char *value;
	size_t key_size;
	size_t value_size;
	bool valid = base64_field(request, "key", &key, &key_size) && key;

	valid = base64_field(request, "value", &value, &value_size) && valid;
	if (valid)
		kv_put(platform->kv, key, key_size, value, value_size,
		       store_api_number(request, "lease"));
	free(key);
	free(value);
	return valid ? new_answer(platform) : NULL;
}

static json_t *run_delete(struct platform *platform, const json_t *request)
{
	struct kv_range range;
	json_t *answer = NULL;

	if (store_api_range(request, &range)) {
		int64_t deleted = kv_delete(platform->kv, &range);

		answer = new_answer(platform);
		set_number(answer, "deleted", deleted);
	}
	store_api_range_free(&range);
	return answer;
}

/** Requests that a transaction may contain. */
static const struct {
	const char *request;
	const char *response;
	json_t *(*run)(struct platform *platform, const json_t *request);
} nested[] = {
	{"request_range", "response_range", run_range},
	{"request_put", "response_put", run_put},
	{"request_delete_range", "response_delete_range", run_delete},
};

static json_t *run_nested(struct platform *platform, const json_t *operation)
{
	size_t i;

	for (i = 0; i < sizeof(nested) / sizeof(nested[0]); i++) {
		const json_t *request =
			json_object_get(operation, nested[i].request);
		json_t *answer;

		if (!request)
			continue;
		answer = nested[i].run(platform, request);
		if (answer)
			return json_pack("{s:o}", nested[i].response, answer);
	}
	return NULL;
}

/* Compares the revision that the target names. Any comparison other than EQUAL
 * is malformed. */
static bool run_compare(struct platform *platform, const json_t *compare,
			bool *equal)
{
	const char *target =
		json_string_value(json_object_get(compare, "target"));
	const char *result =
		json_string_value(json_object_get(compare, "result"));
	const struct kv_entry *entry;
	char *key;
	size_t size;
	bool valid = base64_field(compare, "key", &key, &size) && key;

	if (result && strcmp(result, "EQUAL") != 0)
		valid = false;
	if (valid) {
		entry = kv_find(platform->kv, key, size);
		if (target && !strcmp(target, "MOD"))
			*equal = store_api_number(compare, "mod_revision") ==
				 (entry ? entry->mod_revision : 0);
		else if (target && !strcmp(target, "CREATE"))
			*equal = store_api_number(compare, "create_revision") ==
				 (entry ? entry->create_revision : 0);
		else
			valid = false;
	}
	free(key);
	return valid;
}

static json_t *run_txn(struct platform *platform, const json_t *request)
{
	const json_t *compares = json_object_get(request, "compare");
	const json_t *operations;
	json_t *responses;
	json_t *answer;
	json_t *operation;
	bool equal = true;
	size_t i;

	if (json_array_size(compares) != 1 ||
	    !run_compare(platform, json_array_get(compares, 0), &equal))
		return NULL;
	operations = json_object_get(request, equal ? "success" : "failure");
	if (json_array_size(operations) > 1)
		return NULL;
	responses = json_array();
	json_array_foreach(operations, i, operation) json_array_append_new(
		responses, run_nested(platform, operation));
	if (json_array_size(responses) != json_array_size(operations)) {
		json_decref(responses);
		return NULL;
	}
	answer = new_answer(platform);
	if (equal)
		json_object_set_new(answer, "succeeded", json_true());
	json_object_set_new(answer, "responses", responses);
	return answer;
}

static json_t *run_grant(struct platform *platform, const json_t *request)
{
	int64_t ttl_s = store_api_number(request, "TTL");
	int64_t id = kv_lease_grant(platform->kv,
				    store_api_number(request, "ID"), ttl_s,
				    standin_now_us());
	json_t *answer = new_answer(platform);

	set_number(answer, "ID", id);
	set_number(answer, "TTL", ttl_s);
	return answer;
}

static json_t *run_keepalive(struct platform *platform, const json_t *request)
{
	int64_t id = store_api_number(request, "ID");
	json_t *answer = new_answer(platform);

	set_number(answer, "ID", id);
	set_number(answer, "TTL",
		   kv_lease_renew(platform->kv, id, standin_now_us()));
	return json_pack("{s:o}", "result", answer);
}

static json_t *run_revoke(struct platform *platform, const json_t *request)
{
	if (!kv_lease_revoke(platform->kv, store_api_number(request, "ID")))
		return NULL;
	return new_answer(platform);
}

static const struct operation operations_table[] = {
	{"/v3/kv/range", CALL_RANGE, false, run_range},
	{"/v3/kv/put", CALL_PUT, true, run_put},
	{"/v3/kv/txn", CALL_TXN, true, run_txn},
	{"/v3/kv/deleterange", CALL_DELETE, true, run_delete},
	{"/v3/lease/grant", CALL_LEASE, true, run_grant},
	{"/v3/lease/keepalive", CALL_LEASE, true, run_keepalive},
	{"/v3/lease/revoke", CALL_LEASE, true, run_revoke},
};

static enum MHD_Result run_operation(struct platform *platform,
				     struct standin_call *call,
				     const struct operation *operation,
				     const json_t *request)
{
	json_t *answer = NULL;
	bool lost = false;
	bool outage;

	pthread_mutex_lock(&platform->lock);
	outage = platform->outage;
	platform->calls[operation->kind]++;
	platform->bytes_in += (int64_t)call->body.size;
	if (!outage) {
		kv_lease_expire(platform->kv, standin_now_us(), false);
		answer = operation->run(platform, request);
		pthread_cond_broadcast(&platform->changed);
	}
	if (answer && operation->writes && platform->lose_answers) {
		platform->lose_answers--;
		lost = true;
	}
	if (answer)
		platform->bytes_out +=
			(int64_t)json_dumpb(answer, NULL, 0, JSON_COMPACT);
	pthread_mutex_unlock(&platform->lock);
	if (outage || lost) {
		json_decref(answer);
		return MHD_NO;
	}
	if (!answer)
		return standin_reply_error(call, 400, "malformed request");
	return standin_reply_json(call, 200, answer);
}

enum MHD_Result store_api_serve(struct platform *platform,
				struct standin_call *call)
{
	json_t *request = json_loadb(call->body.data ? call->body.data : "",
				     call->body.size, 0, NULL);
	enum MHD_Result result;
	int64_t slow_us;
	size_t i;

	pthread_mutex_lock(&platform->lock);
	slow_us = platform->slow_us;
	pthread_mutex_unlock(&platform->lock);
	standin_sleep_us(slow_us);
	if (!request)
		return standin_reply_error(call, 400, "the body is not JSON");
	if (!strcmp(call->path, "/v3/watch")) {
		result = store_watch_serve(platform, call, request);
		goto out;
	}
	for (i = 0; i < sizeof(operations_table) / sizeof(operations_table[0]);
	     i++) {
		if (strcmp(call->path, operations_table[i].path) != 0)
			continue;
		result = run_operation(platform, call, &operations_table[i],
				       request);
		goto out;
	}
	result = standin_reply_error(call, 404, "no such path");
out:
	json_decref(request);
	return result;
}
