/**
 * @file budget_choice.h
 * Which holder an entry host asks next.
 */
#ifndef COORDINATION_BUDGET_CHOICE_H
#define COORDINATION_BUDGET_CHOICE_H

#include "coordination/budget_state.h"

/**
 * The domain's holders come first, then the first holders of the others: any
 * holder may grant to any entry host, since it spends its own allotment.
 * @param spread where among the other domains the walk starts
 * @param refused those that have refused already
 * @return NULL when there is nobody else to ask
 */
struct budget_peer *budget_choice_holder(const struct budget_bucket *bucket,
					 uint64_t spread,
					 struct budget_peer *const *refused,
					 size_t refused_count);

#endif
