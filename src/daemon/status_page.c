#include "daemon/status_page.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#define INCARNATION_TEXT_SIZE 20

static const char *const state_names[] = {
	[TGW_HOST_ALIVE] = "alive",
	[TGW_HOST_SILENT] = "silent",
	[TGW_HOST_LEAVING] = "leaving",
	[TGW_HOST_GONE] = "gone",
};

static json_t *incarnation_text(uint64_t incarnation)
{
	char text[INCARNATION_TEXT_SIZE];

	snprintf(text, sizeof(text), "%016" PRIx64, incarnation);
	return json_string(text);
}

static json_t *describe_host(const struct tgw_host *host)
{
	return json_pack("{s:s, s:s, s:s, s:o, s:I}", "name", host->name,
			 "failure_domain", host->failure_domain, "state",
			 state_names[host->state], "incarnation",
			 incarnation_text(host->incarnation),
			 "config_generation",
			 (json_int_t)host->config_generation);
}

static json_t *describe_hosts(const struct tgw_host_view *view)
{
	json_t *hosts = json_array();

	for (size_t i = 0; i < view->host_count; i++)
		json_array_append_new(hosts, describe_host(&view->hosts[i]));
	return hosts;
}

static json_t *describe_budget(const struct tgw_budget_counters *budget)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:I}", "held_tokens",
			 (json_int_t)budget->held_tokens, "reserved_tokens",
			 (json_int_t)budget->reserved_tokens, "reserved",
			 (json_int_t)budget->reserved, "refused_exhausted",
			 (json_int_t)budget->refused_exhausted,
			 "refused_unavailable",
			 (json_int_t)budget->refused_unavailable);
}

static json_t *describe_router(const struct tgw_router_counters *router)
{
	return json_pack("{s:I, s:I, s:I, s:I}", "queued",
			 (json_int_t)router->queued, "started",
			 (json_int_t)router->started, "shed",
			 (json_int_t)router->shed, "expired",
			 (json_int_t)router->expired);
}

void status_page_write(const struct runtime *runtime, struct buffer *text)
{
	/* Before C17, atomic_load() takes no pointer to a const object. */
	struct runtime *non_const_runtime = (struct runtime *)runtime;
	json_t *root = json_pack(
		"{s:s, s:s, s:o, s:b, s:I, s:I, s:o, s:o, s:o}", "name",
		runtime->self.name, "failure_domain",
		runtime->self.failure_domain, "incarnation",
		incarnation_text(runtime->self.incarnation), "stopping",
		(int)atomic_load(&non_const_runtime->stopping), "open_requests",
		(json_int_t)atomic_load(&non_const_runtime->open_requests),
		"config_generation",
		(json_int_t)tgw_config_follower_generation(runtime->follower),
		"budget",
		describe_budget(tgw_budget_agent_counters(runtime->budget)),
		"router", describe_router(tgw_router_counters(runtime->router)),
		"hosts",
		describe_hosts(tgw_membership_view(runtime->membership)));
	char *dump = json_dumps(root, JSON_INDENT(2));

	if (dump)
		buffer_add_format(text, "%s\n", dump);
	free(dump);
	json_decref(root);
}
