/**
 * @file measure_path.c
 * What the router adds to a request: times through it against times straight
 * to the engines, in one run, with the processor time and the memory of the
 * host process.
 */
#include <argtable2.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "measure/load_client.h"

#define ANSWER_TOKENS 210
#define SHARE_RATE 23.0 /* a node's share at the design size */
#define TENFOLD_RATE 230.0
#define US_PER_S INT64_C(1000000)
#define STAT_FIELDS_TO_TIMES 12
#define MS(us) ((double)(us) / 1000.0)

/** What the host process used over the measured time. */
struct process_usage {
	int pid; /* 0 for none */
	double cpu_s;
	int64_t wall_us;
	double cores;
	double resident_mb;
};

/** One run of the client. */
struct path_run {
	const char *name;
	struct load_client_settings settings;
	struct load_client_report report;
	struct process_usage usage;
};

static int64_t wall_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

/* Processor time so far, from /proc/PID/stat. */
static double cpu_seconds(int pid)
{
	char path[64];
	char line[1024] = "";
	unsigned long user;
	unsigned long kernel;
	char *end;
	const char *field;
	FILE *file;
	int i;

	snprintf(path, sizeof(path), "/proc/%d/stat", pid);
	file = fopen(path, "r");
	if (!file || !fgets(line, sizeof(line), file)) {
		fprintf(stderr, "no process %d\n", pid);
		exit(EXIT_FAILURE);
	}
	fclose(file);
	/* The name, in brackets, may hold spaces; the times are 12 later. */
	field = strrchr(line, ')');
	for (i = 0; field && i < STAT_FIELDS_TO_TIMES; i++)
		field = strchr(field + 1, ' ');
	if (!field)
		exit(EXIT_FAILURE);
	user = strtoul(field, &end, 10);
	kernel = strtoul(end, NULL, 10);
	return (double)(user + kernel) / (double)sysconf(_SC_CLK_TCK);
}

/* Peak resident memory so far. */
static double resident_mb(int pid)
{
	char path[64];
	char line[256];
	long kilobytes = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	while (fgets(line, sizeof(line), file))
		if (!strncmp(line, "VmHWM:", strlen("VmHWM:")))
			kilobytes = strtol(line + strlen("VmHWM:"), NULL, 10);
	fclose(file);
	return (double)kilobytes / 1024.0;
}

static void on_measuring(void *arg, int starts)
{
	struct process_usage *usage = arg;

	if (!usage->pid)
		return;
	if (starts) {
		usage->cpu_s = cpu_seconds(usage->pid);
		usage->wall_us = wall_us();
		return;
	}
	usage->cores = (cpu_seconds(usage->pid) - usage->cpu_s) /
		       ((double)(wall_us() - usage->wall_us) / US_PER_S);
	usage->resident_mb = resident_mb(usage->pid);
}

static void print_run(const struct path_run *run)
{
	const struct load_client_report *report = &run->report;

	printf("%-8s %5.0f %8llu %9.2f %9.2f %9.2f %9.2f %6.2f %7.1f %6llu\n",
	       run->name, run->settings.requests_per_s,
	       (unsigned long long)report->requests,
	       MS(latency_histogram_at(report->first_token, 0.5)),
	       MS(latency_histogram_at(report->first_token, 0.99)),
	       MS(latency_histogram_at(report->between_tokens, 0.5)),
	       MS(latency_histogram_at(report->between_tokens, 0.99)),
	       run->usage.cores, run->usage.resident_mb,
	       (unsigned long long)load_client_errors(report));
	if (load_client_errors(report))
		printf("         refused %llu, wrong %llu, broken %llu, "
		       "unended %llu\n",
		       (unsigned long long)report->refused,
		       (unsigned long long)report->wrong,
		       (unsigned long long)report->broken,
		       (unsigned long long)report->unended);
	fflush(stdout);
}

static void *run(void *arg)
{
	struct path_run *run = arg;

	load_client_run(&run->settings, on_measuring, &run->usage,
			&run->report);
	return NULL;
}

/* Both paths at the same time, so that both meet the same machine. */
static void run_pair(struct path_run *direct, struct path_run *routed)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, direct))
		abort();
	run(routed);
	pthread_join(thread, NULL);
	print_run(direct);
	print_run(routed);
}

static void set_targets(struct path_run *run, const struct arg_str *targets)
{
	int i;

	for (i = 0; i < targets->count; i++)
		run->settings.targets[i] = targets->sval[i];
	run->settings.target_count = (size_t)targets->count;
}

static double added_ms(const struct latency_histogram *routed,
		       const struct latency_histogram *direct)
{
	return MS(latency_histogram_at(routed, 0.99) -
		  latency_histogram_at(direct, 0.99));
}

static uint64_t measure(const struct load_client_settings *settings,
			const struct arg_str *routers,
			const struct arg_str *engines, int pid)
{
	static const double rates[] = {SHARE_RATE, TENFOLD_RATE};
	struct path_run direct;
	struct path_run routed;
	uint64_t errors = 0;
	size_t i;

	printf("%-8s %5s %8s %9s %9s %9s %9s %6s %7s %6s\n", "path", "req/s",
	       "requests", "first_p50", "first_p99", "next_p50", "next_p99",
	       "cores", "rss_mb", "errors");
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		direct = (struct path_run){.name = "direct",
					   .settings = *settings};
		direct.settings.requests_per_s = rates[i];
		direct.settings.seed = settings->seed + 2 * i;
		routed = direct;
		routed.name = "router";
		routed.settings.seed++;
		routed.usage.pid = pid;
		set_targets(&direct, engines);
		set_targets(&routed, routers);
		run_pair(&direct, &routed);
		errors += load_client_errors(&direct.report) +
			  load_client_errors(&routed.report);
		if (i + 1 < sizeof(rates) / sizeof(rates[0])) {
			load_client_report_free(&direct.report);
			load_client_report_free(&routed.report);
		}
	}
	printf("added_first_token_p99_ms=%.2f added_inter_token_p99_ms=%.2f "
	       "cpu_cores=%.2f rss_mb=%.1f errors=%llu\n",
	       added_ms(routed.report.first_token, direct.report.first_token),
	       added_ms(routed.report.between_tokens,
			direct.report.between_tokens),
	       routed.usage.cores, routed.usage.resident_mb,
	       (unsigned long long)errors);
	load_client_report_free(&direct.report);
	load_client_report_free(&routed.report);
	return errors;
}

int main(int argc, char **argv)
{
	struct arg_str *routers = arg_strn(NULL, "router", "IP:PORT", 1,
					   LOAD_CLIENT_TARGETS_MAX,
					   "caller address of the host");
	struct arg_str *engines = arg_strn(NULL, "engine", "IP:PORT", 1,
					   LOAD_CLIENT_TARGETS_MAX,
					   "model engine behind it");
	struct arg_int *pid = arg_int1(NULL, "pid", "N", "process of the host");
	struct arg_str *key = arg_str1(NULL, "key", "KEY", "the team's key");
	struct arg_str *model = arg_str1(NULL, "model", "NAME", "model");
	struct arg_int *warm_up =
		arg_int0(NULL, "warm-up-s", "S", "not measured (8)");
	struct arg_int *measured =
		arg_int0(NULL, "measured-s", "S", "measured (10)");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "of arrivals (1)");
	struct arg_lit *help = arg_lit0(NULL, "help", "show this");
	struct arg_end *end = arg_end(10);
	void *table[] = {routers, engines,  pid,  key,	model,
			 warm_up, measured, seed, help, end};
	struct load_client_settings settings = {.answer_tokens = ANSWER_TOKENS};

	*warm_up->ival = 8;
	*measured->ival = 10;
	*seed->ival = 1;
	if (arg_parse(argc, argv, table) || help->count) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, NULL);
		return help->count ? EXIT_SUCCESS : EXIT_FAILURE;
	}
	settings.key = *key->sval;
	settings.model = *model->sval;
	settings.warm_up_us = *warm_up->ival * US_PER_S;
	settings.measured_us = *measured->ival * US_PER_S;
	settings.drain_us = 30 * US_PER_S;
	settings.seed = (uint64_t)*seed->ival;
	return measure(&settings, routers, engines, *pid->ival) ? EXIT_FAILURE
								: EXIT_SUCCESS;
}
