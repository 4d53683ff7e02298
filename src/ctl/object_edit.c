#include "ctl/object_edit.h"

#include "ctl/config_publisher.h"

static enum ctl_exit apply_edit(struct ctl *ctl,
				struct config_repository *repository,
				const struct config_object *before,
				const char *name, const char *action,
				struct object_editor editor)
{
	struct config_proposal proposal = {.action = action, .object = name};
	struct config_object *after;
	struct tgw_error error;
	enum ctl_exit result;

	tgw_error_clear(&error);
	after = editor.edit(before, editor.arg, &error);
	if (error.status != TGW_OK)
		return ctl_report(&error);
	if (after)
		config_proposal_put(&proposal, repository, after);
	else
		config_proposal_remove(&proposal, before);
	result = config_publish(ctl, repository, &proposal);
	config_proposal_clear(&proposal);
	return result;
}

enum ctl_exit object_edit(struct ctl *ctl, enum config_kind kind,
			  const char *name, const char *action,
			  struct object_editor editor)
{
	struct config_repository repository;
	struct config_object *before;
	struct tgw_error error;
	enum ctl_exit result;

	if (config_repository_open(&repository, ctl, &error) != TGW_OK ||
	    config_repository_find(&repository, kind, name, &before, &error) !=
		    TGW_OK) {
		result = ctl_report(&error);
	} else {
		/* Keeps the object alive if the publication reads its shard
		 * again. */
		config_object_ref(before);
		result = apply_edit(ctl, &repository, before, name, action,
				    editor);
		config_object_unref(before);
	}
	config_repository_close(&repository);
	return result;
}

enum ctl_exit object_create(struct ctl *ctl, enum config_kind kind,
			    const char *name, const char *action,
			    struct object_editor editor)
{
	struct config_repository repository;
	struct config_object *before = NULL;
	struct tgw_error error;
	enum ctl_exit result;
	enum tgw_status status =
		config_repository_open(&repository, ctl, &error);

	if (status == TGW_OK)
		status = config_repository_find(&repository, kind, name,
						&before, &error);
	if (status == TGW_OK)
		tgw_error_set(&error, TGW_INVALID,
			      "%s %s already exists; choose another name",
			      config_kind_name(kind), name);
	result = status == TGW_NOT_FOUND ? apply_edit(ctl, &repository, NULL,
						      name, action, editor)
					 : ctl_report(&error);
	config_repository_close(&repository);
	return result;
}
