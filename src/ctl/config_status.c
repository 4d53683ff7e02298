#include "ctl/config_status.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/text.h"
#include "ctl/config_print.h"
#include "ctl/config_repository.h"
#include "ctl/ctl_session.h"

#define DEFAULT_TIMEOUT_S 15
#define POLL_MS 250
#define HTTP_OK 200

struct host_row {
	const char *url;
	char name[TGW_NAME_SIZE];
	bool reachable;
	uint64_t generation;
	char message[TGW_ERROR_MESSAGE_SIZE];
};

json_t *host_status_read(struct ctl *ctl, const char *url,
			 struct tgw_error *error)
{
	struct buffer response = {0};
	int32_t http_status = 0;
	json_t *root = NULL;

	if (ctl_host_request(ctl, url, "GET", "/status", NULL, &response,
			     &http_status, error) != TGW_OK)
		goto out;
	if (http_status != HTTP_OK) {
		tgw_error_set(error,
			      http_status == 401 || http_status == 403
				      ? TGW_DENIED
				      : TGW_UNAVAILABLE,
			      "%s returned HTTP status %d for /status; give an "
			      "operator's key with --key-file",
			      url, (int)http_status);
		goto out;
	}
	root = json_loadb(response.data ? response.data : "", response.size, 0,
			  NULL);
	if (!root)
		tgw_error_set(error, TGW_CORRUPT,
			      "the /status page of %s is not JSON; check "
			      "that it is a host of this fleet",
			      url);
out:
	buffer_free(&response);
	return root;
}

static void read_row(struct ctl *ctl, struct host_row *row)
{
	struct tgw_error error;
	json_t *root = host_status_read(ctl, row->url, &error);
	const char *name;

	row->reachable = root != NULL;
	if (!root) {
		text_copy_cut(row->message, sizeof(row->message),
			      error.message);
		return;
	}
	name = json_string_value(json_object_get(root, "name"));
	snprintf(row->name, sizeof(row->name), "%s", name ? name : "");
	row->generation = (uint64_t)json_integer_value(
		json_object_get(root, "config_generation"));
	row->message[0] = '\0';
	json_decref(root);
}

/* Reads the status of each host that is not known to have the generation.
 * Returns the number of reachable hosts that are below the generation. */
static size_t read_rows(struct ctl *ctl, struct host_row *rows,
			uint64_t generation)
{
	size_t behind = 0;

	for (size_t i = 0; i < ctl->host_count; i++) {
		/* A host that has the generation never returns to an older
		 * one. */
		if (!rows[i].reachable || rows[i].generation < generation)
			read_row(ctl, &rows[i]);
		behind += rows[i].reachable && rows[i].generation < generation;
	}
	return behind;
}

static void print_rows(const struct ctl *ctl, const struct host_row *rows,
		       uint64_t generation)
{
	json_t *hosts;

	if (!ctl->json) {
		printf("Generation %" PRIu64 " is accepted.\n", generation);
		for (size_t i = 0; i < ctl->host_count; i++)
			if (rows[i].reachable)
				printf("%-16s %-28s generation %" PRIu64 "%s\n",
				       rows[i].name, rows[i].url,
				       rows[i].generation,
				       rows[i].generation < generation
					       ? "  BEHIND"
					       : "");
			else
				printf("%-16s %-28s UNREACHABLE: %s\n", "?",
				       rows[i].url, rows[i].message);
		return;
	}
	hosts = json_array();
	for (size_t i = 0; i < ctl->host_count; i++)
		json_array_append_new(
			hosts,
			json_pack("{s:s, s:s, s:b, s:I, s:b}", "url",
				  rows[i].url, "name", rows[i].name,
				  "reachable", (int)rows[i].reachable,
				  "generation", (json_int_t)rows[i].generation,
				  "in_force",
				  (int)(rows[i].reachable &&
					rows[i].generation >= generation)));
	config_print_json(json_pack("{s:I, s:o}", "generation",
				    (json_int_t)generation, "hosts", hosts));
}

static enum ctl_exit show_status(struct ctl *ctl, bool wait, int64_t timeout_s)
{
	static struct host_row rows[CTL_HOSTS_MAX];
	struct config_repository repository;
	struct tgw_error error;
	uint64_t generation;
	size_t behind;
	int64_t deadline_us =
		ctl_session_wall_us() + timeout_s * INT64_C(1000000);
	enum tgw_status status =
		config_repository_open(&repository, ctl, &error);

	generation = repository.manifest.generation;
	config_repository_close(&repository);
	if (status != TGW_OK)
		return ctl_report(&error);
	if (!ctl->host_count) {
		fprintf(stderr, "tamarackgwctl: no host is named; give --host "
				"URL or set TGW_HOSTS\n");
		return CTL_EXIT_USAGE;
	}
	for (size_t i = 0; i < ctl->host_count; i++)
		rows[i].url = ctl->hosts[i];
	behind = read_rows(ctl, rows, generation);
	while (wait && behind && ctl_session_wall_us() < deadline_us) {
		ctl_session_sleep_ms(POLL_MS);
		behind = read_rows(ctl, rows, generation);
	}
	print_rows(ctl, rows, generation);
	return behind ? CTL_EXIT_FAILED : CTL_EXIT_OK;
}

enum ctl_exit config_status_run(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *wait = arg_lit0(NULL, "wait", "");
	struct arg_int *timeout = arg_int0(NULL, "timeout", "S", "");
	struct arg_end *end = arg_end(4);
	void *table[] = {wait, timeout, end};
	enum ctl_exit result = CTL_EXIT_USAGE;

	timeout->ival[0] = DEFAULT_TIMEOUT_S;
	/* arg_parse() takes the first word for the program's name and skips
	 * it. */
	if (arg_parse(argc + 1, argv - 1, table) == 0)
		result = show_status(ctl, wait->count > 0, timeout->ival[0]);
	else
		arg_print_errors(stderr, end, "tamarackgwctl");
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
