#include "daemon/command_line.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#define MAX_ERRORS 8
#define PROGRAM "tamarackgwd"
#define VERSION "0.1.0"

struct arguments {
	struct arg_file *settings;
	struct arg_file *check;
	struct arg_lit *print;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

static void print_help(void **table)
{
	printf("Usage: " PROGRAM);
	arg_print_syntax(stdout, table, "\n");
	printf("\nOne host of a router fleet for prepaid token budgets. All "
	       "hosts run this same\nprogram; the settings file holds the "
	       "host's name and addresses.\n\n");
	arg_print_glossary(stdout, table, "  %-22s %s\n");
	printf("\nSignals: TERM or INT starts a planned stop (open requests "
	       "end first); a second\none stops at once.\n"
	       "Exit codes: 0 stopped, 1 failed to start, 2 wrong usage or "
	       "settings.\n"
	       "Start here: " PROGRAM " --print-settings >host.ini\n");
}

static void copy_path(struct command_line *command, const struct arg_file *file)
{
	strncpy(command->settings_path, file->filename[0],
		sizeof(command->settings_path) - 1);
}

static enum command_action choose_action(struct command_line *command,
					 const struct arguments *arguments)
{
	if (arguments->check->count) {
		copy_path(command, arguments->check);
		return COMMAND_CHECK;
	}
	if (arguments->print->count)
		return COMMAND_PRINT_SETTINGS;
	if (!arguments->settings->count) {
		fprintf(stderr, PROGRAM ": give --settings FILE; see --help\n");
		return COMMAND_USAGE_ERROR;
	}
	copy_path(command, arguments->settings);
	return COMMAND_RUN;
}

void command_line_parse(struct command_line *command, int argc, char **argv)
{
	struct arguments arguments = {
		.settings = arg_file0("s", "settings", "FILE",
				      "run with these settings"),
		.check = arg_file0("c", "check", "FILE",
				   "check a settings file and exit"),
		.print = arg_lit0("p", "print-settings",
				  "print all settings with their defaults"),
		.help = arg_lit0("h", "help", "print this help"),
		.version = arg_lit0(NULL, "version", "print the version"),
		.end = arg_end(MAX_ERRORS),
	};
	void *table[] = {arguments.settings, arguments.check,	arguments.print,
			 arguments.help,     arguments.version, arguments.end};
	int errors;

	memset(command, 0, sizeof(*command));
	errors = arg_parse(argc, argv, table);
	if (arguments.help->count) {
		print_help(table);
		command->action = COMMAND_DONE;
	} else if (arguments.version->count) {
		printf(PROGRAM " " VERSION "\n");
		command->action = COMMAND_DONE;
	} else if (errors) {
		arg_print_errors(stderr, arguments.end, PROGRAM);
		fprintf(stderr, PROGRAM ": see --help\n");
		command->action = COMMAND_USAGE_ERROR;
	} else {
		command->action = choose_action(command, &arguments);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
}
