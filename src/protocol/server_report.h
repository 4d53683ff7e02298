/**
 * @file server_report.h
 * Reports of backend servers: their load and their cache events.
 */
#ifndef PROTOCOL_SERVER_REPORT_H
#define PROTOCOL_SERVER_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/router.h"

#define CACHE_EVENT_HASHES_MAX 256

/** Parses a response to GET /load.
 * @param now_us when the response was received
 * @return false when the body is not a load report */
bool server_report_parse_load(struct tgw_load_report *report, const char *body,
			      size_t size, int64_t now_us);

/**
 * Parses a response to GET /cache/events. Malformed events and hashes are
 * skipped, and so are an event's hashes beyond CACHE_EVENT_HASHES_MAX.
 * @param event called for each event; the event is valid during the call only
 * @param next receives the sequence number at which the next request starts
 * @return false when the body is not a list of cache events
 */
bool server_report_parse_cache_events(
	const char *body, size_t size,
	void (*event)(void *arg, const struct tgw_cache_event *event),
	void *arg, uint64_t *next);

#endif
