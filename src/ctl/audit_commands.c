#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl/audit_scan.h"
#include "ctl/config_print.h"
#include "ctl/ctl_session.h"
#include "tamarackgw/clock.h"

struct audit_filter {
	const char *who;
	const char *object;
	const char *action;
	int64_t since_us;
};

/* Accepts "2026-12-03", "2026-12-03T08:00:00Z", or a span before now such as
 * "30m", "6h" or "2d". */
static bool parse_since(const char *text, int64_t *since_us)
{
	static const struct {
		const char *unit;
		int64_t span_s;
	} units[] = {{"s", 1}, {"m", 60}, {"h", 3600}, {"d", 86400}};
	struct tm date = {0};
	char *end = NULL;
	const char *rest;
	long long number;

	rest = strptime(text, "%Y-%m-%d", &date);
	if (rest && *rest == 'T')
		rest = strptime(rest, "T%H:%M:%SZ", &date);
	if (rest && !*rest) {
		*since_us = (int64_t)timegm(&date) * TGW_US_PER_S;
		return true;
	}
	number = strtoll(text, &end, 10);
	for (size_t i = 0; i < sizeof(units) / sizeof(units[0]); i++) {
		if (end == text || strcmp(end, units[i].unit) != 0)
			continue;
		*since_us = ctl_session_wall_us() -
			    number * units[i].span_s * TGW_US_PER_S;
		return true;
	}
	return false;
}

static bool matches(const struct audit_filter *filter,
		    const struct audit_entry *entry)
{
	size_t length = filter->action ? strlen(filter->action) : 0;

	if (filter->who && strcmp(filter->who, entry->who) != 0)
		return false;
	if (filter->object && strcmp(filter->object, entry->object) != 0)
		return false;
	/* The filter "team" matches "team.publish", "team.create" and so on. */
	if (filter->action &&
	    (strncmp(filter->action, entry->action, length) != 0 ||
	     (entry->action[length] && entry->action[length] != '.')))
		return false;
	return entry->wall_us >= filter->since_us;
}

static enum ctl_exit show(struct ctl *ctl, const struct audit_filter *filter)
{
	struct audit_scan scan = {0};
	struct tgw_error error;
	json_t *array = json_array();
	enum ctl_exit result = CTL_EXIT_OK;

	if (audit_scan_run(&scan, ctl, &error) != TGW_OK) {
		result = ctl_report(&error);
		goto out;
	}
	for (size_t i = 0; i < scan.count; i++) {
		const struct audit_entry *entry = &scan.entries[i].entry;

		if (!matches(filter, entry))
			continue;
		if (ctl->json)
			json_array_append_new(array,
					      config_audit_to_json(entry));
		else
			config_print_audit(entry, stdout);
	}
	if (ctl->json)
		config_print_json(json_incref(array));
out:
	json_decref(array);
	audit_scan_clear(&scan);
	return result;
}

static enum ctl_exit run_audit(struct ctl *ctl, int argc, char **argv)
{
	struct arg_str *who = arg_str0(NULL, "who", "NAME", "");
	struct arg_str *object = arg_str0(NULL, "object", "NAME", "");
	struct arg_str *action = arg_str0(NULL, "action", "ACTION", "");
	struct arg_str *since = arg_str0(NULL, "since", "WHEN", "");
	struct arg_end *end = arg_end(4);
	void *table[] = {who, object, action, since, end};
	struct audit_filter filter = {0};
	enum ctl_exit result = CTL_EXIT_USAGE;

	if (arg_parse(argc + 1, argv - 1, table) > 0) {
		arg_print_errors(stderr, end, "tamarackgwctl");
		goto out;
	}
	filter.who = who->count ? who->sval[0] : NULL;
	filter.object = object->count ? object->sval[0] : NULL;
	filter.action = action->count ? action->sval[0] : NULL;
	if (since->count && !parse_since(since->sval[0], &filter.since_us)) {
		fprintf(stderr, "tamarackgwctl: --since takes a date such as "
				"2026-12-03, or a span such as 6h or 2d\n");
		goto out;
	}
	result = show(ctl, &filter);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

static enum ctl_exit run_verify(struct ctl *ctl, int argc, char **argv)
{
	struct audit_scan scan = {0};
	struct tgw_error error;
	size_t bad = 0;
	enum ctl_exit result = CTL_EXIT_OK;

	if (argc)
		return CTL_EXIT_USAGE;
	if (audit_scan_run(&scan, ctl, &error) != TGW_OK) {
		result = ctl_report(&error);
		goto out;
	}
	for (size_t i = 0; i < scan.count; i++) {
		const struct audit_scan_entry *item = &scan.entries[i];

		if (!item->altered && !item->lacks_predecessor)
			continue;
		bad++;
		fprintf(stderr,
			"tamarackgwctl: %s: entry %" PRIu64 " (%s %s): %s\n",
			item->key, item->entry.sequence, item->entry.action,
			item->entry.object,
			item->altered ? "it was altered"
				      : "the entry before it is missing");
	}
	if (ctl->json)
		printf("{\"entries\": %zu, \"bad\": %zu}\n", scan.count, bad);
	else
		printf("%zu entries, %zu bad\n", scan.count, bad);
	result = bad ? CTL_EXIT_FAILED : CTL_EXIT_OK;
out:
	audit_scan_clear(&scan);
	return result;
}

/* "audit verify" comes first, because "audit" alone matches any words after
 * it. */
const struct ctl_command ctl_audit_commands[] = {
	{"audit", "verify", "check that no entry was altered or removed", "",
	 run_verify},
	{"audit", "", "list changes, top-ups, drains and lifts",
	 "[--who NAME] [--object NAME] [--action ACTION] [--since WHEN]",
	 run_audit},
	{0},
};
