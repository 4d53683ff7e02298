#include "tamarackgw/membership.h"

#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/text.h"
#include "base/xalloc.h"
#include "coordination/heartbeat_plan.h"
#include "coordination/member.h"
#include "state/heartbeat.h"
#include "tamarackgw/random.h"

#define DEFAULT_HEARTBEAT_US TGW_US_PER_S
#define DEFAULT_SILENT_US (4 * TGW_US_PER_S)
#define DEFAULT_GONE_US (60 * TGW_US_PER_S)

/* silent_after_us is at least this many rounds longer than an update takes to
 * reach all hosts of a failure domain; heartbeats may be lost or late. */
#define SPARE_ROUNDS 4

/* Heartbeats from other failure domains are less frequent, so silent_after_us
 * is longer by this factor for their hosts. */
#define REMOTE_LIMIT_FACTOR 4

/* A host that is gone stays in the view for this many times gone_after_us. */
#define GONE_RETENTION_FACTOR 30

/* Minimum time between two queries to one host for a heartbeat. */
#define MIN_QUERY_INTERVAL_US TGW_US_PER_S
#define MAX_QUERIES_PER_ROUND 4

struct tgw_membership {
	struct tgw_membership_env env;
	struct tgw_random random;
	struct tgw_membership_counters counters;
	size_t member_count;
	struct member *members; /* sorted by name */
	struct tgw_host_view *view;
	bool view_is_stale;
	uint32_t beat;
	uint64_t round;
	int64_t next_beat_us;
	/* At least as configured; longer in a large failure domain. */
	int64_t silent_after_us;
	/* This host is isolated when it has received no message from any host
	 * for this long. */
	int64_t isolated_after_us;
	int64_t last_tick_us;
	int64_t last_received_us;   /* last message from any host */
	uint64_t newest_generation; /* highest known to be in force anywhere */
	uint32_t newest_name_hash;  /* of the host where it is in force */
};

struct tgw_membership_env tgw_membership_env_default(void)
{
	struct tgw_membership_env env = {
		.heartbeat_interval_us = DEFAULT_HEARTBEAT_US,
		.silent_after_us = DEFAULT_SILENT_US,
		.gone_after_us = DEFAULT_GONE_US,
	};

	return env;
}

static int64_t now_of(const struct tgw_membership *membership)
{
	return tgw_clock_monotonic_us(membership->env.clock);
}

static struct member_limits limits_for(const struct tgw_membership *membership,
				       const struct member *member)
{
	struct member_limits limits = {
		.silent_after_us = membership->silent_after_us,
		.gone_after_us = membership->env.gone_after_us,
	};

	if (!member->is_local)
		limits.silent_after_us *= REMOTE_LIMIT_FACTOR;
	return limits;
}

/* Raises silent_after_us and isolated_after_us with the number of hosts in the
 * local failure domain: in a larger domain, an update takes more rounds to
 * reach all hosts. */
static void update_limits(struct tgw_membership *membership)
{
	size_t count = 0;
	int64_t min_silent_us;

	for (size_t i = 0; i < membership->member_count; i++)
		count += membership->members[i].is_local &&
			 membership->members[i].host.state != TGW_HOST_GONE;
	min_silent_us = (int64_t)(heartbeat_plan_rounds(count) + SPARE_ROUNDS) *
			membership->env.heartbeat_interval_us;
	membership->silent_after_us = membership->env.silent_after_us;
	if (membership->silent_after_us < min_silent_us)
		membership->silent_after_us = min_silent_us;
	membership->isolated_after_us = membership->silent_after_us;
	if (count == 1) /* only other failure domains send to this host */
		membership->isolated_after_us *= REMOTE_LIMIT_FACTOR;
}

static struct member *find_member(struct tgw_membership *membership,
				  const char *name)
{
	size_t low = 0;
	size_t high = membership->member_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = strcmp(membership->members[middle].host.name, name);

		if (!order)
			return &membership->members[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

static struct member *find_by_hash(struct tgw_membership *membership,
				   uint32_t name_hash)
{
	for (size_t i = 0; i < membership->member_count; i++)
		if (membership->members[i].name_hash == name_hash)
			return &membership->members[i];
	return NULL;
}

static struct member *self_of(struct tgw_membership *membership)
{
	return find_member(membership, membership->env.self.name);
}

static int compare_members(const void *a, const void *b)
{
	return strcmp(((const struct member *)a)->host.name,
		      ((const struct member *)b)->host.name);
}

static void publish_view(struct tgw_membership *membership)
{
	struct tgw_host_view *view = xcalloc(1, sizeof(*view));
	struct tgw_host_view *old = membership->view;

	view->version = old ? old->version + 1 : 1;
	view->host_count = membership->member_count;
	view->hosts = xcalloc(view->host_count, sizeof(view->hosts[0]));
	for (size_t i = 0; i < view->host_count; i++) {
		view->hosts[i] = membership->members[i].host;
		if (membership->members[i].is_self)
			view->self_index = i;
	}
	membership->view = view;
	membership->view_is_stale = false;
	if (membership->env.changed)
		membership->env.changed(membership->env.arg, view);
	tgw_host_view_free(old);
}

static void count_transition(struct tgw_membership *membership,
			     const struct member *member)
{
	switch (member->host.state) {
	case TGW_HOST_SILENT:
		membership->counters.became_silent++;
		break;
	case TGW_HOST_GONE:
		membership->counters.became_gone++;
		break;
	case TGW_HOST_ALIVE:
		membership->counters.became_alive++;
		break;
	default:
		break;
	}
}

/* @return whether the member's state changed */
static bool evaluate(struct tgw_membership *membership, struct member *member)
{
	struct member_limits limits = limits_for(membership, member);

	if (!member_evaluate(member, &limits, now_of(membership)))
		return false;
	count_transition(membership, member);
	membership->view_is_stale = true;
	return true;
}

static void remove_gone(struct tgw_membership *membership)
{
	int64_t keep_us = membership->env.gone_after_us * GONE_RETENTION_FACTOR;
	size_t kept = 0;

	for (size_t i = 0; i < membership->member_count; i++) {
		const struct member *member = &membership->members[i];

		if (member->host.state == TGW_HOST_GONE && !member->listed &&
		    now_of(membership) - member->silent_at_us > keep_us) {
			membership->view_is_stale = true;
			continue;
		}
		membership->members[kept++] = *member;
	}
	membership->member_count = kept;
}

static struct member *add_member(struct tgw_membership *membership,
				 const char *name)
{
	membership->members = xrealloc(membership->members,
				       (membership->member_count + 1) *
					       sizeof(membership->members[0]));
	member_init(&membership->members[membership->member_count++], name,
		    now_of(membership));
	qsort(membership->members, membership->member_count,
	      sizeof(membership->members[0]), compare_members);
	membership->view_is_stale = true;
	return find_member(membership, name);
}

static void add_self(struct tgw_membership *membership)
{
	struct member *self = add_member(membership, membership->env.self.name);

	self->host = membership->env.self;
	self->is_self = true;
	self->is_local = true;
	self->listed = true;
	self->host.state = TGW_HOST_ALIVE;
}

struct tgw_membership *tgw_membership_new(const struct tgw_membership_env *env)
{
	struct tgw_membership *membership = xcalloc(1, sizeof(*membership));

	membership->env = *env;
	tgw_random_init(&membership->random, env->random_seed);
	/* Starts from the wall clock, so that the beats are usually newer than
	 * those before a restart: member_on_beat() ignores a beat that is not
	 * newer than the last one. */
	membership->beat = (uint32_t)(tgw_clock_wall_us(env->clock) /
				      env->heartbeat_interval_us) &
			   HEARTBEAT_BEAT_MASK;
	membership->last_tick_us = now_of(membership);
	membership->last_received_us = now_of(membership);
	membership->next_beat_us = now_of(membership);
	add_self(membership);
	update_limits(membership);
	publish_view(membership);
	return membership;
}

void tgw_membership_free(struct tgw_membership *membership)
{
	if (!membership)
		return;
	tgw_host_view_free(membership->view);
	free(membership->members);
	free(membership);
}

const struct tgw_host_view *tgw_membership_view(
	const struct tgw_membership *membership)
{
	return membership->view;
}

const struct tgw_membership_counters *tgw_membership_counters(
	const struct tgw_membership *membership)
{
	return &membership->counters;
}

/* A host that receives no messages reports so in its heartbeats, and others
 * then treat it as silent. */
static bool is_isolated(const struct tgw_membership *membership)
{
	return membership->member_count > 1 &&
	       now_of(membership) - membership->last_received_us >
		       membership->isolated_after_us;
}

static void fill_heartbeat(struct tgw_membership *membership,
			   struct heartbeat *heartbeat)
{
	const struct member *self = self_of(membership);

	memset(heartbeat, 0, sizeof(*heartbeat));
	heartbeat->beat = membership->beat;
	heartbeat->leaving = self->reported_leaving;
	heartbeat->receives_nothing = is_isolated(membership);
	heartbeat->config_generation = self->host.config_generation;
	heartbeat->newest_generation = membership->newest_generation;
	heartbeat->newest_name_hash = membership->newest_name_hash;
}

/* Adds the recent beats of the hosts in the local failure domain. When they
 * don't all fit, each round starts at another host. */
static void fill_entries(struct tgw_membership *membership,
			 struct heartbeat *heartbeat)
{
	size_t start = (size_t)(membership->round % membership->member_count);

	for (size_t i = 0; i < membership->member_count; i++) {
		const struct member *member =
			&membership->members[(start + i) %
					     membership->member_count];
		struct heartbeat_entry *entry;

		if (heartbeat->entry_count == HEARTBEAT_ENTRIES_MAX)
			return;
		if (member->is_self || !member->is_local || !member->has_beat ||
		    now_of(membership) - member->last_beat_us >
			    membership->silent_after_us)
			continue;
		entry = &heartbeat->entries[heartbeat->entry_count++];
		entry->name_hash = member->name_hash;
		entry->beat = member->beat;
		entry->incarnation_tag =
			heartbeat_incarnation_tag(member->host.incarnation);
		entry->leaving = member->reported_leaving;
		entry->receives_nothing = member->receives_nothing;
	}
}

static void send_heartbeat(struct tgw_membership *membership, const char *to,
			   const struct heartbeat *heartbeat)
{
	msgpack_sbuffer payload;

	msgpack_sbuffer_init(&payload);
	heartbeat_encode(heartbeat, &payload);
	if (tgw_peer_send(membership->env.peer, to, TGW_PEER_MEMBERSHIP,
			  payload.data, payload.size) == TGW_OK) {
		membership->counters.heartbeats_sent++;
		membership->counters.heartbeat_bytes_sent += payload.size;
	}
	msgpack_sbuffer_destroy(&payload);
}

/* Sends a host a query for a heartbeat, at most once per MIN_QUERY_INTERVAL_US.
 * @return whether it was sent */
static bool send_query(struct tgw_membership *membership, struct member *member)
{
	struct heartbeat heartbeat;

	if (member->last_query_us &&
	    now_of(membership) - member->last_query_us < MIN_QUERY_INTERVAL_US)
		return false;
	member->last_query_us = now_of(membership);
	fill_heartbeat(membership, &heartbeat);
	heartbeat.requests_reply = true;
	send_heartbeat(membership, member->host.name, &heartbeat);
	return true;
}

static void apply_listed_host(struct tgw_membership *membership,
			      const struct tgw_listed_host *host)
{
	struct member *member = find_member(membership, host->name);
	bool is_new = !member;

	if (host->has_name_only)
		return;
	if (is_new)
		member = add_member(membership, host->name);
	member->listed = true;
	if (member->listed_as_leaving != host->leaving)
		membership->view_is_stale = true;
	member->listed_as_leaving = host->leaving;
	if (member->is_self)
		return;
	if (strcmp(member->host.peer_url, host->peer_url) != 0 ||
	    strcmp(member->host.caller_url, host->caller_url) != 0 ||
	    strcmp(member->host.failure_domain, host->failure_domain) != 0)
		membership->view_is_stale = true;
	short_name_copy(member->host.failure_domain, host->failure_domain);
	text_copy(member->host.peer_url, sizeof(member->host.peer_url),
		  host->peer_url);
	text_copy(member->host.caller_url, sizeof(member->host.caller_url),
		  host->caller_url);
	member->is_local = !strcmp(host->failure_domain,
				   membership->env.self.failure_domain);
}

static void shift_last_beat(struct member *member, int64_t pause_us,
			    int64_t latest_us)
{
	member->last_beat_us += pause_us;
	if (member->last_beat_us > latest_us)
		member->last_beat_us = latest_us;
}

/* Excludes the time in which this host itself was paused from the time since
 * the other hosts' last beats. */
static void discount_pause(struct tgw_membership *membership)
{
	int64_t pause_us = now_of(membership) - membership->last_tick_us -
			   membership->env.heartbeat_interval_us;

	if (pause_us > membership->env.heartbeat_interval_us) {
		membership->last_received_us = now_of(membership);
		for (size_t i = 0; i < membership->member_count; i++)
			shift_last_beat(&membership->members[i], pause_us,
					now_of(membership));
	}
	membership->last_tick_us = now_of(membership);
}

void tgw_membership_on_list(struct tgw_membership *membership,
			    const struct tgw_listed_host *hosts, size_t count)
{
	bool *was_listed =
		xcalloc(membership->member_count + count, sizeof(bool));

	discount_pause(membership);
	for (size_t i = 0; i < membership->member_count; i++) {
		struct member *member = &membership->members[i];

		was_listed[i] = member->listed;
		member->listed = member->is_self;
	}
	/* Adding a member moves others, so that was_listed[i] no longer belongs
	 * to members[i]: handle the existing members first. */
	for (size_t i = 0; i < count; i++) {
		struct member *member = find_member(membership, hosts[i].name);

		if (member)
			member->listed = true;
	}
	for (size_t i = 0; i < membership->member_count; i++)
		if (was_listed[i] && !membership->members[i].listed)
			membership->members[i].unlisted_at_us =
				now_of(membership);
	for (size_t i = 0; i < count; i++)
		apply_listed_host(membership, &hosts[i]);
	update_limits(membership);
	for (size_t i = 0; i < membership->member_count; i++) {
		struct member *member = &membership->members[i];

		evaluate(membership, member);
		/* A host that has just been listed gets a query at once. */
		if (!member->is_self && !member->last_query_us)
			send_query(membership, member);
	}
	free(was_listed);
	if (membership->view_is_stale)
		publish_view(membership);
}

static void record_generation(struct tgw_membership *membership,
			      struct member *member, uint64_t generation)
{
	if (generation > membership->newest_generation) {
		membership->newest_generation = generation;
		membership->newest_name_hash = member->name_hash;
	}
	if (generation <= member->host.config_generation)
		return;
	member->host.config_generation = generation;
	membership->view_is_stale = true;
}

static void apply_entry(struct tgw_membership *membership,
			const struct heartbeat_entry *entry)
{
	struct member *member = find_by_hash(membership, entry->name_hash);

	if (!member || member->is_self)
		return;
	if (heartbeat_incarnation_tag(member->host.incarnation) !=
		    entry->incarnation_tag ||
	    !member->host.incarnation) {
		/* The entry is of another incarnation, which only the host
		 * itself can confirm. */
		send_query(membership, member);
		return;
	}
	if (member->has_beat && !heartbeat_is_newer(entry->beat, member->beat))
		return;
	member_on_beat(member, entry->beat, now_of(membership));
	member->reported_leaving = entry->leaving;
	member->receives_nothing = entry->receives_nothing;
	evaluate(membership, member);
}

static void apply_sender(struct tgw_membership *membership,
			 struct member *sender, uint64_t incarnation,
			 const struct heartbeat *heartbeat)
{
	if (incarnation != sender->host.incarnation) {
		sender->host.config_generation = 0;
		membership->view_is_stale = true;
	}
	if (!member_on_incarnation(sender, incarnation))
		return;
	if (sender->has_beat && heartbeat->beat != sender->beat &&
	    !heartbeat_is_newer(heartbeat->beat, sender->beat))
		return; /* a delayed message: a newer beat is known */
	member_on_beat(sender, heartbeat->beat, now_of(membership));
	sender->reported_leaving = heartbeat->leaving;
	sender->receives_nothing = heartbeat->receives_nothing;
	record_generation(membership, sender, heartbeat->config_generation);
	evaluate(membership, sender);
}

void tgw_membership_on_message(struct tgw_membership *membership,
			       const struct tgw_peer_message *message)
{
	struct member *sender = find_member(membership, message->from_host);
	struct member *newest;
	struct heartbeat heartbeat;
	uint64_t version = membership->view->version;
	bool was_alive;

	if (!sender || sender->is_self)
		return; /* this host, or a host that is not a member */
	if (heartbeat_decode(&heartbeat, message->payload,
			     message->payload_size, NULL) != TGW_OK)
		return;
	was_alive = sender->host.state == TGW_HOST_ALIVE;
	membership->last_received_us = now_of(membership);
	apply_sender(membership, sender, message->from_incarnation, &heartbeat);
	for (size_t i = 0; i < heartbeat.entry_count; i++)
		apply_entry(membership, &heartbeat.entries[i]);
	newest = find_by_hash(membership, heartbeat.newest_name_hash);
	if (newest && !newest->is_self)
		record_generation(membership, newest,
				  heartbeat.newest_generation);
	if (heartbeat.requests_reply) {
		struct heartbeat reply;

		fill_heartbeat(membership, &reply);
		if (!sender->is_local || !was_alive)
			fill_entries(membership, &reply);
		send_heartbeat(membership, message->from_host, &reply);
	}
	if (membership->view->version == version && !was_alive &&
	    sender->host.state == TGW_HOST_ALIVE)
		publish_view(membership);
}

void tgw_membership_set_self(struct tgw_membership *membership, bool leaving,
			     uint64_t config_generation)
{
	struct member *self = self_of(membership);

	if (self->reported_leaving != leaving ||
	    self->host.config_generation != config_generation)
		membership->view_is_stale = true;
	self->reported_leaving = leaving;
	record_generation(membership, self, config_generation);
	evaluate(membership, self);
	if (leaving)
		membership->next_beat_us = now_of(membership);
}

static void query_suspects(struct tgw_membership *membership)
{
	size_t start = (size_t)tgw_random_below(&membership->random,
						membership->member_count);
	size_t sent = 0;

	for (size_t i = 0;
	     i < membership->member_count && sent < MAX_QUERIES_PER_ROUND;
	     i++) {
		struct member *member =
			&membership->members[(start + i) %
					     membership->member_count];
		struct member_limits limits = limits_for(membership, member);

		if (!member->is_self &&
		    member_is_suspect(member, &limits, now_of(membership)) &&
		    send_query(membership, member))
			sent++;
	}
}

static void send_heartbeats(struct tgw_membership *membership)
{
	size_t targets[HEARTBEAT_TARGETS_MAX];
	struct heartbeat heartbeat;
	size_t count = heartbeat_plan(membership->members,
				      membership->member_count,
				      membership->round, targets);

	membership->beat = (membership->beat + 1) & HEARTBEAT_BEAT_MASK;
	membership->round++;
	fill_heartbeat(membership, &heartbeat);
	fill_entries(membership, &heartbeat);
	for (size_t i = 0; i < count; i++)
		send_heartbeat(membership,
			       membership->members[targets[i]].host.name,
			       &heartbeat);
	query_suspects(membership);
}

int64_t tgw_membership_tick(struct tgw_membership *membership)
{
	discount_pause(membership);
	update_limits(membership);
	for (size_t i = 0; i < membership->member_count; i++)
		evaluate(membership, &membership->members[i]);
	remove_gone(membership);
	if (now_of(membership) >= membership->next_beat_us) {
		send_heartbeats(membership);
		membership->next_beat_us =
			now_of(membership) +
			membership->env.heartbeat_interval_us;
	}
	if (membership->view_is_stale)
		publish_view(membership);
	return membership->next_beat_us;
}
