#include "protocol/settings_table.h"

#include <ini.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

static char *text_of(const void *settings, const struct setting *setting)
{
	return (char *)settings + setting->offset;
}

static int64_t *number_of(const void *settings, const struct setting *setting)
{
	return (int64_t *)(void *)((char *)settings + setting->offset);
}

void settings_table_set_defaults(const struct settings_table *table,
				 void *settings)
{
	for (size_t i = 0; i < table->count; i++) {
		const struct setting *setting = &table->settings[i];

		if (setting->type == SETTING_NUMBER)
			*number_of(settings, setting) = setting->standard;
	}
}

/** A file being read; the library tells no line numbers. */
struct reading {
	const struct settings_table *table;
	void *settings;
	struct tgw_error *error;
	const char *path;
	FILE *file;
	int line;
	bool *seen; /* one for each key */
};

static char *read_line(char *text, int size, void *arg)
{
	struct reading *reading = arg;
	char *line = fgets(text, size, reading->file);

	if (line)
		reading->line++;
	return line;
}

static int refuse(struct reading *reading, const char *section, const char *key,
		  const char *remedy)
{
	if (reading->error->status == TGW_OK)
		tgw_error_set(reading->error, TGW_INVALID, "%s:%d: [%s] %s: %s",
			      reading->path, reading->line, section, key,
			      remedy);
	return 0;
}

static int take_number(struct reading *reading, const struct setting *setting,
		       const char *value)
{
	char remedy[160];
	char *end = NULL;
	long long number = strtoll(value, &end, 10);

	/* Seconds may be written as 8.0. */
	if (end != value && *end == '.')
		end += 1 + strspn(end + 1, "0123456789");
	if (end == value || *end || number < setting->least ||
	    number > setting->most) {
		snprintf(remedy, sizeof(remedy),
			 "'%.40s' is not a number from %" PRId64 " to %" PRId64
			 "; correct it or leave the key out for %" PRId64,
			 value, setting->least, setting->most,
			 setting->standard);
		return refuse(reading, setting->section, setting->key, remedy);
	}
	*number_of(reading->settings, setting) = number;
	return 1;
}

static int take_text(struct reading *reading, const struct setting *setting,
		     const char *value)
{
	char remedy[160];

	if (strlen(value) >= setting->size) {
		snprintf(remedy, sizeof(remedy),
			 "longer than %zu characters; shorten it",
			 setting->size - 1);
		return refuse(reading, setting->section, setting->key, remedy);
	}
	memcpy(text_of(reading->settings, setting), value, strlen(value) + 1);
	return 1;
}

static int take_value(void *arg, const char *section, const char *key,
		      const char *value)
{
	struct reading *reading = arg;

	for (size_t i = 0; i < reading->table->count; i++) {
		const struct setting *setting = &reading->table->settings[i];

		if (strcmp(setting->section, section) ||
		    strcmp(setting->key, key))
			continue;
		if (reading->seen[i])
			return refuse(reading, section, key,
				      "given twice; remove one");
		reading->seen[i] = true;
		if (setting->type == SETTING_NUMBER)
			return take_number(reading, setting, value);
		return take_text(reading, setting, value);
	}
	return refuse(reading, section, key, reading->table->hint);
}

static enum tgw_status require_texts(const struct reading *reading)
{
	for (size_t i = 0; i < reading->table->count; i++) {
		const struct setting *setting = &reading->table->settings[i];

		if (setting->required && !*text_of(reading->settings, setting))
			return tgw_error_set(reading->error, TGW_INVALID,
					     "%s: [%s] %s is missing; give %s",
					     reading->path, setting->section,
					     setting->key, setting->help);
	}
	return TGW_OK;
}

bool settings_is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	char *end = NULL;
	long port;

	if (!colon || colon == text)
		return false;
	port = strtol(colon + 1, &end, 10);
	return end != colon + 1 && !*end && port >= 0 && port <= UINT16_MAX;
}

enum tgw_status settings_table_read(const struct settings_table *table,
				    void *settings, const char *path,
				    struct tgw_error *error)
{
	struct reading reading = {
		.table = table,
		.settings = settings,
		.error = error,
		.path = path,
	};
	int bad_line;

	tgw_error_clear(error);
	reading.file = fopen(path, "r");
	if (!reading.file)
		return tgw_error_set(error, TGW_NOT_FOUND,
				     "%s: can't be read; check the path and "
				     "its mode",
				     path);
	reading.seen = xcalloc(table->count, sizeof(*reading.seen));
	bad_line = ini_parse_stream(read_line, &reading, take_value, &reading);
	fclose(reading.file);
	free(reading.seen);
	if (error->status != TGW_OK)
		return error->status;
	if (bad_line)
		return tgw_error_set(error, TGW_INVALID,
				     "%s:%d: not of the form key = value", path,
				     bad_line);
	return require_texts(&reading);
}

void settings_table_print(const struct settings_table *table,
			  const void *settings)
{
	const char *section = "";

	for (size_t i = 0; i < table->count; i++) {
		const struct setting *setting = &table->settings[i];

		if (strcmp(section, setting->section))
			printf("%s[%s]\n", *section ? "\n" : "",
			       setting->section);
		section = setting->section;
		printf("; %s\n", setting->help);
		if (setting->type == SETTING_TEXT)
			printf("%s =%s%s\n", setting->key,
			       *text_of(settings, setting) ? " " : "",
			       text_of(settings, setting));
		else
			printf("; %" PRId64 " to %" PRId64 "\n%s = %" PRId64
			       "\n",
			       setting->least, setting->most, setting->key,
			       *number_of(settings, setting));
	}
}
