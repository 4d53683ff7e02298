/**
 * @file measure_path.c
 * Measures what the gateway adds to a request: latencies through a host process
 * against latencies of direct requests to the engines, in one run, with the
 * processor time and the memory of the host process.
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
#define HOST_RATE 23.0 /* requests/s per host at the design size */
#define TENFOLD_RATE 230.0
#define US_PER_S INT64_C(1000000)
#define STAT_FIELDS_TO_UTIME 12
#define MS(us) ((double)(us) / 1000.0)

/** Resources that the host process used during the measured time. */
struct process_usage {
	int pid; /* 0 for none */
	double start_cpu_s;
	int64_t start_us;
	double cores;
	double peak_rss_mb;
};

/** One run of the client. */
struct path_run {
	const char *name;
	struct load_client_settings settings;
	struct load_client_report report;
	struct process_usage usage;
};

static int64_t monotonic_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

/* Processor time so far in seconds, from /proc/PID/stat. */
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
		fprintf(stderr,
			"cannot read the processor time of process %d from "
			"%s\n",
			pid, path);
		exit(EXIT_FAILURE);
	}
	fclose(file);
	/* The process name, in parentheses, may contain spaces. utime is the
	 * twelfth field after it. */
	field = strrchr(line, ')');
	for (i = 0; field && i < STAT_FIELDS_TO_UTIME; i++)
		field = strchr(field + 1, ' ');
	if (!field)
		exit(EXIT_FAILURE);
	user = strtoul(field, &end, 10);
	kernel = strtoul(end, NULL, 10);
	return (double)(user + kernel) / (double)sysconf(_SC_CLK_TCK);
}

/* Peak resident memory so far in MiB; 0 without a process. */
static double peak_rss_mb(int pid)
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

static void on_measurement(void *arg, int starts)
{
	struct process_usage *usage = arg;

	if (!usage->pid)
		return;
	if (starts) {
		usage->start_cpu_s = cpu_seconds(usage->pid);
		usage->start_us = monotonic_us();
		return;
	}
	usage->cores = (cpu_seconds(usage->pid) - usage->start_cpu_s) /
		       ((double)(monotonic_us() - usage->start_us) / US_PER_S);
	usage->peak_rss_mb = peak_rss_mb(usage->pid);
}

static void print_run(const struct path_run *run)
{
	const struct load_client_report *report = &run->report;

	printf("%-8s %5.0f %8llu %9.2f %9.2f %9.2f %9.2f %6.2f %7.1f %6llu\n",
	       run->name, run->settings.requests_per_s,
	       (unsigned long long)report->requests,
	       MS(latency_histogram_quantile(report->first_token, 0.5)),
	       MS(latency_histogram_quantile(report->first_token, 0.99)),
	       MS(latency_histogram_quantile(report->between_tokens, 0.5)),
	       MS(latency_histogram_quantile(report->between_tokens, 0.99)),
	       run->usage.cores, run->usage.peak_rss_mb,
	       (unsigned long long)load_client_errors(report));
	/* Unfinished responses are printed as unended. */
	if (load_client_errors(report))
		printf("         refused %llu, wrong %llu, broken %llu, "
		       "unended %llu\n",
		       (unsigned long long)report->refused,
		       (unsigned long long)report->wrong,
		       (unsigned long long)report->broken,
		       (unsigned long long)report->unfinished);
	fflush(stdout);
}

static void *run_path(void *arg)
{
	struct path_run *run = arg;

	load_client_run(&run->settings, on_measurement, &run->usage,
			&run->report);
	return NULL;
}

/* Measures both paths at the same time, so that other load on the machine
 * affects both. */
static void run_pair(struct path_run *direct, struct path_run *routed)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run_path, direct))
		abort();
	run_path(routed);
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

static double added_p99_ms(const struct latency_histogram *routed,
			   const struct latency_histogram *direct)
{
	return MS(latency_histogram_quantile(routed, 0.99) -
		  latency_histogram_quantile(direct, 0.99));
}

static uint64_t measure(const struct load_client_settings *settings,
			const struct arg_str *routers,
			const struct arg_str *engines, int pid)
{
	static const double rates[] = {HOST_RATE, TENFOLD_RATE};
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
	       added_p99_ms(routed.report.first_token,
			    direct.report.first_token),
	       added_p99_ms(routed.report.between_tokens,
			    direct.report.between_tokens),
	       routed.usage.cores, routed.usage.peak_rss_mb,
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
	struct arg_str *engines =
		arg_strn(NULL, "engine", "IP:PORT", 1, LOAD_CLIENT_TARGETS_MAX,
			 "address of a model engine behind the host");
	struct arg_int *pid =
		arg_int1(NULL, "pid", "N", "process ID of the host");
	struct arg_str *key =
		arg_str1(NULL, "key", "KEY", "API key of the team");
	struct arg_str *model = arg_str1(NULL, "model", "NAME", "model");
	struct arg_int *warm_up =
		arg_int0(NULL, "warm-up-s", "S", "length of the warm-up (8)");
	struct arg_int *measured = arg_int0(NULL, "measured-s", "S",
					    "length of the measurement (10)");
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "random seed of the arrivals (1)");
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
