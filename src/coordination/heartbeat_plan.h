/**
 * @file heartbeat_plan.h
 * Chooses the hosts that a host sends its heartbeats to.
 *
 * The hosts of a failure domain form a ring. In each round, a host sends to the
 * two hosts at one and two strides after its own position; the stride triples
 * from round to round, then starts again at one. An update thus reaches n hosts
 * in about log3(n) rounds, while each host sends two messages a round in its
 * domain. In every second round it also sends one to another failure domain.
 */
#ifndef COORDINATION_HEARTBEAT_PLAN_H
#define COORDINATION_HEARTBEAT_PLAN_H

#include <stddef.h>
#include <stdint.h>

#include "coordination/member.h"

#define HEARTBEAT_TARGETS_MAX 3

/** @return the rounds until an update from one host has reached all hosts of
 * its failure domain */
size_t heartbeat_plan_rounds(size_t host_count);

/** Chooses the members to send to in a round.
 * @param members includes the sender
 * @param targets receives indexes of members
 * @return the number of targets */
size_t heartbeat_plan(const struct member *members, size_t member_count,
		      uint64_t round, size_t targets[HEARTBEAT_TARGETS_MAX]);

#endif
