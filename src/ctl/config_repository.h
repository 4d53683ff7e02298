/**
 * @file config_repository.h
 * The configuration in the store. The manifest is read first, and each shard
 * when its objects are needed.
 */
#ifndef CTL_CONFIG_REPOSITORY_H
#define CTL_CONFIG_REPOSITORY_H

#include "ctl/ctl.h"
#include "state/config_manifest.h"

struct config_repository {
	struct ctl *ctl;
	struct config_manifest manifest; /**< generation 0: nothing stored */
	int64_t version;		 /**< of the manifest's key */
	struct config_set set; /**< objects of the shards read so far */
	bool has_shard[CONFIG_SHARD_COUNT]; /**< shards read so far */
};

/** Reads the manifest. */
enum tgw_status config_repository_open(struct config_repository *repository,
				       struct ctl *ctl,
				       struct tgw_error *error);

/** Reads the shard that contains an object or would contain it, unless it has
 * been read. */
enum tgw_status config_repository_load_shard_of(
	struct config_repository *repository, enum config_kind kind,
	const char *name, struct tgw_error *error);

/** Reads a shard unless it has been read. */
enum tgw_status config_repository_load_shard(
	struct config_repository *repository, uint32_t shard,
	struct tgw_error *error);

/** Reads all shards that have not been read. */
enum tgw_status config_repository_load_all(struct config_repository *repository,
					   struct tgw_error *error);

/** Finds an object and reads its shard if needed.
 * @param object owned by the repository's set
 * @return NOT_FOUND when there is no such object */
enum tgw_status config_repository_find(struct config_repository *repository,
				       enum config_kind kind, const char *name,
				       struct config_object **object,
				       struct tgw_error *error);

void config_repository_close(struct config_repository *repository);

/** Reads the deltas of the generations above a given one, oldest first.
 * @param with_parts also reads the changes that are stored in parts outside the
 *        manifest
 * @param deltas to be cleared one by one, then freed, also after an error */
enum tgw_status config_repository_history(struct config_repository *repository,
					  uint64_t above_generation,
					  bool with_parts,
					  struct config_delta **deltas,
					  size_t *count,
					  struct tgw_error *error);

#endif
