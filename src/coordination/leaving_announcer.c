#include "coordination/leaving_announcer.h"

#include <string.h>

#include "base/buffer.h"

#define SENDS 2
#define REPEAT_US (500 * TGW_US_PER_MS)

void leaving_announcer_init(struct leaving_announcer *announcer,
			    struct tgw_peer *peer,
			    const struct tgw_clock *clock, const char *host,
			    const char *failure_domain)
{
	memset(announcer, 0, sizeof(*announcer));
	announcer->peer = peer;
	announcer->clock = clock;
	announcer->host = host;
	announcer->failure_domain = failure_domain;
}

void leaving_announcer_add(struct leaving_announcer *announcer,
			   const struct leaving_notice *notice)
{
	if (!announcer->peer)
		return;
	announcer->pending[announcer->next] = (struct leaving_announcement){
		.notice = *notice,
		.sends_left = SENDS,
	};
	announcer->next = (announcer->next + 1) % LEAVING_ANNOUNCER_NOTICES_MAX;
}

static void send_notice(const struct leaving_announcer *announcer,
			const struct leaving_notice *notice,
			const struct peer_host *hosts, size_t host_count)
{
	struct buffer bytes = {0};

	leaving_notice_encode(notice, &bytes);
	for (size_t i = 0; i < host_count; i++)
		if (!strcmp(hosts[i].failure_domain,
			    announcer->failure_domain) &&
		    strcmp(hosts[i].name, announcer->host))
			tgw_peer_send(announcer->peer, hosts[i].name,
				      TGW_PEER_SERVERS, bytes.data, bytes.size);
	buffer_free(&bytes);
}

void leaving_announcer_tick(struct leaving_announcer *announcer,
			    const struct peer_host *hosts, size_t host_count)
{
	int64_t now_us = tgw_clock_monotonic_us(announcer->clock);

	for (size_t i = 0; i < LEAVING_ANNOUNCER_NOTICES_MAX; i++) {
		struct leaving_announcement *pending = &announcer->pending[i];

		if (!pending->sends_left || now_us < pending->due_us)
			continue;
		pending->sends_left--;
		pending->due_us = now_us + REPEAT_US;
		send_notice(announcer, &pending->notice, hosts, host_count);
	}
}
