/**
 * @file allotment_policy.h
 * How much of a budget a holder takes, keeps and gives back.
 */
#ifndef STATE_ALLOTMENT_POLICY_H
#define STATE_ALLOTMENT_POLICY_H

#include <stdbool.h>
#include <stdint.h>

/** What a holder knows of a budget when it writes the bucket. */
struct allotment_inputs {
	int64_t free_tokens;	 /**< taken by no line */
	int64_t allotted_tokens; /**< to this line now */
	int64_t used_tokens;	 /**< of that: settled or reserved */
	int64_t needed_tokens;	 /**< by requests that wait here */
	int64_t asked_tokens;	 /**< wanted by other lines */
	double demand_per_s;
	double others_demand_per_s;
	int64_t others_left_tokens; /**< allotted to others, not settled */
	uint32_t others_count;	    /**< other lines with a share */
	uint32_t absent_domains;    /**< domains that have no line yet */
	double ride_out_s;	    /**< demand to hold against an outage */
	uint32_t domains;
	double hold_part;    /**< of the fair part, that may be held; 0: all */
	bool return_surplus; /**< others need what is above the fair part */
};

/** @return what the line should be allotted: at least used_tokens, and at
 * most allotted_tokens or used_tokens plus what is free */
int64_t allotment_policy_decide(const struct allotment_inputs *inputs);

#endif
