/**
 * @file load_client.h
 * Open-loop load generator: sends chat completions as a Poisson process whose
 * rate does not depend on the responses, checks every token of each response
 * and measures the latencies.
 */
#ifndef MEASURE_LOAD_CLIENT_H
#define MEASURE_LOAD_CLIENT_H

#include <stddef.h>
#include <stdint.h>

#include "measure/latency_histogram.h"

#define LOAD_CLIENT_TARGETS_MAX 8

struct load_client_settings {
	size_t target_count;
	const char *targets[LOAD_CLIENT_TARGETS_MAX]; /**< IPv4 address:port */
	const char *key; /**< API key of the team */
	const char *model;
	double requests_per_s;
	int64_t answer_tokens;
	int64_t warm_up_us;
	int64_t measured_us;
	/** Time after the measured one in which pending responses may end;
	 * those that do not are counted as errors. */
	int64_t drain_us;
	uint64_t seed;
};

struct load_client_report {
	uint64_t requests;
	uint64_t completed;
	uint64_t refused; /**< the status was not 200 */
	/** Complete responses with missing, wrong or extra tokens, with a
	 * wrong usage or without [DONE]. */
	uint64_t wrong;
	uint64_t broken;     /**< the connection failed or closed too early */
	uint64_t unfinished; /**< did not end within drain_us */
	struct latency_histogram *first_token;
	struct latency_histogram *between_tokens;
};

/**
 * Sends the load and waits for the responses.
 * @param on_measurement called with starts 1 when the warm-up is over and with
 *	starts 0 when the measured time is over
 */
void load_client_run(const struct load_client_settings *settings,
		     void (*on_measurement)(void *arg, int starts), void *arg,
		     struct load_client_report *report);

uint64_t load_client_errors(const struct load_client_report *report);

void load_client_report_free(struct load_client_report *report);

#endif
