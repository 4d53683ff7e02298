/**
 * @file config_print.h
 * Prints configuration objects, changes and audit entries as text or JSON.
 */
#ifndef CTL_CONFIG_PRINT_H
#define CTL_CONFIG_PRINT_H

#include <jansson.h>
#include <stdio.h>

#include "ctl/ctl.h"
#include "state/config_change.h"

/** Prints a JSON value and releases the caller's reference. */
void config_print_json(json_t *value);

json_t *config_object_to_json(const struct config_object *object);

/** Prints changes. Text shows the INI lines that each change removes and adds,
 * for the first MAX_CHANGES_SHOWN changes; JSON shows the object before and
 * after each change. */
void config_print_changes(const struct ctl *ctl,
			  const struct config_change_list *list);

/** Prints the audit entries of deltas. JSON goes only to the standard output;
 * any other file gets text. */
void config_print_history(const struct ctl *ctl,
			  const struct config_delta *deltas, size_t count,
			  FILE *out);

json_t *config_audit_to_json(const struct audit_entry *entry);

/** Prints an audit entry as text. The values before and after the change follow
 * on separate lines, unless they are empty. */
void config_print_audit(const struct audit_entry *entry, FILE *out);

/** Sets the before and after texts of an audit entry: the INI lines that a
 * single change removes and adds. For several changes, only the after text is
 * set, to their number and the first object. */
void config_audit_set_texts(const struct config_change_list *list,
			    struct audit_entry *entry);

/** Formats a time in UTC, such as "2026-12-03T20:00:00Z". */
void config_format_time(int64_t wall_us, char *text, size_t size);

#endif
