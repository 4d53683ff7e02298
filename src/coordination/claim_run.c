#include "coordination/claim_run.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

struct claim_run *claim_run_add(struct claim_run_list *list)
{
	struct claim_run *run = xcalloc(1, sizeof(*run));

	run->next = list->first;
	list->first = run;
	list->count++;
	return run;
}

struct claim_run *claim_run_find(const struct claim_run_list *list,
				 const struct claim_owner *owner)
{
	struct claim_run *run = list->first;

	while (run && !claim_owner_equals(&run->message.record.owner, owner))
		run = run->next;
	return run;
}

struct claim_run *claim_run_oldest_record(const struct claim_run_list *list)
{
	struct claim_run *oldest = NULL;

	for (struct claim_run *run = list->first; run; run = run->next)
		if (run->is_record)
			oldest = run;
	return oldest;
}

struct claim_run *claim_run_find_granted(const struct claim_run_list *list,
					 const struct tgw_request_key *key)
{
	struct claim_run *run = list->first;

	while (run && (run->phase == CLAIM_RUN_REQUESTED || run->is_record ||
		       memcmp(&run->message.record.key, key, sizeof(*key))))
		run = run->next;
	return run;
}

void claim_run_remove(struct claim_run_list *list, struct claim_run *run)
{
	struct claim_run **link = &list->first;

	while (*link != run)
		link = &(*link)->next;
	*link = run->next;
	list->count--;
	claim_message_clear(&run->message);
	free(run);
}
