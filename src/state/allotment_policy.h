/**
 * @file allotment_policy.h
 * How much of a budget a holder takes, keeps and returns.
 */
#ifndef STATE_ALLOTMENT_POLICY_H
#define STATE_ALLOTMENT_POLICY_H

#include <stdbool.h>
#include <stdint.h>

/** A budget as a holder knows it when it writes the ledger bucket. The line is
 * the holder's ledger line, its record in that bucket. Its fair amount is the
 * budget's unspent tokens times the line's fraction of the demand. */
struct allotment_inputs {
	int64_t free_tokens;	 /**< in no line's allotment */
	int64_t allotted_tokens; /**< to this line at present */
	int64_t used_tokens;	 /**< of the allotment: settled or reserved */
	int64_t needed_tokens;	 /**< by requests that lack tokens */
	/** Of the unused part, what other hosts hold: it does not serve the
	 * requests that lack tokens. */
	int64_t peers_left_tokens;
	/** Cost of one request, where some are expected here; 0: not known. */
	int64_t typical_tokens;
	int64_t recalled_tokens;    /**< requested by other lines' holders */
	double demand_per_s;	    /**< forecast of this host, in tokens */
	double others_demand_per_s; /**< sum over the other lines, in tokens */
	/** Fraction of the demand that this host receives; 0: by the demands
	 * above. */
	double weight;
	int64_t others_left_tokens; /**< allotted to other lines, not settled */
	uint32_t others_count;	    /**< other lines with an allotment */
	uint32_t absent_domains;    /**< failure domains without a line yet */
	double ride_out_s;	    /**< length of the store outage to cover */
	/** Time to cover in any case, from a small part of the fair amount: a
	 * write may take so long. */
	double min_ride_out_s;
	/** Number of lines that the budget may get: one for each failure
	 * domain, or one for each host where hosts have lines of their own. */
	uint32_t domains;
	/** Maximum fraction of the fair amount to hold for the expected demand;
	 * 0: all of it. Needed tokens may exceed it. */
	double hold_fraction;
	/** Most that is held ahead of need where `limits_ahead` is set. */
	int64_t ahead_limit_tokens;
	bool limits_ahead;
	bool return_surplus; /**< other hosts request more than is free */
};

/** @return the tokens to allot to the line: at least used_tokens, and at most
 * free_tokens plus the larger of allotted_tokens and used_tokens */
int64_t allotment_policy_decide(const struct allotment_inputs *inputs);

#endif
