/**
 * @file config_publisher.h
 * Publishes one change of the configuration: checks it, stores its values and
 * commits it by the compare-and-swap of the manifest. When the response of the
 * compare-and-swap is lost, reads the manifest back to learn whether the change
 * was committed.
 */
#ifndef CTL_CONFIG_PUBLISHER_H
#define CTL_CONFIG_PUBLISHER_H

#include "ctl/config_repository.h"

/** A change that an operator proposes. */
struct config_proposal {
	const char *action; /**< for the audit trail, such as "team.publish" */
	const char *object; /**< for the audit trail */
	struct config_set desired; /**< objects to store, also unchanged ones */
	struct config_change_list list; /**< changes of the stored objects */
};

/** Proposes to store an object. Takes over the caller's reference. An object
 * that equals the stored one makes no change. The object's shard must have been
 * read. */
void config_proposal_put(struct config_proposal *proposal,
			 const struct config_repository *repository,
			 struct config_object *object);

/** Proposes to remove a stored object. */
void config_proposal_remove(struct config_proposal *proposal,
			    const struct config_object *object);

void config_proposal_clear(struct config_proposal *proposal);

/** Checks the change, and publishes it or, in a dry run, prints it. */
enum ctl_exit config_publish(struct ctl *ctl,
			     struct config_repository *repository,
			     struct config_proposal *proposal);

#endif
