/* Simulates which parts of prompts are refused after crashes of servers, with
 * the shares of parts of two deployments, by three rules:
 *   crashes    four crashes since it was last served
 *   incidents  four incidents, where crashes at about the same time are one
 *   rivals     the same, and nothing else fits: what hosts do
 * measure_parts [RUNS [SEED]] */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "state/crash_suspicion.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/random.h"

#define DEFAULT_RUNS 200
#define SERVERS 9
#define REQUESTS_PER_S 130.0
#define SPAN_US (20 * TGW_US_PER_S)
#define BAD_FROM_US (5 * TGW_US_PER_S)
/* A server is back this long after its crash. */
#define BACK_US (4 * TGW_US_PER_S)
#define FIRST_EVENT_US (53 * TGW_US_PER_MS)
#define EVENT_US (35 * TGW_US_PER_MS)
#define SOUND_EVENTS 4
/* Until all hosts know what one has seen. */
#define SHARE_US (400 * TGW_US_PER_MS)
#define CRASHES_BEFORE 5
#define CONTACT_US (3 * TGW_US_PER_S)
#define CRASHES_MIN 4
#define FIRST_PARTS_MAX 20
#define PARTS_MAX 400

/* One kind of request: its share, parts and length, as on the sites' sheets. */
struct kind {
	double weight;
	unsigned int first_parts;
	unsigned int second_parts;
	double events;
};

static const struct kind kinds[] = {
	{17.4, 3, 147, 47.8},
	{65.2, 20, 369, 36.4},
	{47.0, 20, 266, 2.8},
};

#define KINDS (sizeof(kinds) / sizeof(kinds[0]))
/* A second part's share falls with its rank by this power. */
#define SKEW 0.3

enum rule {
	RULE_CRASHES,
	RULE_INCIDENTS,
	RULE_RIVALS,
	RULES,
};

static const char *const rule_names[RULES] = {"crashes", "incidents", "rivals"};

struct request {
	struct request_identity identity;
	int64_t sound_us; /* its parts are known to be sound then */
	int64_t end_us;
	int64_t crash_us; /* it crashes its server then; INT64_MAX: never */
	unsigned int server;
	bool ended;
	bool was_sound;
	struct request *next;
};

/* What becomes known to all hosts later. */
struct news {
	int64_t at_us;
	bool is_crash;
	uint64_t run;
	struct request_identity identity;
	struct news *next;
};

struct results {
	double crashes_until_refused;
	double late;
	double sound_requests;
	double sound_refused;
	double late_sound;
	double late_sound_refused;
	unsigned int runs_with_false;
	unsigned int runs_not_refused;
};

struct play {
	enum rule rule;
	struct tgw_random random;
	struct quarantine_table table;
	struct request *requests;
	struct news *news;
	struct news **last_news;
	int64_t up_us[SERVERS];
	uint64_t runs[SERVERS];
	uint64_t next_run;
	unsigned int bad_kind;
	bool bad_is_first;
	unsigned int bad_number;
	double bad_per_s;
	unsigned int request_number;
	unsigned int crashes;
	int64_t fifth_crash_us;
	unsigned int crashes_until_refused; /* 0: not yet */
	unsigned int late;
	unsigned int sound;
	unsigned int sound_refused;
	unsigned int late_sound;
	unsigned int late_sound_refused;
};

static double uniform(struct play *play)
{
	return (double)tgw_random_below(&play->random, 1U << 30) /
	       (double)(1U << 30);
}

static unsigned int choose_kind(struct play *play)
{
	double at = uniform(play) * (17.4 + 65.2 + 47.0);
	unsigned int kind = 0;

	while (kind + 1 < KINDS && at >= kinds[kind].weight)
		at -= kinds[kind++].weight;
	return kind;
}

/* Inverts the integral of rank^-SKEW. */
static unsigned int choose_second(struct play *play, unsigned int kind)
{
	double share = pow(uniform(play), 1.0 / (1.0 - SKEW));

	return (unsigned int)(share * kinds[kind].second_parts);
}

static void identify(struct play *play, struct request *request,
		     unsigned int kind, unsigned int first, unsigned int second)
{
	struct prompt_parts parts = {0};
	char id[PROMPT_PART_ID_SIZE];

	snprintf(id, sizeof(id), "%u1%u", kind, first);
	prompt_parts_add(&parts, id, strlen(id));
	snprintf(id, sizeof(id), "%u2%u", kind, second);
	prompt_parts_add(&parts, id, strlen(id));
	play->request_number++;
	memset(&request->identity, 0, sizeof(request->identity));
	memcpy(request->identity.whole.bytes, &play->request_number,
	       sizeof(play->request_number));
	request_identity_set_parts(&request->identity, &parts, "s", "m");
}

static bool is_refused(const struct play *play, const struct request *request,
		       int64_t now_us)
{
	if (play->rule == RULE_RIVALS)
		return crash_suspicion_find_cause(&play->table,
						  &request->identity, now_us);
	for (size_t i = 0; i < play->table.count; i++) {
		const struct quarantine_item *item = &play->table.items[i];
		uint32_t count =
			play->rule == RULE_CRASHES
				? (uint32_t)item->crash_count
				: crash_suspicion_incidents(item, now_us);

		if (count >= CRASHES_MIN &&
		    request_identity_has_part(&request->identity,
					      &item->fingerprint))
			return true;
	}
	return false;
}

static void tell(struct play *play, const struct request *request,
		 int64_t now_us, uint64_t run)
{
	struct news *news = xcalloc(1, sizeof(*news));

	news->at_us = now_us + SHARE_US;
	news->is_crash = run != 0;
	news->run = run;
	news->identity = request->identity;
	*play->last_news = news;
	play->last_news = &news->next;
}

static void apply_part(struct play *play, const struct news *news,
		       const struct part_identity *part)
{
	struct quarantine_item *item;
	struct quarantine_crash crash = {.server_hash = news->run,
					 .wall_us = news->at_us,
					 .learned_us = news->at_us};

	if (!news->is_crash) {
		item = quarantine_table_find(&play->table, &part->fingerprint);
		if (item)
			item->crash_count = 0;
		return;
	}
	item = quarantine_table_find_or_add(&play->table, &part->fingerprint,
					    news->at_us);
	memcpy(item->part, part->text, sizeof(item->part));
	quarantine_item_add_crash(item, &crash, true);
}

static void apply_news(struct play *play, int64_t now_us)
{
	while (play->news && play->news->at_us <= now_us) {
		struct news *news = play->news;

		for (uint32_t i = 0; i < news->identity.part_count; i++)
			apply_part(play, news,
				   &news->identity.parts[i].anywhere);
		play->news = news->next;
		if (!play->news)
			play->last_news = &play->news;
		free(news);
	}
}

static void crash(struct play *play, unsigned int server, int64_t now_us)
{
	play->crashes++;
	if (play->crashes == CRASHES_BEFORE)
		play->fifth_crash_us = now_us;
	for (struct request *at = play->requests; at; at = at->next) {
		if (at->ended || at->server != server)
			continue;
		at->ended = true;
		if (!at->was_sound)
			tell(play, at, now_us, play->runs[server]);
	}
	play->up_us[server] = now_us + BACK_US;
	play->runs[server] = ++play->next_run;
}

static void advance_requests(struct play *play, int64_t now_us)
{
	struct request **link = &play->requests;

	for (struct request *at = play->requests; at; at = at->next) {
		if (at->ended)
			continue;
		if (!at->was_sound && now_us >= at->sound_us) {
			at->was_sound = true;
			tell(play, at, now_us, 0);
		}
		if (now_us >= at->crash_us)
			crash(play, at->server, now_us);
		else if (now_us >= at->end_us)
			at->ended = true;
	}
	while (*link) {
		struct request *at = *link;

		if (!at->ended) {
			link = &at->next;
			continue;
		}
		*link = at->next;
		free(at);
	}
}

static int choose_server(struct play *play, int64_t now_us)
{
	unsigned int from =
		(unsigned int)tgw_random_below(&play->random, SERVERS);

	for (unsigned int i = 0; i < SERVERS; i++)
		if (play->up_us[(from + i) % SERVERS] <= now_us)
			return (int)((from + i) % SERVERS);
	return -1;
}

static void count_sound(struct play *play, int64_t now_us, bool refused)
{
	play->sound++;
	play->sound_refused += refused;
	if (!play->fifth_crash_us ||
	    now_us < play->fifth_crash_us + 2 * CONTACT_US)
		return;
	play->late_sound++;
	play->late_sound_refused += refused;
}

static void count_bad(struct play *play, int64_t now_us, bool refused)
{
	if (refused && !play->crashes_until_refused)
		play->crashes_until_refused = play->crashes;
}

static void arrive(struct play *play, int64_t now_us, bool is_bad)
{
	struct request *request = xcalloc(1, sizeof(*request));
	unsigned int kind = is_bad ? play->bad_kind : choose_kind(play);
	unsigned int first = (unsigned int)tgw_random_below(
		&play->random, kinds[kind].first_parts);
	unsigned int second = choose_second(play, kind);
	double events = -log(1.0 - uniform(play)) * kinds[kind].events;
	int server;
	bool refused;

	if (is_bad && play->bad_is_first)
		first = play->bad_number;
	else if (is_bad)
		second = play->bad_number;
	identify(play, request, kind, first, second);
	refused = is_refused(play, request, now_us);
	is_bad |= kind == play->bad_kind && now_us >= BAD_FROM_US &&
		  play->bad_number == (play->bad_is_first ? first : second);
	if (is_bad)
		count_bad(play, now_us, refused);
	else
		count_sound(play, now_us, refused);
	server = refused ? -1 : choose_server(play, now_us);
	if (server < 0) {
		free(request);
		return;
	}
	if (is_bad && play->fifth_crash_us &&
	    now_us > play->fifth_crash_us + CONTACT_US)
		play->late++;
	request->server = (unsigned int)server;
	request->end_us = now_us + FIRST_EVENT_US + (int64_t)events * EVENT_US;
	request->sound_us = now_us + FIRST_EVENT_US + SOUND_EVENTS * EVENT_US;
	if (request->sound_us > request->end_us)
		request->sound_us = request->end_us;
	if (is_bad)
		request->sound_us = INT64_MAX;
	request->crash_us = is_bad ? now_us + FIRST_EVENT_US : INT64_MAX;
	request->next = play->requests;
	play->requests = request;
}

static void clear(struct play *play)
{
	while (play->requests) {
		struct request *request = play->requests;

		play->requests = request->next;
		free(request);
	}
	apply_news(play, INT64_MAX);
	quarantine_table_free(&play->table);
}

static void run(enum rule rule, uint64_t seed, struct results *results)
{
	struct play play = {.rule = rule, .next_run = SERVERS};
	double step_s = 0.001;

	tgw_random_init(&play.random, seed);
	play.last_news = &play.news;
	for (unsigned int i = 0; i < SERVERS; i++)
		play.runs[i] = i + 1;
	play.bad_kind = choose_kind(&play);
	play.bad_is_first = uniform(&play) < 0.3;
	play.bad_number = (unsigned int)tgw_random_below(
		&play.random, play.bad_is_first
				      ? kinds[play.bad_kind].first_parts
				      : kinds[play.bad_kind].second_parts);
	play.bad_per_s = 1.0 + 7.0 * uniform(&play);
	for (int64_t now_us = TGW_US_PER_MS; now_us < SPAN_US;
	     now_us += TGW_US_PER_MS) {
		apply_news(&play, now_us);
		advance_requests(&play, now_us);
		if (uniform(&play) < REQUESTS_PER_S * step_s)
			arrive(&play, now_us, false);
		if (now_us >= BAD_FROM_US &&
		    uniform(&play) < play.bad_per_s * step_s)
			arrive(&play, now_us, true);
	}
	results->crashes_until_refused += play.crashes_until_refused;
	results->runs_not_refused += !play.crashes_until_refused;
	results->late += play.late;
	results->sound_requests += play.sound;
	results->sound_refused += play.sound_refused;
	results->late_sound += play.late_sound;
	results->late_sound_refused += play.late_sound_refused;
	results->runs_with_false += play.sound_refused > 0;
	clear(&play);
}

static double share(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

int main(int argc, char **argv)
{
	unsigned int runs = argc > 1 ? (unsigned int)strtoul(argv[1], NULL, 10)
				     : DEFAULT_RUNS;
	uint64_t seed = argc > 2 ? strtoull(argv[2], NULL, 10) : 1;

	printf("rule       refused after  late  not refused  runs with a sound "
	       "request refused  sound refused  late sound refused\n");
	for (enum rule rule = 0; rule < RULES; rule++) {
		struct results results = {0};

		for (unsigned int i = 0; i < runs; i++)
			run(rule, seed + i, &results);
		printf("%-10s %13.1f %5.2f %12u %34u %14.5f %19.5f\n",
		       rule_names[rule],
		       share(results.crashes_until_refused,
			     runs - results.runs_not_refused),
		       results.late / runs, results.runs_not_refused,
		       results.runs_with_false,
		       share(results.sound_refused, results.sound_requests),
		       share(results.late_sound_refused, results.late_sound));
	}
	return 0;
}
