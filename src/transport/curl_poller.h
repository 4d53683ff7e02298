/**
 * @file curl_poller.h
 * Drives a curl multi handle by the descriptors that are ready, so that the
 * cost of an event does not grow with the number of open exchanges.
 */
#ifndef TRANSPORT_CURL_POLLER_H
#define TRANSPORT_CURL_POLLER_H

#include <curl/curl.h>
#include <stdint.h>

#include "transport/wakeup.h"

struct curl_poller {
	CURLM *multi;
	int epoll;
	struct wakeup wakeup;
	int64_t due_us; /**< of curl's own timer; -1 for none */
};

/** @return 0, or -1 with errno set */
int curl_poller_open(struct curl_poller *poller, CURLM *multi);

void curl_poller_close(struct curl_poller *poller);

/** Waits for at most that long, then lets curl work on what is ready. */
void curl_poller_run(struct curl_poller *poller, int64_t wait_us);

/** Ends a wait. Thread-safe. */
void curl_poller_wake(const struct curl_poller *poller);

#endif
