/**
 * @file config_rules.h
 * The rules that a configuration has to satisfy. tamarackgwctl checks them
 * before it publishes a configuration, and each host before it applies one.
 */
#ifndef STATE_CONFIG_RULES_H
#define STATE_CONFIG_RULES_H

#include "state/config_set.h"
#include "tamarackgw/status.h"

/** Checks an object without the objects that it refers to. The error message
 * names the key and the remedy. */
enum tgw_status config_rules_check_object(const struct config_object *object,
					  struct tgw_error *error);

/** Checks that the objects which an object refers to exist and permit its
 * values. */
enum tgw_status config_rules_check_references(
	const struct config_set *set, const struct config_object *object,
	struct tgw_error *error);

/** Checks all objects and their references, and that no key of a team occurs
 * twice.
 * @param offender receives the object that breaks a rule, or NULL when none
 * does; may be NULL */
enum tgw_status config_rules_check_set(const struct config_set *set,
				       const struct config_object **offender,
				       struct tgw_error *error);

#endif
