/**
 * @file store_belief.h
 * What a host knows of whether it reaches the store: by the outcomes of its own
 * calls alone, with their age. What other hosts say, and that nothing is heard
 * of a failure, are no evidence.
 */
#ifndef COORDINATION_STORE_BELIEF_H
#define COORDINATION_STORE_BELIEF_H

#include <stdbool.h>
#include <stdint.h>

/** The calls that the newest evidence is from. */
enum store_belief_source {
	STORE_BELIEF_NO_CALL,
	STORE_BELIEF_WATCH, /**< or a list of what is watched */
	STORE_BELIEF_BUDGETS,
	STORE_BELIEF_PROBE, /**< made to find out */
};

struct store_belief {
	bool unreachable; /**< by the newest evidence */
	enum store_belief_source source;
	int64_t known_us;   /**< time of the newest evidence; 0: none */
	int64_t changed_us; /**< when `unreachable` last changed */
};

/** The outcome of a call. */
struct store_belief_evidence {
	bool answered;
	enum store_belief_source source;
	/** A call that fails tells nothing if the store has answered another
	 * one since it began. */
	int64_t began_us;
};

/** Records the outcome of a call that ended now. */
void store_belief_note(struct store_belief *belief,
		       const struct store_belief_evidence *evidence,
		       int64_t now_us);

/** @return whether there is recent evidence, of either kind */
bool store_belief_is_recent(const struct store_belief *belief, int64_t now_us);

/** @return whether the store answered a recent call */
bool store_belief_reaches(const struct store_belief *belief, int64_t now_us);

/** @return the source as log lines name it */
const char *store_belief_source_name(enum store_belief_source source);

#endif
