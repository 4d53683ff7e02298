/**
 * @file config_snapshot.h
 * The configuration in force at a host: an immutable snapshot of one
 * generation, which the threads that serve requests read under
 * read-copy-update.
 */
#ifndef TAMARACKGW_CONFIG_SNAPSHOT_H
#define TAMARACKGW_CONFIG_SNAPSHOT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/host_view.h"

#define TGW_KEY_HASH_BYTES 32
#define TGW_TEAM_KEYS_MAX 2
#define TGW_WORK_KINDS_MAX 8
#define TGW_LIST_MAX 16
#define TGW_METHOD_SIZE 12

/** Urgency of a request. A smaller value is more urgent. */
enum tgw_urgency {
	TGW_URGENCY_IMMEDIATE,
	TGW_URGENCY_HIGH,
	TGW_URGENCY_NORMAL,
	TGW_URGENCY_BATCH,
	TGW_URGENCY_COUNT
};

/** @return "immediate", "high", "normal" or "batch" */
const char *tgw_urgency_name(enum tgw_urgency urgency);

/** A short list of names. */
struct tgw_name_list {
	size_t count;
	char names[TGW_LIST_MAX][TGW_NAME_SIZE];
};

/** A kind of work, such as "summary" or "triage". */
struct tgw_work_kind {
	char name[TGW_NAME_SIZE];
	enum tgw_urgency urgency;
	int64_t deadline_ms; /**< for requests without a deadline */
};

/** Settings that several teams have in common. */
struct tgw_template {
	char name[TGW_NAME_SIZE];
	struct tgw_name_list models;   /**< permitted models */
	struct tgw_name_list services; /**< permitted services */
	size_t work_kind_count;
	struct tgw_work_kind work_kinds[TGW_WORK_KINDS_MAX];
	/** Limit of output tokens for a request without a limit of its own. */
	int64_t max_output_tokens;
	/** Added to the token bound of each prompt, for the text that the
	 * model's chat template puts around it. */
	int64_t prompt_fixed_tokens;
	int64_t service_call_tokens; /**< charged for a service call */
	int64_t max_open_requests;   /**< of one team at one host */
};

/** A team, which refers to a template and can override parts of it. */
struct tgw_team {
	char name[TGW_NAME_SIZE];
	char template_name[TGW_NAME_SIZE];
	char budget[TGW_NAME_SIZE]; /**< id of the prepaid budget */
	size_t key_count;
	/** BLAKE2b of each caller key; the key itself is not stored. */
	uint8_t key_hashes[TGW_TEAM_KEYS_MAX][TGW_KEY_HASH_BYTES];
	/** Owned by the same snapshot; the team's parameters are already
	 * applied to it. */
	const struct tgw_template *template;
};

/** What a backend server runs. */
enum tgw_server_kind {
	TGW_SERVER_MODEL,
	TGW_SERVER_SERVICE,
};

/** A backend server. */
struct tgw_server {
	char name[TGW_NAME_SIZE];
	char failure_domain[TGW_NAME_SIZE];
	char url[TGW_URL_SIZE]; /**< HTTP base URL without a final slash */
	enum tgw_server_kind kind;
	struct tgw_name_list models; /**< models and adapters it serves */
	char service[TGW_NAME_SIZE]; /**< set if TGW_SERVER_SERVICE */
	bool can_resume;
	bool can_cancel;
	bool checks_fencing;
	bool draining; /**< an operator drains the server */
	int64_t slots; /**< requests that it runs concurrently */
};

/** A service other than a model, and which calls of it may be repeated. */
struct tgw_service {
	char name[TGW_NAME_SIZE];
	/** HTTP methods that may be repeated; all others run at most once. */
	size_t repeatable_count;
	char repeatable[TGW_LIST_MAX][TGW_METHOD_SIZE];
};

/** One generation of the whole configuration. */
struct tgw_config_snapshot {
	uint64_t generation;
	size_t template_count;
	struct tgw_template *templates; /**< sorted by name */
	size_t team_count;
	struct tgw_team *teams; /**< sorted by name */
	size_t server_count;
	struct tgw_server *servers; /**< sorted by name */
	size_t service_count;
	struct tgw_service *services;	/**< sorted by name */
	struct tgw_config_index *index; /**< teams by key hash */
};

const struct tgw_template *tgw_config_find_template(
	const struct tgw_config_snapshot *config, const char *name);

const struct tgw_team *tgw_config_find_team(
	const struct tgw_config_snapshot *config, const char *name);

/** Finds the team that a caller's key belongs to. This is a hash-table
 * lookup, and each comparison of key hashes takes constant time.
 * @return NULL when no team has the key */
const struct tgw_team *tgw_config_find_team_by_key(
	const struct tgw_config_snapshot *config, const char *key,
	size_t key_size);

const struct tgw_server *tgw_config_find_server(
	const struct tgw_config_snapshot *config, const char *name);

const struct tgw_service *tgw_config_find_service(
	const struct tgw_config_snapshot *config, const char *name);

/** @return the kind of work with this name, or NULL */
const struct tgw_work_kind *tgw_template_find_work_kind(
	const struct tgw_template *template, const char *name);

bool tgw_name_list_has(const struct tgw_name_list *list, const char *name);

bool tgw_service_may_repeat(const struct tgw_service *service,
			    const char *method);

/** Computes the key hash that the configuration stores. */
void tgw_key_hash(const char *key, size_t key_size,
		  uint8_t hash[TGW_KEY_HASH_BYTES]);

void tgw_config_snapshot_free(struct tgw_config_snapshot *config);

#endif
