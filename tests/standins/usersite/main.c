/**
 * @file main.c
 * The users' site on loopback, for tests of the edge as a process: the store
 * and two servers. It prints the store's address and three free ones; lines
 * on standard input are commands:
 *   config VERSION PREPAID   the standard configuration
 *   server N STATE SEQUENCE  the entry of server 0 or 1
 *   silent 0|1               the store answers nothing
 *   end
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/edge_rig.h"

static struct edge_rig rig;
static uv_pipe_t input;
static struct buffer typed;

static void obey(char *line)
{
	char *rest;
	char *word = strtok_r(line, " ", &rest);
	const char *first = strtok_r(NULL, " ", &rest);
	const char *second = strtok_r(NULL, " ", &rest);
	const char *third = strtok_r(NULL, " ", &rest);

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

static void on_space(uv_handle_t *handle, size_t wanted, uv_buf_t *space)
{
	static char bytes[4096];

	*space = uv_buf_init(bytes, sizeof(bytes));
}

static void on_input(uv_stream_t *stream, ssize_t size, const uv_buf_t *space)
{
	char *end;

	if (size < 0) {
		uv_stop(&rig.loop);
		return;
	}
	buffer_add(&typed, space->base, (size_t)size);
	while (typed.size && (end = strchr(typed.data, '\n'))) {
		size_t length = (size_t)(end - typed.data);

		*end = '\0';
		obey(typed.data);
		buffer_consume(&typed, length + 1);
	}
}

int main(void)
{
	/* A host that ends leaves answers that nobody reads. */
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
	uv_read_start((uv_stream_t *)&input, on_space, on_input);
	uv_run(&rig.loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}
