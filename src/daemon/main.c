#include <stdio.h>
#include <stdlib.h>

#include "daemon/command_line.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"

#define EXIT_USAGE 2

static int report(const struct tgw_error *error)
{
	fprintf(stderr, "tamarackgwd: %s\n", error->message);
	return EXIT_USAGE;
}

int main(int argc, char **argv)
{
	struct command_line command;
	struct settings settings;
	struct tgw_error error;

	command_line_parse(&command, argc, argv);
	switch (command.action) {
	case COMMAND_DONE:
		return EXIT_SUCCESS;
	case COMMAND_USAGE_ERROR:
		return EXIT_USAGE;
	case COMMAND_PRINT_SETTINGS:
		settings_set_defaults(&settings);
		settings_print(&settings);
		return EXIT_SUCCESS;
	case COMMAND_CHECK:
	case COMMAND_RUN:
		break;
	}
	if (settings_read(&settings, command.settings_path, &error) != TGW_OK)
		return report(&error);
	if (command.action == COMMAND_CHECK) {
		printf("%s: ok\n", command.settings_path);
		return EXIT_SUCCESS;
	}
	return daemon_run(&settings);
}
