/**
 * @file booking_run.h
 * Simulates bookings, which must not run twice, in virtual time with network
 * partitions, lost messages and store calls, paused and killed hosts, and
 * callers that retry. Counts how often each booking ran and how many did not
 * run during a partition.
 */
#ifndef MEASURE_BOOKING_RUN_H
#define MEASURE_BOOKING_RUN_H

#include <stdbool.h>
#include <stdint.h>

/** Sums over the runs that a result is passed to. */
struct booking_result {
	uint64_t bookings;
	/** Bookings whose caller got the service's response. */
	uint64_t answered;
	uint64_t ran_twice;
	/** Replies that say "not run" for a booking that ran. */
	uint64_t false_not_run;
	/** Replies with a recorded response for a booking that did not run. */
	uint64_t false_recorded;
	/** Bookings first sent in a failure domain that was partitioned. */
	uint64_t partition_bookings;
	/** Those of partition_bookings that never ran. */
	uint64_t partition_not_run;
	/** Bookings that got no response and whose last reply was "unknown". */
	uint64_t unknown;
	uint64_t store_writes;
	uint64_t store_reads;
};

/** Simulates ten minutes with random faults and one partition.
 * @param tickets whether callers get a ticket before each booking
 * @param result the counts of this run are added to it */
void booking_run(bool tickets, uint64_t seed, struct booking_result *result);

/** Measures the store calls of a fleet at a constant rate, without faults.
 * @param buckets number of claim buckets; 0 for the default
 * @param batched false: each host sees all others as silent, so that it writes
 *	its claims itself
 * @param reads_per_s receives the store reads per second
 * @return the store writes per second */
double booking_store_writes(uint32_t hosts, uint32_t domains,
			    uint32_t bookings_per_s, uint32_t buckets,
			    bool batched, double *reads_per_s);

#endif
