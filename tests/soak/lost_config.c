#include "soak/lost_config.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

#include "soak/soak.h"

/* Until a version is followed by all hosts, also by slow ones. */
#define APPLY_US (3 * SOAK_US_PER_S)

struct version {
	int64_t at_us;
	int idle_ms;
	int timeout_ms;
};

static struct version versions[SOAK_VERSIONS_MAX];
static long version_count;

static void add_route(const struct lost_config *config, const char *name,
		      const char *kind, const char *more, struct buffer *text)
{
	buffer_add_format(text,
			  "{\"name\":\"%s\",\"host\":\"a.example\","
			  "\"pathPrefix\":\"/%s/\",\"kind\":\"%s\",%s"
			  "\"timeoutMs\":%d,\"service\":\"app\","
			  "\"maxAttempts\":2},",
			  name, name, kind, more, config->timeout_ms);
}

static void add_routes(const struct lost_config *config, struct buffer *text)
{
	char name[32];
	char split[128];

	snprintf(split, sizeof(split),
		 "\"trafficSplit\":[{\"service\":\"app\",\"weight\":%u},"
		 "{\"service\":\"second\",\"weight\":%u}],",
		 100 - config->second_percent, config->second_percent);
	add_route(config, "safe", "safe", config->second_percent ? split : "",
		  text);
	add_route(config, "unsafe", "unsafe", "", text);
	add_route(config, "resume", "streaming", "\"resumable\":true,", text);
	for (unsigned int i = 0; i < config->extra_routes; i++) {
		snprintf(name, sizeof(name), "extra-%u", i);
		add_route(config, name, "safe", "", text);
	}
	add_route(config, "stream", "streaming", "", text);
	text->data[--text->size] = '\0';
}

static void add_teams(const struct lost_config *config, struct buffer *text)
{
	for (unsigned int i = 0; i < config->extra_teams; i++)
		buffer_add_format(text,
				  "{\"name\":\"extra-%u\",\"apiKeys\":"
				  "[\"key-extra-%u\"],\"prepaid\":%lld},",
				  i, i, (long long)config->prepaid_tokens);
	buffer_add_format(text,
			  "{\"name\":\"" SOAK_RICH_TEAM "\",\"apiKeys\":["
			  "\"key-" SOAK_RICH_TEAM "\"],\"prepaid\":%lld}",
			  (long long)config->prepaid_tokens);
}

void lost_config_write(struct soak *soak, const struct lost_config *config)
{
	struct buffer text = {0};
	char warmup[64] = "";

	if (soak->version + 1 == SOAK_VERSIONS_MAX)
		return;
	buffer_add_format(&text, "{\"version\":%ld,\"routes\":[",
			  ++soak->version);
	add_routes(config, &text);
	if (config->warmup_s)
		snprintf(warmup, sizeof(warmup),
			 ",\"coldStartS\":%d,\"coldPerS\":%d", config->warmup_s,
			 config->warmup_per_s);
	buffer_add_format(
		&text,
		"],\"services\":[{\"name\":\"app\",\"maxConnections\":400,"
		"\"engine\":{\"stride\":%d,\"kvCapacity\":1000000}%s},"
		"{\"name\":\"second\",\"maxConnections\":400,"
		"\"engine\":{\"stride\":%d,\"kvCapacity\":1000000}}],"
		"\"limits\":{\"maxHeaderBytes\":8192,\"maxBodyBytes\":5000,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":%d},\"tenants\":[",
		SOAK_EVENT_TOKENS, warmup, SOAK_EVENT_TOKENS, config->idle_ms);
	add_teams(config, &text);
	buffer_add_text(&text, "]}");
	versions[version_count++] = (struct version){
		.at_us = soak_now_us(),
		.idle_ms = config->idle_ms,
		.timeout_ms = config->timeout_ms,
	};
	kv_standin_put(&soak->store, "op/config", text.data);
	soak->version_us[soak->version] = soak_now_us();
	buffer_free(&text);
}

/* @return the oldest version that may have been in force since the time */
static long oldest_in_force(int64_t since_us)
{
	long oldest = version_count - 1;

	assert(version_count);
	while (oldest > 0 && versions[oldest].at_us + APPLY_US > since_us)
		oldest--;
	return oldest;
}

int64_t lost_config_idle_us(void)
{
	int shortest_ms = versions[version_count - 1].idle_ms;

	for (long i = oldest_in_force(soak_now_us()); i < version_count; i++)
		if (versions[i].idle_ms < shortest_ms)
			shortest_ms = versions[i].idle_ms;
	return (int64_t)shortest_ms * SOAK_US_PER_MS;
}

int64_t lost_config_timeout_us(int64_t since_us)
{
	int shortest_ms = versions[version_count - 1].timeout_ms;

	for (long i = oldest_in_force(since_us); i < version_count; i++)
		if (versions[i].timeout_ms < shortest_ms)
			shortest_ms = versions[i].timeout_ms;
	return (int64_t)shortest_ms * SOAK_US_PER_MS;
}
