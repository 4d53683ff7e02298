/**
 * @file config_commands.h
 * Commands on the configuration as a whole.
 */
#ifndef CTL_CONFIG_COMMANDS_H
#define CTL_CONFIG_COMMANDS_H

#include "ctl/ctl.h"
#include "state/config_object.h"

/** Publishes the objects of one kind that a file has. */
enum ctl_exit config_publish_file(struct ctl *ctl, const char *path,
				  enum config_kind kind);

#endif
