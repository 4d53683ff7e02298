#include <stdio.h>

#include "ctl/command_line.h"
#include "ctl/command_table.h"
#include "ctl/ctl_authority.h"
#include "ctl/ctl_session.h"

static enum ctl_exit run(struct ctl *ctl, const struct command_line *line)
{
	const struct ctl_command *command;
	enum ctl_exit result;
	int words = 0;

	if (line->wants_version) {
		puts("tamarackgwctl 0.1.0");
		return CTL_EXIT_OK;
	}
	if (line->wants_help) {
		command_line_print_help(line);
		return CTL_EXIT_OK;
	}
	if (!line->word_count) {
		fprintf(stderr,
			"Give a command; see 'tamarackgwctl --help'.\n");
		return CTL_EXIT_USAGE;
	}
	command = command_table_find(line->word_count, line->words, &words);
	if (!command) {
		fprintf(stderr,
			"There is no command '%s%s%s'; see 'tamarackgwctl "
			"--help'.\n",
			line->words[0], line->word_count > 1 ? " " : "",
			line->word_count > 1 ? line->words[1] : "");
		return CTL_EXIT_USAGE;
	}
	ctl->session = ctl_session_new(line->store_url);
	result = command->run(ctl, line->word_count - words,
			      line->words + words);
	ctl_authority_free(ctl->authority);
	ctl_session_free(ctl->session);
	if (result == CTL_EXIT_USAGE)
		command_table_usage(command);
	return result;
}

int main(int argc, char **argv)
{
	struct command_line line = {0};
	struct ctl ctl = {0};
	enum ctl_exit result = CTL_EXIT_USAGE;

	if (command_line_parse(&line, &ctl, argc, argv))
		result = run(&ctl, &line);
	command_line_clear(&line);
	return (int)result;
}
