/**
 * @file request_identity.h
 * What a crash of a server may be tied to: the whole content of a request that
 * ran there, or one part of its prompt that other requests have, too.
 *
 * A part is known twice: by itself, and together with the service and the model
 * that it ran on, since it may crash the servers of one model only.
 */
#ifndef STATE_REQUEST_IDENTITY_H
#define STATE_REQUEST_IDENTITY_H

#include <stdbool.h>

#include "state/prompt_parts.h"
#include "state/quarantine_table.h"
#include "state/request_fingerprint.h"

/** One part of a prompt, in one of its two forms. */
struct part_identity {
	struct tgw_fingerprint fingerprint;
	char text[QUARANTINE_PART_SIZE]; /**< ID, or ID@SERVICE/MODEL */
};

struct request_part {
	struct part_identity anywhere;
	struct part_identity here; /**< on the service and the model */
};

struct request_identity {
	char team[TGW_NAME_SIZE]; /**< empty without a team */
	struct tgw_fingerprint whole;
	uint32_t part_count;
	struct request_part parts[PROMPT_PARTS_MAX];
};

/** Sets the parts.
 * @param model empty for none */
void request_identity_set_parts(struct request_identity *identity,
				const struct prompt_parts *parts,
				const char *service, const char *model);

/** @return whether the request has the content or the part */
bool request_identity_has(const struct request_identity *identity,
			  const struct tgw_fingerprint *fingerprint);

/** @return whether one of the request's parts has the fingerprint */
bool request_identity_has_part(const struct request_identity *identity,
			       const struct tgw_fingerprint *fingerprint);

#endif
