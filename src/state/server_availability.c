#include "state/server_availability.h"

#include "tamarackgw/clock.h"

/* A server that did not run a request is skipped for this long. */
#define FULL_SKIP_US (60 * TGW_US_PER_MS)
/* After a rest, time between the first two requests, which halves with each
 * request until there is no limit any more. */
#define FIRST_TRIAL_INTERVAL_US (240 * TGW_US_PER_MS)
#define LAST_TRIAL_INTERVAL_US (15 * TGW_US_PER_MS)

static int64_t later_of(int64_t a_us, int64_t b_us)
{
	return a_us > b_us ? a_us : b_us;
}

void server_availability_set_leaving(struct server_availability *availability,
				     int64_t until_us)
{
	availability->leaving_until_us =
		later_of(availability->leaving_until_us, until_us);
}

bool server_availability_is_leaving(
	const struct server_availability *availability, int64_t now_us)
{
	return availability->leaving_until_us > now_us;
}

void server_availability_rest(struct server_availability *availability,
			      int64_t rest_us, int64_t now_us)
{
	int64_t until_us = now_us + rest_us;

	if (until_us <= availability->rest_until_us)
		return;
	availability->rest_until_us = until_us;
	availability->trial_due_us = until_us;
	availability->trial_interval_us = FIRST_TRIAL_INTERVAL_US;
}

bool server_availability_is_resting(
	const struct server_availability *availability, int64_t now_us)
{
	return availability->rest_until_us > now_us;
}

void server_availability_reject(struct server_availability *availability,
				int64_t now_us)
{
	availability->full_until_us = now_us + FULL_SKIP_US;
}

void server_availability_on_request(struct server_availability *availability,
				    int64_t now_us)
{
	if (!availability->trial_interval_us)
		return;
	availability->trial_due_us = now_us + availability->trial_interval_us;
	availability->trial_interval_us /= 2;
	if (availability->trial_interval_us < LAST_TRIAL_INTERVAL_US)
		availability->trial_interval_us = 0;
}

void server_availability_on_accepted(struct server_availability *availability,
				     int64_t now_us)
{
	if (server_availability_is_resting(availability, now_us))
		return;
	availability->trial_due_us = 0;
	availability->trial_interval_us = 0;
}

int64_t server_availability_free_at_us(
	const struct server_availability *availability, int64_t now_us)
{
	if (server_availability_is_leaving(availability, now_us))
		return SERVER_AVAILABILITY_NEVER_US;
	return later_of(availability->full_until_us,
			later_of(availability->rest_until_us,
				 availability->trial_due_us));
}
