/**
 * @file config_rules.h
 * The rules that a configuration has to keep, checked by the operators'
 * tool before it publishes and by each host before it applies.
 */
#ifndef STATE_CONFIG_RULES_H
#define STATE_CONFIG_RULES_H

#include "state/config_set.h"
#include "tamarackgw/status.h"

/** Checks an object by itself. The message names the key and the remedy. */
enum tgw_status config_rules_check_object(const struct config_object *object,
					  struct tgw_error *error);

/** Checks what an object refers to. */
enum tgw_status config_rules_check_references(
	const struct config_set *set, const struct config_object *object,
	struct tgw_error *error);

/** Checks all objects, and that no two teams share a key.
 * @param offender receives the object at fault; may be NULL */
enum tgw_status config_rules_check_set(const struct config_set *set,
				       const struct config_object **offender,
				       struct tgw_error *error);

#endif
