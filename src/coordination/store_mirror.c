#include "coordination/store_mirror.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "coordination/mirror_followers.h"
#include "tamarackgw/host_view.h"

/* Of the time in which a change has to be known, this percentage is the longest
 * that the store may hold a call of a watch that others follow. */
#define HOLD_PERCENT 40
/* A host watches by itself once its knowledge is older than that and this. */
#define FRESH_MARGIN_US (400 * TGW_US_PER_MS)
#define FOLLOW_INTERVAL_US (1 * TGW_US_PER_S)
/* Until it has answered: a relay that is starting does not read messages yet.
 */
#define FOLLOW_RETRY_US (100 * TGW_US_PER_MS)
/* A relay was heard of this recently, so it will tell when the store is back.
 */
#define RELAY_ALIVE_US (2 * TGW_US_PER_S)
/* Minimum time between two lists of the store while the relay says that it does
 * not answer. */
#define HELD_LIST_US (2 * TGW_US_PER_S)
/* A starting host lists the store by itself if its relay has not told it the
 * keys this long after it became known, or has stopped sending parts of them
 * for the second time, and in any case after the third one. */
#define START_WAIT_US (1 * TGW_US_PER_S)
#define PART_WAIT_US (300 * TGW_US_PER_MS)
#define START_WAIT_MAX_US (4 * TGW_US_PER_S)

/* Longer than a binding waits for a late answer and then tells of the failure.
 */
#define STALL_MARGIN_US (1 * TGW_US_PER_S)

struct store_mirror {
	struct tgw_store store; /**< first member */
	struct tgw_store *inner;
	const struct tgw_clock *clock;
	struct tgw_peer *peer;
	void (*called)(void *arg, bool answered); /**< may be NULL */
	/** May be NULL. */
	void (*stalled)(void *arg, const char *prefix, int64_t silent_us);
	void *arg;
	int64_t watch_period_us; /**< between two answers to a watch */
	uint64_t sequence;	 /**< of the last message */
	int64_t hold_us;	 /**< of a watch that others follow */
	int64_t discovered_us;	 /**< a relay is known by then, or there is none
				  */
	int64_t started_us;
	/** Until then a prefix that was never listed waits for the relay. */
	int64_t start_wait_until_us;
	uint64_t last_handle;
	char relay[TGW_NAME_SIZE]; /**< empty: none */
	uint64_t relay_process;
	uint64_t relay_sequence;
	int64_t relay_heard_us; /**< 0: never */
	bool relay_store_unreachable;
	int64_t follow_sent_us;
	struct mirror_followers followers;
	size_t prefix_count;
	struct mirrored_prefix prefixes[CHANGE_PREFIXES_MAX];
	struct store_mirror_counters counters;
};

static struct store_mirror *mirror_of(struct tgw_store *store)
{
	return (struct store_mirror *)store;
}

static int64_t now_of(const struct store_mirror *mirror)
{
	return tgw_clock_monotonic_us(mirror->clock);
}

static bool is_fresh(const struct store_mirror *mirror,
		     const struct mirrored_prefix *prefix)
{
	return *mirror->relay && prefix->relay_confirmed_us &&
	       now_of(mirror) - prefix->relay_confirmed_us <=
		       mirror->hold_us + FRESH_MARGIN_US;
}

/* Hosts that start together would all list the same keys. */
static bool awaits_relay(const struct store_mirror *mirror,
			 const struct mirrored_prefix *prefix)
{
	return !prefix->table.revision && !mirror->relay_store_unreachable &&
	       now_of(mirror) < mirror->start_wait_until_us;
}

static void extend_start_wait(struct store_mirror *mirror)
{
	int64_t until_us = now_of(mirror) + PART_WAIT_US;
	int64_t max_us = mirror->started_us + START_WAIT_MAX_US;

	if (until_us > max_us)
		until_us = max_us;
	if (mirror->start_wait_until_us < until_us)
		mirror->start_wait_until_us = until_us;
}

static void on_updated(void *arg, struct mirrored_prefix *prefix,
		       int64_t previous_revision)
{
	struct store_mirror *mirror = arg;

	mirror_followers_update(&mirror->followers, prefix, previous_revision);
}

static void on_called(void *arg, bool answered)
{
	const struct store_mirror *mirror = arg;

	if (mirror->called)
		mirror->called(mirror->arg, answered);
}

/* Sending. */

static void send_follow(struct store_mirror *mirror)
{
	struct change_message message = {
		.kind = CHANGE_MESSAGE_FOLLOW,
		.stamp_us = now_of(mirror),
	};

	mirror->follow_sent_us = message.stamp_us;
	mirror_followers_send(&mirror->followers, mirror->relay, &message);
}

static void send_pull(struct store_mirror *mirror,
		      const struct mirrored_prefix *prefix,
		      struct change_message *message)
{
	mirror->counters.pulls++;
	message->prefix = (uint32_t)(prefix - mirror->prefixes);
	mirror_followers_send(&mirror->followers, mirror->relay, message);
}

static void ask_for_parts(struct store_mirror *mirror,
			  struct mirrored_prefix *prefix)
{
	struct change_message message = {0};

	mirror_pull_ask(&prefix->pull, &message, now_of(mirror));
	send_pull(mirror, prefix, &message);
}

static void start_pull(struct store_mirror *mirror,
		       struct mirrored_prefix *prefix)
{
	if (prefix->pull.active)
		return;
	mirror_pull_start(&prefix->pull, prefix->table.revision);
	ask_for_parts(mirror, prefix);
}

static void repeat_pull(struct store_mirror *mirror,
			struct mirrored_prefix *prefix)
{
	struct change_message message = {0};

	if (!mirror_pull_is_late(&prefix->pull, now_of(mirror)))
		return;
	mirror_pull_repeat(&prefix->pull, &message, now_of(mirror));
	send_pull(mirror, prefix, &message);
}

/* Receiving, as a follower. */

static void add_part(struct store_mirror *mirror,
		     struct mirrored_prefix *prefix,
		     const struct change_message *message)
{
	struct mirror_pull *pull = &prefix->pull;
	enum mirror_pull_step step =
		mirror_pull_add(pull, message, now_of(mirror));

	if (step != MIRROR_PULL_IGNORED && awaits_relay(mirror, prefix))
		extend_start_wait(mirror);
	if (step == MIRROR_PULL_ASK)
		ask_for_parts(mirror, prefix);
	else if (step == MIRROR_PULL_WHOLE)
		mirrored_prefix_apply(prefix, pull->bytes.data,
				      pull->bytes.size);
}

static void on_part(struct store_mirror *mirror,
		    const struct change_message *message)
{
	struct mirrored_prefix *prefix;

	if (message->prefix >= mirror->prefix_count)
		return;
	prefix = &mirror->prefixes[message->prefix];
	mirror->counters.changes_received++;
	if (message->part_size < message->total_size) {
		add_part(mirror, prefix, message);
		return;
	}
	if (mirrored_prefix_apply(prefix, message->part, message->part_size) ==
	    TGW_OK)
		prefix->pull.active = false;
}

/* @param confirmed_us when the store confirmed the relay's knowledge, or
 * earlier */
static void on_state(struct store_mirror *mirror,
		     struct mirrored_prefix *prefix,
		     const struct change_state *state, int64_t confirmed_us)
{
	struct mirror_table *table = &prefix->table;

	if (state->age_us < 0 || state->revision < table->revision)
		return;
	if (state->changed_revision > table->revision) {
		start_pull(mirror, prefix);
		return;
	}
	mirror_table_confirm(table, state->revision);
	if (prefix->relay_confirmed_us < confirmed_us)
		prefix->relay_confirmed_us = confirmed_us;
}

/* A message that arrives after a later one tells nothing new. */
static bool is_news(struct store_mirror *mirror,
		    const struct tgw_peer_message *from,
		    const struct change_message *message)
{
	if (from->from_incarnation != mirror->relay_process) {
		mirror->relay_process = from->from_incarnation;
		mirror->relay_sequence = 0;
	}
	if (message->sequence <= mirror->relay_sequence)
		return false;
	mirror->relay_sequence = message->sequence;
	return true;
}

static void on_relay(struct store_mirror *mirror,
		     const struct tgw_peer_message *from,
		     const struct change_message *message)
{
	bool news = is_news(mirror, from, message);

	if (message->kind == CHANGE_MESSAGE_PART)
		on_part(mirror, message);
	/* The stamp of a later boot or process would be later than now. */
	if (!news || message->stamp_us > now_of(mirror))
		return;
	mirror->relay_heard_us = now_of(mirror);
	mirror->relay_store_unreachable = false;
	for (size_t i = 0; i < message->state_count && i < mirror->prefix_count;
	     i++) {
		const struct change_state *state = &message->states[i];

		if (state->store_unreachable)
			mirror->relay_store_unreachable = true;
		on_state(mirror, &mirror->prefixes[i], state,
			 message->stamp_us + message->held_us - state->age_us);
		if (is_fresh(mirror, &mirror->prefixes[i]))
			mirrored_prefix_answer_lists(&mirror->prefixes[i]);
	}
}

void store_mirror_on_message(struct store_mirror *mirror,
			     const struct tgw_peer_message *message)
{
	struct change_message decoded;

	if (change_message_decode(&decoded, message->payload,
				  message->payload_size, NULL) != TGW_OK)
		return;
	if (decoded.kind == CHANGE_MESSAGE_FOLLOW ||
	    decoded.kind == CHANGE_MESSAGE_PULL)
		mirror_followers_on_message(&mirror->followers,
					    message->from_host, &decoded);
	else if (!strcmp(message->from_host, mirror->relay))
		on_relay(mirror, message, &decoded);
}

/* The store interface. */

static struct mirrored_prefix *find_prefix(struct store_mirror *mirror,
					   const char *prefix)
{
	for (size_t i = 0; i < mirror->prefix_count; i++)
		if (!strcmp(mirror->prefixes[i].prefix, prefix))
			return &mirror->prefixes[i];
	return NULL;
}

static void mirror_get(struct tgw_store *store, const char *key,
		       struct tgw_store_callback callback)
{
	tgw_store_get(mirror_of(store)->inner, key, callback);
}

static void mirror_swap(struct tgw_store *store, const char *key,
			int64_t expected_version, const void *value,
			size_t value_size, struct tgw_store_callback callback)
{
	tgw_store_swap(mirror_of(store)->inner, key, expected_version, value,
		       value_size, callback);
}

/* While the relay lives and does not reach the store either, it is the first to
 * learn of the store's return. */
static bool holds_lists(const struct store_mirror *mirror,
			const struct mirrored_prefix *prefix)
{
	int64_t now = now_of(mirror);

	return *mirror->relay && mirror->relay_store_unreachable &&
	       now - mirror->relay_heard_us < RELAY_ALIVE_US &&
	       now - prefix->listed_us < HELD_LIST_US;
}

static void mirror_list(struct tgw_store *store, const char *prefix,
			struct tgw_store_callback callback)
{
	struct store_mirror *mirror = mirror_of(store);
	struct mirrored_prefix *found = find_prefix(mirror, prefix);

	if (!found) {
		tgw_store_list(mirror->inner, prefix, callback);
		return;
	}
	mirrored_prefix_add_list(found, callback);
	if (!is_fresh(mirror, found) && !holds_lists(mirror, found) &&
	    !awaits_relay(mirror, found))
		mirrored_prefix_send_lists(found);
}

static uint64_t mirror_watch(struct tgw_store *store, const char *prefix,
			     struct tgw_store_watcher watcher)
{
	struct store_mirror *mirror = mirror_of(store);
	struct mirrored_prefix *found = find_prefix(mirror, prefix);
	uint64_t handle;

	if (!found)
		return tgw_store_watch(mirror->inner, prefix, watcher);
	/* Handles of the store itself are smaller. */
	handle = UINT64_C(1) << 63 | ++mirror->last_handle;
	mirrored_prefix_add_watcher(found, handle, &watcher);
	return handle;
}

static void mirror_unwatch(struct tgw_store *store, uint64_t handle)
{
	struct store_mirror *mirror = mirror_of(store);

	for (size_t i = 0; i < mirror->prefix_count; i++)
		if (mirrored_prefix_remove_watcher(&mirror->prefixes[i],
						   handle))
			return;
	tgw_store_unwatch(mirror->inner, handle);
}

static const struct tgw_store_ops mirror_ops = {
	.get = mirror_get,
	.list = mirror_list,
	.swap = mirror_swap,
	.watch = mirror_watch,
	.unwatch = mirror_unwatch,
};

struct store_mirror *store_mirror_new(
	const struct store_mirror_settings *settings, struct tgw_store *store,
	const struct tgw_clock *clock)
{
	struct store_mirror *mirror = xcalloc(1, sizeof(*mirror));

	assert(settings->prefix_count <= CHANGE_PREFIXES_MAX);
	mirror->store.ops = &mirror_ops;
	mirror->inner = store;
	mirror->clock = clock;
	mirror->called = settings->called;
	mirror->stalled = settings->stalled;
	mirror->arg = settings->arg;
	mirror->watch_period_us = settings->watch_period_us;
	mirror->followers.peer = settings->peer;
	mirror->followers.clock = clock;
	mirror->followers.prefixes = mirror->prefixes;
	mirror->followers.prefix_count = settings->prefix_count;
	mirror->hold_us = settings->apply_us * HOLD_PERCENT / 100;
	mirror->started_us = now_of(mirror);
	mirror->discovered_us = mirror->started_us;
	if (settings->peer)
		mirror->discovered_us += settings->discovery_us;
	mirror->start_wait_until_us = mirror->discovered_us;
	mirror->prefix_count = settings->prefix_count;
	for (size_t i = 0; i < settings->prefix_count; i++) {
		mirror->prefixes[i].prefix = settings->prefixes[i];
		mirror->prefixes[i].store = store;
		mirror->prefixes[i].clock = clock;
		mirror->prefixes[i].updated = on_updated;
		mirror->prefixes[i].called = on_called;
		mirror->prefixes[i].arg = mirror;
	}
	return mirror;
}

void store_mirror_free(struct store_mirror *mirror)
{
	if (!mirror)
		return;
	for (size_t i = 0; i < mirror->prefix_count; i++)
		mirrored_prefix_clear(&mirror->prefixes[i]);
	mirror_followers_clear(&mirror->followers);
	free(mirror);
}

struct tgw_store *store_mirror_store(struct store_mirror *mirror)
{
	return &mirror->store;
}

/* No relay will tell the keys. */
static void end_start_wait(struct store_mirror *mirror)
{
	mirror->start_wait_until_us = now_of(mirror);
	for (size_t i = 0; i < mirror->prefix_count; i++)
		if (!mirror->prefixes[i].table.revision)
			mirrored_prefix_send_lists(&mirror->prefixes[i]);
}

void store_mirror_set_relay(struct store_mirror *mirror, const char *relay)
{
	int64_t now = now_of(mirror);

	if (!*relay && mirror->discovered_us > now)
		mirror->discovered_us = now;
	if (!*relay && mirror->start_wait_until_us > now)
		end_start_wait(mirror);
	else if (!*mirror->relay && mirror->start_wait_until_us > now)
		mirror->start_wait_until_us = now + START_WAIT_US;
	if (!strcmp(mirror->relay, relay))
		return;
	short_name_copy(mirror->relay, relay);
	mirror->relay_sequence = 0;
	mirror->relay_heard_us = 0;
	mirror->relay_store_unreachable = false;
	mirror->follow_sent_us = 0;
	for (size_t i = 0; i < mirror->prefix_count; i++)
		mirror->prefixes[i].pull.active = false;
	if (*mirror->relay)
		send_follow(mirror);
}

static void watch(struct store_mirror *mirror, struct mirrored_prefix *prefix)
{
	if (mirrored_prefix_watch(prefix, mirror->followers.first != NULL,
				  mirror->hold_us))
		mirror->counters.watched_store++;
}

/* A watch tells at least that the store does not answer. One that tells nothing
 * is opened anew, whatever has stopped it. */
static void check_watch(struct store_mirror *mirror,
			struct mirrored_prefix *prefix)
{
	int64_t silent_us = mirrored_prefix_end_stalled_watch(
		prefix, mirror->watch_period_us, STALL_MARGIN_US);

	if (!silent_us)
		return;
	mirror->counters.stalled_watches++;
	if (mirror->stalled)
		mirror->stalled(mirror->arg, prefix->prefix, silent_us);
}

static void tick_prefix(struct store_mirror *mirror,
			struct mirrored_prefix *prefix)
{
	if (is_fresh(mirror, prefix)) {
		if (prefix->watch)
			mirror->counters.followed_relays++;
		mirrored_prefix_unwatch(prefix);
		mirrored_prefix_answer_lists(prefix);
	} else if (!awaits_relay(mirror, prefix)) {
		check_watch(mirror, prefix);
		if (now_of(mirror) >= mirror->discovered_us)
			watch(mirror, prefix);
		if (!holds_lists(mirror, prefix))
			mirrored_prefix_send_lists(prefix);
	}
	repeat_pull(mirror, prefix);
}

static int64_t follow_interval_us(const struct store_mirror *mirror)
{
	return mirror->relay_heard_us ? FOLLOW_INTERVAL_US : FOLLOW_RETRY_US;
}

void store_mirror_tick(struct store_mirror *mirror)
{
	int64_t now = now_of(mirror);

	mirror_followers_expire(&mirror->followers);
	mirror->counters.changes_sent = mirror->followers.changes_sent;
	if (*mirror->relay &&
	    now - mirror->follow_sent_us >= follow_interval_us(mirror))
		send_follow(mirror);
	for (size_t i = 0; i < mirror->prefix_count; i++)
		tick_prefix(mirror, &mirror->prefixes[i]);
}

bool store_mirror_follows_relay(const struct store_mirror *mirror)
{
	for (size_t i = 0; i < mirror->prefix_count; i++)
		if (!is_fresh(mirror, &mirror->prefixes[i]))
			return false;
	return mirror->prefix_count > 0;
}

size_t store_mirror_prefix_count(const struct store_mirror *mirror)
{
	return mirror->prefix_count;
}

const char *store_mirror_prefix(const struct store_mirror *mirror,
				size_t number)
{
	return mirror->prefixes[number].prefix;
}

int64_t store_mirror_age_us(const struct store_mirror *mirror, size_t number)
{
	int64_t confirmed_us =
		mirrored_prefix_confirmed_us(&mirror->prefixes[number]);

	return confirmed_us ? now_of(mirror) - confirmed_us
			    : STORE_MIRROR_NEVER_CONFIRMED;
}

int64_t store_mirror_version(const struct store_mirror *mirror)
{
	int64_t latest = TGW_STORE_ABSENT;

	for (size_t i = 0; i < mirror->prefix_count; i++)
		if (mirror->prefixes[i].table.revision > latest)
			latest = mirror->prefixes[i].table.revision;
	return latest;
}

size_t store_mirror_follower_count(const struct store_mirror *mirror)
{
	return mirror_followers_count(&mirror->followers);
}

const struct store_mirror_counters *store_mirror_get_counters(
	const struct store_mirror *mirror)
{
	return &mirror->counters;
}
