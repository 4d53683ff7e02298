#include <argtable2.h>
#include <stdlib.h>

#include "standins/engine/engine.h"
#include "standins/engine/engine_api.h"

#define POOL_THREADS 3
#define US_PER_MS INT64_C(1000)

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int0(NULL, "port", "N",
					"port to listen on, 0 for a free one");
	struct arg_file *port_file =
		arg_file0(NULL, "port-file", "FILE", "write the port to FILE");
	struct arg_dbl *first = arg_dbl0(NULL, "first-token-ms", "MS",
					 "time to the first token");
	struct arg_dbl *inter =
		arg_dbl0(NULL, "inter-token-ms", "MS", "time between tokens");
	struct arg_dbl *speed =
		arg_dbl0(NULL, "speed", "X", "divides both times");
	struct arg_int *slots =
		arg_int0(NULL, "slots", "N", "requests that run at once");
	struct arg_int *tokens = arg_int0(NULL, "answer-tokens", "N",
					  "mean length of an answer");
	struct arg_int *blocks = arg_int0(NULL, "cache-blocks", "N",
					  "blocks in the prefix cache");
	struct arg_int *event_lag = arg_int0(NULL, "cache-event-lag-ms", "MS",
					     "delay of cache events");
	struct arg_int *gap = arg_int0(NULL, "cache-gap-every", "N",
				       "each Nth cache event is lost");
	struct arg_int *load_lag = arg_int0(NULL, "load-lag-ms", "MS",
					    "maximum age of load reports");
	struct arg_int *orphan =
		arg_int0(NULL, "orphan-ms", "MS",
			 "how long a run continues without a reader");
	struct arg_lit *ignore = arg_lit0(NULL, "ignore-fencing",
					  "accept commands of older attempts");
	struct arg_lit *help = arg_lit0(NULL, "help", "show this");
	struct arg_end *end = arg_end(10);
	void *table[] = {port,	   port_file, first,  inter, speed,
			 slots,	   tokens,    blocks, gap,   event_lag,
			 load_lag, orphan,    ignore, help,  end};
	struct engine_settings settings;
	struct standin_http http = {.serve = engine_api_serve,
				    .pool_threads = POOL_THREADS};

	*port->ival = 0;
	*first->dval = 20;
	*inter->dval = 5;
	*speed->dval = 1;
	*slots->ival = 64;
	*tokens->ival = 32;
	*blocks->ival = 4096;
	*event_lag->ival = 200;
	*gap->ival = 50;
	*load_lag->ival = 200;
	*orphan->ival = 10000;
	if (arg_parse(argc, argv, table) || help->count) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, NULL);
		return help->count ? EXIT_SUCCESS : EXIT_FAILURE;
	}
	settings = (struct engine_settings){
		.first_token_us = (int64_t)(*first->dval * 1000 / *speed->dval),
		.inter_token_us = (int64_t)(*inter->dval * 1000 / *speed->dval),
		.slots = *slots->ival,
		.answer_tokens = *tokens->ival,
		.load_lag_us = *load_lag->ival * US_PER_MS,
		.orphan_us = *orphan->ival * US_PER_MS,
		.ignores_fencing = ignore->count > 0,
	};
	http.arg = engine_new(&settings,
			      prefix_cache_new((size_t)*blocks->ival,
					       *event_lag->ival * US_PER_MS,
					       *gap->ival));
	http.port = (uint16_t)*port->ival;
	http.port_file = port_file->count ? *port_file->filename : NULL;
	standin_http_run(&http);
}
