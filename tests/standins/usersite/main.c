/**
 * @file main.c
 * Stand-in for the users' site on loopback, for tests of the edge as a process:
 * the store and two backend servers. It prints the store's address and three
 * free ones, then reads commands from standard input, one a line:
 *   limits HEAD BODY HEAD_MS IDLE_MS  maxHeaderBytes, maxBodyBytes,
 *                            headerTimeoutMs and idleTimeoutMs of later
 *                            configurations
 *   config VERSION PREPAID   writes the standard configuration
 *   server N STATE SEQUENCE  writes the entry of backend server 0 or 1
 *   silent 0|1               1: the store ignores requests; 0: it answers
 *   end                      ends the process
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/edge_rig.h"

static struct edge_rig rig;
static uv_pipe_t input;
static struct buffer input_text;

static void set_limits(const char *values)
{
	static char limits[256];
	long numbers[4];

	for (size_t i = 0; i < 4; i++) {
		char *end;

		numbers[i] = strtol(values, &end, 10);
		if (end == values)
			abort();
		values = end;
	}
	snprintf(limits, sizeof(limits),
		 "\"maxHeaderBytes\":%ld,\"maxBodyBytes\":%ld,"
		 "\"headerTimeoutMs\":%ld,\"idleTimeoutMs\":%ld",
		 numbers[0], numbers[1], numbers[2], numbers[3]);
	rig.limits = limits;
}

static void run_command(char *line)
{
	char *rest;
	char *word = strtok_r(line, " ", &rest);
	const char *first;
	const char *second;
	const char *third;

	if (word && !strcmp(word, "limits")) {
		set_limits(rest);
		return;
	}
	first = strtok_r(NULL, " ", &rest);
	second = strtok_r(NULL, " ", &rest);
	third = strtok_r(NULL, " ", &rest);

	if (!word || !strcmp(word, "end"))
		uv_stop(&rig.loop);
	else if (!strcmp(word, "config") && second)
		edge_rig_configure(&rig, (int)strtol(first, NULL, 10),
				   strtol(second, NULL, 10), "key-1");
	else if (!strcmp(word, "server") && third)
		edge_rig_register_server(&rig, (int)strtol(first, NULL, 10),
					 second, (int)strtol(third, NULL, 10));
	else if (!strcmp(word, "silent") && first)
		rig.store.silent = *first == '1';
}

static void on_alloc(uv_handle_t *handle, size_t suggested_size,
		     uv_buf_t *chunk)
{
	static char bytes[4096];

	*chunk = uv_buf_init(bytes, sizeof(bytes));
}

static void on_input(uv_stream_t *stream, ssize_t size, const uv_buf_t *chunk)
{
	char *end;

	if (size < 0) {
		uv_stop(&rig.loop);
		return;
	}
	buffer_add(&input_text, chunk->base, (size_t)size);
	while (input_text.size && (end = strchr(input_text.data, '\n'))) {
		size_t length = (size_t)(end - input_text.data);

		*end = '\0';
		run_command(input_text.data);
		buffer_consume(&input_text, length + 1);
	}
}

int main(void)
{
	/* Writing to a host that has ended must not end this process. */
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&rig.loop);
	kv_standin_start(&rig.store, &rig.loop);
	backend_standin_start(&rig.server_standins[0], &rig.loop, "worker-0");
	backend_standin_start(&rig.server_standins[1], &rig.loop, "worker-1");
	printf("%s 127.0.0.1:%d 127.0.0.1:%d 127.0.0.1:%d\n", rig.store.address,
	       edge_rig_free_port(), edge_rig_free_port(),
	       edge_rig_free_port());
	fflush(stdout);
	uv_pipe_init(&rig.loop, &input, 0);
	uv_pipe_open(&input, 0);
	uv_read_start((uv_stream_t *)&input, on_alloc, on_input);
	uv_run(&rig.loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}
