#include "coordination/load_exchange.h"

#include <string.h>

#include "base/short_name.h"
#include "state/load_message.h"

/* Servers' loads change within some hundred milliseconds; messages more often
 * than that tell little more. */
#define INTERVAL_US (400 * TGW_US_PER_MS)
/* A host that was not heard of for this long is told nothing more. */
#define FOLLOWER_GONE_US (3 * TGW_US_PER_S)
/* Hosts of each other failure domain that a relay tells: the first one may have
 * died. */
#define HOSTS_OF_DOMAIN 2
/* Older reports than this are not passed on. */
#define REPORT_AGE_MAX_US (2 * TGW_US_PER_S)

static int64_t now_of(const struct load_exchange *exchange)
{
	return tgw_clock_monotonic_us(exchange->clock);
}

void load_exchange_init(struct load_exchange *exchange, struct tgw_peer *peer,
			const struct tgw_clock *clock,
			struct backend_table *table, const char *failure_domain)
{
	memset(exchange, 0, sizeof(*exchange));
	exchange->peer = peer;
	exchange->clock = clock;
	exchange->table = table;
	short_name_copy(exchange->failure_domain, failure_domain);
}

void load_exchange_set_relay(struct load_exchange *exchange, const char *relay,
			     bool is_self)
{
	exchange->is_relay = is_self;
	short_name_copy(exchange->relay, is_self ? "" : relay);
}

static bool is_first_of_domain(const struct peer_host *hosts, size_t index)
{
	for (size_t i = 0; i < index; i++)
		if (!strcmp(hosts[i].failure_domain,
			    hosts[index].failure_domain))
			return false;
	return true;
}

void load_exchange_set_hosts(struct load_exchange *exchange,
			     const struct peer_host *hosts, size_t count)
{
	exchange->neighbour_count = 0;
	for (size_t i = 0; i < count; i++) {
		const struct peer_host *ranked[HOSTS_OF_DOMAIN];
		size_t found;

		if (!strcmp(hosts[i].failure_domain,
			    exchange->failure_domain) ||
		    !is_first_of_domain(hosts, i))
			continue;
		found = peer_host_rank(hosts, count, hosts[i].failure_domain,
				       ranked, HOSTS_OF_DOMAIN);
		for (size_t j = 0;
		     j < found &&
		     exchange->neighbour_count < LOAD_EXCHANGE_NEIGHBOURS_MAX;
		     j++)
			short_name_copy(exchange->neighbours
						[exchange->neighbour_count++],
					ranked[j]->name);
	}
}

static void send_message(struct load_exchange *exchange, const char *host,
			 struct load_message *message)
{
	struct buffer bytes = {0};

	load_message_encode(message, &bytes);
	tgw_peer_send(exchange->peer, host, TGW_PEER_LOADS, bytes.data,
		      bytes.size);
	exchange->messages_sent++;
	message->count = 0;
	buffer_free(&bytes);
}

static void add_report(struct load_message *message,
		       const struct backend *backend, int64_t now_us)
{
	message->reports[message->count++] = (struct load_report){
		.run = (uint32_t)backend->run_hash,
		.age_ms = (uint32_t)((now_us - backend->reported_us) /
				     TGW_US_PER_MS),
		.running = backend->reported.running,
		.waiting = backend->reported.waiting,
		.work_percent = backend->reported.work_percent,
	};
}

/* Sends the reports that this host has heard of after a time.
 * @param own_only those that servers made to this host */
static void send_reports(struct load_exchange *exchange, const char *host,
			 int64_t after_us, bool own_only)
{
	int64_t now_us = now_of(exchange);
	struct load_message message = {.count = 0};
	bool any = false;

	for (const struct backend *backend = exchange->table->first; backend;
	     backend = backend->next) {
		if (!backend->listed || !backend->reported.work_percent)
			continue;
		any = true;
		if (backend->heard_us <= after_us ||
		    now_us - backend->reported_us > REPORT_AGE_MAX_US ||
		    (own_only && !backend->reported_to_self))
			continue;
		add_report(&message, backend, now_us);
		if (message.count == LOAD_MESSAGE_REPORTS_MAX)
			send_message(exchange, host, &message);
	}
	/* An empty one says that this host wants to be answered. */
	if (message.count || (own_only && any))
		send_message(exchange, host, &message);
}

static struct load_exchange_follower *find_follower(
	struct load_exchange *exchange, const char *host)
{
	struct load_exchange_follower *unused = NULL;

	for (size_t i = 0; i < LOAD_EXCHANGE_FOLLOWERS_MAX; i++) {
		struct load_exchange_follower *follower =
			&exchange->followers[i];

		if (!strcmp(follower->host, host))
			return follower;
		if (!*follower->host && !unused)
			unused = follower;
	}
	if (unused)
		short_name_copy(unused->host, host);
	return unused;
}

static void apply_report(struct load_exchange *exchange,
			 const struct load_report *report, int64_t now_us)
{
	struct backend_load load = {
		.running = report->running,
		.waiting = report->waiting,
		.work_percent = report->work_percent,
	};

	for (struct backend *backend = exchange->table->first; backend;
	     backend = backend->next)
		if ((uint32_t)backend->run_hash == report->run) {
			load.slots = backend->entry.slots;
			backend_report_of_host(backend, &load,
					       now_us - report->age_ms *
								TGW_US_PER_MS,
					       now_us);
			return;
		}
}

/* Relays tell each other without being asked. */
static bool is_neighbour(const struct load_exchange *exchange, const char *host)
{
	for (size_t i = 0; i < exchange->neighbour_count; i++)
		if (!strcmp(exchange->neighbours[i], host))
			return true;
	return false;
}

void load_exchange_on_message(struct load_exchange *exchange,
			      const struct tgw_peer_message *message)
{
	int64_t now_us = now_of(exchange);
	struct load_message decoded;
	struct load_exchange_follower *follower;

	if (load_message_decode(&decoded, message->payload,
				message->payload_size, NULL) != TGW_OK)
		return;
	for (size_t i = 0; i < decoded.count; i++)
		apply_report(exchange, &decoded.reports[i], now_us);
	exchange->reports_received += decoded.count;
	if (!strcmp(message->from_host, exchange->relay) ||
	    is_neighbour(exchange, message->from_host))
		return;
	follower = find_follower(exchange, message->from_host);
	if (follower)
		follower->heard_us = now_us;
}

static void tell_follower(struct load_exchange *exchange,
			  struct load_exchange_follower *follower,
			  int64_t now_us)
{
	if (now_us - follower->heard_us > FOLLOWER_GONE_US) {
		memset(follower, 0, sizeof(*follower));
		return;
	}
	if (now_us - follower->told_us < INTERVAL_US)
		return;
	send_reports(exchange, follower->host, follower->told_us, false);
	follower->told_us = now_us;
}

void load_exchange_tick(struct load_exchange *exchange)
{
	int64_t now_us = now_of(exchange);

	if (!exchange->peer)
		return;
	for (size_t i = 0; i < LOAD_EXCHANGE_FOLLOWERS_MAX; i++)
		if (*exchange->followers[i].host)
			tell_follower(exchange, &exchange->followers[i],
				      now_us);
	if (now_us - exchange->sent_us < INTERVAL_US)
		return;
	if (*exchange->relay)
		send_reports(exchange, exchange->relay, exchange->sent_us,
			     true);
	for (size_t i = 0; exchange->is_relay && i < exchange->neighbour_count;
	     i++)
		send_reports(exchange, exchange->neighbours[i],
			     exchange->sent_us, false);
	exchange->sent_us = now_us;
}
