/**
 * @file server_report.h
 * What backend servers tell of themselves: load and cache events.
 */
#ifndef PROTOCOL_SERVER_REPORT_H
#define PROTOCOL_SERVER_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/router.h"

#define CACHE_EVENT_HASHES_MAX 256

/** Reads an answer of GET /load. @return false when it is not one */
bool server_report_load(struct tgw_load_report *report, const char *body,
			size_t size, int64_t now_us);

/**
 * Reads an answer of GET /cache/events; events that make no sense are
 * passed over.
 * @param next set to the sequence to ask from the next time
 * @return false when it is not one
 */
bool server_report_cache(const char *body, size_t size,
			 void (*event)(void *arg,
				       const struct tgw_cache_event *event),
			 void *arg, uint64_t *next);

#endif
