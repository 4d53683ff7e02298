#include "ctl/object_commands.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "ctl/config_commands.h"
#include "ctl/config_print.h"
#include "ctl/config_publisher.h"
#include "ctl/object_edit.h"
#include "state/config_ini.h"

static void print_row(const struct config_object *object)
{
	const struct tgw_server *server;

	switch (object->kind) {
	case CONFIG_TEMPLATE:
		printf("%-24s models %zu, services %zu, kinds of work %zu\n",
		       object->name, object->template->models.count,
		       object->template->services.count,
		       object->template->work_kind_count);
		break;
	case CONFIG_TEAM:
		printf("%-24s template %s, budget %s, keys %zu\n", object->name,
		       object->team->template_name, object->team->budget,
		       object->team->key_count);
		break;
	case CONFIG_SERVER:
		server = object->server;
		printf("%-24s %-12s %-8s %s%s\n", object->name,
		       server->failure_domain,
		       server->kind == TGW_SERVER_MODEL ? "model"
							: server->service,
		       server->url, server->draining ? " (draining)" : "");
		break;
	default:
		printf("%-24s repeatable methods %zu\n", object->name,
		       object->service->repeatable_count);
		break;
	}
}

static void print_rows(const struct ctl *ctl, const struct config_set *set,
		       enum config_kind kind)
{
	json_t *array = json_array();

	for (size_t i = 0; i < set->count; i++) {
		if (set->objects[i]->kind != kind)
			continue;
		if (ctl->json)
			json_array_append_new(
				array, config_object_to_json(set->objects[i]));
		else
			print_row(set->objects[i]);
	}
	if (ctl->json)
		config_print_json(array);
	else
		json_decref(array);
}

static enum ctl_exit list_objects(struct ctl *ctl, int argc,
				  enum config_kind kind)
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
		print_rows(ctl, &repository.set, kind);
	config_repository_close(&repository);
	return result;
}

static enum ctl_exit show_object(struct ctl *ctl, int argc, char **argv,
				 enum config_kind kind)
{
	struct config_repository repository;
	struct config_object *object;
	struct tgw_error error;
	struct buffer text = {0};
	enum ctl_exit result = CTL_EXIT_OK;

	if (argc != 1)
		return CTL_EXIT_USAGE;
	if (config_repository_open(&repository, ctl, &error) != TGW_OK ||
	    config_repository_find(&repository, kind, argv[0], &object,
				   &error) != TGW_OK) {
		result = ctl_report(&error);
	} else if (ctl->json) {
		config_print_json(config_object_to_json(object));
	} else {
		config_ini_write(object, &text);
		fputs(text.data, stdout);
	}
	buffer_free(&text);
	config_repository_close(&repository);
	return result;
}

static enum ctl_exit publish_objects(struct ctl *ctl, int argc, char **argv,
				     enum config_kind kind)
{
	if (argc != 1)
		return CTL_EXIT_USAGE;
	return config_publish_file(ctl, argv[0], kind);
}

static struct config_object *edit_remove(const struct config_object *before,
					 void *arg, struct tgw_error *error)
{
	return NULL;
}

static enum ctl_exit remove_object(struct ctl *ctl, int argc, char **argv,
				   enum config_kind kind, const char *action)
{
	if (argc != 1)
		return CTL_EXIT_USAGE;
	return object_edit(ctl, kind, argv[0], action,
			   (struct object_editor){edit_remove, NULL});
}

enum ctl_exit template_list_run(struct ctl *ctl, int argc, char **argv)
{
	return list_objects(ctl, argc, CONFIG_TEMPLATE);
}

enum ctl_exit template_show_run(struct ctl *ctl, int argc, char **argv)
{
	return show_object(ctl, argc, argv, CONFIG_TEMPLATE);
}

enum ctl_exit template_publish_run(struct ctl *ctl, int argc, char **argv)
{
	return publish_objects(ctl, argc, argv, CONFIG_TEMPLATE);
}

enum ctl_exit template_remove_run(struct ctl *ctl, int argc, char **argv)
{
	return remove_object(ctl, argc, argv, CONFIG_TEMPLATE,
			     "template.remove");
}

enum ctl_exit team_list_run(struct ctl *ctl, int argc, char **argv)
{
	return list_objects(ctl, argc, CONFIG_TEAM);
}

enum ctl_exit team_show_run(struct ctl *ctl, int argc, char **argv)
{
	return show_object(ctl, argc, argv, CONFIG_TEAM);
}

enum ctl_exit team_publish_run(struct ctl *ctl, int argc, char **argv)
{
	return publish_objects(ctl, argc, argv, CONFIG_TEAM);
}

enum ctl_exit team_remove_run(struct ctl *ctl, int argc, char **argv)
{
	return remove_object(ctl, argc, argv, CONFIG_TEAM, "team.remove");
}

enum ctl_exit server_list_run(struct ctl *ctl, int argc, char **argv)
{
	return list_objects(ctl, argc, CONFIG_SERVER);
}

enum ctl_exit server_show_run(struct ctl *ctl, int argc, char **argv)
{
	return show_object(ctl, argc, argv, CONFIG_SERVER);
}

enum ctl_exit server_publish_run(struct ctl *ctl, int argc, char **argv)
{
	return publish_objects(ctl, argc, argv, CONFIG_SERVER);
}

static struct config_object *edit_draining(const struct config_object *before,
					   void *arg, struct tgw_error *error)
{
	struct tgw_server server = *before->server;

	server.draining = *(const bool *)arg;
	return config_object_from_server(&server);
}

enum ctl_exit server_drain_run(struct ctl *ctl, int argc, char **argv)
{
	bool draining = true;

	if (argc != 1)
		return CTL_EXIT_USAGE;
	return object_edit(ctl, CONFIG_SERVER, argv[0], "server.drain",
			   (struct object_editor){edit_draining, &draining});
}

enum ctl_exit server_undrain_run(struct ctl *ctl, int argc, char **argv)
{
	bool draining = false;

	if (argc != 1)
		return CTL_EXIT_USAGE;
	return object_edit(ctl, CONFIG_SERVER, argv[0], "server.undrain",
			   (struct object_editor){edit_draining, &draining});
}

enum ctl_exit server_remove_run(struct ctl *ctl, int argc, char **argv)
{
	return remove_object(ctl, argc, argv, CONFIG_SERVER, "server.remove");
}

enum ctl_exit service_list_run(struct ctl *ctl, int argc, char **argv)
{
	return list_objects(ctl, argc, CONFIG_SERVICE);
}

enum ctl_exit service_show_run(struct ctl *ctl, int argc, char **argv)
{
	return show_object(ctl, argc, argv, CONFIG_SERVICE);
}

enum ctl_exit service_remove_run(struct ctl *ctl, int argc, char **argv)
{
	return remove_object(ctl, argc, argv, CONFIG_SERVICE, "service.remove");
}
