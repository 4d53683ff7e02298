/**
 * @file command_table.h
 * All commands of the tool, by group and name.
 */
#ifndef CTL_COMMAND_TABLE_H
#define CTL_COMMAND_TABLE_H

#include "ctl/ctl.h"

/**
 * Finds a command. A group of one command may be called without its name.
 * @param words receives how many words the command's name took
 * @return NULL when there is none
 */
const struct ctl_command *command_table_find(int argc, char **argv, int *words);

/** Prints all commands, or those of a group. @return false when none match */
bool command_table_print(const char *group);

/** Prints a command's usage to the standard error output. */
enum ctl_exit command_table_usage(const struct ctl_command *command);

#endif
