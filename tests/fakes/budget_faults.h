/**
 * @file budget_faults.h
 * Injects faults into short runs of the hosts of budget_rig.h, whose demand
 * exceeds the budget, so that tokens that were returned or received wrongly are
 * spent.
 */
#ifndef FAKES_BUDGET_FAULTS_H
#define FAKES_BUDGET_FAULTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Store operations of a run after which a fault may occur. */
#define BUDGET_FAULT_POINTS 160
#define BUDGET_FAULTS_MAX 3

enum budget_fault_kind {
	BUDGET_FAULT_LOSE_RESPONSE,
	BUDGET_FAULT_LOSE_REQUEST,
	BUDGET_FAULT_LOSE_THREE_RESPONSES,
	BUDGET_FAULT_KILL,
	BUDGET_FAULT_KILL_AND_STAY_DOWN,
	BUDGET_FAULT_KILL_TWICE,
	BUDGET_FAULT_KILL_ALL,
	BUDGET_FAULT_LOSE_POWER,
	BUDGET_FAULT_CUT,
	BUDGET_FAULT_CUT_AND_LOSE_POWER,
	BUDGET_FAULT_CUT_AND_KILL,
	BUDGET_FAULT_PAUSE,
	BUDGET_FAULT_STOP,
	BUDGET_FAULT_OUTAGE,
	BUDGET_FAULT_TOP_UP,
	/* The following need hosts that send messages. */
	BUDGET_FAULT_DEAF,    /**< the host receives no messages for a while */
	BUDGET_FAULT_MUTE,    /**< it sends none */
	BUDGET_FAULT_ISOLATE, /**< neither */
	BUDGET_FAULT_KIND_COUNT,
	BUDGET_FAULT_STORE_KIND_COUNT = BUDGET_FAULT_DEAF,
};

struct budget_fault {
	/** Number of store operations, or with peers of these and messages,
	 * before it. */
	uint64_t point;
	enum budget_fault_kind kind;
	size_t host;
	bool done;
};

/** Plays a run and checks after each step that no more was spent than paid in.
 * @param seed of hosts that send messages; 0: they don't
 * @param what and number name the run in the message of a failure */
void budget_faults_run(struct budget_fault *faults, size_t count, uint64_t seed,
		       const char *what, uint64_t number);

#endif
