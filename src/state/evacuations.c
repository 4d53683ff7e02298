#include "state/evacuations.h"

#include <string.h>

#include "base/short_name.h"

static struct evacuation *find(struct evacuations *evacuations,
			       const char *failure_domain)
{
	for (size_t i = 0; i < evacuations->count; i++)
		if (!strcmp(evacuations->items[i].failure_domain,
			    failure_domain))
			return &evacuations->items[i];
	return NULL;
}

/* @return the one whose evacuation ended first; NULL if none has */
static struct evacuation *find_oldest_ended(struct evacuations *evacuations)
{
	struct evacuation *oldest = NULL;

	for (size_t i = 0; i < evacuations->count; i++) {
		struct evacuation *item = &evacuations->items[i];

		if (!item->active &&
		    (!oldest || item->version < oldest->version))
			oldest = item;
	}
	return oldest;
}

/* @return NULL if there is no room */
static struct evacuation *add(struct evacuations *evacuations,
			      const char *failure_domain)
{
	struct evacuation *added;

	if (evacuations->count < EVACUATIONS_MAX)
		added = &evacuations->items[evacuations->count++];
	else
		added = find_oldest_ended(evacuations);
	if (!added)
		return NULL;
	memset(added, 0, sizeof(*added));
	short_name_copy(added->failure_domain, failure_domain);
	return added;
}

enum evacuations_result evacuations_set(struct evacuations *evacuations,
					const char *failure_domain, bool active,
					int64_t version)
{
	struct evacuation *found = find(evacuations, failure_domain);
	bool changed;

	if (!found)
		found = add(evacuations, failure_domain);
	if (!found)
		return EVACUATIONS_FULL;
	if (version && version < found->version)
		return EVACUATIONS_UNCHANGED;
	changed = found->active != active;
	found->active = active;
	if (version)
		found->version = version;
	return changed ? EVACUATIONS_CHANGED : EVACUATIONS_UNCHANGED;
}

bool evacuations_has(const struct evacuations *evacuations,
		     const char *failure_domain)
{
	for (size_t i = 0; i < evacuations->count; i++)
		if (evacuations->items[i].active &&
		    !strcmp(evacuations->items[i].failure_domain,
			    failure_domain))
			return true;
	return false;
}

size_t evacuations_count(const struct evacuations *evacuations)
{
	size_t count = 0;

	for (size_t i = 0; i < evacuations->count; i++)
		count += evacuations->items[i].active;
	return count;
}
