/**
 * @file budget_print.h
 * Prints budgets as text or as JSON. A ledger line is one host's record in a
 * ledger bucket; a closed line was written off after its host died.
 */
#ifndef CTL_BUDGET_PRINT_H
#define CTL_BUDGET_PRINT_H

#include <jansson.h>
#include <stdbool.h>

#include "ctl/ctl.h"
#include "state/ledger_bucket.h"

/** Collects or prints the rows of one listing. */
struct budget_printer {
	json_t *rows; /**< NULL: each row is printed as text at once */
};

void budget_printer_start(struct budget_printer *printer, bool json);
void budget_printer_finish(struct budget_printer *printer);

/** Prints one budget with all its ledger lines and recent top-ups. */
void budget_print_one(const struct ctl *ctl, const struct ledger_bucket *bucket,
		      uint32_t index);

/** Adds a row with the totals of one budget. */
void budget_print_row(struct budget_printer *printer,
		      const struct ledger_bucket *bucket, uint32_t index);

/** Adds a row for each closed ledger line of a budget. */
void budget_print_write_offs(struct budget_printer *printer,
			     const struct ledger_bucket *bucket,
			     uint32_t index);

#endif
