/**
 * @file config_print.h
 * Shows configuration objects, changes and the audit trail to operators.
 */
#ifndef CTL_CONFIG_PRINT_H
#define CTL_CONFIG_PRINT_H

#include <jansson.h>
#include <stdio.h>

#include "ctl/ctl.h"
#include "state/config_change.h"

/** Prints and releases a JSON value. */
void config_print_json(json_t *value);

json_t *config_object_to_json(const struct config_object *object);

/** Prints the lines that each change takes out and puts in. */
void config_print_changes(const struct ctl *ctl,
			  const struct config_change_list *list);

/** Prints who made which generation, and why. */
void config_print_history(const struct ctl *ctl,
			  const struct config_delta *deltas, size_t count,
			  FILE *out);

json_t *config_audit_to_json(const struct audit_entry *entry);

/** Prints one line for an audit entry. */
void config_print_audit(const struct audit_entry *entry, FILE *out);

/** Fills in what an audit entry says of before and after. */
void config_print_audit_texts(const struct config_change_list *list,
			      struct audit_entry *entry);

/** Writes "2026-12-03T20:00:00Z". */
void config_print_time(int64_t wall_us, char *text, size_t size);

#endif
