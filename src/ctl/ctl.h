/**
 * @file ctl.h
 * The operators' tool: what each of its commands works with.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "state/audit_entry.h"
#include "tamarackgw/status.h"

#define CTL_HOSTS_MAX 512

/** Exit codes of the tool. */
enum ctl_exit {
	CTL_EXIT_OK = 0,
	CTL_EXIT_FAILED = 1,
	CTL_EXIT_USAGE = 2,
	CTL_EXIT_CONFLICT = 3, /**< another operator was first */
	CTL_EXIT_UNKNOWN = 4,  /**< the change may or may not have landed */
	CTL_EXIT_UNREACHABLE = 5,
};

struct ctl_session;
struct ctl_authority;

/** What is the same for all commands of one run. */
struct ctl {
	struct ctl_session *session; /**< store and hosts */
	bool json;
	bool dry_run;
	const char *who;	  /**< operator's name */
	const char *reason;	  /**< why; required for each change */
	const char *operator_key; /**< NULL when none was given */
	size_t host_count;
	const char *hosts[CTL_HOSTS_MAX]; /**< HTTP bases */
	struct ctl_authority *authority;  /**< NULL until it is needed */
};

/** A command, such as group "budget", name "show". */
struct ctl_command {
	const char *group;
	const char *name;
	const char *summary;
	const char *usage; /**< words after the name */
	/** @param argv starts with the first word after the name */
	enum ctl_exit (*run)(struct ctl *ctl, int argc, char **argv);
};

/* One table for each group; each ends with an entry whose group is NULL. */
extern const struct ctl_command ctl_budget_commands[];
extern const struct ctl_command ctl_config_commands[];
extern const struct ctl_command ctl_audit_commands[];
extern const struct ctl_command ctl_host_commands[];
extern const struct ctl_command ctl_quarantine_commands[];
extern const struct ctl_command ctl_explain_commands[];

/** Reads a key; version 0 and size 0 when it does not exist. */
enum tgw_status ctl_get(struct ctl *ctl, const char *key, struct buffer *value,
			int64_t *version, struct tgw_error *error);

/** Calls back for each key under a prefix, in order. */
enum tgw_status ctl_list(struct ctl *ctl, const char *prefix,
			 void (*each)(void *arg, const char *key,
				      const void *value, size_t size,
				      int64_t version),
			 void *arg, struct tgw_error *error);

/** Compare-and-swap; UNKNOWN when the answer was lost: read back. DENIED
 * when the store lists operators and the run's key is none of theirs. */
enum tgw_status ctl_swap(struct ctl *ctl, const char *key,
			 int64_t expected_version, const void *value,
			 size_t value_size, struct tgw_error *error);

/** Asks a host over HTTP, with the operator's key. */
enum tgw_status ctl_host_request(struct ctl *ctl, const char *host_url,
				 const char *method, const char *path,
				 const char *body, struct buffer *answer,
				 int32_t *http_status, struct tgw_error *error);

/** Fills in who, when, from and why; the caller adds the rest. */
void ctl_audit_begin(const struct ctl *ctl, struct audit_entry *entry,
		     const char *action, const char *object);

/** Prints "tamarackgwctl: message" and maps the status to an exit code. */
enum ctl_exit ctl_report(const struct tgw_error *error);

#endif
