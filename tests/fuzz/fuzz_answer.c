/* Fuzzes the decoder of the heads of servers' answers. The first byte of the
 * input selects the status; each line is a field, NAME: VALUE. */
#include <stdlib.h>
#include <string.h>

#include "../../platform/platform_dialect.h"
#include "fuzz/fuzz_target.h"

#define MAX_REST_US INT64_C(300000000)

static void add_fields(struct http_head *head, char *text)
{
	char *rest = text;
	char *line;

	while ((line = strsep(&rest, "\n"))) {
		char *value = strstr(line, ": ");

		if (!value)
			continue;
		http_head_add_name(head, line, (size_t)(value - line));
		http_head_add_value(head, value + 2, strlen(value + 2));
	}
}

static void check(const struct response_info *info, int status)
{
	if (info->rest_us < 0 || info->rest_us > MAX_REST_US ||
	    (info->rest_us && status != 503))
		abort();
	if (!memchr(info->unreadable, '\0', sizeof(info->unreadable)))
		abort();
	for (const char *at = info->unreadable; *at; at++)
		if (*at < ' ' || *at > '~' || *at == '"')
			abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const int statuses[] = {200, 421, 500, 503};
	struct http_head head = {0};
	struct response_info info;
	char *text;
	int status;

	if (!size)
		return 0;
	status = statuses[data[0] % 4];
	text = strndup((const char *)data + 1, size - 1);
	add_fields(&head, text);
	platform_dialect.read_response(&head, status, 1, &info);
	check(&info, status);
	http_head_free(&head);
	free(text);
	return 0;
}
