/**
 * @file lost_report.h
 * Passes what callers saw to the checks and to the judge of the host, and
 * prints what is needed to trace a lost request.
 */
#ifndef LOST_REPORT_H
#define LOST_REPORT_H

#include "soak/lost_caller.h"
#include "soak/soak_checks.h"

struct lost_ending {
	struct soak_request *request;
	struct lost_end end;
	const struct soak_response *response;
	int64_t opened_us;     /**< the connection */
	int64_t idle_us;       /**< the connection, before the request */
	int64_t idle_limit_us; /**< that its caller relied on */
	unsigned int host_start;
};

/** @return the time that a request which began then had until now */
int64_t lost_request_limit_us(int64_t begun_us);

/** @return whether the process with this number runs, and is not to stop */
bool lost_host_runs(const struct lost_host *host, unsigned int start);

enum lost_verdict lost_report_end(struct lost_host *host,
				  const struct lost_ending *ending);

/** A host closed a kept connection on which its caller still relied. */
void lost_report_early_close(struct lost_host *host, int64_t idle_us,
			     int64_t limit_us, bool announced);

/** Judges what counts by how often it happens, and prints the figures. */
void lost_report_host(struct lost_host *host);

#endif
