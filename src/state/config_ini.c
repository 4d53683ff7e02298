#include "state/config_ini.h"

#include <ini.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "state/config_fields.h"
#include "state/config_rules.h"

/* Size of inih's line buffer, unless it was built with another INI_MAX_LINE. */
#define LINE_SIZE 200

struct reader {
	struct config_ini *ini;
	const char *text;
	size_t size;
	size_t offset;
	int line;
	bool is_long; /* the current line does not fit */
	char section[LINE_SIZE];
	int section_line;
	bool in_section;
	struct config_fields fields;
	struct config_set seen;
};

void config_ini_add_error(struct config_ini *ini, int line, const char *format,
			  ...)
{
	char message[CONFIG_INI_ERROR_SIZE];
	va_list args;

	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	ini->errors = xrealloc(ini->errors,
			       (ini->error_count + 1) * sizeof(ini->errors[0]));
	snprintf(ini->errors[ini->error_count++], CONFIG_INI_ERROR_SIZE,
		 "%.200s:%d: %.300s", ini->file, line, message);
}

const struct config_ini_section *config_ini_find(
	const struct config_ini *ini, const struct config_object *object)
{
	for (size_t i = 0; i < ini->section_count; i++) {
		const struct config_object *other = ini->sections[i].object;

		if (!config_object_compare(other->kind, other->name,
					   object->kind, object->name))
			return &ini->sections[i];
	}
	return NULL;
}

static void add_section(struct reader *reader, struct config_object *object)
{
	struct config_ini *ini = reader->ini;
	struct config_ini_section *section;

	if (config_set_find(&reader->seen, object->kind, object->name)) {
		config_ini_add_error(ini, reader->section_line,
				     "[%s] stands in line %d already; keep one",
				     reader->section,
				     config_ini_find(ini, object)->line);
		config_object_unref(object);
		return;
	}
	ini->sections = xrealloc(ini->sections,
				 (ini->section_count + 1) * sizeof(*section));
	section = &ini->sections[ini->section_count++];
	config_set_put(&reader->seen, config_object_ref(object));
	section->object = object;
	section->line = reader->section_line;
	section->has_keys = reader->fields.has_keys;
	section->has_draining = reader->fields.has_draining;
}

static void end_section(struct reader *reader)
{
	struct config_object *object;
	struct tgw_error error;

	if (!reader->in_section)
		return;
	reader->in_section = false;
	object = config_fields_finish(&reader->fields, &error);
	if (object && config_rules_check_object(object, &error) == TGW_OK) {
		add_section(reader, object);
		return;
	}
	config_object_unref(object);
	config_ini_add_error(reader->ini, reader->section_line, "[%s] %s",
			     reader->section, error.message);
}

/* Starts the object of a section "KIND NAME". Returns false and reports an
 * error when the kind or the name is not valid. */
static bool begin_section(struct reader *reader, const char *section)
{
	char kind_name[LINE_SIZE];
	enum config_kind kind;
	char *space;

	snprintf(kind_name, sizeof(kind_name), "%s", section);
	space = strchr(kind_name, ' ');
	if (space) {
		*space++ = '\0';
		space += strspn(space, " ");
	}
	if (!space || !config_kind_parse(kind_name, &kind)) {
		config_ini_add_error(reader->ini, reader->line,
				     "[%s] is of no known kind; write "
				     "[template NAME], [team NAME], "
				     "[server NAME] or [service NAME]",
				     section);
		return false;
	}
	if (!config_name_is_valid(space)) {
		config_ini_add_error(reader->ini, reader->line,
				     "[%s] has no valid name; use letters, "
				     "digits, '.', '_' and '-'",
				     section);
		return false;
	}
	config_fields_begin(&reader->fields, kind, space);
	return true;
}

/* Handles a section header. inih calls its handler only for keys, so
 * headers are detected while the lines are read. */
static void handle_header(struct reader *reader, const char *line)
{
	const char *end = strchr(line, ']');
	size_t length = end ? (size_t)(end - line - 1) : 0;

	end_section(reader);
	reader->section_line = reader->line;
	if (!end) {
		config_ini_add_error(reader->ini, reader->line,
				     "the section header has no ']'; add it");
		return;
	}
	memcpy(reader->section, line + 1, length);
	reader->section[length] = '\0';
	reader->in_section = begin_section(reader, reader->section);
}

/* Passes the text to inih line by line, and counts the lines for the error
 * messages. */
static char *read_line(char *line, int capacity, void *stream)
{
	struct reader *reader = stream;
	const char *start = reader->text + reader->offset;
	size_t left = reader->size - reader->offset;
	const char *end;
	size_t length;
	const char *first;

	if (!left)
		return NULL;
	end = memchr(start, '\n', left);
	length = end ? (size_t)(end - start) + 1 : left;
	reader->line++;
	reader->offset += length;
	if (length >= (size_t)capacity) {
		config_ini_add_error(
			reader->ini, reader->line,
			"the line is longer than %d characters; split "
			"its list over several lines of the same "
			"key",
			capacity - 2);
		length = 0;
	}
	memcpy(line, start, length);
	line[length] = '\0';
	for (size_t i = 0; i < length; i++)
		if (!line[i])
			line[i] = '?';
	first = line + strspn(line, " \t");
	if (*first == '[')
		handle_header(reader, first);
	return line;
}

static int handle_key(void *user, const char *section, const char *name,
		      const char *value)
{
	struct reader *reader = user;
	struct tgw_error error;

	if (!reader->in_section) {
		if (!*section)
			config_ini_add_error(reader->ini, reader->line,
					     "'%s' stands before any section; "
					     "write a section such as [team "
					     "NAME] above it",
					     name);
		return 1;
	}
	if (config_fields_set(&reader->fields, name, value, &error) != TGW_OK)
		config_ini_add_error(reader->ini, reader->line, "%s",
				     error.message);
	return 1;
}

bool config_ini_parse(struct config_ini *ini, const char *file,
		      const char *text, size_t size)
{
	struct reader reader = {.ini = ini, .text = text, .size = size};
	int bad_line;

	memset(ini, 0, sizeof(*ini));
	ini->file = file;
	bad_line = ini_parse_stream(read_line, &reader, handle_key, &reader);
	end_section(&reader);
	config_fields_clear(&reader.fields);
	config_set_clear(&reader.seen);
	if (bad_line > 0 && !ini->error_count)
		config_ini_add_error(
			ini, bad_line,
			"the line does not have the form 'key = value'");
	return !ini->error_count;
}

void config_ini_clear(struct config_ini *ini)
{
	for (size_t i = 0; i < ini->section_count; i++)
		config_object_unref(ini->sections[i].object);
	free(ini->sections);
	free(ini->errors);
	memset(ini, 0, sizeof(*ini));
}
