/**
 * @file budget_transfer_private.h
 * Shared by the files that implement budget_transfer.h: budget_transfer.c
 * writes and reads messages, budget_transfer_serve.c decides what the host at
 * the other end gets.
 */
#ifndef COORDINATION_BUDGET_TRANSFER_PRIVATE_H
#define COORDINATION_BUDGET_TRANSFER_PRIVATE_H

#include "coordination/budget_transfer.h"
#include "coordination/team_budget_key.h"

static inline int64_t min_tokens(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static inline int64_t max_tokens(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static inline int64_t budget_transfer_now_us(const struct budget_relay *relay)
{
	return team_budget_now_us(relay->budgets);
}

/** Counts the tokens as given to the other end; the next messages say so. */
void budget_transfer_give(struct budget_relay *relay,
			  struct team_account *account,
			  struct transfer_totals *totals, int64_t tokens);

#endif
