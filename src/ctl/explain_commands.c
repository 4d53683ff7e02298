#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "ctl/command_table.h"
#include "ctl/log_line.h"

/* Changes of belief this long before a request's last line may explain it. */
#define BEFORE_S 10.0
#define INPUT_SIZE 4096
#define FIELD_SIZE 256

/** What the reason of a refusal means for an operator. */
struct meaning {
	const char *reason; /* begins so */
	const char *text;
};

static const struct meaning meanings[] = {
	{"the team's budget can't pay",
	 "the team is out of tokens: top its budget up"},
	{"other hosts hold what is left",
	 "the rest of the budget is allotted to other hosts; it comes back "
	 "within seconds, or the budget nears its end: top it up"},
	{"no allotment left here",
	 "this host was cut off from the store and had spent its allotment"},
	{"no allotment came in time",
	 "the store answered too late for this request; see its latency"},
	{"the server broke the connection off",
	 "the server crashed, or its answer was lost; it may have run the "
	 "request"},
	{"the server is silent", "the server did not answer in its time"},
	{"the server can't be reached",
	 "no connection to the server: crashed, or cut off"},
	{"the time of the request is up",
	 "the deadline or the route's timeout passed; see the attempts for "
	 "where the time went"},
	{"all servers are full", "every server of the service was full"},
	{"the service has no server",
	 "no server of the service is listed: see the servers' entries"},
	{"no server took the request", "each server turned the request down"},
};

/** The lines of one file that matter. */
struct findings {
	const char *request;
	size_t own_count;
	char **own;
	double last_ts_s;
	char reason[FIELD_SIZE];
	size_t belief_count;
	struct log_line *beliefs;
	size_t damaged;
};

static bool is_belief(const struct log_line *line)
{
	static const char *const parts[] = {"config", "server", "store",
					    "host"};

	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++)
		if (log_line_is(line, "part", parts[i]))
			return true;
	return false;
}

static void keep_own(struct findings *found, const struct log_line *line)
{
	found->own = xrealloc(found->own,
			      (found->own_count + 1) * sizeof(*found->own));
	found->own[found->own_count++] = xstrdup(line->text);
	found->last_ts_s = line->ts_s;
	log_line_field(line, "reason", found->reason, sizeof(found->reason));
}

static void keep_belief(struct findings *found, const struct log_line *line)
{
	found->beliefs = xrealloc(found->beliefs,
				  (found->belief_count + 1) * sizeof(*line));
	found->beliefs[found->belief_count++] = *line;
}

static bool read_file(struct findings *found, const char *path)
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
		if (!log_line_read(&line, text)) {
			if (strstr(text, "part=") &&
			    !strstr(text, "event=dropped"))
				found->damaged++;
			continue;
		}
		if (log_line_is(&line, "request", found->request))
			keep_own(found, &line);
		else if (is_belief(&line))
			keep_belief(found, &line);
	}
	fclose(file);
	return true;
}

static void print_beliefs(const struct findings *found)
{
	bool any = false;

	for (size_t i = 0; i < found->belief_count; i++) {
		const struct log_line *line = &found->beliefs[i];
		double before_s = found->last_ts_s - line->ts_s;

		if (before_s < 0 || before_s > BEFORE_S)
			continue;
		if (!any)
			printf("changes on this host in the %.0f s before:\n",
			       BEFORE_S);
		any = true;
		printf("  %s\n", line->text);
	}
}

static void print_meaning(const char *reason)
{
	for (size_t i = 0; i < sizeof(meanings) / sizeof(meanings[0]); i++) {
		if (strncmp(reason, meanings[i].reason,
			    strlen(meanings[i].reason)))
			continue;
		printf("cause: %s\n", meanings[i].text);
		return;
	}
	if (*reason)
		printf("cause: %s\n", reason);
}

static void clear(struct findings *found)
{
	for (size_t i = 0; i < found->own_count; i++)
		free(found->own[i]);
	free(found->own);
	free(found->beliefs);
	memset(found, 0, sizeof(*found));
}

/* @return whether the request was found in the file */
static bool explain_file(const char *request, const char *path, bool *readable)
{
	struct findings found = {.request = request};
	bool is_there;

	*readable = read_file(&found, path);
	is_there = found.own_count;
	if (is_there) {
		printf("%s:\n", path);
		for (size_t i = 0; i < found.own_count; i++)
			printf("  %s\n", found.own[i]);
		print_beliefs(&found);
		print_meaning(found.reason);
	}
	if (found.damaged)
		printf("%s: %zu lines are cut off or damaged and were passed "
		       "over\n",
		       path, found.damaged);
	clear(&found);
	return is_there;
}

static enum ctl_exit explain(struct ctl *ctl, int argc, char **argv)
{
	bool is_there = false;
	bool all_readable = true;

	if (argc < 2)
		return command_table_usage(ctl_explain_commands);
	for (int i = 1; i < argc; i++) {
		bool readable;

		is_there |= explain_file(argv[0], argv[i], &readable);
		all_readable &= readable;
	}
	if (!is_there)
		fprintf(stderr,
			"tamarackgwctl: no line of request %s; its host is "
			"not among these files, or the line was dropped (see "
			"event=dropped)\n",
			argv[0]);
	return is_there && all_readable ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

const struct ctl_command ctl_explain_commands[] = {
	{"explain", "", "say what became of a request, from hosts' logs",
	 "REQUEST-ID LOG-FILE...", explain},
	{NULL, NULL, NULL, NULL, NULL},
};
