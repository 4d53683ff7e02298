#include "coordination/member.h"

#include <string.h>

#include "state/heartbeat.h"
#include "tamarackgw/clock.h"

/* A host that became silent has to send heartbeats without a gap for this long
 * before it counts as alive again. The time doubles with each recent silence,
 * so that a flapping host does not flap in the views. */
#define RETURN_DELAY_US (2 * TGW_US_PER_S)
#define RETURN_DELAY_MAX_US (60 * TGW_US_PER_S)

/* A silence lengthens the delay only if the one before it began at most this
 * long ago. */
#define RECENT_SILENCE_US (600 * TGW_US_PER_S)

void member_init(struct member *member, const char *name, int64_t now_us)
{
	memset(member, 0, sizeof(*member));
	strncpy(member->host.name, name, sizeof(member->host.name) - 1);
	member->name_hash = heartbeat_name_hash(name);
	member->host.state = TGW_HOST_SILENT;
	member->silent_at_us = now_us;
	member->unlisted_at_us = now_us;
}

bool member_on_incarnation(struct member *member, uint64_t incarnation)
{
	if (incarnation == member->host.incarnation)
		return true;
	if (incarnation == member->previous_incarnation)
		return false;
	member->previous_incarnation = member->host.incarnation;
	member->host.incarnation = incarnation;
	member->has_beat = false;
	member->was_alive = false;
	member->reported_leaving = false;
	member->receives_nothing = false;
	member->recent_silences = 0;
	return true;
}

void member_on_beat(struct member *member, uint32_t beat, int64_t now_us)
{
	if (member->has_beat && !heartbeat_is_newer(beat, member->beat))
		return;
	member->has_beat = true;
	member->beat = beat;
	member->last_beat_us = now_us;
}

static bool is_fresh(const struct member *member,
		     const struct member_limits *limits, int64_t now_us)
{
	return member->has_beat && !member->receives_nothing &&
	       now_us - member->last_beat_us <= limits->silent_after_us;
}

bool member_is_suspect(const struct member *member,
		       const struct member_limits *limits, int64_t now_us)
{
	if (member->host.state == TGW_HOST_GONE)
		return false;
	return member->host.state == TGW_HOST_SILENT || !member->has_beat ||
	       now_us - member->last_beat_us > limits->silent_after_us / 2;
}

static int64_t return_delay_us(const struct member *member)
{
	int64_t delay_us = RETURN_DELAY_US;

	for (uint32_t i = 1; i < member->recent_silences; i++) {
		delay_us *= 2;
		if (delay_us >= RETURN_DELAY_MAX_US)
			return RETURN_DELAY_MAX_US;
	}
	return delay_us;
}

static enum tgw_host_state state_when_silent(struct member *member,
					     const struct member_limits *limits,
					     int64_t now_us)
{
	int64_t since_us = member->unlisted_at_us > member->silent_at_us
				   ? member->unlisted_at_us
				   : member->silent_at_us;

	member->returned_at_us = 0;
	if (member->host.state == TGW_HOST_GONE && !member->listed)
		return TGW_HOST_GONE;
	if (member->host.state != TGW_HOST_ALIVE &&
	    member->host.state != TGW_HOST_LEAVING) {
		if (!member->listed &&
		    now_us - since_us >= limits->gone_after_us)
			return TGW_HOST_GONE;
		return TGW_HOST_SILENT;
	}
	if (now_us - member->last_silence_us > RECENT_SILENCE_US)
		member->recent_silences = 0;
	member->recent_silences++;
	member->last_silence_us = now_us;
	member->silent_at_us = now_us;
	return TGW_HOST_SILENT;
}

static enum tgw_host_state state_when_fresh(struct member *member,
					    int64_t now_us)
{
	bool is_silent = member->host.state == TGW_HOST_SILENT ||
			 member->host.state == TGW_HOST_GONE;

	if (is_silent && member->was_alive) {
		if (!member->returned_at_us)
			member->returned_at_us = now_us;
		if (now_us - member->returned_at_us < return_delay_us(member))
			return member->host.state;
	}
	member->returned_at_us = 0;
	member->was_alive = true;
	if (member->reported_leaving || member->listed_as_leaving)
		return TGW_HOST_LEAVING;
	return TGW_HOST_ALIVE;
}

bool member_evaluate(struct member *member, const struct member_limits *limits,
		     int64_t now_us)
{
	enum tgw_host_state before = member->host.state;

	if (member->is_self)
		member->host.state = member->reported_leaving ||
						     member->listed_as_leaving
					     ? TGW_HOST_LEAVING
					     : TGW_HOST_ALIVE;
	else if (is_fresh(member, limits, now_us))
		member->host.state = state_when_fresh(member, now_us);
	else
		member->host.state = state_when_silent(member, limits, now_us);
	return member->host.state != before;
}
