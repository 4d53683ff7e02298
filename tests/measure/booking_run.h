/**
 * @file booking_run.h
 * Bookings, which may not be repeated, under cuts, outages, pauses and
 * deaths, with callers that send again: how often each ran, and how many
 * were not made during a cut.
 */
#ifndef MEASURE_BOOKING_RUN_H
#define MEASURE_BOOKING_RUN_H

#include <stdbool.h>
#include <stdint.h>

struct booking_result {
	uint64_t bookings;
	uint64_t answered; /**< with the service's answer */
	uint64_t ran_twice;
	uint64_t false_not_run;	 /**< "not run" of one that ran */
	uint64_t false_recorded; /**< an answer of one that did not run */
	uint64_t cut_bookings;	 /**< first sent in a domain that is cut off */
	uint64_t cut_refused; /**< of those, not run when the caller gave up */
	uint64_t unknown;     /**< the caller was left with "unknown" */
	uint64_t store_writes;
	uint64_t store_reads;
};

/** @param tickets whether callers get a ticket ahead of each booking */
void booking_run(bool tickets, uint64_t seed, struct booking_result *result);

/** The store calls of many hosts at a steady rate, without faults.
 * @return writes a second */
double booking_store_writes(uint32_t hosts, uint32_t domains,
			    uint32_t bookings_per_s, uint32_t buckets,
			    bool batched, double *reads_per_s);

#endif
