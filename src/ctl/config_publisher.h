/**
 * @file config_publisher.h
 * Carries out one change of the configuration: shows it, checks it as a
 * whole, stores it, and finds out what became of a lost answer.
 */
#ifndef CTL_CONFIG_PUBLISHER_H
#define CTL_CONFIG_PUBLISHER_H

#include "ctl/config_repository.h"

/** What an operator wants to change. */
struct config_proposal {
	const char *action;	  /**< for the audit trail, "team.publish" */
	const char *object;	  /**< for the audit trail */
	struct config_set wanted; /**< objects as they shall be */
	struct config_change_list list;
};

/** Adds an object that shall be so; takes over the reference. An object that
 * is so already makes no change. Its shard must have been read. */
void config_proposal_put(struct config_proposal *proposal,
			 const struct config_repository *repository,
			 struct config_object *object);

/** Adds the removal of an object that exists. */
void config_proposal_remove(struct config_proposal *proposal,
			    const struct config_object *object);

void config_proposal_clear(struct config_proposal *proposal);

/** Checks and publishes, or only shows the change on a dry run. */
enum ctl_exit config_publish(struct ctl *ctl,
			     struct config_repository *repository,
			     struct config_proposal *proposal);

#endif
