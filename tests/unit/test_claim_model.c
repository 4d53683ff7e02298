/*
 * Tests that a claimed call never runs twice. Explores every order of claim
 * requests, store writes, lost, late and duplicated messages, pauses, crashes
 * and retries around one call, with claim_bucket and claim_ticket making the
 * decisions, and counts how often the call runs.
 *
 * A message that was sent once may arrive at any later time, any number of
 * times, or never, so each sent message stays in the state as a bit. A
 * compare-and-swap applies only to the version that it was decided on, so
 * deciding and applying are one step. A pause needs no step of its own, as any
 * process may take no step for a while.
 */
#include <string.h>

#include "base/xalloc.h"
#include "state/claim_bucket.h"
#include "state/claim_ticket.h"
#include "unit/unit_main.h"

#define OWNERS 5
#define TABLE_SLOTS (1 << 22)
#define VALUES ((uint8_t)(1 + 3 * OWNERS))
#define ISSUER_HOST 0

/* Each owner is one claim request. Host 0 crashes once: its first process sends
 * requests 0 and 1, its second one sends request 4. The only process of host 1
 * sends requests 2 and 3. */
static const struct {
	int host;
	int incarnation;
} owners[OWNERS] = {{0, 1}, {0, 1}, {1, 1}, {1, 1}, {0, 2}};

enum phase { NEW, REQUESTED, GIVEN_UP, GRANTED, SENT, ENDED };

enum authority { BY_STORE, BY_TICKET };

/* Deliberate faults, to show that the exploration detects each of them. */
enum fault {
	NO_FAULT,
	GRANT_BEFORE_STORED,
	WRITE_WITHOUT_COMPARE,
	LATE_GRANT_RUNS,
	NOT_SENT_AFTER_SENT,
	CLAIM_OF_DEAD_OWNER_REUSED,
	TICKET_OF_DEAD_ISSUER_CLAIMED,
	TICKET_RUNS_WITHOUT_GRANT,
};

/* Records are encoded as numbers: 0 for none, otherwise
 * phase * OWNERS + owner + 1. */
struct state {
	uint8_t phases[OWNERS];
	uint8_t stored;	       /**< the store's record */
	uint8_t issuer_record; /**< the issuer's record of its ticket */
	uint8_t dead;	       /**< host 0's first process has crashed */
	uint8_t runs;
	uint8_t unused[3];    /**< zero, as states are compared as bytes */
	uint32_t granted;     /**< owners that were granted the call */
	uint32_t not_sent;    /**< owners that reported that no byte was sent */
	uint32_t done;	      /**< owners that reported a complete response */
	uint32_t no_response; /**< owners that reported a lost response */
	uint32_t values;      /**< bit per record that the store ever held */
};

struct exploration {
	enum authority authority;
	enum fault fault;
	struct state *states; /**< in order of discovery */
	uint32_t *slots;      /**< index into states, plus one; 0: free */
	size_t count;
	int max_runs;
	bool false_record; /**< DONE was decided for a call that never ran */
};

static uint8_t number_of(enum claim_phase phase, int owner)
{
	return (uint8_t)((int)phase * OWNERS + owner + 1);
}

static struct claim_record record_of(uint8_t number)
{
	struct claim_record record = {
		.phase = (enum claim_phase)((number - 1) / OWNERS)};
	int owner = (number - 1) % OWNERS;

	record.owner.host[0] = (char)('a' + owners[owner].host);
	record.owner.incarnation = (uint64_t)owners[owner].incarnation;
	record.owner.attempt_id = (uint64_t)owner + 1;
	return record;
}

static uint8_t number_of_record(const struct claim_record *record)
{
	return number_of(record->phase, (int)record->owner.attempt_id - 1);
}

static uint64_t hash_of(const struct state *state)
{
	const uint8_t *bytes = (const uint8_t *)state;
	uint64_t hash = 14695981039346656037U;

	for (size_t i = 0; i < sizeof(*state); i++)
		hash = (hash ^ bytes[i]) * 1099511628211U;
	return hash ^ (hash >> 29);
}

static void discover(struct exploration *exploration, const struct state *state)
{
	size_t at = hash_of(state) % TABLE_SLOTS;

	while (exploration->slots[at]) {
		if (!memcmp(&exploration->states[exploration->slots[at] - 1],
			    state, sizeof(*state)))
			return;
		at = (at + 1) % TABLE_SLOTS;
	}
	ck_assert_uint_lt(exploration->count, TABLE_SLOTS / 2);
	exploration->states[exploration->count++] = *state;
	exploration->slots[at] = (uint32_t)exploration->count;
	if (state->runs > exploration->max_runs)
		exploration->max_runs = state->runs;
}

static bool is_up(const struct state *state, int owner)
{
	if (owners[owner].host != ISSUER_HOST)
		return true;
	return owners[owner].incarnation == (state->dead ? 2 : 1);
}

static void fill_bucket(struct claim_bucket *bucket, uint8_t number)
{
	bool changed;
	struct claim_record record;

	if (!number)
		return;
	record = record_of(number);
	claim_bucket_claim(bucket, &record, &changed);
	if (record.phase != CLAIM_PHASE_RUNNING)
		claim_bucket_end(bucket, &record, false, &changed);
}

static uint8_t number_of_bucket(const struct claim_bucket *bucket)
{
	return bucket->count ? number_of_record(&bucket->records[0]) : 0;
}

static void set_stored(struct state *state, uint8_t number)
{
	state->stored = number;
	state->values |= 1U << number;
}

/* Decides a claim request on a value that the store holds or held. If the claim
 * is granted, its record is written to the store. */
static void claim_in_store(struct exploration *exploration,
			   const struct state *from, int owner, uint8_t value)
{
	struct claim_record request =
		record_of(number_of(CLAIM_PHASE_RUNNING, owner));
	struct claim_bucket bucket = {0};
	struct state next = *from;
	bool changed = false;
	enum claim_decision decision;

	fill_bucket(&bucket, value);
	decision = claim_bucket_claim(&bucket, &request, &changed);
	if (exploration->fault == CLAIM_OF_DEAD_OWNER_REUSED &&
	    decision == CLAIM_DECISION_RUNNING && from->dead) {
		claim_bucket_clear(&bucket);
		decision = claim_bucket_claim(&bucket, &request, &changed);
	}
	if (decision == CLAIM_DECISION_GRANTED) {
		set_stored(&next, number_of_bucket(&bucket));
		next.granted |= 1U << owner;
		discover(exploration, &next);
	}
	if (decision == CLAIM_DECISION_DONE && !from->runs)
		exploration->false_record = true;
	claim_bucket_clear(&bucket);
}

static void end_in_store(struct exploration *exploration,
			 const struct state *from, int owner,
			 enum claim_phase phase, bool insert)
{
	struct claim_record end = record_of(number_of(phase, owner));
	struct claim_bucket bucket = {0};
	struct state next = *from;
	bool changed = false;

	fill_bucket(&bucket, from->stored);
	claim_bucket_end(&bucket, &end, insert, &changed);
	if (changed) {
		set_stored(&next, number_of_bucket(&bucket));
		discover(exploration, &next);
	}
	claim_bucket_clear(&bucket);
}

static struct claim_ticket ticket_of(uint8_t number)
{
	struct claim_ticket ticket = {.serial = 1, .used = number != 0};

	if (number)
		ticket.record = record_of(number);
	return ticket;
}

static void claim_at_issuer(struct exploration *exploration,
			    const struct state *from, int owner)
{
	struct claim_record request =
		record_of(number_of(CLAIM_PHASE_RUNNING, owner));
	struct claim_ticket ticket = ticket_of(from->issuer_record);
	struct state next = *from;
	enum claim_decision decision =
		claim_ticket_claim(&ticket, "", &request);

	if (decision == CLAIM_DECISION_GRANTED) {
		next.issuer_record = number_of_record(&ticket.record);
		next.granted |= 1U << owner;
		discover(exploration, &next);
	}
	if (decision == CLAIM_DECISION_DONE && !from->runs)
		exploration->false_record = true;
}

static void end_at_issuer(struct exploration *exploration,
			  const struct state *from, int owner,
			  enum claim_phase phase)
{
	struct claim_record end = record_of(number_of(phase, owner));
	struct claim_ticket ticket = ticket_of(from->issuer_record);
	struct state next = *from;

	if (!claim_ticket_end(&ticket, &end))
		return;
	next.issuer_record = ticket.used ? number_of_record(&ticket.record) : 0;
	discover(exploration, &next);
}

/* A process other than a ticket's issuer may only look up the ticket's record
 * in the store. The look-up never grants the call. */
static void look_up_record(struct exploration *exploration,
			   const struct state *from, int owner)
{
	struct claim_record request =
		record_of(number_of(CLAIM_PHASE_RUNNING, owner));
	struct claim_bucket bucket = {0};
	enum claim_decision decision;

	fill_bucket(&bucket, from->stored);
	decision = claim_bucket_look_up(&bucket, &request);
	if (decision == CLAIM_DECISION_DONE && !from->runs)
		exploration->false_record = true;
	claim_bucket_clear(&bucket);
}

static void deliver_request(struct exploration *exploration,
			    const struct state *from, int owner)
{
	struct state next = *from;

	if (exploration->authority == BY_TICKET) {
		look_up_record(exploration, from, owner);
		if (!from->dead)
			claim_at_issuer(exploration, from, owner);
		else if (exploration->fault == TICKET_OF_DEAD_ISSUER_CLAIMED)
			claim_in_store(exploration, from, owner, from->stored);
		return;
	}
	claim_in_store(exploration, from, owner, from->stored);
	if (exploration->fault == GRANT_BEFORE_STORED) {
		next.granted |= 1U << owner;
		discover(exploration, &next);
	}
	if (exploration->fault == WRITE_WITHOUT_COMPARE)
		for (int old = 0; old < VALUES; old++)
			if (from->values & (1U << old))
				claim_in_store(exploration, from, owner,
					       (uint8_t)old);
}

static void deliver_end(struct exploration *exploration,
			const struct state *from, int owner,
			enum claim_phase phase)
{
	if (exploration->authority == BY_STORE) {
		end_in_store(exploration, from, owner, phase, false);
		return;
	}
	if (!from->dead)
		end_at_issuer(exploration, from, owner, phase);
	if (phase != CLAIM_PHASE_RUNNING)
		end_in_store(exploration, from, owner, phase, true);
}

static void deliver_messages(struct exploration *exploration,
			     const struct state *from, int owner)
{
	uint32_t bit = 1U << owner;

	if (from->phases[owner] != NEW)
		deliver_request(exploration, from, owner);
	if (from->not_sent & bit)
		deliver_end(exploration, from, owner, CLAIM_PHASE_RUNNING);
	if (from->done & bit)
		deliver_end(exploration, from, owner, CLAIM_PHASE_DONE);
	if (from->no_response & bit)
		deliver_end(exploration, from, owner, CLAIM_PHASE_UNKNOWN);
}

static void enter_phase(struct exploration *exploration,
			const struct state *from, int owner, enum phase phase)
{
	struct state next = *from;

	next.phases[owner] = (uint8_t)phase;
	if (phase == SENT)
		next.runs++;
	discover(exploration, &next);
}

static void report_end(struct exploration *exploration,
		       const struct state *from, int owner, uint32_t *reports)
{
	struct state next = *from;

	*(uint32_t *)((char *)&next + ((char *)reports - (char *)from)) |=
		1U << owner;
	next.phases[owner] = ENDED;
	discover(exploration, &next);
}

/* A grant reaches the process that requested it. */
static void receive_grant(struct exploration *exploration,
			  const struct state *from, int owner)
{
	struct state next = *from;

	if (!(from->granted & (1U << owner)))
		return;
	if (from->phases[owner] == REQUESTED)
		enter_phase(exploration, from, owner, GRANTED);
	if (from->phases[owner] != GIVEN_UP)
		return;
	next.not_sent |= 1U << owner;
	discover(exploration, &next);
	if (exploration->fault == LATE_GRANT_RUNS)
		enter_phase(exploration, from, owner, GRANTED);
}

static void step_process(struct exploration *exploration,
			 const struct state *from, int owner)
{
	struct state *state = (struct state *)from;

	receive_grant(exploration, from, owner);
	switch (from->phases[owner]) {
	case NEW:
		enter_phase(exploration, from, owner, REQUESTED);
		return;
	case REQUESTED:
		enter_phase(exploration, from, owner, GIVEN_UP);
		if (exploration->fault == TICKET_RUNS_WITHOUT_GRANT)
			enter_phase(exploration, from, owner, GRANTED);
		return;
	case GRANTED:
		enter_phase(exploration, from, owner, SENT);
		report_end(exploration, from, owner, &state->not_sent);
		return;
	case SENT:
		report_end(exploration, from, owner, &state->done);
		report_end(exploration, from, owner, &state->no_response);
		if (exploration->fault == NOT_SENT_AFTER_SENT)
			report_end(exploration, from, owner, &state->not_sent);
		return;
	default:
		return;
	}
}

static void step(struct exploration *exploration, const struct state *from)
{
	struct state next = *from;

	for (int owner = 0; owner < OWNERS; owner++) {
		deliver_messages(exploration, from, owner);
		if (is_up(from, owner))
			step_process(exploration, from, owner);
	}
	if (from->dead)
		return;
	next.dead = 1;
	discover(exploration, &next);
}

/* @return the largest number of runs of the call in any order */
static int explore(enum authority authority, enum fault fault)
{
	struct exploration exploration = {.authority = authority,
					  .fault = fault};
	struct state start;

	memset(&start, 0, sizeof(start));
	start.values = 1;
	exploration.states =
		xmalloc(TABLE_SLOTS / 2 * sizeof(exploration.states[0]));
	exploration.slots = xcalloc(TABLE_SLOTS, sizeof(uint32_t));
	discover(&exploration, &start);
	for (size_t at = 0; at < exploration.count; at++) {
		struct state from = exploration.states[at];

		step(&exploration, &from);
		if (exploration.max_runs > 1)
			break;
	}
	ck_assert(!exploration.false_record);
	ck_assert_uint_gt(exploration.count, 10);
	free(exploration.states);
	free(exploration.slots);
	return exploration.max_runs;
}

START_TEST(no_order_of_events_runs_a_claimed_call_twice)
{
	ck_assert_int_eq(explore(BY_STORE, NO_FAULT), 1);
}
END_TEST

START_TEST(no_order_of_events_runs_a_ticket_twice)
{
	ck_assert_int_eq(explore(BY_TICKET, NO_FAULT), 1);
}
END_TEST

static const struct {
	enum authority authority;
	enum fault fault;
} deliberate_faults[] = {
	{BY_STORE, GRANT_BEFORE_STORED},
	{BY_STORE, WRITE_WITHOUT_COMPARE},
	{BY_STORE, LATE_GRANT_RUNS},
	{BY_STORE, NOT_SENT_AFTER_SENT},
	{BY_STORE, CLAIM_OF_DEAD_OWNER_REUSED},
	{BY_TICKET, LATE_GRANT_RUNS},
	{BY_TICKET, NOT_SENT_AFTER_SENT},
	{BY_TICKET, TICKET_OF_DEAD_ISSUER_CLAIMED},
	{BY_TICKET, TICKET_RUNS_WITHOUT_GRANT},
};

START_TEST(each_deliberate_fault_runs_a_call_twice)
{
	ck_assert_int_eq(explore(deliberate_faults[_i].authority,
				 deliberate_faults[_i].fault),
			 2);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("claim_model");
	TCase *tcase = tcase_create("orders");

	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, no_order_of_events_runs_a_claimed_call_twice);
	tcase_add_test(tcase, no_order_of_events_runs_a_ticket_twice);
	tcase_add_loop_test(tcase, each_deliberate_fault_runs_a_call_twice, 0,
			    sizeof(deliberate_faults) /
				    sizeof(deliberate_faults[0]));
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
