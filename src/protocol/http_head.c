#include "protocol/http_head.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/xalloc.h"

#define INITIAL_CAPACITY 16

void http_head_clear(struct http_head *head)
{
	buffer_clear(&head->text);
	head->count = 0;
	head->in_value = false;
}

void http_head_free(struct http_head *head)
{
	buffer_free(&head->text);
	free(head->fields);
	memset(head, 0, sizeof(*head));
}

static void begin_field(struct http_head *head)
{
	if (head->count == head->capacity) {
		head->capacity = head->capacity ? head->capacity * 2
						: INITIAL_CAPACITY;
		head->fields = xrealloc(
			head->fields, head->capacity * sizeof(head->fields[0]));
	}
	if (head->count)
		buffer_add(&head->text, "", 1);
	head->fields[head->count].name_offset = (uint32_t)head->text.size;
	head->fields[head->count].value_offset = (uint32_t)head->text.size;
	head->count++;
}

void http_head_add_name(struct http_head *head, const char *data, size_t size)
{
	if (!head->count || head->in_value)
		begin_field(head);
	head->in_value = false;
	buffer_add(&head->text, data, size);
}

void http_head_add_value(struct http_head *head, const char *data, size_t size)
{
	if (!head->count)
		return;
	if (!head->in_value) {
		buffer_add(&head->text, "", 1);
		head->fields[head->count - 1].value_offset =
			(uint32_t)head->text.size;
	}
	head->in_value = true;
	buffer_add(&head->text, data, size);
}

const char *http_head_name(const struct http_head *head, size_t index)
{
	return head->text.data + head->fields[index].name_offset;
}

const char *http_head_value(const struct http_head *head, size_t index)
{
	return head->text.data + head->fields[index].value_offset;
}

const char *http_head_find(const struct http_head *head, const char *name)
{
	for (size_t i = 0; i < head->count; i++)
		if (!strcasecmp(http_head_name(head, i), name))
			return http_head_value(head, i);
	return NULL;
}

size_t http_head_count(const struct http_head *head, const char *name)
{
	size_t count = 0;

	for (size_t i = 0; i < head->count; i++)
		if (!strcasecmp(http_head_name(head, i), name))
			count++;
	return count;
}

bool http_head_list_has(const char *list, const char *word)
{
	size_t size = strlen(word);

	while (*list) {
		size_t length;

		list += strspn(list, " \t,");
		length = strcspn(list, " \t,;");
		if (length == size && !strncasecmp(list, word, size))
			return true;
		list += strcspn(list, ",");
	}
	return false;
}

bool http_head_is_hop_by_hop(const struct http_head *head, const char *name)
{
	static const char *const hop_by_hop_fields[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Upgrade",
		"Transfer-Encoding",
		"Content-Length",
		"Expect",
		"Proxy-Authorization",
	};

	for (size_t i = 0;
	     i < sizeof(hop_by_hop_fields) / sizeof(hop_by_hop_fields[0]); i++)
		if (!strcasecmp(hop_by_hop_fields[i], name))
			return true;
	for (size_t i = 0; i < head->count; i++)
		if (!strcasecmp(http_head_name(head, i), "Connection") &&
		    http_head_list_has(http_head_value(head, i), name))
			return true;
	return false;
}
