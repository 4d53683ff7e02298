/**
 * @file fake_backend.h
 * A backend server on a free port, whose behaviour is set by a script. It
 * is a model engine on the paths of the engine protocol, and a plain service on
 * all other paths.
 */
#ifndef FAKES_AGENTS_FAKE_BACKEND_H
#define FAKES_AGENTS_FAKE_BACKEND_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"

#define FAKE_NEVER (-1)

/** How the backend server serves requests that arrive after the script is set.
 * Each of the fields *_at is the index of the token at which the fault occurs,
 * or FAKE_NEVER. */
struct fake_script {
	int tokens;    /**< length of a complete stream */
	int pad_bytes; /**< padding of each token's text */
	int delay_us;  /**< before each token */
	int break_at;  /**< closes the connection */
	int cross_at;  /**< sends an event of another request */
	int double_at; /**< sends the preceding token again */
	int late_at;   /**< sends an event of the previous attempt */
	int skip_at;   /**< leaves out the token */
	int hang_at;   /**< sends nothing more; closes on a cancel request */
	int end_at;    /**< sends the end without the remaining tokens */
	/** The last event is sent so many more times, before the end mark. */
	int last_event_repeats;
	bool ignore_limit;	 /**< sends more than max_tokens */
	int status;		 /**< HTTP status of streams; 0: 200 */
	int fault_count;	 /**< following streams that have the faults */
	bool resumes_from_start; /**< ignores where a stream is to go on */
	bool resumes_empty; /**< answers a resume with a stream without events
			     */
	bool requests_unknown; /**< answers 404 to resumes and status queries */
	bool status_hangs;     /**< does not answer status queries */
	int service_status;
	/** Closes the connection once a service request was received. */
	bool service_closes;
	int service_bytes;
	int service_delay_us;
};

struct fake_backend {
	int listener;
	uint16_t port;
	pthread_t thread;
	pthread_mutex_t lock;
	struct fake_script script;
	atomic_bool closing;
	atomic_int streams;
	atomic_int resumes;
	atomic_int last_from; /**< token index of the last resume */
	atomic_int cancels;
	atomic_int status_queries;
	atomic_int loads;
	atomic_int service_runs;
	atomic_int hanging; /**< streams that hang now */
	_Atomic int64_t bytes_sent;
	atomic_int open; /**< connections that are open now */
	/** The last chat completion or service request, with its body. */
	struct buffer last_request;
};

void fake_backend_start(struct fake_backend *backend);
void fake_backend_stop(struct fake_backend *backend);

#endif
