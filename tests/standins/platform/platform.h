/**
 * @file platform.h
 * Stand-in for the platform: its key-value service and its list of hosts,
 * with faults that tests can inject and a count of every call.
 */
#ifndef STANDINS_PLATFORM_PLATFORM_H
#define STANDINS_PLATFORM_PLATFORM_H

#include <pthread.h>

#include "standins/common/standin_http.h"
#include "standins/platform/host_list.h"
#include "standins/platform/kv.h"

/** Kinds of calls that are counted. */
enum platform_call {
	CALL_RANGE,
	CALL_PUT,
	CALL_TXN,
	CALL_DELETE,
	CALL_WATCH,
	CALL_LEASE,
	CALL_HOSTS,
	CALL_KIND_COUNT
};

struct platform {
	pthread_mutex_t lock;
	pthread_cond_t changed; /* signals a new revision or fault */
	struct kv *kv;
	struct host_list *hosts;
	int64_t calls[CALL_KIND_COUNT];
	int64_t watches_waiting; /* open watches */
	int64_t bytes_in;
	int64_t bytes_out;
	/* Faults */
	bool outage;	      /* the store does not answer */
	bool list_outage;     /* the list of hosts does not answer */
	int64_t slow_us;      /* added to each store call */
	int64_t lose_answers; /* number of following writes that get no reply */
};

/** Serves /v3/... */
enum MHD_Result store_api_serve(struct platform *platform,
				struct standin_call *call);

/** Serves /v3/watch with a stream that lasts until the client closes it or an
 * outage begins. */
enum MHD_Result store_watch_serve(struct platform *platform,
				  struct standin_call *call,
				  const json_t *request);

/** Serves /admin/... */
enum MHD_Result admin_serve(struct platform *platform,
			    struct standin_call *call);

/** @return the JSON form of a key or a change */
json_t *store_api_entry(const struct kv_entry *entry, bool keys_only);

/** Reads key and range_end. @return false when they are malformed */
bool store_api_range(const json_t *request, struct kv_range *range);

void store_api_range_free(struct kv_range *range);

/** @return a field's 64-bit number, which may be a JSON string or number; 0
 * when it is missing */
int64_t store_api_number(const json_t *object, const char *name);

json_t *store_api_number_text(int64_t number);

#endif
