#include "state/crash_tally.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/host_view.h"

#define ONE_CRASH_US (1 * TGW_US_PER_S)

struct crash_line {
	char server[TGW_NAME_SIZE];
	uint32_t running;
	uint32_t running_at_break;
	int64_t broke_at_us;
};

struct crash_tally {
	size_t count;
	struct crash_line *lines; /* servers are few, and none is removed */
};

struct crash_tally *crash_tally_new(void)
{
	return xcalloc(1, sizeof(struct crash_tally));
}

void crash_tally_free(struct crash_tally *tally)
{
	if (!tally)
		return;
	free(tally->lines);
	free(tally);
}

static struct crash_line *find_line(struct crash_tally *tally,
				    const char *server)
{
	struct crash_line *line;

	for (size_t i = 0; i < tally->count; i++)
		if (strcmp(tally->lines[i].server, server) == 0)
			return &tally->lines[i];
	tally->lines = xrealloc(tally->lines,
				(tally->count + 1) * sizeof(*tally->lines));
	line = &tally->lines[tally->count++];
	memset(line, 0, sizeof(*line));
	snprintf(line->server, sizeof(line->server), "%s", server);
	return line;
}

void crash_tally_start(struct crash_tally *tally, const char *server)
{
	find_line(tally, server)->running++;
}

void crash_tally_end(struct crash_tally *tally, const char *server)
{
	struct crash_line *line = find_line(tally, server);

	assert(line->running > 0);
	line->running--;
}

uint32_t crash_tally_broke(struct crash_tally *tally, const char *server,
			   int64_t now_us)
{
	struct crash_line *line = find_line(tally, server);

	assert(line->running > 0);
	if (!line->broke_at_us || now_us - line->broke_at_us > ONE_CRASH_US) {
		line->broke_at_us = now_us;
		line->running_at_break = line->running;
	}
	return line->running_at_break - 1;
}
