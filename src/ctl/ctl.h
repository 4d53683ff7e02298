/**
 * @file ctl.h
 * Types and functions that the commands of the operators' tool share.
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
	CTL_EXIT_CONFLICT = 3,	  /**< another operator's change came first */
	CTL_EXIT_UNKNOWN = 4,	  /**< the change may have been stored or not */
	CTL_EXIT_UNREACHABLE = 5, /**< the store or a host does not answer */
};

struct ctl_session;
struct ctl_authority;

/** Options and connections of one run of the tool. */
struct ctl {
	struct ctl_session *session; /**< connections to store and hosts */
	bool json;
	bool dry_run;
	const char *who;    /**< operator's name, from --as or TGW_OPERATOR */
	const char *reason; /**< required for each change */
	const char *operator_key; /**< NULL when none was given */
	size_t host_count;
	const char *hosts[CTL_HOSTS_MAX]; /**< HTTP base URLs */
	struct ctl_authority *authority;  /**< NULL until it is read */
};

/** A command, such as "budget show" with group "budget" and name "show". */
struct ctl_command {
	const char *group;
	const char *name; /**< empty when the group alone is the command */
	const char *summary;
	const char *usage; /**< arguments, as the usage line shows them */
	/** @param argv starts with the first word after the name */
	enum ctl_exit (*run)(struct ctl *ctl, int argc, char **argv);
};

/* The tables of commands. A table may hold several groups, and ends with an
 * entry whose group is NULL. */
extern const struct ctl_command ctl_budget_commands[];
extern const struct ctl_command ctl_config_commands[];
extern const struct ctl_command ctl_audit_commands[];
extern const struct ctl_command ctl_host_commands[];
extern const struct ctl_command ctl_quarantine_commands[];
extern const struct ctl_command ctl_explain_commands[];

/** Reads a key from the store. When it does not exist, the version is 0 and the
 * value is empty. */
enum tgw_status ctl_get(struct ctl *ctl, const char *key, struct buffer *value,
			int64_t *version, struct tgw_error *error);

/** Calls a function for each key of the store that has the prefix, in the order
 * of the keys. */
enum tgw_status ctl_list(struct ctl *ctl, const char *prefix,
			 void (*each)(void *arg, const char *key,
				      const void *value, size_t size,
				      int64_t version),
			 void *arg, struct tgw_error *error);

/**
 * Compare-and-swap of one key of the store.
 * @param value NULL to delete the key
 * @return CONFLICT when the key's version is not the expected one; UNKNOWN when
 *         the response was lost and the caller has to read the key
 *         back; DENIED when the store lists operators and the run's key is not
 *         the key of one with the role operator or admin
 */
enum tgw_status ctl_swap(struct ctl *ctl, const char *key,
			 int64_t expected_version, const void *value,
			 size_t value_size, struct tgw_error *error);

/** Sends an HTTP request to a host, with the operator's key if there is one,
 * and waits for the response.
 * @return OK for a response with any HTTP status; UNAVAILABLE when there is no
 *         complete response */
enum tgw_status ctl_host_request(struct ctl *ctl, const char *host_url,
				 const char *method, const char *path,
				 const char *body, struct buffer *response,
				 int32_t *http_status, struct tgw_error *error);

/** Starts an audit entry: sets who makes the change, when, from where and why,
 * the action and the object, and clears the other fields. */
void ctl_audit_begin(const struct ctl *ctl, struct audit_entry *entry,
		     const char *action, const char *object);

/** Prints "tamarackgwctl: message" to the standard error output and maps the
 * status to an exit code. */
enum ctl_exit ctl_report(const struct tgw_error *error);

#endif
