#include "ctl/config_file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "state/config_rules.h"

#define CHUNK_BYTES 65536

static bool read_text(struct buffer *text, const char *path)
{
	char chunk[CHUNK_BYTES];
	bool is_stdin = !strcmp(path, "-");
	FILE *file = is_stdin ? stdin : fopen(path, "re");
	bool failed = !file;
	size_t size;

	while (file && (size = fread(chunk, 1, sizeof(chunk), file)) > 0)
		buffer_add(text, chunk, size);
	if (file)
		failed = ferror(file);
	if (failed)
		fprintf(stderr, "tamarackgwctl: %s: %s\n", path,
			strerror(errno));
	if (file && !is_stdin)
		fclose(file);
	return !failed;
}

/* Prints the errors and returns whether there are any. */
static bool print_errors(const struct config_ini *ini)
{
	for (size_t i = 0; i < ini->error_count; i++)
		fprintf(stderr, "%s\n", ini->errors[i]);
	return ini->error_count > 0;
}

bool config_file_read(struct config_file *file, const char *path)
{
	memset(file, 0, sizeof(*file));
	if (!read_text(&file->text, path))
		return false;
	if (!file->text.size)
		buffer_add_text(&file->text, "");
	config_ini_parse(&file->ini, path, file->text.data, file->text.size);
	if (!file->ini.error_count && !file->ini.section_count)
		config_ini_add_error(&file->ini, 1,
				     "the file has no section; add one, such "
				     "as [team NAME]");
	return !print_errors(&file->ini);
}

static struct config_object *merge_team(const struct config_object *team,
					const struct config_object *stored)
{
	struct tgw_team merged = *team->team;

	merged.key_count = stored->team->key_count;
	memcpy(merged.key_hashes, stored->team->key_hashes,
	       sizeof(merged.key_hashes));
	return config_object_from_team(&merged, team->parameters);
}

static struct config_object *merge_server(const struct config_object *server,
					  const struct config_object *stored)
{
	struct tgw_server merged = *server->server;

	merged.draining = stored->server->draining;
	return config_object_from_server(&merged);
}

/* Copies from the stored object the values that the section does not set. */
static struct config_object *merge(const struct config_ini_section *section,
				   const struct config_set *set)
{
	struct config_object *object = section->object;
	const struct config_object *stored =
		config_set_find(set, object->kind, object->name);

	if (stored && object->kind == CONFIG_TEAM && !section->has_keys)
		return merge_team(object, stored);
	if (stored && object->kind == CONFIG_SERVER && !section->has_draining)
		return merge_server(object, stored);
	return config_object_ref(object);
}

static void check_result(struct config_file *file,
			 const struct config_repository *repository,
			 const struct config_proposal *proposal)
{
	struct config_set after = {0};
	const struct config_object *invalid_object = NULL;
	const struct config_ini_section *section = NULL;
	struct tgw_error error;

	config_set_copy(&after, &repository->set);
	for (size_t i = 0; i < proposal->desired.count; i++)
		config_set_put(&after,
			       config_object_ref(proposal->desired.objects[i]));
	if (config_rules_check_set(&after, &invalid_object, &error) != TGW_OK) {
		if (invalid_object)
			section = config_ini_find(&file->ini, invalid_object);
		config_ini_add_error(&file->ini, section ? section->line : 1,
				     "%s", error.message);
	}
	config_set_clear(&after);
}

bool config_file_propose(struct config_file *file,
			 const struct config_repository *repository,
			 const bool kinds[CONFIG_KIND_COUNT],
			 struct config_proposal *proposal)
{
	for (size_t i = 0; i < file->ini.section_count; i++) {
		const struct config_ini_section *section =
			&file->ini.sections[i];

		if (kinds[section->object->kind])
			config_proposal_put(proposal, repository,
					    merge(section, &repository->set));
	}
	check_result(file, repository, proposal);
	return !print_errors(&file->ini);
}

void config_file_clear(struct config_file *file)
{
	config_ini_clear(&file->ini);
	buffer_free(&file->text);
}
