/**
 * @file lost_config.h
 * Configurations that change limits, time-outs, weights, routes, teams and
 * quotas, and what callers have to expect of those that may be in force.
 */
#ifndef LOST_CONFIG_H
#define LOST_CONFIG_H

#include <stdint.h>

struct soak;

/** What the next configuration contains. */
struct lost_config {
	int idle_ms;
	int timeout_ms;
	unsigned int
		second_percent; /**< of safe requests, to a second service */
	unsigned int extra_routes;
	unsigned int extra_teams;
	int64_t prepaid_tokens;
	/** Warm-up of the servers of "app"; 0: none. */
	int warmup_s;
	int warmup_per_s;
};

/** Writes the next version. */
void lost_config_write(struct soak *soak, const struct lost_config *config);

/** @return the shortest idle limit of the versions that may be in force */
int64_t lost_config_idle_us(void);

/** @return the shortest time-out of the versions that may have been in force
 * since the time */
int64_t lost_config_timeout_us(int64_t since_us);

#endif
