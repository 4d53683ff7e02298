/**
 * @file load_client.h
 * Sends chat completions at a steady rate, whatever the answers do, checks
 * every token of each answer, and times them.
 */
#ifndef MEASURE_LOAD_CLIENT_H
#define MEASURE_LOAD_CLIENT_H

#include <stddef.h>
#include <stdint.h>

#include "measure/latency_histogram.h"

#define LOAD_CLIENT_TARGETS_MAX 8

struct load_client_settings {
	size_t target_count;
	const char *targets[LOAD_CLIENT_TARGETS_MAX]; /**< IP number:port */
	const char *key;			      /**< the team's */
	const char *model;
	double requests_per_s;
	int64_t answer_tokens;
	int64_t warm_up_us;
	int64_t measured_us;
	int64_t drain_us; /**< answers that take longer are errors */
	uint64_t seed;
};

struct load_client_report {
	uint64_t requests;
	uint64_t completed;
	uint64_t refused; /**< answered by another status than 200 */
	uint64_t wrong;	  /**< tokens missing, crossed or too many */
	uint64_t broken;  /**< cut off or not connected */
	uint64_t unended; /**< no end within the time to drain */
	struct latency_histogram *first_token;
	struct latency_histogram *between_tokens;
};

/**
 * Sends the load and waits for the answers.
 * @param measuring called when the warm-up is over, and at the end
 */
void load_client_run(const struct load_client_settings *settings,
		     void (*measuring)(void *arg, int starts), void *arg,
		     struct load_client_report *report);

uint64_t load_client_errors(const struct load_client_report *report);

void load_client_report_free(struct load_client_report *report);

#endif
