#include "ctl/config_publisher.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/config_print.h"
#include "ctl/ctl_session.h"
#include "state/config_commit.h"
#include "state/config_rules.h"
#include "tamarackgw/store.h"

/* Maximum attempts at a write that fails with a timeout or a lost response, and
 * the pause between them. If the outcome of the manifest's write is unknown
 * after the last attempt, it is reported as unknown. */
#define MAX_WRITE_ATTEMPTS 12
#define RETRY_PAUSE_MS 500

void config_proposal_put(struct config_proposal *proposal,
			 const struct config_repository *repository,
			 struct config_object *object)
{
	const struct config_object *before =
		config_set_find(&repository->set, object->kind, object->name);

	if (!config_object_equals(before, object))
		config_change_list_add(&proposal->list, before, object);
	config_set_put(&proposal->desired, object);
}

void config_proposal_remove(struct config_proposal *proposal,
			    const struct config_object *object)
{
	config_change_list_add(&proposal->list, object, NULL);
}

void config_proposal_clear(struct config_proposal *proposal)
{
	config_set_clear(&proposal->desired);
	config_change_list_clear(&proposal->list);
}

static bool list_has_team_update(const struct config_change_list *list)
{
	for (size_t i = 0; i < list->count; i++)
		if (list->changes[i].kind == CONFIG_TEAM &&
		    list->changes[i].after.data)
			return true;
	return false;
}

static bool list_has_removal(const struct config_change_list *list)
{
	for (size_t i = 0; i < list->count; i++)
		if (!list->changes[i].after.data)
			return true;
	return false;
}

static bool list_has_kind(const struct config_change_list *list,
			  enum config_kind kind)
{
	for (size_t i = 0; i < list->count; i++)
		if (list->changes[i].kind == kind)
			return true;
	return false;
}

/* Whether the change has to be checked against all objects: no two teams may
 * have a key in common, and an object that others refer to must still exist and
 * permit their values. */
static bool needs_full_check(const struct config_proposal *proposal)
{
	return list_has_removal(&proposal->list) ||
	       list_has_team_update(&proposal->list) ||
	       list_has_kind(&proposal->list, CONFIG_TEMPLATE);
}

static enum tgw_status load_referenced_shard(
	struct config_repository *repository,
	const struct config_object *object, struct tgw_error *error)
{
	if (object->kind == CONFIG_SERVER &&
	    object->server->kind == TGW_SERVER_SERVICE)
		return config_repository_load_shard_of(repository,
						       CONFIG_SERVICE,
						       object->server->service,
						       error);
	return TGW_OK;
}

/* Checks the configuration as it would be after the change. */
static enum tgw_status check_proposal(struct config_repository *repository,
				      const struct config_proposal *proposal,
				      struct tgw_error *error)
{
	struct config_set after = {0};
	enum tgw_status status = TGW_OK;
	bool full = needs_full_check(proposal);

	if (full)
		status = config_repository_load_all(repository, error);
	for (size_t i = 0; i < proposal->desired.count && status == TGW_OK; i++)
		status = load_referenced_shard(
			repository, proposal->desired.objects[i], error);
	if (status != TGW_OK)
		return status;
	config_set_copy(&after, &repository->set);
	status = config_change_list_apply(&proposal->list, &after, error);
	if (status == TGW_OK && full)
		status = config_rules_check_set(&after, NULL, error);
	for (size_t i = 0; i < proposal->desired.count && status == TGW_OK;
	     i++) {
		status = config_rules_check_object(proposal->desired.objects[i],
						   error);
		if (status == TGW_OK)
			status = config_rules_check_references(
				&after, proposal->desired.objects[i], error);
	}
	config_set_clear(&after);
	return status;
}

static enum tgw_status store_value(struct ctl *ctl,
				   const struct config_write *write,
				   struct tgw_error *error)
{
	enum tgw_status status = TGW_UNKNOWN;

	for (int i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
		status = ctl_swap(ctl, write->key, TGW_STORE_ABSENT,
				  write->value, write->value_size, error);
		/* Shard and part keys contain a digest, and segment keys the
		 * generations of committed changes, so no two values have the
		 * same key. A conflict means that this value is stored. */
		if (status == TGW_OK || status == TGW_CONFLICT)
			return TGW_OK;
		if (status != TGW_UNKNOWN && status != TGW_TIMEOUT)
			return status;
		ctl_session_sleep_ms(RETRY_PAUSE_MS);
	}
	return tgw_error_set(error, TGW_UNAVAILABLE,
			     "the store did not answer %d writes of %s; "
			     "nothing was changed, try again later",
			     MAX_WRITE_ATTEMPTS, write->key);
}

static void delete_key(struct ctl *ctl, const char *key)
{
	struct buffer value = {0};
	struct tgw_error ignored;
	int64_t version;

	if (ctl_get(ctl, key, &value, &version, &ignored) == TGW_OK &&
	    version != TGW_STORE_ABSENT)
		ctl_swap(ctl, key, version, NULL, 0, &ignored);
	buffer_free(&value);
}

/* Deletes the shards that were stored for a commit that lost a race, except
 * those that the current manifest refers to. */
static void delete_unused_shards(struct ctl *ctl,
				 const struct config_commit *commit,
				 const struct config_manifest *current)
{
	for (size_t i = 0; i < commit->write_count; i++) {
		const char *key = commit->writes[i].key;
		bool is_used = strncmp(key, "tgw/config/shard/", 17) != 0;

		for (uint32_t shard = 0; shard < CONFIG_SHARD_COUNT; shard++) {
			char used[CONFIG_KEY_SIZE];

			config_shard_key(used, shard, &current->shards[shard]);
			is_used = is_used || !strcmp(used, key);
		}
		if (!is_used)
			delete_key(ctl, key);
	}
}

enum commit_outcome {
	COMMIT_DONE,
	COMMIT_LOST_RACE,
	/* The manifest is unchanged; the compare-and-swap can be retried. */
	COMMIT_NOT_DONE,
	/* The manifest can't be read, or is older than the commit. */
	COMMIT_UNREADABLE,
};

/* Reads the manifest back and finds out whether a commit was stored. */
static enum commit_outcome read_commit_outcome(
	struct ctl *ctl, const struct config_commit *commit,
	int64_t expected_version, struct config_repository *current)
{
	const struct config_manifest *proposed = &commit->manifest;
	const struct audit_entry *audit =
		&proposed->deltas[proposed->delta_count - 1].audit;
	struct config_delta *deltas = NULL;
	size_t count = 0;
	struct tgw_error error;
	enum commit_outcome outcome = COMMIT_LOST_RACE;

	if (config_repository_open(current, ctl, &error) != TGW_OK)
		return COMMIT_UNREADABLE;
	if (current->version == expected_version)
		return COMMIT_NOT_DONE;
	if (current->manifest.generation < proposed->generation)
		return COMMIT_UNREADABLE;
	if (config_repository_history(current, proposed->generation - 1, false,
				      &deltas, &count, &error) != TGW_OK)
		outcome = COMMIT_UNREADABLE;
	else if (count &&
		 !memcmp(deltas[0].audit.hash, audit->hash, AUDIT_HASH_BYTES))
		outcome = COMMIT_DONE;
	for (size_t i = 0; i < count; i++)
		config_delta_clear(&deltas[i]);
	free(deltas);
	return outcome;
}

static enum ctl_exit report_conflict(struct ctl *ctl, uint64_t generation,
				     struct config_repository *current)
{
	struct config_delta *deltas = NULL;
	size_t count = 0;
	struct tgw_error error;

	fprintf(stderr,
		"tamarackgwctl: nothing was changed: another operator's "
		"change came first.\n");
	if (config_repository_history(current, generation, false, &deltas,
				      &count, &error) == TGW_OK)
		config_print_history(ctl, deltas, count, stderr);
	for (size_t i = 0; i < count; i++)
		config_delta_clear(&deltas[i]);
	free(deltas);
	fprintf(stderr, "Check that change, then run your command again.\n");
	return CTL_EXIT_CONFLICT;
}

static enum ctl_exit report_committed(struct ctl *ctl,
				      const struct config_commit *commit,
				      bool answer_was_lost)
{
	if (ctl->json)
		printf("{\"generation\": %" PRIu64
		       ", \"answer_was_lost\": %s}\n",
		       commit->manifest.generation,
		       answer_was_lost ? "true" : "false");
	else
		printf("Generation %" PRIu64 " is accepted%s.\n",
		       commit->manifest.generation,
		       answer_was_lost ? " (the store's response was lost, but "
					 "the change was stored)"
				       : "");
	for (size_t i = 0; i < commit->retired_count; i++)
		delete_key(ctl, commit->retired[i]);
	return CTL_EXIT_OK;
}

static enum ctl_exit commit_manifest(struct ctl *ctl,
				     const struct config_repository *repository,
				     const struct config_commit *commit)
{
	enum tgw_status status;
	struct tgw_error error;
	msgpack_sbuffer value;
	enum ctl_exit result = CTL_EXIT_UNKNOWN;
	bool answer_was_lost = false;

	msgpack_sbuffer_init(&value);
	config_manifest_encode(&commit->manifest, &value);
	for (int i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
		struct config_repository current;
		enum commit_outcome outcome;

		status = ctl_swap(ctl, CONFIG_MANIFEST_KEY, repository->version,
				  value.data, value.size, &error);
		if (status == TGW_OK) {
			result = report_committed(ctl, commit, false);
			goto out;
		}
		if (status != TGW_CONFLICT && status != TGW_UNKNOWN &&
		    status != TGW_TIMEOUT && !answer_was_lost) {
			result = ctl_report(&error);
			goto out;
		}
		answer_was_lost = answer_was_lost || status != TGW_CONFLICT;
		outcome = read_commit_outcome(ctl, commit, repository->version,
					      &current);
		if (outcome == COMMIT_DONE)
			result = report_committed(ctl, commit, true);
		if (outcome == COMMIT_LOST_RACE) {
			result = report_conflict(
				ctl, repository->manifest.generation, &current);
			delete_unused_shards(ctl, commit, &current.manifest);
		}
		config_repository_close(&current);
		if (outcome == COMMIT_DONE || outcome == COMMIT_LOST_RACE)
			goto out;
		ctl_session_sleep_ms(RETRY_PAUSE_MS);
	}
	fprintf(stderr,
		"tamarackgwctl: it is unknown whether generation %" PRIu64
		" was committed: %s. Run 'tamarackgwctl config history' when the "
		"store answers again.\n",
		commit->manifest.generation, error.message);
out:
	msgpack_sbuffer_destroy(&value);
	return result;
}

static enum tgw_status read_needed_shards(
	struct config_repository *repository,
	const struct config_proposal *proposal, struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	for (uint32_t i = 0; i < CONFIG_SHARD_COUNT && status == TGW_OK; i++)
		if (config_commit_needs_shard(&repository->manifest,
					      &proposal->list, i))
			status = config_repository_load_shard(repository, i,
							      error);
	return status;
}

static enum ctl_exit store_change(struct ctl *ctl,
				  struct config_repository *repository,
				  const struct config_proposal *proposal)
{
	struct config_commit commit = {0};
	struct audit_entry audit;
	struct tgw_error error;
	enum tgw_status status;
	enum ctl_exit result;

	ctl_audit_begin(ctl, &audit, proposal->action, proposal->object);
	config_audit_set_texts(&proposal->list, &audit);
	status = read_needed_shards(repository, proposal, &error);
	if (status == TGW_OK)
		status = config_commit_prepare(&commit, &repository->manifest,
					       &repository->set,
					       &proposal->list, &audit, &error);
	for (size_t i = 0; i < commit.write_count && status == TGW_OK; i++)
		status = store_value(ctl, &commit.writes[i], &error);
	result = status == TGW_OK ? commit_manifest(ctl, repository, &commit)
				  : ctl_report(&error);
	config_commit_clear(&commit);
	return result;
}

enum ctl_exit config_publish(struct ctl *ctl,
			     struct config_repository *repository,
			     struct config_proposal *proposal)
{
	struct tgw_error error;

	if (check_proposal(repository, proposal, &error) != TGW_OK)
		return ctl_report(&error);
	if (!proposal->list.count) {
		if (ctl->json)
			printf("{\"generation\": %" PRIu64
			       ", \"unchanged\": true}\n",
			       repository->manifest.generation);
		else
			printf("Nothing changes; generation %" PRIu64
			       " stays.\n",
			       repository->manifest.generation);
		return CTL_EXIT_OK;
	}
	if (ctl->dry_run) {
		config_print_changes(ctl, &proposal->list);
		return CTL_EXIT_OK;
	}
	if (!ctl->reason || !*ctl->reason || !ctl->who) {
		fprintf(stderr, "tamarackgwctl: each change needs a reason and "
				"a name; give --reason TEXT and --as NAME\n");
		return CTL_EXIT_USAGE;
	}
	return store_change(ctl, repository, proposal);
}
