/**
 * @file config_commands.h
 * Commands that act on the whole configuration.
 */
#ifndef CTL_CONFIG_COMMANDS_H
#define CTL_CONFIG_COMMANDS_H

#include "ctl/ctl.h"
#include "state/config_object.h"

/** Publishes the objects of one kind from a file. */
enum ctl_exit config_publish_file(struct ctl *ctl, const char *path,
				  enum config_kind kind);

#endif
