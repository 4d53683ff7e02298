#include <string.h>

#include "standins/platform/platform.h"

static const char *const call_names[CALL_KIND_COUNT] = {
	"range", "put", "txn", "delete", "watch", "lease", "hosts",
};

static enum MHD_Result show_calls(struct platform *platform,
				  struct standin_call *call)
{
	json_t *answer = json_object();
	int i;

	pthread_mutex_lock(&platform->lock);
	for (i = 0; i < CALL_KIND_COUNT; i++)
		json_object_set_new(answer, call_names[i],
				    json_integer(platform->calls[i]));
	json_object_set_new(answer, "watches_waiting",
			    json_integer(platform->watches_waiting));
	json_object_set_new(answer, "bytes_in",
			    json_integer(platform->bytes_in));
	json_object_set_new(answer, "bytes_out",
			    json_integer(platform->bytes_out));
	pthread_mutex_unlock(&platform->lock);
	return standin_reply_json(call, 200, answer);
}

static void set_flag(const json_t *command, const char *name, bool *flag)
{
	const json_t *value = json_object_get(command, name);

	if (value)
		*flag = json_is_true(value);
}

static void set_number(const json_t *command, const char *name, int64_t factor,
		       int64_t *number)
{
	const json_t *value = json_object_get(command, name);

	if (value)
		*number = json_integer_value(value) * factor;
}

static void set_faults(struct platform *platform, const json_t *command)
{
	set_flag(command, "outage", &platform->outage);
	set_flag(command, "list_outage", &platform->list_outage);
	set_number(command, "slow_ms", 1000, &platform->slow_us);
	set_number(command, "lose_answers", 1, &platform->lose_answers);
	if (json_is_true(json_object_get(command, "lapse_leases")))
		kv_lease_expire(platform->kv, standin_now_us(), true);
	pthread_cond_broadcast(&platform->changed);
}

enum MHD_Result admin_serve(struct platform *platform,
			    struct standin_call *call)
{
	json_t *command;

	if (!strcmp(call->path, "/admin/calls"))
		return show_calls(platform, call);
	command = json_loadb(call->body.data ? call->body.data : "",
			     call->body.size, 0, NULL);
	if (!command)
		return standin_reply_error(call, 400, "the body is not JSON");
	pthread_mutex_lock(&platform->lock);
	if (!strcmp(call->path, "/admin/hosts"))
		host_list_change(platform->hosts, command, standin_now_us());
	else if (!strcmp(call->path, "/admin/fault"))
		set_faults(platform, command);
	pthread_mutex_unlock(&platform->lock);
	json_decref(command);
	return standin_reply_json(call, 200, json_object());
}
