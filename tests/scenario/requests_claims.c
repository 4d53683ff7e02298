#include <stdio.h>
#include <string.h>

#include "scenario/requests_fleet.h"

#define PENDING_MAX 512
#define SERVICE_TIME_US (INT64_C(50) * TGW_US_PER_MS)

/* What happens to a call whose claim was granted. */
enum call_fate { FATE_DONE, FATE_LOST, FATE_NOT_SENT, FATE_HANG };

struct pending_call {
	struct fleet_host *host;
	uint64_t incarnation;
	struct fleet_call *call;
	struct tgw_request_key key;
	enum call_fate fate;
	char body[TGW_NAME_SIZE];
};

static struct fleet_call *find_or_add_call(struct fleet *fleet, const char *key)
{
	struct fleet_call *call = fleet->calls;

	while (call < fleet->calls + fleet->call_count &&
	       strcmp(call->key, key))
		call++;
	if (call == fleet->calls + fleet->call_count) {
		fleet->call_count++;
		snprintf(call->key, sizeof(call->key), "%s", key);
	}
	return call;
}

static void fill_key(struct tgw_request_key *key, const char *text)
{
	memset(key, 0, sizeof(*key));
	memcpy(key->bytes, text, strnlen(text, sizeof(key->bytes)));
}

static void end_call(void *arg)
{
	static const enum tgw_claim_outcome outcomes[] = {
		TGW_CLAIM_DONE, TGW_CLAIM_NO_RESPONSE, TGW_CLAIM_NOT_SENT};
	struct pending_call *pending = arg;
	struct fleet_host *host = pending->host;

	if (host->up && host->paused) {
		fake_world_after(&host->fleet->world, SERVICE_TIME_US, end_call,
				 pending);
		return;
	}
	if (host->up && host->incarnation == pending->incarnation)
		tgw_claim_finish(host->claims, &pending->key,
				 outcomes[pending->fate], 201, "text/plain",
				 pending->body, strlen(pending->body));
}

/* The host sends the call to its backend server, which runs it. */
static void send_call(struct pending_call *pending)
{
	struct fleet *fleet = pending->host->fleet;

	if (pending->fate != FATE_NOT_SENT)
		pending->call->runs++;
	if (pending->fate != FATE_HANG)
		fake_world_after(&fleet->world, SERVICE_TIME_US, end_call,
				 pending);
}

static const char *claim_state_name(enum tgw_claim_state state)
{
	static const char *const names[] = {
		"granted", "running",	       "recorded",
		"unknown", "refused, not run", "key reused, not run"};

	return names[state];
}

static void on_answer(void *arg, const struct tgw_claim_answer *answer)
{
	struct pending_call *pending = arg;

	fleet_print_time(pending->host->fleet);
	printf("%s %s: %s", pending->host->name, pending->call->key,
	       claim_state_name(answer->state));
	if (answer->state == TGW_CLAIM_UNKNOWN)
		printf(", earlier attempt %s",
		       answer->earlier_attempt_known ? "known" : "not known");
	if (answer->state == TGW_CLAIM_RECORDED)
		printf(" %d %s \"%.*s\"%s", answer->http_status,
		       answer->content_type, (int)answer->body_size,
		       answer->body ? (const char *)answer->body : "",
		       answer->body_not_kept ? ", body not kept" : "");
	printf("\n");
	if (answer->state == TGW_CLAIM_REFUSED)
		pending->call->reported_not_run++;
	if (answer->state == TGW_CLAIM_GRANTED)
		send_call(pending);
}

static enum call_fate parse_fate(const char *name)
{
	static const char *const names[] = {"done", "lost", "not-sent", "hang"};
	int fate = 0;

	while (fate < FATE_HANG && strcmp(names[fate], name))
		fate++;
	return (enum call_fate)fate;
}

static const char *ticket_text(const struct fleet *fleet, const char *name)
{
	for (size_t i = 0; i < fleet->ticket_count; i++)
		if (!strcmp(fleet->tickets[i].name, name))
			return fleet->tickets[i].text;
	return name;
}

/* Entries are never reused, since the calls of a killed host keep theirs until
 * the process ends. */
static struct pending_call *new_pending_call(const struct scenario_step *step)
{
	static struct pending_call all[PENDING_MAX];
	static size_t used;

	if (used == PENDING_MAX)
		scenario_fail(step, "more than %d calls in one scenario",
			      PENDING_MAX);
	return &all[used++];
}

/* call HOST KEY BODY [fate=done|lost|not-sent|hang] [ticket=NAME]
 * [team=NAME] [first=yes]: sends a call. The response repeats its body. */
static void do_call(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;
	struct pending_call *pending = new_pending_call(step);
	const char *ticket = scenario_option(step, "ticket", NULL);
	struct tgw_claim_request request = {
		.team = scenario_option(step, "team", "koper"),
		.is_first_attempt =
			!strcmp(scenario_option(step, "first", "no"), "yes"),
	};
	struct tgw_claim_callback callback = {.done = on_answer,
					      .arg = pending};

	pending->host = fleet_host_find(fleet, step, 1);
	pending->incarnation = pending->host->incarnation;
	pending->call = find_or_add_call(fleet, step->words[2]);
	pending->fate = parse_fate(scenario_option(step, "fate", "done"));
	snprintf(pending->body, sizeof(pending->body), "%s", step->words[3]);
	fill_key(&pending->key, step->words[2]);
	request.key = pending->key;
	memcpy(request.body_hash, pending->body, sizeof(request.body_hash));
	if (ticket)
		request.ticket = ticket_text(fleet, ticket);
	tgw_claim_begin(pending->host->claims, &request, callback);
}

static void do_ticket(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;
	struct fleet_ticket *ticket = &fleet->tickets[fleet->ticket_count++];
	struct tgw_error error;

	snprintf(ticket->name, sizeof(ticket->name), "%s", step->words[2]);
	if (tgw_claim_issue_ticket(fleet_host_find(fleet, step, 1)->claims,
				   "koper", ticket->text, &error))
		printf("%s\n", error.message);
	else
		printf("%s\n", ticket->text);
}

static void do_drain_claims(void *world, const struct scenario_step *step)
{
	tgw_claim_drain(fleet_host_find(world, step, 1)->claims);
}

static void do_drained(void *world, const struct scenario_step *step)
{
	bool drained =
		tgw_claim_is_drained(fleet_host_find(world, step, 1)->claims);

	printf("%s\n", drained ? "drained" : "not drained");
}

/* runs [short]: prints how often each call ran, as counted by the backend
 * server, and the totals; with short, only the totals. */
static void do_runs(void *world, const struct scenario_step *step)
{
	const struct fleet *fleet = world;
	int ran_twice = 0;
	int false_not_run = 0;

	for (size_t i = 0; i < fleet->call_count; i++) {
		const struct fleet_call *call = &fleet->calls[i];

		if (step->word_count == 1)
			printf("%s ran %d\n", call->key, call->runs);
		ran_twice += call->runs > 1;
		false_not_run += call->runs && call->reported_not_run;
	}
	printf("ran_twice=%d false_not_run=%d\n", ran_twice, false_not_run);
}

static void do_store_calls(void *world, const struct scenario_step *step)
{
	const struct fleet *fleet = world;

	printf("writes=%d conflicts=%d\n", (int)fleet->store.writes,
	       (int)fleet->store.conflicts);
}

/* calls COUNT HOST...: sends COUNT calls at once, to the hosts in turn. */
static void do_calls(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;
	size_t hosts = step->word_count - 2;
	int64_t count = scenario_number(step, 1);

	for (int64_t i = 0; i < count; i++) {
		char key[TGW_NAME_SIZE];
		struct scenario_step one = {
			.file = step->file,
			.line = step->line,
			.word_count = 4,
			.words = {"call", step->words[2 + (size_t)i % hosts],
				  key, "visit"},
		};

		snprintf(key, sizeof(key), "c%02d", (int)i);
		do_call(fleet, &one);
	}
}

const struct scenario_verb fleet_claim_verbs[] = {
	{"call", 3, 7, do_call},
	{"calls", 2, FLEET_HOSTS_MAX + 1, do_calls},
	{"ticket", 2, 2, do_ticket},
	{"drain-claims", 1, 1, do_drain_claims},
	{"drained", 1, 1, do_drained},
	{"runs", 0, 1, do_runs},
	{"store-calls", 0, 0, do_store_calls},
	{NULL, 0, 0, NULL},
};
