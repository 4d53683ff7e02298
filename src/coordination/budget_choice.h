/**
 * @file budget_choice.h
 * Chooses the holder that an entry host sends a request to.
 */
#ifndef COORDINATION_BUDGET_CHOICE_H
#define COORDINATION_BUDGET_CHOICE_H

#include "coordination/budget_state.h"

/**
 * Chooses the local failure domain's holders first, then the first holder of
 * each other domain. Any holder may grant to any entry host, since it grants
 * from its own allotment.
 * @param offset index, modulo the host count, of the host in the view at which
 * the search in other domains starts
 * @param refused holders that have already refused the request
 * @return the holder, or NULL when no other is left
 */
struct budget_peer *budget_choose_holder(const struct budget_bucket *bucket,
					 uint64_t offset,
					 struct budget_peer *const *refused,
					 size_t refused_count);

#endif
