#include "ctl/command_table.h"

#include <stdio.h>
#include <string.h>

static const struct ctl_command *const tables[] = {
	ctl_config_commands, ctl_budget_commands,     ctl_audit_commands,
	ctl_host_commands,   ctl_quarantine_commands, ctl_explain_commands,
};

#define TABLE_COUNT (sizeof(tables) / sizeof(tables[0]))

const struct ctl_command *command_table_find(int argc, char **argv, int *words)
{
	for (size_t i = 0; i < TABLE_COUNT; i++) {
		const struct ctl_command *command;

		for (command = tables[i]; command->group; command++) {
			bool has_name = command->name && *command->name;

			if (strcmp(command->group, argv[0]) != 0)
				continue;
			if (has_name &&
			    (argc < 2 || strcmp(command->name, argv[1]) != 0))
				continue;
			*words = has_name ? 2 : 1;
			return command;
		}
	}
	return NULL;
}

bool command_table_print(const char *group)
{
	bool any = false;

	for (size_t i = 0; i < TABLE_COUNT; i++) {
		const struct ctl_command *command;

		for (command = tables[i]; command->group; command++) {
			char words[128];

			if (group && strcmp(command->group, group) != 0)
				continue;
			any = true;
			snprintf(words, sizeof(words), "%s%s%s%s%s",
				 command->group, *command->name ? " " : "",
				 command->name, *command->usage ? " " : "",
				 command->usage);
			if (strlen(words) < 34)
				printf("  %-34s %s\n", words, command->summary);
			else
				printf("  %s\n  %-34s %s\n", words, "",
				       command->summary);
		}
	}
	return any;
}

enum ctl_exit command_table_usage(const struct ctl_command *command)
{
	fprintf(stderr, "Usage: tamarackgwctl [OPTIONS] %s%s%s %s\n",
		command->group, *command->name ? " " : "", command->name,
		command->usage);
	return CTL_EXIT_USAGE;
}
