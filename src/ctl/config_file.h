/**
 * @file config_file.h
 * An operator's INI file, joined with what the store has.
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

/** Reads and checks a file by itself; prints all errors.
 * @return false when there were any */
bool config_file_read(struct config_file *file, const char *path);

/**
 * Proposes the file's objects of some kinds. A team's keys and a server's
 * drain stay as they are where the file says nothing of them. Checks the
 * whole as it would be; prints errors by file and line.
 */
bool config_file_propose(struct config_file *file,
			 const struct config_repository *repository,
			 const bool kinds[CONFIG_KIND_COUNT],
			 struct config_proposal *proposal);

void config_file_clear(struct config_file *file);

#endif
