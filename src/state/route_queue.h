/**
 * @file route_queue.h
 * Attempts that wait for a server, ordered by urgency, and within an urgency
 * by deficit round robin between teams.
 */
#ifndef STATE_ROUTE_QUEUE_H
#define STATE_ROUTE_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/router.h"

/** A waiting attempt, with its own copies of the request's texts. */
struct route_entry {
	struct route_entry *next;
	uint64_t id;
	struct tgw_route_request request;
	char team[TGW_NAME_SIZE];
	char model[TGW_NAME_SIZE];
	char service[TGW_NAME_SIZE];
	int64_t cost_units;
	int64_t submitted_us;
	struct tgw_route_callback callback;
};

/** The waiting attempts of one team within one urgency. */
struct route_queue_team {
	struct route_queue_team *next;
	char name[TGW_NAME_SIZE];
	int64_t deficit_units;
	int64_t queued_units;
	struct route_entry *first;
	struct route_entry *last;
};

/** The waiting attempts of one urgency. */
struct route_class {
	struct route_queue_team *first; /**< the team whose turn it is */
	struct route_queue_team *last;
	int64_t queued_units;
};

struct route_queue {
	struct route_class classes[TGW_URGENCY_COUNT];
	size_t count;
};

struct route_entry *route_entry_new(const struct tgw_route_request *request,
				    struct tgw_route_callback callback);

void route_queue_push(struct route_queue *queue, struct route_entry *entry);

/** @return the next attempt of this urgency, which stays queued; NULL if there
 * is none */
struct route_entry *route_queue_peek(struct route_queue *queue,
				     enum tgw_urgency urgency);

/** Removes the attempt that the last peek of this urgency returned. */
struct route_entry *route_queue_pop(struct route_queue *queue,
				    enum tgw_urgency urgency);

/** Removes the attempt with this id. @return NULL when it is not queued */
struct route_entry *route_queue_remove(struct route_queue *queue, uint64_t id);

/** Removes one attempt for which `test` returns true; the order of the search
 * is unspecified. @return NULL when there is none */
struct route_entry *route_queue_remove_if(
	struct route_queue *queue,
	bool (*test)(const struct route_entry *, const void *arg),
	const void *arg);

/** Removes the newest attempt of the team with the most queued units in the
 * least urgent class. Considers only classes less urgent than the given one.
 * @return NULL when these are empty */
struct route_entry *route_queue_remove_least_urgent(struct route_queue *queue,
						    enum tgw_urgency urgency);

/** @return the cost units that would start before a new attempt of this team */
int64_t route_queue_units_ahead(const struct route_queue *queue,
				const char *team, enum tgw_urgency urgency);

#endif
