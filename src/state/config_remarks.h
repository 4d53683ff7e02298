/**
 * @file config_remarks.h
 * The members of a configuration that are not in force as they are written,
 * and what is in force in their place. The first ones are kept; all are
 * counted.
 */
#ifndef STATE_CONFIG_REMARKS_H
#define STATE_CONFIG_REMARKS_H

#include <stddef.h>

#define CONFIG_REMARKS_KEPT_MAX 16

struct config_remark {
	char *member;	/**< such as "acme.prepaid", cut if it is long */
	char *written;	/**< its value, cut if it is long */
	char *in_force; /**< what holds in its place */
};

struct config_remarks {
	size_t count; /**< of all, kept or not */
	struct config_remark kept[CONFIG_REMARKS_KEPT_MAX];
};

/** @param owner name of the object that the member belongs to; NULL if it has
 * none */
void config_remarks_add(struct config_remarks *remarks, const char *owner,
			const char *member, const char *written,
			const char *in_force);

/** @return how many are kept */
size_t config_remarks_kept(const struct config_remarks *remarks);

void config_remarks_clear(struct config_remarks *remarks);

#endif
