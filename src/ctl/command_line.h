/**
 * @file command_line.h
 * Parses the command line: the tool's options, which may stand anywhere, and
 * the words of the command.
 */
#ifndef CTL_COMMAND_LINE_H
#define CTL_COMMAND_LINE_H

#include "base/buffer.h"
#include "ctl/ctl.h"

struct command_line {
	bool wants_help;
	bool wants_version;
	const char *store_url; /**< NULL when none is named */
	int word_count; /**< words that are not options or their values */
	char **words;
	struct buffer key; /**< content of the operator's key file */
	char *hosts_copy;  /**< TGW_HOSTS, split; ctl->hosts refers to it */
	struct arguments *arguments;
	char **options; /**< program name, then the options with their values */
};

/** Reads the options and the environment into ctl, and the words into line. ctl
 * refers to strings of line.
 * @return false after an error, which has been printed */
bool command_line_parse(struct command_line *line, struct ctl *ctl, int argc,
			char **argv);

void command_line_print_help(const struct command_line *line);

void command_line_clear(struct command_line *line);

#endif
