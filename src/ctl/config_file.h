/**
 * @file config_file.h
 * An operator's INI file of configuration objects, and how it is merged with
 * the stored objects.
 */
#ifndef CTL_CONFIG_FILE_H
#define CTL_CONFIG_FILE_H

#include "base/buffer.h"
#include "ctl/config_publisher.h"
#include "state/config_ini.h"

struct config_file {
	struct buffer text;
	struct config_ini ini;
};

/** Reads a file and checks it without the stored objects; prints all errors.
 * @param path "-" for the standard input
 * @return false when there are errors */
bool config_file_read(struct config_file *file, const char *path);

/**
 * Proposes the file's objects of some kinds. A team keeps its stored keys when
 * its section does not set key_hash, and a server its draining state when its
 * section does not set draining. Checks the configuration as it would be after
 * the change, and prints errors with file and line.
 * @return false when there are errors
 */
bool config_file_propose(struct config_file *file,
			 const struct config_repository *repository,
			 const bool kinds[CONFIG_KIND_COUNT],
			 struct config_proposal *proposal);

void config_file_clear(struct config_file *file);

#endif
