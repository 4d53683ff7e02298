/**
 * @file command_table.h
 * All commands of the tool, by group and name.
 */
#ifndef CTL_COMMAND_TABLE_H
#define CTL_COMMAND_TABLE_H

#include "ctl/ctl.h"

/**
 * Finds the command that the first words of argv name. A command with an empty
 * name is called by its group alone.
 * @param words receives the number of these words, 1 or 2
 * @return NULL when there is no such command
 */
const struct ctl_command *command_table_find(int argc, char **argv, int *words);

/** Prints all commands, or those of a group.
 * @param group NULL for all commands
 * @return false when the group has no commands */
bool command_table_print(const char *group);

/** Prints a command's usage to the standard error output. */
enum ctl_exit command_table_usage(const struct ctl_command *command);

#endif
