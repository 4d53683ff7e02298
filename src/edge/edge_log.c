#include "edge/edge_log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/text.h"
#include "edge/edge_clock.h"
#include "tamarackgw/clock.h"

#define LINE_SIZE 640
/* Details are dropped once the lines of the current second reach the limit
 * divided by this. */
#define DETAIL_DIVISOR 2

void edge_log_open(struct edge_log *log, int64_t lines_per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	memset(log, 0, sizeof(*log));
	log->lines_per_s = lines_per_s;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static bool write_line(const char *line, size_t size)
{
	return write(STDOUT_FILENO, line, size) == (ssize_t)size;
}

static void log_dropped(struct edge_log *log)
{
	char line[LINE_SIZE];
	uint64_t details = log->dropped[EDGE_LOG_DETAIL];
	uint64_t notices = log->dropped[EDGE_LOG_NOTICE];
	uint64_t states = log->dropped[EDGE_LOG_STATE];
	int size;

	if (!details && !notices && !states)
		return;
	size = snprintf(line, sizeof(line),
			"part=log event=dropped details=%llu notices=%llu "
			"states=%llu\n",
			(unsigned long long)details,
			(unsigned long long)notices,
			(unsigned long long)states);
	if (write_line(line, (size_t)size))
		memset(log->dropped, 0, sizeof(log->dropped));
}

static bool is_within_limit(struct edge_log *log, enum edge_log_level level)
{
	int64_t second = edge_now_us() / TGW_US_PER_S;
	int64_t max_lines = log->lines_per_s;

	if (second != log->second) {
		log->second = second;
		log->written = 0;
		log_dropped(log);
	}
	if (level == EDGE_LOG_DETAIL)
		max_lines /= DETAIL_DIVISOR;
	return level == EDGE_LOG_STATE || log->written < max_lines;
}

void edge_log_line(struct edge_log *log, enum edge_log_level level,
		   const char *subsystem, const char *event, const char *format,
		   ...)
{
	char line[LINE_SIZE];
	struct timespec now;
	va_list args;
	int size;
	int fields_size;

	if (!is_within_limit(log, level)) {
		log->dropped[level]++;
		log->dropped_total++;
		return;
	}
	clock_gettime(CLOCK_REALTIME, &now);
	size = snprintf(line, sizeof(line), "ts=%lld.%03ld part=%s event=%s ",
			(long long)now.tv_sec, now.tv_nsec / (1000 * 1000),
			subsystem, event);
	va_start(args, format);
	fields_size = vsnprintf(line + size, sizeof(line) - (size_t)size - 1,
				format, args);
	va_end(args);
	size += fields_size;
	if (size > LINE_SIZE - 2)
		size = LINE_SIZE - 2;
	/* Names from the store may hold line ends. */
	text_mask_control(line, (size_t)size);
	line[size++] = '\n';
	log->written++;
	if (!write_line(line, (size_t)size)) {
		log->dropped[level]++;
		log->dropped_total++;
	}
}
