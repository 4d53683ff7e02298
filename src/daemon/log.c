#include "daemon/log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define LINE_SIZE 1024
#define TIME_SIZE 40
#define CATEGORY_SIZE 40
#define CATEGORY_PREFIX "tamarackgw."

static const char *const component_names[LOG_COMPONENT_COUNT] = {
	[LOG_DAEMON] = "daemon",   [LOG_CALLER] = "caller",
	[LOG_BACKEND] = "backend", [LOG_BUDGET] = "budget",
	[LOG_CLAIM] = "claim",	   [LOG_CONFIG] = "config",
	[LOG_MEMBERS] = "members", [LOG_STORE] = "store",
	[LOG_PEER] = "peer",
};

static const char *const level_names[] = {
	[LOG_ERROR] = "error",
	[LOG_WARNING] = "warning",
	[LOG_INFO] = "info",
	[LOG_DEBUG] = "debug",
};

static const int level_priorities[] = {
	[LOG_ERROR] = LOG4C_PRIORITY_ERROR,
	[LOG_WARNING] = LOG4C_PRIORITY_WARN,
	[LOG_INFO] = LOG4C_PRIORITY_INFO,
	[LOG_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

#define LEVEL_COUNT (sizeof(level_names) / sizeof(level_names[0]))

static log4c_category_t *categories[LOG_COMPONENT_COUNT];
static atomic_int current_level = LOG_INFO;

static const char *level_of_priority(int priority)
{
	for (size_t i = 0; i < LEVEL_COUNT; i++)
		if (level_priorities[i] == priority)
			return level_names[i];
	return "info";
}

static const char *format_event(const log4c_layout_t *layout,
				const log4c_logging_event_t *event)
{
	static _Thread_local char line[LINE_SIZE];
	char when[TIME_SIZE];
	struct tm utc;
	time_t seconds = event->evt_timestamp.tv_sec;

	gmtime_r(&seconds, &utc);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &utc);
	snprintf(line, sizeof(line), "%s.%03ldZ %s %s: %s\n", when,
		 (long)(event->evt_timestamp.tv_usec / 1000),
		 level_of_priority(event->evt_priority),
		 event->evt_category + strlen(CATEGORY_PREFIX), event->evt_msg);
	return line;
}

static const log4c_layout_type_t layout_type = {
	.name = "tamarackgw",
	.format = format_event,
};

/* Used instead of log4c's own appenders, which put their name before each
 * line. */
static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event)
{
	return fputs(event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t appender_type = {
	.name = "tamarackgw",
	.append = append_line,
};

bool log_level_parse(const char *name, enum log_level *level)
{
	for (size_t i = 0; i < LEVEL_COUNT; i++) {
		if (strcmp(level_names[i], name))
			continue;
		*level = (enum log_level)i;
		return true;
	}
	return false;
}

void log_open(enum log_level level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	log4c_init();
	log4c_layout_type_set(&layout_type);
	log4c_appender_type_set(&appender_type);
	layout = log4c_layout_get("tamarackgw");
	log4c_layout_set_type(layout, &layout_type);
	appender = log4c_appender_get("tamarackgw");
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	for (size_t i = 0; i < LOG_COMPONENT_COUNT; i++) {
		char name[CATEGORY_SIZE];

		snprintf(name, sizeof(name), CATEGORY_PREFIX "%s",
			 component_names[i]);
		categories[i] = log4c_category_get(name);
		log4c_category_set_appender(categories[i], appender);
		log4c_category_set_additivity(categories[i], 0);
		log4c_category_set_priority(categories[i],
					    LOG4C_PRIORITY_DEBUG);
	}
	log_set_level(level);
}

void log_close(void)
{
	memset(categories, 0, sizeof(categories));
	log4c_fini();
}

void log_set_level(enum log_level level)
{
	atomic_store(&current_level, (int)level);
}

bool log_enabled(enum log_level level)
{
	return (int)level <= atomic_load(&current_level);
}

void log_line(enum log_component component, enum log_level level,
	      const char *request_id, const char *format, ...)
{
	char message[LINE_SIZE];
	va_list args;
	int length = 0;

	if (!log_enabled(level) || !categories[component])
		return;
	if (request_id)
		length = snprintf(message, sizeof(message), "request=%s ",
				  request_id);
	if (length < 0 || (size_t)length >= sizeof(message))
		return;
	va_start(args, format);
	vsnprintf(message + length, sizeof(message) - (size_t)length, format,
		  args);
	va_end(args);
	log4c_category_log(categories[component], level_priorities[level], "%s",
			   message);
}
