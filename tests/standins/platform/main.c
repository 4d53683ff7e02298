#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

#include "standins/platform/platform.h"

#define DEFAULT_LAG_MS 300

static enum MHD_Result serve_hosts(struct platform *platform,
				   struct standin_call *call)
{
	json_t *shown = NULL;

	pthread_mutex_lock(&platform->lock);
	platform->calls[CALL_HOSTS]++;
	if (!platform->list_outage)
		shown = host_list_show(platform->hosts, standin_now_us());
	pthread_mutex_unlock(&platform->lock);
	return shown ? standin_reply_json(call, 200, shown) : MHD_NO;
}

static enum MHD_Result serve(void *arg, struct standin_call *call)
{
	if (!strncmp(call->path, "/v3/", strlen("/v3/")))
		return store_api_serve(arg, call);
	if (!strncmp(call->path, "/admin/", strlen("/admin/")))
		return admin_serve(arg, call);
	if (!strcmp(call->path, "/hosts"))
		return serve_hosts(arg, call);
	return standin_reply_error(call, 404, "no such path");
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int0(NULL, "port", "N",
					"port to listen on, 0 for a free one");
	struct arg_file *port_file =
		arg_file0(NULL, "port-file", "FILE", "write the port to FILE");
	struct arg_int *lag = arg_int0(NULL, "list-lag-ms", "MS",
				       "delay of changes to the list of hosts");
	struct arg_lit *help = arg_lit0(NULL, "help", "show this");
	struct arg_end *end = arg_end(10);
	void *table[] = {port, port_file, lag, help, end};
	struct platform platform = {
		.lock = PTHREAD_MUTEX_INITIALIZER,
		.changed = PTHREAD_COND_INITIALIZER,
		.kv = kv_new(),
	};
	struct standin_http http = {.serve = serve, .arg = &platform};

	*port->ival = 0;
	*lag->ival = DEFAULT_LAG_MS;
	if (arg_parse(argc, argv, table) || help->count) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, NULL);
		return help->count ? EXIT_SUCCESS : EXIT_FAILURE;
	}
	platform.hosts = host_list_new(*lag->ival * INT64_C(1000));
	http.port = (uint16_t)*port->ival;
	http.port_file = port_file->count ? *port_file->filename : NULL;
	standin_http_run(&http);
}
