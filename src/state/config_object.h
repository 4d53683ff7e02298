/**
 * @file config_object.h
 * One object of the configuration: a template, team, server or service.
 *
 * Objects are immutable and reference-counted. The count is not atomic: one
 * thread owns all references to an object.
 */
#ifndef STATE_CONFIG_OBJECT_H
#define STATE_CONFIG_OBJECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/config_snapshot.h"
#include "tamarackgw/status.h"

/** Largest packed object, in bytes. */
#define CONFIG_BODY_MAX_BYTES 8192

enum config_kind {
	CONFIG_TEMPLATE,
	CONFIG_TEAM,
	CONFIG_SERVER,
	CONFIG_SERVICE,
	CONFIG_KIND_COUNT
};

/** The fields of its template that a team overrides. */
struct config_parameters {
	bool has_models;
	bool has_services;
	bool has_work_kinds;
	struct tgw_name_list models;
	struct tgw_name_list services;
	size_t work_kind_count;
	struct tgw_work_kind work_kinds[TGW_WORK_KINDS_MAX];
	int64_t max_output_tokens; /**< 0: not overridden */
	int64_t max_open_requests; /**< 0: not overridden */
};

struct config_object {
	uint32_t references;
	enum config_kind kind;
	uint32_t shard;
	bool is_checked;  /**< config_rules_check_object() has passed */
	const char *name; /**< points into the union's member */
	uint8_t *body;	  /**< packed fields, without the kind and name */
	size_t body_size;
	struct config_parameters *parameters; /**< of a team; may be NULL */
	union {
		struct tgw_template *template;
		struct tgw_team *team;
		struct tgw_server *server;
		struct tgw_service *service;
	};
};

const char *config_kind_name(enum config_kind kind);

/** @return false when no kind has this name */
bool config_kind_parse(const char *name, enum config_kind *kind);

/** A valid name consists of letters, digits, '.', '_' and '-', and is shorter
 * than TGW_NAME_SIZE. */
bool config_name_is_valid(const char *name);

struct config_object *config_object_from_template(
	const struct tgw_template *template);

/** @param parameters may be NULL */
struct config_object *config_object_from_team(
	const struct tgw_team *team,
	const struct config_parameters *parameters);

struct config_object *config_object_from_server(
	const struct tgw_server *server);

struct config_object *config_object_from_service(
	const struct tgw_service *service);

/** @return the decoded object, or NULL with the error set */
struct config_object *config_object_decode(enum config_kind kind,
					   const char *name, const void *body,
					   size_t body_size,
					   struct tgw_error *error);

struct config_object *config_object_ref(struct config_object *object);

void config_object_unref(struct config_object *object);

/** Orders by kind, then name. */
int config_object_compare(enum config_kind kind_a, const char *name_a,
			  enum config_kind kind_b, const char *name_b);

bool config_object_equals(const struct config_object *a,
			  const struct config_object *b);

#endif
