#include "state/route_queue.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

/* Deficit that a team gains in each round. */
#define QUANTUM_UNITS 512
/* One generated token costs as much as this many tokens of a prompt. */
#define PROMPT_TOKENS_PER_UNIT 16

static const char *copy_text(char *copy, const char *text)
{
	if (!text)
		return NULL;
	snprintf(copy, TGW_NAME_SIZE, "%s", text);
	return copy;
}

struct route_entry *route_entry_new(const struct tgw_route_request *request,
				    struct tgw_route_callback callback)
{
	struct route_entry *entry = xcalloc(1, sizeof(*entry));

	entry->request = *request;
	entry->request.team = copy_text(entry->team, request->team);
	entry->request.model = copy_text(entry->model, request->model);
	entry->request.service = copy_text(entry->service, request->service);
	if ((unsigned int)request->urgency >= TGW_URGENCY_COUNT)
		entry->request.urgency = TGW_URGENCY_BATCH;
	entry->cost_units = 1 + request->output_tokens +
			    request->prompt_tokens / PROMPT_TOKENS_PER_UNIT;
	entry->callback = callback;
	return entry;
}

static struct route_queue_team *find_team(const struct route_class *class,
					  const char *name)
{
	struct route_queue_team *team = class->first;

	while (team && strcmp(team->name, name))
		team = team->next;
	return team;
}

static void append_team(struct route_class *class,
			struct route_queue_team *team)
{
	team->next = NULL;
	if (class->last)
		class->last->next = team;
	else
		class->first = team;
	class->last = team;
}

static void remove_team(struct route_class *class,
			struct route_queue_team *team)
{
	struct route_queue_team **link = &class->first;
	struct route_queue_team *before = NULL;

	while (*link != team) {
		before = *link;
		link = &(*link)->next;
	}
	*link = team->next;
	if (class->last == team)
		class->last = before;
}

void route_queue_push(struct route_queue *queue, struct route_entry *entry)
{
	struct route_class *class = &queue->classes[entry->request.urgency];
	struct route_queue_team *team = find_team(class, entry->team);

	if (!team) {
		team = xcalloc(1, sizeof(*team));
		copy_text(team->name, entry->team);
		append_team(class, team);
	}
	entry->next = NULL;
	if (team->last)
		team->last->next = entry;
	else
		team->first = entry;
	team->last = entry;
	team->queued_units += entry->cost_units;
	class->queued_units += entry->cost_units;
	queue->count++;
}

struct route_entry *route_queue_peek(struct route_queue *queue,
				     enum tgw_urgency urgency)
{
	struct route_class *class = &queue->classes[urgency];

	while (class->first) {
		struct route_queue_team *team = class->first;

		if (team->deficit_units >= team->first->cost_units)
			return team->first;
		team->deficit_units += QUANTUM_UNITS;
		if (class->first == class->last)
			continue;
		class->first = team->next;
		append_team(class, team);
	}
	return NULL;
}

/* Removes the entry after `before`, or the team's first if that is NULL. */
static struct route_entry *unlink_entry(struct route_queue *queue,
					struct route_class *class,
					struct route_queue_team *team,
					struct route_entry *before)
{
	struct route_entry **link = before ? &before->next : &team->first;
	struct route_entry *entry = *link;

	*link = entry->next;
	if (team->last == entry)
		team->last = before;
	team->queued_units -= entry->cost_units;
	class->queued_units -= entry->cost_units;
	queue->count--;
	if (!team->first) {
		remove_team(class, team);
		free(team);
	}
	entry->next = NULL;
	return entry;
}

struct route_entry *route_queue_pop(struct route_queue *queue,
				    enum tgw_urgency urgency)
{
	struct route_class *class = &queue->classes[urgency];
	struct route_queue_team *team = class->first;

	assert(team);
	team->deficit_units -= team->first->cost_units;
	return unlink_entry(queue, class, team, NULL);
}

struct route_entry *route_queue_remove_if(
	struct route_queue *queue,
	bool (*test)(const struct route_entry *, const void *arg),
	const void *arg)
{
	for (int u = 0; u < TGW_URGENCY_COUNT; u++) {
		struct route_class *class = &queue->classes[u];
		struct route_queue_team *team;

		for (team = class->first; team; team = team->next) {
			struct route_entry *before = NULL;
			struct route_entry *entry;

			for (entry = team->first; entry; entry = entry->next) {
				if (test(entry, arg))
					return unlink_entry(queue, class, team,
							    before);
				before = entry;
			}
		}
	}
	return NULL;
}

static bool has_id(const struct route_entry *entry, const void *arg)
{
	return entry->id == *(const uint64_t *)arg;
}

struct route_entry *route_queue_remove(struct route_queue *queue, uint64_t id)
{
	return route_queue_remove_if(queue, has_id, &id);
}

static struct route_queue_team *longest_team(const struct route_class *class)
{
	struct route_queue_team *longest = class->first;

	for (struct route_queue_team *team = class->first; team;
	     team = team->next)
		if (team->queued_units > longest->queued_units)
			longest = team;
	return longest;
}

struct route_entry *route_queue_remove_least_urgent(struct route_queue *queue,
						    enum tgw_urgency urgency)
{
	for (int u = TGW_URGENCY_COUNT - 1; u > (int)urgency; u--) {
		struct route_class *class = &queue->classes[u];
		struct route_queue_team *team = longest_team(class);
		struct route_entry *before = NULL;

		if (!team)
			continue;
		for (struct route_entry *entry = team->first; entry->next;
		     entry = entry->next)
			before = entry;
		return unlink_entry(queue, class, team, before);
	}
	return NULL;
}

int64_t route_queue_units_ahead(const struct route_queue *queue,
				const char *team, enum tgw_urgency urgency)
{
	const struct route_class *class = &queue->classes[urgency];
	const struct route_queue_team *same_team = find_team(class, team);
	int64_t team_units = same_team ? same_team->queued_units : 0;
	int64_t units = team_units;

	for (int u = 0; u < (int)urgency; u++)
		units += queue->classes[u].queued_units;
	for (const struct route_queue_team *other = class->first; other;
	     other = other->next) {
		int64_t turn_units = team_units + QUANTUM_UNITS;

		if (other == same_team)
			continue;
		units += other->queued_units < turn_units ? other->queued_units
							  : turn_units;
	}
	return units;
}
