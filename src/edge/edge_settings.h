/**
 * @file edge_settings.h
 * The settings of an edge host, read from an INI file and checked together.
 */
#ifndef EDGE_EDGE_SETTINGS_H
#define EDGE_EDGE_SETTINGS_H

#include <stdint.h>

#include "tamarackgw/host_view.h"
#include "tamarackgw/status.h"

#define EDGE_REGIONS_SIZE 4096

struct edge_settings {
	/* [host] */
	char name[TGW_NAME_SIZE];	     /**< short; see short_name.h */
	char failure_domain[TGW_NAME_SIZE];  /**< short */
	char caller_address[TGW_NAME_SIZE];  /**< IP address and port */
	char ready_address[TGW_NAME_SIZE];   /**< of /ready, for the balancer */
	char metrics_address[TGW_NAME_SIZE]; /**< empty for none */
	char peer_address[TGW_NAME_SIZE];    /**< of other hosts' messages;
					      * empty for none */
	int64_t memory_mb;
	int64_t answer_memory_percent;
	int64_t request_memory_percent;
	int64_t stall_room_ms;
	int64_t framing_bytes;	 /**< of one request's chunks and trailer */
	int64_t discard_bytes;	 /**< of callers that were refused */
	int64_t max_descriptors; /**< 0: the system's limit */
	int64_t link_mbps;	 /**< 0: unknown */
	/* [regions] */
	char regions[EDGE_REGIONS_SIZE]; /**< see region_map_parse() */
	/* [store] */
	char store_address[TGW_NAME_SIZE];
	int64_t store_timeout_ms;
	int64_t watch_wait_ms;
	int64_t apply_ms;
	int64_t drain_ms;
	int64_t evacuate_ms; /**< 0: as apply_ms */
	int64_t heartbeat_ms;
	/* [budget] */
	int64_t ledger_keys;
	int64_t ride_out_ms;
	int64_t hold_percent;
	int64_t loss_percent;
	int64_t expected_hosts;
	/* [retry] */
	int64_t retry_percent; /**< the key is share_percent */
	int64_t retry_window_s;
	int64_t retry_slack;
	/* [stop] */
	int64_t stop_notice_ms;
	int64_t stop_kill_after_s;
	/* [log] */
	int64_t log_lines_per_s;
};

void edge_settings_set_defaults(struct edge_settings *settings);

/** Sets the defaults, reads the file over them and checks the settings. The
 * error message names the file, key, remedy, and the line if any. */
enum tgw_status edge_settings_read(struct edge_settings *settings,
				   const char *path, struct tgw_error *error);

/** @return the shortest time within which some change in the store has to take
 * effect */
int64_t edge_settings_follow_ms(const struct edge_settings *settings);

/** Prints all settings with their explanations, as a sample file. */
void edge_settings_print(const struct edge_settings *settings);

#endif
