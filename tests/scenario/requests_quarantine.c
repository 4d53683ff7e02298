#include <stdio.h>
#include <string.h>

#include "scenario/requests_fleet.h"

static struct tgw_fingerprint fingerprint_of(const char *body)
{
	struct tgw_fingerprint fingerprint;

	tgw_fingerprint_of(&fingerprint, "koper", body, strlen(body));
	return fingerprint;
}

struct pending_admission {
	struct fleet_host *host;
	char body[TGW_NAME_SIZE];
};

static void on_verdict(void *arg, const struct tgw_quarantine_answer *answer)
{
	static const char *const names[] = {"admitted", "on probation at",
					    "busy", "refused"};
	struct pending_admission *pending = arg;

	fleet_print_time(pending->host->fleet);
	printf("%s %s: %s%s%s\n", pending->host->name, pending->body,
	       names[answer->verdict], *answer->server ? " " : "",
	       answer->server);
}

/* enter HOST BODY SERVER... [wait_ms=N]: requests admission for an attempt that
 * can run on any of these servers. The attempt waits at most wait_ms; this
 * option has to be the last word. */
static void do_enter(void *world, const struct scenario_step *step)
{
	static struct pending_admission all[FLEET_CALLS_MAX];
	static size_t used;
	struct pending_admission *pending = &all[used++ % FLEET_CALLS_MAX];
	int64_t wait_us = fleet_option(step, "wait_ms", "0") * TGW_US_PER_MS;
	struct tgw_quarantine_query query = {
		.fingerprint = fingerprint_of(step->words[2]),
		.server_count = step->word_count - 3,
		.servers = (const char *const *)&step->words[3],
	};
	struct tgw_quarantine_callback callback = {.done = on_verdict,
						   .arg = pending};

	pending->host = fleet_host_find(world, step, 1);
	snprintf(pending->body, sizeof(pending->body), "%s", step->words[2]);
	if (wait_us) {
		query.wait_until_us =
			pending->host->fleet->world.now_us + wait_us;
		query.server_count--;
	}
	tgw_quarantine_enter(pending->host->quarantine, &query, callback);
}

/* crash HOST SERVER BODY...: the server crashed while it ran these requests. */
static void do_crash(void *world, const struct scenario_step *step)
{
	struct fleet_host *host = fleet_host_find(world, step, 1);

	for (size_t i = 3; i < step->word_count; i++) {
		struct tgw_fingerprint fingerprint =
			fingerprint_of(step->words[i]);

		tgw_quarantine_on_crash(host->quarantine, &fingerprint, "koper",
					step->words[2],
					(uint32_t)step->word_count - 4);
	}
}

static void do_served(void *world, const struct scenario_step *step)
{
	struct tgw_fingerprint fingerprint = fingerprint_of(step->words[2]);

	tgw_quarantine_on_served(fleet_host_find(world, step, 1)->quarantine,
				 &fingerprint);
}

static void do_ended(void *world, const struct scenario_step *step)
{
	struct tgw_fingerprint fingerprint = fingerprint_of(step->words[2]);

	tgw_quarantine_on_ended(fleet_host_find(world, step, 1)->quarantine,
				&fingerprint);
}

static void do_lift(void *world, const struct scenario_step *step)
{
	struct tgw_fingerprint fingerprint = fingerprint_of(step->words[2]);

	tgw_quarantine_lift(fleet_host_find(world, step, 1)->quarantine,
			    &fingerprint);
}

static void do_quarantine(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;
	struct tgw_quarantine_entry entries[FLEET_CALLS_MAX];

	for (size_t i = 0; i < fleet->host_count; i++) {
		struct fleet_host *host = &fleet->hosts[i];
		size_t count;
		size_t refused = 0;

		if (!host->up)
			continue;
		count = tgw_quarantine_list(host->quarantine, entries,
					    FLEET_CALLS_MAX);
		for (size_t e = 0; e < count; e++)
			refused += entries[e].refused;
		printf("%s knows %zu suspected, %zu refused\n", host->name,
		       count - refused, refused);
	}
}

const struct scenario_verb fleet_quarantine_verbs[] = {
	{"enter", 2, 10, do_enter},  {"crash", 3, 10, do_crash},
	{"served", 2, 2, do_served}, {"ended", 2, 2, do_ended},
	{"lift", 2, 2, do_lift},     {"quarantine", 0, 0, do_quarantine},
	{NULL, 0, 0, NULL},
};
