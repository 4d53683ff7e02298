/**
 * @file config_repository.h
 * The configuration as the store holds it. Shards are read when they are
 * needed.
 */
#ifndef CTL_CONFIG_REPOSITORY_H
#define CTL_CONFIG_REPOSITORY_H

#include "ctl/ctl.h"
#include "state/config_manifest.h"

struct config_repository {
	struct ctl *ctl;
	struct config_manifest manifest; /**< generation 0: none yet */
	int64_t version;		 /**< of the manifest's key */
	struct config_set set;		 /**< objects of the shards read */
	bool has_shard[CONFIG_SHARD_COUNT];
};

enum tgw_status config_repository_open(struct config_repository *repository,
				       struct ctl *ctl,
				       struct tgw_error *error);

/** Reads the shard that an object is, or would be, in. */
enum tgw_status config_repository_need(struct config_repository *repository,
				       enum config_kind kind, const char *name,
				       struct tgw_error *error);

enum tgw_status config_repository_need_shard(
	struct config_repository *repository, uint32_t shard,
	struct tgw_error *error);

enum tgw_status config_repository_need_all(struct config_repository *repository,
					   struct tgw_error *error);

/** Reads an object. NOT_FOUND when there is none. */
enum tgw_status config_repository_find(struct config_repository *repository,
				       enum config_kind kind, const char *name,
				       struct config_object **object,
				       struct tgw_error *error);

void config_repository_close(struct config_repository *repository);

/** All generations above one, oldest first, with their whole changes.
 * @param deltas to be cleared one by one, then freed */
enum tgw_status config_repository_history(struct config_repository *repository,
					  uint64_t above_generation,
					  bool with_large,
					  struct config_delta **deltas,
					  size_t *count,
					  struct tgw_error *error);

#endif
