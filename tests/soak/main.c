/**
 * @file main.c
 * Plays one seed of the fault soak; tools/soak.sh plays many.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>

#include "base/xalloc.h"
#include "soak/evac_play.h"
#include "soak/lost_play.h"
#include "soak/part_play.h"
#include "soak/soak.h"
#include "soak/soak_caller.h"
#include "soak/soak_faults.h"
#include "soak/soak_server.h"

#define TICK_MS 10
#define WARM_UP_US (4 * SOAK_US_PER_S)
/* Mean time between faults with USUAL_HOSTS hosts. */
#define FAULT_INTERVAL_MS 350
#define USUAL_HOSTS 6
/* After the last fault: until all have ended, and then until hosts have to
 * serve again. */
#define CALM_US (16 * SOAK_US_PER_S)
/* Of the calm time the last part, in which service is measured. */
#define MEASURE_US (4 * SOAK_US_PER_S)
/* Of the requests then, this many in a hundred have to be served. */
#define SERVED_MIN_PERCENT 25
#define STOP_US ((SOAK_KILL_AFTER_S + 3) * SOAK_US_PER_S)
#define DEFAULT_SECONDS 60
#define DEFAULT_HOSTS 6
#define PERCENT 100

enum phase {
	PHASE_FAULTS,
	PHASE_CALM,
	PHASE_MEASURE,
	PHASE_STOP,
};

/* What a seed plays. */
struct play {
	const char *name;
	void (*run)(struct soak *soak, int64_t seconds);
};

static void play_faults(struct soak *played, int64_t length_s);

static const struct play plays[] = {
	{"faults", play_faults},
	{"lost", lost_play_run},
	{"parts", part_play_run},
	{"evacuate", evac_play_run},
};

#define PLAYS (sizeof(plays) / sizeof(plays[0]))

static struct soak soak;
static const struct play *play = &plays[0];
static unsigned long long seed = 1;
static int64_t seconds = DEFAULT_SECONDS;
static enum phase phase;
static int64_t next_fault_us;
static unsigned int served_before;
static unsigned int ended_before;

static unsigned int ended_count(void)
{
	return soak.served + soak.refused + soak.failed;
}

static void kill_hosts(void)
{
	for (size_t i = 0; i < soak.host_count; i++)
		if (soak.hosts[i].pid)
			kill(soak.hosts[i].pid, SIGKILL);
}

static void on_signal(int number)
{
	kill_hosts();
	_Exit(EXIT_FAILURE);
}

static void print_memory(void)
{
	long peak_kb = 0;

	for (size_t i = 0; i < soak.host_count; i++)
		if (soak.hosts[i].peak_kb > peak_kb)
			peak_kb = soak.hosts[i].peak_kb;
	soak_note(&soak, "%u answers without end; a host used %ld KB at most",
		  soak.endless_answers, peak_kb);
}

static void stop_hosts(void)
{
	soak.ending = true;
	soak_note(&soak, "planned stop of all hosts");
	for (size_t i = 0; i < soak.host_count; i++)
		soak_host_signal(&soak.hosts[i], SIGTERM);
}

static void check_recovery(void)
{
	unsigned int served = soak.served - served_before;
	unsigned int ended = ended_count() - ended_before;

	soak_note(&soak, "after the faults %u of %u requests were served",
		  served, ended);
	if (!ended || served * PERCENT < ended * SERVED_MIN_PERCENT)
		soak_broken(&soak, "not-recovered", "%u of %u requests served",
			    served, ended);
}

static void play_fault(void)
{
	uint64_t spread_us = 2ULL * FAULT_INTERVAL_MS * SOAK_US_PER_MS *
			     USUAL_HOSTS / soak.host_count;

	if (soak_now_us() < next_fault_us)
		return;
	soak_faults_begin(&soak);
	next_fault_us = soak_now_us() +
			(int64_t)tgw_random_below(&soak.random, spread_us + 1);
}

static bool hosts_are_gone(void)
{
	for (size_t i = 0; i < soak.host_count; i++)
		if (soak.hosts[i].pid)
			return false;
	return true;
}

/* Moves on to the next phase when it is time. */
static void advance(void)
{
	int64_t now_us = soak_now_us() - soak.begun_us;
	int64_t faults_end_us = WARM_UP_US + seconds * SOAK_US_PER_S;

	if (phase == PHASE_FAULTS && now_us > faults_end_us) {
		phase = PHASE_CALM;
	} else if (phase == PHASE_CALM &&
		   now_us > faults_end_us + CALM_US - MEASURE_US) {
		phase = PHASE_MEASURE;
		served_before = soak.served;
		ended_before = ended_count();
	} else if (phase == PHASE_MEASURE && now_us > faults_end_us + CALM_US) {
		phase = PHASE_STOP;
		check_recovery();
		stop_hosts();
	} else if (phase == PHASE_STOP &&
		   (hosts_are_gone() ||
		    now_us > faults_end_us + CALM_US + STOP_US)) {
		uv_stop(&soak.loop);
	}
}

static void on_tick(uv_timer_t *timer)
{
	soak_record_stall(&soak);
	for (size_t i = 0; i < soak.host_count; i++)
		soak_host_poll(&soak.hosts[i]);
	for (size_t i = 0; i < soak.host_count * SOAK_CALLERS_PER_HOST; i++)
		soak_caller_poll(&soak.callers[i]);
	if (phase == PHASE_FAULTS && soak_now_us() - soak.begun_us > WARM_UP_US)
		play_fault();
	advance();
}

static void start_callers(void)
{
	size_t count = soak.host_count * SOAK_CALLERS_PER_HOST;

	soak.callers = xcalloc(count, sizeof(*soak.callers));
	for (size_t i = 0; i < count; i++)
		soak_caller_start(&soak.callers[i], &soak,
				  &soak.hosts[i / SOAK_CALLERS_PER_HOST],
				  i % SOAK_CALLERS_PER_HOST == 0);
}

static void play_faults(struct soak *played, int64_t length_s)
{
	soak_configure(played);
	for (size_t i = 0; i < SOAK_SERVERS; i++)
		played->servers[i] = soak_server_start(played, NULL, NULL);
	soak_hosts_start(played);
	start_callers();
	uv_timer_init(&played->loop, &played->tick);
	uv_timer_start(&played->tick, on_tick, TICK_MS, TICK_MS);
	uv_run(&played->loop, UV_RUN_DEFAULT);
	soak_faults_print();
}

static bool choose_play(const char *name)
{
	for (size_t i = 0; i < PLAYS; i++) {
		if (strcmp(plays[i].name, name))
			continue;
		play = &plays[i];
		return true;
	}
	return false;
}

static error_t read_option(int key, char *value, struct argp_state *state)
{
	switch (key) {
	case 's':
		seed = strtoull(value, NULL, 10);
		break;
	case 't':
		seconds = strtoll(value, NULL, 10);
		break;
	case 'n':
		soak.host_count = strtoul(value, NULL, 10);
		break;
	case 'p':
		soak.program = value;
		break;
	case 'w':
		soak.wall_clock = value;
		break;
	case 'd':
		soak.folder = value;
		break;
	case 'y':
		if (!choose_play(value))
			argp_error(state, "there is no play '%s'", value);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp_option options[] = {
	{"seed", 's', "N", 0, "chooses the faults", 0},
	{"seconds", 't', "N", 0, "how long faults are played", 0},
	{"hosts", 'n', "N", 0, "processes of hosts", 0},
	{"program", 'p', "FILE", 0, "the hosts' program", 0},
	{"wall-clock", 'w', "FILE", 0,
	 "library that makes hosts' wall clocks wrong", 0},
	{"play", 'y', "NAME", 0, "faults, lost, parts or evacuate", 0},
	{"folder", 'd', "PATH", 0, "for settings and logs", 0},
	{0},
};

int main(int argc, char **argv)
{
	static const struct argp arguments = {options, read_option, NULL, NULL,
					      NULL,    NULL,	    NULL};

	soak.host_count = DEFAULT_HOSTS;
	soak.domain_count = SOAK_DOMAINS;
	soak.program = "build/tamarackgw-edge";
	soak.folder = ".";
	if (argp_parse(&arguments, argc, argv, 0, NULL, NULL))
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	soak.begun_us = soak_now_us();
	tgw_random_init(&soak.random, seed);
	tgw_random_init(&soak.endless_random, ~(uint64_t)seed);
	uv_loop_init(&soak.loop);
	kv_standin_start(&soak.store, &soak.loop);
	play->run(&soak, seconds);
	kill_hosts();
	print_memory();
	printf("seed %llu: %zu requests, %u at hosts in touch, %u served, "
	       "%u refused, %u failed, %u promises broken\n",
	       seed, soak.requests.count, soak.in_touch, soak.served,
	       soak.refused, soak.failed, soak.broken);
	return soak.broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
