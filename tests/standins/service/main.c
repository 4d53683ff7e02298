/**
 * @file main.c
 * Stand-in for a plain service: accepts any method and path, and counts the
 * runs of each idempotency key, so that tests can detect a call that ran twice.
 */
#include <argtable2.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "standins/common/standin_http.h"

struct service {
	const char *name;
	int64_t slow_us;
	pthread_mutex_t lock;
	json_t *runs;	    /* by idempotency key */
	json_int_t unkeyed; /* runs without a key */
	json_int_t running;
};

static json_int_t count_run(struct service *service, const char *key)
{
	json_int_t runs;

	pthread_mutex_lock(&service->lock);
	if (key) {
		runs = json_integer_value(json_object_get(service->runs, key));
		json_object_set_new(service->runs, key, json_integer(++runs));
	} else {
		runs = ++service->unkeyed;
	}
	pthread_mutex_unlock(&service->lock);
	return runs;
}

static enum MHD_Result run(struct service *service, struct standin_call *call)
{
	const char *key = standin_header(call, "Idempotency-Key");
	const char *id = standin_header(call, "X-Request-Id");
	json_int_t runs;
	json_t *body;

	pthread_mutex_lock(&service->lock);
	service->running++;
	pthread_mutex_unlock(&service->lock);
	runs = count_run(service, key);
	standin_sleep_us(service->slow_us);
	pthread_mutex_lock(&service->lock);
	service->running--;
	pthread_mutex_unlock(&service->lock);
	body = json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:s#}", "service",
			 service->name, "method", call->method, "path",
			 call->path, "key", key ? key : "", "request_id",
			 id ? id : "", "run", runs, "body",
			 call->body.data ? call->body.data : "",
			 (int)call->body.size);
	if (!body)
		return standin_reply_error(call, 400, "the body is not UTF-8");
	return standin_reply_json(call, 200, body);
}

static enum MHD_Result serve(void *arg, struct standin_call *call)
{
	struct service *service = arg;
	json_t *answer = NULL;

	pthread_mutex_lock(&service->lock);
	if (!strcmp(call->path, "/load"))
		answer = json_pack("{s:I, s:i}", "running", service->running,
				   "waiting", 0);
	else if (!strcmp(call->path, "/admin/runs"))
		answer = json_pack("{s:o, s:I}", "runs",
				   json_deep_copy(service->runs), "unkeyed",
				   service->unkeyed);
	pthread_mutex_unlock(&service->lock);
	if (answer)
		return standin_reply_json(call, 200, answer);
	return run(service, call);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int0(NULL, "port", "N",
					"port to listen on, 0 for a free one");
	struct arg_file *port_file =
		arg_file0(NULL, "port-file", "FILE", "write the port to FILE");
	struct arg_str *name =
		arg_str0(NULL, "name", "NAME", "service name in responses");
	struct arg_int *slow =
		arg_int0(NULL, "slow-ms", "MS", "time that each call takes");
	struct arg_lit *help = arg_lit0(NULL, "help", "show this");
	struct arg_end *end = arg_end(10);
	void *table[] = {port, port_file, name, slow, help, end};
	struct service service = {.lock = PTHREAD_MUTEX_INITIALIZER};
	struct standin_http http = {.serve = serve, .arg = &service};

	*port->ival = 0;
	*slow->ival = 0;
	*name->sval = "service";
	if (arg_parse(argc, argv, table) || help->count) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, NULL);
		return help->count ? EXIT_SUCCESS : EXIT_FAILURE;
	}
	service.name = *name->sval;
	service.slow_us = *slow->ival * INT64_C(1000);
	service.runs = json_object();
	http.port = (uint16_t)*port->ival;
	http.port_file = port_file->count ? *port_file->filename : NULL;
	standin_http_run(&http);
}
