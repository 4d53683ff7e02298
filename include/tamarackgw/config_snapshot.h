/**
 * @file config_snapshot.h
 * The configuration in force at a host: an immutable, versioned value that
 * the callers' side reads under read-copy-update.
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

/** How soon work has to be done. Smaller is more urgent. */
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

/** A kind of work, such as "summary" or "triage", and its treatment. */
struct tgw_work_kind {
	char name[TGW_NAME_SIZE];
	enum tgw_urgency urgency;
	int64_t deadline_ms; /**< for requests that bring none */
};

/** What teams of one sort have in common. */
struct tgw_template {
	char name[TGW_NAME_SIZE];
	struct tgw_name_list models;   /**< permitted models */
	struct tgw_name_list services; /**< permitted plain services */
	size_t work_kind_count;
	struct tgw_work_kind work_kinds[TGW_WORK_KINDS_MAX];
	int64_t max_output_tokens;   /**< answer limit when none is asked */
	int64_t prompt_fixed_tokens; /**< chat frame around the prompt */
	int64_t service_call_tokens; /**< charge for a plain service call */
	int64_t max_open_requests;   /**< per team and host */
};

/** A team: a template with its parameters filled in. */
struct tgw_team {
	char name[TGW_NAME_SIZE];
	char template_name[TGW_NAME_SIZE];
	char budget[TGW_NAME_SIZE]; /**< id of the prepaid budget */
	size_t key_count;
	/** BLAKE2b of each caller key; the key itself is kept nowhere. */
	uint8_t key_hashes[TGW_TEAM_KEYS_MAX][TGW_KEY_HASH_BYTES];
	/** In the same snapshot; the team's own parameters are worked in. */
	const struct tgw_template *template;
};

/** What runs on a backend server. */
enum tgw_server_kind {
	TGW_SERVER_MODEL,
	TGW_SERVER_SERVICE,
};

/** A backend server. */
struct tgw_server {
	char name[TGW_NAME_SIZE];
	char failure_domain[TGW_NAME_SIZE];
	char url[TGW_URL_SIZE]; /**< HTTP base, no slash at the end */
	enum tgw_server_kind kind;
	struct tgw_name_list models; /**< models and adapters it serves */
	char service[TGW_NAME_SIZE]; /**< for TGW_SERVER_SERVICE */
	bool can_resume;
	bool can_cancel;
	bool checks_fencing;
	bool draining; /**< an operator's drain */
	int64_t slots; /**< requests it runs at once */
};

/** A plain service and which of its calls may be repeated. */
struct tgw_service {
	char name[TGW_NAME_SIZE];
	/** Methods that may be repeated; all others run at most once. */
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
	struct tgw_config_index *index; /**< for the look-ups below */
};

const struct tgw_template *tgw_config_find_template(
	const struct tgw_config_snapshot *config, const char *name);

const struct tgw_team *tgw_config_find_team(
	const struct tgw_config_snapshot *config, const char *name);

/** Finds the team that a caller's key belongs to, in constant time a key. */
const struct tgw_team *tgw_config_find_team_by_key(
	const struct tgw_config_snapshot *config, const char *key,
	size_t key_size);

const struct tgw_server *tgw_config_find_server(
	const struct tgw_config_snapshot *config, const char *name);

const struct tgw_service *tgw_config_find_service(
	const struct tgw_config_snapshot *config, const char *name);

/** @return the kind of work of that name, or NULL */
const struct tgw_work_kind *tgw_template_find_work_kind(
	const struct tgw_template *template, const char *name);

bool tgw_name_list_has(const struct tgw_name_list *list, const char *name);

bool tgw_service_may_repeat(const struct tgw_service *service,
			    const char *method);

/** Hashes a caller's key as the configuration keeps it. */
void tgw_key_hash(const char *key, size_t key_size,
		  uint8_t hash[TGW_KEY_HASH_BYTES]);

void tgw_config_snapshot_free(struct tgw_config_snapshot *config);

#endif
