#include "coordination/mirror_followers.h"

#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/short_name.h"
#include "base/xalloc.h"

/* Followers that have not told for this long that they follow get nothing. */
#define FOLLOWER_TIMEOUT_US (3 * TGW_US_PER_S)

static int64_t now_of(const struct mirror_followers *followers)
{
	return tgw_clock_monotonic_us(followers->clock);
}

static void drop_before(struct mirror_followers *followers, int64_t before_us)
{
	struct mirror_follower **link = &followers->first;

	while (*link) {
		struct mirror_follower *follower = *link;

		if (follower->received_us >= before_us) {
			link = &follower->next;
			continue;
		}
		*link = follower->next;
		free(follower);
	}
}

void mirror_followers_clear(struct mirror_followers *followers)
{
	drop_before(followers, INT64_MAX);
}

void mirror_followers_expire(struct mirror_followers *followers)
{
	drop_before(followers, now_of(followers) - FOLLOWER_TIMEOUT_US);
}

size_t mirror_followers_count(const struct mirror_followers *followers)
{
	size_t count = 0;

	for (const struct mirror_follower *follower = followers->first;
	     follower; follower = follower->next)
		count++;
	return count;
}

void mirror_followers_send(struct mirror_followers *followers, const char *host,
			   struct change_message *message)
{
	struct buffer bytes = {0};

	message->sequence = ++followers->sequence;
	change_message_encode(message, &bytes);
	tgw_peer_send(followers->peer, host, TGW_PEER_CHANGES, bytes.data,
		      bytes.size);
	buffer_free(&bytes);
}

static void fill_states(const struct mirror_followers *followers,
			const struct mirror_follower *follower,
			struct change_message *message)
{
	int64_t now = now_of(followers);

	message->stamp_us = follower->stamp_us;
	message->held_us = now - follower->received_us;
	message->state_count = followers->prefix_count;
	for (size_t i = 0; i < followers->prefix_count; i++) {
		const struct mirrored_prefix *prefix = &followers->prefixes[i];
		int64_t confirmed_us = mirrored_prefix_confirmed_us(prefix);

		message->states[i] = (struct change_state){
			.revision = prefix->table.revision,
			.changed_revision = prefix->table.changed_revision,
			.age_us = confirmed_us ? now - confirmed_us : -1,
			.store_unreachable = prefix->store_unreachable,
		};
	}
}

static void send_state(struct mirror_followers *followers,
		       const struct mirror_follower *follower)
{
	struct change_message message = {.kind = CHANGE_MESSAGE_STATE};

	fill_states(followers, follower, &message);
	mirror_followers_send(followers, follower->host, &message);
}

static void send_part(struct mirror_followers *followers,
		      const struct mirror_follower *follower, size_t number,
		      const struct buffer *changes, size_t offset)
{
	const struct mirrored_prefix *prefix = &followers->prefixes[number];
	size_t size = changes->size - offset;
	struct change_message message = {
		.kind = CHANGE_MESSAGE_PART,
		.prefix = (uint32_t)number,
		.after_revision = prefix->encoded_after,
		.revision = prefix->encoded_revision,
		.offset = offset,
		.total_size = changes->size,
		.part = (const uint8_t *)changes->data + offset,
		.part_size = size < CHANGE_PART_MAX_BYTES
				     ? size
				     : CHANGE_PART_MAX_BYTES,
	};

	followers->changes_sent++;
	fill_states(followers, follower, &message);
	mirror_followers_send(followers, follower->host, &message);
}

void mirror_followers_update(struct mirror_followers *followers,
			     struct mirrored_prefix *prefix,
			     int64_t previous_revision)
{
	size_t number = (size_t)(prefix - followers->prefixes);
	const struct buffer *changes = NULL;

	if (!followers->first)
		return;
	if (previous_revision &&
	    prefix->table.changed_revision > previous_revision)
		changes = mirrored_prefix_encode(prefix, previous_revision);
	for (struct mirror_follower *follower = followers->first; follower;
	     follower = follower->next) {
		if (changes && changes->size <= CHANGE_PART_MAX_BYTES)
			send_part(followers, follower, number, changes, 0);
		else
			send_state(followers, follower);
	}
}

static struct mirror_follower *obtain_follower(
	struct mirror_followers *followers, const char *host)
{
	struct mirror_follower *follower = followers->first;

	while (follower && strcmp(follower->host, host))
		follower = follower->next;
	if (follower)
		return follower;
	follower = xcalloc(1, sizeof(*follower));
	short_name_copy(follower->host, host);
	follower->next = followers->first;
	followers->first = follower;
	return follower;
}

static void answer_pull(struct mirror_followers *followers,
			const struct mirror_follower *follower,
			const struct change_message *request)
{
	struct mirrored_prefix *prefix = &followers->prefixes[request->prefix];
	const struct buffer *changes;
	size_t offset = request->offset;

	if (!prefix->table.revision)
		return;
	changes = mirrored_prefix_encode_parts(prefix, request->after_revision,
					       request->revision);
	if (!changes)
		return;
	/* There are newer ones than those that the follower began with. */
	if (request->revision != prefix->encoded_revision ||
	    offset > changes->size)
		offset = 0;
	for (int i = 0; i < MIRROR_PULL_PARTS && offset < changes->size; i++) {
		send_part(followers, follower, request->prefix, changes,
			  offset);
		offset += CHANGE_PART_MAX_BYTES;
	}
}

void mirror_followers_on_message(struct mirror_followers *followers,
				 const char *from_host,
				 const struct change_message *message)
{
	struct mirror_follower *follower =
		obtain_follower(followers, from_host);

	/* An earlier stamp would make what follows look older, not fresher. */
	follower->stamp_us = message->stamp_us;
	follower->received_us = now_of(followers);
	if (message->kind == CHANGE_MESSAGE_FOLLOW)
		send_state(followers, follower);
	else if (message->prefix < followers->prefix_count)
		answer_pull(followers, follower, message);
}
