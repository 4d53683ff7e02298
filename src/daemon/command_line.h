/**
 * @file command_line.h
 * The daemon's command line.
 */
#ifndef DAEMON_COMMAND_LINE_H
#define DAEMON_COMMAND_LINE_H

enum command_action {
	COMMAND_RUN,
	COMMAND_CHECK,
	COMMAND_PRINT_SETTINGS,
	COMMAND_DONE, /**< help or version was printed */
	COMMAND_USAGE_ERROR,
};

struct command_line {
	enum command_action action;
	char settings_path[256];
};

void command_line_parse(struct command_line *command, int argc, char **argv);

#endif
