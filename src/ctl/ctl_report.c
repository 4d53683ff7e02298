#include <pwd.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "ctl/ctl.h"
#include "ctl/ctl_authority.h"
#include "ctl/ctl_session.h"

#define HOST_NAME_SIZE 40

void ctl_audit_begin(const struct ctl *ctl, struct audit_entry *entry,
		     const char *action, const char *object)
{
	const struct passwd *user = getpwuid(getuid());
	const char *who = ctl_authority_name((struct ctl *)ctl);
	char host[HOST_NAME_SIZE] = "";

	memset(entry, 0, sizeof(*entry));
	gethostname(host, sizeof(host) - 1);
	entry->wall_us = ctl_session_wall_us();
	snprintf(entry->who, sizeof(entry->who), "%s", who ? who : "");
	snprintf(entry->from, sizeof(entry->from), "%.20s@%s",
		 user ? user->pw_name : "unknown", host);
	snprintf(entry->action, sizeof(entry->action), "%s", action);
	snprintf(entry->object, sizeof(entry->object), "%s", object);
	snprintf(entry->reason, sizeof(entry->reason), "%s",
		 ctl->reason ? ctl->reason : "");
}

enum ctl_exit ctl_report(const struct tgw_error *error)
{
	fprintf(stderr, "tamarackgwctl: %s\n", error->message);
	switch (error->status) {
	case TGW_OK:
		return CTL_EXIT_OK;
	case TGW_CONFLICT:
		return CTL_EXIT_CONFLICT;
	case TGW_UNKNOWN:
	case TGW_TIMEOUT:
		return CTL_EXIT_UNKNOWN;
	case TGW_UNAVAILABLE:
		return CTL_EXIT_UNREACHABLE;
	default:
		return CTL_EXIT_FAILED;
	}
}
