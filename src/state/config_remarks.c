#include "state/config_remarks.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "base/xalloc.h"

/* Sizes of what is kept, which log lines and pages show. */
#define MEMBER_SIZE 96
#define VALUE_SIZE 64

/* @return a copy for people to read, which can stand between quotes */
static char *copy_readable(const char *text, size_t size)
{
	size_t length = strnlen(text, size - 1);
	char *copy = xmalloc(length + 1);

	memcpy(copy, text, length);
	copy[length] = '\0';
	text_mask_control(copy, length);
	for (char *at = copy; *at; at++)
		if (*at == '"')
			*at = '\'';
	return copy;
}

void config_remarks_add(struct config_remarks *remarks, const char *owner,
			const char *member, const char *written,
			const char *in_force)
{
	struct config_remark *remark;
	char path[2 * MEMBER_SIZE];

	if (remarks->count++ >= CONFIG_REMARKS_KEPT_MAX)
		return;
	/* The end of the path says which member it is. */
	snprintf(path, sizeof(path), "%.*s%s%s", MEMBER_SIZE / 2,
		 owner ? owner : "", owner ? "." : "", member);
	remark = &remarks->kept[remarks->count - 1];
	remark->member = copy_readable(path, MEMBER_SIZE);
	remark->written = copy_readable(written, VALUE_SIZE);
	remark->in_force = copy_readable(in_force, VALUE_SIZE);
}

size_t config_remarks_kept(const struct config_remarks *remarks)
{
	return remarks->count < CONFIG_REMARKS_KEPT_MAX
		       ? remarks->count
		       : CONFIG_REMARKS_KEPT_MAX;
}

void config_remarks_clear(struct config_remarks *remarks)
{
	for (size_t i = 0; i < config_remarks_kept(remarks); i++) {
		free(remarks->kept[i].member);
		free(remarks->kept[i].written);
		free(remarks->kept[i].in_force);
	}
	memset(remarks, 0, sizeof(*remarks));
}
