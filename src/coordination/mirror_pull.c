#include "coordination/mirror_pull.h"

#include "tamarackgw/clock.h"

/* A message is repeated if no part has arrived for this multiple of the time
 * that the last one took, at least for the first time and at most for the
 * second one: a relay that many hosts pull from takes long. */
#define RETRY_MULTIPLE 2
#define RETRY_MIN_US (60 * TGW_US_PER_MS)
#define RETRY_MAX_US (500 * TGW_US_PER_MS)

void mirror_pull_clear(struct mirror_pull *pull)
{
	buffer_free(&pull->bytes);
}

static void set_retry(struct mirror_pull *pull, int64_t retry_us)
{
	pull->retry_us = retry_us;
	if (pull->retry_us < RETRY_MIN_US)
		pull->retry_us = RETRY_MIN_US;
	if (pull->retry_us > RETRY_MAX_US)
		pull->retry_us = RETRY_MAX_US;
}

void mirror_pull_start(struct mirror_pull *pull, int64_t after_revision)
{
	pull->active = true;
	pull->after_revision = after_revision;
	pull->revision = 0;
	pull->total_size = 0;
	pull->bytes.size = 0;
	set_retry(pull, RETRY_MIN_US);
}

void mirror_pull_ask(struct mirror_pull *pull, struct change_message *message,
		     int64_t now_us)
{
	message->kind = CHANGE_MESSAGE_PULL;
	message->stamp_us = now_us;
	message->after_revision = pull->after_revision;
	message->revision = pull->revision;
	message->offset = pull->bytes.size;
	message->total_size = pull->total_size;
	pull->asked_us = now_us;
	pull->active_us = now_us;
}

bool mirror_pull_is_late(const struct mirror_pull *pull, int64_t now_us)
{
	return pull->active && now_us - pull->active_us >= pull->retry_us;
}

void mirror_pull_repeat(struct mirror_pull *pull,
			struct change_message *message, int64_t now_us)
{
	set_retry(pull, pull->retry_us * RETRY_MULTIPLE);
	mirror_pull_ask(pull, message, now_us);
	/* The next part may be a response to the earlier message. */
	pull->asked_us = 0;
}

static void note_arrival(struct mirror_pull *pull, int64_t now_us)
{
	if (pull->asked_us)
		set_retry(pull, (now_us - pull->asked_us) * RETRY_MULTIPLE);
	pull->asked_us = 0;
	pull->active_us = now_us;
}

enum mirror_pull_step mirror_pull_add(struct mirror_pull *pull,
				      const struct change_message *part,
				      int64_t now_us)
{
	if (!pull->active)
		return MIRROR_PULL_IGNORED;
	if (part->offset == 0) {
		pull->revision = part->revision;
		pull->total_size = part->total_size;
		pull->bytes.size = 0;
	}
	if (part->revision != pull->revision ||
	    part->total_size != pull->total_size ||
	    part->offset != pull->bytes.size)
		return MIRROR_PULL_IGNORED;
	buffer_add(&pull->bytes, part->part, part->part_size);
	note_arrival(pull, now_us);
	if (pull->bytes.size >= pull->total_size) {
		pull->active = false;
		return MIRROR_PULL_WHOLE;
	}
	if (pull->bytes.size / CHANGE_PART_MAX_BYTES % MIRROR_PULL_PARTS == 0)
		return MIRROR_PULL_ASK;
	return MIRROR_PULL_ADDED;
}
