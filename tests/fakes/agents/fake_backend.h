/**
 * @file fake_backend.h
 * A backend server on a port of its own, which does what its script says:
 * a model engine, and a plain service on all other paths.
 */
#ifndef FAKES_AGENTS_FAKE_BACKEND_H
#define FAKES_AGENTS_FAKE_BACKEND_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"

#define FAKE_NEVER (-1)

/** Faults of the streams to come; each counts tokens, or is FAKE_NEVER. */
struct fake_script {
	int tokens;
	int pad_bytes; /**< of each token's text */
	int delay_us;  /**< before each token */
	int break_at;  /**< closes the connection */
	int cross_at;  /**< one event of another request */
	int double_at; /**< one token twice */
	int late_at;   /**< one event of the attempt before */
	int skip_at;   /**< one token left out */
	int hang_at;   /**< nothing more until cancelled */
	int end_at;    /**< [DONE] without the rest */
	bool ignore_limit;
	int status;	 /**< instead of 200 */
	int fault_count; /**< streams that have the faults; the rest are well */
	bool forgets;	 /**< answers that it knows no request */
	int service_status;
	bool service_dies; /**< closes after the request came */
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
	atomic_int last_from;
	atomic_int cancels;
	atomic_int inquiries;
	atomic_int loads;
	atomic_int service_runs;
	atomic_int hung;
	_Atomic int64_t bytes_sent;
	atomic_int open;
	struct buffer last_head; /**< of a stream's or service's request */
};

void fake_backend_start(struct fake_backend *backend);
void fake_backend_stop(struct fake_backend *backend);

#endif
