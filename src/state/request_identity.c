#include "state/request_identity.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

static void set_part(struct part_identity *part, const char *id,
		     const char *service, const char *model)
{
	/* Longer than the text, which is cut. */
	char name[PROMPT_PART_ID_SIZE + 2 * TGW_NAME_SIZE];
	XXH128_hash_t hash;
	int size;

	if (service)
		size = snprintf(name, sizeof(name), "%s@%s/%s", id, service,
				model);
	else
		size = snprintf(name, sizeof(name), "%s", id);
	if (size >= (int)sizeof(name))
		size = (int)sizeof(name) - 1;
	hash = XXH3_128bits(name, (size_t)size);
	static_assert(sizeof(hash) == sizeof(part->fingerprint),
		      "both 128 bit");
	memcpy(&part->fingerprint, &hash, sizeof(hash));
	snprintf(part->text, sizeof(part->text), "%.*s",
		 QUARANTINE_PART_SIZE - 1, name);
}

void request_identity_set_parts(struct request_identity *identity,
				const struct prompt_parts *parts,
				const char *service, const char *model)
{
	identity->part_count = parts->count;
	for (uint32_t i = 0; i < parts->count; i++) {
		struct request_part *part = &identity->parts[i];

		set_part(&part->anywhere, parts->ids[i], NULL, NULL);
		set_part(&part->here, parts->ids[i], service, model);
	}
}

static bool is_same(const struct tgw_fingerprint *a,
		    const struct tgw_fingerprint *b)
{
	return !memcmp(a, b, sizeof(*a));
}

bool request_identity_has_part(const struct request_identity *identity,
			       const struct tgw_fingerprint *fingerprint)
{
	for (uint32_t i = 0; i < identity->part_count; i++)
		if (is_same(&identity->parts[i].anywhere.fingerprint,
			    fingerprint) ||
		    is_same(&identity->parts[i].here.fingerprint, fingerprint))
			return true;
	return false;
}

bool request_identity_has(const struct request_identity *identity,
			  const struct tgw_fingerprint *fingerprint)
{
	return is_same(&identity->whole, fingerprint) ||
	       request_identity_has_part(identity, fingerprint);
}
