/**
 * @file object_edit.h
 * Changes one object of the configuration and publishes the result.
 */
#ifndef CTL_OBJECT_EDIT_H
#define CTL_OBJECT_EDIT_H

#include "ctl/ctl.h"
#include "state/config_object.h"

/** Computes the new version of an object. */
struct object_editor {
	/**
	 * @param before NULL when the object is to be created
	 * @return the new object; NULL to remove the object, or, with the
	 *         error set, when the edit is invalid
	 */
	struct config_object *(*edit)(const struct config_object *before,
				      void *arg, struct tgw_error *error);
	void *arg;
};

/** Edits an object that exists. Errors are reported to the operator. */
enum ctl_exit object_edit(struct ctl *ctl, enum config_kind kind,
			  const char *name, const char *action,
			  struct object_editor editor);

/** Creates an object that must not exist yet. Errors are reported as above. */
enum ctl_exit object_create(struct ctl *ctl, enum config_kind kind,
			    const char *name, const char *action,
			    struct object_editor editor);

#endif
