/**
 * @file budget_print.h
 * Prints budgets, for people or as JSON.
 */
#ifndef CTL_BUDGET_PRINT_H
#define CTL_BUDGET_PRINT_H

#include <jansson.h>
#include <stdbool.h>

#include "ctl/ctl.h"
#include "state/ledger_bucket.h"

/** A listing under way. */
struct budget_printer {
	json_t *rows; /**< NULL: text */
};

void budget_printer_start(struct budget_printer *printer, bool json);
void budget_printer_finish(struct budget_printer *printer);

/** One budget with all its lines. */
void budget_print_one(const struct ctl *ctl, const struct ledger_bucket *bucket,
		      uint32_t index);

/** One line of the list of budgets. */
void budget_print_row(struct budget_printer *printer,
		      const struct ledger_bucket *bucket, uint32_t index);

/** The closed lines of a budget. */
void budget_print_write_offs(struct budget_printer *printer,
			     const struct ledger_bucket *bucket,
			     uint32_t index);

#endif
