#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/config_print.h"
#include "ctl/config_status.h"
#include "ctl/ctl.h"
#include "ctl/ctl_authority.h"
#include "state/operator_keys.h"
#include "tamarackgw/config_snapshot.h"

#define HTTP_OK 200
#define KEY_RANDOM_BYTES 24
#define KEY_SIZE 64
#define HASH_HEX_SIZE (2 * TGW_KEY_HASH_BYTES + 1)

static bool require_hosts(const struct ctl *ctl)
{
	if (ctl->host_count)
		return true;
	fprintf(stderr, "tamarackgwctl: no host is named; give --host URL or "
			"set TGW_HOSTS\n");
	return false;
}

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "?";
}

static int64_t number_of(const json_t *object, const char *key)
{
	return (int64_t)json_integer_value(json_object_get(object, key));
}

static void print_status(const char *url, const json_t *status)
{
	const json_t *budget = json_object_get(status, "budget");
	const json_t *router = json_object_get(status, "router");

	printf("%s (%s)\n", text_of(status, "name"), url);
	printf("  failure domain    %s\n", text_of(status, "failure_domain"));
	printf("  configuration     generation %" PRId64 "\n",
	       number_of(status, "config_generation"));
	printf("  stopping          %s\n",
	       json_is_true(json_object_get(status, "stopping")) ? "yes"
								 : "no");
	printf("  open requests     %" PRId64 "\n",
	       number_of(status, "open_requests"));
	printf("  held tokens       %" PRId64 "\n",
	       number_of(budget, "held_tokens"));
	printf("  reserved tokens   %" PRId64 "\n",
	       number_of(budget, "reserved_tokens"));
	printf("  queued            %" PRId64 "\n",
	       number_of(router, "queued"));
}

/* Reads the status of each host and prints it, or collects all of them in one
 * JSON array. */
static enum ctl_exit for_each_status(struct ctl *ctl,
				     void (*print)(const char *url,
						   const json_t *status))
{
	json_t *array = json_array();
	enum ctl_exit result = CTL_EXIT_OK;

	for (size_t i = 0; i < ctl->host_count; i++) {
		struct tgw_error error;
		json_t *status = host_status_read(ctl, ctl->hosts[i], &error);

		if (!status) {
			result = ctl_report(&error);
			continue;
		}
		if (ctl->json) {
			json_object_set_new(status, "url",
					    json_string(ctl->hosts[i]));
			json_array_append(array, status);
		} else {
			print(ctl->hosts[i], status);
		}
		json_decref(status);
	}
	if (ctl->json)
		config_print_json(array);
	else
		json_decref(array);
	return result;
}

static enum ctl_exit run_status(struct ctl *ctl, int argc, char **argv)
{
	if (argc || !require_hosts(ctl))
		return CTL_EXIT_USAGE;
	return for_each_status(ctl, print_status);
}

static void print_hosts(const char *url, const json_t *status)
{
	const json_t *hosts = json_object_get(status, "hosts");

	printf("As %s sees them:\n", text_of(status, "name"));
	for (size_t i = 0; i < json_array_size(hosts); i++) {
		const json_t *host = json_array_get(hosts, i);

		printf("  %-20s %-16s %-8s generation %" PRId64 "\n",
		       text_of(host, "name"), text_of(host, "failure_domain"),
		       text_of(host, "state"),
		       number_of(host, "config_generation"));
	}
}

static enum ctl_exit run_hosts(struct ctl *ctl, int argc, char **argv)
{
	if (argc || !require_hosts(ctl))
		return CTL_EXIT_USAGE;
	return for_each_status(ctl, print_hosts);
}

/* Converts "NAME VALUE" and "NAME{LABELS} VALUE" lines to a JSON object. */
static json_t *metrics_to_json(char *text)
{
	json_t *metrics = json_object();
	char *rest = NULL;

	for (char *line = strtok_r(text, "\n", &rest); line;
	     line = strtok_r(NULL, "\n", &rest)) {
		char *space = strrchr(line, ' ');
		char *end = NULL;
		double value;

		if (*line == '#' || !space)
			continue;
		*space++ = '\0';
		value = strtod(space, &end);
		if (end != space)
			json_object_set_new(metrics, line, json_real(value));
	}
	return metrics;
}

static enum ctl_exit read_stats(struct ctl *ctl, const char *url, json_t *array)
{
	struct buffer response = {0};
	struct tgw_error error;
	int32_t http_status = 0;
	enum ctl_exit result = CTL_EXIT_OK;

	if (ctl_host_request(ctl, url, "GET", "/metrics", NULL, &response,
			     &http_status, &error) != TGW_OK) {
		result = ctl_report(&error);
	} else if (http_status != HTTP_OK || !response.size) {
		tgw_error_set(&error, TGW_UNAVAILABLE,
			      "%s returned HTTP status %d for /metrics; "
			      "check its log",
			      url, (int)http_status);
		result = ctl_report(&error);
	} else if (ctl->json) {
		json_array_append_new(
			array, json_pack("{s:s, s:o}", "url", url, "metrics",
					 metrics_to_json(response.data)));
	} else {
		printf("# %s\n%s", url, response.data);
	}
	buffer_free(&response);
	return result;
}

static enum ctl_exit run_stats(struct ctl *ctl, int argc, char **argv)
{
	json_t *array;
	enum ctl_exit result = CTL_EXIT_OK;

	if (argc || !require_hosts(ctl))
		return CTL_EXIT_USAGE;
	array = json_array();
	for (size_t i = 0; i < ctl->host_count; i++) {
		enum ctl_exit one = read_stats(ctl, ctl->hosts[i], array);

		result = one == CTL_EXIT_OK ? result : one;
	}
	if (ctl->json)
		config_print_json(array);
	else
		json_decref(array);
	return result;
}

static enum ctl_exit run_log_level(struct ctl *ctl, int argc, char **argv)
{
	enum ctl_exit result = CTL_EXIT_OK;

	if (argc != 1 || !require_hosts(ctl))
		return CTL_EXIT_USAGE;
	for (size_t i = 0; i < ctl->host_count; i++) {
		struct buffer response = {0};
		struct tgw_error error;
		int32_t http_status = 0;
		enum tgw_status status = ctl_host_request(ctl, ctl->hosts[i],
							  "POST", "/log-level",
							  argv[0], &response,
							  &http_status, &error);

		if (status == TGW_OK && http_status != HTTP_OK)
			tgw_error_set(&error, TGW_DENIED,
				      "%s returned HTTP status %d: %.100s",
				      ctl->hosts[i], (int)http_status,
				      response.data ? response.data : "");
		if (status != TGW_OK || http_status != HTTP_OK)
			result = ctl_report(&error);
		else
			printf("%s: log level %s\n", ctl->hosts[i], argv[0]);
		buffer_free(&response);
	}
	return result;
}

/* Generates a key, and the line with its hash for the hosts' file of operator
 * keys. The key itself is not stored. */
static enum ctl_exit run_new_key(struct ctl *ctl, int argc, char **argv)
{
	uint8_t bytes[KEY_RANDOM_BYTES];
	uint8_t hash[TGW_KEY_HASH_BYTES];
	char key[KEY_SIZE];
	char hex[HASH_HEX_SIZE];
	enum operator_role role;

	if (argc != 2 || !operator_role_parse(argv[1], &role))
		return CTL_EXIT_USAGE;
	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2base64(key, sizeof(key), bytes, sizeof(bytes),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	tgw_key_hash(key, strlen(key), hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	if (ctl->json)
		printf("{\"key\": \"%s\", \"line\": \"%s:%s:%s\"}\n", key,
		       argv[0], argv[1], hex);
	else
		printf("Key, shown this once: %s\nLine for the hosts' file of "
		       "operators' keys: %s:%s:%s\n",
		       key, argv[0], argv[1], hex);
	sodium_memzero(key, sizeof(key));
	return CTL_EXIT_OK;
}

const struct ctl_command ctl_host_commands[] = {
	{"status", "", "show the state of each host", "", run_status},
	{"hosts", "", "show the fleet as each host sees it", "", run_hosts},
	{"stats", "", "print each host's counters", "", run_stats},
	{"log-level", "", "set each host's log level",
	 "error|warning|info|debug", run_log_level},
	{"operator", "new-key", "generate an operator's key",
	 "NAME viewer|operator|admin", run_new_key},
	{"operator", "list", "list the operators", "", operator_list_run},
	{"operator", "publish", "publish the list of operators", "FILE",
	 operator_publish_run},
	{0},
};
