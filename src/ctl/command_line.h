/**
 * @file command_line.h
 * The tool's options, which may stand anywhere, and the command's words.
 */
#ifndef CTL_COMMAND_LINE_H
#define CTL_COMMAND_LINE_H

#include "base/buffer.h"
#include "ctl/ctl.h"

struct command_line {
	bool wants_help;
	bool wants_version;
	const char *store_url; /**< NULL when none is named */
	int word_count;	       /**< words that are no options */
	char **words;
	struct buffer key; /**< content of the operator's key file */
	char *hosts_copy;
	struct arguments *arguments;
	char **options;
};

/** Reads options and environment into ctl and the words into line.
 * @return false when the use is wrong; it has been reported then */
bool command_line_parse(struct command_line *line, struct ctl *ctl, int argc,
			char **argv);

void command_line_print_help(const struct command_line *line);

void command_line_clear(struct command_line *line);

#endif
