#include "tamarackgw/membership.h"

#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "base/xalloc.h"
#include "coordination/heartbeat_plan.h"
#include "coordination/member.h"
#include "state/heartbeat.h"
#include "tamarackgw/random.h"

#define DEFAULT_HEARTBEAT_US TGW_US_PER_S
#define DEFAULT_SILENT_US (4 * TGW_US_PER_S)
#define DEFAULT_GONE_US (60 * TGW_US_PER_S)

/* Heartbeats that may be lost or late beyond the rounds that news takes. */
#define SPARE_ROUNDS 4

/* Hosts of other failure domains are heard from less often. */
#define REMOTE_PATIENCE 4

/* A host that is gone stays in the view this many times gone_after. */
#define FORGET_FACTOR 30

/* Shortest time between two requests to one host for a sign of life. */
#define ASK_INTERVAL_US TGW_US_PER_S
#define ASKS_PER_BEAT 4

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
	int64_t silent_after_us; /* as set, or what the domain's size needs */
	int64_t deaf_after_us;
	int64_t last_tick_us;
	int64_t last_heard_any_us;
	uint64_t newest_generation;
	uint32_t newest_name_hash;
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

static int64_t now_us(const struct tgw_membership *membership)
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
		limits.silent_after_us *= REMOTE_PATIENCE;
	return limits;
}

/* The larger the domain, the more rounds a sign of life takes. */
static void fit_to_size(struct tgw_membership *membership)
{
	size_t count = 0;
	int64_t least_us;

	for (size_t i = 0; i < membership->member_count; i++)
		count += membership->members[i].is_local &&
			 membership->members[i].host.state != TGW_HOST_GONE;
	least_us = (int64_t)(heartbeat_plan_rounds(count) + SPARE_ROUNDS) *
		   membership->env.heartbeat_interval_us;
	membership->silent_after_us = membership->env.silent_after_us;
	if (membership->silent_after_us < least_us)
		membership->silent_after_us = least_us;
	membership->deaf_after_us = membership->silent_after_us;
	if (count == 1) /* only other domains are there to be heard */
		membership->deaf_after_us *= REMOTE_PATIENCE;
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

static struct member *find_hash(struct tgw_membership *membership,
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

static void count_change(struct tgw_membership *membership,
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

/* @return whether any state changed */
static bool evaluate(struct tgw_membership *membership, struct member *member)
{
	struct member_limits limits = limits_for(membership, member);

	if (!member_evaluate(member, &limits, now_us(membership)))
		return false;
	count_change(membership, member);
	membership->view_is_stale = true;
	return true;
}

static void forget_gone(struct tgw_membership *membership)
{
	int64_t keep_us = membership->env.gone_after_us * FORGET_FACTOR;
	size_t kept = 0;

	for (size_t i = 0; i < membership->member_count; i++) {
		const struct member *member = &membership->members[i];

		if (member->host.state == TGW_HOST_GONE && !member->listed &&
		    now_us(membership) - member->silent_at_us > keep_us) {
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
		    now_us(membership));
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
	/* Mostly above the beats of the life before; see member_on_beat(). */
	membership->beat = (uint32_t)(tgw_clock_wall_us(env->clock) /
				      env->heartbeat_interval_us) &
			   HEARTBEAT_BEAT_MASK;
	membership->last_tick_us = now_us(membership);
	membership->last_heard_any_us = now_us(membership);
	membership->next_beat_us = now_us(membership);
	add_self(membership);
	fit_to_size(membership);
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

/* A host that hears nobody says so: others then don't rely on it. */
static bool is_deaf(const struct tgw_membership *membership)
{
	return membership->member_count > 1 &&
	       now_us(membership) - membership->last_heard_any_us >
		       membership->deaf_after_us;
}

static void fill_heartbeat(struct tgw_membership *membership,
			   struct heartbeat *heartbeat)
{
	const struct member *self = self_of(membership);

	memset(heartbeat, 0, sizeof(*heartbeat));
	heartbeat->beat = membership->beat;
	heartbeat->leaving = self->said_leaving;
	heartbeat->receives_nothing = is_deaf(membership);
	heartbeat->config_generation = self->host.config_generation;
	heartbeat->newest_generation = membership->newest_generation;
	heartbeat->newest_name_hash = membership->newest_name_hash;
}

/* The freshest news of this domain; in turn when they don't all fit. */
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
		    now_us(membership) - member->last_heard_us >
			    membership->silent_after_us)
			continue;
		entry = &heartbeat->entries[heartbeat->entry_count++];
		entry->name_hash = member->name_hash;
		entry->beat = member->beat;
		entry->incarnation_tag =
			heartbeat_incarnation_tag(member->host.incarnation);
		entry->leaving = member->said_leaving;
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

/* Asks a host for a sign of life, not more often than is useful. */
static bool ask(struct tgw_membership *membership, struct member *member)
{
	struct heartbeat heartbeat;

	if (member->last_asked_us &&
	    now_us(membership) - member->last_asked_us < ASK_INTERVAL_US)
		return false;
	member->last_asked_us = now_us(membership);
	fill_heartbeat(membership, &heartbeat);
	heartbeat.wants_reply = true;
	send_heartbeat(membership, member->host.name, &heartbeat);
	return true;
}

static void take_list_line(struct tgw_membership *membership,
			   const struct tgw_listed_host *line)
{
	struct member *member = find_member(membership, line->name);
	bool is_new = !member;

	if (is_new)
		member = add_member(membership, line->name);
	member->listed = true;
	if (member->listed_as_leaving != line->leaving)
		membership->view_is_stale = true;
	member->listed_as_leaving = line->leaving;
	if (member->is_self)
		return;
	if (strcmp(member->host.peer_url, line->peer_url) != 0 ||
	    strcmp(member->host.caller_url, line->caller_url) != 0 ||
	    strcmp(member->host.failure_domain, line->failure_domain) != 0)
		membership->view_is_stale = true;
	text_copy(member->host.failure_domain,
		  sizeof(member->host.failure_domain), line->failure_domain);
	text_copy(member->host.peer_url, sizeof(member->host.peer_url),
		  line->peer_url);
	text_copy(member->host.caller_url, sizeof(member->host.caller_url),
		  line->caller_url);
	member->is_local = !strcmp(line->failure_domain,
				   membership->env.self.failure_domain);
}

static void shift_last_heard(struct member *member, int64_t pause_us,
			     int64_t latest_us)
{
	member->last_heard_us += pause_us;
	if (member->last_heard_us > latest_us)
		member->last_heard_us = latest_us;
}

/* Time in which this host itself stood still is nobody's silence. */
static void discount_own_pause(struct tgw_membership *membership)
{
	int64_t pause_us = now_us(membership) - membership->last_tick_us -
			   membership->env.heartbeat_interval_us;

	if (pause_us > membership->env.heartbeat_interval_us) {
		membership->last_heard_any_us = now_us(membership);
		for (size_t i = 0; i < membership->member_count; i++)
			shift_last_heard(&membership->members[i], pause_us,
					 now_us(membership));
	}
	membership->last_tick_us = now_us(membership);
}

void tgw_membership_on_list(struct tgw_membership *membership,
			    const struct tgw_listed_host *hosts, size_t count)
{
	bool *was_listed =
		xcalloc(membership->member_count + count, sizeof(bool));

	discount_own_pause(membership);
	for (size_t i = 0; i < membership->member_count; i++) {
		struct member *member = &membership->members[i];

		was_listed[i] = member->listed;
		member->listed = member->is_self;
	}
	/* Members move when new ones are added: settle the old ones first. */
	for (size_t i = 0; i < count; i++) {
		struct member *member = find_member(membership, hosts[i].name);

		if (member)
			member->listed = true;
	}
	for (size_t i = 0; i < membership->member_count; i++)
		if (was_listed[i] && !membership->members[i].listed)
			membership->members[i].unlisted_at_us =
				now_us(membership);
	for (size_t i = 0; i < count; i++)
		take_list_line(membership, &hosts[i]);
	fit_to_size(membership);
	for (size_t i = 0; i < membership->member_count; i++) {
		struct member *member = &membership->members[i];

		evaluate(membership, member);
		/* The first word to a host that was just listed. */
		if (!member->is_self && !member->last_asked_us)
			ask(membership, member);
	}
	free(was_listed);
	if (membership->view_is_stale)
		publish_view(membership);
}

static void note_generation(struct tgw_membership *membership,
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

static void take_entry(struct tgw_membership *membership,
		       const struct heartbeat_entry *entry)
{
	struct member *member = find_hash(membership, entry->name_hash);

	if (!member || member->is_self)
		return;
	if (heartbeat_incarnation_tag(member->host.incarnation) !=
		    entry->incarnation_tag ||
	    !member->host.incarnation) {
		/* News of another incarnation: the host itself must tell. */
		ask(membership, member);
		return;
	}
	if (member->has_beat && !heartbeat_is_newer(entry->beat, member->beat))
		return;
	member_on_beat(member, entry->beat, now_us(membership));
	member->said_leaving = entry->leaving;
	member->receives_nothing = entry->receives_nothing;
	evaluate(membership, member);
}

static void take_sender(struct tgw_membership *membership,
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
		return; /* an old message that was under way for long */
	member_on_beat(sender, heartbeat->beat, now_us(membership));
	sender->said_leaving = heartbeat->leaving;
	sender->receives_nothing = heartbeat->receives_nothing;
	note_generation(membership, sender, heartbeat->config_generation);
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
		return; /* not of the fleet, as far as the list says */
	if (heartbeat_decode(&heartbeat, message->payload,
			     message->payload_size, NULL) != TGW_OK)
		return;
	was_alive = sender->host.state == TGW_HOST_ALIVE;
	membership->last_heard_any_us = now_us(membership);
	take_sender(membership, sender, message->from_incarnation, &heartbeat);
	for (size_t i = 0; i < heartbeat.entry_count; i++)
		take_entry(membership, &heartbeat.entries[i]);
	newest = find_hash(membership, heartbeat.newest_name_hash);
	if (newest && !newest->is_self)
		note_generation(membership, newest,
				heartbeat.newest_generation);
	if (heartbeat.wants_reply) {
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

	if (self->said_leaving != leaving ||
	    self->host.config_generation != config_generation)
		membership->view_is_stale = true;
	self->said_leaving = leaving;
	note_generation(membership, self, config_generation);
	evaluate(membership, self);
	if (leaving)
		membership->next_beat_us = now_us(membership);
}

static void ask_suspects(struct tgw_membership *membership)
{
	size_t start = (size_t)tgw_random_below(&membership->random,
						membership->member_count);
	size_t asked = 0;

	for (size_t i = 0;
	     i < membership->member_count && asked < ASKS_PER_BEAT; i++) {
		struct member *member =
			&membership->members[(start + i) %
					     membership->member_count];
		struct member_limits limits = limits_for(membership, member);

		if (!member->is_self &&
		    member_is_suspect(member, &limits, now_us(membership)) &&
		    ask(membership, member))
			asked++;
	}
}

static void beat(struct tgw_membership *membership)
{
	size_t targets[HEARTBEAT_PLAN_MAX];
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
	ask_suspects(membership);
}

int64_t tgw_membership_tick(struct tgw_membership *membership)
{
	discount_own_pause(membership);
	fit_to_size(membership);
	for (size_t i = 0; i < membership->member_count; i++)
		evaluate(membership, &membership->members[i]);
	forget_gone(membership);
	if (now_us(membership) >= membership->next_beat_us) {
		beat(membership);
		membership->next_beat_us =
			now_us(membership) +
			membership->env.heartbeat_interval_us;
	}
	if (membership->view_is_stale)
		publish_view(membership);
	return membership->next_beat_us;
}
