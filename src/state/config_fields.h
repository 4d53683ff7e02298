/**
 * @file config_fields.h
 * Builds one configuration object out of keys and values as text, as they
 * stand in a section of an INI file.
 */
#ifndef STATE_CONFIG_FIELDS_H
#define STATE_CONFIG_FIELDS_H

#include <stdbool.h>

#include "state/config_object.h"

/** An object while its fields are read. */
struct config_fields {
	enum config_kind kind;
	bool has_keys;
	bool has_draining;
	struct tgw_template template;
	struct tgw_team team;
	struct config_parameters parameters;
	bool has_parameters;
	struct tgw_server server;
	struct tgw_service service;
};

void config_fields_begin(struct config_fields *fields, enum config_kind kind,
			 const char *name);

/** Sets a field. INVALID with a message that names the key and the remedy. */
enum tgw_status config_fields_set(struct config_fields *fields, const char *key,
				  const char *value, struct tgw_error *error);

/** @return the object; NULL with the error set when a field is missing */
struct config_object *config_fields_finish(struct config_fields *fields,
					   struct tgw_error *error);

void config_fields_clear(struct config_fields *fields);

#endif
