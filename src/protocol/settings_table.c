#include "protocol/settings_table.h"

#include <ini.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"

static char *text_field(const void *settings, const struct setting *setting)
{
	return (char *)settings + setting->offset;
}

static int64_t *number_field(const void *settings,
			     const struct setting *setting)
{
	return (int64_t *)(void *)((char *)settings + setting->offset);
}

void settings_table_set_defaults(const struct settings_table *table,
				 void *settings)
{
	for (size_t i = 0; i < table->count; i++) {
		const struct setting *setting = &table->settings[i];

		if (setting->type == SETTING_NUMBER)
			*number_field(settings, setting) =
				setting->default_value;
	}
}

/* A file that is being read. read_line() counts the lines, because inih does
 * not pass line numbers to the handler. */
struct settings_reader {
	const struct settings_table *table;
	void *settings;
	struct tgw_error *error;
	const char *path;
	FILE *file;
	int line;
	bool *seen; /* whether the file has set the key, by table index */
};

static char *read_line(char *text, int size, void *arg)
{
	struct settings_reader *reader = arg;
	char *line = fgets(text, size, reader->file);

	if (line)
		reader->line++;
	return line;
}

static int report_error(struct settings_reader *reader, const char *section,
			const char *key, const char *detail)
{
	if (reader->error->status == TGW_OK)
		tgw_error_set(reader->error, TGW_INVALID, "%s:%d: [%s] %s: %s",
			      reader->path, reader->line, section, key, detail);
	return 0;
}

static int parse_number(struct settings_reader *reader,
			const struct setting *setting, const char *value)
{
	char detail[160];
	char *end = NULL;
	long long number = strtoll(value, &end, 10);

	/* Seconds may be written as 8.0; digits after the point are ignored. */
	if (end != value && *end == '.')
		end += 1 + strspn(end + 1, "0123456789");
	if (end == value || *end || number < setting->min_value ||
	    number > setting->max_value) {
		snprintf(detail, sizeof(detail),
			 "'%.40s' is not a number from %" PRId64 " to %" PRId64
			 "; correct it or leave the key out for %" PRId64,
			 value, setting->min_value, setting->max_value,
			 setting->default_value);
		return report_error(reader, setting->section, setting->key,
				    detail);
	}
	*number_field(reader->settings, setting) = number;
	return 1;
}

static int parse_text(struct settings_reader *reader,
		      const struct setting *setting, const char *value)
{
	char detail[160];

	if (strlen(value) >= setting->size) {
		snprintf(detail, sizeof(detail),
			 "longer than %zu characters; shorten it",
			 setting->size - 1);
		return report_error(reader, setting->section, setting->key,
				    detail);
	}
	memcpy(text_field(reader->settings, setting), value, strlen(value) + 1);
	return 1;
}

static int set_name(struct settings_reader *reader,
		    const struct setting *setting, const char *value)
{
	char *name = text_field(reader->settings, setting);

	if (*value)
		short_name_set(name, value);
	else
		*name = '\0';
	return 1;
}

static int add_pair(struct settings_reader *reader,
		    const struct setting *setting, const char *key,
		    const char *value)
{
	char *text = text_field(reader->settings, setting);
	size_t used = strlen(text);
	size_t room = setting->size - used;
	int size = snprintf(text + used, room, "%s%s:%s", used ? "," : "", key,
			    value);

	if (size >= 0 && (size_t)size < room)
		return 1;
	return report_error(reader, setting->section, key,
			    "too many pairs; shorten or remove some");
}

static int parse_value(void *arg, const char *section, const char *key,
		       const char *value)
{
	struct settings_reader *reader = arg;

	for (size_t i = 0; i < reader->table->count; i++) {
		const struct setting *setting = &reader->table->settings[i];

		if (strcmp(setting->section, section))
			continue;
		if (setting->type == SETTING_PAIRS)
			return add_pair(reader, setting, key, value);
		if (strcmp(setting->key, key))
			continue;
		if (reader->seen[i])
			return report_error(reader, section, key,
					    "given twice; remove one");
		reader->seen[i] = true;
		if (setting->type == SETTING_NUMBER)
			return parse_number(reader, setting, value);
		if (setting->type == SETTING_NAME)
			return set_name(reader, setting, value);
		return parse_text(reader, setting, value);
	}
	return report_error(reader, section, key, reader->table->hint);
}

static enum tgw_status require_texts(const struct settings_reader *reader)
{
	for (size_t i = 0; i < reader->table->count; i++) {
		const struct setting *setting = &reader->table->settings[i];

		if (setting->required &&
		    !*text_field(reader->settings, setting))
			return tgw_error_set(reader->error, TGW_INVALID,
					     "%s: [%s] %s is missing; give %s",
					     reader->path, setting->section,
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
	struct settings_reader reader = {
		.table = table,
		.settings = settings,
		.error = error,
		.path = path,
	};
	int bad_line;

	tgw_error_clear(error);
	reader.file = fopen(path, "r");
	if (!reader.file)
		return tgw_error_set(error, TGW_NOT_FOUND,
				     "%s: can't be read; check the path and "
				     "its mode",
				     path);
	reader.seen = xcalloc(table->count, sizeof(*reader.seen));
	bad_line = ini_parse_stream(read_line, &reader, parse_value, &reader);
	fclose(reader.file);
	free(reader.seen);
	if (error->status != TGW_OK)
		return error->status;
	if (bad_line)
		return tgw_error_set(error, TGW_INVALID,
				     "%s:%d: not of the form key = value", path,
				     bad_line);
	return require_texts(&reader);
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
		if (setting->type == SETTING_PAIRS)
			printf(";%s\n", setting->key);
		else if (setting->type == SETTING_TEXT ||
			 setting->type == SETTING_NAME)
			printf("%s =%s%s\n", setting->key,
			       *text_field(settings, setting) ? " " : "",
			       text_field(settings, setting));
		else
			printf("; %" PRId64 " to %" PRId64 "\n%s = %" PRId64
			       "\n",
			       setting->min_value, setting->max_value,
			       setting->key, *number_field(settings, setting));
	}
}
