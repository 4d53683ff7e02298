#include "soak/soak_faults.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/xalloc.h"
#include "soak/soak_garbage.h"
#include "soak/soak_server.h"

#define FAULT_MIN_MS 100
#define FAULT_SPREAD_MS 4000
/* Signals follow each other this closely in a series. */
#define SERIES_SPREAD_MS 400
#define BURST_CHANGES 4
#define STRANGE_CALLS 8

/* A fault that lasts, and what it was done to. */
struct fault {
	struct soak *soak;
	const struct fault_kind *kind;
	struct soak_host *host;
	struct soak_server *server;
	size_t slot; /* of the server */
	uv_timer_t timer;
};

struct fault_kind {
	const char *name;
	unsigned int weight;
	void (*begin)(struct fault *fault);
	void (*end)(struct fault *fault); /* NULL: it happens at once */
	unsigned int spread_ms;		  /* of its length */
	unsigned int min_ms;
	/** Needs the servers, callers or configuration of the play "faults". */
	bool is_own;
};

static unsigned int pick(const struct fault *fault, unsigned int bound)
{
	return (unsigned int)tgw_random_below(&fault->soak->random, bound);
}

static void begin_kill(struct fault *fault)
{
	soak_host_signal(fault->host, SIGKILL);
}

static void begin_stop(struct fault *fault)
{
	soak_host_signal(fault->host, SIGTERM);
}

/* The process is killed again while it starts. */
static void begin_kill_in_start(struct fault *fault)
{
	soak_host_signal(fault->host, SIGKILL);
	fault->host->start_at_us = soak_now_us();
}

static void begin_pause(struct fault *fault)
{
	soak_host_signal(fault->host, SIGSTOP);
}

static void begin_pause_and_stop(struct fault *fault)
{
	soak_host_signal(fault->host, SIGSTOP);
	soak_host_signal(fault->host, SIGTERM);
}

static void end_pause(struct fault *fault)
{
	if (fault->host->paused)
		soak_host_signal(fault->host, SIGCONT);
}

static void begin_reload(struct fault *fault)
{
	soak_host_touch_settings(fault->host);
	soak_host_signal(fault->host, SIGHUP);
}

static void begin_stop_some(struct fault *fault)
{
	struct soak *soak = fault->soak;
	size_t domain = pick(fault, SOAK_DOMAINS);

	for (size_t i = domain; i < soak->host_count; i += SOAK_DOMAINS)
		soak_host_signal(&soak->hosts[i], SIGTERM);
}

static void begin_kill_all(struct fault *fault)
{
	struct soak *soak = fault->soak;

	for (size_t i = 0; i < soak->host_count; i++)
		soak_host_signal(&soak->hosts[i], SIGKILL);
}

static void begin_change(struct fault *fault)
{
	soak_configure(fault->soak);
}

static void begin_changes(struct fault *fault)
{
	for (int i = 0; i < BURST_CHANGES; i++)
		soak_configure(fault->soak);
}

static void begin_change_at_restart(struct fault *fault)
{
	begin_kill_in_start(fault);
	soak_configure(fault->soak);
}

static void disturb_store(struct fault *fault)
{
	fault->soak->store_disturbed_us = soak_now_us();
}

static void begin_store_silent(struct fault *fault)
{
	fault->soak->store_faults++;
	fault->soak->store.silent = true;
	disturb_store(fault);
}

static void begin_store_errors(struct fault *fault)
{
	fault->soak->store_faults++;
	fault->soak->store.refuse_status = pick(fault, 2) ? 503 : 429;
	disturb_store(fault);
}

static void end_store_fault(struct fault *fault)
{
	struct soak *soak = fault->soak;

	disturb_store(fault);
	if (--soak->store_faults)
		return;
	soak->store.silent = false;
	soak->store.refuse_status = 0;
}

static void begin_store_loses(struct fault *fault)
{
	fault->soak->store.lose_answers += 1 + pick(fault, 5);
	disturb_store(fault);
}

static void begin_store_conflicts(struct fault *fault)
{
	fault->soak->store.race_writes += 1 + pick(fault, 10);
	fault->soak->store.conflict_count = 0;
}

static void begin_store_forgets(struct fault *fault)
{
	fault->soak->store.oldest = fault->soak->store.revision;
	disturb_store(fault);
}

static void begin_view_silent(struct fault *fault)
{
	soak_host_begin_fault(fault->host);
	fault->host->view.silent = true;
}

static void begin_view_errors(struct fault *fault)
{
	soak_host_begin_fault(fault->host);
	fault->host->view.refuse_status = pick(fault, 2) ? 503 : 429;
}

static void end_host_fault(struct fault *fault)
{
	soak_host_end_fault(fault->host);
}

static void hold_link(struct fault *fault, struct soak_link *link)
{
	unsigned int way = pick(fault, 3);

	soak_link_hold(link, way != 0, way != 1);
}

static void begin_store_cut(struct fault *fault)
{
	soak_host_begin_fault(fault->host);
	hold_link(fault, &fault->host->store_link);
}

static void begin_store_delay(struct fault *fault)
{
	soak_host_begin_fault(fault->host);
	fault->host->store_link.delay_ms = 20 + pick(fault, 600);
}

static void begin_store_reset(struct fault *fault)
{
	soak_host_disturb(fault->host);
	soak_link_reset(&fault->host->store_link);
}

static void begin_store_link_silent(struct fault *fault)
{
	soak_host_disturb(fault->host);
	soak_link_silence(&fault->host->store_link);
}

static void cut_peers(struct fault *fault, bool cut, bool incoming,
		      bool outgoing)
{
	struct soak *soak = fault->soak;
	size_t host = fault->host->index;

	for (size_t i = 0; i < soak->host_count; i++) {
		if (outgoing)
			soak_peers_cut(&soak->peers, host, i, cut);
		if (incoming)
			soak_peers_cut(&soak->peers, i, host, cut);
	}
}

static void begin_peers_cut(struct fault *fault)
{
	unsigned int way = pick(fault, 3);

	cut_peers(fault, true, way != 0, way != 1);
}

static void end_peers_cut(struct fault *fault)
{
	cut_peers(fault, false, true, true);
}

static void begin_peers_noise(struct fault *fault)
{
	struct soak_peers *peers = &fault->soak->peers;

	peers->loss_percent = pick(fault, 50);
	peers->repeat_percent = pick(fault, 40);
	peers->late_percent = pick(fault, 30);
	peers->corrupt_percent = pick(fault, 30);
}

static void end_peers_noise(struct fault *fault)
{
	struct soak_peers *peers = &fault->soak->peers;

	peers->loss_percent = 0;
	peers->repeat_percent = 0;
	peers->late_percent = 0;
	peers->corrupt_percent = 0;
}

static void begin_server_crash(struct fault *fault)
{
	soak_server_crash(fault->server);
}

static void begin_server_leave(struct fault *fault)
{
	soak_server_leave(fault->server, pick(fault, 4) != 0);
}

/* Another server takes the place of the one that has ended, at times its
 * address, or the same one starts again. */
static void end_server(struct fault *fault)
{
	struct soak *soak = fault->soak;
	struct soak_server *server = fault->server;
	unsigned int way = pick(fault, 3);

	if (soak->servers[fault->slot] != server)
		return;
	soak_server_end(server);
	soak->servers[fault->slot] =
		soak_server_start(soak, way == 2 ? server->id : NULL,
				  way ? server->link.address : NULL);
}

static void begin_server_faults(struct fault *fault)
{
	fault->server->fault_percent = 5 + pick(fault, 50);
}

static void begin_server_copies(struct fault *fault)
{
	fault->server->copy_percent = 30 + pick(fault, 60);
}

static void end_server_faults(struct fault *fault)
{
	fault->server->fault_percent = 0;
	fault->server->copy_percent = 0;
}

static void begin_server_cut(struct fault *fault)
{
	if (fault->server->crashed)
		return;
	soak_server_excuse(fault->server);
	hold_link(fault, &fault->server->link);
}

static void begin_server_delay(struct fault *fault)
{
	fault->server->link.delay_ms = 5 + pick(fault, 300);
}

static void end_server_link_fault(struct fault *fault)
{
	soak_link_hold(&fault->server->link, false, false);
	fault->server->link.delay_ms = 0;
}

static void begin_server_reset(struct fault *fault)
{
	soak_server_reset_link(fault->server);
}

static void begin_server_silent(struct fault *fault)
{
	soak_server_excuse(fault->server);
	soak_link_silence(&fault->server->link);
}

static void disturb_callers(struct fault *fault, bool lasts)
{
	fault->host->caller_link_faulty = lasts;
	fault->host->caller_link_us = soak_now_us();
}

static void begin_callers_cut(struct fault *fault)
{
	disturb_callers(fault, true);
	hold_link(fault, &fault->host->caller_link);
}

static void end_callers_cut(struct fault *fault)
{
	disturb_callers(fault, false);
	soak_link_hold(&fault->host->caller_link, false, false);
}

static void begin_callers_reset(struct fault *fault)
{
	disturb_callers(fault, false);
	soak_link_reset(&fault->host->caller_link);
}

static void begin_strange_calls(struct fault *fault)
{
	for (int i = 0; i < STRANGE_CALLS; i++)
		soak_garbage_call(fault->soak, fault->host);
}

static void begin_strange_entry(struct fault *fault)
{
	soak_garbage_entry(fault->soak);
}

#define AT_ONCE 0, 0
#define LASTING FAULT_SPREAD_MS, FAULT_MIN_MS
#define SERIES SERIES_SPREAD_MS, 1

static const struct fault_kind kinds[] = {
	{"kill", 6, begin_kill, NULL, AT_ONCE, false},
	{"kill-in-start", 3, begin_kill_in_start, begin_kill, SERIES, false},
	{"kill-all", 1, begin_kill_all, NULL, AT_ONCE, false},
	{"stop", 8, begin_stop, NULL, AT_ONCE, false},
	{"stop-twice", 4, begin_stop, begin_stop, SERIES, false},
	{"stop-then-kill", 3, begin_stop, begin_kill, LASTING, false},
	{"stop-some", 2, begin_stop_some, begin_stop_some, SERIES, false},
	{"stop-in-start", 2, begin_kill_in_start, begin_stop, SERIES, false},
	{"pause", 5, begin_pause, end_pause, LASTING, false},
	{"pause-and-stop", 2, begin_pause_and_stop, end_pause, LASTING, false},
	{"reload", 3, begin_reload, begin_reload, SERIES, false},
	{"change", 10, begin_change, NULL, AT_ONCE, true},
	{"changes", 4, begin_changes, begin_change, SERIES, true},
	{"change-at-restart", 4, begin_change_at_restart, begin_change, SERIES,
	 true},
	{"store-silent", 2, begin_store_silent, end_store_fault, LASTING,
	 false},
	{"store-errors", 2, begin_store_errors, end_store_fault, LASTING,
	 false},
	{"store-loses", 3, begin_store_loses, NULL, AT_ONCE, false},
	{"store-conflicts", 3, begin_store_conflicts, NULL, AT_ONCE, false},
	{"store-forgets", 3, begin_store_forgets, NULL, AT_ONCE, false},
	{"store-silent-to-one", 3, begin_view_silent, end_host_fault, LASTING,
	 false},
	{"store-errors-to-one", 3, begin_view_errors, end_host_fault, LASTING,
	 false},
	{"store-cut", 4, begin_store_cut, end_host_fault, LASTING, false},
	{"store-delay", 3, begin_store_delay, end_host_fault, LASTING, false},
	{"store-reset", 2, begin_store_reset, NULL, AT_ONCE, false},
	{"store-link-silent", 3, begin_store_link_silent, NULL, AT_ONCE, false},
	{"peers-cut", 5, begin_peers_cut, end_peers_cut, LASTING, false},
	{"peers-noise", 5, begin_peers_noise, end_peers_noise, LASTING, false},
	{"server-crash", 4, begin_server_crash, end_server, LASTING, true},
	{"server-leaves", 6, begin_server_leave, end_server, FAULT_SPREAD_MS,
	 2 * SOAK_DRAIN_MS, true},
	{"server-faults", 8, begin_server_faults, end_server_faults, LASTING,
	 true},
	{"server-copies", 5, begin_server_copies, end_server_faults, LASTING,
	 true},
	{"server-cut", 3, begin_server_cut, end_server_link_fault, LASTING,
	 true},
	{"server-delay", 3, begin_server_delay, end_server_link_fault, LASTING,
	 true},
	{"server-reset", 3, begin_server_reset, NULL, AT_ONCE, true},
	{"server-silent", 3, begin_server_silent, NULL, AT_ONCE, true},
	{"callers-cut", 2, begin_callers_cut, end_callers_cut, LASTING, true},
	{"callers-reset", 2, begin_callers_reset, NULL, AT_ONCE, true},
	{"strange-calls", 4, begin_strange_calls, NULL, AT_ONCE, true},
	{"strange-entry", 4, begin_strange_entry, begin_strange_entry, LASTING,
	 true},
};

#define KINDS (sizeof(kinds) / sizeof(kinds[0]))

static unsigned int played[KINDS];

/* Plays with their own servers have none of the play "faults". */
static unsigned int weight_of(const struct soak *soak, size_t kind)
{
	return kinds[kind].is_own && !soak->servers[0] ? 0 : kinds[kind].weight;
}

static const struct fault_kind *choose_kind(struct soak *soak)
{
	unsigned int total = 0;
	unsigned int at;
	size_t i;

	for (i = 0; i < KINDS; i++)
		total += weight_of(soak, i);
	at = (unsigned int)tgw_random_below(&soak->random, total);
	for (i = 0; at >= weight_of(soak, i); i++)
		at -= weight_of(soak, i);
	return &kinds[i];
}

static void on_fault_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static const char *server_id(const struct fault *fault)
{
	return fault->server ? fault->server->id : "";
}

static void on_over(uv_timer_t *timer)
{
	struct fault *fault = timer->data;

	soak_note(fault->soak, "end of %s %s %s", fault->kind->name,
		  fault->host->name, server_id(fault));
	if (fault->kind->end)
		fault->kind->end(fault);
	uv_close((uv_handle_t *)timer, on_fault_closed);
}

void soak_faults_begin(struct soak *soak)
{
	const struct fault_kind *kind = choose_kind(soak);
	struct fault *fault = xcalloc(1, sizeof(*fault));
	unsigned int length_ms = kind->min_ms;

	fault->soak = soak;
	fault->kind = kind;
	fault->host = &soak->hosts[pick(fault, (unsigned int)soak->host_count)];
	fault->slot = pick(fault, SOAK_SERVERS);
	fault->server = soak->servers[fault->slot];
	if (kind->spread_ms)
		length_ms += pick(fault, kind->spread_ms);
	played[kind - kinds]++;
	soak_note(soak, "%s %s %s for %u ms", kind->name, fault->host->name,
		  server_id(fault), length_ms);
	kind->begin(fault);
	uv_timer_init(&soak->loop, &fault->timer);
	fault->timer.data = fault;
	uv_timer_start(&fault->timer, on_over, length_ms, 0);
}

void soak_faults_print(void)
{
	printf("played:");
	for (size_t i = 0; i < KINDS; i++)
		if (played[i])
			printf(" %s %u", kinds[i].name, played[i]);
	printf("\n");
}
