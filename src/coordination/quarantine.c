#include "tamarackgw/quarantine.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/xalloc.h"
#include "coordination/quarantine_probation.h"
#include "coordination/quarantine_sync.h"
#include "state/quarantine_message.h"
#include "state/quarantine_table.h"

#define DEFAULT_CRASHES_UNTIL_REFUSED 2
#define DEFAULT_KEEP_US (INT64_C(3600) * TGW_US_PER_S)
#define ANTI_ENTROPY_INTERVAL_US (INT64_C(5) * TGW_US_PER_S)
/* An update made at this host is sent to the local failure domain again for
 * this long, in case a message is lost. */
#define UPDATE_REPEAT_US (INT64_C(2) * TGW_US_PER_S)
#define UPDATE_REPEAT_INTERVAL_US (INT64_C(250) * TGW_US_PER_MS)
#define TICK_US (INT64_C(200) * TGW_US_PER_MS)
#define DOMAINS_MAX 64
#define REPRESENTATIVE_KEY_HASH UINT64_C(0x71617263)

struct tgw_quarantine {
	struct tgw_quarantine_env env;
	struct tgw_host_view *view;
	struct quarantine_table table;
	struct quarantine_probation probation;
	struct quarantine_sync sync;
	struct tgw_quarantine_counters counters;
	int64_t next_anti_entropy_us;
	int64_t next_repeat_us;
	/* Index of the next host, modulo the host count. */
	uint64_t anti_entropy_turn;
};

static int64_t now_of(const struct tgw_quarantine *quarantine)
{
	return tgw_clock_monotonic_us(quarantine->env.clock);
}

static const struct tgw_host *self_of(const struct tgw_quarantine *quarantine)
{
	return tgw_host_view_self(quarantine->view);
}

struct tgw_quarantine_env tgw_quarantine_env_default(void)
{
	struct tgw_quarantine_env env = {
		.crashes_until_refused = DEFAULT_CRASHES_UNTIL_REFUSED,
		.keep_us = DEFAULT_KEEP_US,
	};

	return env;
}

void tgw_fingerprint_of(struct tgw_fingerprint *fingerprint, const char *team,
			const void *body, size_t body_size)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof(fingerprint->bytes));
	crypto_generichash_update(&state, (const unsigned char *)team,
				  strlen(team) + 1);
	crypto_generichash_update(&state, body, body_size);
	crypto_generichash_final(&state, fingerprint->bytes,
				 sizeof(fingerprint->bytes));
}

static void send_message(struct tgw_quarantine *quarantine, const char *host,
			 const struct quarantine_message *message)
{
	struct buffer payload = {0};

	quarantine_message_pack(message, &payload);
	quarantine->counters.peer_messages_sent++;
	tgw_peer_send(quarantine->env.peer, host, TGW_PEER_QUARANTINE,
		      payload.data, payload.size);
	buffer_free(&payload);
}

static void send_items(struct tgw_quarantine *quarantine, const char *host,
		       struct quarantine_item *items, size_t count)
{
	for (size_t at = 0; at < count; at += QUARANTINE_UPDATE_ITEMS_MAX) {
		struct quarantine_message message = {
			.kind = QUARANTINE_UPDATE,
			.items = items + at,
			.item_count = count - at < QUARANTINE_UPDATE_ITEMS_MAX
					      ? count - at
					      : QUARANTINE_UPDATE_ITEMS_MAX,
		};

		send_message(quarantine, host, &message);
	}
}

static void send_table(struct tgw_quarantine *quarantine, const char *host)
{
	send_items(quarantine, host, quarantine->table.items,
		   quarantine->table.count);
}

static bool is_reachable(const struct tgw_host *host)
{
	return host->state == TGW_HOST_ALIVE || host->state == TGW_HOST_LEAVING;
}

static bool is_local(const struct tgw_quarantine *quarantine,
		     const struct tgw_host *host)
{
	return !strcmp(host->failure_domain,
		       self_of(quarantine)->failure_domain);
}

static void send_to_local_domain(struct tgw_quarantine *quarantine,
				 struct quarantine_item *items, size_t count)
{
	const struct tgw_host_view *view = quarantine->view;

	for (size_t i = 0; i < view->host_count; i++)
		if (i != view->self_index && is_reachable(&view->hosts[i]) &&
		    is_local(quarantine, &view->hosts[i]))
			send_items(quarantine, view->hosts[i].name, items,
				   count);
}

/* Sends an item to one host of each other failure domain, which forwards it
 * within its domain. */
static void send_to_other_domains(struct tgw_quarantine *quarantine,
				  struct quarantine_item *item)
{
	const struct tgw_host_view *view = quarantine->view;
	const char *notified[DOMAINS_MAX];
	size_t notified_count = 0;

	for (size_t i = 0; i < view->host_count; i++) {
		const struct tgw_host *host = &view->hosts[i];
		bool is_covered = is_local(quarantine, host);

		for (size_t d = 0; d < notified_count && !is_covered; d++)
			is_covered = !strcmp(notified[d], host->failure_domain);
		if (is_covered || !is_reachable(host) ||
		    notified_count == DOMAINS_MAX)
			continue;
		notified[notified_count++] = host->failure_domain;
		send_items(quarantine, host->name, item, 1);
	}
}

static void on_change(struct tgw_quarantine *quarantine,
		      struct quarantine_item *item)
{
	quarantine->sync.dirty = true;
	item->changed_us = now_of(quarantine);
	item->changed_locally = true;
	send_to_local_domain(quarantine, item, 1);
	send_to_other_domains(quarantine, item);
}

struct tgw_quarantine *tgw_quarantine_new(const struct tgw_quarantine_env *env,
					  const struct tgw_host_view *view)
{
	struct tgw_quarantine *quarantine = xcalloc(1, sizeof(*quarantine));

	quarantine->env = *env;
	quarantine->view = tgw_host_view_copy(view);
	quarantine_sync_init(&quarantine->sync, env, &quarantine->table,
			     &quarantine->counters);
	quarantine_probation_init(&quarantine->probation, env,
				  &quarantine->table, &quarantine->counters,
				  quarantine->view);
	return quarantine;
}

void tgw_quarantine_free(struct tgw_quarantine *quarantine)
{
	if (!quarantine)
		return;
	quarantine_probation_clear(&quarantine->probation);
	quarantine_sync_clear(&quarantine->sync);
	quarantine_table_free(&quarantine->table);
	tgw_host_view_free(quarantine->view);
	free(quarantine);
}

void tgw_quarantine_enter(struct tgw_quarantine *quarantine,
			  const struct tgw_quarantine_query *query,
			  struct tgw_quarantine_callback callback)
{
	quarantine_probation_enter(&quarantine->probation, query, callback);
}

bool tgw_quarantine_admit(struct tgw_quarantine *quarantine,
			  const struct tgw_fingerprint *fingerprint)
{
	const struct quarantine_item *item =
		quarantine_table_find(&quarantine->table, fingerprint);

	if (quarantine_item_is_refused(item,
				       quarantine->env.crashes_until_refused) ||
	    quarantine_permits_find(&quarantine->probation.held, fingerprint) ||
	    quarantine_permits_find(&quarantine->probation.permits,
				    fingerprint)) {
		quarantine->counters.refused++;
		return false;
	}
	quarantine->counters.admitted++;
	return true;
}

void tgw_quarantine_on_crash(struct tgw_quarantine *quarantine,
			     const struct tgw_fingerprint *fingerprint,
			     const char *team, const char *server,
			     uint32_t others_running)
{
	struct quarantine_crash crash = {
		.server_hash = XXH64(server, strlen(server), 0),
		.wall_us = tgw_clock_wall_us(quarantine->env.clock),
	};
	struct quarantine_item *item = quarantine_table_find_or_add(
		&quarantine->table, fingerprint, now_of(quarantine));

	snprintf(item->team, sizeof(item->team), "%s", team);
	quarantine->counters.crashes++;
	if (quarantine_item_add_crash(item, &crash, false))
		on_change(quarantine, item);
	quarantine_probation_end(&quarantine->probation, fingerprint);
}

void tgw_quarantine_on_served(struct tgw_quarantine *quarantine,
			      const struct tgw_fingerprint *fingerprint)
{
	struct quarantine_item *item =
		quarantine_table_find(&quarantine->table, fingerprint);

	if (item && item->crash_count &&
	    !quarantine_item_is_refused(
		    item, quarantine->env.crashes_until_refused)) {
		quarantine_item_clear(item);
		quarantine->counters.cleared++;
		on_change(quarantine, item);
	}
	quarantine_probation_end(&quarantine->probation, fingerprint);
}

void tgw_quarantine_on_ended(struct tgw_quarantine *quarantine,
			     const struct tgw_fingerprint *fingerprint)
{
	quarantine_probation_end(&quarantine->probation, fingerprint);
}

void tgw_quarantine_lift(struct tgw_quarantine *quarantine,
			 const struct tgw_fingerprint *fingerprint)
{
	struct quarantine_item *item =
		quarantine_table_find(&quarantine->table, fingerprint);

	if (!item || !item->crash_count)
		return;
	quarantine_item_lift(item);
	on_change(quarantine, item);
}

size_t tgw_quarantine_list(const struct tgw_quarantine *quarantine,
			   struct tgw_quarantine_entry *entries,
			   size_t capacity)
{
	size_t count = 0;

	for (size_t i = 0; i < quarantine->table.count; i++) {
		const struct quarantine_item *item =
			&quarantine->table.items[i];
		struct tgw_quarantine_entry *entry = &entries[count];

		if (!item->crash_count)
			continue;
		if (count++ >= capacity)
			continue;
		memset(entry, 0, sizeof(*entry));
		entry->fingerprint = item->fingerprint;
		memcpy(entry->team, item->team, sizeof(entry->team));
		entry->crashes = (uint32_t)item->crash_count;
		entry->refused = quarantine_item_is_refused(
			item, quarantine->env.crashes_until_refused);
		entry->last_crash_wall_us =
			item->crashes[item->crash_count - 1].wall_us;
	}
	return count;
}

/* One host of each failure domain represents it: it reads and writes the stored
 * value and sends the table to other hosts, so that the updates of each domain
 * reach the others. */
static bool is_representative(const struct tgw_quarantine *quarantine)
{
	const struct tgw_host *self = self_of(quarantine);
	const struct tgw_host *representative = self;

	tgw_host_view_rank(quarantine->view, self->failure_domain,
			   REPRESENTATIVE_KEY_HASH, &representative, 1);
	return representative == self;
}

/* Sends the whole table to hosts that became reachable or restarted. */
static void send_table_to_new_hosts(struct tgw_quarantine *quarantine,
				    const struct tgw_host_view *before)
{
	const struct tgw_host_view *view = quarantine->view;

	if (!is_representative(quarantine) || !quarantine->table.count)
		return;
	for (size_t i = 0; i < view->host_count; i++) {
		const struct tgw_host *host = &view->hosts[i];
		const struct tgw_host *old =
			tgw_host_view_find(before, host->name);

		if (i != view->self_index && is_reachable(host) &&
		    (!old || !is_reachable(old) ||
		     old->incarnation != host->incarnation))
			send_table(quarantine, host->name);
	}
}

void tgw_quarantine_set_hosts(struct tgw_quarantine *quarantine,
			      const struct tgw_host_view *view)
{
	struct tgw_host_view *before = quarantine->view;

	quarantine->view = tgw_host_view_copy(view);
	quarantine_probation_set_hosts(&quarantine->probation,
				       quarantine->view);
	send_table_to_new_hosts(quarantine, before);
	tgw_host_view_free(before);
}

static void on_update(struct tgw_quarantine *quarantine, const char *from,
		      struct quarantine_message *message)
{
	const struct tgw_host *host =
		tgw_host_view_find(quarantine->view, from);
	bool is_remote = host && !is_local(quarantine, host);

	for (size_t i = 0; i < message->item_count; i++) {
		if (!quarantine_table_merge(&quarantine->table,
					    &message->items[i],
					    now_of(quarantine)))
			continue;
		quarantine->sync.dirty = true;
		if (is_remote)
			send_to_local_domain(quarantine, &message->items[i], 1);
	}
}

void tgw_quarantine_on_message(struct tgw_quarantine *quarantine,
			       const struct tgw_peer_message *message)
{
	struct quarantine_message *decoded = quarantine_message_unpack(
		message->payload, message->payload_size);

	if (!decoded)
		return;
	if (decoded->kind == QUARANTINE_UPDATE)
		on_update(quarantine, message->from_host, decoded);
	else
		quarantine_probation_on_message(&quarantine->probation, message,
						decoded);
	quarantine_message_free(decoded);
}

static void repeat_local_updates(struct tgw_quarantine *quarantine)
{
	int64_t now_us = now_of(quarantine);

	if (now_us < quarantine->next_repeat_us)
		return;
	quarantine->next_repeat_us = now_us + UPDATE_REPEAT_INTERVAL_US;
	for (size_t i = 0; i < quarantine->table.count; i++) {
		struct quarantine_item *item = &quarantine->table.items[i];

		if (!item->changed_locally)
			continue;
		if (now_us - item->changed_us > UPDATE_REPEAT_US)
			item->changed_locally = false;
		else
			send_to_local_domain(quarantine, item, 1);
	}
}

/* Compensates for lost messages: sends the whole table to one host at a time,
 * in turn. */
static void run_anti_entropy(struct tgw_quarantine *quarantine)
{
	const struct tgw_host_view *view = quarantine->view;
	int64_t now_us = now_of(quarantine);

	if (now_us < quarantine->next_anti_entropy_us)
		return;
	quarantine->next_anti_entropy_us = now_us + ANTI_ENTROPY_INTERVAL_US;
	if (!quarantine->table.count || !is_representative(quarantine))
		return;
	for (size_t i = 0; i < view->host_count; i++) {
		size_t at = quarantine->anti_entropy_turn++ % view->host_count;

		if (at == view->self_index || !is_reachable(&view->hosts[at]))
			continue;
		send_table(quarantine, view->hosts[at].name);
		return;
	}
}

int64_t tgw_quarantine_tick(struct tgw_quarantine *quarantine)
{
	int64_t now_us = now_of(quarantine);

	quarantine_probation_tick(&quarantine->probation);
	quarantine_table_expire(&quarantine->table,
				now_us - quarantine->env.keep_us,
				quarantine->env.crashes_until_refused);
	quarantine_sync_tick(&quarantine->sync, is_representative(quarantine));
	if (quarantine->sync.changed) {
		quarantine->sync.changed = false;
		send_to_local_domain(quarantine, quarantine->table.items,
				     quarantine->table.count);
	}
	repeat_local_updates(quarantine);
	run_anti_entropy(quarantine);
	return now_us + TICK_US;
}

const struct tgw_quarantine_counters *tgw_quarantine_counters(
	const struct tgw_quarantine *quarantine)
{
	return &quarantine->counters;
}
