#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "ctl/command_table.h"
#include "ctl/log_line.h"

/* State changes of the host within this time before a request's last line are
 * printed, as they may explain the outcome. */
#define STATE_CHANGE_WINDOW_S 10.0
#define INPUT_SIZE 4096
#define FIELD_SIZE 256

/** The cause that is printed for a reason. */
struct cause {
	const char *reason_prefix;
	const char *text;
};

/* The prefixes match the reasons that the edge logs, in src/edge. */
static const struct cause causes[] = {
	{"the team's budget can't pay",
	 "the team is out of tokens: top its budget up"},
	{"other hosts hold what is left",
	 "the rest of the budget is allotted to other hosts; it comes back "
	 "within seconds, or the budget nears its end: top it up"},
	{"no allotment left here",
	 "this host did not reach the store and had spent its allotment"},
	{"no allotment came in time",
	 "the store answered too late for this request; see its latency"},
	{"the server broke the connection off",
	 "the server crashed, or its answer was lost; it may have run the "
	 "request"},
	{"the answer can't be read",
	 "the server sent what is no valid HTTP; it may have run the request: its "
	 "owners have to know"},
	{"the server is silent",
	 "the server paused; the request goes to another server as well, or "
	 "waits"},
	{"the server can't be reached",
	 "no connection to the server: it crashed, or is unreachable"},
	{"the time of the request is up",
	 "the deadline or the route's timeout passed; see the attempts for "
	 "where the time went"},
	{"all servers are full",
	 "every server of the service was full, or had asked for rest"},
	{"the service has no server",
	 "no server of the service is listed that stays, in a failure domain "
	 "that is not evacuated: see the servers' entries, part=server "
	 "event=leaving, and part=domain event=evacuated"},
	{"no server took the request", "each server refused the request"},
};

/** What one log file contains about a request. */
struct findings {
	const char *request;
	size_t request_line_count;
	char **request_lines;	 /* texts of the request's lines */
	double last_ts_s;	 /* time of its last line */
	char reason[FIELD_SIZE]; /* of the last line that has one */
	size_t state_change_count;
	struct log_line *state_changes; /* of the host, at any time */
	size_t damaged_count;		/* host log lines that did not parse */
};

static bool is_state_change(const struct log_line *line)
{
	static const char *const parts[] = {"config", "server", "domain",
					    "store", "host"};

	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++)
		if (log_line_field_is(line, "part", parts[i]))
			return true;
	return false;
}

static void add_request_line(struct findings *findings,
			     const struct log_line *line)
{
	findings->request_lines =
		xrealloc(findings->request_lines,
			 (findings->request_line_count + 1) *
				 sizeof(*findings->request_lines));
	findings->request_lines[findings->request_line_count++] =
		xstrdup(line->text);
	findings->last_ts_s = line->ts_s;
	log_line_field(line, "reason", findings->reason,
		       sizeof(findings->reason));
}

static void add_state_change(struct findings *findings,
			     const struct log_line *line)
{
	findings->state_changes =
		xrealloc(findings->state_changes,
			 (findings->state_change_count + 1) * sizeof(*line));
	findings->state_changes[findings->state_change_count++] = *line;
}

static bool read_file(struct findings *findings, const char *path)
{
	FILE *file = fopen(path, "r");
	char text[INPUT_SIZE];
	struct log_line line;

	if (!file) {
		fprintf(stderr,
			"tamarackgwctl: %s can't be read; check the path\n",
			path);
		return false;
	}
	while (fgets(text, sizeof(text), file)) {
		if (!log_line_parse(&line, text)) {
			if (strstr(text, "part=") &&
			    !strstr(text, "event=dropped"))
				findings->damaged_count++;
			continue;
		}
		if (log_line_field_is(&line, "request", findings->request))
			add_request_line(findings, &line);
		else if (is_state_change(&line))
			add_state_change(findings, &line);
	}
	fclose(file);
	return true;
}

static void print_state_changes(const struct findings *findings)
{
	bool any = false;

	for (size_t i = 0; i < findings->state_change_count; i++) {
		const struct log_line *line = &findings->state_changes[i];
		double age_s = findings->last_ts_s - line->ts_s;

		if (age_s < 0 || age_s > STATE_CHANGE_WINDOW_S)
			continue;
		if (!any)
			printf("changes on this host in the %.0f s before:\n",
			       STATE_CHANGE_WINDOW_S);
		any = true;
		printf("  %s\n", line->text);
	}
}

static void print_cause(const char *reason)
{
	for (size_t i = 0; i < sizeof(causes) / sizeof(causes[0]); i++) {
		if (strncmp(reason, causes[i].reason_prefix,
			    strlen(causes[i].reason_prefix)))
			continue;
		printf("cause: %s\n", causes[i].text);
		return;
	}
	if (*reason)
		printf("cause: %s\n", reason);
}

static void findings_clear(struct findings *findings)
{
	for (size_t i = 0; i < findings->request_line_count; i++)
		free(findings->request_lines[i]);
	free(findings->request_lines);
	free(findings->state_changes);
	memset(findings, 0, sizeof(*findings));
}

/* Prints the lines and the cause of a request.
 * @return whether the file has lines of the request */
static bool explain_file(const char *request, const char *path, bool *readable)
{
	struct findings findings = {.request = request};
	bool found;

	*readable = read_file(&findings, path);
	found = findings.request_line_count;
	if (found) {
		printf("%s:\n", path);
		for (size_t i = 0; i < findings.request_line_count; i++)
			printf("  %s\n", findings.request_lines[i]);
		print_state_changes(&findings);
		print_cause(findings.reason);
	}
	if (findings.damaged_count)
		printf("%s: %zu lines are cut off or damaged and were passed "
		       "over\n",
		       path, findings.damaged_count);
	findings_clear(&findings);
	return found;
}

static enum ctl_exit explain(struct ctl *ctl, int argc, char **argv)
{
	bool found = false;
	bool all_readable = true;

	if (argc < 2)
		return command_table_usage(ctl_explain_commands);
	for (int i = 1; i < argc; i++) {
		bool readable;

		found |= explain_file(argv[0], argv[i], &readable);
		all_readable &= readable;
	}
	if (!found)
		fprintf(stderr,
			"tamarackgwctl: no line of request %s; its host is "
			"not among these files, or the line was dropped (see "
			"event=dropped)\n",
			argv[0]);
	return found && all_readable ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

const struct ctl_command ctl_explain_commands[] = {
	{"explain", "", "show what happened to a request, from hosts' logs",
	 "REQUEST-ID LOG-FILE...", explain},
	{NULL, NULL, NULL, NULL, NULL},
};
