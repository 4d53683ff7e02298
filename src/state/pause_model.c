#include "state/pause_model.h"

#include <string.h>
#include <xxhash.h>

#include "base/short_name.h"

/* Share of the streams whose longest pause is shorter. */
#define QUANTILE 0.9
/* A longer pause raises the estimate by 18 percent, a shorter one lowers it by
 * 2. */
#define STEP 0.2
/* Fewer streams than this say little. */
#define MIN_STREAMS 10
/* The estimate never falls to 0, from where it could not rise. */
#define MIN_PAUSE_MS 1.0

/* @return the slot of the route, or the one that it may take: an unused one, or
 * another route's if all are used */
static size_t slot_of(const struct pause_model *model, const char *route)
{
	size_t first = XXH3_64bits(route, strlen(route)) % PAUSE_MODEL_ROUTES;

	for (size_t i = 0; i < PAUSE_MODEL_ROUTES; i++) {
		size_t slot = (first + i) % PAUSE_MODEL_ROUTES;

		if (!*model->routes[slot].name ||
		    !strcmp(model->routes[slot].name, route))
			return slot;
	}
	return first;
}

/* Moves the estimate up after a longer pause and down after a shorter one, so
 * that it rests where the share of longer ones is 1 - QUANTILE. */
static void update_estimate(struct pause_model_route *found, double pause_ms)
{
	double up = STEP * QUANTILE;
	double down = STEP * (1 - QUANTILE);

	if (!found->streams)
		found->long_pause_ms = pause_ms;
	else if (pause_ms > found->long_pause_ms)
		found->long_pause_ms *= 1 + up;
	else
		found->long_pause_ms *= 1 - down;
	if (found->long_pause_ms < MIN_PAUSE_MS)
		found->long_pause_ms = MIN_PAUSE_MS;
}

void pause_model_add(struct pause_model *model, const char *route,
		     int64_t longest_pause_ms, uint32_t work_percent)
{
	struct pause_model_route *found = &model->routes[slot_of(model, route)];

	if (!work_percent)
		return;
	if (strcmp(found->name, route) != 0) {
		memset(found, 0, sizeof(*found));
		short_name_copy(found->name, route);
	}
	update_estimate(found, (double)longest_pause_ms * 100 / work_percent);
	found->streams++;
}

double pause_model_long_pause_ms(const struct pause_model *model,
				 const char *route)
{
	const struct pause_model_route *found =
		&model->routes[slot_of(model, route)];

	if (strcmp(found->name, route) != 0 || found->streams < MIN_STREAMS)
		return 0;
	return found->long_pause_ms;
}
