#include "soak/soak.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/xalloc.h"

#define PERCENT 100
#define STALL_US (100 * SOAK_US_PER_MS)
#define NS_PER_US 1000
#define POOR_FIRST_TOKENS 30000
#define POOR_RAISE_TOKENS 6000
/* One version in this many pays in more. */
#define RAISE_EVERY 3

static const char config_format[] =
	"{\"version\":%ld,\"routes\":["
	"{\"name\":\"safe\",\"host\":\"a.example\",\"pathPrefix\":\"/safe/\","
	"\"kind\":\"safe\",\"timeoutMs\":%d,\"service\":\"app\","
	"\"maxAttempts\":2},"
	"{\"name\":\"unsafe\",\"host\":\"a.example\","
	"\"pathPrefix\":\"/unsafe/\",\"kind\":\"unsafe\",\"timeoutMs\":%d,"
	"\"service\":\"app\",\"maxAttempts\":2},"
	"{\"name\":\"stream\",\"host\":\"a.example\","
	"\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\","
	"\"timeoutMs\":%d,\"service\":\"app\",\"maxAttempts\":2},"
	"{\"name\":\"resume\",\"host\":\"a.example\","
	"\"pathPrefix\":\"/resume/\",\"kind\":\"streaming\","
	"\"resumable\":true,\"timeoutMs\":%d,\"service\":\"app\","
	"\"maxAttempts\":3},"
	"{\"name\":\"version-%ld\",\"host\":\"a.example\","
	"\"pathPrefix\":\"/version-%ld/\",\"kind\":\"safe\","
	"\"timeoutMs\":%d,\"service\":\"app\",\"maxAttempts\":2,"
	"\"public\":true}],"
	"\"services\":[{\"name\":\"app\",\"maxConnections\":200,"
	"\"engine\":{\"stride\":%d,\"kvCapacity\":1000000}}],"
	"\"limits\":{\"maxHeaderBytes\":4096,\"maxBodyBytes\":5000,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":5000},"
	"\"tenants\":[{\"name\":\"" SOAK_RICH_TEAM
	"\",\"apiKeys\":[\"key-" SOAK_RICH_TEAM "\"],\"prepaid\":1000000000},"
	"{\"name\":\"" SOAK_POOR_TEAM "\",\"apiKeys\":[\"key-" SOAK_POOR_TEAM
	"\"],\"prepaid\":%lld},"
	"{\"name\":\"" SOAK_VERSION_TEAM "\",\"apiKeys\":[\"key-%ld\"],"
	"\"prepaid\":1000000}]}";

int64_t soak_now_us(void)
{
	return (int64_t)(uv_hrtime() / NS_PER_US);
}

static void print_line(const struct soak *soak, const char *mark,
		       const char *format, va_list arguments)
{
	printf("%8.3f %s",
	       (double)(soak_now_us() - soak->begun_us) / SOAK_US_PER_S, mark);
	vprintf(format, arguments);
	printf("\n");
}

void soak_note(const struct soak *soak, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	print_line(soak, "", format, arguments);
	va_end(arguments);
}

void soak_broken(struct soak *soak, const char *rule, const char *format, ...)
{
	va_list arguments;
	char mark[48];

	soak->broken++;
	snprintf(mark, sizeof(mark), "BROKEN %s: ", rule);
	va_start(arguments, format);
	print_line(soak, mark, format, arguments);
	va_end(arguments);
}

void soak_configure(struct soak *soak)
{
	long version = soak->version + 1;
	char *text;

	if (version == SOAK_VERSIONS_MAX)
		return;
	if (version == 1)
		soak->poor_paid_tokens = POOR_FIRST_TOKENS;
	else if (!tgw_random_below(&soak->random, RAISE_EVERY))
		soak->poor_paid_tokens += POOR_RAISE_TOKENS;
	text = xasprintf(config_format, version, SOAK_TIMEOUT_MS,
			 SOAK_TIMEOUT_MS, SOAK_TIMEOUT_MS, SOAK_TIMEOUT_MS,
			 version, version, SOAK_TIMEOUT_MS, SOAK_EVENT_TOKENS,
			 (long long)soak->poor_paid_tokens, version);
	soak->version = version;
	kv_standin_put(&soak->store, "op/config", text);
	soak->version_us[version] = soak_now_us();
	free(text);
}

bool soak_happens(struct soak *soak, unsigned int percent)
{
	return tgw_random_below(&soak->random, PERCENT) < percent;
}

void soak_record_stall(struct soak *soak)
{
	int64_t now_us = soak_now_us();

	if (soak->ticked_us && now_us - soak->ticked_us > STALL_US) {
		soak->stalled_us = now_us;
		/* The store is in this process. */
		soak->store_disturbed_us = now_us;
		soak_note(soak, "this process did not run for %lld ms",
			  (long long)((now_us - soak->ticked_us) /
				      SOAK_US_PER_MS));
	}
	soak->ticked_us = now_us;
}

void soak_hosts_start(struct soak *soak)
{
	const char **addresses = xcalloc(soak->host_count, sizeof(*addresses));

	soak->hosts = xcalloc(soak->host_count, sizeof(*soak->hosts));
	for (size_t i = 0; i < soak->host_count; i++) {
		soak_host_init(&soak->hosts[i], soak, i);
		addresses[i] = soak->hosts[i].peer_address;
	}
	soak_peers_start(&soak->peers, &soak->loop, &soak->random,
			 soak->host_count, addresses);
	for (size_t i = 0; i < soak->host_count; i++)
		soak_host_start(&soak->hosts[i]);
	free(addresses);
}
