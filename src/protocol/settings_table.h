/**
 * @file settings_table.h
 * Settings read from an INI file by a table that says what each key may be.
 */
#ifndef PROTOCOL_SETTINGS_TABLE_H
#define PROTOCOL_SETTINGS_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/status.h"

enum setting_type { SETTING_TEXT, SETTING_NUMBER };

/** One key of the file: where it goes, and what it may be. */
struct setting {
	const char *section;
	const char *key;
	enum setting_type type;
	size_t offset;	  /**< in the structure that is filled */
	size_t size;	  /**< of a text */
	bool required;	  /**< a text that must not be empty */
	int64_t least;	  /**< of a number */
	int64_t most;	  /**< of a number */
	int64_t standard; /**< of a number */
	const char *help;
};

/** All keys of one program. */
struct settings_table {
	const struct setting *settings;
	size_t count;
	const char *hint; /**< told with a key that is not known */
};

/** A text's entry: the structure, then the field in it. */
#define SETTING_TEXT_ENTRY(type, section, key, field, required, help)       \
	{                                                                   \
		section, key, SETTING_TEXT, offsetof(type, field),          \
			sizeof(((type *)0)->field), required, 0, 0, 0, help \
	}
#define SETTING_NUMBER_ENTRY(type, section, key, field, least, most, standard, \
			     help)                                             \
	{                                                                      \
		section, key, SETTING_NUMBER, offsetof(type, field), 0, false, \
			least, most, standard, help                            \
	}

/** Sets the numbers to their standard values. Texts are left alone. */
void settings_table_set_defaults(const struct settings_table *table,
				 void *settings);

/** Reads a file over the defaults. The message names file, line, key and
 * remedy. */
enum tgw_status settings_table_read(const struct settings_table *table,
				    void *settings, const char *path,
				    struct tgw_error *error);

/** Writes all settings with their explanations, as a sample to start from. */
void settings_table_print(const struct settings_table *table,
			  const void *settings);

/** @return whether the text has the form IP:PORT */
bool settings_is_address(const char *text);

#endif
