/**
 * @file object_edit.h
 * Changes one object of the configuration.
 */
#ifndef CTL_OBJECT_EDIT_H
#define CTL_OBJECT_EDIT_H

#include "ctl/ctl.h"
#include "state/config_object.h"

/** How an object is changed. */
struct object_editor {
	/**
	 * @param before NULL when the object is to be created
	 * @return the object as it shall be; NULL to remove it, or with the
	 *         error set when it can't be so
	 */
	struct config_object *(*edit)(const struct config_object *before,
				      void *arg, struct tgw_error *error);
	void *arg;
};

/** Reads an object that exists, edits and publishes it. */
enum ctl_exit object_edit(struct ctl *ctl, enum config_kind kind,
			  const char *name, const char *action,
			  struct object_editor editor);

/** Makes an object that must not exist yet, and publishes it. */
enum ctl_exit object_create(struct ctl *ctl, enum config_kind kind,
			    const char *name, const char *action,
			    struct object_editor editor);

#endif
