/**
 * @file heartbeat_plan.h
 * Whom a host sends its heartbeats to. Each round's strides grow by a factor
 * of three, so that news reaches n hosts of a domain in about log3(n) rounds
 * while each host sends two messages a round.
 */
#ifndef COORDINATION_HEARTBEAT_PLAN_H
#define COORDINATION_HEARTBEAT_PLAN_H

#include <stddef.h>
#include <stdint.h>

#include "coordination/member.h"

#define HEARTBEAT_PLAN_MAX 3

/** Rounds until news of one host has reached all hosts of its domain. */
size_t heartbeat_plan_rounds(size_t host_count);

/** Chooses the members to send to in a round; the sender is among them.
 * @return the number of targets */
size_t heartbeat_plan(const struct member *members, size_t member_count,
		      uint64_t round, size_t targets[HEARTBEAT_PLAN_MAX]);

#endif
