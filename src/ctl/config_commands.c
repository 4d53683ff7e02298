#include "ctl/config_commands.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "ctl/config_file.h"
#include "ctl/config_print.h"
#include "ctl/config_publisher.h"
#include "ctl/config_status.h"
#include "ctl/object_commands.h"
#include "state/config_ini.h"

#define DEFAULT_HISTORY_LENGTH 20

static enum ctl_exit run_check(struct ctl *ctl, int argc, char **argv)
{
	struct config_file file;
	enum ctl_exit result = CTL_EXIT_FAILED;

	if (argc != 1)
		return CTL_EXIT_USAGE;
	if (config_file_read(&file, argv[0])) {
		result = CTL_EXIT_OK;
		if (ctl->json)
			printf("{\"file\": \"%s\", \"objects\": %zu}\n",
			       argv[0], file.ini.section_count);
		else
			printf("%s: ok, %zu objects\n", argv[0],
			       file.ini.section_count);
	}
	config_file_clear(&file);
	return result;
}

static const char *base_name(const char *path)
{
	const char *slash = strrchr(path, '/');

	return slash ? slash + 1 : path;
}

static enum ctl_exit publish_file(struct ctl *ctl, const char *path,
				  const bool *kinds)
{
	struct config_proposal proposal = {
		.action = "config.publish",
		.object = base_name(path),
	};
	struct config_repository repository = {0};
	struct config_file file;
	struct tgw_error error;
	enum ctl_exit result = CTL_EXIT_FAILED;

	if (!config_file_read(&file, path))
		goto out;
	if (config_repository_open(&repository, ctl, &error) != TGW_OK ||
	    config_repository_load_all(&repository, &error) != TGW_OK) {
		result = ctl_report(&error);
		goto out;
	}
	if (config_file_propose(&file, &repository, kinds, &proposal))
		result = config_publish(ctl, &repository, &proposal);
out:
	config_proposal_clear(&proposal);
	config_repository_close(&repository);
	config_file_clear(&file);
	return result;
}

enum ctl_exit config_publish_file(struct ctl *ctl, const char *path,
				  enum config_kind kind)
{
	bool kinds[CONFIG_KIND_COUNT] = {false};

	kinds[kind] = true;
	return publish_file(ctl, path, kinds);
}

static enum ctl_exit run_publish(struct ctl *ctl, int argc, char **argv)
{
	const bool kinds[CONFIG_KIND_COUNT] = {true, true, true, true};

	if (argc != 1)
		return CTL_EXIT_USAGE;
	return publish_file(ctl, argv[0], kinds);
}

static enum ctl_exit run_diff(struct ctl *ctl, int argc, char **argv)
{
	struct ctl dry = *ctl;

	dry.dry_run = true;
	return run_publish(&dry, argc, argv);
}

static void print_configuration(const struct ctl *ctl,
				const struct config_repository *repository)
{
	json_t *kinds[CONFIG_KIND_COUNT];

	if (!ctl->json) {
		struct buffer text = {0};

		printf("; generation %" PRIu64 "\n",
		       repository->manifest.generation);
		for (size_t i = 0; i < repository->set.count; i++) {
			config_ini_write(repository->set.objects[i], &text);
			buffer_add_text(&text, "\n");
		}
		if (text.data)
			fputs(text.data, stdout);
		buffer_free(&text);
		return;
	}
	for (int i = 0; i < CONFIG_KIND_COUNT; i++)
		kinds[i] = json_array();
	for (size_t i = 0; i < repository->set.count; i++) {
		const struct config_object *object = repository->set.objects[i];

		json_array_append_new(kinds[object->kind],
				      config_object_to_json(object));
	}
	config_print_json(json_pack(
		"{s:I, s:o, s:o, s:o, s:o}", "generation",
		(json_int_t)repository->manifest.generation, "templates",
		kinds[CONFIG_TEMPLATE], "teams", kinds[CONFIG_TEAM], "servers",
		kinds[CONFIG_SERVER], "services", kinds[CONFIG_SERVICE]));
}

static enum ctl_exit run_show(struct ctl *ctl, int argc, char **argv)
{
	struct config_repository repository;
	struct tgw_error error;
	enum ctl_exit result = CTL_EXIT_OK;

	if (argc)
		return CTL_EXIT_USAGE;
	if (config_repository_open(&repository, ctl, &error) != TGW_OK ||
	    config_repository_load_all(&repository, &error) != TGW_OK)
		result = ctl_report(&error);
	else
		print_configuration(ctl, &repository);
	config_repository_close(&repository);
	return result;
}

/* Parses a non-negative integer. @return false when the text is not one */
static bool parse_number(const char *text, uint64_t *number)
{
	char *end = NULL;

	*number = strtoull(text, &end, 10);
	return end != text && !*end && *text != '-';
}

static enum ctl_exit run_history(struct ctl *ctl, int argc, char **argv)
{
	struct config_repository repository;
	struct config_delta *deltas = NULL;
	struct tgw_error error;
	uint64_t length = DEFAULT_HISTORY_LENGTH;
	uint64_t above_generation;
	size_t count = 0;
	enum ctl_exit result = CTL_EXIT_OK;

	if (argc > 1 || (argc && !parse_number(argv[0], &length)))
		return CTL_EXIT_USAGE;
	if (config_repository_open(&repository, ctl, &error) != TGW_OK) {
		result = ctl_report(&error);
		goto out;
	}
	above_generation = repository.manifest.generation > length
				   ? repository.manifest.generation - length
				   : 0;
	if (config_repository_history(&repository, above_generation, false,
				      &deltas, &count, &error) == TGW_OK)
		config_print_history(ctl, deltas, count, stdout);
	else
		result = ctl_report(&error);
out:
	for (size_t i = 0; i < count; i++)
		config_delta_clear(&deltas[i]);
	free(deltas);
	config_repository_close(&repository);
	return result;
}

/* Proposes the changes that lead from the stored objects to a target set. */
static void propose_set(struct config_proposal *proposal,
			const struct config_repository *repository,
			const struct config_set *target)
{
	for (size_t i = 0; i < target->count; i++)
		config_proposal_put(proposal, repository,
				    config_object_ref(target->objects[i]));
	for (size_t i = 0; i < repository->set.count; i++) {
		const struct config_object *object = repository->set.objects[i];

		if (!config_set_find(target, object->kind, object->name))
			config_proposal_remove(proposal, object);
	}
}

/* Reconstructs the objects of an older generation by undoing all later
 * changes. */
static enum tgw_status undo_to(struct config_repository *repository,
			       uint64_t generation, struct config_set *target,
			       struct tgw_error *error)
{
	struct config_delta *deltas = NULL;
	size_t count = 0;
	enum tgw_status status;

	config_set_copy(target, &repository->set);
	status = config_repository_history(repository, generation, true,
					   &deltas, &count, error);
	if (status == TGW_OK &&
	    (!count || deltas[0].generation != generation + 1))
		status = tgw_error_set(error, TGW_NOT_FOUND,
				       "the history does not reach back to "
				       "generation %" PRIu64
				       "; see 'tamarackgwctl config history'",
				       generation);
	for (size_t i = count; i > 0 && status == TGW_OK; i--)
		status = config_change_list_undo(&deltas[i - 1].list, target,
						 error);
	for (size_t i = 0; i < count; i++)
		config_delta_clear(&deltas[i]);
	free(deltas);
	return status;
}

static enum ctl_exit run_rollback(struct ctl *ctl, int argc, char **argv)
{
	struct config_proposal proposal = {.action = "config.rollback"};
	struct config_repository repository = {0};
	struct config_set target = {0};
	struct tgw_error error;
	char object[TGW_NAME_SIZE];
	uint64_t generation;
	enum ctl_exit result;

	if (argc != 1 || !parse_number(argv[0], &generation))
		return CTL_EXIT_USAGE;
	snprintf(object, sizeof(object), "to generation %" PRIu64, generation);
	proposal.object = object;
	if (config_repository_open(&repository, ctl, &error) != TGW_OK ||
	    config_repository_load_all(&repository, &error) != TGW_OK ||
	    undo_to(&repository, generation, &target, &error) != TGW_OK) {
		result = ctl_report(&error);
	} else {
		propose_set(&proposal, &repository, &target);
		result = config_publish(ctl, &repository, &proposal);
	}
	config_set_clear(&target);
	config_proposal_clear(&proposal);
	config_repository_close(&repository);
	return result;
}

const struct ctl_command ctl_config_commands[] = {
	{"config", "check", "check a file by itself, without the store", "FILE",
	 run_check},
	{"config", "publish", "publish all objects of a file", "FILE",
	 run_publish},
	{"config", "diff", "show what publishing a file would change", "FILE",
	 run_diff},
	{"config", "show", "print the whole configuration", "", run_show},
	{"config", "history", "list the latest generations", "[LENGTH]",
	 run_history},
	{"config", "rollback", "publish an older generation's objects again",
	 "GENERATION", run_rollback},
	{"config", "status", "show which generation each host has in force",
	 "[--wait] [--timeout S]", config_status_run},
	{"template", "list", "list the templates", "", template_list_run},
	{"template", "show", "print a template", "NAME", template_show_run},
	{"template", "publish", "publish the templates of a file", "FILE",
	 template_publish_run},
	{"template", "remove", "remove a template that no team uses", "NAME",
	 template_remove_run},
	{"team", "list", "list the teams", "", team_list_run},
	{"team", "show", "print a team", "NAME", team_show_run},
	{"team", "publish", "publish the teams of a file", "FILE",
	 team_publish_run},
	{"team", "create", "create a team; makes its key unless one is given",
	 "NAME TEMPLATE BUDGET [KEYFILE|-]", team_create_run},
	{"team", "remove", "remove a team", "NAME", team_remove_run},
	{"team", "add-key", "add a caller key; makes one unless it is given",
	 "NAME [KEYFILE|-]", team_add_key_run},
	{"team", "drop-key",
	 "remove the caller key whose hash starts with HASH", "NAME HASH",
	 team_drop_key_run},
	{"server", "list", "list the backend servers", "", server_list_run},
	{"server", "show", "print a backend server", "NAME", server_show_run},
	{"server", "publish", "publish the backend servers of a file", "FILE",
	 server_publish_run},
	{"server", "drain", "send no new requests to a backend server", "NAME",
	 server_drain_run},
	{"server", "undrain", "send requests to a backend server again", "NAME",
	 server_undrain_run},
	{"server", "remove", "remove a backend server", "NAME",
	 server_remove_run},
	{"service", "list", "list the plain services", "", service_list_run},
	{"service", "show", "print a plain service", "NAME", service_show_run},
	{"service", "remove", "remove a plain service", "NAME",
	 service_remove_run},
	{0},
};
