/**
 * @file config_ini.h
 * The INI form in which operators write configuration objects. Sections are
 * [template NAME], [team NAME], [server NAME] and [service NAME].
 */
#ifndef STATE_CONFIG_INI_H
#define STATE_CONFIG_INI_H

#include <stddef.h>

#include "base/buffer.h"
#include "state/config_set.h"

#define CONFIG_INI_ERROR_SIZE 512

/** One section of a file. */
struct config_ini_section {
	struct config_object *object;
	int line;
	bool has_keys;	   /**< a team's section sets key_hash */
	bool has_draining; /**< a server's section sets draining */
};

/** The sections and errors of a parsed file. */
struct config_ini {
	const char *file;
	size_t section_count;
	struct config_ini_section *sections;
	size_t error_count;
	char (*errors)[CONFIG_INI_ERROR_SIZE]; /**< "FILE:LINE: message" */
};

/**
 * Parses a whole file and collects all errors. A line without the form
 * "key = value" is reported only if there is no other error, and only the
 * first of them.
 * @param file name for the error messages; must outlive the result
 * @return false when there are errors
 */
bool config_ini_parse(struct config_ini *ini, const char *file,
		      const char *text, size_t size);

/** Adds an error for a line. */
void config_ini_add_error(struct config_ini *ini, int line, const char *format,
			  ...) __attribute__((format(printf, 3, 4)));

/** @return the section with the kind and name of an object, or NULL */
const struct config_ini_section *config_ini_find(
	const struct config_ini *ini, const struct config_object *object);

void config_ini_clear(struct config_ini *ini);

/** Writes an object as a section that config_ini_parse() can read. */
void config_ini_write(const struct config_object *object, struct buffer *text);

#endif
