/**
 * @file settings_table.h
 * Reads settings from an INI file. A table defines the keys and the values that
 * they permit.
 */
#ifndef PROTOCOL_SETTINGS_TABLE_H
#define PROTOCOL_SETTINGS_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/status.h"

enum setting_type {
	SETTING_TEXT,
	/** A name of any length; the field has its short form. */
	SETTING_NAME,
	SETTING_NUMBER,
	/** All keys of a section: a text of KEY:VALUE, separated by commas. */
	SETTING_PAIRS,
};

/** One key of the file: the field that it sets, and its permitted values. */
struct setting {
	const char *section;
	const char *key;
	enum setting_type type;
	size_t offset;	       /**< of the field in the settings structure */
	size_t size;	       /**< of a text's or pairs' field, in bytes */
	bool required;	       /**< whether a text must not be empty */
	int64_t min_value;     /**< of a number */
	int64_t max_value;     /**< of a number */
	int64_t default_value; /**< of a number */
	const char *help;
};

/** All keys of one program. */
struct settings_table {
	const struct setting *settings;
	size_t count;
	const char *hint; /**< ends the error message about an unknown key */
};

/** Table entries: `type` is the settings structure, `field` a member of it. */
#define SETTING_TEXT_ENTRY(type, section, key, field, required, help)       \
	{                                                                   \
		section, key, SETTING_TEXT, offsetof(type, field),          \
			sizeof(((type *)0)->field), required, 0, 0, 0, help \
	}
/** @param field of TGW_NAME_SIZE bytes */
#define SETTING_NAME_ENTRY(type, section, key, field, required, help)       \
	{                                                                   \
		section, key, SETTING_NAME, offsetof(type, field),          \
			sizeof(((type *)0)->field), required, 0, 0, 0, help \
	}
/** @param key example of a key and its value, for the sample file */
#define SETTING_PAIRS_ENTRY(type, section, key, field, help)             \
	{                                                                \
		section, key, SETTING_PAIRS, offsetof(type, field),      \
			sizeof(((type *)0)->field), false, 0, 0, 0, help \
	}
#define SETTING_NUMBER_ENTRY(type, section, key, field, min_value, max_value,  \
			     default_value, help)                              \
	{                                                                      \
		section, key, SETTING_NUMBER, offsetof(type, field), 0, false, \
			min_value, max_value, default_value, help              \
	}

/** Sets the numbers to their default values. Texts are not changed. */
void settings_table_set_defaults(const struct settings_table *table,
				 void *settings);

/** Reads a file; its values replace the defaults. The error message names the
 * file and, where they are known, the line, key and remedy. */
enum tgw_status settings_table_read(const struct settings_table *table,
				    void *settings, const char *path,
				    struct tgw_error *error);

/** Prints all settings with their explanations, as a sample file. */
void settings_table_print(const struct settings_table *table,
			  const void *settings);

/** @return whether the text ends with a colon and a port, and something
 * precedes them; whether that is an IP address is not checked */
bool settings_is_address(const char *text);

#endif
