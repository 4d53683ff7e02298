/**
 * @file config_fields.h
 * Builds one configuration object from the keys and values of a section of
 * an INI file.
 */
#ifndef STATE_CONFIG_FIELDS_H
#define STATE_CONFIG_FIELDS_H

#include <stdbool.h>

#include "state/config_object.h"

/** An object that is being built; only the member of its kind is used. */
struct config_fields {
	enum config_kind kind;
	bool has_keys;	   /**< a key_hash was set */
	bool has_draining; /**< draining was set */
	struct tgw_template template;
	struct tgw_team team;
	struct config_parameters parameters;
	bool has_parameters; /**< the team overrides a template field */
	struct tgw_server server;
	struct tgw_service service;
};

void config_fields_begin(struct config_fields *fields, enum config_kind kind,
			 const char *name);

/** Sets a field from its text. When the key or value is not valid, the error is
 * INVALID and its message names the key and the remedy. */
enum tgw_status config_fields_set(struct config_fields *fields, const char *key,
				  const char *value, struct tgw_error *error);

/** @return the new object; NULL with the error set when a field is missing */
struct config_object *config_fields_finish(struct config_fields *fields,
					   struct tgw_error *error);

/** Wipes the key hashes of a team from memory. */
void config_fields_clear(struct config_fields *fields);

#endif
